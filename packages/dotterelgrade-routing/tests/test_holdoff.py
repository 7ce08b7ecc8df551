import pytest

from dotterelgrade_routing import holdoff


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("1e9", holdoff.MAX_HOLDOFF_S),
        ("-1", None),
        ("inf", None),
        ("nan", None),
        ("", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
    ],
)
def test_only_a_number_of_seconds_is_parsed(text, seconds):
    assert holdoff.parse_retry_after(text) == seconds


def test_full_server_is_held_off_until_its_time_has_passed(make_server):
    """Load pattern: a full backend server sends `Retry-After`."""
    holdoffs = holdoff.Holdoffs()
    full, other = make_server("full"), make_server("other")
    holdoffs.note(full, seconds=2.0, now=10.0)
    assert holdoffs.available([full, other], now=11.9) == [other]
    assert holdoffs.available([full, other], now=12.0) == [full, other]


def test_shorter_time_does_not_shorten_a_holdoff(make_server):
    holdoffs = holdoff.Holdoffs()
    server = make_server("s")
    holdoffs.note(server, seconds=5.0, now=10.0)
    holdoffs.note(server, seconds=1.0, now=11.0)
    assert holdoffs.left_s(server, now=12.0) == 3.0


def test_restart_ends_a_holdoff(make_server):
    holdoffs = holdoff.Holdoffs()
    holdoffs.note(make_server("s", started_ms=1), seconds=5.0, now=10.0)
    assert not holdoffs.left_s(make_server("s", started_ms=2), now=11.0)


def test_time_until_the_first_holdoff_ends(make_server):
    holdoffs = holdoff.Holdoffs()
    servers = [make_server("a"), make_server("b"), make_server("c")]
    holdoffs.note(servers[0], seconds=4.0, now=10.0)
    holdoffs.note(servers[1], seconds=2.0, now=10.0)
    assert holdoffs.first_release_s(servers, now=10.5) == 1.5
    assert holdoffs.first_release_s(servers[2:], now=10.5) == 0.0
