"""What an agent knows of its engine, from its status and its failures."""

from collections.abc import Callable
import dataclasses

from gevent import event
from returns import result

from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import engine_client

_STATUS_TIMEOUT_S = 1.0
_RECOVERY_POLL_S = 0.2


class EngineWatch:
    """Polls the status; an engine is usable only after a good answer."""

    def __init__(
        self,
        settings: agent_settings.BackendSettings,
        *,
        on_change: Callable[[], None],
    ) -> None:
        """Initializes a watch over an engine that nothing is known of.

        Args:
            settings: The backend server.
            on_change: Called when what is held or usable has changed.
        """
        # A frozen engine must not hold up the look at it for a whole batch's
        # time limit, so the watch has connections of its own.
        self._client = engine_client.EngineClient(
            dataclasses.replace(
                settings, timeout_s=min(settings.timeout_s, _STATUS_TIMEOUT_S)
            )
        )
        self._poll_s = settings.status_poll_s
        self._on_change = on_change
        self._status: engine_client.EngineStatus | None = None
        self._reason = "no status yet"
        self._poll_now = event.Event()

    def __repr__(self) -> str:
        """Shows what the engine holds and whether it is usable."""
        return f"<EngineWatch {self._status} {self._reason or 'usable'}>"

    @property
    def status(self) -> engine_client.EngineStatus | None:
        """The last status, or None before the first one."""
        return self._status

    @property
    def is_usable(self) -> bool:
        """Whether the engine answers and holds a model."""
        status = self._status
        return (
            not self._reason
            and status is not None
            and bool(status.model)
            and not status.loading
        )

    @property
    def is_healthy(self) -> bool:
        """Whether the engine answers, with or without a model."""
        return not self._reason

    @property
    def reason(self) -> str:
        """Why the engine is not usable, or empty."""
        if self._reason or self._status is None:
            return self._reason
        if self._status.loading:
            return "a load goes on"
        return "" if self._status.model else "it holds no model"

    def suspect(self, reason: str) -> None:
        """Stops the use of the engine until its status is good again.

        Args:
            reason: What went wrong.
        """
        was_usable = self.is_usable
        self._reason = reason
        self._poll_now.set()
        if was_usable:
            self._on_change()

    def look(self) -> None:
        """Asks for the status soon, as after an order."""
        self._poll_now.set()

    def run(self, *, on_recovered: Callable[[], None]) -> None:
        """Polls until killed.

        Args:
            on_recovered: Called when the engine answers for the first time or
                again, before it is used.
        """
        while True:
            self._poll(on_recovered)
            wait_s = self._poll_s if self.is_usable else _RECOVERY_POLL_S
            self._poll_now.wait(wait_s)
            self._poll_now.clear()

    def _poll(self, on_recovered: Callable[[], None]) -> None:
        answer = self._client.status()
        if isinstance(answer, result.Failure):
            self.suspect(answer.failure().message)
            self._poll_now.clear()
            return
        before = (self.is_usable, self._held())
        if self._reason:
            on_recovered()
        self._status = answer.unwrap()
        self._reason = ""
        if before != (self.is_usable, self._held()):
            self._on_change()

    def _held(self) -> tuple[str, str, int, int] | None:
        status = self._status
        if status is None:
            return None
        return (
            status.model,
            status.version,
            status.first_layer,
            status.last_layer,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()
