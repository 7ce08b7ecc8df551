"""What callers saw before and after a fault, by the time it happened."""

from collections.abc import Iterator, Sequence
import dataclasses

from dotterelgrade import metrics
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import load

_P95 = 95.0
_FAILED_RATIO = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One thing that a caller saw.

    Attributes:
        at_s: Monotonic time, s.
        ratio: The time that the caller waited for it, relative to the bound;
            a very large number for a call that failed.
        waited_s: The time that the caller waited for it, s.
    """

    at_s: float
    ratio: float
    waited_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bin:
    """The events of a short time.

    Attributes:
        start_s: Start, s from the fault.
        events: Number of events.
        p95_ratio: 95th percentile relative to the bound.
        longest_s: Longest wait, s.
        refused: Calls that were refused meanwhile.
    """

    start_s: float
    events: int
    p95_ratio: float
    longest_s: float
    refused: int


def events(
    samples: Sequence[load.Sample],
    plan: fleet_plan.FleetPlan,
    excused: frozenset[str],
) -> Iterator[Event]:
    """Yields what callers saw, in no order.

    Args:
        samples: The calls.
        plan: The fleet, for the bounds.
        excused: Entries that were killed, whose broken calls don't count.
    """
    for sample in samples:
        bound = plan.bound_for(sample.request.workspace)
        answer = sample.answer
        if answer.first_token_s is not None:
            yield Event(
                at_s=sample.intended_s + answer.first_token_s,
                ratio=answer.first_token_s / bound.first_token_p95_s,
                waited_s=answer.first_token_s,
            )
        gaps = answer.token_gaps_s
        for at_s, gap_s in zip(answer.arrivals_s[1:], gaps, strict=True):
            yield Event(
                at_s=at_s,
                ratio=gap_s / bound.between_tokens_p95_s,
                waited_s=gap_s,
            )
        is_failed = not answer.is_complete and not sample.is_refused
        if is_failed and sample.entry not in excused:
            waited_s = sample.ended_s - sample.intended_s
            yield Event(
                at_s=sample.ended_s, ratio=_FAILED_RATIO, waited_s=waited_s
            )


def bins(
    samples: Sequence[load.Sample],
    *,
    plan: fleet_plan.FleetPlan,
    fault_at_s: float,
    length_s: float,
    excused: frozenset[str] = frozenset(),
) -> list[Bin]:
    """Returns the events in bins around a fault.

    Args:
        samples: The calls.
        plan: The fleet, for the bounds.
        fault_at_s: Monotonic time of the fault, s.
        length_s: Length of a bin, s.
        excused: Entries that were killed.
    """
    grouped: dict[int, list[Event]] = {}
    for event in events(samples, plan, excused):
        index = int((event.at_s - fault_at_s) // length_s)
        grouped.setdefault(index, []).append(event)
    refused: dict[int, int] = {}
    for sample in samples:
        if sample.is_refused:
            index = int((sample.ended_s - fault_at_s) // length_s)
            refused[index] = refused.get(index, 0) + 1
    found = []
    for index in sorted(set(grouped) | set(refused)):
        group = grouped.get(index, [])
        ratios = metrics.Latency()
        for event in group:
            ratios.record(event.ratio)
        found.append(
            Bin(
                start_s=index * length_s,
                events=len(group),
                p95_ratio=ratios.percentile(_P95) if group else 0.0,
                longest_s=max((event.waited_s for event in group), default=0.0),
                refused=refused.get(index, 0),
            )
        )
    return found


def recovered_s(found: Sequence[Bin], *, length_s: float) -> float:
    """Returns the time after a fault until the bound holds for good, s.

    That is the end of the last bin outside the bound; 0 when there is none.
    """
    outside = [
        item.start_s + length_s
        for item in found
        if item.start_s >= 0 and item.p95_ratio > 1.0
    ]
    return max(outside, default=0.0)
