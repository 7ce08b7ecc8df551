"""The program `dotterelgrade`: the entry process and operators' commands."""

import sys

from gevent import monkey

from dotterelgrade import program
from dotterelgrade_entry import contract_commands
from dotterelgrade_entry import fleet_commands
from dotterelgrade_entry import serve_command

PROGRAM = program.Program(
    "dotterelgrade",
    commands=(
        serve_command.ServeCommand,
        contract_commands.CheckCommand,
        contract_commands.ApplyCommand,
        contract_commands.RestoreCommand,
        contract_commands.ShowCommand,
        contract_commands.LogCommand,
        fleet_commands.DumpCommand,
        fleet_commands.ExplainCommand,
        fleet_commands.FleetCommand,
    ),
)


def run(arguments: list[str]) -> int:
    """Runs one command; see `program.Program.run`."""
    return PROGRAM.run(arguments)


def main() -> int:
    """Runs the command that the arguments of the process name.

    Returns:
        The exit code.
    """
    monkey.patch_all()
    return PROGRAM.main()


if __name__ == "__main__":
    sys.exit(main())
