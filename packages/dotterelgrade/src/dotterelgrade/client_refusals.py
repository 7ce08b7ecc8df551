"""Counts and logs the clients that a listening socket refuses or closes."""

from collections.abc import Callable
import enum
import logging
import time

from dotterelgrade import metrics as metrics_lib

_LOG = logging.getLogger(__name__)

_LINE_INTERVAL_S = 1.0


class Reason(enum.StrEnum):
    """Why a client was refused or its connection closed."""

    FULL = "full"
    HEAD_TIMEOUT = "head_timeout"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_INVALID = "head_invalid"
    HEADS_FULL = "heads_full"
    BODY_UNREAD = "body_unread"
    BODY_TOO_SLOW = "body_too_slow"
    BODIES_FULL = "bodies_full"
    SLOW_READER = "slow_reader"
    ANSWERS_FULL = "answers_full"


class BoundedLines:
    """Says which log lines of a kind are written: one a second."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes it before the first line.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._written_at: dict[str, float] = {}
        self._left_out: dict[str, int] = {}

    def __repr__(self) -> str:
        """Shows how many lines were left out since the last of each kind."""
        return f"<BoundedLines {self._left_out}>"

    def admit(self, kind: str) -> int | None:
        """Decides on one line.

        Args:
            kind: Kind of the line, from a small set.

        Returns:
            How many lines were left out before it, or None to leave it out.
        """
        now = self._clock()
        written_at = self._written_at.get(kind, float("-inf"))
        if now - written_at < _LINE_INTERVAL_S:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return None
        self._written_at[kind] = now
        return self._left_out.pop(kind, 0)


class ClientRefusals:
    """The refusals of one process, by socket and reason."""

    def __init__(self, metrics: metrics_lib.Metrics | None = None) -> None:
        """Initializes it without refusals.

        Args:
            metrics: Metrics of the process; None for none.
        """
        metrics = metrics or metrics_lib.Metrics()
        self._counter = metrics.counter(
            "listener_refusals",
            "Clients refused or closed at a listening socket.",
            ("listener", "reason"),
        )
        self._lines = BoundedLines()

    def __repr__(self) -> str:
        """Shows the lines left out."""
        return f"<ClientRefusals {self._lines!r}>"

    def note(self, listener: str, reason: Reason, peer: str) -> None:
        """Counts a refusal and logs it, at most once a second for a reason.

        Args:
            listener: Name of the listening socket.
            reason: Why the client was refused.
            peer: Address of the client.
        """
        self._counter.labels(listener, reason).inc()
        left_out = self._lines.admit(f"{listener} {reason}")
        if left_out is not None:
            _LOG.warning(
                "client refused",
                extra={
                    "listener": listener,
                    "reason": reason.value,
                    "peer": peer,
                    "left_out": left_out,
                },
            )
