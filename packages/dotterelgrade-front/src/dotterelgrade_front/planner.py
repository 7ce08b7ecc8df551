"""Keeps whole replicas of each model on the engines.

Runs on one front at a time. Polls the engines' reports, decides with
`placement.plan`, and sends orders by compare-and-set: an engine accepts one
only if it has accepted no other since its report.
"""

import collections
from collections.abc import Collection, Sequence
import dataclasses
import time

import gevent
from gevent import pool

from dotterelgrade_front import front_state
from dotterelgrade_front import tracked_engine as engine_lib
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement
from dotterelgrade_routing import placement_policies
from dotterelgrade_routing import plan_risk
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import poll_schedule

TICK_S = 0.2
# Each report has a cost; engines with an order in progress are polled faster.
_POLL_INTERVAL_S = 1.5
_FAST_POLL_INTERVAL_S = 0.3
_MAX_CONCURRENT_ORDERS = 64
# Engines that respond slowly must not delay orders to the others.
_MAX_CALL_WAIT_S = 0.1
# The other fronts expect a snapshot several times a second, also while orders
# go to thousands of engines.
_MAX_SENDING_S = 0.3
# After a longer pause another front has planned meanwhile.
_MAX_TICK_PAUSE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PlannedOrder:
    """An order that has not been sent.

    Attributes:
        server: The engine.
        order: The layers, with the reason.
    """

    server: backend_server.BackendServer
    order: placement.Placement


class Planner:
    """Polls the engines and orders their layers."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes a planner that tracks no engine yet.

        Args:
            state: State shared by the front's greenlets.
        """
        self._state = state
        self._tracked: dict[tuple[str, int], engine_lib.TrackedEngine] = {}
        self._polls = pool.Pool(poll_schedule.MAX_BURST)
        self._orders = pool.Pool(_MAX_CONCURRENT_ORDERS)
        self._schedule = poll_schedule.PollSchedule(cores=state.settings.cores)
        self._unsent: collections.deque[_PlannedOrder] = collections.deque()
        self._ticked_at = float("-inf")
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
    ) -> engine_lib.TrackedEngine | None:
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
        now = time.monotonic()
        if now - self._ticked_at > _MAX_TICK_PAUSE_S:
            self._unsent.clear()
        self._ticked_at = now
        self._drop_removed_engines()
        for service in current.model_services:
            members = [
                server
                for server in self._state.fleet.servers
                if server.service == service.name
            ]
            self._poll_engines(members)
            if self._unsent:
                self._send_orders()
            else:
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
        due = [
            poll
            for poll in (self._due_poll(server, now) for server in members)
            if poll is not None and (poll.suspected or not self._unsent)
        ]
        self._suspected_ids.clear()
        chosen = self._schedule.choose(
            due, most=self._polls.free_count(), now=now
        )
        polls = []
        for poll in chosen:
            tracked = self._tracked[poll.server.incarnation]
            tracked.polled_at = now
            tracked.poll_in_flight = True
            polls.append(
                self._polls.spawn(self._poll_engine, poll.server, tracked)
            )
        gevent.joinall(polls, timeout=_MAX_CALL_WAIT_S)

    def _due_poll(
        self, server: backend_server.BackendServer, now: float
    ) -> poll_schedule.DuePoll | None:
        """Returns the poll of an engine if its report is due."""
        tracked = self._tracked.setdefault(
            server.incarnation, engine_lib.TrackedEngine()
        )
        suspected = server.id in self._suspected_ids
        if suspected:
            tracked.suspected_at = now
        urgent = tracked.order_pending(now=now) or 0 < tracked.missed_polls < 4
        interval_s = _POLL_INTERVAL_S
        if urgent or suspected:
            interval_s = _FAST_POLL_INTERVAL_S
        if tracked.poll_in_flight or now - tracked.polled_at < interval_s:
            return None
        if self._state.notices.is_held_off(server):
            return None
        return poll_schedule.DuePoll(
            server=server, polled_at=tracked.polled_at, suspected=suspected
        )

    def _poll_engine(
        self,
        server: backend_server.BackendServer,
        tracked: engine_lib.TrackedEngine,
    ) -> None:
        state = self._state
        was_silent = tracked.silent
        try:
            report = state.platform.engines.report(server.address)
            if report.started_ms != server.started_ms:
                # The list will show that process. Until then nothing is known
                # of it, and the listed one is gone.
                raise platform_port.EngineUnreachableError(
                    f"another process answers at {server.address}"
                )
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
        self._unsent.extend(
            _PlannedOrder(server=by_id[order.server_id], order=order)
            for order in orders
        )
        self._send_orders()

    def _send_orders(self) -> None:
        """Sends planned orders, for a while; the next tick sends the rest."""
        ends_at = time.monotonic() + _MAX_SENDING_S
        sends = []
        while self._unsent:
            left_s = ends_at - time.monotonic()
            if left_s <= 0 or not self._orders.wait_available(timeout=left_s):
                break
            planned = self._unsent.popleft()
            tracked = self._tracked.get(planned.server.incarnation)
            if tracked is None:
                continue
            tracked.ordered_layers = planned.order.layers
            tracked.ordered_at = time.monotonic()
            sends.append(
                self._orders.spawn(
                    self._send_order,
                    planned.server,
                    planned.order,
                    tracked,
                )
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
        if tracked is None or accelerator is None:
            return None
        if tracked.silent or not server.ready:
            return None
        now = time.monotonic()
        if tracked.order_pending(now=now):
            layers = tracked.ordered_layers
        elif tracked.report is not None:
            layers = tracked.report.layers
        elif tracked.untouched:
            layers = server.layers
        else:
            return None
        if layers is not None:
            layers = layers.within(service.engine.all_layers())
        # Without a report, only an empty engine is known to have no orders.
        reported = tracked.report is not None or layers is None
        return placement_policies.Candidate(
            server_id=server.id,
            failure_domain=server.failure_domain,
            accelerator=accelerator,
            layers=layers,
            movable=reported
            and tracked.can_take_order(now=now)
            and not self._state.notices.is_held_off(server),
            known_s=now - tracked.first_seen_at,
        )

    def _send_order(
        self,
        server: backend_server.BackendServer,
        order: placement.Placement,
        tracked: engine_lib.TrackedEngine,
    ) -> None:
        report = tracked.report
        orders = 0 if report is None else report.orders
        outcome = self._state.platform.engines.place(
            server.address,
            server_id=server.id,
            layers=order.layers,
            orders=orders,
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
            orders=orders,
            report_age_s=None
            if report is None
            else round(tracked.ordered_at - tracked.polled_at, 2),
            outcome=outcome.value,
        )
