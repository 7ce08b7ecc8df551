"""The planner's state of one engine."""

import dataclasses
import time

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range

# Consecutive missed polls after which an engine is left out of the plan.
_MAX_MISSED_POLLS = 2
# Fronts repeat their exclusions several times within this time.
_SUSPICION_TTL_S = 1.0
# An order without effect after this time is planned again.
_ORDER_TIMEOUT_S = 3.0
# An engine that refused an order, such as a leaving one, gets no other in this
# time.
_REFUSED_ORDER_BACKOFF_S = 3.0


@dataclasses.dataclass(kw_only=True)
class TrackedEngine:
    """The planner's state of one engine.

    Attributes:
        report: Its last report, or None.
        polled_at: Monotonic time of the last poll, s.
        missed_polls: Consecutive polls without an answer.
        first_seen_at: Monotonic time at which it was first seen, s.
        ordered_layers: The layers of the last order, or None.
        ordered_at: Monotonic time of the last order, s.
        order_refused_at: Monotonic time of the last refused order, s.
        poll_in_flight: Whether a poll is in flight.
        suspected_at: Monotonic time at which a front last excluded it, s.
    """

    report: backend_server.EngineReport | None = None
    polled_at: float = float("-inf")
    missed_polls: int = 0
    first_seen_at: float = dataclasses.field(default_factory=time.monotonic)
    ordered_layers: layer_range.LayerRange | None = None
    ordered_at: float = float("-inf")
    order_refused_at: float = float("-inf")
    poll_in_flight: bool = False
    suspected_at: float = float("-inf")

    @property
    def silent(self) -> bool:
        """Whether it missed its latest polls.

        One missed poll is enough if a front excludes it as well.
        """
        suspected = time.monotonic() - self.suspected_at < _SUSPICION_TTL_S
        return self.missed_polls >= (1 if suspected else _MAX_MISSED_POLLS)

    @property
    def untouched(self) -> bool:
        """Whether it has been neither polled nor sent an order."""
        return self.polled_at == self.ordered_at == float("-inf")

    @property
    def loading(self) -> bool:
        """Whether it reported an order in progress."""
        return self.report is not None and self.report.loading

    def order_pending(self, *, now: float) -> bool:
        """Returns whether an order may still take effect."""
        if self.ordered_layers is None:
            return False
        if (
            self.report is not None
            and self.report.layers == self.ordered_layers
        ):
            return False
        if self.loading or now - self.ordered_at < _ORDER_TIMEOUT_S:
            return True
        return self.polled_at <= self.ordered_at

    def can_take_order(self, *, now: float) -> bool:
        """Returns whether it can be sent an order now."""
        if self.order_pending(now=now) or self.loading:
            return False
        return now - self.order_refused_at >= _REFUSED_ORDER_BACKOFF_S
