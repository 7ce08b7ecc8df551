"""The sequences of an engine with the states of its layers."""

import dataclasses
import json

from dotterelgrade_standins import layers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Held:
    """Which layers of which model an engine holds.

    Attributes:
        model: Name of the model; empty for none.
        version: Version of the model.
        first_layer: First layer held.
        last_layer: Last layer held, inclusive.
    """

    model: str = ""
    version: str = ""
    first_layer: int = 0
    last_layer: int = -1

    @property
    def layers(self) -> int:
        """Number of layers held."""
        return self.last_layer - self.first_layer + 1


class Sequence:
    """One sequence in the layers held."""

    def __init__(self, held: Held) -> None:
        """Initializes a sequence that has run nothing.

        Args:
            held: The layers held.
        """
        self._layers = layers.LayerRange(held.first_layer, held.last_layer)
        self._next_position = 0

    @property
    def next_position(self) -> int:
        """The only position that may run next."""
        return self._next_position

    @property
    def states(self) -> list[int]:
        """One state per layer."""
        return self._layers.states

    def run(self, inputs: list[int]) -> list[int]:
        """Runs inputs for the next positions and returns their outputs."""
        outputs = [
            self._layers.run(value, self._next_position + index)
            for index, value in enumerate(inputs)
        ]
        self._next_position += len(inputs)
        return outputs

    def restore(self, states: list[int], next_position: int) -> None:
        """Takes over exported states.

        Raises:
            ValueError: Another number of layers.
        """
        self._layers.restore(states)
        self._next_position = next_position


class StoreError(Exception):
    """A sequence can't be found, made or imported; the text is the error."""


class SequenceStore:
    """The sequences that fit into an engine's memory."""

    def __init__(self, *, capacity: int) -> None:
        """Initializes an empty store.

        Args:
            capacity: Sequences that fit.
        """
        self._capacity = capacity
        self._sequences: dict[str, Sequence] = {}

    def __len__(self) -> int:
        """Returns the number of sequences."""
        return len(self._sequences)

    @property
    def names(self) -> tuple[str, ...]:
        """Identifiers of the sequences."""
        return tuple(self._sequences)

    def clear(self) -> None:
        """Drops every sequence."""
        self._sequences.clear()

    def cancel(self, name: str) -> None:
        """Drops a sequence, if there is one."""
        self._sequences.pop(name, None)

    def find(self, name: str, position: int, held: Held) -> Sequence:
        """Returns the sequence whose next position this is.

        Args:
            name: Identifier of the sequence.
            position: The position that shall run; 0 makes a new sequence.
            held: The layers held.

        Raises:
            StoreError: "unknown_sequence", "full" or "out_of_order".
        """
        sequence = self._sequences.get(name)
        if sequence is None:
            if position != 0:
                raise StoreError("unknown_sequence")
            if len(self._sequences) >= self._capacity:
                raise StoreError("full")
            sequence = self._sequences[name] = Sequence(held)
        if sequence.next_position != position:
            raise StoreError("out_of_order")
        return sequence

    def export(self, name: str, held: Held) -> bytes:
        """Returns the cache of a sequence.

        Raises:
            StoreError: "unknown_sequence".
        """
        sequence = self._sequences.get(name)
        if sequence is None:
            raise StoreError("unknown_sequence")
        exported = {
            **dataclasses.asdict(held),
            "next_position": sequence.next_position,
            "states": sequence.states,
        }
        return json.dumps(exported).encode()

    def restore(self, name: str, exported: bytes, held: Held) -> None:
        """Imports the cache of a sequence.

        Raises:
            StoreError: "full", "other layers" or "invalid export".
        """
        if len(self._sequences) >= self._capacity:
            raise StoreError("full")
        try:
            value = json.loads(exported)
            wanted = dataclasses.asdict(held)
            if {key: value[key] for key in wanted} != wanted:
                raise StoreError("other layers")
            sequence = Sequence(held)
            sequence.restore(value["states"], int(value["next_position"]))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise StoreError("invalid export") from error
        self._sequences[name] = sequence
