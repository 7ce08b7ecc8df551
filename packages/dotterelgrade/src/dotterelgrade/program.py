"""Command-line programs: commands, usage errors and exit codes."""

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
    """A command-line program with its commands."""

    def __init__(
        self, name: str, *, commands: Sequence[type[command.Command]]
    ) -> None:
        """Initializes a program.

        Args:
            name: Name of the executable.
            commands: The classes of its commands.
        """
        self._name = name
        self._commands = commands

    def __repr__(self) -> str:
        """Shows the name and the commands."""
        names = ", ".join(cls.name or "?" for cls in self._commands)
        return f"<Program {self._name}: {names}>"

    def make_application(self) -> application.Application:
        """Returns the cleo application with every command."""
        app = application.Application(self._name, VERSION)
        for cls in self._commands:
            app.add(cls())
        app.auto_exits(False)
        app.catch_exceptions(False)
        return app

    def run(self, arguments: Sequence[str]) -> int:
        """Runs one command.

        Args:
            arguments: Command-line arguments after the program's name.

        Returns:
            0 when the command succeeded, 1 when it was rejected with a reason,
            2 on a usage error.
        """
        args = list(arguments)
        if args in ([], ["--help"], ["-h"]):
            args = ["list"]
        try:
            parsed = argv_input.ArgvInput([self._name, *args])
            return self.make_application().run(parsed)
        except exceptions.CleoError as error:
            print(f"{self._name}: {error}", file=sys.stderr)
            return console.EXIT_USAGE

    def main(self) -> int:
        """Runs the command given in the arguments of the process.

        Returns:
            The exit code, see `run`.
        """
        # Only `serve` writes a log; the other commands print their result.
        logging.getLogger().addHandler(logging.NullHandler())
        return self.run(sys.argv[1:])
