"""Engines of which each ends when it begins to answer a certain prompt."""

import dataclasses
import time

import front_fakes as fakes
import gevent

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range

BAD = "bad0bad0"
SHARED = "5ac5ac5a"
ENGINES = 12
# The rule of the users: so many arrivals are borne after the fifth crash.
MOST_AFTER_THE_FIFTH = 3
_CRASHES = 5
_LAST_EVENT = 12
_PREFILL_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """How an engine ends under a bad request.

    Attributes:
        after_head: Whether it has sent the head of its response.
        events: Events that it has sent before.
        delimited: Whether its responses are in chunks; otherwise they end with
            their connection.
    """

    after_head: bool = False
    events: int = 0
    delimited: bool = True

    def __str__(self):
        """Names the test case."""
        framing = "" if self.delimited else "-unframed"
        head = "after" if self.after_head or self.events else "before"
        return f"{head}-its-head-{self.events}-events{framing}"


class CrashingEngines:
    """Engines that crash under a segment, and are back under a new ID."""

    def __init__(self, publish, withdraw, *, crash=None, down_s=0.0):
        """Starts the engines.

        Args:
            publish: Called with each new list entry.
            withdraw: Called with the ID of each incarnation that has ended.
            crash: How they end.
            down_s: Time until the next incarnation is listed, s.
        """
        self._publish = publish
        self._withdraw = withdraw
        self._crash = crash or Crash()
        self._down_s = down_s
        self._incarnations = [0] * ENGINES
        self.crashed_at = []
        self.bad_arrivals = []
        self.served = 0
        self._open = {}
        self.backends = [
            fakes.Backend(self._script(number)) for number in range(ENGINES)
        ]
        for number in range(ENGINES):
            self._list(number)

    def stop(self):
        for backend in self.backends:
            backend.stop()

    @property
    def crashes(self):
        return len(self.crashed_at)

    def arrivals_after_the_fifth(self, *, later_s=0.0):
        """Counts bad requests that came so long after the fifth crash."""
        if self.crashes < _CRASHES:
            return 0
        since = self.crashed_at[_CRASHES - 1] + later_s
        return sum(at > since for at in self.bad_arrivals)

    def crash_all(self):
        """Ends all engines at once, with no request at fault."""
        for sock, arrival in list(self._open.items()):
            fakes.resetting(sock, arrival)
            sock.close()
        for number in range(ENGINES):
            self._restart(number)

    def _id(self, number):
        return f"i-{number}.{self._incarnations[number]}"

    def _list(self, number):
        self._publish(
            backend_server.BackendServer(
                id=self._id(number),
                service="model",
                address=self.backends[number].address,
                availability=backend_server.Availability.READY,
                slots=64,
                accelerator="kind",
                layers=layer_range.LayerRange(0, 8),
                failure_domain="abc"[number % 3],
                started_ms=1 + self._incarnations[number],
            )
        )

    def _restart(self, number):
        self._withdraw(self._id(number))
        self._incarnations[number] += 1
        if self._down_s:
            gevent.spawn_later(self._down_s, self._list, number)
        else:
            self._list(number)

    def _script(self, number):
        def script(sock, arrival):
            self._open[sock] = arrival
            try:
                answer(sock, arrival)
            except OSError:
                # It crashed meanwhile.
                pass
            finally:
                del self._open[sock]

        def answer(sock, arrival):
            bad = BAD in arrival.headers.get(b"segments", b"").decode()
            if bad:
                self.bad_arrivals.append(time.monotonic())
            gevent.sleep(_PREFILL_S)
            if self._crash.after_head or self._crash.events or not bad:
                self._send_head(sock, arrival)
            first = int(arrival.headers[b"after"] or 0) + 1
            last = first - 1 + self._crash.events if bad else _LAST_EVENT
            for event in range(first, last + 1):
                self._send(sock, fakes.event_bytes(event))
            if bad:
                # What was sent before is read before the reset.
                gevent.sleep(0.01)
                self.crashed_at.append(time.monotonic())
                self._restart(number)
                fakes.resetting(sock, arrival)
                return
            if self._crash.delimited:
                sock.sendall(b"0\r\n\r\n")
            self.served += 1

        return script

    def _send_head(self, sock, arrival):
        head = (
            b"HTTP/1.1 200 OK\r\nseal: 1\r\ncontent-type: text/event-stream\r\n"
            b"request-id: " + arrival.headers[b"request-id"] + b"\r\n"
        )
        if self._crash.delimited:
            head += b"transfer-encoding: chunked\r\n"
        sock.sendall(head + b"\r\n")

    def _send(self, sock, data):
        if self._crash.delimited:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        sock.sendall(data)


def bad_segments(number):
    """Returns the segments of a bad request; no two are alike."""
    return f"{SHARED},{BAD},{number:08x}"


def sound_segments(number):
    """Returns the segments of a sound request with the same first one."""
    return f"{SHARED},0dd0,{number:08x}"
