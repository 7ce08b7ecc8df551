"""Runs the state machines that are fuzzed against the oracle.

In CI each machine runs derandomized, with the same verdict each time. `explore`
runs them with fresh seeds, printing each, until the time is used up.
"""

from collections.abc import Callable, Mapping
import dataclasses
import importlib
import io
import logging
import random
import time
import traceback
from typing import TypeVar

from cleo.commands import command as command_lib
from cleo.helpers import option
import hypothesis
from hypothesis import stateful

from dotterelgrade_standins import commands

_MODULES = ("fuzz_contract", "fuzz_chain", "fuzz_claims", "fuzz_fleet")
_T = TypeVar("_T", bound=type[stateful.RuleBasedStateMachine])


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A state machine with its CI budget.

    Attributes:
        name: Name on the command line.
        machine: The state machine.
        examples: Runs in CI.
        steps: The most rules in a run.
    """

    name: str
    machine: type[stateful.RuleBasedStateMachine]
    examples: int
    steps: int


_TARGETS: dict[str, Target] = {}


def target(name: str, *, examples: int, steps: int) -> Callable[[_T], _T]:
    """Registers a state machine.

    Args:
        name: Name on the command line.
        examples: Runs in CI.
        steps: The most rules in a run.
    """

    def register(machine: _T) -> _T:
        _TARGETS[name] = Target(
            name=name, machine=machine, examples=examples, steps=steps
        )
        return machine

    return register


def targets() -> Mapping[str, Target]:
    """Returns every registered machine by name."""
    for module in _MODULES:
        importlib.import_module(f"dotterelgrade_standins.{module}")
    return dict(_TARGETS)


def check(chosen: Target, *, shrinks: bool = True) -> None:
    """Runs a machine within its CI budget, the same way each time.

    Args:
        chosen: The machine.
        shrinks: Whether a failing run is made short before it is shown.

    Raises:
        Exception: A promise was broken; the shortest run found is printed.
    """
    settings = _settings(chosen, derandomize=True)
    if not shrinks:
        phases = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
        settings = hypothesis.settings(settings, phases=phases)
    _run(chosen, settings)


def run_seed(chosen: Target, seed: int, *, examples: int | None = None) -> None:
    """Runs a machine from a seed.

    Args:
        chosen: The machine.
        seed: The seed.
        examples: Number of runs; the CI budget when None.

    Raises:
        Exception: A promise was broken; the shortest run found is printed.
    """
    settings = _settings(chosen, derandomize=False, examples=examples)
    machine = type(chosen.machine.__name__, (chosen.machine,), {})
    _run(
        dataclasses.replace(chosen, machine=hypothesis.seed(seed)(machine)),
        settings,
    )


def explore(
    *,
    seconds: float,
    names: tuple[str, ...] = (),
    seed: int | None = None,
    write: Callable[[str], None] = print,
) -> int:
    """Runs machines in turn with fresh seeds until the time is used up.

    Args:
        seconds: Time to spend, s; the last run may go beyond it.
        names: Machines to run; all when empty.
        seed: First seed; random when None.
        write: Gets one line for each run, and the trace of a failure.

    Returns:
        The number of failed runs.
    """
    known = targets()
    chosen = [known[name] for name in names or known]
    first = random.SystemRandom().randrange(2**32) if seed is None else seed
    ends_at = time.monotonic() + seconds
    runs = failures = 0
    while time.monotonic() < ends_at:
        for each in chosen:
            number = first + runs // len(chosen)
            failures += not _explore_once(each, number, write)
            runs += 1
            if time.monotonic() >= ends_at:
                break
    write(f"fuzz: {runs - failures} passed, {failures} failed")
    return failures


def _explore_once(
    chosen: Target, seed: int, write: Callable[[str], None]
) -> bool:
    started = time.monotonic()
    try:
        run_seed(chosen, seed)
    except Exception:
        trace = io.StringIO()
        traceback.print_exc(file=trace)
        write(f"{chosen.name} seed {seed}: FAILED\n{trace.getvalue()}")
        return False
    spent_s = time.monotonic() - started
    write(f"{chosen.name} seed {seed}: passed in {spent_s:.1f} s")
    return True


def _settings(
    chosen: Target, *, derandomize: bool, examples: int | None = None
) -> hypothesis.settings:
    return hypothesis.settings(
        max_examples=examples or chosen.examples,
        stateful_step_count=chosen.steps,
        derandomize=derandomize,
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def _run(chosen: Target, settings: hypothesis.settings) -> None:
    stateful.run_state_machine_as_test(chosen.machine, settings=settings)


@commands.register
class FuzzCommand(command_lib.Command):
    """Explores with the oracle; each failure shows its seed and trace."""

    name = "fuzz"
    description = "Explores with the oracle for a number of seconds."
    options = [
        option("seconds", description="Time to spend, s.", flag=False),
        option("seed", description="First seed.", flag=False),
        option(
            "only", description="Machine to run.", flag=False, multiple=True
        ),
        option("check", description="Run the budget of CI once instead."),
        option("first", description="Do not shorten a failing run."),
    ]

    def handle(self) -> int:
        """Runs the machines.

        Returns:
            0 when every run passed, 1 otherwise.
        """
        logging.disable(logging.CRITICAL)
        names = tuple(self.option("only"))
        if self.option("check"):
            for each in names or targets():
                check(targets()[each], shrinks=not self.option("first"))
                self.line(f"{each}: passed")
            return 0
        seed = self.option("seed")
        failures = explore(
            seconds=float(self.option("seconds") or 60),
            names=names,
            seed=None if seed is None else int(seed),
            write=self.line,
        )
        return 1 if failures else 0
