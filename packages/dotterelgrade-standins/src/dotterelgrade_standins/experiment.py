"""The subcommand that runs one experiment and writes its results."""

import json
import pathlib
from typing import Any, ClassVar

from cleo import helpers
from cleo.commands import command as command_lib
from cleo.ui import table as table_lib

from dotterelgrade_standins import commands
from dotterelgrade_standins import contract_spread
from dotterelgrade_standins import experiments
from dotterelgrade_standins import joining as joining_lib
from dotterelgrade_standins import leaving as leaving_lib
from dotterelgrade_standins import plots
from dotterelgrade_standins import recovery as recovery_lib
from dotterelgrade_standins import throughput as throughput_lib

DEFAULT_FILE = "benchmarks/tabuleiro.json"
DEFAULT_RESULTS = "results"

# Importing the modules of the experiments registers them.
_MODULES = (
    contract_spread,
    joining_lib,
    leaving_lib,
    recovery_lib,
    throughput_lib,
)


def run_one(
    name: str,
    *,
    file: pathlib.Path,
    results: pathlib.Path,
    command: command_lib.Command,
    changes: dict[str, Any],
) -> dict[str, Any]:
    """Runs an experiment, writes its results and shows its table.

    Args:
        name: Name of the experiment.
        file: Experiment file of the deployment.
        results: Directory for the results.
        command: The command that shows lines and tables.
        changes: Fields of the experiment file to replace.

    Returns:
        What the experiment returned.

    Raises:
        ValueError: The experiment file has faults.
    """
    settings, contract_text = experiments.read(file, **changes)
    context = experiments.Context(
        settings, contract_text=contract_text, say=command.line
    )
    value = experiments.registered()[name](context)
    stem = f"{name}-{settings.name}"
    experiments.write(results / f"{stem}.json", value)
    plots.draw(value, results / f"{stem}.png")
    header, *rows = value["table"]
    shown = table_lib.Table(command.io)
    shown.set_headers(header).set_rows(rows).render()
    for key, number in value.items():
        if isinstance(number, int | float):
            command.line(f"{key}: {number:.2f}")
    return value


@commands.register
class ExperimentCommand(command_lib.Command):
    """Runs one experiment."""

    name = "experiment"
    description = "run one experiment and write its results"
    arguments: ClassVar = [
        helpers.argument("experiment", "name of the experiment")
    ]
    options: ClassVar = [
        helpers.option(
            "file",
            None,
            "experiment file of the deployment",
            flag=False,
            default=DEFAULT_FILE,
        ),
        helpers.option(
            "results",
            None,
            "directory for the results",
            flag=False,
            default=DEFAULT_RESULTS,
        ),
        helpers.option("seeds", None, "seeds, separated by commas", flag=False),
        helpers.option(
            "policies", None, "policies, separated by commas", flag=False
        ),
        helpers.option(
            "faults", None, "faults, separated by commas", flag=False
        ),
        helpers.option(
            "set",
            None,
            "replace a number of the experiment file, as in minutes=2",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Runs the experiment; 2 for an unknown one or a faulty file."""
        name = self.argument("experiment")
        if name not in experiments.registered():
            known = ", ".join(experiments.registered())
            self.line_error(f"unknown experiment: {name}; known: {known}")
            return 2
        try:
            run_one(
                name,
                file=pathlib.Path(self.option("file")),
                results=pathlib.Path(self.option("results")),
                command=self,
                changes=self._changes(),
            )
        except (ValueError, TypeError) as error:
            self.line_error(str(error))
            return 2
        return 0

    def _changes(self) -> dict[str, Any]:
        changes: dict[str, Any] = {}
        if self.option("seeds"):
            seeds = self.option("seeds").split(",")
            changes["seeds"] = tuple(int(seed) for seed in seeds)
        if self.option("policies"):
            changes["policies"] = tuple(self.option("policies").split(","))
        if self.option("faults"):
            changes["faults"] = tuple(self.option("faults").split(","))
        for item in self.option("set"):
            name, _, value = item.partition("=")
            changes[name] = json.loads(value)
        return changes
