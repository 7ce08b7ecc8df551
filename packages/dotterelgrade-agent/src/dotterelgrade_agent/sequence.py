"""One stage of one request: which positions run, once and in order."""

import array
from collections.abc import Sequence as SequenceABC
import dataclasses
import time

from returns import result

from dotterelgrade import errors
from dotterelgrade import messages

_NO_VALUE = -1
MAX_VALUE = 2**63 - 1

Output = messages.Step | messages.Token


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """Inputs of consecutive positions that the engine is to run.

    Attributes:
        position: Position of the first input.
        inputs: One value per position.
    """

    position: int
    inputs: tuple[int, ...]

    @property
    def end(self) -> int:
        """The position after the last input."""
        return self.position + len(self.inputs)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """What an offered step led to.

    Attributes:
        accepted: How many of its positions were queued to run.
        resend: Outputs of positions that had run before.
        ignored: Why nothing came of the step, or empty.
    """

    accepted: int = 0
    resend: tuple[Output, ...] = ()
    ignored: str = ""


class Sequence:
    """The aggregate that lets each position run once and in order.

    A step is compared with the attempt and with the positions that were
    accepted before: positions that ran are answered from the buffer, queued
    ones are left alone, the next ones are queued, and a gap is an error.
    """

    def __init__(self, admit: messages.Admit, *, buffer_values: int) -> None:
        """Initializes a sequence that has run nothing.

        Args:
            admit: The admission, with the attempt and the next hop.
            buffer_values: The most outputs kept for a replay.
        """
        self._admit = admit
        self._attempt = admit.attempt
        self._next_hop = admit.next_hop
        self._mute_before = admit.mute_before
        self._buffer_values = buffer_values
        self._deadline = time.monotonic() + admit.deadline_ms / 1000
        self._pending: list[int] = []
        self._next_position = 0
        self._accepted = 0
        self._outputs = array.array("q")
        self._outputs_start = 0
        self._running: Work | None = None
        self._begun = False
        self._released = False

    def __repr__(self) -> str:
        """Shows the request, the attempt and the positions."""
        return (
            f"<Sequence {self.request_id} stage {self.stage} attempt "
            f"{self._attempt} ran {self._next_position} of {self._accepted}>"
        )

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self._admit.request_id

    @property
    def engine_id(self) -> str:
        """Identifier of the sequence at the engine, new at each admission."""
        admit = self._admit
        return f"{admit.request_id}.{admit.attempt}.{admit.stage}"

    @property
    def backend(self) -> str:
        """Name of the backend server that runs the stage."""
        return self._admit.backend

    @property
    def stage(self) -> int:
        """Index of the stage in the chain."""
        return self._admit.stage

    @property
    def attempt(self) -> int:
        """The current attempt."""
        return self._attempt

    @property
    def priority(self) -> int:
        """Lower numbers run first."""
        return self._admit.priority

    @property
    def deadline(self) -> float:
        """Monotonic time of the bound on the first token, s."""
        return self._deadline

    @property
    def next_hop(self) -> messages.Hop | None:
        """The next stage, or None when outputs are tokens."""
        return self._next_hop

    @property
    def next_position(self) -> int:
        """The first position that has not run."""
        return self._next_position

    @property
    def pending(self) -> int:
        """How many accepted positions wait to run."""
        return len(self._pending)

    @property
    def is_replayable(self) -> bool:
        """Whether every output since position 0 is buffered."""
        return self._outputs_start == 0

    @property
    def is_released(self) -> bool:
        """Whether the request ended here."""
        return self._released

    @property
    def has_begun(self) -> bool:
        """Whether the engine may hold the sequence."""
        return self._begun

    @property
    def is_at_engine(self) -> bool:
        """Whether work is at the engine."""
        return self._running is not None

    @property
    def is_runnable(self) -> bool:
        """Whether a position waits and none is at the engine."""
        return (
            bool(self._pending) and self._running is None and not self._released
        )

    def offer(self, step: messages.Step) -> result.Result[Offer, errors.Error]:
        """Takes a step from the entry or from the stage before.

        Args:
            step: The step.

        Returns:
            What came of it, or INTERRUPTED when the sequence can't go on: a
            position is missing, was not admitted, or is repeated and no
            longer buffered.
        """
        if self._released or step.attempt != self._attempt:
            return result.Success(Offer(ignored="attempt is not current"))
        end = step.position + len(step.inputs)
        if step.position < 0 or not step.inputs:
            return _interrupted(f"step {step.position} has no valid inputs")
        if end > self._admit.prompt_tokens + self._admit.max_tokens:
            return _interrupted(f"step reaches position {end}, not admitted")
        if step.position > self._accepted:
            return self._gap(step.position)
        resend = self._resend(step.position, min(end, self._next_position))
        if isinstance(resend, result.Failure):
            return resend
        fresh = step.inputs[self._accepted - step.position :]
        self._pending.extend(fresh)
        self._accepted += len(fresh)
        return result.Success(
            Offer(accepted=len(fresh), resend=resend.unwrap())
        )

    def _gap(self, position: int) -> result.Result[Offer, errors.Error]:
        if self._accepted == 0:
            # A replacement hears the steps that its upstream stage had at
            # the engine before the replay begins at position 0.
            return result.Success(Offer(ignored="waits for position 0"))
        return _interrupted(
            f"step at position {position}, expected {self._accepted}"
        )

    def _resend(
        self, start: int, end: int
    ) -> result.Result[tuple[Output, ...], errors.Error]:
        start = max(start, self._mute_before)
        if start >= end:
            return result.Success(())
        if start < self._outputs_start:
            return _interrupted(f"output {start} is no longer buffered")
        return result.Success(self._as_outputs(start, end))

    def take(self, limit: int) -> Work:
        """Hands the next positions to the engine.

        Args:
            limit: The most positions to take.

        Returns:
            The work; `complete` must follow before the next call.
        """
        self._begun = True
        inputs = tuple(self._pending[:limit])
        del self._pending[:limit]
        self._running = Work(position=self._next_position, inputs=inputs)
        return self._running

    def complete(self, outputs: SequenceABC[int]) -> tuple[Output, ...]:
        """Records that the work at the engine has run.

        Args:
            outputs: One value per input, or the one sampled token.

        Returns:
            The frames' contents to send on; empty when the sequence was
            released meanwhile.
        """
        work = self._running
        assert work is not None, "no work is at the engine"
        self._running = None
        self._next_position = work.end
        if self._next_hop is None:
            silent = [_NO_VALUE] * (len(work.inputs) - 1)
            self._buffer([*silent, outputs[0]])
        else:
            self._buffer(outputs)
        start = max(work.position, self._mute_before)
        if self._released or start >= work.end:
            return ()
        if self._next_hop is None:
            return self._as_tokens(work.end - 1, outputs)
        return self._as_steps(start, outputs[start - work.position :])

    def expects(self, outputs: SequenceABC[int]) -> bool:
        """Whether the engine's outputs have the right number and range."""
        work = self._running
        assert work is not None, "no work is at the engine"
        count = 1 if self._next_hop is None else len(work.inputs)
        return len(outputs) == count and all(
            0 <= value <= MAX_VALUE for value in outputs
        )

    def _buffer(self, values: SequenceABC[int]) -> None:
        self._outputs.extend(values)
        excess = len(self._outputs) - self._buffer_values
        if excess > 0:
            del self._outputs[:excess]
            self._outputs_start += excess

    def _as_outputs(self, start: int, end: int) -> tuple[Output, ...]:
        base = self._outputs_start
        values = self._outputs[start - base : end - base]
        if self._next_hop is None:
            return self._as_tokens(start, values)
        return self._as_steps(start, values)

    def _as_steps(
        self, start: int, values: SequenceABC[int]
    ) -> tuple[messages.Step, ...]:
        step = messages.Step(
            request_id=self.request_id,
            attempt=self._attempt,
            stage=self.stage + 1,
            position=start,
            inputs=tuple(values),
        )
        return (step,)

    def _as_tokens(
        self, start: int, values: SequenceABC[int]
    ) -> tuple[messages.Token, ...]:
        # A token sampled within the prompt is a by-product of splitting it.
        first_token = self._admit.prompt_tokens
        return tuple(
            messages.Token(
                request_id=self.request_id,
                attempt=self._attempt,
                position=position,
                token=value,
            )
            for position, value in enumerate(values, start + 1)
            if value != _NO_VALUE and position >= first_token
        )

    def rewire(
        self, rewire: messages.Rewire
    ) -> result.Result[messages.Rewired, errors.Error]:
        """Adopts a higher attempt after another stage was replaced.

        Args:
            rewire: The attempt, the next hop and what stays muted.

        Returns:
            The answer, or INTERRUPTED when the attempt is not higher or the
            sequence would change its place in the chain.
        """
        if rewire.attempt < self._attempt or self._released:
            return _interrupted("a newer attempt runs here")
        if (rewire.next_hop is None) != (self._next_hop is None):
            return _interrupted("the last stage can't change its place")
        self._attempt = rewire.attempt
        self._next_hop = rewire.next_hop
        self._mute_before = rewire.mute_before
        return result.Success(
            messages.Rewired(
                request_id=self.request_id,
                attempt=self._attempt,
                stage=self.stage,
                next_position=self._next_position,
                replayable=self.is_replayable,
            )
        )

    def replay(
        self, attempt: int
    ) -> result.Result[tuple[Output, ...], errors.Error]:
        """Returns every output since position 0 for the next hop.

        Args:
            attempt: The attempt that asks; a lower one gets nothing.

        Returns:
            The outputs, or INTERRUPTED when the first ones were dropped.
        """
        if attempt != self._attempt or self._released:
            return result.Success(())
        if not self.is_replayable:
            return _interrupted("the first outputs are no longer buffered")
        if not self._next_position:
            return result.Success(())
        return result.Success(self._as_outputs(0, self._next_position))

    def abandon(self) -> None:
        """Gives up the work at the engine, of which nobody knows if it ran."""
        self._running = None
        self.release()

    def release(self) -> None:
        """Ends the request here; nothing more is queued or sent."""
        self._released = True
        self._pending.clear()


def _interrupted(message: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.INTERRUPTED, message=message)
    )
