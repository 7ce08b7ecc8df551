import collections

import pytest
from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_entry import backend_view
from dotterelgrade_entry import planner
from dotterelgrade_entry import policies
from dotterelgrade_entry import request

LAYERS = 6


class FakePeer:
    def __init__(self, address, *, rtt_s=0.001, links=None):
        self.address = address
        self.rtt_s = rtt_s
        self.links = links or {}


class FakeFleet:
    def __init__(self):
        self.members = []

    def add(self, name, first, last, **changes):
        peer = FakePeer(f"{name}:7400", links=changes.pop("links", None))
        values = {
            "backend": "engine",
            "kind": "engine",
            "model": "inlay",
            "version": "1",
            "first_layer": first,
            "last_layer": last,
            "slots_free": 8,
            "step_ms": 5.0,
            "token_ms": 0.1,
            **changes,
        }
        report = messages.BackendReport(**values)
        # Long enough ago that slow start is over.
        times = iter([0.0])
        view = backend_view.BackendView(
            peer.address, report, clock=lambda: next(times, 1_000.0)
        )
        self.members.append((peer, view))
        return view

    def candidates(self, model):
        ranges = collections.defaultdict(list)
        for peer, view in self.members:
            report = view.report
            if report.model == model:
                layers = (report.first_layer, report.last_layer)
                ranges[layers].append((peer, view))
        return dict(ranges)


def _order(**changes):
    values = {
        "request_id": "r1",
        "workspace": "bench",
        "model": "inlay",
        "prompt": tuple(range(64)),
        "max_tokens": 16,
        **changes,
    }
    return request.RequestOrder(**values)


@pytest.fixture
def fleet():
    return FakeFleet()


def _planner(fleet, policy="predicted", candidates=6):
    return planner.Planner(
        fleet,
        policy=policies.POLICIES.make(policy),
        candidates_per_range=candidates,
    )


def _names(planned):
    return [stage.key.partition(":")[0] for stage in planned.unwrap().stages]


@pytest.mark.parametrize("policy", policies.POLICIES.names())
def test_every_policy_covers_all_layers_once_and_in_order(fleet, policy):
    for number in range(3):
        fleet.add(f"a{number}", 0, 2)
        fleet.add(f"b{number}", 3, 5)
        fleet.add(f"c{number}", 0, 1)
        fleet.add(f"d{number}", 2, 5)
        # Overlapping or dangling ranges that lead nowhere.
        fleet.add(f"x{number}", 1, 4)
        fleet.add(f"y{number}", 0, 3)
    for _ in range(30):
        chain = _planner(fleet, policy).plan(_order(), layers=LAYERS).unwrap()
        covered = [
            layer
            for stage in chain.stages
            for layer in range(stage.first_layer, stage.last_layer + 1)
        ]
        assert covered == list(range(LAYERS))


def test_the_quick_one_is_chosen_until_it_is_loaded(fleet):
    quick = fleet.add("quick", 0, 5, step_ms=5.0, sequence_ms=1.0)
    fleet.add("slow", 0, 5, step_ms=8.0, sequence_ms=1.0)
    plan = _planner(fleet)
    assert _names(plan.plan(_order(), layers=LAYERS)) == ["quick"]
    # Own admissions count although no report has come since.
    for number in range(7):
        quick.note_asked(f"r{number}", tokens=64)
    assert _names(plan.plan(_order(), layers=LAYERS)) == ["slow"]


def test_what_a_request_costs_others_counts(fleet):
    fleet.add("busy", 0, 5, step_ms=6.0, sequences=7, sequence_ms=2.0)
    fleet.add("idle", 0, 5, step_ms=9.0, sequence_ms=2.0)
    assert _names(_planner(fleet).plan(_order(), layers=LAYERS)) == ["idle"]


def test_a_chain_inside_the_bound_goes_before_a_cheaper_one_outside(fleet):
    fleet.add("cheap", 0, 5, step_ms=12.0, token_ms=0.01)
    fleet.add("inside", 0, 5, step_ms=8.0, token_ms=4.0)
    order = _order(between_tokens_s=0.010, max_tokens=2)
    assert _names(_planner(fleet).plan(order, layers=LAYERS)) == ["inside"]


