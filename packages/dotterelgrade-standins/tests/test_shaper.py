import types

from dotterelgrade_standins import shaper


def peer_in(failure_domain):
    return types.SimpleNamespace(failure_domain=failure_domain)


def test_first_matching_link_counts_in_both_directions():
    slow = shaper.LinkSettings(between=("b", "a"), delay_ms=5)
    other = shaper.LinkSettings(between=("*", "*"), delay_ms=1)
    links = shaper.LinkShaper("a", shaper.Links([slow, other]))
    assert links.delay_s(peer_in("b"), 10) == 0.005
    assert links.delay_s(peer_in("c"), 10) == 0.001


def test_cut_link_drops_and_comes_back():
    links = shaper.LinkShaper("a")
    assert links.delay_s(peer_in("b"), 10) == 0.0
    links.links.put(shaper.LinkSettings(between=("a", "b"), cut=True))
    assert links.delay_s(peer_in("b"), 10) is None
    links.links.put(shaper.LinkSettings(between=("a", "b")))
    assert links.delay_s(peer_in("b"), 10) == 0.0


def test_bandwidth_adds_to_the_delay():
    links = shaper.LinkShaper(
        "a",
        shaper.Links(
            [shaper.LinkSettings(between=("a", "*"), bytes_per_s=1000)]
        ),
    )
    assert links.delay_s(peer_in("b"), 500) == 0.5
