"""What each rank and each workspace has been given of one service.

Load pattern: less urgent requests, and those of small workspaces, would get
nothing while others take all that becomes free. One with less than half of its
fair share is admitted whatever its rank, and a workspace above its share is
deferred first.
"""

from collections.abc import Callable
import dataclasses
import time

from dotterelgrade_routing import workspace_shares

# Part of its fair share that a rank or workspace is certain to get.
GUARANTEED_PART = 0.5
# Work is counted in mean requests. One front sees few of them in two seconds,
# so that a single one is no evidence that a workspace presses.
_NEGLIGIBLE = 0.1
_TOLERANCE = 1.0
_MIN_SIZE = 1e-3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ask:
    """A request that asks to be admitted.

    Attributes:
        service: Name of the service.
        rank: Its rank; 0 is the most urgent.
        workspace: Name of its workspace, or empty.
        size: Its tokens, relative to those of a mean request.
        load: Memory that it asks for, tokens times layers.
    """

    service: str
    rank: int
    workspace: str
    size: float
    load: float


class AdmissionShares:
    """Shares of ranks and workspaces in one service."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes shares without work.

        Args:
            clock: Monotonic time, s.
        """
        self._ranks = workspace_shares.Shares(
            negligible=_NEGLIGIBLE, clock=clock
        )
        self._workspaces = workspace_shares.Shares(
            negligible=_NEGLIGIBLE, clock=clock
        )

    def __repr__(self) -> str:
        """Shows the number of ranks and workspaces."""
        return (
            f"<AdmissionShares {len(self._ranks)} ranks, "
            f"{len(self._workspaces)} workspaces>"
        )

    def note_asked(self, ask: Ask) -> None:
        """Marks the rank and the workspace of a request as active."""
        self._ranks.note_asked(str(ask.rank))
        if ask.workspace:
            self._workspaces.note_asked(ask.workspace)

    def note_given(self, ask: Ask) -> None:
        """Counts an admitted request."""
        self._ranks.note(str(ask.rank), weight=1.0, amount=ask.size)
        if ask.workspace:
            self._workspaces.note(ask.workspace, weight=1.0, amount=ask.size)

    def is_over(self, ask: Ask) -> bool:
        """Returns whether the workspace has more than its fair share."""
        return self._workspaces.is_over(ask.workspace, tolerance=_TOLERANCE)

    def guarantee(self, ask: Ask) -> float:
        """Returns the probability with which a request must be admitted.

        One front gives a workspace less than one request in two seconds, so
        that a comparison alone would admit each of its requests. With this
        probability it gets the guaranteed part on average.

        Args:
            ask: The request.

        Returns:
            0 if neither its rank nor its workspace lacks anything.
        """
        lacks = max(
            self._ranks.shortfall(str(ask.rank), part=GUARANTEED_PART),
            self._workspaces.shortfall(ask.workspace, part=GUARANTEED_PART),
        )
        return min(lacks / max(ask.size, _MIN_SIZE), 1.0)
