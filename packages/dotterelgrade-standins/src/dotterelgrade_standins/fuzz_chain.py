"""Fuzzing of one request's chain: the real `Request` and `Sequence`.

Frames travel in one queue per pair of sender and receiver and are delivered in
any order between the queues. Stages die, or are replaced while they still run;
links lose what is on them.
"""

import collections
import dataclasses
import random
from typing import Any

from hypothesis import stateful
from hypothesis import strategies
from returns import result

from dotterelgrade import messages
from dotterelgrade_agent import sequence as sequence_lib
from dotterelgrade_entry import request as request_lib
from dotterelgrade_standins import fuzz
from dotterelgrade_standins import layers
from dotterelgrade_standins import oracle

_MODEL = "inlay"
_LAYERS = 6
_ENTRY = -1
_SPLITS = ((1, 2, 3), (2, 2, 2), (2, 4), (6,))
_MAX_DRAIN = 10_000
_MAX_FAULTS = 4
_acts = strategies.integers(min_value=1, max_value=60)
_seeds = strategies.integers(min_value=0, max_value=2**16)


@dataclasses.dataclass(eq=False, kw_only=True)
class _Stage:
    """One incarnation of a stage with its engine."""

    number: int
    sequence: sequence_lib.Sequence
    engine: layers.LayerRange
    is_last: bool
    first_layer: int
    outputs: list[int] | None = None
    is_dead: bool = False

    def run(self, limit: int) -> sequence_lib.Work:
        """Runs the next positions; `finish` hands the outputs back."""
        work = self.sequence.take(limit)
        outputs = [
            self.engine.run(value, work.position + index)
            for index, value in enumerate(work.inputs)
        ]
        if self.is_last:
            outputs = [outputs[-1] % layers.VOCABULARY]
        self.outputs = outputs
        return work

    def finish(self) -> tuple[sequence_lib.Output, ...]:
        """Hands the outputs of the last run to the sequence."""
        outputs, self.outputs = self.outputs, None
        return self.sequence.complete(outputs)


