"""A launched fleet with its contract in force, ready for callers."""

from collections.abc import Iterator
import contextlib
import dataclasses
import json
import pathlib
import subprocess as plain_subprocess
import sys
import tempfile
import time

from gevent import subprocess

from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import evidence as evidence_lib
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import launcher as launcher_lib
from dotterelgrade_standins import loopback_range
from dotterelgrade_standins import oracle as oracle_lib

READY_TIMEOUT_S = 30.0
APPLY_TIMEOUT_S = 30.0
_CONTRACT_FILE = "applied.contract"
_OPERATOR_FILE = "operator.json"


class FleetError(Exception):
    """A fleet did not come up."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """What the operator's command that applies a contract did.

    Attributes:
        exit_code: Its exit code.
        output: What it wrote.
        took_s: How long it took, s.
    """

    exit_code: int
    output: str
    took_s: float


class Fleet:
    """A fleet that is up."""

    def __init__(
        self, plan: fleet_plan.FleetPlan, launcher: launcher_lib.Launcher
    ) -> None:
        """Initializes a fleet without a contract in force.

        Args:
            plan: Its hosts.
            launcher: Its processes.
        """
        self._plan = plan
        self._launcher = launcher
        self._evidence = self._new_evidence()

    def __repr__(self) -> str:
        """Shows the plan."""
        return f"<Fleet {self._plan}>"

    @property
    def plan(self) -> fleet_plan.FleetPlan:
        """Its hosts."""
        return self._plan

    @property
    def launcher(self) -> launcher_lib.Launcher:
        """Its processes."""
        return self._launcher

    @property
    def evidence(self) -> evidence_lib.Evidence:
        """What was seen of it, for the oracle."""
        return self._evidence

    @property
    def oracle(self) -> oracle_lib.Oracle:
        """Who judges it."""
        return self._evidence.oracle

    def forget_evidence(self) -> None:
        """Begins anew with an oracle that has seen nothing.

        What the engines have run so far is skipped.
        """
        self._evidence.collect()
        fresh = oracle_lib.Oracle(layers_of=self._plan.layers_of())
        self._evidence.replace_oracle(fresh)

    def apply(self, text: str) -> Applied:
        """Applies a contract with the operator's command.

        Args:
            text: The whole contract.

        Returns:
            What the command did.
        """
        started_s = time.monotonic()
        done = subprocess.run(
            self._apply_command(text),
            stdout=plain_subprocess.PIPE,
            stderr=plain_subprocess.STDOUT,
            timeout=APPLY_TIMEOUT_S,
            check=False,
        )
        return Applied(
            exit_code=done.returncode,
            output=done.stdout.decode(),
            took_s=time.monotonic() - started_s,
        )

    def await_ready(self) -> None:
        """Waits until every entry takes work.

        Raises:
            FleetError: One does not in time.
        """
        for entry in self._plan.entries:
            if not launcher_lib.wait_until(
                lambda host=entry.host: is_ready(host),
                timeout_s=READY_TIMEOUT_S,
            ):
                raise FleetError(f"the entry on {entry.host} is not ready")

    def _new_evidence(self) -> evidence_lib.Evidence:
        oracle = oracle_lib.Oracle(layers_of=self._plan.layers_of())
        return evidence_lib.Evidence(self._plan, oracle)

    def _apply_command(self, text: str) -> list[str]:
        directory = self._launcher.directory
        contract = directory / _CONTRACT_FILE
        contract.write_text(text, encoding="utf-8")
        settings = directory / _OPERATOR_FILE
        platform = dataclasses.asdict(self._plan.platform())
        settings.write_text(
            json.dumps({"platform": platform}), encoding="utf-8"
        )
        program = pathlib.Path(sys.executable).parent / "dotterelgrade"
        arguments = ["contract", "apply", str(contract)]
        return [str(program), *arguments, "--settings", str(settings)]


def is_ready(host: str) -> bool:
    """Returns whether the entry on a host takes work."""
    value = caller_lib.get_json(host, fleet_plan.ADMIN_PORT, "/readyz")
    return bool(value) and value["ready"]


@contextlib.contextmanager
def running(
    plan: fleet_plan.FleetPlan, *, directory: pathlib.Path | None = None
) -> Iterator[Fleet]:
    """Runs a fleet with its contract in force while the context is open.

    Args:
        plan: Its hosts.
        directory: Where settings and logs of the processes are kept; None for
            a temporary one.

    Yields:
        The fleet, with every entry ready.

    Raises:
        FleetError: It did not come up.
        launcher_lib.StartError: A process did not start.
    """
    with contextlib.ExitStack() as stack:
        try:
            stack.enter_context(
                loopback_range.held(loopback_range.owner_range(plan.network))
            )
        except loopback_range.RangeTakenError as error:
            raise FleetError(str(error)) from error
        if directory is None:
            scratch = stack.enter_context(tempfile.TemporaryDirectory())
            directory = pathlib.Path(scratch)
        directory.mkdir(parents=True, exist_ok=True)
        launcher = stack.enter_context(
            launcher_lib.launched(plan.deployment(), directory)
        )
        fleet = Fleet(plan, launcher)
        applied = fleet.apply(plan.contract_text)
        if applied.exit_code != 0:
            raise FleetError(f"contract apply: {applied.output}")
        fleet.await_ready()
        yield fleet
