import pytest

from dotterelgrade_routing import holdoff


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("1e9", holdoff.LONGEST_HOLDOFF_S),
        ("-1", None),
        ("inf", None),
        ("nan", None),
        ("", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
    ],
)
def test_only_a_number_of_seconds_counts(text, seconds):
    assert holdoff.seconds_of(text) == seconds


def test_a_full_server_is_left_alone_until_its_time_is_over(make_server):
    """Load pattern: a full backend server names the time of its return."""
    held = holdoff.Holdoffs()
    full, other = make_server("full"), make_server("other")
    held.note(full, seconds=2.0, now=10.0)
    assert held.free([full, other], now=11.9) == [other]
    assert held.free([full, other], now=12.0) == [full, other]


def test_a_shorter_time_does_not_end_a_longer_one(make_server):
    held = holdoff.Holdoffs()
    server = make_server("s")
    held.note(server, seconds=5.0, now=10.0)
    held.note(server, seconds=1.0, now=11.0)
    assert held.left_s(server, now=12.0) == 3.0


def test_the_next_start_is_free(make_server):
    held = holdoff.Holdoffs()
    held.note(make_server("s", started_ms=1), seconds=5.0, now=10.0)
    assert not held.left_s(make_server("s", started_ms=2), now=11.0)


def test_callers_are_told_when_the_first_is_free(make_server):
    held = holdoff.Holdoffs()
    servers = [make_server("a"), make_server("b"), make_server("c")]
    held.note(servers[0], seconds=4.0, now=10.0)
    held.note(servers[1], seconds=2.0, now=10.0)
    assert held.first_free_s(servers, now=10.5) == 1.5
    assert held.first_free_s(servers[2:], now=10.5) == 0.0
