"""The command line of a program: its commands, usage errors, exit codes."""

from collections.abc import Sequence
import logging
import sys

from cleo import application
from cleo import exceptions
from cleo.commands import command
from cleo.io.inputs import argv_input

from dotterelgrade import console

VERSION = "0.1.0"


class Program:
    """One binary with its commands."""

    def __init__(
        self, name: str, *, commands: Sequence[type[command.Command]]
    ) -> None:
        """Initializes a program.

        Args:
            name: Name of the binary.
            commands: The classes of its commands.
        """
        self._name = name
        self._commands = commands

    def __repr__(self) -> str:
        """Shows the name and the commands."""
        names = ", ".join(cls.name or "?" for cls in self._commands)
        return f"<Program {self._name}: {names}>"

    def make_application(self) -> application.Application:
        """Returns the command line with every command."""
        app = application.Application(self._name, VERSION)
        for cls in self._commands:
            app.add(cls())
        app.auto_exits(False)
        app.catch_exceptions(False)
        return app

    def run(self, arguments: Sequence[str]) -> int:
        """Runs one command.

        Args:
            arguments: The words after the program's name.

        Returns:
            0 when the order was carried out, 1 when it was refused with a
            reason, 2 when the command line was wrong.
        """
        words = list(arguments)
        if words in ([], ["--help"], ["-h"]):
            words = ["list"]
        try:
            parsed = argv_input.ArgvInput([self._name, *words])
            return self.make_application().run(parsed)
        except exceptions.CleoError as error:
            print(f"{self._name}: {error}", file=sys.stderr)
            return console.EXIT_USAGE

    def main(self) -> int:
        """Runs the command that the arguments of the process name.

        Returns:
            The exit code, see `run`.
        """
        # Only `serve` writes a log; the other commands print their answer.
        logging.getLogger().addHandler(logging.NullHandler())
        return self.run(sys.argv[1:])
