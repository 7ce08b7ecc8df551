"""A contiguous range of a model's layers."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class LayerRange:
    """Half-open range of layers, from `first` up to `end`.

    Attributes:
        first: Index of the first layer.
        end: Index after the last layer.
    """

    first: int
    end: int

    def __repr__(self) -> str:
        """Shows the range as logs have it."""
        return f"{self.first}-{self.end}"

    def __len__(self) -> int:
        """Returns how many layers the range holds."""
        return max(0, self.end - self.first)

    def covers(self, other: "LayerRange") -> bool:
        """Returns whether every layer of the other range is in this one."""
        return self.first <= other.first and other.end <= self.end

    def overlap(self, other: "LayerRange") -> int:
        """Returns how many layers both ranges hold."""
        return max(0, min(self.end, other.end) - max(self.first, other.first))

    def within(self, whole: "LayerRange") -> "LayerRange | None":
        """Returns the part of the range that lies in another, or None."""
        part = LayerRange(
            max(self.first, whole.first), min(self.end, whole.end)
        )
        return part if len(part) else None


def gaps(
    whole: LayerRange, ranges: Iterable[LayerRange]
) -> tuple[LayerRange, ...]:
    """Returns the parts of a range that no other range covers, in order."""
    found = []
    covered = whole.first
    for held in sorted(ranges):
        if held.first > covered:
            found.append(LayerRange(covered, min(held.first, whole.end)))
        covered = max(covered, held.end)
        if covered >= whole.end:
            break
    if covered < whole.end:
        found.append(LayerRange(covered, whole.end))
    return tuple(gap for gap in found if len(gap))
