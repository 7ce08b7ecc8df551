"""Keeps whole replicas of the model on the backend servers.

Runs on one front at a time. Reads engines' reports, decides with
`placement.plan`, and sends orders that an engine accepts only if it has
accepted no other one since its report.
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
# Each report has a price; engines with an order in progress are asked sooner.
_REPORT_EVERY_S = 1.5
_BUSY_REPORT_EVERY_S = 0.3
# An engine that did not answer so often in a row is left out of the plan.
_SILENT_REPORTS = 2
# Fronts report whom they exclude a few times in this time.
_SUSPECTED_S = 1.0
# An order that shows no effect after this time is sent anew.
_ORDER_LASTS_S = 3.0
_MOST_CALLS_AT_ONCE = 64
# Engines that are slow to answer must not hold up orders to the others.
_WAIT_FOR_CALLS_S = 0.1
# An engine that refused an order, such as one that leaves, gets no other one
# for this time.
_REFUSED_ORDER_S = 3.0


@dataclasses.dataclass(kw_only=True)
class Watched:
    """What the planner knows of one engine.

    Attributes:
        report: Its last report, or None.
        asked_at: Monotonic time of the last question, s.
        misses: Questions in a row without an answer.
        known_at: Monotonic time at which it was first seen, s.
        wanted: The range of the last order, or None.
        ordered_at: Monotonic time of the last order, s.
        refused_at: Monotonic time of the last order that it refused, s.
        asking: Whether a question is on its way.
        suspected_at: Monotonic time at which a front last left it out, s.
    """

    report: backend_server.EngineReport | None = None
    asked_at: float = float("-inf")
    misses: int = 0
    known_at: float = dataclasses.field(default_factory=time.monotonic)
    wanted: layer_range.LayerRange | None = None
    ordered_at: float = float("-inf")
    refused_at: float = float("-inf")
    asking: bool = False
    suspected_at: float = float("-inf")

    @property
    def silent(self) -> bool:
        """Whether it did not answer lately.

        One miss is enough if a front has found it at fault as well.
        """
        suspected = time.monotonic() - self.suspected_at < _SUSPECTED_S
        return self.misses >= (1 if suspected else _SILENT_REPORTS)

    def order_pending(self, *, now: float) -> bool:
        """Returns whether an order may still take effect."""
        if self.wanted is None:
            return False
        if self.report is not None and self.report.layers == self.wanted:
            return False
        loading = self.report is not None and self.report.loading
        return loading or now - self.ordered_at < _ORDER_LASTS_S

    def movable(self, *, now: float) -> bool:
        """Returns whether it can take an order now."""
        if self.order_pending(now=now) or self.report.loading:
            return False
        return now - self.refused_at >= _REFUSED_ORDER_S


class Planner:
    """Watches the engines and gives them orders."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes a planner that knows no engine yet.

        Args:
            state: Shared by the front's greenlets.
        """
        self._state = state
        self._watched: dict[tuple[str, int], Watched] = {}
        self._pool = pool.Pool(_MOST_CALLS_AT_ONCE)
        self._policy = placement_policies.make_policy(state.settings.placement)
        self._suspects: set[str] = set()
        self._held: dict[str, dict[str, layer_range.LayerRange]] = {}
        self._risks: dict[str, plan_risk.PlanRisk] = {}

    def __repr__(self) -> str:
        """Shows how many engines are watched."""
        return f"<Planner {len(self._watched)} engines>"

    def suspect(self, server_ids: list[str]) -> None:
        """Has engines asked at once that a front excludes."""
        self._suspects.update(server_ids)

    def watched(self, server: backend_server.BackendServer) -> Watched | None:
        """Returns what is known of an engine."""
        return self._watched.get(server.incarnation)

    @property
    def silent_share(self) -> float:
        """Share of the engines that do not answer."""
        silent = sum(seen.silent for seen in self._watched.values())
        return silent / max(len(self._watched), 1)

    def tick(self, *, refusing: Collection[str] = ()) -> None:
        """Asks for the reports that are due, then orders what is missing.

        Args:
            refusing: Backend servers that refuse though they report room.
        """
        known = self._state.configuration
        if known is None:
            return
        self._forget_gone()
        for service in known.model_services:
            members = [
                server
                for server in self._state.fleet.servers
                if server.service == service.name
            ]
            self._ask(members)
            self._order(service, members, refusing)

    def _forget_gone(self) -> None:
        known = {server.incarnation for server in self._state.fleet.servers}
        for key in [k for k in self._watched if k not in known]:
            del self._watched[key]

    def _ask(self, members: list[backend_server.BackendServer]) -> None:
        now = time.monotonic()
        self._suspects |= self._state.trust.excluded_ids(now=now)
        due = []
        for server in members:
            seen = self._watched.setdefault(server.incarnation, Watched())
            every_s = _REPORT_EVERY_S
            urgent = seen.order_pending(now=now) or 0 < seen.misses < 4
            suspected = server.id in self._suspects
            if suspected:
                seen.suspected_at = now
            if urgent or suspected:
                every_s = _BUSY_REPORT_EVERY_S
            if self._state.notices.held_off(server):
                continue
            if now - seen.asked_at >= every_s and not seen.asking:
                seen.asked_at = now
                seen.asking = True
                due.append(self._pool.spawn(self._ask_one, server, seen))
        self._suspects.clear()
        gevent.joinall(due, timeout=_WAIT_FOR_CALLS_S)

    def _ask_one(
        self, server: backend_server.BackendServer, seen: Watched
    ) -> None:
        state = self._state
        was_silent = seen.silent
        try:
            report = state.platform.engines.report(server.address)
        except platform_port.EngineUnreachableError as error:
            seen.misses += 1
            if seen.silent and not was_silent:
                state.note_failure(server.id, reason=f"silent: {error}")
            return
        except platform_port.EngineFullError as error:
            state.notices.note_holdoff(server, error.retry_after)
            return
        finally:
            seen.asking = False
        seen.misses = 0
        seen.report = report
        if report.started_ms != server.started_ms:
            # Another incarnation than the list knows; the list will show it.
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

    def _order(
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
        self._watch_risk(service, candidates)
        orders = placement.plan(
            service.engine,
            placement.staying(candidates, refusing=refusing),
            shares=self._policy,
        )
        jobs = []
        for order in orders:
            server = by_id[order.server_id]
            seen = self._watched[server.incarnation]
            seen.wanted = order.layers
            seen.ordered_at = time.monotonic()
            jobs.append(self._pool.spawn(self._order_one, server, order, seen))
        gevent.joinall(jobs, timeout=_WAIT_FOR_CALLS_S)

    def _watch_risk(
        self,
        service: configuration.Service,
        candidates: Sequence[placement_policies.Candidate],
    ) -> None:
        """Records when layers begin or cease to hang on one engine."""
        held = {c.server_id: c.layers for c in candidates if c.layers}
        if not held or held == self._held.get(service.name):
            return
        self._held[service.name] = held
        risk = plan_risk.assess(service.engine, held)
        if risk == self._risks.get(service.name):
            return
        self._risks[service.name] = risk
        self._state.decisions.record(
            "layers_at_risk",
            reason="every layer is held twice"
            if risk.none
            else "layers with one holder or none",
            service=service.name,
            engines=len(held),
            missing=[repr(layers) for layers in risk.missing],
            hanging={
                server_id: [repr(layers) for layers in alone]
                for server_id, alone in risk.hanging.items()
            },
        )

    def _candidate(
        self,
        service: configuration.Service,
        server: backend_server.BackendServer,
    ) -> placement_policies.Candidate | None:
        seen = self._watched.get(server.incarnation)
        kind = service.engine.accelerator(server.accelerator)
        if seen is None or seen.report is None or kind is None:
            return None
        if seen.silent or not server.ready:
            return None
        now = time.monotonic()
        pending = seen.order_pending(now=now)
        return placement_policies.Candidate(
            server_id=server.id,
            failure_domain=server.failure_domain,
            accelerator=kind,
            layers=seen.wanted if pending else seen.report.layers,
            movable=seen.movable(now=now)
            and not self._state.notices.held_off(server),
            known_s=now - seen.known_at,
        )

    def _order_one(
        self,
        server: backend_server.BackendServer,
        order: placement.Placement,
        seen: Watched,
    ) -> None:
        before = seen.report
        outcome = self._state.platform.engines.place(
            server.address, layers=order.layers, orders=before.orders
        )
        if outcome in (
            platform_port.OrderOutcome.CONFLICT,
            platform_port.OrderOutcome.REFUSED,
        ):
            seen.wanted = None
            seen.asked_at = float("-inf")
        if outcome is platform_port.OrderOutcome.REFUSED:
            seen.refused_at = time.monotonic()
        self._state.decisions.record(
            "layers_ordered",
            reason=order.reason,
            server=server.id,
            layers=repr(order.layers),
            orders=before.orders,
            report_age_s=round(seen.ordered_at - seen.asked_at, 2),
            outcome=outcome.value,
        )
