"""Waits for the response of one attempt and acts when it is silent."""

from collections.abc import Callable
import time
from typing import TypeVar

from dotterelgrade import http_connection
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_repair
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt as attempt_lib

# Bounds on the silence after which the stages are queried. A stream that
# resumes soon after the upper one stays within the usual bound on pauses.
_MAX_QUERY_DELAY_S = 0.15
_MIN_QUERY_DELAY_S = 0.05
# The same, in multiples of the stream's mean time between events. Queries cost
# load, and busy stages cause pauses of twice the mean now and then.
QUERY_DELAY_FACTOR = 2.0
# A rerouted stream continues once its new stages have processed all tokens so
# far; until then, reports that lag still name the stage that it left.
_REROUTE_GRACE_S = 0.7
# Callers disconnect after about two seconds without an event.
MAX_SILENCE_S = 1.5

_Heard = TypeVar("_Heard")


class StallGuard:
    """Waits for one attempt and handles stalls of its chain."""

    def __init__(
        self,
        repair: stream_repair.StreamRepair,
        *,
        attempt: stream_attempt.StreamAttempt,
    ) -> None:
        """Initializes the stall handling for one attempt.

        Args:
            repair: Failure handling of the request.
            attempt: The attempt that carries the stream.
        """
        self._repair = repair
        self._attempt = attempt
        self._last_progress_at = time.monotonic()
        self._next_query_at = self._last_progress_at + _MAX_QUERY_DELAY_S

    def __repr__(self) -> str:
        """Shows the first backend server of the chain."""
        return f"<StallGuard for {self._attempt.chain.first.server_id}>"

    def note_progress(self) -> None:
        """Records that a complete event has arrived.

        Other bytes don't count as progress, since a stalled backend server may
        still send some.
        """
        self._last_progress_at = time.monotonic()
        self._next_query_at = self._last_progress_at + self._query_delay_s

    @property
    def _query_delay_s(self) -> float:
        """Silence after which the stages are queried, s."""
        mean_pause_s = self._repair.mean_pause_s
        if not mean_pause_s:
            return _MAX_QUERY_DELAY_S
        delay_s = max(QUERY_DELAY_FACTOR * mean_pause_s, _MIN_QUERY_DELAY_S)
        return min(delay_s, _MAX_QUERY_DELAY_S)

    def run(self, read: Callable[[float], _Heard]) -> _Heard:
        """Repeats a read until it returns, with stall checks in between.

        Args:
            read: Reads with the given deadline, a monotonic time.

        Raises:
            upstream.AttemptFailedError: The chain stalled or the deadline
                passed.
        """
        while True:
            if time.monotonic() >= self._next_query_at:
                delay_s = self._handle_stall(
                    time.monotonic() - self._last_progress_at
                )
                self._next_query_at = time.monotonic() + delay_s
            try:
                return read(min(self._next_query_at, self._repair.deadline))
            except http_connection.ResponseTimeoutError as error:
                if time.monotonic() >= self._repair.deadline:
                    raise upstream.AttemptFailedError(
                        attempt_lib.ExecutionStatus.UNKNOWN, "deadline exceeded"
                    ) from error

    def _handle_stall(self, silent_s: float) -> float:
        """Queries the stages; returns the delay until the next query, s.

        Raises:
            upstream.AttemptFailedError: The request can't go on with
                this attempt.
        """
        faulty = self._repair.find_faulty_stages(self._attempt.chain)
        if not faulty:
            if silent_s > MAX_SILENCE_S:
                raise upstream.AttemptFailedError(
                    attempt_lib.ExecutionStatus.UNKNOWN,
                    f"no event for {silent_s:.1f} s",
                )
            return self._query_delay_s
        for address in faulty:
            self._repair.exclude(address, reason="stalls streams")
        other = None
        if not self._repair.prefers_resuming:
            other = self._repair.reroute(self._attempt.chain, faulty)
        if other is None:
            raise upstream.AttemptFailedError(
                attempt_lib.ExecutionStatus.UNKNOWN,
                f"stalled for {silent_s:.1f} s",
                faulty_address=faulty[0],
            )
        self._attempt.note_rerouted(other)
        return _REROUTE_GRACE_S
