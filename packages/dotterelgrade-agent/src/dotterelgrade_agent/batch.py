"""What goes into the next batch of an engine."""

from collections.abc import Iterable
import dataclasses

from dotterelgrade import errors
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import sequence as sequence_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One sequence's part of a batch."""

    sequence: sequence_lib.Sequence
    work: sequence_lib.Work

    def as_item(self) -> engine_client.BatchItem:
        """Returns the part as the engine takes it."""
        return engine_client.BatchItem(
            sequence=self.sequence.engine_id,
            position=self.work.position,
            inputs=self.work.inputs,
            priority=self.sequence.priority,
        )

    def problem(self, answer: engine_client.StepResult) -> errors.Error | None:
        """Returns why the engine's answer is of no use, or None.

        Args:
            answer: What the engine answered for this part.
        """
        if answer.error is not None:
            return failure(f"the engine answered {answer.error}")
        if not self.sequence.expects(answer.outputs):
            return failure("the outputs have the wrong number or range")
        return None


def failure(message: str) -> errors.Error:
    """Returns the error of a sequence whose part of a batch has failed."""
    return errors.Error(kind=errors.ErrorKind.ENGINE_FAILED, message=message)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """The parts of one batch.

    Attributes:
        entries: One entry per sequence.
        prefill_tokens: Positions of entries that hold more than one.
    """

    entries: tuple[Entry, ...]
    prefill_tokens: int


def _urgency(sequence: sequence_lib.Sequence) -> tuple[int, float]:
    return sequence.priority, sequence.deadline


def form(
    ready: Iterable[sequence_lib.Sequence], *, prefill_budget: int
) -> Batch:
    """Takes work for one batch, by priority and then by deadline.

    Single positions always go in, so that prompts never hold up sequences
    that wait for their next token; prompts share the budget.

    Args:
        ready: Sequences with positions that wait.
        prefill_budget: The most prompt positions.

    Returns:
        The batch, possibly empty.
    """
    entries = []
    left = prefill_budget
    for sequence in sorted(ready, key=_urgency):
        if not sequence.is_runnable:
            continue
        if sequence.pending > 1 and left <= 0:
            continue
        limit = max(left, 1)
        work = sequence.take(limit)
        if len(work.inputs) > 1:
            left -= len(work.inputs)
        entries.append(Entry(sequence=sequence, work=work))
    return Batch(entries=tuple(entries), prefill_tokens=prefill_budget - left)
