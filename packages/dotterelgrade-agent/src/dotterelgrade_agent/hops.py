"""Connections to the agents that run the next stages."""

from collections.abc import Callable
import dataclasses
import logging
import time
from typing import Any

import gevent
from gevent import event
import gevent.pool

from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import messages
from dotterelgrade import wire

_LOG = logging.getLogger(__name__)

MAX_QUEUED_STEPS = 10_000
PING_INTERVAL_S = 0.5
IDLE_PING_INTERVAL_S = 5.0
SILENCE_LIMIT_S = 1.5
IDLE_CLOSE_S = 60.0
_SMOOTHING = 0.2
_MS_PER_S = 1000

Address = tuple[str, int]
FailedCallback = Callable[[Address, str], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HopsOptions:
    """How hops reach other agents.

    Attributes:
        identity: What this process says about itself.
        shaper: Emulated links, or None.
    """

    identity: handshake.ProcessIdentity
    shaper: wire.Shaper | None = None


class Hop:
    """The link to one next agent: dialed when first used, closed when idle.

    One greenlet dials and writes; steps of one turn of the event loop leave in
    one frame. A failure loses what was sent, so it is reported, not retried.
    """

    def __init__(
        self,
        address: Address,
        *,
        options: HopsOptions,
        on_failed: FailedCallback,
    ) -> None:
        """Initializes a link that is not dialed yet.

        Args:
            address: Host and port of the next agent.
            options: How to reach it.
            on_failed: Called with the address and the reason.
        """
        self._address = address
        self._options = options
        self._on_failed = on_failed
        self._queue: list[messages.Step] = []
        self._wakeup = event.Event()
        self._connection: wire.Connection | None = None
        self._last_used = time.monotonic()
        self._pinged_at = 0.0
        self._awaits_pong = False
        self._ping_number = 0
        self._rtt_ms: float | None = None
        self._failure = ""

    def __repr__(self) -> str:
        """Shows the address and the round-trip time."""
        return f"<Hop {self._address} rtt={self._rtt_ms} ms>"

    @property
    def rtt_ms(self) -> float | None:
        """Smoothed round-trip time, ms, or None before the first answer."""
        return self._rtt_ms

    def send(self, step: messages.Step) -> None:
        """Queues a step for the next agent.

        Args:
            step: The step; when the link fails it is lost and reported.
        """
        if len(self._queue) >= MAX_QUEUED_STEPS:
            self._failure = "too many unsent steps"
        else:
            self._queue.append(step)
        self._wakeup.set()

    def run(self, *, on_end: Callable[[], None]) -> None:
        """Dials and writes until the link fails or is idle for long.

        Args:
            on_end: Called before a failure is reported.
        """
        reader: gevent.Greenlet | None = None
        try:
            self._connection = wire.dial(
                *self._address,
                identity=self._options.identity,
                shaper=self._options.shaper,
            )
            reader = gevent.spawn(self._read)
            self._write_until_idle()
        except errors.DotterelgradeError as error:
            self._failure = error.error.message
        except OSError as error:
            self._failure = repr(error)
        finally:
            if self._connection is not None:
                self._connection.close(self._failure or "idle")
            if reader is not None:
                reader.kill(block=False)
            on_end()
        if self._failure:
            self._on_failed(self._address, self._failure)

    def _write_until_idle(self) -> None:
        while not self._failure and not self._is_idle():
            self._wakeup.clear()
            self._flush()
            self._watch()
            self._wakeup.wait(PING_INTERVAL_S)

    def _flush(self) -> None:
        if not self._queue:
            return
        batch = tuple(self._queue)
        self._queue.clear()
        self._last_used = time.monotonic()
        if not self._connection.send(messages.Steps(steps=batch)):
            self._failure = self._connection.close_reason

    def _is_idle(self) -> bool:
        return time.monotonic() - self._last_used > IDLE_CLOSE_S

    def _watch(self) -> None:
        now = time.monotonic()
        if not self._connection.is_open:
            self._failure = self._connection.close_reason
        elif self._awaits_pong:
            if now - self._pinged_at > SILENCE_LIMIT_S:
                self._failure = "no answer to a ping"
        elif now - self._pinged_at >= self._ping_interval_s(now):
            self._awaits_pong = True
            self._pinged_at = now
            self._ping_number += 1
            self._connection.send(messages.Ping(sequence=self._ping_number))

    def _ping_interval_s(self, now: float) -> float:
        is_busy = now - self._last_used < IDLE_PING_INTERVAL_S
        return PING_INTERVAL_S if is_busy else IDLE_PING_INTERVAL_S

    def _read(self) -> None:
        for message in self._connection:
            self._received(message)
        self._wakeup.set()

    def _received(self, message: Any) -> None:
        if not isinstance(message, messages.Pong):
            return
        if message.sequence != self._ping_number or not self._awaits_pong:
            return
        self._awaits_pong = False
        rtt_ms = (time.monotonic() - self._pinged_at) * _MS_PER_S
        if self._rtt_ms is None:
            self._rtt_ms = rtt_ms
        else:
            self._rtt_ms += _SMOOTHING * (rtt_ms - self._rtt_ms)


class Hops:
    """Every link of an agent to next agents, made on first use."""

    def __init__(
        self,
        *,
        options: HopsOptions,
        on_failed: FailedCallback,
        deliver_locally: Callable[[messages.Step], None],
    ) -> None:
        """Initializes an empty set.

        Args:
            options: How to reach other agents.
            on_failed: Called with the address and the reason of a failure.
            deliver_locally: Takes steps whose next hop is this agent.
        """
        self._options = options
        self._on_failed = on_failed
        self._deliver_locally = deliver_locally
        self._hops: dict[Address, Hop] = {}
        self._greenlets = gevent.pool.Group()
        self._own = (options.identity.host, options.identity.port)

    @property
    def links(self) -> dict[str, float]:
        """Smoothed round-trip times by "host:port", ms."""
        return {
            f"{host}:{port}": round(hop.rtt_ms, 3)
            for (host, port), hop in self._hops.items()
            if hop.rtt_ms is not None
        }

    def send(self, target: messages.Hop, step: messages.Step) -> None:
        """Sends a step to the next stage.

        Args:
            target: Where the next stage runs.
            step: The step.
        """
        address = (target.host, target.port)
        if address == self._own:
            # Not at once, since the sender is in the middle of its own work.
            self._greenlets.spawn(self._deliver_locally, step)
            return
        hop = self._hops.get(address)
        if hop is None:
            hop = self._add(address)
        hop.send(step)

    def _add(self, address: Address) -> Hop:
        hop = Hop(address, options=self._options, on_failed=self._on_failed)
        self._hops[address] = hop
        self._greenlets.spawn(self._run, address, hop)
        return hop

    def _run(self, address: Address, hop: Hop) -> None:
        def forget() -> None:
            if self._hops.get(address) is hop:
                del self._hops[address]

        hop.run(on_end=forget)

    def close(self) -> None:
        """Closes every link."""
        self._greenlets.kill()
        self._hops.clear()
