"""The program `dotterelgrade-agent`: the process beside backend servers."""

import sys

from gevent import monkey

from dotterelgrade import program
from dotterelgrade_agent import agent_commands

PROGRAM = program.Program(
    "dotterelgrade-agent",
    commands=(agent_commands.ServeCommand, agent_commands.DrainCommand),
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
