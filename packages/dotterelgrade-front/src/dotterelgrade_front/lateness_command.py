"""The command that prints why streams were late."""

import dataclasses
from typing import ClassVar

from cleo import helpers
from returns import result

from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade_front import lateness
from dotterelgrade_front import log_file


class LatenessCommand(console.OperatorCommand):
    """Prints the causes of late streams with their shares."""

    name = "lateness"
    description = "Print why streams were late, from a log."
    arguments: ClassVar = [
        helpers.argument(
            "log", "Log file; standard input without it.", optional=True
        ),
    ]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Classifies the late streams in the log."""
        try:
            with log_file.open_log(self.argument("log")) as lines:
                rows = lateness.summary(lines)
        except OSError as error:
            return log_file.unreadable_log(error)
        text = (
            "\n".join(_format_row(row) for row in rows) or "no stream was late"
        )
        causes = [
            {**dataclasses.asdict(row), "cause": row.cause.value}
            for row in rows
        ]
        return result.Success(
            console.CommandResult(text=text, data={"causes": causes})
        )


def _format_row(row: lateness.Row) -> str:
    return (
        f"{row.streams:6}  {row.share:6.1%}  {row.cause.value}, usually by"
        f" {row.usual_excess_s:.2f} s"
    )
