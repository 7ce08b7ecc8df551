"""Looks into silent streams and moves them around stages at fault.

Load pattern: a stage of a chain dies or stalls, and all streams through it fall
silent together. Who is at fault is asked of the first stage; the request is
moved while the links between failure domains bear it, else it is given up in
time to go on elsewhere.
"""

from collections.abc import Callable, Collection
import time
from typing import TypeVar

from dotterelgrade import http_connection
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_state
from dotterelgrade_front import stall_watch
from dotterelgrade_front import stream_pace
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import link_budget
from dotterelgrade_routing import platform_port

# Silence after which the stages are asked, at the latest and, of a stream with
# steady events, at the soonest; who goes on elsewhere soon after keeps within
# the usual bound on pauses.
_SUSPICIOUS_SILENCE_S = 0.15
_SHORTEST_SILENCE_S = 0.05
# In multiples of the stream's mean time between events. Each question has a
# price, and busy stages make a pause of twice the mean now and then.
SUSPICIOUS_PAUSES = 2.5
# A moved stream goes on when its new stages have read all tokens so far;
# reports that lag still name the stage that it has left.
_MOVED_SILENCE_S = 0.7
# A group may have crashed of which only one member is known to be at fault.
_MOST_MOVES = 4
# Callers leave after about two seconds without an event.
LONGEST_SILENCE_S = 1.5

_Heard = TypeVar("_Heard")


