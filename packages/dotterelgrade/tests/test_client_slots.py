"""Guards against a socket that is full of clients that do nothing."""

import contextlib

import pytest

from dotterelgrade import client_slots

_Phase = client_slots.Phase


@pytest.fixture
def place():
    """Takes places in one set of slots, and says which were closed."""
    with contextlib.ExitStack() as stack:
        closed = []
        slots = client_slots.ClientSlots(capacity=4, held_bytes=100)

        def take(name, *, phase=_Phase.IDLE, address=None):
            slot = stack.enter_context(
                slots.hold(address or name, lambda: closed.append(name))
            )
            if slot is not None:
                slot.enter(phase)
            return slot

        take.closed, take.slots = closed, slots
        yield take


def test_the_oldest_connection_that_is_worth_least_makes_room(place):
    place("stream", phase=_Phase.SERVICE)
    place("head", phase=_Phase.HEAD)
    place("old")
    place("young")
    for name in ("a", "b", "c"):
        assert place(name, phase=_Phase.BODY)
    assert place.closed == ["old", "young", "head"]
    assert len(place.slots) == 4


def test_an_address_with_more_than_half_gives_up_its_own_first(place):
    place("good")
    for number in range(3):
        place(f"bad {number}", address="bad")
    assert place("another")
    assert place.closed == ["bad 0"]


def test_requests_in_service_are_not_closed_for_a_new_connection(place):
    for number in range(4):
        place(str(number), phase=_Phase.SERVICE)
    assert place("new") is None
    assert place.closed == []


def test_old_answers_make_room_for_new_ones(place):
    first = place("first", phase=_Phase.ANSWER)
    second = place("second", phase=_Phase.ANSWER)
    first.resize(80)
    second.resize(500)
    assert place.closed == ["first"]
    assert place.slots.held_bytes == 500
    first.resize(0)
    second.resize(0)
    assert place.slots.held_bytes == 0


def test_an_ended_connection_leaves_nothing(place):
    with place.slots.hold("a", lambda: None) as slot:
        slot.enter(_Phase.ANSWER)
        slot.resize(50)
    assert (len(place.slots), place.slots.held_bytes) == (0, 0)


def test_a_new_connection_outlives_those_that_wait_longer(place):
    """The load balancer's check was closed before its request was read."""
    for number in range(4):
        place(f"half a head {number}", phase=_Phase.HEAD)
    with place.slots.hold("check", lambda: place.closed.append("check")):
        for number in range(3):
            place(f"later {number}", phase=_Phase.HEAD)
        assert "check" not in place.closed
