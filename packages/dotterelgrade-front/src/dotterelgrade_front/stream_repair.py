"""Finds the faulty stages of a stream and reroutes it around them.

When a stage of a chain crashes or stalls, all streams through it fall silent
together. The stages are queried for the fault; the request is rerouted while
the links between failure domains have capacity.
"""

from collections.abc import Collection, Iterable
import time

from dotterelgrade import suspect_state
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_state
from dotterelgrade_front import request_quarantine
from dotterelgrade_front import stall_detector
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_pace
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import link_budget
from dotterelgrade_routing import platform_port

# A rerouted stream continues once its new stages have processed all tokens so
# far; until then, reports that lag still name the stage that it left.
REROUTE_GRACE_S = 0.7
# Several backend servers may crash together while only one is known faulty.
_MAX_REROUTES = 4


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
        self._reroute_ordered_at = float("-inf")
        self._recorded_wait: frozenset[str] | None = None

    def __repr__(self) -> str:
        """Shows the request."""
        return f"<StreamRepair {self._call.request_id}>"

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

    def exclude_faulty(self, addresses: Collection[str]) -> None:
        """Excludes the stages that stall the stream.

        One that sends no reply is only suspected: it may be a sound one that
        is silent for a moment, and its layers may have no other holder. The
        planner confirms it if it misses polls, too.

        Args:
            addresses: `IP:PORT` of the stages.
        """
        for address in addresses:
            self.exclude(
                address,
                reason="stalls streams",
                firm=not self._detector.is_silent(address),
            )

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

    def note_dead_stages(
        self, attempt: stream_attempt.StreamAttempt, addresses: Iterable[str]
    ) -> None:
        """Puts stages that are not there down to what was asked, too.

        The last stage writes the answer: if it crashes, the connection to the
        first one stays.

        Args:
            attempt: The attempt that waits for them.
            addresses: `IP:PORT` of stages that may have crashed.
        """
        proven = attempt.received >= request_quarantine.PROOF_EVENTS
        for address in addresses:
            server = self._state.fleet.by_address(address)
            if server is not None and self._detector.is_down(address):
                self._state.quarantine.note_found_dead(
                    self._call,
                    suspect_state.ServerProcess(
                        server_id=server.id, started_ms=server.started_ms
                    ),
                    sent_at=attempt.sent_at,
                    proven=proven,
                )

    @property
    def may_repeat(self) -> bool:
        """Whether the request may go on at further backend servers."""
        begun = self._pace.events > 0
        return self._state.quarantine.may_repeat(self._call, begun=begun)

    def reroute(
        self, chain: chain_choice.Chain, faulty: Collection[str]
    ) -> chain_choice.Chain | None:
        """Reroutes the running request around faulty backend servers.

        Args:
            chain: Its present chain.
            faulty: Addresses of the backend servers to avoid.

        Returns:
            The new chain, or None if the request can't be rerouted. An order
            without an answer may still take effect, so that no other one
            follows it at once.
        """
        if chain.first.address in faulty:
            return None
        if time.monotonic() - self._reroute_ordered_at < REROUTE_GRACE_S:
            return None
        for _ in range(_MAX_REROUTES):
            other = self._alternative_chain(chain)
            if other is None:
                return None
            answer = self._order_reroute(chain, other, faulty)
            if answer.moved:
                self._reroutes += 1
                self._state.rank_admission.note_moved(
                    self._call, tokens=self._tokens
                )
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
        self._reroute_ordered_at = time.monotonic()
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

    def record_wait(self, *, silent_s: float, faulty: Collection[str]) -> None:
        """Records that a silent attempt is awaited, once for each diagnosis.

        Args:
            silent_s: Time since the last event, s.
            faulty: Addresses of stages that are known to be faulty.
        """
        diagnosis = frozenset(faulty)
        if diagnosis == self._recorded_wait:
            return
        self._recorded_wait = diagnosis
        self._state.decisions.record(
            "stall_awaited",
            reason="no other attempt is possible",
            request_id=self._call.request_id,
            silent_s=round(silent_s, 3),
            faulty=sorted(diagnosis),
            repeatable=self.repeatable,
            servers=len(self._call.sent_to),
            retries_left=round(
                self._state.retry_budget_for(self._call.service.name).left, 1
            ),
            events=self._pace.events,
            left_s=round(self._call.remaining_s, 3),
        )

    @property
    def repeatable(self) -> bool:
        """Whether the request may run at a second backend server."""
        return self._call.route.repeatable

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
