"""Weighted fair queueing of requests that wait for capacity."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import time

from gevent import event

_RATE_MEMORY_S = 2.0
_CREDIBLE_BACKLOG_S = 0.3
_LOWEST_RATE_PER_S = 0.1
_MAX_IDLE_FLOWS = 1_000


@dataclasses.dataclass(order=True)
class Waiter:
    """A request in the queue; the earliest deadline comes first.

    Attributes:
        deadline: Monotonic time of the bound on the first token, s.
        number: Order of arrival, for equal deadlines.
        workspace: Workspace of the request.
        cost: Work that the request stands for, in tokens.
        turn: Set when the request may try, again after each change.
    """

    deadline: float
    number: int
    workspace: str = dataclasses.field(compare=False)
    cost: float = dataclasses.field(compare=False)
    turn: event.Event = dataclasses.field(
        compare=False, default_factory=event.Event, repr=False
    )


class _Flow:
    """The waiting requests of one workspace, and the work it was given."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.finish = 0.0
        self.waiters: list[Waiter] = []
        self.waiting_cost = 0.0


class FairQueue:
    """Start-time fair queueing over workspaces, by deadline within each.

    Work is counted in tokens. A workspace's virtual finish time moves on with
    the work it was given divided by its weight; whose is lowest is next.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes an empty queue.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._flows: dict[str, _Flow] = {}
        self._virtual = 0.0
        self._numbers = itertools.count()
        self._waiting = 0
        self._backlog_s = 0.0
        self._backlog_served = 0.0
        self._advanced_at = clock()

    def __repr__(self) -> str:
        """Shows how many requests wait."""
        return f"<FairQueue {self._waiting} waiting>"

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return self._waiting

    def dump(self) -> dict[str, int]:
        """Returns how many requests wait by workspace."""
        return {
            name: len(flow.waiters)
            for name, flow in self._flows.items()
            if flow.waiters
        }

    def _flow(self, workspace: str, weight: float) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            self._forget_idle()
            flow = self._flows[workspace] = _Flow(weight)
        flow.weight = weight
        return flow

    def _forget_idle(self) -> None:
        if len(self._flows) < _MAX_IDLE_FLOWS:
            return
        for name, flow in list(self._flows.items()):
            if not flow.waiters and flow.finish <= self._virtual:
                del self._flows[name]

    def _start_tag(self, flow: _Flow) -> float:
        return max(self._virtual, flow.finish)

    def join(
        self, workspace: str, *, weight: float, cost: float, deadline: float
    ) -> Waiter:
        """Adds a request.

        Args:
            workspace: Workspace of the request.
            weight: Share of the workspace, relative to the others.
            cost: Work that the request stands for, in tokens.
            deadline: Monotonic time of the bound on the first token, s.

        Returns:
            The request's place.
        """
        waiter = Waiter(
            deadline=deadline,
            number=next(self._numbers),
            workspace=workspace,
            cost=cost,
        )
        self._advance()
        flow = self._flow(workspace, weight)
        heapq.heappush(flow.waiters, waiter)
        flow.waiting_cost += cost
        self._waiting += 1
        return waiter

    def leave(self, waiter: Waiter, *, served: bool) -> None:
        """Removes a request, and lets the next one try.

        Args:
            waiter: The request's place.
            served: Whether it was admitted.
        """
        self._advance()
        flow = self._flows[waiter.workspace]
        flow.waiters.remove(waiter)
        heapq.heapify(flow.waiters)
        flow.waiting_cost -= waiter.cost
        self._waiting -= 1
        if served:
            self._backlog_served += 1
            self._note_served(flow, waiter.cost)
        self.wake()

    def pass_by(self, workspace: str, *, weight: float, cost: float) -> None:
        """Counts a request that was admitted without waiting."""
        self._note_served(self._flow(workspace, weight), cost)

    def _note_served(self, flow: _Flow, cost: float) -> None:
        start = self._start_tag(flow)
        self._virtual = max(self._virtual, start)
        flow.finish = start + cost / flow.weight

    def _advance(self) -> None:
        """Counts the time with a backlog; only then the rate is a capacity."""
        now = self._clock()
        elapsed = now - self._advanced_at
        self._advanced_at = now
        kept = math.exp(-elapsed / _RATE_MEMORY_S)
        self._backlog_served *= kept
        self._backlog_s *= kept
        if self._waiting:
            self._backlog_s += elapsed

    def head(self) -> Waiter | None:
        """Returns the request that is next, or None."""
        flows = [flow for flow in self._flows.values() if flow.waiters]
        if not flows:
            return None
        flow = min(flows, key=lambda f: (self._start_tag(f), f.waiters[0]))
        return flow.waiters[0]

    def wake(self) -> None:
        """Lets the next request try, since capacity may be free."""
        waiter = self.head()
        if waiter is not None:
            waiter.turn.set()

    def expected_wait_s(self, workspace: str, *, weight: float) -> float:
        """Returns how long a new request of a workspace is likely to wait, s.

        Args:
            workspace: Workspace of the request.
            weight: Share of the workspace.

        Returns:
            The requests before it over the recent rate of admissions from
            the queue; 0 as long as that is not known.
        """
        self._advance()
        if self._backlog_s < _CREDIBLE_BACKLOG_S:
            return 0.0
        own = self._flows.get(workspace) or _Flow(weight)
        before = len(own.waiters)
        tag = self._start_tag(own) + own.waiting_cost / weight
        for flow in self._flows.values():
            if flow is not own:
                before += _before(flow, tag - self._start_tag(flow))
        rate_per_s = self._backlog_served / self._backlog_s
        return before / max(rate_per_s, _LOWEST_RATE_PER_S)


def _before(flow: _Flow, tag_distance: float) -> int:
    """Returns how many requests of a flow are served before a tag."""
    if not flow.waiters or tag_distance <= 0:
        return 0
    mean_cost = flow.waiting_cost / len(flow.waiters)
    count = math.ceil(tag_distance * flow.weight / mean_cost)
    return min(count, len(flow.waiters))
