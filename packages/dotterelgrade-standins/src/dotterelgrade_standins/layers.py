"""Arithmetic of the stand-in model's layers, which proves what has run.

A layer that is skipped, repeated or run out of order changes every value after
it; see docs/PROTOCOLS.md.
"""

from collections.abc import Sequence
import zlib

MODULUS = 2**61 - 1
VOCABULARY = 32_000
END_TOKEN = 0
PREFIX_BLOCK_TOKENS = 16

_STATE_FACTOR = 31
_VALUE_FACTOR = 6364136223846793005
_STATE_WEIGHT = 1442695040888963407


class LayerRange:
    """Consecutive layers with their states for one sequence."""

    def __init__(self, first_layer: int, last_layer: int) -> None:
        """Initializes the states of a new sequence.

        Args:
            first_layer: First layer of the range.
            last_layer: Last layer of the range, inclusive.
        """
        self._first_layer = first_layer
        self._states = [0] * (last_layer - first_layer + 1)

    @property
    def states(self) -> list[int]:
        """One state per layer."""
        return self._states

    def restore(self, states: Sequence[int]) -> None:
        """Replaces the states by exported ones.

        Raises:
            ValueError: Another number of layers.
        """
        if len(states) != len(self._states):
            raise ValueError(f"expected {len(self._states)} states")
        self._states = [int(state) for state in states]

    def run(self, value: int, position: int) -> int:
        """Runs the layers on one value.

        Args:
            value: The token, or the output of the layer before.
            position: Position of the token in the sequence.

        Returns:
            The output of the last layer.
        """
        states = self._states
        layer = self._first_layer
        for index, old in enumerate(states):
            state = (
                old * _STATE_FACTOR + value * (2 * layer + 3) + position + 1
            ) % MODULUS
            states[index] = state
            value = (
                value * _VALUE_FACTOR + state * _STATE_WEIGHT + layer + 1
            ) % MODULUS
            layer += 1
        return value


def tokenize(text: str, *, vocabulary: int = VOCABULARY) -> tuple[int, ...]:
    """Returns one token per whitespace-separated word."""
    return tuple(
        zlib.crc32(word.encode()) % vocabulary for word in text.split()
    )


def detokenize(tokens: Sequence[int]) -> str:
    """Returns the text of generated tokens."""
    return "".join(f" t{token}" for token in tokens)


def prefix_digests(inputs: Sequence[int]) -> tuple[int, ...]:
    """Returns the digests of the first 16, 32, ... inputs of a stage."""
    digests = []
    digest = 0
    blocks = len(inputs) // PREFIX_BLOCK_TOKENS
    for block in range(blocks):
        start = block * PREFIX_BLOCK_TOKENS
        part = inputs[start : start + PREFIX_BLOCK_TOKENS]
        digest = zlib.crc32(",".join(map(str, part)).encode(), digest)
        digests.append(digest)
    return tuple(digests)


def expected_tokens(
    prompt: Sequence[int],
    *,
    layers: int,
    max_tokens: int,
    vocabulary: int = VOCABULARY,
) -> tuple[int, ...]:
    """Returns the tokens that a model generates for a prompt.

    Args:
        prompt: Tokens of the prompt.
        layers: Number of layers of the model.
        max_tokens: The most tokens to generate.
        vocabulary: Size of the vocabulary.

    Returns:
        The generated tokens, without the token that ends the sequence.
    """
    model = LayerRange(0, layers - 1)
    value = 0
    for position, token in enumerate(prompt):
        value = model.run(token, position)
    tokens: list[int] = []
    position = len(prompt)
    while len(tokens) < max_tokens:
        token = value % vocabulary
        if token == END_TOKEN:
            break
        tokens.append(token)
        value = model.run(token, position)
        position += 1
    return tuple(tokens)


def expected_text(prompt: str, *, layers: int, max_tokens: int) -> str:
    """Returns the text that a model generates for a prompt's text."""
    tokens = expected_tokens(
        tokenize(prompt), layers=layers, max_tokens=max_tokens
    )
    return detokenize(tokens)
