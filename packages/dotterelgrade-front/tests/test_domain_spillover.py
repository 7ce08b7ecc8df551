import dataclasses

import front_fakes as fakes
import pytest
import stream_fakes as streams

from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import spillover

_CAPACITY = 150_000 * 8


@pytest.fixture
def settings(settings):
    """Settings with the policy that is tested, which is not the default."""
    return dataclasses.replace(settings, spillover="adaptive")


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now[0])
    return now


@pytest.fixture
def busy(front):
    """A front with engines in two domains, of which its own one is busy."""
    front.backends_by_id = {
        name: front.add(
            name,
            fakes.streaming(1, 2),
            service="model",
            layers=(0, 8),
            failure_domain=name[0],
        )
        for name in ("a1", "b1")
    }
    front.state.load.set_others({"a1": 0.7 * _CAPACITY})
    return front


def _terms(front, *, may_leave=True):
    service = front.state.configuration.service("model")
    return front.state.spillover.chain_terms(
        "model",
        front.state.chains.offer(service),
        engine=fakes.ENGINE,
        may_leave=lambda: may_leave,
    )


def _fail(front, execution):
    """Sends two requests to domain b, which fail."""
    for _ in range(2):
        with (
            pytest.raises(upstream.AttemptFailedError),
            front.state.spillover.crossing("model", "b"),
        ):
            raise upstream.AttemptFailedError(execution, "failed")


def test_the_fraction_rises_by_a_step_in_half_a_second(busy, clock):
    for passed_s, changes in ((0.0, 1), (0.4, 1), (0.1, 2)):
        clock[0] += passed_s
        _terms(busy)
        records = streams.decisions(busy, "spillover_changed")
        assert len(records) == changes
    first, second = (record.details for record in records)
    assert (first["service"], first["domain"]) == ("model", "b")
    assert first["fraction"] == spillover.MAX_STEP
    assert first["home_s"] > first["away_s"]
    text = busy.state.metrics.as_text().decode()
    gauge = f'front_spillover_fraction{{service="model"}} {second["fraction"]}'
    assert gauge in text


@pytest.mark.parametrize(
    ("policy", "chance", "served_by"),
    [
        ("adaptive", 0.85, "a1"),
        ("adaptive", 0.2, "b1"),
        ("fixed", 0.85, "b1"),
        ("fixed", 0.2, "b1"),
    ],
)
def test_a_part_of_the_streams_leaves_a_busy_domain(
    busy, policy, chance, served_by
):
    """With fixed costs, nearly all leave as soon as another domain is idle."""
    state = busy.state
    state.reload(dataclasses.replace(state.settings, spillover=policy))
    state.rng.random = lambda: chance
    assert busy.ask("/stream/x", method="POST", body=b"p")[0] == 200
    backends = busy.backends_by_id.items()
    assert [n for n, b in backends if b.arrivals] == [served_by]
    left = 'front_left_domain_total{service="model"} 1.0'
    assert (left in state.metrics.as_text().decode()) is (served_by == "b1")


def test_a_cut_link_is_left_out_until_a_probe_is_answered(busy, clock):
    """A link is cut while the home domain is busy."""
    permits = busy.state.spillover.permits
    _fail(busy, attempt.ExecutionStatus.NEVER_SENT)
    terms = _terms(busy)
    assert (permits(terms, "a"), permits(terms, "b")) == (True, False)
    clock[0] += 2.1
    assert not _terms(busy, may_leave=False).is_probe
    probe = _terms(busy)
    assert (permits(probe, "a"), permits(probe, "b")) == (False, True)
    assert not _terms(busy).is_probe
    with busy.state.spillover.crossing("model", "b") as crossing:
        crossing.note_connected()
        crossing.note_answered()
    assert permits(_terms(busy), "b")
    # A less urgent request, while others need the links.
    assert not permits(_terms(busy, may_leave=False), "b")


def test_a_refusal_shows_that_the_link_works(busy):
    """A server in the other domain is full and refuses at once."""
    _fail(busy, attempt.ExecutionStatus.REFUSED)
    assert busy.state.spillover.permits(_terms(busy), "b")


@pytest.mark.parametrize(
    ("path", "fields"),
    [
        ("/safe/x", {}),
        ("/stream/x", {"service": "model", "layers": (0, 8)}),
    ],
)
def test_failures_to_connect_stop_spillover(front, path, fields):
    """A link is cut; plain calls and streams show it alike."""
    leaving = spillover.leaving_to("b")
    for name in ("b1", "b2"):
        front.add(name, failure_domain="b", **fields).stop()
    assert front.state.spillover.permits(leaving, "b")
    front.ask(path, method="POST", body=b"p")
    assert not front.state.spillover.permits(leaving, "b")


def test_plain_calls_leave_a_domain_that_answers_late(front, clock):
    """The home domain queues; the front sees only how long answers take."""
    known = front.state.spillover
    for name in ("a1", "a2", "b1", "b2"):
        front.add(name, failure_domain=name[0])
    in_force = []
    for step in range(200):
        clock[0] += 0.1
        known.note_sent("plain", "a")
        known.note_answer("plain", "b", 0.05)
        known.note_answer("plain", "a", 0.05 if step < 100 else 1.0)
        servers = front.state.fleet.ready("plain")
        in_force.append(known.server_terms("plain", servers).in_force)
    assert not any(in_force[:100])
    assert in_force[-1]
    assert streams.decisions(front, "spillover_changed")
