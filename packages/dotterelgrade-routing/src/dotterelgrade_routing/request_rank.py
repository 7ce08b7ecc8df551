"""Order of a service's requests by urgency.

Load pattern: demand exceeds what a service can start. Most workspaces have the
same priority, so that it alone does not order requests: the workspace's
priority decides first, and the route's among equals.
"""

import bisect
from collections.abc import Iterable
import dataclasses

# Less urgent requests share this rank; it is also the last value that engines
# accept.
LAST_RANK = 9


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class PriorityPair:
    """Priorities that decide the rank of a request; 0 is the most urgent.

    Attributes:
        workspace: Priority of the workspace, or of the route if it has none.
        route: Priority of the route.
    """

    workspace: int
    route: int


class ServiceRanks:
    """Dense ranks of the requests to one service."""

    def __init__(self, pairs: Iterable[PriorityPair] = ()) -> None:
        """Initializes the ranks.

        Args:
            pairs: Priorities of all requests that the service may get.
        """
        self._ordered = sorted(set(pairs))
        self._exist = len({pair.route for pair in self._ordered}) > 1

    def __repr__(self) -> str:
        """Shows the number of ranks."""
        return f"<ServiceRanks {len(self._ordered) if self._exist else 0}>"

    @property
    def exist(self) -> bool:
        """Whether the routes have at least two different priorities."""
        return self._exist

    def rank(self, pair: PriorityPair) -> int | None:
        """Returns the rank of a request, or None if there are no ranks.

        Args:
            pair: Its priorities; others than the known ones rank in between.
        """
        if not self._exist:
            return None
        return min(bisect.bisect_left(self._ordered, pair), LAST_RANK)
