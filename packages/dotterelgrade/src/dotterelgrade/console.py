"""What the operators' commands share: options, output and exit codes."""

import dataclasses
import json
from typing import Any, ClassVar

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output
from returns import result

from dotterelgrade import errors
from dotterelgrade import exit_codes

EXIT_DONE = exit_codes.EXIT_DONE
EXIT_REFUSED = exit_codes.EXIT_REFUSED
EXIT_USAGE = exit_codes.EXIT_USAGE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What a command has to say.

    Attributes:
        text: For a person.
        data: The same as JSON values.
        refused: Whether the order was not carried out in full.
    """

    text: str
    data: dict[str, Any]
    refused: bool = False


class OperatorCommand(command.Command):
    """A command that prints one report, as text or as JSON."""

    options: ClassVar[list[Any]] = [
        helpers.option("json", None, "Print the result as JSON.", flag=True)
    ]

    def perform(self) -> result.Result[Report, errors.Error]:
        """Carries out the command.

        Returns:
            The report, or why nothing was done.
        """
        raise NotImplementedError

    def handle(self) -> int:
        """Carries out the command and prints its report.

        Returns:
            The exit code.
        """
        answer = self.perform()
        if isinstance(answer, result.Success):
            report = answer.unwrap()
        else:
            report = _refusal(answer.failure())
        self._print(report)
        return EXIT_REFUSED if report.refused else EXIT_DONE

    def _print(self, report: Report) -> None:
        raw = output.Type.RAW
        if self.option("json"):
            text = json.dumps(report.data, default=str)
            self.io.write_line(text, type=raw)
        elif report.refused:
            self.io.write_error_line(report.text, type=raw)
        else:
            self.io.write_line(report.text, type=raw)

    def progress(self, text: str) -> None:
        """Tells a person what goes on; silent with `--json`.

        Args:
            text: One line.
        """
        if not self.option("json"):
            self.io.write_line(text, type=output.Type.RAW)


def _refusal(error: errors.Error) -> Report:
    return Report(
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
    """Returns rows in aligned columns.

    Args:
        headers: Titles of the columns.
        rows: The cells.
    """
    cells = [headers, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
