import time

from dotterelgrade_routing import feed_freshness


def test_a_rejection_names_version_and_age_of_the_configuration(front):
    """Operators must see whether a 404 came from an outdated version."""
    front.state.known_configuration.freshness = feed_freshness.FeedFreshness(
        end=7,
        era=1,
        current_at=time.monotonic() - 1.0,
        source=feed_freshness.ContactSource.PLANNER,
    )
    assert front.ask("/nowhere/")[0] == 404
    details = front.state.decisions.journal.latest()
    rejected = [d for d in details if "request_rejected" in str(d)]
    assert len(rejected) == 1
    for part in ("'version': 1", "'end': 7", "'era': 1", "planner", "r1"):
        assert part in str(rejected[0])
