"""Time that passes only when a test says so.

Modules that read `time`, wait with a time limit on gevent's events or sleep get
stand-ins of those names, so that a run takes the same course each time.
"""

from collections.abc import Iterable, Iterator
import contextlib
import heapq
import itertools
import types
from typing import Any
from unittest import mock

import gevent
from gevent import event as gevent_event

_START_S = 1_700_000_000.0
_TURNS = 6


class Clock:
    """A clock with its timers."""

    def __init__(self) -> None:
        """Initializes a clock without timers."""
        self._now = _START_S
        self._order = itertools.count()
        self._timers: list[tuple[float, int, gevent.Greenlet]] = []
        self._live: set[int] = set()

    def __repr__(self) -> str:
        """Shows the time and the number of timers."""
        return f"<Clock {self._now} s, {len(self._live)} timers>"

    @property
    def now(self) -> float:
        """The time, s."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Lets time pass; greenlets whose time limit is over wake up.

        Args:
            seconds: How much time passes, s.
        """
        self._now += seconds
        while self._timers and self._timers[0][0] <= self._now:
            _, number, waiting = heapq.heappop(self._timers)
            loop = gevent.get_hub().loop
            loop.run_callback(self._expire, number, waiting)
        settle()

    def _expire(self, number: int, waiting: gevent.Greenlet) -> None:
        if number in self._live:
            self._live.discard(number)
            waiting.throw(_Expired(number))

    @contextlib.contextmanager
    def limit(self, seconds: float) -> Iterator[int]:
        """Raises `gevent.Timeout` in the body when the time is over.

        Args:
            seconds: Time limit, s.

        Yields:
            The number of the timer.
        """
        number = next(self._order)
        self._live.add(number)
        timer = (self._now + seconds, number, gevent.getcurrent())
        heapq.heappush(self._timers, timer)
        try:
            yield number
        finally:
            self._live.discard(number)

    def sleep(self, seconds: float = 0) -> None:
        """Stands in for `gevent.sleep`."""
        _Event(self).wait(seconds)

    def patching(
        self, modules: Iterable[types.ModuleType]
    ) -> contextlib.AbstractContextManager[Any]:
        """Returns a context in which the modules live by this clock.

        Args:
            modules: Modules that use `time`, `event` or `gevent.sleep`.
        """
        stack = contextlib.ExitStack()
        for module in modules:
            for name, value in self._names().items():
                if hasattr(module, name):
                    stack.enter_context(mock.patch.object(module, name, value))
        return stack

    def _names(self) -> dict[str, Any]:
        return {
            "time": types.SimpleNamespace(
                time=lambda: self._now, monotonic=lambda: self._now
            ),
            "event": types.SimpleNamespace(
                AsyncResult=lambda: _AsyncResult(self),
                Event=lambda: _Event(self),
            ),
            "gevent": _Gevent(self),
        }


class _Expired(gevent.Timeout):
    """The time limit of one timer is over."""

    def __init__(self, number: int) -> None:
        super().__init__(None)
        self.number = number


class _Gevent:
    """The module `gevent` but for its sleep."""

    def __init__(self, clock: Clock) -> None:
        self.sleep = clock.sleep

    def __getattr__(self, name: str) -> Any:
        return getattr(gevent, name)


class _AsyncResult(gevent_event.AsyncResult):
    """An `AsyncResult` whose time limits follow the clock."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def get(self, block: bool = True, timeout: float | None = None) -> Any:
        if timeout is None or self.ready():
            return super().get(block=block)
        with self._clock.limit(timeout):
            return super().get(block=block)

    def wait(self, timeout: float | None = None) -> Any:
        if timeout is None or self.ready():
            return super().wait()
        return _wait(self._clock, timeout, super().wait)


class _Event(gevent_event.Event):
    """An `Event` whose time limits follow the clock."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def wait(self, timeout: float | None = None) -> Any:
        if timeout is None or self.is_set():
            return super().wait()
        return _wait(self._clock, timeout, super().wait)


def _wait(clock: Clock, seconds: float, wait: Any) -> Any:
    with clock.limit(seconds) as number:
        try:
            return wait()
        except _Expired as expired:
            if expired.number != number:
                raise
            return None


def settle() -> None:
    """Lets every greenlet run that can."""
    for _ in range(_TURNS):
        gevent.sleep(0)
