import dataclasses
import time

import front_fakes as fakes
import pytest

from dotterelgrade_routing import configuration
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


@pytest.mark.parametrize("path", ["stream", "once"])
def test_the_log_tells_a_broken_stream_from_a_caller_that_left(front, path):
    """Both were logged as `caller_gone`."""
    front.add(
        "a1",
        fakes.streaming(1, 2, end=False),
        service="model",
        layers=(0, 8),
    )
    front.ask(f"/{path}/x", method="POST", body=b"p")
    ended = _ended(front)
    assert "stream_broken" in ended
    assert "'servers': 1" in ended
    assert "'response_bytes': 0" not in ended


def test_the_log_names_a_fault_in_the_front(front, monkeypatch):
    """A fault was logged as `caller_gone`, and not for which request."""
    monkeypatch.setattr(front.handler, "_admit_call", None)
    assert front.ask("/safe/x")[0] is None
    ended = _ended(front)
    assert "internal" in ended
    assert "'response_bytes': 0" in ended


@pytest.mark.parametrize(
    ("weights", "status"),
    [
        ((), 503),
        ((("gone", 1),), 503),
        ((("plain", 0),), 200),
        ((("plain", -1), ("plain", 1)), 200),
        ((("plain", 1e308), ("plain", 1e308)), 200),
        ((("gone", 1), ("plain", 0)), 200),
    ],
)
def test_a_route_with_unusual_weights_answers(front, weights, status):
    """The request ended with a closed connection, or 503 by chance."""
    front.add("s", fakes.responding())
    services = tuple(
        configuration.ServiceWeight(service=name, weight=weight)
        for name, weight in weights
    )
    route = fakes.route("split", idempotent=True, services=services)
    known = front.state.known_configuration
    known.configuration = dataclasses.replace(
        known.configuration, routes=(route,)
    )
    assert front.ask("/split/x")[0] == status


def _ended(front):
    """Returns the one decision on the end of a request."""
    decisions = front.state.decisions.journal.latest()
    ended = [str(d) for d in decisions if "request_ended" in str(d)]
    assert len(ended) == 1
    return ended[0]


def _set_age(front, age_s):
    front.state.known_configuration.freshness = feed_freshness.FeedFreshness(
        current_at=time.monotonic() - age_s,
        source=feed_freshness.ContactSource.PLANNER,
    )
