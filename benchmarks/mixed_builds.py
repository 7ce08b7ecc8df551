"""Runs processes of two builds side by side and judges the answers.

Fronts of both builds share one store stand-in while fronts are killed, stopped
and paused, so that each build plans for the other. Then the demo is run with
agents, with entries, and with every second process of the other build. Prints
one line for each run and exits with 1 if a promise was broken, a log holds a
rejected frame, or no process of the other build was started.

    python benchmarks/mixed_builds.py OLD_PYTHON [--minutes M] [--logs DIR]

OLD_PYTHON is the interpreter of an environment that holds the other build.
"""

import argparse
from collections.abc import Callable, Iterator
import contextlib
import pathlib
import re
import sys
import tempfile

from gevent import subprocess

from dotterelgrade_platform import settings_file
from dotterelgrade_standins import demo
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import soak

_CONTRACT = pathlib.Path("examples/tabuleiro.contract")
_FAULTS = ("front_killed", "front_stopped", "front_paused", "store_away")
_REJECTED = (
    "invalid frame",
    "unexpected frame",
    "peer refused",
    # As the process that opened the connection reports it.
    "peer uses protocol version",
    "peer does not know the shared key",
)
_SECONDS_PER_MINUTE = 60.0
_NUMBERED = re.compile(r"(front|entry|agents|order-agent)\D*(\d+)")


@contextlib.contextmanager
def mixed(
    old_python: str, is_old: Callable[[str, int], bool]
) -> Iterator[list[str]]:
    """Starts the processes that a condition selects with the other build.

    Args:
        old_python: Interpreter of the other build.
        is_old: Tells from the kind and the number of a process whether it is
            of the other build.

    Yields:
        The names of the processes of the other build, as they are started.
    """
    plain = subprocess.Popen
    started: list[str] = []

    def start(arguments: list[str], **options: object) -> subprocess.Popen:
        path = (options.get("env") or {}).get(settings_file.PATH_VARIABLE)
        name = pathlib.Path(path).stem if path else "".join(arguments[4:5])
        numbered = _NUMBERED.match(name)
        if numbered and is_old(numbered[1], int(numbered[2])):
            started.append(name)
            arguments = [old_python, *arguments[1:]]
        return plain(arguments, **options)

    subprocess.Popen = start
    try:
        yield started
    finally:
        subprocess.Popen = plain


@contextlib.contextmanager
def _log_directory(kept: pathlib.Path | None) -> Iterator[pathlib.Path]:
    """Yields the directory to keep, or a temporary one."""
    with tempfile.TemporaryDirectory() as scratch:
        yield kept or pathlib.Path(scratch)


def rejected_frames(directory: pathlib.Path) -> list[str]:
    """Returns the log lines that report a rejected frame or peer."""
    return [
        f"{path.name}: {line}"
        for path in sorted(directory.rglob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if any(event in line for event in _REJECTED)
    ]


def run_fronts(
    old_python: str, *, parity: int, minutes: float, logs: pathlib.Path
) -> bool:
    """Runs a soak in which every second front is of the other build."""
    settings = soak.Settings(
        seed=parity,
        storm_s=minutes * _SECONDS_PER_MINUTE / 2,
        planned_s=minutes * _SECONDS_PER_MINUTE / 2,
        fronts=4,
        only=_FAULTS,
        directory=logs,
    )
    with mixed(old_python, lambda _, number: number % 2 == parity) as started:
        evidence = soak.run(settings)
    for violation in evidence.violations:
        print(violation, file=sys.stderr)
    print(
        f"fronts, parity {parity}: {dict(evidence.outcomes)}, "
        f"{len(started)} starts of the other build"
    )
    return bool(started) and not evidence.violations


def run_demo(
    old_python: str,
    *,
    label: str,
    is_old: Callable[[str, int], bool],
    logs: pathlib.Path,
) -> bool:
    """Runs the demo with some processes of the other build.

    Args:
        old_python: Interpreter of the other build.
        label: Name of the run in the output.
        is_old: Selects the processes of the other build.
        logs: Where the logs of the processes are kept.
    """
    text = _CONTRACT.read_text(encoding="utf-8")
    plan = fleet_plan.FleetPlan(text, demo.demo_settings(_CONTRACT))
    with (
        mixed(old_python, is_old) as started,
        fleet_run.running(plan, directory=logs) as fleet,
    ):
        played = demo.Demo(fleet, lambda line: None)
        played.run()
    counts = played.oracle.counts()
    print(f"demo, other {label}: {counts}, {len(started)} starts of them")
    return bool(started) and not (counts.lost or counts.doubled or counts.wrong)


_DEMOS: dict[str, Callable[[str, int], bool]] = {
    "agents": lambda kind, _: kind.endswith(("agents", "agent")),
    "entries": lambda kind, _: kind == "entry",
    "processes in turn": lambda _, number: number % 2 == 0,
}


def main() -> int:
    """Runs all of them; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("old_python")
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--logs", type=pathlib.Path, help="keeps the logs here")
    options = parser.parse_args()
    good = True
    with _log_directory(options.logs) as logs:
        for parity in (0, 1):
            good &= run_fronts(
                options.old_python,
                parity=parity,
                minutes=options.minutes,
                logs=logs / f"fronts-{parity}",
            )
        for label, is_old in _DEMOS.items():
            good &= run_demo(
                options.old_python,
                label=label,
                is_old=is_old,
                logs=logs / label.replace(" ", "-"),
            )
        rejected = rejected_frames(logs)
    print(f"rejected frames or peers in the logs: {len(rejected)}")
    print("\n".join(rejected[:20]), file=sys.stderr)
    return 0 if good and not rejected else 1


if __name__ == "__main__":
    sys.exit(main())
