"""The command that runs a front."""

from collections.abc import Callable
import dataclasses
import logging
import os
import signal
import sys
from typing import ClassVar

from cleo import helpers
import gevent
from returns import result

from dotterelgrade import bounded_stream
from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade import logs
from dotterelgrade_front import front as front_lib
from dotterelgrade_front import front_settings
from dotterelgrade_routing import platform_port

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Adapter:
    """How a platform's settings are read and its calls are made.

    Attributes:
        load: Reads the settings, from a path or from where the platform puts
            them; raises `errors.DotterelgradeError`.
        connect: Returns what speaks to the platform.
    """

    load: Callable[[str | None], front_settings.FrontSettings]
    connect: Callable[[front_settings.FrontSettings], platform_port.Platform]


class _FrontCommand(console.OperatorCommand):
    adapter: ClassVar[Adapter]
    options: ClassVar = [
        *console.OperatorCommand.options,
        helpers.option(
            "settings",
            "s",
            "Settings file; by default the one that the platform names.",
            flag=False,
        ),
    ]

    def _load(
        self,
    ) -> result.Result[front_settings.FrontSettings, errors.Error]:
        try:
            return result.Success(self.adapter.load(self.option("settings")))
        except errors.DotterelgradeError as error:
            return result.Failure(error.error)


class CheckCommand(_FrontCommand):
    """Reads the settings and says what is wrong with them."""

    name = "check"
    description = "Check the settings file."

    def perform(self) -> result.Result[console.Report, errors.Error]:
        """Checks the settings."""
        return self._load().map(
            lambda settings: console.Report(
                text=f"settings of {settings.node} are valid",
                data=dataclasses.asdict(settings),
            )
        )


class ServeCommand(_FrontCommand):
    """Runs a front until it is told to stop."""

    name = "serve"
    description = "Run a front until SIGTERM, which stops it gracefully."

    def perform(self) -> result.Result[console.Report, errors.Error]:
        """Serves callers, then finishes what is in flight."""
        return self._load().bind(self._serve)

    def _serve(
        self, settings: front_settings.FrontSettings
    ) -> result.Result[console.Report, errors.Error]:
        stream = bounded_stream.BoundedStream(sys.stdout.fileno())
        logs.configure(process=settings.node, role="front", stream=stream)
        writer = gevent.spawn(stream.run)
        stop = console.stop_requested()
        front = front_lib.Front(
            settings, platform=self.adapter.connect(settings)
        )
        gevent.signal_handler(signal.SIGHUP, self._reload, front)
        try:
            with front.running():
                stop.wait()
                front.drain()
        except OSError as error:
            return result.Failure(
                errors.Error(
                    kind=errors.ErrorKind.SETTINGS_INVALID,
                    message=f"cannot serve: {error}",
                )
            )
        finally:
            writer.kill()
            stream.drain()
        # What is still in flight at the last moment is cut by the exit.
        os._exit(console.EXIT_DONE)

    def _reload(self, front: front_lib.Front) -> None:
        loaded = self._load()
        if isinstance(loaded, result.Failure):
            _LOG.error(
                "reload_failed", extra={"reason": loaded.failure().message}
            )
            return
        front.reload(loaded.unwrap())
        _LOG.info("reloaded")
