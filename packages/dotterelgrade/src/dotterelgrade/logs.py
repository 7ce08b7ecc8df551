"""Configures logging as JSON lines."""

import logging
import sys
from typing import Protocol

from pythonjsonlogger import json as json_formatter


class Stream(Protocol):
    """Output stream for log lines."""

    def write(self, text: str) -> int:
        """Writes one line."""

    def flush(self) -> None:
        """Flushes buffered lines."""


def configure(
    *,
    process: str,
    role: str,
    level: int = logging.INFO,
    stream: Stream | None = None,
) -> None:
    """Sends every log record to a stream as one JSON line.

    Args:
        process: Process identifier, new at each start, added to every line.
        role: Role of the process, added to every line.
        level: Minimum level that is logged.
        stream: Output stream; standard error by default.
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
