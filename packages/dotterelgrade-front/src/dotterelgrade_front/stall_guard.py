"""Waits for the response of one attempt and acts when it is silent."""

from collections.abc import Callable
import time
from typing import TypeVar

from dotterelgrade import http_connection
from dotterelgrade_front import standby_set
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_repair
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt as attempt_lib
from dotterelgrade_routing import stall_actions

# Bounds on the silence after which the stages are queried. A stream that
# resumes soon after the upper one stays within the usual bound on pauses.
_MAX_QUERY_DELAY_S = 0.15
_MIN_QUERY_DELAY_S = 0.05
# The same, in multiples of the stream's mean time between events. Queries cost
# load, and busy stages cause pauses of twice the mean now and then.
QUERY_DELAY_FACTOR = 2.0
# Pause between two looks at second attempts.
_STANDBY_POLL_S = 0.02

_Heard = TypeVar("_Heard")


class StallGuard:
    """Waits for one attempt, and for the second ones beside it."""

    def __init__(
        self,
        repair: stream_repair.StreamRepair,
        *,
        standbys: standby_set.StandbySet,
        attempt: stream_attempt.StreamAttempt,
        silent_since: float,
    ) -> None:
        """Initializes the stall handling for one attempt.

        Args:
            repair: Failure handling of the request.
            standbys: Its second attempts.
            attempt: The attempt that carries the stream.
            silent_since: Monotonic time of its last progress, s.
        """
        self._repair = repair
        self._standbys = standbys
        self._attempt = attempt
        self._last_progress_at = silent_since
        self._next_query_at = silent_since + _MAX_QUERY_DELAY_S

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
        if self._standbys.any_open:
            self._standbys.close_all(reason="another attempt went on")

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
            standby_set.StandbyReadyError: A second attempt went on first.
            upstream.AttemptFailedError: The deadline passed, or the process
                stops and another attempt has reached the end.
        """
        while True:
            if self._standbys.any_open:
                self._standbys.raise_if_ready()
            if time.monotonic() >= self._next_query_at:
                delay_s = self._handle_stall()
                self._next_query_at = time.monotonic() + delay_s
            try:
                return read(self._wake_at())
            except http_connection.ResponseTimeoutError as error:
                self._raise_if_over(error)

    def _raise_if_over(self, error: Exception) -> None:
        now = time.monotonic()
        if now >= self._repair.deadline:
            reason = "deadline exceeded"
        elif now >= self._standbys.empty_end_counts_at:
            reason = "stop begins to abort, and another attempt has ended"
        else:
            return
        raise upstream.AttemptFailedError(
            attempt_lib.ExecutionStatus.UNKNOWN, reason
        ) from error

    def _wake_at(self) -> float:
        """Returns when to stop reading in order to look after the rest."""
        wake_at = min(self._next_query_at, self._repair.deadline)
        if self._standbys.any_open:
            return min(wake_at, time.monotonic() + _STANDBY_POLL_S)
        return wake_at

    def _handle_stall(self) -> float:
        """Queries the stages; returns the delay until the next query, s.

        The attempt that started last is looked into. Those before it stay open,
        since they may still go on.
        """
        latest = self._standbys.newest_attempt or self._attempt
        silent_since = max(self._last_progress_at, latest.began_at)
        silent_s = time.monotonic() - silent_since
        faulty = self._repair.find_faulty_stages(latest.chain)
        self._repair.exclude_faulty(faulty)
        self._repair.note_dead_stages(latest, faulty)
        actions = stall_actions.stall_actions(
            faulty=bool(faulty),
            silent_s=silent_s,
            repeatable=self._repair.repeatable,
            prefers_standby=self._repair.prefers_resuming,
            replaced=self._standbys.replaced,
        )
        for action in actions:
            delay_s = self._act(
                action, latest, silent_s=silent_s, faulty=faulty
            )
            if delay_s is not None:
                return delay_s
        bound_s = stall_actions.standby_silence_s(
            replaced=self._standbys.replaced
        )
        if not actions and silent_s <= bound_s:
            return self._query_delay_s
        self._repair.record_wait(silent_s=silent_s, faulty=faulty)
        return stall_actions.retry_delay_s(silent_s)

    def _act(
        self,
        action: stall_actions.StallAction,
        latest: stream_attempt.StreamAttempt,
        *,
        silent_s: float,
        faulty: tuple[str, ...],
    ) -> float | None:
        """Returns the delay until the next query, s; None if impossible."""
        if action is stall_actions.StallAction.REROUTE:
            rerouted = self._reroute(latest, faulty)
            return stream_repair.REROUTE_GRACE_S if rerouted else None
        started = self._standbys.start(
            self._attempt, silent_s=silent_s, faulty=faulty
        )
        return _MAX_QUERY_DELAY_S if started else None

    def _reroute(
        self, attempt: stream_attempt.StreamAttempt, faulty: tuple[str, ...]
    ) -> bool:
        if self._is_ambiguous(attempt) or not self._repair.may_repeat:
            return False
        other = self._repair.reroute(attempt.chain, faulty)
        if other is None:
            return False
        attempt.note_rerouted(other)
        return True

    def _is_ambiguous(self, attempt: stream_attempt.StreamAttempt) -> bool:
        """Returns whether an order could mean another attempt as well.

        It names the request and its first stage, not the attempt.
        """
        return (
            attempt is not self._attempt
            and attempt.chain.first == self._attempt.chain.first
        )
