import dataclasses
import math
import random

import gevent

from dotterelgrade import messages

PROMPT = "a b c"
_ODD_NUMBERS = (-1, 0, 1, 7, 2**40)
_ODD_FLOATS = (0.0, -1.0, math.inf, math.nan, 1e300)


class OddAgent:
    """Answers admissions with checked frames that make no sense."""

    def __init__(self, seed):
        self._random = random.Random(seed)

    def _number(self):
        return self._random.choice(_ODD_NUMBERS)

    def _float(self):
        return self._random.choice(_ODD_FLOATS)

    def _report(self, agent):
        return dataclasses.replace(
            agent.report,
            slots_free=self._random.choice((-5, 1, 16)),
            sequences=self._number(),
            queued_tokens=self._number(),
            step_ms=self._float(),
            token_ms=self._float(),
            sequence_ms=self._float(),
        )

    def _frames(self, agent, frame):
        name = self._random.choice((frame.request_id, "another", ""))
        ids = {"request_id": name, "attempt": self._number()}
        stage = {"stage": self._number()}
        report = self._report(agent)
        token = messages.Token(
            **ids, position=self._number(), token=self._number()
        )
        return [
            messages.Admitted(**ids, **stage, report=report),
            agent.admitted(frame),
            messages.Refused(
                request_id=frame.request_id,
                attempt=frame.attempt,
                stage=frame.stage,
                kind=self._random.choice(("no_capacity", "bad_request")),
                message="odd",
                retry_after_ms=self._float(),
                report=report,
            ),
            messages.Rewired(
                **ids, **stage, next_position=self._number(), replayable=True
            ),
            messages.StageFailed(
                **ids, **stage, kind="engine_failed", message="odd"
            ),
            messages.Tokens(tokens=(token, token)),
            messages.Pong(sequence=self._number()),
            messages.CallReply(
                request_id=name, status=self._number(), headers={}, body=b""
            ),
            messages.Report(
                state=messages.ProcessState.READY,
                contract_offset=self._number(),
                backends=(report,),
                links={"": self._float(), "127.0.0.1:7400": self._float()},
            ),
            messages.Records(records=(), covers=self._number()),
            messages.RecordsWanted(after_offset=self._number()),
        ]

    def __call__(self, agent, connection, frame):
        if isinstance(frame, messages.Admit):
            frames = self._frames(agent, frame)
            self._random.shuffle(frames)
            for odd in frames[: self._random.randrange(1, len(frames))]:
                connection.send(odd)


def test_odd_frames_of_agents_leave_every_request_answered(cell, helpers):
    for seed in range(3):
        cell.start_fake_agent(0, 8, OddAgent(seed))
    entry = cell.start_entry(
        admit_timeout_s=0.05,
        give_up_s=0.2,
        stall_limit_s=0.1,
        request_timeout_s=1.0,
    )
    cell.wait_for(entry, engines=1)
    answers = [
        gevent.spawn(cell.complete, entry, f"{PROMPT} {number}", max_tokens=3)
        for number in range(60)
    ]
    gevent.joinall(answers, timeout=60)
    for answer in answers:
        assert answer.value.status != 200
        assert answer.value.error["kind"] != "internal"
    state = entry.dump()
    assert state["requests"] == []
    assert state["workspaces"] == {}
    # Real agents among the odd ones still serve.
    cell.hosts.entries.clear()
    for peer in list(entry.fleet.peers.values()):
        entry.fleet.suspect(peer, "test")
    for first in (0, 3, 6):
        cell.start_agent(first, first + 2)

    def is_served():
        answer = cell.complete(entry, PROMPT, max_tokens=3)
        return answer.status == 200 and helpers.text_of(
            answer
        ) == helpers.expected_text(PROMPT, max_tokens=3)

    helpers.wait_until(is_served, timeout_s=30)


def test_late_frames_are_counted_and_dropped(chain, helpers):
    answer = chain.complete(chain.entry, PROMPT)
    assert answer.status == 200
    peer = next(iter(chain.entry.fleet.peers.values()))
    before = chain.entry.dump()["late_frames"]
    request_id = answer.json()["id"].removeprefix("cmpl-")
    token = messages.Token(
        request_id=request_id, attempt=1, position=11, token=1
    )
    chain.entry._exchange.on_frame(peer, messages.Tokens(tokens=(token,)))
    assert chain.entry.dump()["late_frames"] == before + 1
