"""The command that runs an entry process."""

import contextlib

from returns import pipeline
from returns import result

from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade import logs
from dotterelgrade import settings_options
from dotterelgrade import stop_signal
from dotterelgrade_entry import entry as entry_lib
from dotterelgrade_entry import entry_settings


class ServeCommand(settings_options.ServingCommand):
    """Runs an entry until it is told to stop."""

    name = "serve"
    description = "Run an entry until SIGTERM, which stops it gracefully."

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Serves callers, then finishes what is in flight."""
        loaded = self.load_settings(entry_settings.EntrySettings)
        if not pipeline.is_successful(loaded):
            return result.Failure(loaded.failure())
        return _serve(loaded.unwrap())


def _serve(
    settings: entry_settings.EntrySettings,
) -> result.Result[console.CommandResult, errors.Error]:
    logs.configure(process=settings.process.host, role="entry")
    stop = stop_signal.stop_requested()
    with contextlib.ExitStack() as stack:
        try:
            entry = stack.enter_context(entry_lib.running(settings))
        except (OSError, ValueError) as error:
            return _refuse(f"cannot serve: {error}")
        stop.wait()
        entry.drain()
    return result.Success(
        console.CommandResult(text="stopped", data={"stopped": True})
    )


def _refuse(message: str) -> result.Result[console.CommandResult, errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.SETTINGS_INVALID, message=message)
    )
