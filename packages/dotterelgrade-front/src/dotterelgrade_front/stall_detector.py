"""Detects which backend servers stall a stream."""

from collections.abc import Iterable
import dataclasses
import time

import gevent

from dotterelgrade_front import front_state
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import silence_bounds
from dotterelgrade_routing import stall_diagnosis

# A reply is shared by all streams that wait for the same stage.
_REPLY_VALID_S = 0.1
# Replies within a region take milliseconds.
_REPLY_WAIT_S = 0.03
# A stream that recovers meanwhile must not wait longer for a diagnosis.
_LONGEST_WAIT_S = 0.15
# Pause between two looks at the replies that are missing.
_MISSING_REPLY_POLL_S = 0.01
_MAX_QUERIES = 512


@dataclasses.dataclass(kw_only=True)
class _Query:
    """The last status query to one stage.

    Attributes:
        sent_at: Monotonic time, s.
        greenlet: Runs the query.
        report: The report that the stage returned, or None.
        reply: How the stage replied, or AWAITED.
    """

    sent_at: float
    greenlet: gevent.Greenlet | None = None
    report: backend_server.EngineReport | None = None
    reply: stall_diagnosis.ProbeResult = stall_diagnosis.ProbeResult.AWAITED

    def reply_at(
        self, now: float, *, bound_s: float
    ) -> stall_diagnosis.ProbeResult:
        """Returns how the stage has replied by a given time.

        Args:
            now: Monotonic time, s.
            bound_s: Silence after which it counts as unreachable, s.
        """
        awaited = self.reply is stall_diagnosis.ProbeResult.AWAITED
        if awaited and now - self.sent_at >= bound_s:
            return stall_diagnosis.ProbeResult.SILENT
        return self.reply


class StallDetector:
    """Queries the stages of silent streams for their status reports."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the detector.

        Args:
            state: Shared by the front's greenlets.
        """
        self._state = state
        self._queries: dict[str, _Query] = {}
        self._bound = silence_bounds.BOUNDS.make(state.settings.silence_bound)

    def __repr__(self) -> str:
        """Shows the number of stored queries."""
        return f"<StallDetector {len(self._queries)} queries>"

    def find_faulty_stages(
        self, *, request_id: str, stages: Iterable[chain_choice.Stage]
    ) -> tuple[str, ...]:
        """Returns the addresses of the backend servers that stall a request.

        Args:
            request_id: The request.
            stages: The stages of its chain, in order.

        Returns:
            The addresses; empty when none is known to be at fault.
        """
        addresses = [s.address for s in stages if self._may_query(s.server_id)]
        queries = {address: self._query(address) for address in addresses}
        faulty = self._await_diagnosis(queries)
        first = queries.get(next(iter(addresses), ""))
        if faulty or first is None or first.report is None:
            return faulty
        reported = first.report.stalled.get(request_id, "")
        return (reported,) if reported else ()

    def _await_diagnosis(self, queries: dict[str, _Query]) -> tuple[str, ...]:
        """Waits for the replies, and as long as a missing one is not silent.

        The rest of the stages must have replied by then, else nothing is known
        about the missing ones.
        """
        self._wait_for_replies(queries.values())
        while True:
            now = time.monotonic()
            bound_s = self._bound.bound_s
            replies = {
                address: query.reply_at(now, bound_s=bound_s)
                for address, query in queries.items()
            }
            faulty = stall_diagnosis.faulty_stages(replies)
            if faulty or not stall_diagnosis.is_conclusive_soon(replies):
                return faulty
            if bound_s > _LONGEST_WAIT_S:
                return faulty
            gevent.sleep(_MISSING_REPLY_POLL_S)

    def is_down(self, address: str) -> bool:
        """Returns whether a stage's host refused the last query.

        Args:
            address: `IP:PORT` of the stage.
        """
        query = self._queries.get(address)
        return (
            query is not None
            and query.reply is stall_diagnosis.ProbeResult.DOWN
        )

    def is_silent(self, address: str) -> bool:
        """Returns whether a stage has not replied to the last query.

        Args:
            address: `IP:PORT` of the stage.
        """
        replies = stall_diagnosis.ProbeResult
        query = self._queries.get(address)
        return query is not None and query.reply in (
            replies.AWAITED,
            replies.SILENT,
        )

    def report(self, address: str) -> backend_server.EngineReport | None:
        """Returns an engine's report, or None if it does not reply."""
        query = self._query(address)
        if query.greenlet is not None:
            query.greenlet.join()
        replied = query.reply is stall_diagnosis.ProbeResult.ANSWERED
        return query.report if replied else None

    def _may_query(self, server_id: str) -> bool:
        server = self._state.fleet.get(server_id)
        return server is None or not self._state.notices.is_held_off(server)

    def _query(self, address: str) -> _Query:
        """Returns the pending or recent query to a stage, or a new one."""
        now = time.monotonic()
        known = self._queries.get(address)
        if known is not None:
            if not known.greenlet.ready():
                return known
            if now - known.sent_at < _REPLY_VALID_S:
                return known
        if len(self._queries) >= _MAX_QUERIES:
            self._queries.clear()
        query = _Query(sent_at=now)
        self._queries[address] = query
        query.greenlet = gevent.spawn(self._run_query, address, query)
        return query

    def _run_query(self, address: str, query: _Query) -> None:
        replies = stall_diagnosis.ProbeResult
        try:
            query.report = self._state.platform.engines.report(address)
            query.reply = replies.ANSWERED
            self._bound.note_reply(time.monotonic() - query.sent_at)
        except platform_port.EngineDownError:
            query.reply = replies.DOWN
        except platform_port.EngineUnreachableError:
            query.reply = replies.SILENT
        except platform_port.EngineFullError as error:
            query.reply = replies.ANSWERED
            self._note_holdoff(address, error)

    def _wait_for_replies(self, queries: Iterable[_Query]) -> None:
        pending = [q.greenlet for q in queries if not q.greenlet.ready()]
        if pending:
            gevent.joinall(pending, timeout=_REPLY_WAIT_S)

    def _note_holdoff(
        self, address: str, error: platform_port.EngineFullError
    ) -> None:
        server = self._state.fleet.by_address(address)
        if server is not None:
            self._state.notices.note_holdoff(server, error.retry_after)
