"""What the operators' commands share: options, output and exit codes."""

import dataclasses
import json
import pathlib
import signal
from typing import Any, ClassVar, TypeVar

from cleo import exceptions
from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output
import gevent
from gevent import event
from returns import pipeline
from returns import result

from dotterelgrade import errors
from dotterelgrade import settings as settings_lib

_T = TypeVar("_T")

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


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
        if pipeline.is_successful(answer):
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


class ServingCommand(OperatorCommand):
    """A command that serves with a settings file until it is told to stop."""

    options: ClassVar[list[Any]] = [
        *OperatorCommand.options,
        helpers.option("settings", "s", "Settings in JSON.", flag=False),
    ]

    def load_settings(self, cls: type[_T]) -> result.Result[_T, errors.Error]:
        """Reads the file that the option `--settings` names.

        Args:
            cls: The frozen data class to build.

        Returns:
            The settings, or SETTINGS_INVALID with every fault and its path.

        Raises:
            exceptions.CleoUserError: No file was named.
        """
        path = self.option("settings")
        if not path:
            raise exceptions.CleoUserError("expected --settings FILE")
        return settings_lib.load(pathlib.Path(path), cls)


def stop_requested() -> event.Event:
    """Returns an event that SIGTERM and SIGINT set from now on."""
    requested = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, requested.set)
    return requested


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


def settings_option() -> Any:
    """Returns the option that names a settings file."""
    return helpers.option(
        "settings",
        "s",
        'JSON file with a "platform" object, such as an entry\'s own.',
        flag=False,
    )


def read_platform(
    path: str | None,
) -> result.Result[settings_lib.PlatformSettings, errors.Error]:
    """Reads where the platform's services are.

    Args:
        path: A settings file; only its "platform" object is used.

    Returns:
        The checked addresses, or SETTINGS_INVALID.

    Raises:
        exceptions.CleoUserError: No file was named.
    """
    if not path:
        raise exceptions.CleoUserError("expected --settings FILE")
    try:
        value = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        return _invalid(f"cannot read {path}: {error}")
    if not isinstance(value, dict) or "platform" not in value:
        return _invalid(f'{path}: expected an object with "platform"')
    return settings_lib.structure(
        value["platform"], settings_lib.PlatformSettings
    )


def _invalid(message: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.SETTINGS_INVALID, message=message)
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
