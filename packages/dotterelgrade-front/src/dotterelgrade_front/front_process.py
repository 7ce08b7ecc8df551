"""Process of a front: settings, log and signals.

Imports no command line: every imported module delays the restart of a front
that was killed.
"""

from collections.abc import Callable
import dataclasses
import logging
import os
import signal
import sys

import gevent
from returns import result

from dotterelgrade import bounded_stream
from dotterelgrade import errors
from dotterelgrade import exit_codes
from dotterelgrade import logs
from dotterelgrade import stop_signal
from dotterelgrade_front import front as front_lib
from dotterelgrade_front import front_settings
from dotterelgrade_routing import platform_port

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformAdapter:
    """Functions that connect a front to one platform.

    Attributes:
        load: Reads the settings from a path, or from the platform's default
            path for None; raises `errors.DotterelgradeError`.
        connect: Creates the clients of the platform.
    """

    load: Callable[[str | None], front_settings.FrontSettings]
    connect: Callable[[front_settings.FrontSettings], platform_port.Platform]


class FrontProcess:
    """Runs one front until it is told to stop."""

    def __init__(
        self, adapter: PlatformAdapter, *, path: str | None = None
    ) -> None:
        """Initializes a process that isn't serving yet.

        Args:
            adapter: The platform.
            path: The settings file; by default the one the platform names.
        """
        self._adapter = adapter
        self._path = path

    def __repr__(self) -> str:
        """Shows the settings file."""
        return f"<FrontProcess {self._path or 'default settings file'}>"

    def main(self) -> int:
        """Runs the process; returns its exit code if it can't serve."""
        error = self.run()
        print(f"{error.kind}: {error.message}", file=sys.stderr)
        return exit_codes.EXIT_FAILURE

    def run(self) -> errors.Error:
        """Serves clients until a stop signal, drains and exits the process.

        Returns:
            The error, if the front can't serve.
        """
        loaded = self.load()
        if isinstance(loaded, result.Failure):
            return loaded.failure()
        return self._serve(loaded.unwrap())

    def load(self) -> result.Result[front_settings.FrontSettings, errors.Error]:
        """Reads the settings, or returns the error in them."""
        try:
            return result.Success(self._adapter.load(self._path))
        except errors.DotterelgradeError as error:
            return result.Failure(error.error)

    def _serve(self, settings: front_settings.FrontSettings) -> errors.Error:
        stream = bounded_stream.BoundedStream(sys.stdout.fileno())
        logs.configure(process=settings.node, role="front", stream=stream)
        writer = gevent.spawn(stream.run)
        stop = stop_signal.stop_requested()
        front = front_lib.Front(
            settings, platform=self._adapter.connect(settings)
        )
        gevent.signal_handler(signal.SIGHUP, self._reload, front)
        # Held back until now, since it would have ended the process.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        try:
            with front.running():
                stop.wait()
                front.drain()
        except OSError as error:
            return errors.Error(
                kind=errors.ErrorKind.SETTINGS_INVALID,
                message=f"cannot serve: {error}",
            )
        finally:
            writer.kill()
            stream.write_pending()
        # Aborts requests that are still in flight after the drain.
        os._exit(exit_codes.EXIT_SUCCESS)

    def _reload(self, front: front_lib.Front) -> None:
        loaded = self.load()
        if isinstance(loaded, result.Failure):
            _LOG.error(
                "reload_failed", extra={"reason": loaded.failure().message}
            )
            return
        front.reload(loaded.unwrap())
        _LOG.info("reloaded")
