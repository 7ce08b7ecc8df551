"""The subcommand that runs one process of a deployment."""

from collections.abc import Iterator
import contextlib
import logging
import os
import pathlib
import signal
import sys
from typing import Any, ClassVar

from cleo import helpers
from cleo.commands import command as command_lib
import gevent
from gevent import event
from returns import result

from dotterelgrade import logs
from dotterelgrade_standins import commands
from dotterelgrade_standins import deployment as deployment_lib
from dotterelgrade_standins import shaper as shaper_lib

_LOG = logging.getLogger(__name__)

READY_LINE = "ready"
_PARENT_POLL_S = 0.5


class _Runner:
    """Runs the parts of a process until it is told to stop."""

    def __init__(self, directory: pathlib.Path, name: str) -> None:
        self._directory = directory
        self._name = name
        self._links = shaper_lib.Links()
        self._stop = event.Event()

    def run(self) -> None:
        plan = deployment_lib.read_process(self._directory, self._name).unwrap()
        self._read_links()
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGINT, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._read_links)
        gevent.spawn(self._follow_parent, os.getppid())
        with contextlib.ExitStack() as stack:
            running = [
                stack.enter_context(part.running(self._links))
                for part in plan.parts
            ]
            sys.stdout.write(READY_LINE + "\n")
            sys.stdout.flush()
            self._stop.wait()
            gevent.joinall([gevent.spawn(_drain, item) for item in running])

    def _read_links(self) -> None:
        outcome = deployment_lib.read_links(self._directory)
        if isinstance(outcome, result.Success):
            self._links.replace(outcome.unwrap())
        else:
            _LOG.error("links not read", extra={"reason": outcome.failure()})

    def _follow_parent(self, parent: int) -> None:
        # A process must not outlive the launcher that was killed.
        while os.getppid() == parent:
            gevent.sleep(_PARENT_POLL_S)
        os._exit(1)


def _drain(running: Any) -> None:
    drain = getattr(running, "drain", None)
    if drain is not None:
        drain()


@contextlib.contextmanager
def _reporting() -> Iterator[None]:
    try:
        yield
    except Exception:
        _LOG.exception("process failed")
        raise


@commands.register
class ProcessCommand(command_lib.Command):
    """Runs one process of a deployment directory."""

    name = "process"
    description = "run one process of a deployment directory"
    arguments: ClassVar = [
        helpers.argument("process", "name of the process in the deployment")
    ]
    options: ClassVar = [
        helpers.option(
            "settings",
            None,
            "directory that holds deployment.json and links.json",
            flag=False,
            default=".",
        )
    ]

    def handle(self) -> int:
        """Runs until SIGTERM, then stops gracefully."""
        name = self.argument("process")
        directory = pathlib.Path(self.option("settings"))
        logs.configure(process=name, role="stand-in")
        plan = deployment_lib.read_process(directory, name)
        if not isinstance(plan, result.Success):
            self.line_error(plan.failure().message)
            return 1
        with _reporting():
            _Runner(directory, name).run()
        return 0