def test_an_untried_engine_gets_one_request_to_show_its_speed(fleet):
    for number in range(3):
        fleet.add(f"known{number}", 0, 5, step_ms=5.0)
    untried = fleet.add("untried", 0, 5, step_ms=0.0, token_ms=0.0)
    untried._priors.note(fleet.members[0][1].report)
    plan = _planner(fleet)
    assert _names(plan.plan(_order(), layers=LAYERS)) == ["untried"]
    untried.note_asked("r1", tokens=1)
    assert _names(plan.plan(_order(), layers=LAYERS)) != ["untried"]


def test_a_slow_link_is_avoided(fleet):
    links = {"near:7400": 0.2, "far:7400": 50.0}
    fleet.add("first", 0, 2, links=links)
    fleet.add("far", 3, 5, step_ms=5.0)
    fleet.add("near", 3, 5, step_ms=6.0)
    names = _names(_planner(fleet).plan(_order(), layers=LAYERS))
    assert names == ["first", "near"]


def test_a_cached_prefix_wins_between_equals(fleet):
    fleet.add("one", 0, 5)
    other = fleet.add("other", 0, 5)
    order = _order()
    other.prefixes.note(order.prefixes)
    for _ in range(10):
        planned = _planner(fleet).plan(order, layers=LAYERS)
        assert _names(planned) == ["other"]


def test_full_chains_and_missing_chains_are_told_apart(fleet):
    view = fleet.add("a", 0, 5, slots_free=1)
    plan = _planner(fleet)
    assert isinstance(plan.plan(_order(), layers=LAYERS), result.Success)
    view.note_asked("r0", tokens=1)
    full = plan.plan(_order(), layers=LAYERS).failure()
    assert full.kind is errors.ErrorKind.OVER_BOUND
    absent = plan.plan(_order(), layers=LAYERS + 1).failure()
    assert absent.kind is errors.ErrorKind.NO_CAPACITY
    other = plan.plan(_order(model="other"), layers=LAYERS).failure()
    assert other.kind is errors.ErrorKind.NO_CAPACITY


@pytest.mark.parametrize("policy", policies.POLICIES.names())
def test_a_chain_never_mixes_versions(fleet, policy):
    for number in range(4):
        fleet.add(f"old-a{number}", 0, 2, version="1")
        fleet.add(f"old-b{number}", 3, 5, version="1")
        fleet.add(f"new-a{number}", 0, 2, version="2")
    plan = _planner(fleet, policy)

    def versions(wanted):
        chains = [
            plan.plan(_order(), layers=LAYERS, version=wanted).unwrap()
            for _ in range(10)
        ]
        return {stage.version for chain in chains for stage in chain.stages}

    # The wanted version does not cover the model yet.
    assert versions("2") == {"1"}
    fleet.add("new-b", 3, 5, version="2")
    assert versions("2") == {"2"}
    assert versions("1") == {"1"}
    chain = plan.plan(_order(), layers=LAYERS, version="2").unwrap()
    missing = plan.plan_stage(
        _order(), chain=chain.stages, index=1, avoid={"new-b:7400/engine"}
    )
    assert missing.failure().kind is errors.ErrorKind.NO_CAPACITY


def test_a_replacement_has_the_same_layers_and_is_another(fleet):
    for name in ("a1", "a2"):
        fleet.add(name, 0, 2)
    fleet.add("b", 3, 5)
    fleet.add("whole", 0, 5)
    plan = _planner(fleet)
    chain = plan.plan(_order(), layers=LAYERS, avoid={"whole:7400/engine"})
    stages = chain.unwrap().stages
    replaced = plan.plan_stage(
        _order(), chain=stages, index=0, avoid={stages[0].key}
    ).unwrap()
    assert (replaced.first_layer, replaced.last_layer) == (0, 2)
    assert replaced.key != stages[0].key
    missing = plan.plan_stage(
        _order(), chain=stages, index=1, avoid={stages[1].key}
    )
    assert missing.failure().kind is errors.ErrorKind.NO_CAPACITY


def test_the_cost_of_planning_is_bounded_by_the_sample(fleet):
    for number in range(300):
        fleet.add(f"a{number}", 0, 2)
        fleet.add(f"b{number}", 3, 5)
    plan = _planner(fleet, candidates=3)
    looked_at = []
    own_cost = plan._own_cost
    plan._own_cost = lambda stage, order: (
        looked_at.append(stage) or own_cost(stage, order)
    )
    plan.plan(_order(), layers=LAYERS)
    assert len(looked_at) == 6
