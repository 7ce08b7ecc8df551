"""Continues an answer after stages of its chain were lost."""

from collections.abc import Callable
import time

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_entry import chain_admission
from dotterelgrade_entry import chain_link
from dotterelgrade_entry import pipeline_tools
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import request as request_lib

_MAX_REPAIRS = 20
_SEARCH_PAUSE_S = 0.1
_PROBE_PAUSE_S = 0.15


class Repair:
    """Replaces lost stages of one request, or starts a new attempt.

    The stages that are left keep their caches: they are moved to the next
    attempt, and the stage before a new one sends it all its outputs again.
    """

    def __init__(
        self,
        request: request_lib.Request,
        *,
        link: chain_link.ChainLink,
        admission: chain_admission.ChainAdmission,
        tools: pipeline_tools.Tools,
        begin: Callable[[planner_lib.Chain], None],
    ) -> None:
        """Initializes a repair without any replaced stage.

        Args:
            request: The request.
            link: The frames to and from its agents.
            admission: Plans and admits its chains.
            tools: What pipelines share.
            begin: Sends the whole step to a newly admitted chain.
        """
        self._request = request
        self._link = link
        self._admission = admission
        self._tools = tools
        self._begin = begin
        self._repairs = 0

    def __repr__(self) -> str:
        """Shows the request and how often it was repaired."""
        return f"<Repair of {self._request!r}, {self._repairs} so far>"

    @property
    def _timeout_s(self) -> float:
        limit = self._tools.settings.admit_timeout_s
        return limit + self._tools.fleet.own_delay_s

    def examine_stall(self) -> None:
        """Finds the stage that delays the answer, if any, and replaces it."""
        first = self._link.probe(timeout_s=self._timeout_s)
        gevent.sleep(_PROBE_PAUSE_S)
        second = self._link.probe(timeout_s=self._timeout_s)
        moved = second.is_complete and _positions(first) != _positions(second)
        if self._link.tokens or moved:
            self._link.note_progress()
            return
        dead = set(second.missing) | set(second.refused)
        if not dead:
            dead = {_stuck_stage(_positions(second), self._request)}
        for index in dead:
            self._admission.blame(self._link.stages[index], "no progress")
        self.repair(dead, reason="no progress")

    def repair(self, dead: set[int], *, reason: str) -> None:
        """Replaces lost stages, or starts a new attempt without them.

        Args:
            dead: Indexes of the lost stages.
            reason: Why they count as lost.

        Raises:
            errors.DotterelgradeError: INTERRUPTED, when there is no chain for
                longer than the settings allow.
        """
        ends_at = time.monotonic() + self._tools.settings.give_up_s
        self._admission.record(
            "stage_lost",
            reason=reason,
            stages=[self._link.stages[index].key for index in sorted(dead)],
            emitted=len(self._request.emitted),
        )
        self._admission.avoid_only(
            {self._link.stages[index].key for index in dead}
        )
        if self._replace_all(dead):
            self._link.note_progress()
            return
        if self._link.stages:
            self._link.release(cancelled=True)
        while not self._restart():
            if time.monotonic() >= ends_at or self._repairs > _MAX_REPAIRS:
                raise errors.new_exception(
                    errors.ErrorKind.INTERRUPTED,
                    f"stages were lost and not replaced: {reason}",
                )
            self._tools.fleet.changed.wait(_SEARCH_PAUSE_S)

    def _restart(self) -> bool:
        planned = self._admission.plan()
        if isinstance(planned, result.Failure):
            # A stage that failed before is used again if it answers and there
            # is no other.
            self._admission.avoid_only(set())
            return False
        chain = planned.unwrap()
        if isinstance(self._admission.admit(chain), result.Failure):
            return False
        self._admission.record(
            "attempt_started",
            reason="stages could not be replaced one by one",
            attempt=self._request.attempt,
            emitted=len(self._request.emitted),
        )
        self._begin(chain)
        return True

    def _replace_all(self, dead: set[int]) -> bool:
        """Replaces lost stages, including those lost during the repair."""
        lost = set(dead)
        while len(lost) < len(self._link.stages):
            self._repairs += 1
            if self._repairs > _MAX_REPAIRS:
                return False
            stages = self._admission.plan_replacements(lost)
            if stages is None:
                return False
            replies = self._rejoin(stages, lost)
            if replies.is_complete:
                return self._resume(lost, replies)
            self._admission.note_unwilling(replies)
            lost |= replies.missing | set(replies.refused)
        return False

    def _rejoin(
        self, stages: list[planner_lib.Stage], lost: set[int]
    ) -> chain_link.Replies:
        self._request.begin_attempt()
        self._leave_behind(lost)
        self._link.adopt(stages, self._mutes(lost, len(stages)))
        return self._link.admit(lost, timeout_s=self._timeout_s)

    def _leave_behind(self, dead: set[int]) -> None:
        release = messages.Release(
            request_id=self._request.request_id,
            attempt=self._request.attempt - 1,
            cancelled=True,
        )
        kept = {
            stage.peer
            for index, stage in enumerate(self._link.stages)
            if index not in dead
        }
        for index in dead:
            peer = self._link.stages[index].peer
            if peer not in kept:
                peer.send(release)

    def _mutes(self, dead: set[int], count: int) -> list[int]:
        # A new stage that follows another new stage needs a replay of all
        # positions.
        current = self._request.current_step().position
        return [
            0 if index in dead and index + 1 in dead else current
            for index in range(count)
        ]

    def _resume(self, dead: set[int], replies: chain_link.Replies) -> bool:
        sources = {index - 1 for index in dead if index} - dead
        reason = self._why_not_replayable(sources, replies)
        if reason:
            self._admission.record("replay_impossible", reason=reason)
            return False
        if sources and not self._link.replay(
            sources, timeout_s=self._timeout_s
        ):
            return False
        if 0 in dead:
            for step in self._request.rebuild_steps():
                self._link.send_step(step)
        self._link.send_step(self._request.current_step())
        self._admission.record(
            "stage_replaced",
            reason="the other stages keep their caches",
            attempt=self._request.attempt,
            stages=[self._link.stages[index].key for index in sorted(dead)],
            replayed_from=sorted(sources),
        )
        return True

    def _why_not_replayable(
        self, sources: set[int], replies: chain_link.Replies
    ) -> str:
        current = self._request.current_step().position
        for index, answer in replies.accepted.items():
            if not isinstance(answer, messages.Rewired):
                continue
            if answer.next_position < current:
                # This stage was being replaced when the next one was lost.
                return "a surviving stage has not run all positions"
            if index in sources and not answer.replayable:
                return "outputs are not all buffered"
        return ""


def _positions(replies: chain_link.Replies) -> list[int]:
    return [
        reply.next_position if isinstance(reply, messages.Rewired) else 0
        for _, reply in sorted(replies.accepted.items())
    ]


def _stuck_stage(positions: list[int], request: request_lib.Request) -> int:
    upstream = request.next_position
    for index, position in enumerate(positions):
        if position < upstream:
            return index
        upstream = position
    return len(positions) - 1
