"""Logging as JSON lines."""

import logging
import sys
from typing import Protocol

from pythonjsonlogger import json as json_formatter


class Stream(Protocol):
    """Where log lines go."""

    def write(self, text: str) -> int:
        """Takes one line."""

    def flush(self) -> None:
        """Passes on what was taken."""


def configure(
    *,
    process: str,
    role: str,
    level: int = logging.INFO,
    stream: Stream | None = None,
) -> None:
    """Sends every log record to a stream as one JSON line.

    Args:
        process: Identifier of the incarnation, put into every line.
        role: Role of the process, put into every line.
        level: Lowest level that is written.
        stream: Where the lines go; by default standard error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_formatter.JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "name": "logger",
                "message": "event",
            },
            static_fields={"process": process, "role": role},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
