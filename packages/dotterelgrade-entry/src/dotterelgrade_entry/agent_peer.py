"""The connection of an entry to one agent."""

from collections.abc import Callable
import itertools
import logging
import random
import time
from typing import Any

import gevent
from gevent import event

from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import host_list
from dotterelgrade import messages
from dotterelgrade import wire
from dotterelgrade_entry import backend_view
from dotterelgrade_entry import priors as priors_lib

_LOG = logging.getLogger(__name__)

_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_SHORTER_WEIGHT = 0.5
_LONGER_WEIGHT = 0.3
_MAX_PINGS = 64

FrameHandler = Callable[["AgentPeer", Any], None]


class AgentPeer:
    """Dials one agent, keeps its reports and hands on its other frames."""

    def __init__(
        self,
        entry: host_list.HostEntry,
        *,
        identity: handshake.ProcessIdentity,
        on_frame: FrameHandler,
        on_lost: Callable[["AgentPeer", str], None],
        priors: priors_lib.Priors | None = None,
        is_known: bool = False,
        shaper: wire.Shaper | None = None,
    ) -> None:
        """Initializes the peer; `run` dials.

        Args:
            entry: The agent's line of the host list.
            identity: What this process says about itself.
            on_frame: Gets each frame that the peer does not handle itself.
            on_lost: Called once for each connection that ends.
            priors: What engines of an accelerator kind cost.
            is_known: Whether the agent was there before this process.
            shaper: Emulated link, or None.
        """
        self._entry = entry
        self._identity = identity
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._priors = priors or priors_lib.Priors()
        self._is_known = is_known
        self._shaper = shaper
        self._connection: wire.Connection | None = None
        self._state = messages.ProcessState.STARTING
        self._contract_offset = 0
        self._links: dict[str, float] = {}
        self._backends: dict[str, backend_view.BackendView] = {}
        self._steps: list[messages.Step] = []
        self._pings = itertools.count(1)
        self._pings_sent: dict[int, float] = {}
        self._pong_waiters: dict[int, event.AsyncResult] = {}
        self._rtt_s: float | None = None
        self._is_suspect = False
        self._probed_at: float | None = None
        self._was_dialed = False
        self._pinged_at = 0.0

    def __repr__(self) -> str:
        """Shows the address and the state."""
        return f"<AgentPeer {self.address} {self._state}>"

    @property
    def entry(self) -> host_list.HostEntry:
        """The agent's line of the host list."""
        return self._entry

    @entry.setter
    def entry(self, value: host_list.HostEntry) -> None:
        self._entry = value

    @property
    def address(self) -> str:
        """The agent's address, "host:port"."""
        return f"{self._entry.host}:{self._entry.peer_port}"

    @property
    def process(self) -> str:
        """Incarnation of the connected agent, or empty."""
        return self._connection.peer.process if self._connection else ""

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._connection is not None and self._connection.is_open

    @property
    def was_dialed(self) -> bool:
        """Whether it has reported or a dial has failed."""
        return self._was_dialed

    @property
    def is_suspect(self) -> bool:
        """Whether it is silent although it should have answered."""
        return self._is_suspect

    @property
    def state(self) -> messages.ProcessState:
        """The agent's life cycle as last reported."""
        return self._state

    @property
    def contract_offset(self) -> int:
        """Log offset up to which the agent has the contract in force."""
        return self._contract_offset

    @property
    def links(self) -> dict[str, float]:
        """Round-trip times to other agents by address, ms."""
        return self._links

    @property
    def rtt_s(self) -> float | None:
        """Smoothed round-trip time from this entry, s."""
        return self._rtt_s

    @property
    def backends(self) -> dict[str, backend_view.BackendView]:
        """Views of the agent's backend servers by name."""
        return self._backends

    @property
    def silence_s(self) -> float:
        """Time since the last bytes from the agent, s."""
        if self._connection is None:
            return 0.0
        return time.monotonic() - self._connection.last_received_at

    @property
    def unanswered_s(self) -> float:
        """Time since the oldest ping after which nothing came, s."""
        if self._probed_at is None:
            return 0.0
        return time.monotonic() - self._probed_at

    @property
    def ping_age_s(self) -> float:
        """Time since the latest ping, s."""
        return time.monotonic() - self._pinged_at

    @property
    def takes_work(self) -> bool:
        """Whether new work may be given to the agent."""
        return (
            self.is_connected
            and not self._is_suspect
            and self._state is messages.ProcessState.READY
            and not self._entry.is_leaving
        )

    def send(self, message: Any) -> bool:
        """Queues a frame; returns False when there is no connection."""
        connection = self._connection
        return connection is not None and connection.send(message)

    def send_step(self, step: messages.Step) -> bool:
        """Queues a step, which leaves with the others of this loop turn."""
        if not self.is_connected:
            return False
        if not self._steps:
            gevent.get_hub().loop.run_callback(self._flush_steps)
        self._steps.append(step)
        return True

    def _flush_steps(self) -> None:
        steps = tuple(self._steps)
        self._steps.clear()
        self.send(messages.Steps(steps=steps))

    def ping(self) -> int:
        """Sends a ping and returns its sequence number."""
        number = next(self._pings)
        if self.send(messages.Ping(sequence=number)):
            now = time.monotonic()
            self._pings_sent[number] = now
            self._pinged_at = now
            if len(self._pings_sent) > _MAX_PINGS:
                del self._pings_sent[next(iter(self._pings_sent))]
            if self._probed_at is None:
                self._probed_at = now
        return number

    def barrier(self, timeout_s: float) -> bool:
        """Waits until the agent has handled every frame sent so far.

        Args:
            timeout_s: Time limit, s.

        Returns:
            Whether the agent answered in time.
        """
        waiter = event.AsyncResult()
        number = self.ping()
        self._pong_waiters[number] = waiter
        try:
            return bool(waiter.get(timeout=timeout_s))
        except gevent.Timeout:
            return False
        finally:
            self._pong_waiters.pop(number, None)

    def suspect(self) -> None:
        """Marks the agent as silent until it is heard from again."""
        self._is_suspect = True

    def run(self) -> None:
        """Dials and reads until the greenlet is killed."""
        backoff = _FIRST_BACKOFF_S
        while True:
            try:
                self._serve_once()
                backoff = _FIRST_BACKOFF_S
            except errors.DotterelgradeError as error:
                _LOG.debug(
                    "agent unreachable",
                    extra={"peer": self.address, "reason": str(error)},
                )
            self._was_dialed = True
            gevent.sleep(backoff * random.uniform(0.8, 1.2))
            backoff = min(backoff * 2, _MAX_BACKOFF_S)

    def _serve_once(self) -> None:
        connection = wire.dial(
            self._entry.host,
            self._entry.peer_port,
            identity=self._identity,
            shaper=self._shaper,
        )
        self._connection = connection
        self._is_suspect = False
        self._probed_at = None
        try:
            self.ping()
            for message in connection:
                self._is_suspect = False
                self._probed_at = None
                self._handle(connection, message)
        finally:
            connection.close("entry stopped reading")
            self._forget(connection.close_reason)

    def _forget(self, reason: str) -> None:
        self._connection = None
        self._is_known = False
        self._state = messages.ProcessState.STARTING
        self._backends = {}
        self._steps.clear()
        self._pings_sent.clear()
        for waiter in self._pong_waiters.values():
            waiter.set(False)
        self._on_lost(self, reason)

    def _handle(self, connection: wire.Connection, message: Any) -> None:
        if isinstance(message, messages.Ping):
            connection.send(messages.Pong(sequence=message.sequence))
        elif isinstance(message, messages.Pong):
            self._note_pong(message.sequence)
        else:
            if isinstance(message, messages.Report):
                self._note_report(message)
            self._on_frame(self, message)

    def _note_pong(self, number: int) -> None:
        sent = self._pings_sent.pop(number, None)
        if sent is None:
            return
        rtt = time.monotonic() - sent
        if self._rtt_s is None:
            self._rtt_s = rtt
        else:
            # Waits in either process only lengthen it.
            weight = _SHORTER_WEIGHT if rtt < self._rtt_s else _LONGER_WEIGHT
            self._rtt_s += weight * (rtt - self._rtt_s)
        waiter = self._pong_waiters.pop(number, None)
        if waiter is not None:
            waiter.set(True)

    def _note_report(self, report: messages.Report) -> None:
        self._was_dialed = True
        self._state = report.state
        self._contract_offset = report.contract_offset
        self._links = report.links
        known = self._backends
        self._backends = {}
        for backend in report.backends:
            view = known.get(backend.backend)
            if view is None:
                view = backend_view.BackendView(
                    self.address,
                    backend,
                    priors=self._priors,
                    is_warm=self._is_known,
                )
            else:
                view.note_report(backend)
            self._backends[backend.backend] = view
