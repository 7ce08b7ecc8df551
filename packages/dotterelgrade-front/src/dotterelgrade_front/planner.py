"""Keeps whole replicas of each model on the engines.

Runs on one front at a time. Polls the engines' reports, decides with
`placement.plan`, and sends orders by compare-and-set: an engine accepts one
only if it has accepted no other since its report.
"""

from collections.abc import Collection, Sequence
import dataclasses
import time

import gevent
from gevent import pool

from dotterelgrade_front import front_state
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement
from dotterelgrade_routing import placement_policies
from dotterelgrade_routing import plan_risk
from dotterelgrade_routing import platform_port

TICK_S = 0.2
# Each report has a cost; engines with an order in progress are polled faster.
_POLL_INTERVAL_S = 1.5
_FAST_POLL_INTERVAL_S = 0.3
# Consecutive missed polls after which an engine is left out of the plan.
_MAX_MISSED_POLLS = 2
# Fronts repeat their exclusions several times within this time.
_SUSPICION_TTL_S = 1.0
# An order without effect after this time is planned again.
_ORDER_TIMEOUT_S = 3.0
_MAX_CONCURRENT_CALLS = 64
# Engines that respond slowly must not delay orders to the others.
_MAX_CALL_WAIT_S = 0.1
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

    def order_pending(self, *, now: float) -> bool:
        """Returns whether an order may still take effect."""
        if self.ordered_layers is None:
            return False
        if (
            self.report is not None
            and self.report.layers == self.ordered_layers
        ):
            return False
        loading = self.report is not None and self.report.loading
        return loading or now - self.ordered_at < _ORDER_TIMEOUT_S

    def can_take_order(self, *, now: float) -> bool:
        """Returns whether it can be sent an order now."""
        if self.order_pending(now=now) or self.report.loading:
            return False
        return now - self.order_refused_at >= _REFUSED_ORDER_BACKOFF_S


