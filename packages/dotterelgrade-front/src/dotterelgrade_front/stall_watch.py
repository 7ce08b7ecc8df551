"""Finds out which backend servers hold up a stream."""

from collections.abc import Iterable
import dataclasses
import time

import gevent

from dotterelgrade_front import front_state
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import stall_diagnosis

# One answer serves all streams that wait for the same stages.
_ANSWER_VALID_S = 0.1
# Answers within a region take milliseconds.
_WAIT_FOR_ANSWERS_S = 0.03
# A stage that has not answered for so long is silent. One that is only slow to
# answer keeps its work; the bound on pauses leaves no more time to find out.
_SILENT_S = 0.25
_MOST_REMEMBERED = 512


@dataclasses.dataclass(kw_only=True)
class _Question:
    """The last question to one stage.

    Attributes:
        asked_at: Monotonic time, s.
        answer: Waits for the answer.
        report: The last report, also of an earlier question, or None.
        reply: How the stage answered, or AWAITED.
    """

    asked_at: float
    answer: gevent.Greenlet | None = None
    report: backend_server.EngineReport | None = None
    reply: stall_diagnosis.Reply = stall_diagnosis.Reply.AWAITED

    def reply_at(self, now: float) -> stall_diagnosis.Reply:
        """Returns how the stage has answered by now."""
        awaited = self.reply is stall_diagnosis.Reply.AWAITED
        if awaited and now - self.asked_at >= _SILENT_S:
            return stall_diagnosis.Reply.SILENT
        return self.reply


class StallWatch:
    """Asks the stages of silent streams for their reports."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the watch.

        Args:
            state: Shared by the front's greenlets.
        """
        self._state = state
        self._asked: dict[str, _Question] = {}

    def __repr__(self) -> str:
        """Shows how many questions are remembered."""
        return f"<StallWatch {len(self._asked)} questions>"

    def culprits(
        self, *, request_id: str, stages: Iterable[chain_choice.Stage]
    ) -> tuple[str, ...]:
        """Returns the addresses of those that hold a request up.

        Args:
            request_id: The request.
            stages: The stages of its chain, the first one first.

        Returns:
            The addresses; empty when nobody is known to be at fault.
        """
        addresses = [s.address for s in stages if self._may_ask(s.server_id)]
        questions = {address: self._ask(address) for address in addresses}
        self._wait_for(questions.values())
        now = time.monotonic()
        found = stall_diagnosis.at_fault(
            {a: question.reply_at(now) for a, question in questions.items()}
        )
        first = questions.get(next(iter(addresses), ""))
        if found or first is None or first.report is None:
            return found
        named = first.report.stalled.get(request_id, "")
        return (named,) if named else ()

    def report(self, address: str) -> backend_server.EngineReport | None:
        """Returns the state of an engine, or None if it does not answer."""
        question = self._ask(address)
        if question.answer is not None:
            question.answer.join()
        answered = question.reply is stall_diagnosis.Reply.ANSWERED
        return question.report if answered else None

    def _may_ask(self, server_id: str) -> bool:
        server = self._state.fleet.get(server_id)
        return server is None or not self._state.notices.is_held_off(server)

    def _ask(self, address: str) -> _Question:
        """Returns a question that is under way, just answered, or new."""
        now = time.monotonic()
        known = self._asked.get(address)
        if known is not None:
            if not known.answer.ready():
                return known
            if now - known.asked_at < _ANSWER_VALID_S:
                return known
        if len(self._asked) >= _MOST_REMEMBERED:
            self._asked.clear()
        question = _Question(asked_at=now)
        self._asked[address] = question
        question.answer = gevent.spawn(self._ask_one, address, question)
        return question

    def _ask_one(self, address: str, question: _Question) -> None:
        replies = stall_diagnosis.Reply
        try:
            question.report = self._state.platform.engines.report(address)
            question.reply = replies.ANSWERED
        except platform_port.EngineDownError:
            question.reply = replies.DOWN
        except platform_port.EngineUnreachableError:
            question.reply = replies.SILENT
        except platform_port.EngineFullError as error:
            question.reply = replies.ANSWERED
            self._note_full(address, error)

    def _wait_for(self, questions: Iterable[_Question]) -> None:
        pending = [q.answer for q in questions if not q.answer.ready()]
        if pending:
            gevent.joinall(pending, timeout=_WAIT_FOR_ANSWERS_S)

    def _note_full(
        self, address: str, error: platform_port.EngineFullError
    ) -> None:
        server = self._state.fleet.by_address(address)
        if server is not None:
            self._state.notices.note_holdoff(server, error.retry_after)
