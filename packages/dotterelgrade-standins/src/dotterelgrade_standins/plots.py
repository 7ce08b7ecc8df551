"""Plots of the experiments' results."""

import pathlib
from typing import Any

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

_SIZE_INCHES = (8.0, 4.5)


def draw(value: dict[str, Any], path: pathlib.Path) -> bool:
    """Draws the plot of an experiment's results.

    Args:
        value: What the experiment returned.
        path: Where to write the snapshot.

    Returns:
        Whether the experiment has a plot.
    """
    figure, axes = plt.subplots(figsize=_SIZE_INCHES)
    try:
        if "searches" in value:
            _draw_searches(axes, value["searches"])
        elif "timelines" in value:
            _draw_timelines(axes, value["timelines"])
        else:
            return False
        axes.legend(fontsize="small")
        figure.tight_layout()
        figure.savefig(path)
        return True
    finally:
        plt.close(figure)


def _draw_searches(axes: Any, searches: list[Any]) -> None:
    for search in searches:
        points = sorted(
            (tried.rate_per_s, tried.summary.worst_ratio)
            for tried in search.tried
        )
        rates, ratios = zip(*points, strict=True)
        label = f"{search.policy}, seed {search.seed}"
        axes.plot(rates, ratios, marker="o", label=label)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set_yscale("log")
    axes.set_xlabel("offered load, requests per second")
    axes.set_ylabel("worst scaled minute, relative to the bound")


def _draw_timelines(axes: Any, timelines: dict[str, list[Any]]) -> None:
    for name, points in timelines.items():
        times = [point[0] for point in points]
        ratios = [max(point[1], 0.01) for point in points]
        axes.plot(times, ratios, label=name)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set_yscale("log")
    axes.set_xlabel("time since the fault, s")
    axes.set_ylabel("95th percentile relative to the bound")
