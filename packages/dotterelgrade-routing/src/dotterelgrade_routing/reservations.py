"""Memory that requests in flight hold at each backend server.

Load pattern: each front sees a part of the callers; without the others'
requests it would fill a backend server beyond its memory. While nobody reports
what the others hold, they are taken to hold as much as this one. Reservations
count tokens times layers.
"""

from collections.abc import Iterator, Mapping
import contextlib
import dataclasses

from dotterelgrade_routing import chain_choice

# Reports that may be on their way before totals that contain one come back.
_KEPT_REPORTS = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Own reservations at one moment.

    Attributes:
        number: Grows with each report.
        reserved: Reservations by backend server.
    """

    number: int
    reserved: Mapping[str, float]


class Reservations:
    """Own reservations, and those of the other fronts as last reported."""

    def __init__(self) -> None:
        """Initializes an empty snapshot."""
        self._own: dict[str, float] = {}
        self._others: Mapping[str, float] = {}
        self._alike = 0
        self._in_flight = 0
        self._reports: dict[int, Report] = {}
        self._last_number = 0

    def __repr__(self) -> str:
        """Shows the number of requests in flight."""
        return f"<Reservations {self._in_flight} in flight>"

    @property
    def own(self) -> Mapping[str, float]:
        """Own reservations by backend server."""
        return self._own

    @property
    def in_flight(self) -> int:
        """Own requests in flight."""
        return self._in_flight

    def set_others(self, others: Mapping[str, float]) -> None:
        """Takes in the reservations of all other fronts together."""
        self._others = others
        self._alike = 0

    def report(self) -> Report:
        """Returns the own reservations as they are now, to be sent."""
        self._last_number += 1
        report = Report(number=self._last_number, reserved=dict(self._own))
        self._reports[report.number] = report
        self._reports.pop(report.number - _KEPT_REPORTS, None)
        return report

    def set_totals(self, totals: Mapping[str, float], *, counted: int) -> None:
        """Takes in the reservations of all fronts together.

        The totals are the same for all fronts; each takes out its own part.

        Args:
            totals: Reservations by backend server.
            counted: Number of the own report that they contain.
        """
        report = self._reports.get(counted)
        own = {} if report is None else report.reserved
        rest = ((name, t - own.get(name, 0.0)) for name, t in totals.items())
        self.set_others({name: left for name, left in rest if left >= 1.0})

    def assume_others(self, *, fronts: int) -> None:
        """Takes in that nobody reports what the others hold.

        Args:
            fronts: How many fronts there are, this one included.
        """
        self._others = {}
        self._alike = max(fronts - 1, 0)

    def used(self, server_id: str) -> float:
        """Returns all reservations at a backend server."""
        own = self._own.get(server_id, 0.0)
        return own * (1 + self._alike) + self._others.get(server_id, 0.0)

    @contextlib.contextmanager
    def reserved(
        self, chain: chain_choice.Chain, *, tokens: float
    ) -> Iterator[None]:
        """Holds a reservation at every stage of a chain.

        Args:
            chain: The chain.
            tokens: Tokens that the request will hold at most.
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
