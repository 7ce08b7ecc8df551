"""Which engines the planner polls now.

Load pattern: one planner, on half a core, for thousands of engines. Their polls
take more processor time than it has, so its snapshots come late, the other
fronts take it for lost, and the next planner fares no better.
"""

from collections.abc import Sequence
import dataclasses

from dotterelgrade_routing import backend_server

# Processor time of one poll on a whole core, s.
POLL_COST_S = 0.002
# Share of the host's processor that polls may take.
MAX_POLL_SHARE = 0.4
# Polls at once, for example of all engines after an election.
MAX_BURST = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class DuePoll:
    """An engine whose report is due.

    Attributes:
        server: The engine.
        polled_at: Monotonic time of the last poll, s.
        suspected: Whether a front excludes it.
    """

    server: backend_server.BackendServer
    polled_at: float
    suspected: bool


class PollSchedule:
    """Chooses among the engines that are due, within a rate."""

    def __init__(self, *, cores: float) -> None:
        """Initializes a schedule that allows a full burst.

        Args:
            cores: CPU limit of the process, cores.
        """
        self._polls_per_s = MAX_POLL_SHARE * cores / POLL_COST_S
        self._allowed = float(MAX_BURST)
        self._refilled_at: float | None = None

    def __repr__(self) -> str:
        """Shows the rate."""
        return f"<PollSchedule {self._polls_per_s:.0f} polls/s>"

    def choose(
        self, due: Sequence[DuePoll], *, most: int, now: float
    ) -> list[DuePoll]:
        """Returns the engines to poll now.

        Suspected ones come first, then those that were polled longest ago.

        Args:
            due: The engines whose reports are due.
            most: The most that can be polled at once.
            now: Monotonic time, s.
        """
        self._refill(now)
        ordered = sorted(due, key=lambda d: (not d.suspected, d.polled_at))
        chosen = ordered[: min(most, int(self._allowed))]
        self._allowed -= len(chosen)
        return chosen

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * self._polls_per_s
            self._allowed = min(self._allowed + earned, float(MAX_BURST))
        self._refilled_at = now
