"""Stand-in for the platform's balancer in front of the entries."""

from collections.abc import Iterator, Sequence
import contextlib
import itertools

import gevent

from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import fleet_plan

_POLL_S = 0.25
_POLL_TIMEOUT_S = 1.0


class Balancer:
    """Spreads calls over the entries whose `/readyz` answers."""

    def __init__(self, hosts: Sequence[str]) -> None:
        """Initializes a balancer that takes every entry for ready.

        Args:
            hosts: IP numbers of the entries.
        """
        self._hosts = tuple(hosts)
        self._ready = set(hosts)
        self._turn = itertools.count()

    def __repr__(self) -> str:
        """Shows the entries that are ready."""
        return f"<Balancer {sorted(self._ready)}>"

    def pick(self, *, besides: str = "") -> str:
        """Returns the next ready entry, or any one when none is.

        Args:
            besides: An entry to leave out while there is another one.
        """
        ready = [host for host in self._hosts if host in self._ready]
        others = [host for host in ready if host != besides]
        candidates = others or ready or list(self._hosts)
        return candidates[next(self._turn) % len(candidates)]

    @contextlib.contextmanager
    def polling(self) -> Iterator[None]:
        """Watches the entries while the context is open."""
        polls = [gevent.spawn(self._poll, host) for host in self._hosts]
        try:
            yield
        finally:
            gevent.killall(polls)

    def _poll(self, host: str) -> None:
        while True:
            value = caller_lib.get_json(
                host,
                fleet_plan.ADMIN_PORT,
                "/readyz",
                timeout_s=_POLL_TIMEOUT_S,
            )
            if value and value["ready"]:
                self._ready.add(host)
            else:
                self._ready.discard(host)
            gevent.sleep(_POLL_S)
