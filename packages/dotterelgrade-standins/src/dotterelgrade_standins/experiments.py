"""Experiments on a launched fleet, registered under their names."""

from collections.abc import Callable, Iterator, Mapping
import contextlib
import dataclasses
import json
import pathlib
import time
from typing import Any, TypeVar

import gevent
from returns import result

from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import load
from dotterelgrade_standins import oracle as oracle_lib
from dotterelgrade_standins import usage as usage_lib
from dotterelgrade_standins import windows
from dotterelgrade_standins import workload

_SETTLE_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExperimentSettings:
    """One deployment's experiment file.

    Attributes:
        name: Name of the deployment.
        contract: Path of its contract, relative to the file.
        plan: Size and speed of the fleet.
        workload: Shape of the load.
        large_workspaces: Names of the large workspaces.
        minute_s: Length of the scaled minute, s.
        minutes: Scaled minutes measured at each load.
        warm_up_s: Load before the first measured one, s.
        search_steps: Halvings of a search once both ends are known.
        first_rate_per_s: First load of a search, requests per second.
        steady_rate_per_s: Load while something is broken.
        seeds: Seeds of the streams.
        policies: Routing policies that are compared.
        faults: Faults that are caused; all when empty.
        answers_at_least: A workspace with fewer whole answers in a scaled
            minute is judged only as a part of all workspaces together.
    """

    name: str
    contract: str
    plan: fleet_plan.PlanSettings
    workload: workload.WorkloadSettings
    large_workspaces: tuple[str, ...]
    minute_s: float = 4.0
    minutes: int = 4
    warm_up_s: float = 3.0
    search_steps: int = 3
    first_rate_per_s: float = 16.0
    steady_rate_per_s: float = 20.0
    seeds: tuple[int, ...] = (1,)
    policies: tuple[str, ...] = (
        "predicted",
        "least_in_flight",
        "round_robin",
        "random",
    )
    faults: tuple[str, ...] = ()
    answers_at_least: int = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """What one load got.

    Attributes:
        rate_per_s: Offered load, requests per second.
        seed: Seed of the stream.
        summary: The load judged as a whole.
        windows: The scaled minutes.
        oracle: What the oracle counted.
        violations: The first promises that the oracle saw broken.
        errors: Error answers by their kinds.
        steps: Inputs that ran on each accelerator kind.
        usage: Processor time meanwhile.
    """

    rate_per_s: float
    seed: int
    summary: windows.Summary
    windows: tuple[windows.Window, ...]
    oracle: oracle_lib.Counts
    violations: tuple[str, ...]
    errors: dict[str, int]
    steps: dict[str, int]
    usage: usage_lib.Usage

    @property
    def is_clean(self) -> bool:
        """Whether the oracle has nothing against it."""
        return not self.violations


class Context:
    """What an experiment works with."""

    def __init__(
        self,
        settings: ExperimentSettings,
        *,
        contract_text: str,
        say: Callable[[str], None],
    ) -> None:
        """Initializes the context.

        Args:
            settings: The deployment's experiment file.
            contract_text: Its contract.
            say: Shows a line of progress.
        """
        self._settings = settings
        self._contract_text = contract_text
        self._say = say

    @property
    def settings(self) -> ExperimentSettings:
        """The deployment's experiment file."""
        return self._settings

    def say(self, line: str) -> None:
        """Shows a line of progress."""
        self._say(line)

    @contextlib.contextmanager
    def fleet(self, **changes: Any) -> Iterator[fleet_run.Fleet]:
        """Runs a fleet while the context is open.

        Args:
            **changes: Fields of the plan's settings to replace.
        """
        settings = dataclasses.replace(self._settings.plan, **changes)
        plan = fleet_plan.FleetPlan(self._contract_text, settings)
        started_s = time.monotonic()
        with fleet_run.running(plan) as fleet:
            gevent.sleep(_SETTLE_S)
            took_s = time.monotonic() - started_s
            self._say(f"{plan}, {settings.policy}: up in {took_s:.0f} s")
            yield fleet

    def measure(
        self,
        fleet: fleet_run.Fleet,
        *,
        rate_per_s: float,
        seed: int,
        shape: workload.WorkloadSettings | None = None,
        apart: str = "",
        minutes: int = 0,
    ) -> Measurement:
        """Sends one load and judges it.

        Args:
            fleet: The fleet.
            rate_per_s: Requests per second.
            seed: Seed of the stream.
            shape: Shape of the load; the settings' own when None.
            apart: A workspace without which the others are also judged.
            minutes: Scaled minutes; the settings' own number when 0.

        Returns:
            The measurement, without the warm-up.
        """
        settings = self._settings
        fleet.forget_evidence()
        tool = load.LoadTool(fleet)
        meter = usage_lib.UsageMeter(fleet.launcher)
        duration_s = settings.warm_up_s + settings.minute_s * (
            minutes or settings.minutes
        )
        requests = workload.requests(
            shape or settings.workload,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            seed=seed,
        )
        samples = tool.run(requests)
        used = meter.read()
        fleet.evidence.collect()
        kept = [s for s in samples if s.request.at_s >= settings.warm_up_s]
        split = windows.split(
            kept,
            plan=fleet.plan,
            length_s=settings.minute_s,
            least_answers=settings.answers_at_least,
            apart=apart,
        )
        return Measurement(
            rate_per_s=rate_per_s,
            seed=seed,
            summary=windows.summarize(split, length_s=settings.minute_s),
            windows=tuple(split),
            oracle=fleet.oracle.counts(),
            violations=tuple(fleet.oracle.violations()[:5]),
            errors=load.error_kinds(samples),
            steps=fleet.evidence.steps_by_accelerator(),
            usage=used,
        )


Experiment = Callable[[Context], dict[str, Any]]
_E = TypeVar("_E", bound=Experiment)
_EXPERIMENTS: dict[str, Experiment] = {}


def register(name: str) -> Callable[[_E], _E]:
    """Registers an experiment under its name."""

    def add(experiment: _E) -> _E:
        _EXPERIMENTS[name] = experiment
        return experiment

    return add


def registered() -> Mapping[str, Experiment]:
    """Returns the experiments by name."""
    return dict(_EXPERIMENTS)


def read(path: pathlib.Path, **changes: Any) -> tuple[ExperimentSettings, str]:
    """Reads an experiment file and its contract.

    Args:
        path: The experiment file.
        **changes: Fields to replace.

    Returns:
        The settings and the text of the contract.

    Raises:
        ValueError: The file has faults.
    """
    outcome = settings_lib.load(path, ExperimentSettings)
    if not isinstance(outcome, result.Success):
        raise ValueError(outcome.failure().message)
    settings = dataclasses.replace(outcome.unwrap(), **changes)
    contract = path.parent / settings.contract
    return settings, contract.read_text(encoding="utf-8")


def write(path: pathlib.Path, value: Any) -> None:
    """Writes results as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(value, indent=1, default=_plain)
    path.write_text(text + "\n", encoding="utf-8")


def _plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return dataclasses.asdict(value)
    return str(value)
