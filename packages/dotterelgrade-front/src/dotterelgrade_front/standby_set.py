"""The second attempts of one streamed request."""

from collections.abc import Callable, Collection, Iterator
import contextlib
import time

from dotterelgrade_front import attempt_log
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_state
from dotterelgrade_front import standby_attempt
from dotterelgrade_front import stream_admission
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_output
from dotterelgrade_front import upstream
from dotterelgrade_routing import admission
from dotterelgrade_routing import stall_actions


class StandbyReadyError(Exception):
    """A second attempt has sent the next events before the first one."""

    def __init__(self, standby: standby_attempt.StandbyAttempt) -> None:
        """Initializes the exception.

        Args:
            standby: The second attempt.
        """
        super().__init__(repr(standby))
        self._standby = standby

    @property
    def standby(self) -> standby_attempt.StandbyAttempt:
        """The second attempt."""
        return self._standby


class StandbySet:
    """Starts second attempts and ends those that are no longer needed."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        call: call_lib.Call,
        output: stream_output.StreamOutput,
        admissions: stream_admission.StreamAdmission,
        attempts: attempt_log.AttemptLog,
        check_caller: Callable[[], None],
    ) -> None:
        """Initializes an empty set.

        Args:
            state: Shared by the front's greenlets.
            call: The call.
            output: The response so far.
            admissions: Admits attempts.
            attempts: Records how attempts end.
            check_caller: Raises an error if the caller no longer waits.
        """
        self._state = state
        self._call = call
        self._output = output
        self._admissions = admissions
        self._attempts = attempts
        self._check_caller = check_caller
        self._standbys: list[standby_attempt.StandbyAttempt] = []
        self._adopted: standby_attempt.StandbyAttempt | None = None
        self._started_at: dict[str, float] = {}
        self._replaced = 0

    def __repr__(self) -> str:
        """Shows the number of second attempts."""
        return f"<StandbySet {len(self._standbys)} attempts>"

    @property
    def any_open(self) -> bool:
        """Whether there is any second attempt."""
        return bool(self._standbys)

    @property
    def replaced(self) -> int:
        """How often a second attempt has replaced the one before it."""
        return self._replaced

    @property
    def newest_attempt(self) -> stream_attempt.StreamAttempt | None:
        """The attempt that was started last and may send events, or None."""
        for standby in reversed(self._standbys):
            if not standby.ended_empty:
                return standby.attempt
        return None

    @property
    def empty_end_counts_at(self) -> float:
        """When the end of an attempt without events ends the stream, s.

        Monotonic time; until then another attempt may go on. A stop cuts what
        has not ended by its abort.
        """
        if any(standby.ended_empty for standby in self._standbys):
            return self._state.finishes_at
        return float("inf")

    @contextlib.contextmanager
    def closed_on_exit(self) -> Iterator[None]:
        """Closes the second attempts that are left when the context ends."""
        try:
            yield
        finally:
            if self._adopted is not None:
                self._adopted.close()
            while self._standbys:
                self._standbys.pop().close()

    def start(
        self,
        silent: stream_attempt.StreamAttempt,
        *,
        silent_s: float,
        faulty: Collection[str],
    ) -> bool:
        """Starts a second attempt if it is possible and can be paid for.

        Args:
            silent: The attempt that carries the stream.
            silent_s: Time since the last event, s.
            faulty: Addresses of stages that are known to be faulty.

        Returns:
            Whether it was started.
        """
        if not self._output.sequence.resumable:
            return False
        if not self._state.quarantine.may_repeat(
            self._call, begun=self._output.begun
        ):
            return False
        decision = self._admissions.admit(
            begun=self._output.begun,
            is_retry=True,
            beside=self._open_attempts(silent, faulty),
        )
        if isinstance(decision, admission.Refused):
            return False
        standby = standby_attempt.StandbyAttempt(
            stream_attempt.StreamAttempt(
                self._state,
                call=self._call,
                chain=decision.chain,
                tokens=stream_admission.total_tokens(self._call),
                sequence=self._output.sequence,
            ),
            attempts=self._attempts,
            deadline=self._call.deadline,
            check_caller=self._check_caller,
        )
        self._standbys.append(standby)
        first = decision.chain.first
        self._started_at[first.server_id] = standby.attempt.began_at
        self._record(
            "standby_started",
            standby,
            reason=f"no event for {silent_s:.1f} s",
            beside=silent.chain.first.server_id,
            faulty=sorted(faulty),
            open=len(self._standbys),
        )
        return True

    def _open_attempts(
        self, silent: stream_attempt.StreamAttempt, faulty: Collection[str]
    ) -> stream_admission.OpenAttempts:
        attempts = [silent, *(standby.attempt for standby in self._standbys)]
        return stream_admission.OpenAttempts(
            server_ids=frozenset(a.chain.first.server_id for a in attempts),
            left_out=self._servers_left_out(),
            faulty=frozenset(faulty),
        )

    def _servers_left_out(self) -> frozenset[str]:
        """Returns where a second attempt is open, or has started lately."""
        now, silent_s = time.monotonic(), self._output.silent_s
        started_lately = frozenset(
            server_id
            for server_id, at in self._started_at.items()
            if not stall_actions.may_start_again(
                since_start_s=now - at, silent_s=silent_s
            )
        )
        return started_lately.union(
            standby.attempt.chain.first.server_id for standby in self._standbys
        )

    def raise_if_ready(self) -> None:
        """Takes notice of second attempts that have events or have failed.

        One that ended without an event waits, as another one may still go on.

        Raises:
            StandbyReadyError: One has sent the next events.
            client_connection.CallerDisconnectedError: The caller disconnected.
        """
        for standby in [s for s in self._standbys if s.ready]:
            if standby.ended_empty:
                continue
            self._standbys.remove(standby)
            try:
                standby.read_first_events(time.monotonic())
            except upstream.AttemptFailedError as failed:
                self._record("standby_ended", standby, reason=str(failed))
            else:
                self._adopt(standby, reason="first to go on")
                raise StandbyReadyError(standby)

    def close_all(self, *, reason: str) -> None:
        """Closes all second attempts since another attempt went on.

        Args:
            reason: Which one, in one clause.
        """
        while self._standbys:
            standby = self._standbys.pop()
            standby.close()
            if standby.error is None:
                self._attempts.note_replaced()
            self._record("standby_ended", standby, reason=reason)

    def promote(self, *, reason: str) -> standby_attempt.StandbyAttempt | None:
        """Takes out the attempt that carries the stream from now on.

        Args:
            reason: Why the present one no longer does, in one clause.

        Returns:
            The newest second attempt, one that has not ended if possible, or
            None if there is none.
        """
        if not self._standbys:
            return None
        standby = max(reversed(self._standbys), key=lambda s: not s.ended_empty)
        self._standbys.remove(standby)
        self._adopt(standby, reason=reason)
        return standby

    def _adopt(
        self, standby: standby_attempt.StandbyAttempt, *, reason: str
    ) -> None:
        self._adopted = standby
        self._replaced += 1
        self._record("standby_adopted", standby, reason=reason)

    def _record(
        self,
        decision: str,
        standby: standby_attempt.StandbyAttempt,
        *,
        reason: str,
        **details: object,
    ) -> None:
        pace = self._output.pace
        self._state.decisions.record(
            decision,
            reason=reason,
            request_id=self._call.request_id,
            server=standby.attempt.chain.first.server_id,
            events=pace.events,
            silent_s=round(self._output.silent_s, 3),
            age_s=round(time.monotonic() - standby.attempt.began_at, 3),
            retries_left=round(self._admissions.retries_left, 1),
            left_s=round(self._call.remaining_s, 3),
            **details,
        )
