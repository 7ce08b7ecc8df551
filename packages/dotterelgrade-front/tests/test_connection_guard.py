import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade_front import connection_guard

_PHASES = connection_guard.Phase


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Connection:
    address: str
    phase: connection_guard.Phase
    active_at: float


def _connections(*rows):
    return [
        _Connection(address=address, phase=phase, active_at=float(number))
        for number, (address, phase) in enumerate(rows)
    ]


def _choose(connections, newcomer="z"):
    return connection_guard.choose(
        connections, newcomer=newcomer, address_share=0.5
    )


def test_idle_ones_are_closed_before_incomplete_heads_and_bodies():
    left = _connections(
        ("a", _PHASES.SERVING),
        ("b", _PHASES.BODY),
        ("c", _PHASES.HEAD),
        ("d", _PHASES.IDLE),
        ("e", _PHASES.IDLE),
    )
    order = []
    while victim := _choose(left):
        order.append(victim.address)
        left.remove(victim)
        # Keeps the shares of the addresses small.
        left += _connections(("f", _PHASES.SERVING), ("g", _PHASES.SERVING))
    assert order == ["d", "e", "c", "b"]


def test_a_request_in_service_is_not_cut_for_a_new_connection():
    """A stream that has begun takes precedence over a new one."""
    serving = _connections(*[(a, _PHASES.SERVING) for a in "abcd"])
    assert _choose(serving) is None


@pytest.mark.parametrize(("newcomer", "cut"), [("z", True), ("a", False)])
def test_an_address_with_most_connections_makes_room_for_others(newcomer, cut):
    rows = [("a", _PHASES.SERVING)] * 6 + [("b", _PHASES.IDLE)] * 2
    victim = _choose(_connections(*rows), newcomer)
    assert (victim is not None) == cut
    assert victim is None or victim.address == "a"


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.sampled_from(_PHASES)
        )
    )
)
def test_the_choice_is_one_of_the_connections(rows):
    connections = _connections(*rows)
    victim = _choose(connections)
    assert victim is None or victim in connections
