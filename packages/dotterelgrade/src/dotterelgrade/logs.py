"""Logging as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger import json as json_formatter


def configure(*, process: str, role: str, level: int = logging.INFO) -> None:
    """Sends every log record to standard error as one JSON line.

    Args:
        process: Identifier of the incarnation, put into every line.
        role: Role of the process, put into every line.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
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
