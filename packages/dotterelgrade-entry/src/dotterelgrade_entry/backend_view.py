"""An entry's view of one backend server: its report and own work since."""

from collections.abc import Callable
import time

from dotterelgrade import messages
from dotterelgrade_entry import prefixes
from dotterelgrade_entry import priors as priors_lib

SLOW_START_S = 2.0
_BASE_EJECTION_S = 0.5
_MAX_EJECTION_S = 30.0
_FORGIVENESS_S = 10.0
_PROBE_SEQUENCES = 2
_STALE_S = 5.0


class BackendView:
    """What an entry believes about a backend server.

    Reports are stale on arrival, so the entry adds the work it has given the
    backend server since the last one.
    """

    def __init__(
        self,
        agent: str,
        report: messages.BackendReport,
        *,
        priors: priors_lib.Priors | None = None,
        is_warm: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the view of a newly reported backend server.

        Args:
            agent: Address of the agent, "host:port".
            report: Its first report.
            priors: What others of its accelerator kind cost.
            is_warm: Whether it has worked before this process knew it.
            clock: Monotonic time, s.
        """
        self._agent = agent
        self._clock = clock
        self._report = report
        self._priors = priors or priors_lib.Priors()
        self._priors.note(report)
        self._prefixes = prefixes.PrefixMemory()
        self._since = clock() - (SLOW_START_S if is_warm else 0.0)
        self._pending: set[str] = set()
        self._released = 0
        self._unreported_tokens = 0
        self._failures = 0
        self._failed_at = 0.0
        self._ejected_until = 0.0
        self._used_at = clock()

    def __repr__(self) -> str:
        """Shows the backend server and its load."""
        return (
            f"<BackendView {self.key} {self._report.sequences} sequences, "
            f"{self.slots_free} free>"
        )

    @property
    def agent(self) -> str:
        """Address of the agent, "host:port"."""
        return self._agent

    @property
    def key(self) -> str:
        """Identifier of the backend server in the fleet."""
        return f"{self._agent}/{self._report.backend}"

    @property
    def report(self) -> messages.BackendReport:
        """The latest report."""
        return self._report

    @property
    def step_ms(self) -> float:
        """Duration of a decode step, ms; 0 when nothing is known."""
        own = self._report.step_ms
        if own and not self._is_stale:
            return own
        prior = self._priors.find(self._report)
        if prior is None:
            return own
        if own:
            # A slow spell may be over; nobody would know without a try.
            return min(own, prior.step_ms)
        return prior.step_ms

    @property
    def is_untried(self) -> bool:
        """Whether it is idle and was never measured itself."""
        return not self._report.step_ms and not self.sequences

    @property
    def _is_stale(self) -> bool:
        return self._clock() - self._used_at > _STALE_S

    @property
    def is_measured(self) -> bool:
        """Whether its speed is known, if only from others of its kind."""
        return self.step_ms > 0

    @property
    def token_ms(self) -> float:
        """Additional duration per prompt token, ms; 0 when not known."""
        if self._report.token_ms:
            return self._report.token_ms
        prior = self._priors.find(self._report)
        return prior.token_ms if prior else 0.0

    @property
    def prefixes(self) -> prefixes.PrefixMemory:
        """The prompt prefixes that were sent to it lately."""
        return self._prefixes

    @property
    def slots_free(self) -> int:
        """Slots that are left after own work since the report."""
        free = self._report.slots_free - len(self._pending) + self._released
        if self.step_ms:
            return free
        # Its speed shows with the first steps; until then it is only probed.
        return min(free, _PROBE_SEQUENCES - self.sequences)

    @property
    def sequences(self) -> int:
        """Sequences held, with own work since the report."""
        held = self._report.sequences + len(self._pending) - self._released
        return max(held, 0)

    @property
    def queued_tokens(self) -> int:
        """Tokens that wait for a step, with own work since the report."""
        queued = self._report.queued_tokens + self._unreported_tokens
        return max(queued, 0)

    @property
    def is_ejected(self) -> bool:
        """Whether it gets no work for a while because of failures."""
        return self._clock() < self._ejected_until

    @property
    def is_usable(self) -> bool:
        """Whether it may get new work."""
        return self._report.healthy and not self.is_ejected

    @property
    def warmth(self) -> float:
        """How far a new or returned backend server is warmed up, 0 to 1."""
        age = self._clock() - self._since
        return min(max(age / SLOW_START_S, 0.0), 1.0)

    def note_report(self, report: messages.BackendReport) -> None:
        """Takes a newer report, which contains the work known until then."""
        returned = report.healthy and not self._report.healthy
        if returned or report.model != self._report.model:
            self._since = self._clock()
        self._report = report
        self._priors.note(report)
        if report.sequences:
            self._used_at = self._clock()
        self._released = 0
        self._unreported_tokens = 0

    def note_asked(self, request_id: str, *, tokens: int) -> None:
        """Counts an admission whose answer is not known yet."""
        self._pending.add(request_id)
        self._used_at = self._clock()
        self._unreported_tokens += tokens

    def note_answered(
        self, request_id: str, report: messages.BackendReport | None
    ) -> None:
        """Takes the answer to an admission, or its absence."""
        self._pending.discard(request_id)
        if report is not None:
            tokens = self._unreported_tokens
            self.note_report(report)
            # The report is from before the prompts arrive.
            self._unreported_tokens = tokens

    def note_prefilled(self, *, tokens: int) -> None:
        """Takes out the prompt of a request that has its first token."""
        self._unreported_tokens -= tokens

    def note_released(self) -> None:
        """Counts a sequence that the entry has ended."""
        self._released += 1

    def note_success(self) -> None:
        """Forgets failures after an answer."""
        if self._clock() - self._failed_at > _FORGIVENESS_S:
            self._failures = 0

    def eject(self) -> float:
        """Ejects it for a time that doubles with repeated failures.

        Returns:
            The duration of the ejection, s.
        """
        duration = min(_BASE_EJECTION_S * 2**self._failures, _MAX_EJECTION_S)
        self._failures = min(self._failures + 1, 10)
        now = self._clock()
        self._failed_at = now
        self._ejected_until = now + duration
        self._since = now + duration
        return duration
