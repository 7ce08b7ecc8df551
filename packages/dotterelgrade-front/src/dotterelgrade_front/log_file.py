"""Opens the log that a command reads."""

from collections.abc import Iterator
import contextlib
import sys
from typing import TextIO

from returns import result

from dotterelgrade import console
from dotterelgrade import errors


@contextlib.contextmanager
def opened(path: str | None) -> Iterator[TextIO]:
    """Opens a log for the body of the context.

    Args:
        path: The file, or None for standard input.

    Yields:
        The lines of the log.

    Raises:
        OSError: It can't be read.
    """
    if path is None:
        yield sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield file


def unreadable(error: OSError) -> result.Result[console.Report, errors.Error]:
    """Returns what a command says of a log that can't be read."""
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.NOT_FOUND,
            message=f"cannot read the log: {error}",
        )
    )
