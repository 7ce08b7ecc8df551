import front_fakes as fakes
import stream_fakes as streams

from dotterelgrade import fingerprint


def _broken(sock, arrival):
    """Sends three events, then resets the connection."""
    fakes.streaming(1, 3, end=False)(sock, arrival)
    fakes.resetting(sock, arrival)


def _failed_attempts(front):
    rows = streams.decisions(front, "try_failed")
    return [(r.details["received"], r.details["fingerprints"]) for r in rows]


def test_a_failed_attempt_tells_what_its_request_may_share_with_others(front):
    """Else lines of two requests that end servers have nothing in common."""
    streams.add_chains(front, [_broken], [_broken])
    front.ask("/once/x", method="POST", body=b"p", segments="shared,own")
    expected = fingerprint.of_segments("model", ["shared"])
    assert _failed_attempts(front) == [(3, expected)]


def test_a_failed_attempt_of_a_resumed_stream_counts_its_own_events(front):
    streams.add_chains(
        front, [_broken], [streams.resuming(fakes.resetting, last=5)]
    )
    front.ask("/stream/x", method="POST", body=b"p")
    assert [received for received, _ in _failed_attempts(front)][0] == 3


def test_a_failed_plain_call_tells_it_too(front):
    front.add("p1", fakes.resetting)
    front.ask("/unsafe/x", method="POST", body=b"p")
    (row,) = streams.decisions(front, "try_failed")
    whole = fingerprint.of_request(
        "plain", method=b"POST", target=b"/unsafe/x", body=b"p"
    )
    assert row.details["fingerprints"] == (whole,)
