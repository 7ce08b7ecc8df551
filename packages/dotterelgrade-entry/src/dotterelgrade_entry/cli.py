"""The program `dotterelgrade`: the entry process and operators' commands."""

import logging
import sys

from cleo import application
from cleo import exceptions
from cleo.io.inputs import argv_input
from gevent import monkey

from dotterelgrade_entry import console
from dotterelgrade_entry import contract_commands
from dotterelgrade_entry import fleet_commands
from dotterelgrade_entry import serve_command

_COMMANDS = (
    serve_command.ServeCommand,
    contract_commands.CheckCommand,
    contract_commands.ApplyCommand,
    contract_commands.RestoreCommand,
    contract_commands.ShowCommand,
    contract_commands.LogCommand,
    fleet_commands.DumpCommand,
    fleet_commands.ExplainCommand,
    fleet_commands.FleetCommand,
)


def make_application() -> application.Application:
    """Returns the command line with every command."""
    app = application.Application("dotterelgrade", "0.1.0")
    for command in _COMMANDS:
        app.add(command())
    app.auto_exits(False)
    app.catch_exceptions(False)
    return app


def run(arguments: list[str]) -> int:
    """Runs one command.

    Args:
        arguments: The words after the program's name.

    Returns:
        0 when the order was carried out, 1 when it was refused with a reason,
        2 when the command line was wrong.
    """
    if arguments in ([], ["--help"], ["-h"]):
        arguments = ["list"]
    try:
        words = argv_input.ArgvInput(["dotterelgrade", *arguments])
        return make_application().run(words)
    except exceptions.CleoError as error:
        print(f"dotterelgrade: {error}", file=sys.stderr)
        return console.EXIT_USAGE


def main() -> int:
    """Runs the program with the arguments of its process.

    Returns:
        The exit code, see `run`.
    """
    monkey.patch_all()
    # Only `serve` writes a log; the other commands print their answer.
    logging.getLogger().addHandler(logging.NullHandler())
    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
