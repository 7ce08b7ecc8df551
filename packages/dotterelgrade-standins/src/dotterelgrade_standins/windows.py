"""Judges samples by windows of time against the bounds of the contract."""

from collections.abc import Iterable, Sequence
import dataclasses

from dotterelgrade import metrics
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import load

_P95 = 95.0
ALL = "*"
OTHERS = "others"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Window:
    """What one workspace got of the requests due in one window of time.

    Attributes:
        start_s: Start of the window, s from the first intended time.
        workspace: Name of the workspace, `*` for all.
        whole: Whole answers.
        refused: Calls that were told `not_run`.
        failed: Calls with neither.
        tokens: Tokens of the whole answers.
        first_token_p95_s: 95th percentile of the first token, s.
        between_tokens_p95_s: The same between two tokens, s.
        bound_ratio: The larger of both relative to its bound; for all
            workspaces, each sample is taken relative to its own bound.
    """

    start_s: float
    workspace: str
    whole: int
    refused: int
    failed: int
    tokens: int
    first_token_p95_s: float
    between_tokens_p95_s: float
    bound_ratio: float

    @property
    def calls(self) -> int:
        """All calls due in the window."""
        return self.whole + self.refused + self.failed


def split(
    samples: Sequence[load.Sample],
    *,
    plan: fleet_plan.FleetPlan,
    length_s: float,
    least_answers: int = 20,
    apart: str = "",
) -> list[Window]:
    """Returns the windows of all workspaces together and of each one.

    Args:
        samples: The calls.
        plan: The fleet, for the bounds.
        length_s: Length of the windows, s.
        least_answers: A workspace with fewer whole answers in a window is
            judged only as a part of all.
        apart: A workspace without which the others are also judged together.

    Returns:
        The windows in the order of time.
    """
    if not samples:
        return []
    origin_s = min(sample.intended_s for sample in samples)
    grouped: dict[tuple[int, str], list[load.Sample]] = {}
    for sample in samples:
        index = int((sample.intended_s - origin_s) / length_s)
        groups = [ALL, sample.request.workspace]
        if apart and sample.request.workspace != apart:
            groups.append(OTHERS)
        for workspace in groups:
            grouped.setdefault((index, workspace), []).append(sample)
    windows = []
    for (index, workspace), group in sorted(grouped.items()):
        window = _judge(group, plan, index * length_s, workspace)
        if workspace in (ALL, OTHERS) or window.whole >= least_answers:
            windows.append(window)
    return windows


def _judge(
    group: Iterable[load.Sample],
    plan: fleet_plan.FleetPlan,
    start_s: float,
    workspace: str,
) -> Window:
    first, between = metrics.Latency(), metrics.Latency()
    first_ratio, between_ratio = metrics.Latency(), metrics.Latency()
    whole = refused = failed = tokens = 0
    for sample in group:
        if sample.answer.is_complete:
            whole += 1
            tokens += sample.answer.tokens
        else:
            refused += sample.is_refused
            failed += not sample.is_refused
        bound = plan.bound_for(sample.request.workspace)
        if sample.answer.first_token_s is not None:
            first.record(sample.answer.first_token_s)
            first_ratio.record(
                sample.answer.first_token_s / bound.first_token_p95_s
            )
        for gap_s in sample.answer.token_gaps_s:
            between.record(gap_s)
            between_ratio.record(gap_s / bound.between_tokens_p95_s)
    return Window(
        start_s=start_s,
        workspace=workspace,
        whole=whole,
        refused=refused,
        failed=failed,
        tokens=tokens,
        first_token_p95_s=_p95(first),
        between_tokens_p95_s=_p95(between),
        bound_ratio=max(_p95(first_ratio), _p95(between_ratio)),
    )


def _p95(latency: metrics.Latency) -> float:
    return latency.percentile(_P95) if latency.count else 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """A load judged as a whole.

    Attributes:
        calls: All calls.
        whole: Whole answers.
        refused: Calls that were told `not_run`.
        failed: Calls with neither.
        tokens_per_s: Tokens of whole answers per second of intended time.
        worst_ratio: The largest ratio of a window to its bound.
        worst: The window it was found in.
    """

    calls: int
    whole: int
    refused: int
    failed: int
    tokens_per_s: float
    worst_ratio: float
    worst: Window | None

    @property
    def refused_share(self) -> float:
        """Part of the calls that were refused."""
        return self.refused / self.calls if self.calls else 0.0

    @property
    def is_inside(self) -> bool:
        """Whether the worst window is inside its bound and no call failed."""
        return self.worst_ratio <= 1.0 and not self.failed


def summarize(windows: Sequence[Window], *, length_s: float) -> Summary:
    """Returns the summary of windows that `split` returned."""
    total = [window for window in windows if window.workspace == ALL]
    worst = max(windows, key=lambda window: window.bound_ratio, default=None)
    duration_s = max(len(total), 1) * length_s
    return Summary(
        calls=sum(window.calls for window in total),
        whole=sum(window.whole for window in total),
        refused=sum(window.refused for window in total),
        failed=sum(window.failed for window in total),
        tokens_per_s=sum(window.tokens for window in total) / duration_s,
        worst_ratio=worst.bound_ratio if worst else 0.0,
        worst=worst,
    )
