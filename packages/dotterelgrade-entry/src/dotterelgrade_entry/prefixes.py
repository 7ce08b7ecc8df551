"""Which prompt prefixes a backend server has probably cached."""

import collections
from collections.abc import Sequence

BLOCK_TOKENS = 16
_MAX_BLOCKS = 16
_CAPACITY = 128


def digests(prompt: Sequence[int]) -> tuple[int, ...]:
    """Returns one digest for each prefix of whole blocks, shortest first."""
    blocks = min(len(prompt) // BLOCK_TOKENS, _MAX_BLOCKS)
    return tuple(
        hash(tuple(prompt[: BLOCK_TOKENS * (number + 1)]))
        for number in range(blocks)
    )


class PrefixMemory:
    """The prefixes that were sent to one backend server lately.

    Engines publish their caches late and with gaps, and behind the first
    stage their prefixes are not of tokens; what was sent is known at once and
    for every stage.
    """

    def __init__(self) -> None:
        """Initializes an empty memory."""
        self._known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        """Shows how many prefixes are known."""
        return f"<PrefixMemory of {len(self._known)} prefixes>"

    def note(self, prefixes: Sequence[int]) -> None:
        """Remembers the prefixes of a prompt that was sent."""
        for prefix in prefixes:
            self._known[prefix] = None
            self._known.move_to_end(prefix)
        while len(self._known) > _CAPACITY:
            self._known.popitem(last=False)

    def cached_tokens(self, prefixes: Sequence[int]) -> int:
        """Returns how many tokens of a prompt are probably cached.

        Args:
            prefixes: The digests of the prompt, shortest first.

        Returns:
            The length of the longest known prefix.
        """
        count = 0
        for prefix in prefixes:
            if prefix not in self._known:
                break
            count += 1
        return count * BLOCK_TOKENS
