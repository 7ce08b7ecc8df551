"""Detects stalled streams and reroutes them around faulty stages.

When a stage of a chain crashes or stalls, all streams through it fall silent
together. The stages are queried for the fault; the request is rerouted while
the links between failure domains have capacity, else the attempt fails in time
to resume on another chain.
"""

from collections.abc import Callable, Collection
import time
from typing import TypeVar

from dotterelgrade import http_connection
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_state
from dotterelgrade_front import stall_detector
from dotterelgrade_front import stream_pace
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import link_budget
from dotterelgrade_routing import platform_port

# Bounds on the silence after which the stages are queried. A stream that
# resumes soon after the upper one stays within the usual bound on pauses.
_MAX_QUERY_DELAY_S = 0.15
_MIN_QUERY_DELAY_S = 0.05
# The same, in multiples of the stream's mean time between events. Queries cost
# load, and busy stages cause pauses of twice the mean now and then.
QUERY_DELAY_FACTOR = 2.0
# A rerouted stream continues once its new stages have processed all tokens so
# far; until then, reports that lag still name the stage that it left.
_REROUTE_GRACE_S = 0.7
# Several backend servers may crash together while only one is known faulty.
_MAX_REROUTES = 4
# Callers disconnect after about two seconds without an event.
MAX_SILENCE_S = 1.5

_Heard = TypeVar("_Heard")


class StreamRepair:
    """Failure handling for the chain of one model request."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        call: call_lib.Call,
        detector: stall_detector.StallDetector,
        tokens: float,
        pace: stream_pace.StreamPace,
    ) -> None:
        """Initializes the repair of one request.

        Args:
            state: Shared by the front's greenlets.
            call: The call.
            detector: Detects which stages stall a stream.
            tokens: Tokens that the request may hold in memory.
            pace: Timing of the events passed on.
        """
        self._state = state
        self._call = call
        self._detector = detector
        self._tokens = tokens
        self._pace = pace
        self._reroutes = 0

    def __repr__(self) -> str:
        """Shows the request."""
        return f"<StreamRepair {self._call.request_id}>"

    def stall_guard(self, chain: chain_choice.Chain) -> "StallGuard":
        """Returns the stall handling for one attempt on a chain."""
        return StallGuard(self, chain)

    @property
    def reroutes(self) -> int:
        """How often the running request was rerouted."""
        return self._reroutes

    @property
    def deadline(self) -> float:
        """Deadline of the request as monotonic time, s."""
        return self._call.deadline

    def has_link_budget(
        self,
        chain: chain_choice.Chain,
        *,
        tokens: float,
    ) -> bool:
        """Returns whether the link budget covers a chain's cross traffic."""
        bits = self._cross_domain_bits(chain, tokens)
        return not bits or self._link_budget.allows(bits)

    def charge_link_budget(
        self, chain: chain_choice.Chain, *, tokens: float
    ) -> None:
        """Charges a chain's traffic between failure domains to the budget."""
        bits = self._cross_domain_bits(chain, tokens)
        if bits:
            self._link_budget.spend(bits)

    @property
    def _link_budget(self) -> link_budget.LinkBudget:
        return self._state.link_budget_for(self._call.service)

    def _cross_domain_bits(
        self, chain: chain_choice.Chain, tokens: float
    ) -> float:
        return self._call.service.engine.crossing_bits(
            tokens=tokens, crossings=chain.crossings
        )

    def check_refusal(self, chain: chain_choice.Chain, address: str) -> None:
        """Checks a refusal against the backend server's own status report.

        Args:
            chain: The refused chain.
            address: `IP:PORT` of the backend server.
        """
        server = self._state.fleet.by_address(address)
        if server is None or self._state.notices.is_held_off(server):
            # A full server that gave a `Retry-After` needs no query.
            return
        report = self._detector.report(address)
        if report is None:
            self._state.note_failure(
                server.id, reason="refused, then sent no report"
            )
            return
        self._state.note_report(server.id, report)
        explained = [
            report.explains_refusal(
                stage.layers, tokens=self._tokens, slots=server.slots
            )
            for stage in chain.stages
            if stage.address == address
        ]
        if all(explained):
            self._state.note_busy(server.id)
        else:
            self._state.note_refusal(server.id)

    def exclude(self, address: str, *, reason: str, firm: bool = True) -> None:
        """Excludes the backend server at an address for a while.

        Args:
            address: `IP:PORT`.
            reason: The failure, in one clause.
            firm: Whether it is known to be at fault, not only suspected.
        """
        server = self._state.fleet.by_address(address)
        if server is not None:
            self._state.note_failure(server.id, reason=reason, confirmed=firm)

    def reroute(
        self, chain: chain_choice.Chain, faulty: Collection[str]
    ) -> chain_choice.Chain | None:
        """Reroutes the running request around faulty backend servers.

        Args:
            chain: Its present chain.
            faulty: Addresses of the backend servers to avoid.

        Returns:
            The new chain, or None if the request can't be rerouted.
        """
        if chain.first.address in faulty:
            return None
        for _ in range(_MAX_REROUTES):
            other = self._alternative_chain(chain)
            if other is None:
                return None
            answer = self._order_reroute(chain, other, faulty)
            if answer.moved:
                self._reroutes += 1
                return other
            if answer.faulty_address in ("", chain.first.address):
                return None
            self._mark_busy(answer.faulty_address)
        return None

    def _alternative_chain(
        self, chain: chain_choice.Chain
    ) -> chain_choice.Chain | None:
        """Returns another affordable chain with the same first stage."""
        other = self._state.chains.cheapest_from(
            self._call.service, chain.first
        )
        if other is None or other.stages == chain.stages:
            return None
        # The new stages process all tokens so far again.
        return (
            other if self.has_link_budget(other, tokens=self._tokens) else None
        )

    def _order_reroute(
        self,
        chain: chain_choice.Chain,
        other: chain_choice.Chain,
        faulty: Collection[str],
    ) -> platform_port.RerouteAnswer:
        self.charge_link_budget(other, tokens=self._tokens)
        answer = self._state.platform.engines.reroute(
            chain.first.address,
            request_id=self._call.request_id,
            stages=other.stages,
        )
        self._state.decisions.record(
            "rerouted",
            reason=f"stalled by {', '.join(faulty)}",
            request_id=self._call.request_id,
            outcome=answer.outcome.value,
            refused_by=answer.faulty_address,
            events=self._pace.events,
        )
        return answer

    def _mark_busy(self, address: str) -> None:
        """Avoids a stage that could not take a rerouted request."""
        server = self._state.fleet.by_address(address)
        if server is not None:
            self._state.note_busy(server.id)

    def find_faulty_stages(self, chain: chain_choice.Chain) -> tuple[str, ...]:
        """Returns the addresses of the backend servers that stall it."""
        return self._detector.find_faulty_stages(
            request_id=self._call.request_id, stages=chain.stages
        )

    @property
    def prefers_resuming(self) -> bool:
        """Whether resuming on another chain is better than rerouting.

        A rerouted request waits for the stages behind the faulty one. Resuming
        is faster, but costs a retry and processes the whole prompt again.
        """
        if not self._call.route.resumable:
            return False
        return self._state.retry_budget_for(
            self._call.service.name
        ).is_above_half

    @property
    def mean_pause_s(self) -> float:
        """Mean time between events, s; 0 while there are too few."""
        return self._pace.mean_pause_s


