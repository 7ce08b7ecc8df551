"""How much work each policy gets done while the worst minute is inside."""

import dataclasses
from typing import Any

from dotterelgrade_standins import experiments
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import windows

SEARCH_FACTOR = 1.5
MOST_STEPS = 8
OVERLOAD_FACTOR = 2.0
LARGE_FACTOR = 10.0
LARGE_BASE_SHARE = 0.6
REFUSED_AT_MOST = 0.01
# Name of the highest load relative to the best baseline's, in the results.
RATIO = "ratio_to_best_baseline"
REAL_POLICY = "predicted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Search:
    """The search for the highest load of one policy.

    Attributes:
        policy: The policy.
        seed: Seed of the streams.
        best: The measurement at the highest load that passed, or None.
        tried: Every measurement.
    """

    policy: str
    seed: int
    best: experiments.Measurement | None
    tried: tuple[experiments.Measurement, ...]

    @property
    def best_rate_per_s(self) -> float:
        """The highest load that passed; 0 when none did."""
        return self.best.rate_per_s if self.best else 0.0


def passes(measurement: experiments.Measurement) -> bool:
    """Returns whether the worst minute is inside and hardly any was refused."""
    summary = measurement.summary
    return summary.is_inside and summary.refused_share <= REFUSED_AT_MOST


@experiments.register("throughput")
def throughput(context: experiments.Context) -> dict[str, Any]:
    """Compares the policies' highest loads, and overloads the real one."""
    settings = context.settings
    searches, overloads, larges = [], [], []
    for policy in settings.policies:
        with context.fleet(policy=policy) as fleet:
            # A fleet in use has measured its engines; a cold one has not.
            warm_up = settings.first_rate_per_s / 2
            context.measure(fleet, rate_per_s=warm_up, seed=0, minutes=1)
            for seed in settings.seeds:
                search = _search(context, fleet, policy=policy, seed=seed)
                searches.append(search)
                if policy == REAL_POLICY:
                    overloads.append(_overload(context, fleet, search))
                    larges.append(_large(context, fleet, search))
    return {
        "experiment": "throughput",
        "settings": settings,
        "searches": searches,
        "overloads": overloads,
        "large_workspace": larges,
        "table": _table(searches, overloads, larges),
        RATIO: _ratio(searches),
    }


def _search(
    context: experiments.Context,
    fleet: fleet_run.Fleet,
    *,
    policy: str,
    seed: int,
) -> Search:
    best: experiments.Measurement | None = None
    tried: list[experiments.Measurement] = []
    rate, low, high = context.settings.first_rate_per_s, 0.0, 0.0
    refinements = 0
    while (
        refinements < context.settings.search_steps and len(tried) < MOST_STEPS
    ):
        measured = context.measure(fleet, rate_per_s=rate, seed=seed)
        tried.append(measured)
        context.say(describe(policy, measured))
        if passes(measured):
            best, low = measured, rate
        else:
            high = rate
        if low and high:
            refinements += 1
            rate = (low * high) ** 0.5
        else:
            rate = rate * SEARCH_FACTOR if low else rate / SEARCH_FACTOR
    return Search(policy=policy, seed=seed, best=best, tried=tuple(tried))


def _overload(
    context: experiments.Context, fleet: fleet_run.Fleet, search: Search
) -> dict[str, Any]:
    rate = max(search.best_rate_per_s, 1.0) * OVERLOAD_FACTOR
    measured = context.measure(fleet, rate_per_s=rate, seed=search.seed)
    context.say(describe(f"{search.policy} at 2x", measured))
    best_work = search.best.summary.tokens_per_s if search.best else 0.0
    work = measured.summary.tokens_per_s
    return {
        "measurement": measured,
        "work_kept": work / best_work if best_work else 0.0,
    }


def _large(
    context: experiments.Context, fleet: fleet_run.Fleet, search: Search
) -> dict[str, Any]:
    settings = context.settings
    large = settings.large_workspaces[0]
    shape = settings.workload.scaled(large, LARGE_FACTOR)
    base = max(search.best_rate_per_s, 1.0) * LARGE_BASE_SHARE
    rate = base * shape.total_share / settings.workload.total_share
    measured = context.measure(
        fleet, rate_per_s=rate, seed=search.seed, shape=shape, apart=large
    )
    context.say(describe(f"{large} at 10x", measured))
    others = [
        window
        for window in measured.windows
        if window.workspace == windows.OTHERS
    ]
    worst = max((window.bound_ratio for window in others), default=0.0)
    refused = sum(window.refused for window in others)
    calls = sum(window.calls for window in others)
    context.say(f"  the others: worst {worst:.2f}, {refused}/{calls} refused")
    return {
        "measurement": measured,
        "workspace": large,
        "others_worst_ratio": worst,
        "others_refused_share": refused / calls if calls else 0.0,
    }


def describe(label: str, measured: experiments.Measurement) -> str:
    """Returns one line about a measurement."""
    summary, used = measured.summary, measured.usage
    cores = sum(used.cores.values())
    return (
        f"{label:<18} {measured.rate_per_s:7.1f}/s "
        f"worst {summary.worst_ratio:5.2f} of bound, "
        f"{summary.whole} whole, {summary.refused} refused, "
        f"{summary.failed} failed {measured.errors or ''}, "
        f"{summary.tokens_per_s:6.0f} tokens/s, "
        f"{cores:.1f} cores, busiest {used.busiest} "
        f"{used.busiest_cores:.2f}, oracle {measured.oracle.lost} lost "
        f"{measured.oracle.doubled} doubled {measured.oracle.wrong} wrong"
    )


def _ratio(searches: list[Search]) -> float:
    def mean(policies: list[Search]) -> float:
        rates = [search.best_rate_per_s for search in policies]
        return sum(rates) / len(rates) if rates else 0.0

    by_policy: dict[str, list[Search]] = {}
    for search in searches:
        by_policy.setdefault(search.policy, []).append(search)
    baselines = [
        mean(found)
        for policy, found in by_policy.items()
        if policy != REAL_POLICY
    ]
    best = max(baselines, default=0.0)
    return mean(by_policy.get(REAL_POLICY, [])) / best if best else 0.0


def _table(
    searches: list[Search],
    overloads: list[dict[str, Any]],
    larges: list[dict[str, Any]],
) -> list[list[str]]:
    rows = [["policy", "seed", "highest load /s", "tokens/s", "worst ratio"]]
    for search in searches:
        best = search.best.summary if search.best else None
        rows.append(
            [
                search.policy,
                str(search.seed),
                f"{search.best_rate_per_s:.1f}",
                f"{best.tokens_per_s:.0f}" if best else "-",
                f"{best.worst_ratio:.2f}" if best else "-",
            ]
        )
    for label, found in (("2x load", overloads), ("large 10x", larges)):
        for item in found:
            measured = item["measurement"]
            worst = item.get("others_worst_ratio", measured.summary.worst_ratio)
            rows.append(
                [
                    f"{REAL_POLICY}, {label}",
                    str(measured.seed),
                    f"{measured.rate_per_s:.1f}",
                    f"{measured.summary.tokens_per_s:.0f}",
                    f"{worst:.2f}",
                ]
            )
    return rows
