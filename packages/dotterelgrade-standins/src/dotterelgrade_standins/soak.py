"""A randomized soak of the real front program under faults.

Starts fronts as processes of their own against stand-ins of the platform,
lets faults strike in overlapping series while callers go on, then checks the
recovery. Every run prints its seed; `--seed` repeats its faults.
"""

import dataclasses
import json
import pathlib
import random
import secrets
import tempfile
import time
from typing import ClassVar

from cleo import helpers
from cleo.commands import command as command_lib
import gevent

from dotterelgrade_standins import commands
from dotterelgrade_standins import launcher
from dotterelgrade_standins import loopback_range
from dotterelgrade_standins import soak_callers
from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_faults
from dotterelgrade_standins import soak_fleet

_READY_TIMEOUT_S = 30.0
_SECONDS_PER_MINUTE = 60.0
_OBSERVED_S = 4.0
_LAG_STEP_S = 0.05
# Beyond this the machine is too busy for checks with a time bound.
_MOST_LAG_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """What a run is made of.

    Attributes:
        seed: Draws everything.
        storm_s: How long faults of all kinds begin, s.
        planned_s: How long, afterwards, only planned work begins, s.
        fronts: Real fronts.
        engines: Engines in each failure domain.
        callers: Callers at once.
        only: Names of the faults to draw from; empty for all.
        directory: Where logs are kept, or None for a temporary one.
    """

    seed: int
    storm_s: float
    planned_s: float
    fronts: int = 3
    engines: int = 3
    callers: int = 12
    only: tuple[str, ...] = ()
    directory: pathlib.Path | None = None


def run(settings: Settings) -> soak_evidence.Evidence:
    """Runs one soak.

    Args:
        settings: What it is made of.

    Returns:
        What was seen, with the promises that were broken.

    Raises:
        launcher.StartError: The fronts did not become ready.
        loopback_range.RangeTakenError: There are no free addresses.
    """
    with tempfile.TemporaryDirectory() as temporary:
        directory = settings.directory or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        with soak_fleet.running(
            fronts=settings.fronts,
            engines=settings.engines,
            directory=directory,
            rng=random.Random(f"fleet {settings.seed}"),
        ) as fleet:
            _run(settings, fleet)
    fleet.evidence.conclude()
    fleet.crashes.conclude()
    return fleet.evidence


def _run(settings: Settings, fleet: soak_fleet.Fleet) -> None:
    rotation = soak_callers.Rotation(fleet)
    greenlets = [
        gevent.spawn(rotation.run),
        gevent.spawn(_watch_lag, fleet.evidence),
        gevent.spawn(_watch_processes, fleet),
    ]
    try:
        if not launcher.wait_until(
            rotation.all_ready, timeout_s=_READY_TIMEOUT_S
        ):
            raise launcher.StartError("the fronts are not ready")
        callers = [
            gevent.spawn(soak_callers.Caller(fleet, rotation).run)
            for _ in range(settings.callers)
        ]
        greenlets += callers
        _strike(settings, fleet)
        recovered_at = time.monotonic() + soak_evidence.RECOVER_S
        gevent.sleep(soak_evidence.RECOVER_S + _OBSERVED_S)
        fleet.evidence.check_recovery(recovered_at)
        for caller in callers:
            # A caller that failed has seen what it could not judge.
            if caller.exception is not None:
                raise caller.exception
    finally:
        gevent.killall(greenlets)


def _strike(settings: Settings, fleet: soak_fleet.Fleet) -> None:
    storm = soak_faults.Plan(
        rng=random.Random(f"faults {settings.seed}"),
        for_s=settings.storm_s,
        only=settings.only,
    )
    soak_faults.storm(fleet, storm)
    # After this time the checks with a time bound hold again.
    gevent.sleep(soak_evidence.STABILITY_S)
    planned = dataclasses.replace(storm, for_s=settings.planned_s)
    soak_faults.planned_work(fleet, planned)


def _watch_lag(evidence: soak_evidence.Evidence) -> None:
    """Notes when the machine is too busy for checks with a time bound."""
    while True:
        began = time.monotonic()
        gevent.sleep(_LAG_STEP_S)
        if time.monotonic() - began > _MOST_LAG_S:
            evidence.faults["machine_busy"] += 1
            machine = soak_evidence.Part.MACHINE
            evidence.calm(evidence.disturb(machine, began_at=began))


def _watch_processes(fleet: soak_fleet.Fleet) -> None:
    """Notes processes that end by themselves, and starts them again."""
    while True:
        for front in fleet.fronts:
            if front.ended_by_itself:
                fleet.evidence.broken("ended", "", f"{front}")
                front.start()
        gevent.sleep(_LAG_STEP_S)


@commands.register
class SoakCommand(command_lib.Command):
    """Runs the soak once, or with fresh seeds for some minutes."""

    name = "soak"
    description = "run real fronts under faults and check their promises"
    options: ClassVar = [
        helpers.option("seed", None, "seed of the first run", flag=False),
        helpers.option(
            "minutes", None, "go on for so long", flag=False, default="1"
        ),
        helpers.option(
            "storm-s", None, "faults of one run, s", flag=False, default="12"
        ),
        helpers.option(
            "planned-s", None, "planned work, s", flag=False, default="12"
        ),
        helpers.option(
            "only", None, "faults to draw from, separated by commas", flag=False
        ),
        helpers.option("fronts", None, "fronts", flag=False, default="3"),
        helpers.option("callers", None, "callers", flag=False, default="12"),
        helpers.option("logs", None, "directory that keeps logs", flag=False),
    ]

    def handle(self) -> int:
        """Runs until the time is used up; 1 if any promise was broken."""
        until = time.monotonic()
        until += float(self.option("minutes")) * _SECONDS_PER_MINUTE
        seed = int(self.option("seed") or secrets.randbelow(2**32))
        failed = False
        while True:
            failed |= not self._run_once(seed)
            seed = secrets.randbelow(2**32)
            if time.monotonic() >= until:
                return 1 if failed else 0

    def _run_once(self, seed: int) -> bool:
        logs = self.option("logs")
        settings = Settings(
            seed=seed,
            storm_s=float(self.option("storm-s")),
            planned_s=float(self.option("planned-s")),
            only=tuple(filter(None, (self.option("only") or "").split(","))),
            fronts=int(self.option("fronts")),
            callers=int(self.option("callers")),
            directory=pathlib.Path(logs, str(seed)) if logs else None,
        )
        try:
            evidence = run(settings)
        except (launcher.StartError, loopback_range.RangeTakenError) as error:
            self.line_error(f"seed {seed}: {error}")
            return False
        self.line(json.dumps(_summary(seed, evidence)))
        return not evidence.violations


def _summary(seed: int, evidence: soak_evidence.Evidence) -> dict[str, object]:
    return {
        "seed": seed,
        "requests": len(evidence.sent),
        "outcomes": dict(evidence.outcomes),
        "faults": dict(evidence.faults),
        "violations": [dataclasses.asdict(v) for v in evidence.violations],
    }