class StreamRepair:
    """What can be done for one model request whose chain is in trouble."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        call: call_lib.Call,
        stalls: stall_watch.StallWatch,
        tokens: float,
        pace: stream_pace.StreamPace,
    ) -> None:
        """Initializes the repair of one request.

        Args:
            state: Shared by the front's greenlets.
            call: The call.
            stalls: Finds out who holds a stream up.
            tokens: Tokens that the request holds at most.
            pace: The events that were passed on.
        """
        self._state = state
        self._call = call
        self._stalls = stalls
        self._tokens = tokens
        self._pace = pace
        self._moves = 0

    def __repr__(self) -> str:
        """Shows the request."""
        return f"<StreamRepair {self._call.request_id}>"

    def waits(self, chain: chain_choice.Chain) -> "Waits":
        """Returns what waits for the answer of a chain."""
        return Waits(self, chain)

    @property
    def moves(self) -> int:
        """How often the running request was moved to other stages."""
        return self._moves

    @property
    def until(self) -> float:
        """Monotonic time after which nobody waits, s."""
        return self._call.until

    def affords(
        self,
        chain: chain_choice.Chain,
        *,
        tokens: float,
    ) -> bool:
        """Returns whether the links between domains bear a chain."""
        bits = self._crossing_bits(chain, tokens)
        return not bits or self._links.affords(bits)

    def note_crossings(
        self, chain: chain_choice.Chain, *, tokens: float
    ) -> None:
        """Counts what a chain sends between failure domains."""
        bits = self._crossing_bits(chain, tokens)
        if bits:
            self._links.spend(bits)

    @property
    def _links(self) -> link_budget.LinkBudget:
        return self._state.link_budget_for(self._call.service)

    def _crossing_bits(self, chain: chain_choice.Chain, tokens: float) -> float:
        return self._call.service.engine.crossing_bits(
            tokens=tokens, crossings=chain.crossings
        )

    def check(self, chain: chain_choice.Chain, address: str) -> None:
        """Asks a backend server that refused a stage what it holds now.

        Args:
            chain: The chain that was refused.
            address: `IP:PORT` of the backend server.
        """
        server = self._state.fleet.by_address(address)
        if server is None or self._state.notices.is_held_off(server):
            # Who is full and said for how long is not asked again.
            return
        report = self._stalls.report(address)
        if report is None:
            self._state.note_failure(server.id, reason="refused, then silent")
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

    def blame(self, address: str, *, reason: str, firm: bool = True) -> None:
        """Leaves the backend server at an address out of choice.

        Args:
            address: `IP:PORT`.
            reason: What it did, in one clause.
            firm: Whether it is known to be at fault.
        """
        server = self._state.fleet.by_address(address)
        if server is not None:
            self._state.note_failure(server.id, reason=reason, firm=firm)

    def reroute(
        self, chain: chain_choice.Chain, culprits: Collection[str]
    ) -> chain_choice.Chain | None:
        """Moves the running request around backend servers at fault.

        Args:
            chain: The chain that it takes.
            culprits: Addresses of the backend servers to avoid.

        Returns:
            The new chain, or None if the request can't be moved.
        """
        if chain.first.address in culprits:
            return None
        for _ in range(_MOST_MOVES):
            other = self._way_around(chain)
            if other is None:
                return None
            answer = self._move(chain, other, culprits)
            if answer.moved:
                self._moves += 1
                return other
            if answer.culprit in ("", chain.first.address):
                return None
            self._pass_over(answer.culprit)
        return None

    def _way_around(
        self, chain: chain_choice.Chain
    ) -> chain_choice.Chain | None:
        """Returns another chain with the same first stage, if links bear it."""
        other = self._state.chains.cheapest_from(
            self._call.service, chain.first
        )
        if other is None or other.stages == chain.stages:
            return None
        # The new stages read all tokens so far.
        return other if self.affords(other, tokens=self._tokens) else None

    def _move(
        self,
        chain: chain_choice.Chain,
        other: chain_choice.Chain,
        culprits: Collection[str],
    ) -> platform_port.RerouteAnswer:
        self.note_crossings(other, tokens=self._tokens)
        answer = self._state.platform.engines.reroute(
            chain.first.address,
            request_id=self._call.request_id,
            stages=other.stages,
        )
        self._state.decisions.record(
            "rerouted",
            reason=f"held up by {', '.join(culprits)}",
            request_id=self._call.request_id,
            outcome=answer.outcome.value,
            refused_by=answer.culprit,
            events=self._pace.events,
        )
        return answer

    def _pass_over(self, address: str) -> None:
        """Passes over a stage that could not take a moved request."""
        server = self._state.fleet.by_address(address)
        if server is not None:
            self._state.note_busy(server.id)

    def culprits(self, chain: chain_choice.Chain) -> tuple[str, ...]:
        """Returns the addresses of those that hold the request up."""
        return self._stalls.culprits(
            request_id=self._call.request_id, stages=chain.stages
        )

    @property
    def resumes_sooner(self) -> bool:
        """Whether the request goes on sooner on a chain of its own.

        A running request that is moved waits for the stages behind the gap; one
        that goes on elsewhere costs a retry and reads its prompt again.
        """
        if not self._call.route.resumable:
            return False
        return self._state.retry_budget_for(self._call.service.name).plentiful

    @property
    def usual_pause_s(self) -> float:
        """Mean time between the events of the stream so far, s, or 0."""
        return self._pace.usual_pause_s


class Waits:
    """Waits for an answer, looks into silence, and gives up in time."""

    def __init__(self, repair: StreamRepair, chain: chain_choice.Chain) -> None:
        """Initializes the waits for one try.

        Args:
            repair: What can be done for the request.
            chain: The chain that it takes.
        """
        self._repair = repair
        self._chain = chain
        self._progress_at = time.monotonic()
        self._look_at = self._progress_at + _SUSPICIOUS_SILENCE_S

    def __repr__(self) -> str:
        """Shows the first stage."""
        return f"<Waits for {self._chain.first.server_id}>"

    def note_progress(self) -> None:
        """Takes in that a whole event has arrived.

        Bytes that are no event are no progress: a stalled backend server may
        send some now and then.
        """
        self._progress_at = time.monotonic()
        self._look_at = self._progress_at + self._suspicious_s

    @property
    def _suspicious_s(self) -> float:
        """Silence after which the stages are asked, s."""
        usual_s = self._repair.usual_pause_s
        if not usual_s:
            return _SUSPICIOUS_SILENCE_S
        silence_s = max(SUSPICIOUS_PAUSES * usual_s, _SHORTEST_SILENCE_S)
        return min(silence_s, _SUSPICIOUS_SILENCE_S)

    def until_heard(self, read: Callable[[float], _Heard]) -> _Heard:
        """Calls a read until it returns, giving up after a long silence.

        Args:
            read: Waits until the monotonic time that it is given.

        Raises:
            upstream.TryFailedError: The backend servers stayed silent.
        """
        while True:
            if time.monotonic() >= self._look_at:
                pause_s = self._look_into(time.monotonic() - self._progress_at)
                self._look_at = time.monotonic() + pause_s
            try:
                return read(min(self._look_at, self._repair.until))
            except http_connection.AnswerTimeoutError as error:
                if time.monotonic() >= self._repair.until:
                    raise upstream.TryFailedError(
                        attempt.Knowledge.UNKNOWN, "out of time"
                    ) from error

    def _look_into(self, silent_s: float) -> float:
        """Finds out who is at fault; returns how long to wait then, s."""
        culprits = self._repair.culprits(self._chain)
        if not culprits:
            if silent_s > LONGEST_SILENCE_S:
                raise upstream.TryFailedError(
                    attempt.Knowledge.UNKNOWN, f"silent for {silent_s:.1f} s"
                )
            return self._suspicious_s
        for culprit in culprits:
            self._repair.blame(culprit, reason="holds streams up")
        other = None
        if not self._repair.resumes_sooner:
            other = self._repair.reroute(self._chain, culprits)
        if other is None:
            raise upstream.TryFailedError(
                attempt.Knowledge.UNKNOWN,
                f"held up for {silent_s:.1f} s",
                culprit=culprits[0],
            )
        self._chain = other
        return _MOVED_SILENCE_S
