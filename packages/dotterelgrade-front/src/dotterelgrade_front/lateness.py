"""Why finished streams were late, from the log alone.

Load pattern: a day on which little is refused or fails, and yet a tenth of the
answers miss their objective. What binds shows in the share of each cause.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from dotterelgrade_front import log_file

_FINISHED = "stream_finished"
_BROKEN = "stream_broken"


class Cause(enum.Enum):
    """What made a stream late."""

    FIRST_EVENT_AFTER_TRY = "first event, after a failed try"
    FIRST_EVENT = "first event, on the first try"
    PAUSE_AT_MOVE = "pause, moved around a stage at fault"
    PAUSE_AFTER_TRY = "pause, went on elsewhere after a failed try"
    PAUSE = "pause on a chain without a known fault"
    BROKEN = "broken off"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Late streams of one cause.

    Attributes:
        cause: The cause.
        streams: How many streams it made late.
        share: Their part of all streams in the log.
        usual_excess_s: Median of the time beyond the bound, s; 0 for streams
            that broke off.
    """

    cause: Cause
    streams: int
    share: float
    usual_excess_s: float


def summary(lines: Iterable[str]) -> tuple[Row, ...]:
    """Returns the causes of lateness, the most frequent first.

    Args:
        lines: Lines of a log; what is no JSON object is passed over. A prefix
            before the object, such as a collector's, is allowed.
    """
    streams = 0
    excess: dict[Cause, list[float]] = collections.defaultdict(list)
    for line in lines:
        if _FINISHED not in line and _BROKEN not in line:
            continue
        values = log_file.object_in(line)
        if not _is_judged(values):
            continue
        streams += 1
        cause, over_s = _judge(values)
        if cause is not None:
            excess[cause].append(over_s)
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


def _is_judged(values: dict[str, Any]) -> bool:
    """Returns whether a line tells how a stream ended, and its bounds."""
    if values.get("event") == _BROKEN:
        return True
    return values.get("event") == _FINISHED and "objective_s" in values


def _judge(values: dict[str, Any]) -> tuple[Cause | None, float]:
    """Returns what made a stream late and by how much, s; None if nothing."""
    if values["event"] == _BROKEN:
        return Cause.BROKEN, 0.0
    tried_again = values.get("tries", 1) > 1
    first_s = values.get("first_event_s", 0.0) - values.get("objective_s", 0.0)
    pause_s = values.get("longest_pause_s", 0.0) - values.get("pause_s", 0.0)
    if first_s > max(pause_s, 0.0):
        if tried_again:
            return Cause.FIRST_EVENT_AFTER_TRY, first_s
        return Cause.FIRST_EVENT, first_s
    if pause_s <= 0:
        return None, 0.0
    if tried_again:
        return Cause.PAUSE_AFTER_TRY, pause_s
    if values.get("moves", 0):
        return Cause.PAUSE_AT_MOVE, pause_s
    return Cause.PAUSE, pause_s
