"""Load of a service in one failure domain, and the time expected there."""

import dataclasses
import math

from dotterelgrade_routing import admission


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainLoad:
    """Figures of a service in one failure domain, from one snapshot.

    Attributes:
        failure_domain: Its name.
        service_s: Duration of a request at the best option without load, s.
        utilization: Used share of that option's memory or slots.
        capacity: Memory or slots in the domain, in one unit for all domains.
        crossing_s: Time that a request needs to get there and back, s.
        usable: Whether requests from the home domain may be sent there.
        exponent: Power of 1 / (free share) with which the duration grows.
    """

    failure_domain: str
    service_s: float
    utilization: float
    capacity: float
    crossing_s: float = 0.0
    usable: bool = True
    exponent: float = admission.UTILIZATION_EXPONENT

    @property
    def used(self) -> float:
        """Memory or slots in use."""
        return self.utilization * self.capacity

    @property
    def expected_s(self) -> float:
        """Expected duration of a request there, with the crossing, s."""
        return self.expected_with(self.used)

    @property
    def is_valid(self) -> bool:
        """Whether all figures are finite and not negative."""
        figures = (
            self.service_s,
            self.utilization,
            self.capacity,
            self.crossing_s,
        )
        return self.capacity > 0 and all(
            math.isfinite(figure) and figure >= 0 for figure in figures
        )

    def expected_with(self, used: float) -> float:
        """Returns the expected duration if so much were in use, s.

        Args:
            used: Memory or slots in use.
        """
        free_share = max(1.0 - used / self.capacity, admission.MIN_FREE_SHARE)
        return self.service_s / free_share**self.exponent + self.crossing_s

    def without(self, used: float) -> "DomainLoad":
        """Returns the load if so much less were in use.

        Args:
            used: Memory or slots; negative if more would be in use.
        """
        rest = max(self.used - used, 0.0)
        return dataclasses.replace(self, utilization=rest / self.capacity)