class StallGuard:
    """Waits for a response and handles stalls of its chain."""

    def __init__(self, repair: StreamRepair, chain: chain_choice.Chain) -> None:
        """Initializes the stall handling for one attempt.

        Args:
            repair: Failure handling of the request.
            chain: The chain of the attempt.
        """
        self._repair = repair
        self._chain = chain
        self._last_progress_at = time.monotonic()
        self._next_query_at = self._last_progress_at + _MAX_QUERY_DELAY_S

    def __repr__(self) -> str:
        """Shows the first backend server of the chain."""
        return f"<StallGuard for {self._chain.first.server_id}>"

    def note_progress(self) -> None:
        """Records that a complete event has arrived.

        Other bytes don't count as progress, since a stalled backend server may
        still send some.
        """
        self._last_progress_at = time.monotonic()
        self._next_query_at = self._last_progress_at + self._query_delay_s

    @property
    def _query_delay_s(self) -> float:
        """Silence after which the stages are queried, s."""
        mean_pause_s = self._repair.mean_pause_s
        if not mean_pause_s:
            return _MAX_QUERY_DELAY_S
        delay_s = max(QUERY_DELAY_FACTOR * mean_pause_s, _MIN_QUERY_DELAY_S)
        return min(delay_s, _MAX_QUERY_DELAY_S)

    def run(self, read: Callable[[float], _Heard]) -> _Heard:
        """Repeats a read until it returns, with stall checks in between.

        Args:
            read: Reads with the given deadline, a monotonic time.

        Raises:
            upstream.AttemptFailedError: The chain stalled or the deadline
                passed.
        """
        while True:
            if time.monotonic() >= self._next_query_at:
                delay_s = self._handle_stall(
                    time.monotonic() - self._last_progress_at
                )
                self._next_query_at = time.monotonic() + delay_s
            try:
                return read(min(self._next_query_at, self._repair.deadline))
            except http_connection.ResponseTimeoutError as error:
                if time.monotonic() >= self._repair.deadline:
                    raise upstream.AttemptFailedError(
                        attempt.ExecutionStatus.UNKNOWN, "deadline exceeded"
                    ) from error

    def _handle_stall(self, silent_s: float) -> float:
        """Queries the stages; returns the delay until the next query, s.

        Raises:
            upstream.AttemptFailedError: The request can't go on with
                this attempt.
        """
        faulty = self._repair.find_faulty_stages(self._chain)
        if not faulty:
            if silent_s > MAX_SILENCE_S:
                raise upstream.AttemptFailedError(
                    attempt.ExecutionStatus.UNKNOWN,
                    f"no event for {silent_s:.1f} s",
                )
            return self._query_delay_s
        for address in faulty:
            self._repair.exclude(address, reason="stalls streams")
        other = None
        if not self._repair.prefers_resuming:
            other = self._repair.reroute(self._chain, faulty)
        if other is None:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN,
                f"stalled for {silent_s:.1f} s",
                faulty_address=faulty[0],
            )
        self._chain = other
        return _REROUTE_GRACE_S
