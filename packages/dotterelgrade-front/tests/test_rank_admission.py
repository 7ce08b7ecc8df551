"""Decisions with ranks, and the same ones as before without."""

import types

import front_fakes as fakes
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
import pytest
import stream_fakes as streams

from dotterelgrade_front import stream_admission
from dotterelgrade_routing import admission
from dotterelgrade_routing import rank_demand

_FRACTIONS = st.floats(0.0, 1.0, exclude_max=True)


@pytest.fixture
def ranked(front):
    """A front with two chains and two ranks, whose memory is nearly full."""
    known = front.state.known_configuration
    known.configuration = fakes.with_ranks(known.configuration)
    streams.add_chains(front, [fakes.silent], [fakes.silent])
    _set_used(front.state, 0.9)
    # Above the probability with which a rank gets its guaranteed part.
    front.state.rng.random = lambda: 0.9
    return front


def _admission(state, *, rank=None):
    """Returns the admission of a request, without a budget of links."""
    call = types.SimpleNamespace(
        facts=types.SimpleNamespace(
            prompt_tokens=10, expected_answer_tokens=0, max_answer_tokens=0
        ),
        service=state.configuration.service("model"),
        rank=rank,
        workspace="bench",
        request_id="r",
        unreachable=set(),
        refused_by=set(),
        refusals=0,
        attempts=[],
        may_have_run=False,
        remaining_s=10.0,
        may_send_to=lambda server_id, *, pending: True,
    )
    repair = types.SimpleNamespace(
        has_link_budget=lambda chain, *, tokens: True,
        charge_link_budget=lambda chain, *, tokens: None,
    )
    return stream_admission.StreamAdmission(state, call=call, repair=repair)


def _is_admitted(state, rank, *, begun=False, is_retry=False):
    decision = _admission(state, rank=rank).admit(
        begun=begun, is_retry=is_retry
    )
    return isinstance(decision, admission.Admitted)


def _set_used(state, share):
    memory = state.chains.offer(state.configuration.service("model")).memory
    state.load.set_others({name: share * v for name, v in memory.items()})


def _urgent_demand(state):
    row = rank_demand.RankDemand(
        service="model", rank=0, load_per_s=1e12, moved_per_s=0.0
    )
    state.rank_admission.set_totals([row])


@examples(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    used=st.floats(0.0, 1.6),
    chances=st.lists(_FRACTIONS, min_size=1, max_size=5),
    begun=st.booleans(),
    is_retry=st.booleans(),
)
def test_without_ranks_both_policies_decide_alike(
    front, used, chances, begun, is_retry
):
    """The configuration has no ranks: nothing may differ, nor be counted."""
    state = front.state
    if not front.backends:
        streams.add_chains(front, [fakes.silent], [fakes.silent])
    _set_used(state, used)
    _urgent_demand(state)
    decisions = {}
    for policy in ("uniform", "priority"):
        state.rank_admission.set_policy(policy)
        while state.retry_budget_for("model").left < len(chances):
            state.retry_budget_for("model").note_request()
        drawn = iter(chances)
        state.rng.random = lambda drawn=drawn: next(drawn)
        decisions[policy] = [
            _admission(state).admit(begun=begun, is_retry=is_retry)
            for _ in chances
        ]
    assert decisions["uniform"] == decisions["priority"]
    assert not state.rank_admission.own_rows
    assert b"front_admissions_total{" not in state.metrics.as_text()
    chosen = streams.decisions(front, "chain_chosen")
    assert all("limit" not in record.details for record in chosen)


def test_a_low_rank_is_refused_below_full_memory(ranked):
    """Load pattern: urgent requests need the memory that is still free."""
    state = ranked.state
    assert _is_admitted(state, 1)
    _urgent_demand(state)
    assert [_is_admitted(state, rank) for rank in (0, 1)] == [True, False]
    (refused,) = streams.decisions(ranked, "refused")
    assert refused.reason == "memory kept for more urgent requests"
    inputs = [refused.details[n] for n in ("rank", "limit", "workspace_over")]
    assert inputs == [1, 0.5, False]
    text = state.metrics.as_text()
    assert b'front_admissions_total{outcome="refused",rank="1"} 1.0' in text
    assert b'front_rank_limit{rank="1"} 0.5' in text
    state.rank_admission.set_policy("uniform")
    assert _is_admitted(state, 1)


def test_begun_streams_are_neither_limited_nor_out_of_retries(ranked):
    """Load pattern: a stage crashes while urgent requests press."""
    state = ranked.state
    budget = state.retry_budget_for("model")
    while budget.left > 2:
        budget.spend()
    assert not _admission(state, rank=1).may_retry(begun=False)
    assert not _is_admitted(state, 1, is_retry=True)
    (refused,) = streams.decisions(ranked, "refused")
    assert refused.reason == "retry budget empty"
    _urgent_demand(state)
    _set_used(state, 1.2)
    assert _is_admitted(state, 1, begun=True, is_retry=True)
    (row,) = [r for r in state.rank_admission.own_rows if r.moved_per_s]
    assert row.rank == 1


def test_only_the_first_attempt_of_a_request_counts_as_arrival(ranked):
    admissions = _admission(ranked.state, rank=1)
    admissions.admit(begun=False, is_retry=False)
    (before,) = ranked.state.rank_admission.own_rows
    admissions.admit(begun=False, is_retry=True)
    (after,) = ranked.state.rank_admission.own_rows
    assert after.load_per_s <= before.load_per_s
