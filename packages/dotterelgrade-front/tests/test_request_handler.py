import time

import front_fakes as fakes
import pytest

from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import feed_timing


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


@pytest.mark.parametrize(
    ("path", "key"), [("/added/", "secret"), ("/safe/", "added")]
)
def test_an_outdated_configuration_proves_no_absence(front, path, key):
    """The route or key may have been added since the store was last heard."""
    _set_age(front, feed_timing.CONFIGURATION_BOUND_S + 0.1)
    status, headers, body = front.ask(path, key=key)
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b"not_run" in body


def test_an_outdated_configuration_still_serves_what_it_knows(front):
    """A front that is cut off from the store goes on."""
    front.add("s", fakes.responding())
    _set_age(front, 60.0)
    assert front.ask("/safe/x")[0] == 200


def _set_age(front, age_s):
    front.state.known_configuration.freshness = feed_freshness.FeedFreshness(
        current_at=time.monotonic() - age_s,
        source=feed_freshness.ContactSource.PLANNER,
    )
