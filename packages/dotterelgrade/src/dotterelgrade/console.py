"""Base class of the operator commands: options, output and exit codes."""

import dataclasses
import json
from typing import Any, ClassVar

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output
from returns import result

from dotterelgrade import errors
from dotterelgrade import exit_codes

EXIT_SUCCESS = exit_codes.EXIT_SUCCESS
EXIT_FAILURE = exit_codes.EXIT_FAILURE
EXIT_USAGE = exit_codes.EXIT_USAGE


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandResult:
    """The result of a command.

    Attributes:
        text: Human-readable output.
        data: The same content as JSON values.
        refused: Whether the command was not carried out in full.
    """

    text: str
    data: dict[str, Any]
    refused: bool = False


class OperatorCommand(command.Command):
    """Command that prints its result, as text or as JSON."""

    options: ClassVar[list[Any]] = [
        helpers.option("json", None, "Print the result as JSON.", flag=True)
    ]

    def perform(self) -> result.Result[CommandResult, errors.Error]:
        """Runs the command.

        Returns:
            The result, or the error if nothing was done.
        """
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command and prints its result.

        Returns:
            The exit code.
        """
        outcome = self.perform()
        if isinstance(outcome, result.Success):
            command_result = outcome.unwrap()
        else:
            command_result = _error_result(outcome.failure())
        self._print(command_result)
        return EXIT_FAILURE if command_result.refused else EXIT_SUCCESS

    def _print(self, command_result: CommandResult) -> None:
        raw = output.Type.RAW
        if self.option("json"):
            text = json.dumps(command_result.data, default=str)
            self.io.write_line(text, type=raw)
        elif command_result.refused:
            self.io.write_error_line(command_result.text, type=raw)
        else:
            self.io.write_line(command_result.text, type=raw)

    def progress(self, text: str) -> None:
        """Prints a progress message, unless `--json` is given.

        Args:
            text: One line of text.
        """
        if not self.option("json"):
            self.io.write_line(text, type=output.Type.RAW)


def _error_result(error: errors.Error) -> CommandResult:
    return CommandResult(
        text=f"{error.kind}: {error.message}",
        data={
            "error": {
                "kind": error.kind.value,
                "message": error.message,
                "run": error.run_state.value,
            }
        },
        refused=True,
    )


def table(headers: list[str], rows: list[list[Any]]) -> str:
    """Formats rows as a table with aligned columns.

    Args:
        headers: Column titles.
        rows: The cells of each row.
    """
    cells = [headers, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
