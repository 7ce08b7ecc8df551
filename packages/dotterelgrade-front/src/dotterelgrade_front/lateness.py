"""Classification of late streams by cause, from the log.

On a day with few refusals or failures, a tenth of the answers can still miss
their objective; the share of each cause shows the limiting factor.

A caller whose front was lost continues the stream at another one, which sees
only its own part of it. Such a stream is counted here, though a caller that
came at once may have been served in time.
"""

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import enum
from typing import Any

from dotterelgrade_front import log_file

_FINISHED_EVENT = "stream_finished"
_BROKEN_EVENT = "stream_broken"


class Cause(enum.Enum):
    """Cause of a late stream."""

    CONTINUED = "continued after the loss of another front, perhaps in time"
    FIRST_EVENT_AFTER_TRY = "first event, after a failed try"
    FIRST_EVENT = "first event, on the first try"
    PAUSE_AT_MOVE = "pause, moved around a stage at fault"
    PAUSE_AFTER_TRY = "pause, went on elsewhere after a failed try"
    PAUSE = "pause on a chain without a known fault"
    BROKEN = "broken off"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Statistics of the late streams with one cause.

    Attributes:
        cause: The cause.
        streams: Number of late streams.
        share: Fraction of all streams in the log.
        usual_excess_s: Median time beyond the limit, s; 0 for broken and
            continued streams.
    """

    cause: Cause
    streams: int
    share: float
    usual_excess_s: float


def summary(lines: Iterable[str]) -> tuple[Row, ...]:
    """Returns the causes of lateness, the most frequent first.

    Args:
        lines: Lines of a log; those without a JSON object are skipped. A prefix
            before the object, such as a log collector's, is allowed.
    """
    streams = 0
    excess: dict[Cause, list[float]] = collections.defaultdict(list)
    for values in _stream_ends(lines):
        streams += 1
        cause, excess_s = _classify(values)
        if cause is not None:
            excess[cause].append(excess_s)
    rows = [
        Row(
            cause=cause,
            streams=len(found),
            share=len(found) / streams,
            usual_excess_s=sorted(found)[len(found) // 2],
        )
        for cause, found in excess.items()
    ]
    return tuple(sorted(rows, key=lambda row: -row.streams))


def _stream_ends(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the fields of each line on the end of a stream."""
    for line in lines:
        if _FINISHED_EVENT not in line and _BROKEN_EVENT not in line:
            continue
        values = log_file.parse_json_object(line)
        if _is_stream_end(values):
            yield values


def _is_stream_end(values: dict[str, Any]) -> bool:
    """Returns whether a line has the end of a stream and its limits."""
    if values.get("event") == _BROKEN_EVENT:
        return True
    return values.get("event") == _FINISHED_EVENT and "objective_s" in values


def _classify(values: dict[str, Any]) -> tuple[Cause | None, float]:
    """Returns the cause and excess time, s, of a late stream, or None and 0."""
    if values["event"] == _BROKEN_EVENT:
        return Cause.BROKEN, 0.0
    if values.get("continued"):
        return Cause.CONTINUED, 0.0
    was_retried = values.get("tries", 1) > 1
    first_s = values.get("first_event_s", 0.0) - values.get("objective_s", 0.0)
    pause_s = values.get("longest_pause_s", 0.0) - values.get("pause_s", 0.0)
    if first_s > max(pause_s, 0.0):
        if was_retried:
            return Cause.FIRST_EVENT_AFTER_TRY, first_s
        return Cause.FIRST_EVENT, first_s
    if pause_s <= 0:
        return None, 0.0
    if was_retried:
        return Cause.PAUSE_AFTER_TRY, pause_s
    if values.get("moves", 0):
        return Cause.PAUSE_AT_MOVE, pause_s
    return Cause.PAUSE, pause_s
