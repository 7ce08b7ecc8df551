"""The command line of the stand-ins.

A subcommand NAME is a cleo command that registers itself in the module NAME;
the module is imported only when the subcommand is asked for.
"""

import importlib
import sys

from cleo import application
from cleo.commands import command as command_lib
from cleo.io.inputs import argv_input

from dotterelgrade_standins import commands

_PACKAGE = "dotterelgrade_standins"
_DESCRIPTIONS = {
    "demo": "run a small fleet, break a stage, and count the answers",
    "experiment": "run one experiment and write its results",
    "bench": "run the short set of experiments",
    "process": "run one process of a deployment file",
    "slopes": "measure costs per request, token hop, peer and record",
    "capacity": "compute docs/CAPACITY.md from the measured slopes",
    "fuzz": "explore with the oracle for a number of seconds",
    "soak": "run real fronts under faults and check their promises",
    "mutants": "break one promise at a time and show what finds it",
}


class UnknownCommandError(Exception):
    """A subcommand can't be loaded."""


def load(name: str) -> command_lib.Command:
    """Imports the module of a subcommand and makes the command.

    Args:
        name: Name of the subcommand.

    Returns:
        The command.

    Raises:
        UnknownCommandError: No such subcommand, or its module is missing.
    """
    if name not in _DESCRIPTIONS:
        raise UnknownCommandError(f"unknown subcommand: {name}")
    module = f"{_PACKAGE}.{name}"
    try:
        importlib.import_module(module)
    except ModuleNotFoundError as error:
        if error.name != module:
            raise
        raise UnknownCommandError(
            f"{name}: the module {module} is missing"
        ) from error
    if name not in commands.registered():
        raise UnknownCommandError(f"{name}: {module} registers no command")
    return commands.registered()[name]()


def run(arguments: list[str]) -> int:
    """Runs a subcommand.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code: 0 done, 1 failed, 2 usage.
    """
    if not arguments or arguments[0] in ("-h", "--help", "list"):
        sys.stdout.write(_usage())
        return 0
    try:
        command = load(arguments[0])
    except UnknownCommandError as error:
        sys.stderr.write(f"{error}\n{_usage()}")
        return 2
    app = application.Application("python -m dotterelgrade_standins")
    app.add(command)
    app.auto_exits(False)
    return app.run(_input(arguments))


def _input(arguments: list[str]) -> argv_input.ArgvInput:
    return argv_input.ArgvInput(["dotterelgrade_standins", *arguments])


def _usage() -> str:
    lines = ["usage: python -m dotterelgrade_standins SUBCOMMAND [OPTIONS]", ""]
    lines += [f"  {name:<12}{text}" for name, text in _DESCRIPTIONS.items()]
    return "\n".join(lines) + "\n"
