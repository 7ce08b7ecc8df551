"""Reading of the log files that commands analyze."""

from collections.abc import Iterator
import contextlib
import json
import sys
from typing import Any, TextIO

from returns import result

from dotterelgrade import console
from dotterelgrade import errors


@contextlib.contextmanager
def open_log(path: str | None) -> Iterator[TextIO]:
    """Opens a log for the body of the context.

    Args:
        path: The file, or None for standard input.

    Yields:
        The lines of the log.

    Raises:
        OSError: The file can't be opened.
    """
    if path is None:
        yield sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield file


def parse_json_object(line: str) -> dict[str, Any]:
    """Returns the JSON object in a log line, or an empty one if there is none.

    Args:
        line: The line; a prefix before the object, such as a log collector's,
            is allowed.
    """
    start = line.find("{")
    if start < 0:
        return {}
    try:
        value = json.loads(line[start:])
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def unreadable_log(
    error: OSError,
) -> result.Result[console.CommandResult, errors.Error]:
    """Returns the result of a command whose log can't be read."""
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.NOT_FOUND,
            message=f"cannot read the log: {error}",
        )
    )
