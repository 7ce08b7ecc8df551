"""Starts, stops, kills and pauses the processes of a deployment."""

from collections.abc import Iterator
import contextlib
import pathlib
import signal
import sys
import time

import gevent
from gevent import subprocess

from dotterelgrade_standins import deployment as deployment_lib
from dotterelgrade_standins import process as process_lib
from dotterelgrade_standins import shaper as shaper_lib

_START_TIMEOUT_S = 30.0
_MODULE = "dotterelgrade_standins"


class StartError(Exception):
    """A process did not become ready."""


class Launcher:
    """The running processes of one deployment."""

    def __init__(
        self, deployment: deployment_lib.Deployment, directory: pathlib.Path
    ) -> None:
        """Initializes a launcher that has started nothing.

        Args:
            deployment: What to run.
            directory: Where settings and logs of the processes are kept.
        """
        self._deployment = deployment
        self._directory = directory
        self._running: dict[str, subprocess.Popen] = {}
        self._links = deployment.links
        deployment_lib.write(deployment, directory)

    def __repr__(self) -> str:
        """Shows how many processes run."""
        return f"<Launcher {len(self._running)} processes>"

    @property
    def deployment(self) -> deployment_lib.Deployment:
        """What is run."""
        return self._deployment

    @property
    def directory(self) -> pathlib.Path:
        """Where settings and logs of the processes are kept."""
        return self._directory

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the running processes."""
        return tuple(self._running)

    def pid(self, name: str) -> int:
        """Returns the process identifier of a running process."""
        return self._running[name].pid

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the file that holds a process's standard error."""
        return self._directory / f"{name}.log"

    def start(self, name: str) -> None:
        """Starts a process and waits until it is ready.

        Raises:
            StartError: It ended or was silent for too long.
        """
        with self.log_path(name).open("ab") as log:
            child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    _MODULE,
                    "process",
                    name,
                    "--settings",
                    str(self._directory),
                ],
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._running[name] = child
        line = b""
        with gevent.Timeout(_START_TIMEOUT_S, False):
            line = child.stdout.readline()
        if line.decode().strip() != process_lib.READY_LINE:
            tail = self.log_path(name).read_text()[-500:]
            self.kill(name)
            raise StartError(f"{name} is not ready: {tail}")

    def start_all(self) -> None:
        """Starts every process, several at once."""
        names = [plan.name for plan in self._deployment.processes]
        starts = [gevent.spawn(self.start, name) for name in names]
        try:
            gevent.joinall(starts, raise_error=True)
        finally:
            gevent.killall(starts)

    def kill(self, name: str) -> None:
        """Ends a process at once, as a crash does."""
        child = self._running.pop(name)
        child.send_signal(signal.SIGKILL)
        child.wait()

    def pause(self, name: str) -> None:
        """Stops a process from running until `resume`."""
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a paused process run on."""
        self._running[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Asks a process to stop gracefully, without waiting for it."""
        self._running[name].send_signal(signal.SIGTERM)

    def wait(self, name: str, *, timeout_s: float) -> int | None:
        """Waits for a process to end.

        Returns:
            Its exit code, or None when it still runs.
        """
        try:
            code = self._running[name].wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            return None
        del self._running[name]
        return code

    def set_link(self, link: shaper_lib.LinkSettings) -> None:
        """Puts a link before all others, in every process."""
        others = [old for old in self._links if old.between != link.between]
        self._links = (link, *others)
        deployment_lib.write_links(self._links, self._directory)
        for child in list(self._running.values()):
            child.send_signal(signal.SIGHUP)

    def change(self, deployment: deployment_lib.Deployment) -> None:
        """Replaces the settings of processes that are started from now on."""
        self._deployment = deployment
        deployment_lib.write(deployment, self._directory)

    def stop_all(self) -> None:
        """Ends every process at once."""
        for child in list(self._running.values()):
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGKILL)
        for child in list(self._running.values()):
            child.wait()
        self._running.clear()


@contextlib.contextmanager
def launched(
    deployment: deployment_lib.Deployment, directory: pathlib.Path
) -> Iterator[Launcher]:
    """Runs a deployment while the context is open.

    Args:
        deployment: What to run.
        directory: Where settings and logs of the processes are kept.

    Yields:
        The launcher, with every process ready.
    """
    launcher = Launcher(deployment, directory)
    try:
        launcher.start_all()
        yield launcher
    finally:
        launcher.stop_all()


def wait_until(
    condition: object, *, timeout_s: float, pause_s: float = 0.05
) -> bool:
    """Waits for a condition.

    Args:
        condition: Called without arguments until it is true.
        timeout_s: Longest wait, s.
        pause_s: Pause between two calls, s.

    Returns:
        Whether it became true in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        gevent.sleep(pause_s)
    return True
