import dataclasses
import time

import front_fakes as fakes
import pytest

from dotterelgrade_front import chain_directory
from dotterelgrade_front import domain_spillover
from dotterelgrade_front import front_state
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import spillover


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now[0])
    return now


@pytest.fixture
def state(settings, platform, clock):
    made = front_state.FrontState(settings, platform=platform)
    made.set_fronts(f"10.0.0.{number}:1" for number in range(4))
    return made


def _offer(*domains):
    chains = tuple(
        chain_choice.Chain(
            stages=(
                chain_choice.Stage(
                    server_id=domain,
                    address=f"{domain}:1",
                    failure_domain=domain,
                    layers=layer_range.LayerRange(0, 8),
                ),
            ),
            step_s=0.01,
        )
        for domain in domains
    )
    return chain_directory.Offer(
        chains=chains,
        memory=dict.fromkeys(domains, 1e6),
        includes_suspects=False,
        fleet_version=1,
        computed_at=time.monotonic(),
        search_s=0.0,
    )


def _terms(state, offer, *, may_leave=True):
    return state.spillover.chain_terms(
        "model",
        offer,
        engine=fakes.ENGINE,
        may_leave=lambda: may_leave,
    )


def _fraction(state):
    (row,) = [
        line
        for line in state.metrics.as_text().decode().splitlines()
        if line.startswith("front_spillover_fraction{")
    ]
    return float(row.split()[-1])


def _changes(state):
    return [
        row.details
        for row in state.decisions.journal.latest()
        if row.decision == "spillover_changed"
    ]


@pytest.fixture
def full(state):
    """Chains in two domains, of which the home domain is full."""
    offer = _offer("a", "b")
    with state.load.reserved(offer.chains[0], tokens=30_000):
        state.load.set_others({"a": 0.7e6})
        yield offer


def test_a_full_home_domain_raises_the_fraction_and_records_it(
    state, full, clock
):
    _terms(state, full)
    assert 0 < _fraction(state) <= spillover.MAX_STEP
    (change,) = _changes(state)
    assert change["service"] == "model"
    assert change["domain"] == "b"
    assert change["home_s"] > change["away_s"]
    assert change["utilization"] > 0.9
    before = _fraction(state)
    clock[0] += 0.4
    _terms(state, full)
    assert _fraction(state) == before


def test_the_policy_fixed_keeps_the_costs(settings, state, full):
    state.reload(dataclasses.replace(settings, spillover="fixed"))
    assert _terms(state, full) == spillover.Terms()
    assert not _changes(state)
    state.reload(settings)
    _terms(state, full)
    assert _changes(state)


def test_the_policy_must_be_known(settings):
    with pytest.raises(ValueError, match="adaptive, fixed"):
        dataclasses.replace(settings, spillover="other")


def test_a_cut_link_is_left_out_until_a_probe_is_answered(state, full, clock):
    """A link is cut while the home domain is full."""
    for _ in range(2):
        with (
            pytest.raises(upstream.AttemptFailedError),
            state.spillover.crossing("model", "b"),
        ):
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.NEVER_SENT, "timed out"
            )
    terms = _terms(state, full)
    assert not state.spillover.permits(terms, "b")
    assert state.spillover.permits(terms, "a")
    clock[0] += 2.1
    assert not _terms(state, full, may_leave=False).is_probe
    probe = _terms(state, full)
    assert probe.is_probe
    assert state.spillover.permits(probe, "b")
    assert not state.spillover.permits(probe, "a")
    assert not _terms(state, full).is_probe
    with state.spillover.crossing("model", "b") as crossing:
        crossing.note_connected()
        crossing.note_answered()
    assert state.spillover.permits(_terms(state, full), "b")


def test_a_refusal_shows_that_the_link_works(state, full):
    """A server in the other domain is full and refuses at once."""
    for _ in range(2):
        with (
            pytest.raises(upstream.AttemptFailedError),
            state.spillover.crossing("model", "b"),
        ):
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.REFUSED, "status 503"
            )
    assert state.spillover.permits(_terms(state, full), "b")
    # A less urgent request, while the links are needed by others.
    kept = _terms(state, full, may_leave=False)
    assert not state.spillover.permits(kept, "b")


def _server(name):
    return backend_server.BackendServer(
        id=name,
        service="plain",
        address=f"{name}:1",
        failure_domain=name[0],
        availability=backend_server.Availability.READY,
        slots=8,
    )


def test_plain_calls_leave_a_domain_that_answers_late(state, clock):
    """The home domain queues; the front sees only how long answers take."""
    servers = [_server("a1"), _server("b1")]
    for step in range(200):
        clock[0] += 0.1
        state.spillover.note_sent("plain", "a")
        state.spillover.note_answer("plain", "b", 0.1)
        state.spillover.note_answer("plain", "a", 0.1 if step < 100 else 1.0)
        terms = state.spillover.server_terms("plain", servers)
        if step < 100:
            assert terms == spillover.Terms()
    assert _fraction(state) > 0


def test_attempts_in_another_domain_are_counted(state):
    for domain in ("a", "b", "b"):
        state.spillover.note_sent("plain", domain)
    text = state.metrics.as_text().decode()
    assert 'front_left_domain_total{service="plain"} 2.0' in text


def test_calls_have_a_rank_only_where_routes_differ(front):
    """A workspace's priority alone says nothing about other requests."""
    current = front.state.configuration

    class Call:
        service = current.services[0]
        priority = 7

    routes = tuple(dataclasses.replace(r, priority=1) for r in current.routes)
    alike = dataclasses.replace(current, routes=routes)
    assert domain_spillover.rank_of(Call, alike) == 0
    differing = [
        r
        for r in routes
        if any(s.service == Call.service.name for s in r.services)
    ]
    mixed = (dataclasses.replace(differing[0], priority=0), *routes)
    assert (
        domain_spillover.rank_of(
            Call, dataclasses.replace(current, routes=mixed)
        )
        == 7
    )


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
    front, policy, chance, served_by
):
    """With fixed costs, nearly all leave as soon as another domain is idle."""
    state = front.state
    state.reload(dataclasses.replace(state.settings, spillover=policy))
    state.rng.random = lambda: chance
    backends = {
        name: front.add(
            name,
            fakes.streaming(1, 2),
            service="model",
            layers=(0, 8),
            failure_domain=name[0],
        )
        for name in ("a1", "b1")
    }
    state.load.set_others({"a1": 0.7 * 150_000 * 8})
    assert front.ask("/stream/x", method="POST", body=b"p")[0] == 200
    assert [n for n, b in backends.items() if b.arrivals] == [served_by]


@pytest.mark.parametrize(
    ("path", "fields"),
    [
        ("/safe/x", {}),
        ("/stream/x", {"service": "model", "layers": (0, 8)}),
    ],
)
def test_failures_to_connect_stop_spillover(front, path, fields):
    """A link is cut; plain calls and streams show it alike."""
    state = front.state
    leaving = spillover.leaving_to("b")
    for name in ("b1", "b2"):
        front.add(name, failure_domain="b", **fields).stop()
    assert state.spillover.permits(leaving, "b")
    front.ask(path, method="POST", body=b"p")
    assert not state.spillover.permits(leaving, "b")
