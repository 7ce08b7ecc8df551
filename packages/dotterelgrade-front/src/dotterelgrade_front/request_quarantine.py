"""Applies the quarantine to a front's requests, and records its decisions."""

import collections
from collections.abc import Callable, Iterator
import contextlib

from dotterelgrade import decision_log
from dotterelgrade import errors
from dotterelgrade import quarantine as quarantine_lib
from dotterelgrade import suspect_state
from dotterelgrade import suspicion
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_metrics

# After as many events a crash of the server is not put down to the request.
PROOF_EVENTS = 8


class QuarantinedError(Exception):
    """A request is refused for what requests like it have done."""

    def __init__(self, error: errors.Error) -> None:
        """Initializes the exception.

        Args:
            error: The error for the caller.
        """
        super().__init__(error.message)
        self._error = error

    @property
    def error(self) -> errors.Error:
        """The error for the caller."""
        return self._error


class RequestQuarantine:
    """The quarantine of one front, with the requests that are open."""

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        *,
        decisions: decision_log.DecisionLog,
        metrics: front_metrics.FrontMetrics,
    ) -> None:
        """Initializes it without requests.

        Args:
            quarantine: Holds the rules.
            decisions: Log of decisions.
            metrics: Counts refusals.
        """
        self._quarantine = quarantine
        self._decisions = decisions
        self._metrics = metrics
        self._open: collections.Counter[str] = collections.Counter()
        self._requests = 0
        self._on_probe_due: Callable[[str], None] = lambda fingerprint: None

    def __repr__(self) -> str:
        """Shows the quarantine."""
        return f"<RequestQuarantine {self._quarantine!r}>"

    @property
    def rules(self) -> quarantine_lib.Quarantine:
        """The rules, and what is known."""
        return self._quarantine

    @property
    def requests(self) -> int:
        """Number of requests so far, refused ones included."""
        return self._requests

    def set_on_probe_due(self, on_probe_due: Callable[[str], None]) -> None:
        """Sets what is called when a fingerprint may be tried again.

        Args:
            on_probe_due: Called with the fingerprint; it must not wait.
        """
        self._on_probe_due = on_probe_due

    @contextlib.contextmanager
    def admitted(self, call: call_lib.Call) -> Iterator[None]:
        """Counts a request as open for the body of the context.

        Args:
            call: The request.

        Raises:
            QuarantinedError: It is refused; without a retry time while it is
                only suspected.
        """
        self._requests += 1
        self._check(call)
        fingerprints = call.fingerprints
        self._open.update(fingerprints)
        try:
            yield
        finally:
            self._open.subtract(fingerprints)
            for fingerprint in fingerprints:
                if not self._open[fingerprint]:
                    del self._open[fingerprint]

    def may_repeat(self, call: call_lib.Call, *, begun: bool = False) -> bool:
        """Returns whether a request may be sent to a second server.

        Args:
            call: The request.
            begun: Whether its caller has received a part of the answer, which
                crashes under itself alone are no reason to break off.
        """
        assessment = self._quarantine.assess(call.fingerprints)
        if assessment.level is suspicion.Level.SUSPECTED:
            return begun and assessment.requests == 1
        return assessment.level is suspicion.Level.NONE

    def note_crash(
        self,
        call: call_lib.Call,
        process: suspect_state.ServerProcess,
        *,
        sent_at: float,
        proven: bool,
    ) -> None:
        """Records that a server broke off its answer to a request.

        Args:
            call: The request.
            process: The server, as it is listed.
            sent_at: Monotonic time at which the request was sent there, s.
            proven: Whether the answer was well under way.
        """
        self._note(
            self._quarantine.note_crash,
            call,
            process,
            sent_at=sent_at,
            proven=proven,
        )

    def note_found_dead(
        self,
        call: call_lib.Call,
        process: suspect_state.ServerProcess,
        *,
        sent_at: float,
        proven: bool,
    ) -> None:
        """Records that a stage that a request waits for is not there.

        Args:
            call: The request.
            process: The server, as it is listed.
            sent_at: Monotonic time at which the request was sent there, s.
            proven: Whether the answer was well under way.
        """
        self._note(
            self._quarantine.note_found_dead,
            call,
            process,
            sent_at=sent_at,
            proven=proven,
        )

    def _note(
        self,
        note: Callable[..., None],
        call: call_lib.Call,
        process: suspect_state.ServerProcess,
        *,
        sent_at: float,
        proven: bool,
    ) -> None:
        """Tells the rules of a crash, by one of their two methods for it."""
        note(
            process,
            () if proven else call.fingerprints,
            request=call.request_fingerprint,
            sent_at=sent_at,
            request_id=call.request_id,
        )
        self.record_changes()

    def note_served(self, call: call_lib.Call) -> None:
        """Records that a server answers a request, or has done so."""
        self._quarantine.note_served(call.fingerprints)
        self.record_changes()

    @property
    def version(self) -> int:
        """Grows with each change that other fronts need to know."""
        return self._quarantine.version

    def news_since(self, version: int) -> suspect_state.SuspectNews | None:
        """Returns what has changed, or None if nothing has.

        Args:
            version: The version that the receiver knows.
        """
        if version == self._quarantine.version:
            return None
        return self._quarantine.news_since(version)

    def merge(self, news: suspect_state.SuspectNews | None) -> None:
        """Takes in what another front or the store knows.

        Args:
            news: What it tells, or None if nothing has changed.
        """
        if news is not None:
            self._quarantine.merge(news)
            self.record_changes()

    def expire(self) -> None:
        """Drops what is too old to count."""
        self._quarantine.expire()
        self.record_changes()

    def record_changes(self) -> None:
        """Records what has changed in the quarantine."""
        changes = self._quarantine.take_changes()
        for change in changes:
            state = change.state
            self._decisions.record(
                change.kind.value,
                reason=change.reason,
                fingerprint=state.fingerprint,
                crashes=[_describe(report) for report in state.crashes],
                probes=state.probes,
            )
        if changes:
            self._metrics.set_quarantined(len(self._quarantine.quarantined))

    def _check(self, call: call_lib.Call) -> None:
        """Raises an error if a request is refused."""
        assessment = self._quarantine.assess(call.fingerprints)
        self.record_changes()
        if assessment.level is suspicion.Level.NONE:
            return
        retry_after_s = None
        if assessment.level is suspicion.Level.QUARANTINED:
            if self._quarantine.use_probe(assessment.fingerprint):
                self._record("request_probed", call, assessment)
                return
            retry_after_s = assessment.retry_after_s
        elif assessment.settled and not self._open[assessment.fingerprint]:
            return
        self._refuse(call, assessment, retry_after_s)

    def _refuse(
        self,
        call: call_lib.Call,
        assessment: suspicion.Assessment,
        retry_after_s: float | None,
    ) -> None:
        self._quarantine.note_refused(assessment.fingerprint)
        self._metrics.count_quarantined(assessment.level.name.lower())
        self._record("request_held_back", call, assessment)
        if assessment.probe_due:
            self._on_probe_due(assessment.fingerprint)
        raise QuarantinedError(
            errors.Error(
                kind=errors.ErrorKind.QUARANTINED,
                message="backend servers crashed under requests like this one",
                retry_after_s=retry_after_s,
            )
        )

    def _record(
        self,
        decision: str,
        call: call_lib.Call,
        assessment: suspicion.Assessment,
    ) -> None:
        state = self._quarantine.state_of(assessment.fingerprint)
        self._decisions.record(
            decision,
            reason=f"{assessment.level.name.lower()} for crashes under it",
            request_id=call.request_id,
            fingerprint=assessment.fingerprint,
            crashes=[_describe(report) for report in state.crashes],
            retry_after_s=round(assessment.retry_after_s, 1),
            open=self._open[assessment.fingerprint],
        )


def _describe(report: suspect_state.CrashReport) -> str:
    return (
        f"{report.crash.process.server_id} {report.age_s:.1f} s ago "
        f"under {report.request_id}"
    )
