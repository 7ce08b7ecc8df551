"""Straight lines through measured costs, and the file that keeps them."""

from collections.abc import Mapping, Sequence
import dataclasses
import json
import pathlib
from typing import Any

import msgspec


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """What one run of a probe measured.

    Attributes:
        size: The size that was varied.
        values: Measured costs by name; the name ends in its unit.
    """

    size: float
    values: dict[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """A cost as a straight line over the size.

    Attributes:
        slope: Cost of one more.
        intercept: Cost of none.
    """

    slope: float
    intercept: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measured:
    """Every sample of one probe.

    Attributes:
        varied: What the size counts.
        samples: By growing size, at least two.
    """

    varied: str
    samples: tuple[Sample, ...]

    def line(self, name: str) -> Line:
        """Returns the line of least squares through one cost."""
        points = [(s.size, s.values[name]) for s in self.samples]
        return fit(points)

    def last(self, name: str) -> float:
        """Returns one cost at the largest size."""
        return self.samples[-1].values[name]


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the line of least squares.

    Args:
        points: Size and cost; at least two sizes.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(slope=slope, intercept=mean_y - slope * mean_x)


def write(path: pathlib.Path, measured: Mapping[str, Measured]) -> None:
    """Writes every probe's samples with their lines as JSON."""
    value: dict[str, Any] = {}
    for name, probe in measured.items():
        names = probe.samples[0].values
        value[name] = {
            **dataclasses.asdict(probe),
            "lines": {
                key: dataclasses.asdict(probe.line(key)) for key in names
            },
        }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")


def read(path: pathlib.Path) -> dict[str, Measured]:
    """Reads what `write` wrote.

    Raises:
        OSError: The file can't be read.
        ValueError: It holds something else.
    """
    value = json.loads(path.read_text(encoding="utf-8"))
    return {
        name: msgspec.convert(item, Measured) for name, item in value.items()
    }