@fuzz.target("chain", examples=600, steps=12)
class ChainMachine(stateful.RuleBasedStateMachine):
    """One entry, up to three stages and their replacements."""

    def __init__(self) -> None:
        """Initializes a machine without a request."""
        super().__init__()
        self._judge = oracle.Oracle(layers_of={_MODEL: _LAYERS})
        self._queues: dict[tuple[int, int], collections.deque] = (
            collections.defaultdict(collections.deque)
        )
        self._all: dict[int, _Stage] = {}
        self._chain: list[_Stage] = []
        self._awaited: set[int] = set()
        self._replaced: set[int] = set()
        self._faults = 0

    @stateful.initialize(
        words=strategies.integers(min_value=1, max_value=4),
        max_tokens=strategies.integers(min_value=3, max_value=8),
        split=strategies.sampled_from(_SPLITS),
        buffer_values=strategies.sampled_from((1_000, 4)),
    )
    def start(
        self,
        words: int,
        max_tokens: int,
        split: tuple[int, ...],
        buffer_values: int,
    ) -> None:
        """A caller asks, and the first chain is admitted."""
        prompt = " ".join(f"w{number}" for number in range(words))
        self._judge.sent(
            call="c", model=_MODEL, prompt=prompt, max_tokens=max_tokens
        )
        self._request = request_lib.Request(
            request_lib.RequestOrder(
                request_id="r",
                workspace="bench",
                model=_MODEL,
                prompt=layers.tokenize(prompt),
                max_tokens=max_tokens,
            )
        )
        self._expected = layers.expected_tokens(
            layers.tokenize(prompt), layers=_LAYERS, max_tokens=max_tokens
        )
        self._split = split
        self._buffer_values = buffer_values
        self._restart()

    # What the entry does.

    def _restart(self) -> None:
        self._request.begin_attempt()
        self._awaited = set()
        first = len(self._all)
        self._chain = [
            self._new_stage(index, next_number=first + index + 1)
            for index in range(len(self._split))
        ]
        self._send(_ENTRY, self._chain[0].number, self._request.whole_step())

    def _new_stage(
        self, index: int, *, next_number: int, mute_before: int = 0
    ) -> _Stage:
        order = self._request.order
        first = sum(self._split[:index])
        last = first + self._split[index] - 1
        is_last = index + 1 == len(self._split)
        admit = messages.Admit(
            request_id=order.request_id,
            attempt=self._request.attempt,
            stage=index,
            backend="engine",
            model=_MODEL,
            first_layer=first,
            last_layer=last,
            next_hop=None if is_last else _hop(next_number),
            workspace=order.workspace,
            priority=order.priority,
            deadline_ms=1.0,
            prompt_tokens=self._request.next_position,
            max_tokens=self._request.tokens_left,
            mute_before=mute_before,
        )
        stage = _Stage(
            number=len(self._all),
            sequence=sequence_lib.Sequence(
                admit, buffer_values=self._buffer_values
            ),
            engine=layers.LayerRange(first, last),
            is_last=is_last,
            first_layer=first,
        )
        self._all[stage.number] = stage
        return stage

    def _replace(self, index: int) -> None:
        if self._awaited or len(self._chain) == 1:
            self._restart()
            return
        current = self._request.current_step().position
        self._request.begin_attempt()
        is_last = index + 1 == len(self._chain)
        self._chain[index] = self._new_stage(
            index,
            next_number=0 if is_last else self._chain[index + 1].number,
            mute_before=current,
        )
        self._replaced = {index}
        for number, stage in enumerate(self._chain):
            if number != index:
                self._awaited.add(stage.number)
                self._send(_ENTRY, stage.number, self._rewire(number, current))

    def _rewire(self, index: int, mute_before: int) -> messages.Rewire:
        is_last = index + 1 == len(self._chain)
        return messages.Rewire(
            request_id=self._request.request_id,
            attempt=self._request.attempt,
            stage=index,
            next_hop=None if is_last else _hop(self._chain[index + 1].number),
            mute_before=mute_before,
        )

    def _resume(self) -> None:
        (index,) = self._replaced
        if index:
            replay = messages.Replay(
                request_id=self._request.request_id,
                attempt=self._request.attempt,
            )
            self._send(_ENTRY, self._chain[index - 1].number, replay)
            # The entry goes on only after the agent took the order.
            self._deliver_all(_ENTRY, self._chain[index - 1].number)
        else:
            for step in self._request.rebuild_steps():
                self._send(_ENTRY, self._chain[0].number, step)
        self._resend_current()

    def _continue(self) -> None:
        if not self._request.is_finished:
            self._resend_current()

    def _resend_current(self) -> None:
        step = self._request.current_step()
        self._send(_ENTRY, self._chain[0].number, step)

    def _at_entry(self, source: int, message: Any) -> None:
        if isinstance(message, messages.Token):
            is_last = source == self._chain[-1].number
            if is_last and self._request.accept(message):
                self._continue()
        elif isinstance(message, messages.StageFailed):
            if message.attempt == self._request.attempt:
                self._restart()
        elif message.attempt == self._request.attempt:
            self._rewired(source, message)

    def _rewired(self, source: int, message: messages.Rewired) -> None:
        (index,) = self._replaced
        is_source = message.stage == index - 1
        current = self._request.current_step().position
        if message.next_position < current or (
            is_source and not message.replayable
        ):
            self._restart()
            return
        self._awaited.discard(source)
        if not self._awaited:
            self._resume()

    # What the agents do.

    def _at_stage(self, stage: _Stage, message: Any) -> None:
        sequence = stage.sequence
        if isinstance(message, messages.Rewire):
            answer = sequence.rewire(message)
            if isinstance(answer, result.Success):
                self._send(stage.number, _ENTRY, answer.unwrap())
        elif isinstance(message, messages.Replay):
            self._pass_on(stage, sequence.replay(message.attempt))
        else:
            offer = sequence.offer(message)
            self._pass_on(stage, offer.map(lambda taken: taken.resend))

    def _pass_on(self, stage: _Stage, outputs: result.Result) -> None:
        sequence = stage.sequence
        if isinstance(outputs, result.Failure):
            failed = messages.StageFailed(
                request_id=sequence.request_id,
                attempt=sequence.attempt,
                stage=sequence.stage,
                kind=outputs.failure().kind,
                message=outputs.failure().message,
            )
            self._send(stage.number, _ENTRY, failed)
            return
        hop = sequence.next_hop
        target = _ENTRY if hop is None else hop.port
        for output in outputs.unwrap():
            self._send(stage.number, target, output)

    # The links.

    def _send(self, source: int, target: int, message: Any) -> None:
        self._queues[(source, target)].append(message)

    def _deliver(self, key: tuple[int, int]) -> None:
        source, target = key
        message = self._queues[key].popleft()
        if target == _ENTRY:
            self._at_entry(source, message)
        elif not self._all[target].is_dead:
            self._at_stage(self._all[target], message)

    def _deliver_all(self, source: int, target: int) -> None:
        while self._queues[(source, target)]:
            self._deliver((source, target))

    def _full_queues(self) -> list[tuple[int, int]]:
        return [key for key, queue in self._queues.items() if queue]

    def _runnable(self) -> list[_Stage]:
        return [
            stage
            for stage in self._all.values()
            if stage.sequence.is_runnable and not stage.is_dead
        ]

    def _running(self) -> list[_Stage]:
        return [
            stage
            for stage in self._all.values()
            if stage.outputs is not None and not stage.is_dead
        ]

    def _run(self, stage: _Stage, limit: int = _MAX_DRAIN) -> None:
        work = stage.run(limit)
        self._judge.ran_step(
            engine=f"engine-{stage.number}",
            host=f"host-{stage.number}",
            sequence=stage.sequence.engine_id,
            position=work.position,
            count=len(work.inputs),
            first_layer=stage.first_layer,
            at_s=0.0,
        )

    def _finish(self, stage: _Stage) -> None:
        self._pass_on(stage, result.Success(stage.finish()))

    @stateful.precondition(lambda self: self._full_queues())
    @stateful.rule(data=strategies.data())
    def deliver(self, data: strategies.DataObject) -> None:
        """One link delivers its next frame."""
        self._deliver(data.draw(strategies.sampled_from(self._full_queues())))

    @stateful.precondition(lambda self: self._runnable())
    @stateful.rule(
        data=strategies.data(),
        limit=strategies.integers(min_value=1, max_value=4),
    )
    def run_engine(self, data: strategies.DataObject, limit: int) -> None:
        """An engine runs a batch; its answer is on the way."""
        stage = data.draw(strategies.sampled_from(self._runnable()))
        self._run(stage, limit)

    @stateful.precondition(lambda self: self._running())
    @stateful.rule(data=strategies.data())
    def finish_batch(self, data: strategies.DataObject) -> None:
        """An engine's answer arrives at its agent."""
        self._finish(data.draw(strategies.sampled_from(self._running())))

    @stateful.rule(acts=_acts, seed=_seeds)
    def proceed(self, acts: int, seed: int) -> None:
        """Some frames arrive and some batches run, in any order."""
        source = random.Random(seed)
        for _ in range(acts):
            self._act(source)

    @stateful.precondition(lambda self: self._may_fail())
    @stateful.rule(
        acts=_acts,
        seed=_seeds,
        index=strategies.integers(min_value=0, max_value=2),
        is_alive=strategies.booleans(),
        loses_frames=strategies.booleans(),
    )
    def lose_stage(
        self,
        acts: int,
        seed: int,
        index: int,
        is_alive: bool,
        loses_frames: bool,
    ) -> None:
        """A stage dies, or is paused and goes on after it was replaced."""
        self.proceed(acts, seed)
        index %= len(self._chain)
        lost = self._chain[index]
        lost.is_dead = not is_alive
        if loses_frames:
            for key in self._queues:
                if lost.number in key:
                    self._queues[key].clear()
        self._note_fault()
        self._replace(index)

    def _may_fail(self) -> bool:
        return self._faults < _MAX_FAULTS and not self._request.is_finished

    def _note_fault(self) -> None:
        self._faults += 1
        self._judge.fault()

    @stateful.precondition(lambda self: self._may_fail())
    @stateful.rule(acts=_acts, seed=_seeds)
    def restart(self, acts: int, seed: int) -> None:
        """The entry begins anew on another chain; the old one goes on."""
        self.proceed(acts, seed)
        self._note_fault()
        self._restart()

    @stateful.precondition(lambda self: not self._awaited)
    @stateful.rule()
    def repeat_step(self) -> None:
        """The current step is sent again."""
        self._continue()

    @stateful.invariant()
    def emitted_tokens_are_the_answers_beginning(self) -> None:
        """No emitted token is doubled, altered or out of order."""
        if self._chain:
            emitted = self._words()
            assert emitted == self._expected[: len(emitted)]

    def _words(self) -> tuple[int, ...]:
        return tuple(
            token
            for token in self._request.emitted
            if token != layers.END_TOKEN
        )

    def teardown(self) -> None:
        """Lets everything in flight arrive; then the answer is whole."""
        if not self._chain:
            return
        source = random.Random(0)
        for _ in range(_MAX_DRAIN):
            if not self._act(source):
                break
        text = layers.detokenize(self._words())
        self._judge.answered(
            call="c", text=text, complete=self._request.is_finished
        )
        violations = self._judge.violations()
        assert not violations, violations
        assert self._judge.counts().whole == 1

    def _act(self, source: random.Random) -> bool:
        """Lets one thing happen; False when there is nothing to do."""
        actions = [
            *((self._deliver, key) for key in self._full_queues()),
            *((self._finish, stage) for stage in self._running()),
            *((self._run, stage) for stage in self._runnable()),
        ]
        if not actions:
            return False
        action, subject = source.choice(actions)
        action(subject)
        return True


def _hop(number: int) -> messages.Hop:
    return messages.Hop(host="127.0.0.1", port=number, backend="engine")
