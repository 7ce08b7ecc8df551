"""Processor time of a fleet's processes, so that results can be trusted."""

import dataclasses
import os
import time

import psutil

from dotterelgrade_standins import launcher as launcher_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Processor time between two looks.

    Attributes:
        cores: Cores used by all processes of a group, by the first part of
            their names.
        busiest: Process that used most of a core.
        busiest_cores: How much of a core it used.
    """

    cores: dict[str, float]
    busiest: str
    busiest_cores: float


class UsageMeter:
    """Measures the processor time of a launcher's processes and its own."""

    def __init__(self, launcher: launcher_lib.Launcher) -> None:
        """Takes the first look.

        Args:
            launcher: Whose processes to measure.
        """
        self._launcher = launcher
        self._started_s = time.monotonic()
        self._before = self._look()

    def read(self) -> Usage:
        """Returns the usage since the first look."""
        passed_s = time.monotonic() - self._started_s
        used = {
            name: (cpu_s - self._before[name]) / passed_s
            for name, cpu_s in self._look().items()
            if name in self._before
        }
        groups: dict[str, float] = {}
        for name, cores in used.items():
            group = name.split("-")[0]
            groups[group] = groups.get(group, 0.0) + cores
        busiest = max(used, key=lambda name: used[name])
        return Usage(
            cores={name: round(cores, 2) for name, cores in groups.items()},
            busiest=busiest,
            busiest_cores=round(used[busiest], 2),
        )

    def _look(self) -> dict[str, float]:
        found = {"load tool": _cpu_s(os.getpid())}
        for name in self._launcher.names:
            found[name] = _cpu_s(self._launcher.pid(name))
        return found


def _cpu_s(pid: int) -> float:
    try:
        times = psutil.Process(pid).cpu_times()
    except psutil.NoSuchProcess:
        return 0.0
    return times.user + times.system
