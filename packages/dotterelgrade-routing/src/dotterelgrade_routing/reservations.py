"""Memory that requests in flight hold at each backend server.

Load pattern: each front serves a part of the callers; without the requests of
the other fronts it would overcommit a backend server's memory. While the totals
of the others are unknown, each is assumed to hold as much as this one. The unit
of reservations is tokens times layers.
"""

from collections.abc import Iterator, Mapping
import contextlib
import dataclasses

from dotterelgrade_routing import chain_choice

# Maximum reports in flight before the totals that contain one arrive.
_MAX_PENDING_REPORTS = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Snapshot of this front's reservations.

    Attributes:
        number: Increases with each report.
        reserved: Reservations by backend server.
    """

    number: int
    reserved: Mapping[str, float]


class Reservations:
    """Reservations of this front, and of the others as last reported."""

    def __init__(self) -> None:
        """Initializes it without reservations."""
        self._own: dict[str, float] = {}
        self._others: Mapping[str, float] = {}
        self._assumed_equal_fronts = 0
        self._in_flight = 0
        self._reports: dict[int, Report] = {}
        self._last_number = 0

    def __repr__(self) -> str:
        """Shows the number of requests in flight."""
        return f"<Reservations {self._in_flight} in flight>"

    @property
    def own(self) -> Mapping[str, float]:
        """Reservations of this front by backend server."""
        return self._own

    @property
    def in_flight(self) -> int:
        """Number of this front's requests in flight."""
        return self._in_flight

    def set_others(self, others: Mapping[str, float]) -> None:
        """Sets the sum of the reservations of all other fronts."""
        self._others = others
        self._assumed_equal_fronts = 0

    def report(self) -> Report:
        """Returns a snapshot of this front's reservations, to be sent."""
        self._last_number += 1
        report = Report(number=self._last_number, reserved=dict(self._own))
        self._reports[report.number] = report
        self._reports.pop(report.number - _MAX_PENDING_REPORTS, None)
        return report

    def set_totals(self, totals: Mapping[str, float], *, counted: int) -> None:
        """Sets the reservations of the other fronts from those of all fronts.

        The totals are the same for all fronts; each subtracts its own part.

        Args:
            totals: Reservations by backend server.
            counted: Number of this front's report that they contain.
        """
        report = self._reports.get(counted)
        own = {} if report is None else report.reserved
        others = ((name, t - own.get(name, 0.0)) for name, t in totals.items())
        self.set_others({name: used for name, used in others if used >= 1.0})

    def assume_others(self, *, fronts: int) -> None:
        """Assumes that each other front holds as much as this one.

        Args:
            fronts: Number of fronts, this one included.
        """
        self._others = {}
        self._assumed_equal_fronts = max(fronts - 1, 0)

    def used(self, server_id: str) -> float:
        """Returns all reservations at a backend server."""
        own = self._own.get(server_id, 0.0)
        return own * (1 + self._assumed_equal_fronts) + self._others.get(
            server_id, 0.0
        )

    @contextlib.contextmanager
    def reserved(
        self, chain: chain_choice.Chain, *, tokens: float
    ) -> Iterator[None]:
        """Reserves memory at every stage of a chain.

        Args:
            chain: The chain.
            tokens: Maximum tokens of the request.
        """
        self._add(chain, tokens)
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._add(chain, -tokens)

    def _add(self, chain: chain_choice.Chain, tokens: float) -> None:
        for stage in chain.stages:
            total = self._own.get(stage.server_id, 0.0)
            total += tokens * len(stage.layers)
            if total < 1.0:
                self._own.pop(stage.server_id, None)
            else:
                self._own[stage.server_id] = total