class Planner:
    """Polls the engines and orders their layers."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes a planner that tracks no engine yet.

        Args:
            state: State shared by the front's greenlets.
        """
        self._state = state
        self._tracked: dict[tuple[str, int], TrackedEngine] = {}
        self._pool = pool.Pool(_MAX_CONCURRENT_CALLS)
        self._policy = placement_policies.POLICIES.make(
            state.settings.placement
        )
        self._suspected_ids: set[str] = set()
        self._held_layers: dict[str, dict[str, layer_range.LayerRange]] = {}
        self._risks: dict[str, plan_risk.PlanRisk] = {}

    def __repr__(self) -> str:
        """Shows how many engines are tracked."""
        return f"<Planner {len(self._tracked)} engines>"

    def add_suspects(self, server_ids: list[str]) -> None:
        """Polls engines that a front excludes at the next tick."""
        self._suspected_ids.update(server_ids)

    def tracked_engine(
        self, server: backend_server.BackendServer
    ) -> TrackedEngine | None:
        """Returns the state of an engine."""
        return self._tracked.get(server.incarnation)

    @property
    def silent_share(self) -> float:
        """Share of the engines that missed their latest polls."""
        silent = sum(tracked.silent for tracked in self._tracked.values())
        return silent / max(len(self._tracked), 1)

    def tick(self, *, refusing: Collection[str] = ()) -> None:
        """Polls the reports that are due, then orders missing layers.

        Args:
            refusing: Backend servers that refuse requests though they report
                free memory.
        """
        current = self._state.configuration
        if current is None:
            return
        self._drop_removed_engines()
        for service in current.model_services:
            members = [
                server
                for server in self._state.fleet.servers
                if server.service == service.name
            ]
            self._poll_engines(members)
            self._order_layers(service, members, refusing)

    def _drop_removed_engines(self) -> None:
        listed = {server.incarnation for server in self._state.fleet.servers}
        for key in [k for k in self._tracked if k not in listed]:
            del self._tracked[key]

    def _poll_engines(
        self, members: list[backend_server.BackendServer]
    ) -> None:
        now = time.monotonic()
        self._suspected_ids |= self._state.exclusions.excluded_ids(now=now)
        polls = []
        for server in members:
            tracked = self._tracked.setdefault(
                server.incarnation, TrackedEngine()
            )
            interval_s = _POLL_INTERVAL_S
            urgent = (
                tracked.order_pending(now=now) or 0 < tracked.missed_polls < 4
            )
            suspected = server.id in self._suspected_ids
            if suspected:
                tracked.suspected_at = now
            if urgent or suspected:
                interval_s = _FAST_POLL_INTERVAL_S
            if self._state.notices.is_held_off(server):
                continue
            if (
                now - tracked.polled_at >= interval_s
                and not tracked.poll_in_flight
            ):
                tracked.polled_at = now
                tracked.poll_in_flight = True
                polls.append(
                    self._pool.spawn(self._poll_engine, server, tracked)
                )
        self._suspected_ids.clear()
        gevent.joinall(polls, timeout=_MAX_CALL_WAIT_S)

    def _poll_engine(
        self, server: backend_server.BackendServer, tracked: TrackedEngine
    ) -> None:
        state = self._state
        was_silent = tracked.silent
        try:
            report = state.platform.engines.report(server.address)
        except platform_port.EngineUnreachableError as error:
            tracked.missed_polls += 1
            if tracked.silent and not was_silent:
                state.note_failure(server.id, reason=f"missed polls: {error}")
            return
        except platform_port.EngineFullError as error:
            state.notices.note_holdoff(server, error.retry_after)
            return
        finally:
            tracked.poll_in_flight = False
        tracked.missed_polls = 0
        tracked.report = report
        if report.started_ms != server.started_ms:
            # Not the incarnation in the list of backend servers, which will
            # show the new one.
            return
        if state.note_report(server.id, report):
            state.decisions.record(
                "engine_changed",
                reason="report",
                server=server.id,
                layers=repr(report.layers),
                slowness=round(report.slowness, 2),
                loading=report.loading,
            )

    def _order_layers(
        self,
        service: configuration.Service,
        members: list[backend_server.BackendServer],
        refusing: Collection[str],
    ) -> None:
        candidates = []
        by_id = {}
        for server in members:
            candidate = self._candidate(service, server)
            if candidate is not None:
                candidates.append(candidate)
                by_id[server.id] = server
        self._record_risk_change(service, candidates)
        orders = placement.plan(
            service.engine,
            placement.exclude_refusing(candidates, refusing=refusing),
            policy=self._policy,
        )
        sends = []
        for order in orders:
            server = by_id[order.server_id]
            tracked = self._tracked[server.incarnation]
            tracked.ordered_layers = order.layers
            tracked.ordered_at = time.monotonic()
            sends.append(
                self._pool.spawn(self._send_order, server, order, tracked)
            )
        gevent.joinall(sends, timeout=_MAX_CALL_WAIT_S)

    def _record_risk_change(
        self,
        service: configuration.Service,
        candidates: Sequence[placement_policies.Candidate],
    ) -> None:
        """Records a change of the layers that have at most one holder."""
        held = {c.server_id: c.layers for c in candidates if c.layers}
        if not held or held == self._held_layers.get(service.name):
            return
        self._held_layers[service.name] = held
        risk = plan_risk.assess(service.engine, held)
        if risk == self._risks.get(service.name):
            return
        self._risks[service.name] = risk
        self._state.decisions.record(
            "layers_at_risk",
            reason="every layer has at least two holders"
            if risk.is_empty
            else "layers with one holder or none",
            service=service.name,
            engines=len(held),
            missing=[repr(layers) for layers in risk.missing],
            single_holder={
                server_id: [repr(layers) for layers in alone]
                for server_id, alone in risk.single_holder.items()
            },
        )

    def _candidate(
        self,
        service: configuration.Service,
        server: backend_server.BackendServer,
    ) -> placement_policies.Candidate | None:
        tracked = self._tracked.get(server.incarnation)
        accelerator = service.engine.accelerator(server.accelerator)
        if tracked is None or tracked.report is None or accelerator is None:
            return None
        if tracked.silent or not server.ready:
            return None
        now = time.monotonic()
        pending = tracked.order_pending(now=now)
        return placement_policies.Candidate(
            server_id=server.id,
            failure_domain=server.failure_domain,
            accelerator=accelerator,
            layers=tracked.ordered_layers if pending else tracked.report.layers,
            movable=tracked.can_take_order(now=now)
            and not self._state.notices.is_held_off(server),
            known_s=now - tracked.first_seen_at,
        )

    def _send_order(
        self,
        server: backend_server.BackendServer,
        order: placement.Placement,
        tracked: TrackedEngine,
    ) -> None:
        report = tracked.report
        outcome = self._state.platform.engines.place(
            server.address, layers=order.layers, orders=report.orders
        )
        if outcome in (
            platform_port.OrderOutcome.CONFLICT,
            platform_port.OrderOutcome.REFUSED,
        ):
            tracked.ordered_layers = None
            tracked.polled_at = float("-inf")
        if outcome is platform_port.OrderOutcome.REFUSED:
            tracked.order_refused_at = time.monotonic()
        self._state.decisions.record(
            "layers_ordered",
            reason=order.reason,
            server=server.id,
            layers=repr(order.layers),
            orders=report.orders,
            report_age_s=round(tracked.ordered_at - tracked.polled_at, 2),
            outcome=outcome.value,
        )
