"""Ending sequences at an engine, until the engine has confirmed it."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import event
from returns import result

from dotterelgrade_agent import engine_client

_RETRY_S = 0.5


class Cancellations:
    """Sequences whose slot at the engine is not known to be free yet."""

    def __init__(
        self,
        client: engine_client.EngineClient,
        *,
        on_freed: Callable[[], None],
    ) -> None:
        """Initializes an empty set.

        Args:
            client: The engine.
            on_freed: Called when slots became free.
        """
        self._client = client
        self._on_freed = on_freed
        self._names: dict[str, None] = {}
        self._wakeup = event.Event()

    def __len__(self) -> int:
        """How many slots are still taken."""
        return len(self._names)

    def add(self, name: str) -> None:
        """Ends a sequence at the engine.

        Args:
            name: Its identifier at the engine.
        """
        self._names[name] = None
        self._wakeup.set()

    def run(self) -> None:
        """Cancels until killed, trying again while the engine is away."""
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            self._cancel_all()

    def _cancel_all(self) -> None:
        while self._names:
            name = next(iter(self._names))
            answer: result.Result[Any, Any] = self._client.cancel(name)
            del self._names[name]
            if isinstance(answer, result.Failure):
                # To the end, so that one sequence can't hold up the others.
                self._names[name] = None
                gevent.sleep(_RETRY_S)
                continue
            self._on_freed()
