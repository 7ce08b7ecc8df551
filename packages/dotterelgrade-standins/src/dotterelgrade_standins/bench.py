"""The subcommand that runs the short set of experiments."""

import pathlib
import time
from typing import Any, ClassVar

from cleo import helpers
from cleo.commands import command as command_lib

from dotterelgrade_standins import commands
from dotterelgrade_standins import experiment
from dotterelgrade_standins import throughput

# A short set: one seed, the best baseline beside the real policy, few faults.
_SHORT: dict[str, dict[str, Any]] = {
    "throughput": {
        "seeds": (1,),
        "policies": ("predicted", "least_in_flight"),
        "minutes": 2,
        "search_steps": 1,
    },
    "recovery": {
        "seeds": (1,),
        "faults": ("host_killed_and_log_down",),
    },
    "contract": {},
}


@commands.register
class BenchCommand(command_lib.Command):
    """Runs the short set of experiments, in under five minutes."""

    name = "bench"
    description = "run the short set of experiments"
    options: ClassVar = [
        helpers.option(
            "file",
            None,
            "experiment file of the deployment",
            flag=False,
            default=experiment.DEFAULT_FILE,
        ),
        helpers.option(
            "results",
            None,
            "directory for the results",
            flag=False,
            default=f"{experiment.DEFAULT_RESULTS}/short",
        ),
    ]

    def handle(self) -> int:
        """Runs the set; 2 for a faulty experiment file."""
        started_s = time.monotonic()
        ratio = 0.0
        for name, changes in _SHORT.items():
            self.line(f"experiment {name}")
            try:
                value = experiment.run_one(
                    name,
                    file=pathlib.Path(self.option("file")),
                    results=pathlib.Path(self.option("results")),
                    command=self,
                    changes=changes,
                )
            except ValueError as error:
                self.line_error(str(error))
                return 2
            ratio = value.get(throughput.RATIO, ratio)
        self.line(f"bench: {time.monotonic() - started_s:.0f} s")
        self.line(f"ratio {ratio:.2f}x")
        return 0
