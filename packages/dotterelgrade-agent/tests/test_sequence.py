import dataclasses

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_agent import sequence as sequence_lib

HOP = messages.Hop(host="127.30.0.2", port=7400, backend="engine")


def _admit(**changes):
    values = {
        "request_id": "r1",
        "attempt": 1,
        "stage": 1,
        "backend": "engine",
        "model": "inlay",
        "first_layer": 0,
        "last_layer": 2,
        "next_hop": HOP,
        "workspace": "bench",
        "priority": 5,
        "deadline_ms": 1_000.0,
        "prompt_tokens": 4,
        "max_tokens": 500,
    }
    return messages.Admit(**{**values, **changes})


def _sequence(*, buffer_values=1_000, **changes):
    return sequence_lib.Sequence(_admit(**changes), buffer_values=buffer_values)


def _step(position, inputs, *, attempt=1):
    return messages.Step(
        request_id="r1",
        attempt=attempt,
        stage=1,
        position=position,
        inputs=tuple(inputs),
    )


def _rewire(attempt, *, mute_before=0, next_hop=HOP):
    return messages.Rewire(
        request_id="r1",
        attempt=attempt,
        stage=1,
        next_hop=next_hop,
        mute_before=mute_before,
    )


def _run(sequence, limit=100):
    """Runs what waits; the engine doubles each input."""
    work = sequence.take(limit)
    outputs = [2 * value for value in work.inputs]
    if sequence.next_hop is None:
        outputs = outputs[-1:]
    return sequence.complete(outputs)


def test_a_step_runs_and_its_outputs_go_on():
    sequence = _sequence()
    assert sequence.offer(_step(0, [1, 2, 3, 4])).unwrap().accepted == 4
    (sent,) = _run(sequence)
    assert (sent.stage, sent.position) == (2, 0)
    assert sent.inputs == (2, 4, 6, 8)


def test_a_repeated_step_is_answered_from_the_buffer_and_not_run():
    sequence = _sequence()
    sequence.offer(_step(0, [1, 2, 3, 4]))
    (first,) = _run(sequence)
    offer = sequence.offer(_step(0, [1, 2, 3, 4])).unwrap()
    assert offer.accepted == 0
    assert offer.resend == (first,)
    assert not sequence.is_runnable


def test_a_step_that_waits_is_not_queued_twice():
    sequence = _sequence()
    sequence.offer(_step(0, [1, 2]))
    offer = sequence.offer(_step(0, [1, 2, 3])).unwrap()
    assert (offer.accepted, offer.resend) == (1, ())
    assert sequence.take(100).inputs == (1, 2, 3)


def test_a_gap_is_an_error():
    sequence = _sequence()
    sequence.offer(_step(0, [1]))
    answer = sequence.offer(_step(2, [3]))
    assert answer.failure().kind == errors.ErrorKind.INTERRUPTED


def test_a_replacement_waits_for_position_0():
    sequence = _sequence()
    offer = sequence.offer(_step(3, [4])).unwrap()
    assert offer.ignored
    assert not sequence.is_runnable


@pytest.mark.parametrize("attempt", [0, 2])
def test_a_step_of_another_attempt_is_dropped(attempt):
    sequence = _sequence()
    offer = sequence.offer(_step(0, [1], attempt=attempt)).unwrap()
    assert offer.ignored
    assert not sequence.is_runnable


@pytest.mark.parametrize(("position", "inputs"), [(-1, [1]), (0, [])])
def test_a_step_without_valid_positions_is_an_error(position, inputs):
    answer = _sequence().offer(_step(position, inputs))
    assert isinstance(answer, result.Failure)


def test_a_step_beyond_what_was_admitted_is_an_error():
    sequence = _sequence(prompt_tokens=4, max_tokens=2)
    assert isinstance(sequence.offer(_step(0, range(7))), result.Failure)
    assert sequence.offer(_step(0, range(6))).unwrap().accepted == 6


def test_a_muted_replacement_sends_only_from_the_current_step_on():
    sequence = _sequence(mute_before=3)
    sequence.offer(_step(0, [1, 2, 3, 4]))
    assert sequence.take(2).position == 0
    assert sequence.complete([2, 4]) == ()
    (sent,) = _run(sequence)
    assert (sent.position, sent.inputs) == (3, (8,))


def test_the_last_stage_sends_the_token_after_the_whole_prompt():
    sequence = _sequence(next_hop=None)
    sequence.offer(_step(0, [1, 2, 3, 4]))
    sequence.take(2)
    assert sequence.complete([70]) == ()
    (token,) = _run(sequence)
    assert (token.position, token.token) == (4, 8)
    assert sequence.offer(_step(0, [1, 2, 3, 4])).unwrap().resend == (token,)


