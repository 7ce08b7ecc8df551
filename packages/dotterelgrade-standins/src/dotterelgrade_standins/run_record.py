"""The bounded record of the steps that an engine ran, for the oracle."""

import collections
import dataclasses
import time

_CAPACITY = 50_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepRun:
    """Inputs that ran through the held layers.

    Attributes:
        sequence: Identifier of the sequence.
        position: Position of the first input.
        count: Number of inputs.
        first_layer: First layer that ran.
        last_layer: Last layer that ran, inclusive.
        at_s: Monotonic time, s.
    """

    sequence: str
    position: int
    count: int
    first_layer: int
    last_layer: int
    at_s: float


class RunRecord:
    """The latest steps, numbered from 0."""

    def __init__(self) -> None:
        """Initializes an empty record."""
        self._runs: collections.deque[StepRun] = collections.deque(
            maxlen=_CAPACITY
        )
        self._count = 0

    @property
    def count(self) -> int:
        """How many steps were noted, kept or not."""
        return self._count

    def note(
        self,
        *,
        sequence: str,
        position: int,
        count: int,
        first_layer: int,
        last_layer: int,
    ) -> None:
        """Notes a step that runs now."""
        self._count += 1
        self._runs.append(
            StepRun(
                sequence=sequence,
                position=position,
                count=count,
                first_layer=first_layer,
                last_layer=last_layer,
                at_s=time.monotonic(),
            )
        )

    def since(self, number: int) -> list[StepRun]:
        """Returns the kept steps from a number on, oldest first."""
        first_kept = self._count - len(self._runs)
        return list(self._runs)[max(0, number - first_kept) :]
