import hypothesis
from hypothesis import strategies

from dotterelgrade import fingerprint


def test_equal_segments_of_a_scope_share_a_fingerprint():
    one, shared = fingerprint.of_segments("llm", ["a", "b"])
    again, other = fingerprint.of_segments("llm", ["b", "c"])
    assert shared == again
    assert len({one, shared, other}) == 3


def test_segments_of_other_scopes_differ():
    assert fingerprint.of_segments("llm", ["a"]) != fingerprint.of_segments(
        "other", ["a"]
    )


def test_a_repeated_segment_counts_once():
    assert len(fingerprint.of_segments("llm", ["a", "b", "a"])) == 2


@hypothesis.given(strategies.lists(strategies.text(), max_size=200))
def test_odd_segments_have_bounded_fingerprints(segments):
    found = fingerprint.of_segments("llm", segments)
    assert len(found) <= fingerprint.MAX_SEGMENTS
    assert all(len(one) == 16 for one in found)


def test_requests_with_the_same_segments_share_one_fingerprint():
    assert fingerprint.of_all(["a", "b"]) == fingerprint.of_all(["a", "b"])
    assert fingerprint.of_all(["a", "b"]) != fingerprint.of_all(["a", "c"])


def test_whole_requests_differ_by_method_target_and_body():
    asked = [
        fingerprint.of_request("s", method=method, target=target, body=body)
        for method, target, body in (
            (b"GET", b"/a", b""),
            (b"POST", b"/a", b""),
            (b"GET", b"/b", b""),
            (b"GET", b"/a", b"x"),
        )
    ]
    assert len(set(asked)) == len(asked)
