"""The command that prints the decisions on one request from a log."""

from collections.abc import Iterable
from typing import Any, ClassVar

from cleo import helpers
from returns import result

from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade_front import log_file

_OMITTED_FIELDS = frozenset(
    {"time", "level", "logger", "event", "process", "role"}
)


class ExplainCommand(console.OperatorCommand):
    """Prints the decisions on one request in order, with their inputs."""

    name = "explain"
    description = "Print the decisions on one request from a log."
    arguments: ClassVar = [
        helpers.argument("request", "Identifier of the request."),
        helpers.argument(
            "log", "Log file; standard input without it.", optional=True
        ),
    ]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Searches the log for the request."""
        request_id = self.argument("request")
        try:
            with log_file.open_log(self.argument("log")) as lines:
                found = decisions_on(request_id, lines)
        except OSError as error:
            return log_file.unreadable_log(error)
        if not found:
            return _not_found(f"the log has no line on request {request_id!r}")
        text = "\n".join(_format_line(line) for line in found)
        return result.Success(
            console.CommandResult(text=text, data={"decisions": found})
        )


def decisions_on(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the log lines on a request, as JSON values in order.

    Args:
        request_id: The request.
        lines: Lines of a log; those without a JSON object are skipped. A prefix
            before the object, such as a log collector's, is allowed.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        value = log_file.parse_json_object(line)
        if value.get("request_id") == request_id:
            found.append(value)
    return found


def _format_line(line: dict[str, Any]) -> str:
    details = "  ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _OMITTED_FIELDS
    )
    time = line.get("time", "")
    return f"{time}  {line.get('process')}  {line.get('event')}  {details}"


def _not_found(message: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.NOT_FOUND, message=message)
    )
