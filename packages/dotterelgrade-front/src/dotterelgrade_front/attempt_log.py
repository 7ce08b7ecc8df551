"""Records how the attempts of one streamed request ended."""

import time

from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_state
from dotterelgrade_front import request_quarantine
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_output
from dotterelgrade_front import stream_repair
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt as attempt_lib


class AttemptLog:
    """Applies the outcome of each attempt to the call and to its servers."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        call: call_lib.Call,
        repair: stream_repair.StreamRepair,
        output: stream_output.StreamOutput,
    ) -> None:
        """Initializes the log of one request.

        Args:
            state: Shared by the front's greenlets.
            call: The call.
            repair: Checks refusals and excludes backend servers.
            output: The response so far.
        """
        self._state = state
        self._call = call
        self._repair = repair
        self._output = output
        self._proven = False

    def __repr__(self) -> str:
        """Shows the number of failed attempts."""
        return f"<AttemptLog {len(self._call.attempts)} failed>"

    def note_failure(
        self,
        failed: upstream.AttemptFailedError,
        attempt: stream_attempt.StreamAttempt,
    ) -> None:
        """Records an attempt that failed.

        Args:
            failed: How it failed.
            attempt: The attempt.
        """
        call, chain = self._call, attempt.chain
        statuses = attempt_lib.ExecutionStatus
        self._count(failed.execution)
        if failed.execution is statuses.NEVER_SENT:
            call.unreachable.add(chain.first.server_id)
        if failed.execution is statuses.REFUSED:
            server_id = chain.first.server_id
            if attempt.first_at_server and not call.open_at[server_id]:
                # A request that never ran at a server uses up no attempt.
                call.sent_to.discard(chain.first.server_id)
            refused_by = failed.faulty_address or chain.first.address
            call.refused_by.add(refused_by)
            call.refused_at = time.monotonic()
            self._repair.check_refusal(chain, refused_by)
        elif failed.faulty_address:
            self._repair.exclude(
                failed.faulty_address,
                reason=str(failed),
                firm=failed.execution is statuses.NEVER_SENT,
            )
        if failed.oversized:
            self._state.note_oversized(
                chain.first.server_id,
                reason=str(failed),
                request_id=call.request_id,
            )
        if failed.connection_lost:
            self._state.quarantine.note_crash(
                call,
                attempt.server_process,
                sent_at=attempt.began_at,
                proven=attempt.received >= request_quarantine.PROOF_EVENTS,
            )
        self._state.decisions.record(
            "try_failed",
            reason=str(failed),
            request_id=call.request_id,
            server=chain.first.server_id,
            faulty_address=failed.faulty_address,
            known=failed.execution.name,
            events=self._output.pace.events,
            received=attempt.received,
            fingerprints=call.fingerprints,
            left_s=round(call.remaining_s, 3),
        )

    def note_replaced(self) -> None:
        """Records an attempt that was closed since another one went on.

        It may have run, whatever becomes of the other one.
        """
        self._count(attempt_lib.ExecutionStatus.UNKNOWN)

    def note_progress(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Records that an attempt has received further events.

        Args:
            attempt: The attempt.
        """
        proven = attempt.received >= request_quarantine.PROOF_EVENTS
        if proven and not self._proven:
            self._proven = True
            self._state.quarantine.note_served(self._call)

    def note_success(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Records the attempt that completed the response.

        Args:
            attempt: The attempt.
        """
        now = time.monotonic()
        for stage in attempt.chain.stages:
            self._state.exclusions.note_success(
                stage.server_id, now=now, began_at=attempt.began_at
            )
        if attempt.received and not self._proven:
            # The end alone, of a stream that others wrote, shows nothing.
            self._state.quarantine.note_served(self._call)
        self._state.metrics.count_attempt("answered")
        pace, route = self._output.pace, self._call.route
        self._state.decisions.record(
            "stream_finished",
            reason="last event passed on",
            request_id=self._call.request_id,
            events=pace.events,
            first_event_s=round(pace.first_event_s, 3),
            objective_s=route.objective_s,
            longest_pause_s=round(pace.longest_pause_s, 3),
            pause_s=route.longest_pause_s,
            pause_after=pace.pause_after,
            moves=self._repair.reroutes,
            tries=len(self._call.attempts) + 1,
            predicted_step_ms=round(attempt.chain.step_s * 1000, 2),
            stages=len(attempt.chain.stages),
            continued=bool(self._call.facts.last_event_id),
        )

    def _count(self, execution: attempt_lib.ExecutionStatus) -> None:
        self._call.attempts.append(execution)
        self._state.metrics.count_attempt(execution.name.lower())
