"""The hosts as the platform's lagging list shows them."""

from collections.abc import Callable, Iterable
import math
import random
import time
from typing import Protocol

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import host_list
from dotterelgrade import settings as settings_lib

_GRACE_INTERVALS = 2
_MAX_NEW_HOSTS = 10_000


class HostSource(Protocol):
    """Where the list comes from."""

    def read(
        self,
    ) -> result.Result[tuple[host_list.HostEntry, ...], errors.Error]:
        """Returns the listed hosts."""


class HostView:
    """The latest list; while it can't be read, the last one stays valid."""

    def __init__(
        self,
        source: HostSource,
        *,
        poll_s: float,
        grace_s: float,
        on_change: Callable[[], None],
    ) -> None:
        """Initializes a view that has read nothing.

        Args:
            source: Where the list comes from.
            poll_s: Shortest interval between two looks, s.
            grace_s: Shortest time that a new host has to show, s.
            on_change: Called after each change of the list.
        """
        self._source = source
        self._poll_s = poll_s
        self._grace_s = grace_s
        self._on_change = on_change
        self._entries: tuple[host_list.HostEntry, ...] = ()
        self._is_known = False
        self._first_asked: dict[str, float] = {}

    def __repr__(self) -> str:
        """Shows the number of hosts."""
        return f"<HostView {len(self._entries)} entries>"

    @property
    def is_known(self) -> bool:
        """Whether the list was ever read."""
        return self._is_known

    @property
    def entries(self) -> tuple[host_list.HostEntry, ...]:
        """The latest list."""
        return self._entries

    @property
    def interval_s(self) -> float:
        """Interval between two looks at a list of this length, s."""
        return host_list.poll_interval_s(
            len(self._entries), min_interval_s=self._poll_s
        )

    def is_leaving(self, process: settings_lib.ProcessSettings) -> bool:
        """Whether the list says that a process's host leaves."""
        return any(
            entry.is_leaving
            for entry in self._entries
            if (entry.host, entry.peer_port)
            == (process.host, process.peer_port)
        )

    def live(self, hosts: Iterable[str]) -> set[str]:
        """Returns those of the hosts that count as live.

        A host that is not listed counts for a grace period from the moment
        when it was first asked for, since the list lags behind new hosts.

        Args:
            hosts: IP numbers.
        """
        listed = {entry.host for entry in self._entries}
        leaving = {entry.host for entry in self._entries if entry.is_leaving}
        now = time.monotonic()
        # A list that is read rarely shows a new host late.
        grace_s = max(self._grace_s, _GRACE_INTERVALS * self.interval_s)
        live = set()
        for host in hosts:
            if host in listed:
                # Once listed, it has used its grace up: gone means gone.
                self._note_asked(host, -math.inf)
                if host not in leaving:
                    live.add(host)
            elif now - self._note_asked(host, now) < grace_s:
                live.add(host)
        return live

    def _note_asked(self, host: str, at: float) -> float:
        first = min(self._first_asked.pop(host, at), at)
        self._first_asked[host] = first
        if len(self._first_asked) > _MAX_NEW_HOSTS:
            del self._first_asked[next(iter(self._first_asked))]
        return first

    def run(self) -> None:
        """Looks at the list until killed."""
        while True:
            self.look()
            gevent.sleep(self.interval_s * random.uniform(0.9, 1.0))

    def look(self) -> None:
        """Reads the list once."""
        answer = self._source.read()
        if isinstance(answer, result.Failure):
            return
        self._is_known = True
        if answer.unwrap() != self._entries:
            self._entries = answer.unwrap()
            self._on_change()
