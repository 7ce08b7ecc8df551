"""A plain service: which calls it runs and whether it answers."""

from typing import Any

import gevent
import gevent.pool
from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade import supervision
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import backend
from dotterelgrade_agent import service_client

_PROBE_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0


@backend.kind(agent_settings.BackendKind.SERVICE)
class ServiceBackend:
    """A plain service with a bound on its calls in flight."""

    def __init__(
        self,
        settings: agent_settings.BackendSettings,
        observers: backend.Observers,
    ) -> None:
        """Initializes the backend server without touching the service.

        Args:
            settings: The backend server.
            observers: Who hears what happens.
        """
        self._settings = settings
        self._observers = observers
        self._client = service_client.ServiceClient(settings)
        self._in_flight = 0
        self._healthy = False
        self._greenlets = gevent.pool.Group()

    def __repr__(self) -> str:
        """Shows the name and the calls in flight."""
        return f"<ServiceBackend {self._settings.name} {self._in_flight} calls>"

    @property
    def settings(self) -> agent_settings.BackendSettings:
        """The settings of the backend server."""
        return self._settings

    @property
    def in_flight(self) -> int:
        """Calls that are not finished."""
        return self._in_flight

    @property
    def report(self) -> messages.BackendReport:
        """The load at this moment."""
        settings = self._settings
        free = max(settings.max_calls - self._in_flight, 0)
        return messages.BackendReport(
            backend=settings.name,
            kind=settings.kind,
            service=settings.service,
            accelerator=settings.accelerator,
            sequences=self._in_flight,
            slots_free=free if self._healthy else 0,
            healthy=self._healthy,
        )

    def start(self) -> None:
        """Begins to look at the service."""
        self._greenlets.spawn(
            supervision.keep_running,
            self._probe_loop,
            journal=self._observers.journal,
        )

    def stop(self) -> None:
        """Ends the greenlets."""
        self._greenlets.kill()

    def _probe_loop(self) -> None:
        while True:
            healthy = self._client.answers(timeout_s=_PROBE_TIMEOUT_S)
            if healthy != self._healthy:
                self._healthy = healthy
                self._observers.listener.changed()
            gevent.sleep(self._settings.status_poll_s)

    def check(self, call: messages.Call) -> errors.Error | None:
        """Returns why a call is refused before anything of it runs."""
        if call.service != self._settings.service:
            return _refusal(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f"{self._settings.name} is not a {call.service!r} service",
            )
        if self._in_flight >= self._settings.max_calls:
            return _refusal(
                errors.ErrorKind.NO_CAPACITY,
                f"{self._settings.name} runs {self._in_flight} calls",
            )
        return None

    def run(
        self, call: messages.Call, *, limit_s: float
    ) -> result.Result[service_client.Reply, errors.Error]:
        """Sends a call once; see `ServiceClient.call`."""
        self._in_flight += 1
        try:
            return self._client.call(call, limit_s=limit_s)
        finally:
            self._in_flight -= 1

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "settings": self._settings.name,
            "service": self._settings.service,
            "in_flight": self._in_flight,
            "healthy": self._healthy,
        }


def _refusal(kind: errors.ErrorKind, message: str) -> errors.Error:
    return errors.Error(
        kind=kind,
        message=message,
        retry_after_s=_RETRY_AFTER_S,
        run=errors.RunState.NOT_RUN,
    )