def test_a_replay_to_a_new_hop_holds_every_output():
    sequence = _sequence()
    sequence.offer(_step(0, [1, 2, 3, 4]))
    _run(sequence)
    sequence.offer(_step(4, [5]))
    _run(sequence)
    other = dataclasses.replace(HOP, host="127.30.0.3")
    rewired = sequence.rewire(_rewire(2, mute_before=4, next_hop=other))
    assert rewired.unwrap().replayable
    assert rewired.unwrap().next_position == 5
    assert sequence.replay(1).unwrap() == ()
    (sent,) = sequence.replay(2).unwrap()
    assert (sent.attempt, sent.position) == (2, 0)
    assert sent.inputs == (2, 4, 6, 8, 10)
    assert sequence.next_hop == other


def test_a_full_buffer_is_not_replayable_and_says_so():
    sequence = _sequence(buffer_values=3)
    sequence.offer(_step(0, [1, 2, 3, 4]))
    (sent,) = _run(sequence)
    assert sent.inputs == (2, 4, 6, 8)
    assert not sequence.rewire(_rewire(2)).unwrap().replayable
    assert isinstance(sequence.replay(2), result.Failure)
    answer = sequence.offer(_step(0, [1, 2, 3, 4], attempt=2))
    assert answer.failure().kind == errors.ErrorKind.INTERRUPTED


def test_a_lower_attempt_can_not_rewire():
    sequence = _sequence(attempt=5)
    assert isinstance(sequence.rewire(_rewire(4)), result.Failure)
    assert sequence.attempt == 5


def test_nothing_leaves_a_released_sequence():
    sequence = _sequence()
    sequence.offer(_step(0, [1, 2]))
    sequence.take(1)
    sequence.release()
    assert sequence.complete([2]) == ()
    assert not sequence.is_runnable
    assert sequence.offer(_step(2, [3])).unwrap().ignored


@pytest.mark.parametrize("outputs", [[], [1], [1, 2, 3], [1, -1], [1, 2**63]])
def test_outputs_of_the_wrong_number_or_range_are_seen(outputs):
    sequence = _sequence()
    sequence.offer(_step(0, [1, 2]))
    sequence.take(2)
    assert not sequence.expects(outputs)
    assert sequence.expects([1, 2])


class SequenceMachine(stateful.RuleBasedStateMachine):
    """Steps come late, twice and of other attempts; the engine counts."""

    def __init__(self):
        super().__init__()
        self.sequence = _sequence(attempt=1)
        self.attempt = 1
        self.ran = []
        self.work = None
        self.offered = 0
        self.received = {}

    def _receive(self, outputs):
        for step in outputs:
            assert step.attempt == self.attempt
            for offset, value in enumerate(step.inputs):
                position = step.position + offset
                assert self.received.setdefault(position, value) == value

    @stateful.rule(
        back=st.integers(0, 5), count=st.integers(1, 4), late=st.booleans()
    )
    def offer(self, back, count, late):
        position = max(self.offered - back, 0)
        attempt = self.attempt - 1 if late else self.attempt
        inputs = range(position, position + count)
        answer = self.sequence.offer(_step(position, inputs, attempt=attempt))
        offer = answer.unwrap()
        if late:
            assert offer.ignored
            return
        self.offered = max(self.offered, position + count)
        self._receive(offer.resend)

    @stateful.rule(ahead=st.integers(1, 3))
    def offer_with_a_gap(self, ahead):
        step = _step(self.offered + ahead, [0], attempt=self.attempt)
        answer = self.sequence.offer(step)
        if self.offered:
            assert isinstance(answer, result.Failure)
        else:
            assert answer.unwrap().ignored

    @stateful.precondition(lambda self: self.sequence.is_runnable)
    @stateful.rule(limit=st.integers(1, 4))
    def take(self, limit):
        self.work = self.sequence.take(limit)

    @stateful.precondition(lambda self: self.work is not None)
    @stateful.rule()
    def complete(self):
        self.ran.extend(
            range(
                self.work.position, self.work.position + len(self.work.inputs)
            )
        )
        outputs = [2 * value for value in self.work.inputs]
        self.work = None
        self._receive(self.sequence.complete(outputs))

    @stateful.rule()
    def rewire_and_replay(self):
        self.attempt += 1
        rewired = self.sequence.rewire(_rewire(self.attempt)).unwrap()
        assert rewired.next_position == len(self.ran)
        self._receive(self.sequence.replay(self.attempt).unwrap())

    @stateful.invariant()
    def every_position_runs_once_and_in_order(self):
        assert self.ran == list(range(len(self.ran)))

    @stateful.invariant()
    def the_next_hop_has_every_output_and_no_other(self):
        expected = {position: 2 * position for position in self.ran}
        assert self.received == expected


SequenceMachine.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestSequenceMachine = SequenceMachine.TestCase
