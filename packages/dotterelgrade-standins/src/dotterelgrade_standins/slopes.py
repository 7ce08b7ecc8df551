"""The subcommand that measures costs and how they grow."""

import json
import pathlib
import sys
from typing import ClassVar

from cleo import helpers
from cleo.commands import command as command_lib
from gevent import subprocess

from dotterelgrade_standins import commands
from dotterelgrade_standins import slope_fit
from dotterelgrade_standins import slope_fleet as _slope_fleet  # noqa: F401
from dotterelgrade_standins import slope_probes
from dotterelgrade_standins import slope_relay as _slope_relay  # noqa: F401

RESULTS = pathlib.Path("results/slopes.json")
_TIMEOUT_S = 300.0


class ProbeError(Exception):
    """A probe gave no result."""


@commands.register
class SlopesCommand(command_lib.Command):
    """Runs every probe at each of its sizes, one process for each run."""

    name = "slopes"
    description = "measure costs per request, token hop, peer and record"
    options: ClassVar = [
        helpers.option("only", None, "Only this probe.", flag=False),
        helpers.option(
            "output", None, "Results.", flag=False, default=str(RESULTS)
        ),
        helpers.option("size", None, "Run in this process.", flag=False),
    ]

    def handle(self) -> int:
        """Measures; results of probes that are not run again are kept."""
        only = self.option("only")
        if only is not None and only not in slope_probes.probes():
            known = ", ".join(slope_probes.probes())
            self.line_error(f"no probe {only!r}; expected one of {known}")
            return 2
        if self.option("size") is not None:
            return _run_here(only, int(self.option("size")))
        output = pathlib.Path(self.option("output"))
        measured = slope_fit.read(output) if output.exists() else {}
        for name in [only] if only else slope_probes.probes():
            measured[name] = self._measure(name)
            slope_fit.write(output, measured)
        return 0

    def _measure(self, name: str) -> slope_fit.Measured:
        probe = slope_probes.probes()[name]
        samples = []
        for size in probe.sizes:
            values = _run_apart(name, size)
            samples.append(slope_fit.Sample(size=size, values=values))
            shown = "  ".join(f"{k}={v:.4g}" for k, v in values.items())
            self.line(f"{name}, {size} {probe.varied}: {shown}")
        return slope_fit.Measured(varied=probe.varied, samples=tuple(samples))


def _run_here(name: str, size: int) -> int:
    values = slope_probes.probes()[name].run(size)
    sys.stdout.write(json.dumps(values) + "\n")
    return 0


def _run_apart(name: str, size: int) -> dict[str, float]:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "dotterelgrade_standins",
            "slopes",
            f"--only={name}",
            f"--size={size}",
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        timeout=_TIMEOUT_S,
    )
    if done.returncode != 0:
        raise ProbeError(f"{name}, size {size}: {done.stderr.decode()[-2000:]}")
    return json.loads(done.stdout.decode().splitlines()[-1])
