"""The commands that run a front and check its settings."""

import dataclasses
from typing import ClassVar

from cleo import helpers
from returns import result

from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade_front import front_process


class _FrontCommand(console.OperatorCommand):
    adapter: ClassVar[front_process.PlatformAdapter]
    options: ClassVar = [
        *console.OperatorCommand.options,
        helpers.option(
            "settings",
            "s",
            "Settings file; by default the one that the platform names.",
            flag=False,
        ),
    ]

    def _process(self) -> front_process.FrontProcess:
        path = self.option("settings")
        return front_process.FrontProcess(self.adapter, path=path)


class CheckCommand(_FrontCommand):
    """Validates the settings file."""

    name = "check"
    description = "Check the settings file."

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Checks the settings."""
        return (
            self._process()
            .load()
            .map(
                lambda settings: console.CommandResult(
                    text=f"settings of {settings.node} are valid",
                    data=dataclasses.asdict(settings),
                )
            )
        )


class ServeCommand(_FrontCommand):
    """Runs a front until it is told to stop."""

    name = "serve"
    description = "Run a front until SIGTERM, which stops it gracefully."

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Serves clients until a stop signal, then drains."""
        return result.Failure(self._process().run())
