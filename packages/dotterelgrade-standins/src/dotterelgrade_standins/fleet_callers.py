"""Callers of a fleet in this process, who tell the oracle what they got."""

import contextlib
import dataclasses
import json
import random

import gevent
from gevent import event
from gevent import socket
import gevent.pool
import uuid6

from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import local_fleet
from dotterelgrade_standins import oracle

ANSWER_LIMIT_S = 40.0
_HTTP_PORT = 8080
_MODEL_SHARE = 0.65
_DEPOSIT_SHARE = 0.85
_TRAFFIC_PAUSE_S = 0.08
_HANG_UP_TOKENS = 50


@dataclasses.dataclass(eq=False, kw_only=True)
class Call:
    """A caller that waits for its answer.

    Attributes:
        entry: Slot of the entry.
        incarnation: The entry's incarnation when the call began.
        is_excused: Whether the caller hung up.
        is_protected: Whether the entry was ordered to leave meanwhile, so that
            the call must end with an answer.
        is_ended: Whether it has ended.
    """

    entry: local_fleet.Member
    incarnation: str
    is_excused: bool = False
    is_protected: bool = False
    is_ended: bool = False

    @property
    def may_break(self) -> bool:
        """Whether it may end without a final answer."""
        if self.is_protected:
            return False
        entry = self.entry
        same = entry.is_running and entry.incarnation == self.incarnation
        return self.is_excused or not same


class FleetCallers:
    """Sends model requests and deposits in greenlets of their own."""

    def __init__(self, judge: oracle.Oracle) -> None:
        """Initializes without calls.

        Args:
            judge: Hears what was sent and what came back.
        """
        self._judge = judge
        self._calls: dict[str, Call] = {}
        self._keys: list[str] = []
        self._greenlets = gevent.pool.Group()
        self._traffic_ended = event.Event()
        self._traffic_ended.set()

    def __repr__(self) -> str:
        """Shows how many calls there were."""
        return f"<FleetCallers {len(self._calls)} calls>"

    def in_flight(self, entry: local_fleet.Member) -> list[Call]:
        """Returns the calls of an entry that have not ended."""
        return [
            call
            for call in self._calls.values()
            if call.entry is entry and not call.is_ended
        ]

    def wait(self) -> bool:
        """Waits until every call has ended; False when one does not."""
        self._traffic_ended.wait()
        return local_fleet.wait_until(
            lambda: all(call.is_ended for call in self._calls.values()),
            timeout_s=ANSWER_LIMIT_S,
        )

    def close(self) -> None:
        """Ends every caller."""
        self._greenlets.kill()

    def start_traffic(
        self, entries: list[local_fleet.Member], *, seed: int, calls: int
    ) -> None:
        """Sends calls of every kind, in a greenlet of its own.

        Args:
            entries: Slots of the entries.
            seed: Seed of the choices.
            calls: Number of calls.
        """
        self._traffic_ended.clear()
        source = random.Random(seed)
        self._greenlets.spawn(self._traffic, entries, source, calls)

    def _traffic(
        self,
        entries: list[local_fleet.Member],
        source: random.Random,
        calls: int,
    ) -> None:
        for _ in range(calls):
            entry = source.choice(entries)
            kind = source.random()
            if kind < _MODEL_SHARE:
                self.complete(
                    entry,
                    words=source.randint(1, 40),
                    max_tokens=source.randint(1, 24),
                    is_streamed=source.random() < 0.5,
                )
            elif kind < _DEPOSIT_SHARE or not self._keys:
                self.deposit(entry, is_keyed=source.random() < 0.8)
            else:
                self._deposit(entry, source.choice(self._keys))
            gevent.sleep(source.uniform(0.0, _TRAFFIC_PAUSE_S))
        self._traffic_ended.set()

    def _begin(self, entry: local_fleet.Member) -> tuple[str, Call]:
        name = f"c{len(self._calls)}"
        call = Call(entry=entry, incarnation=entry.incarnation)
        self._calls[name] = call
        return name, call

    def _end(self, name: str, call: Call, answer: caller_lib.Answer) -> None:
        call.is_ended = True
        if answer.kind:
            self._judge.failed(
                call=name, run=answer.run, request_id=answer.request_id
            )
        elif answer.is_broken:
            self._judge.broken(call=name, excused=call.may_break)

    def complete(
        self,
        entry: local_fleet.Member,
        *,
        words: int,
        max_tokens: int,
        is_streamed: bool,
    ) -> None:
        """Sends a model request.

        Args:
            entry: Slot of the entry.
            words: Words of the prompt, which no other call has.
            max_tokens: The most tokens to generate.
            is_streamed: Whether tokens are streamed.
        """
        name, call = self._begin(entry)
        prompt = " ".join(f"{name}-{number}" for number in range(words))
        self._judge.sent(
            call=name,
            model=local_fleet.MODEL,
            prompt=prompt,
            max_tokens=max_tokens,
        )
        self._greenlets.spawn(
            self._complete, name, call, prompt, max_tokens, is_streamed
        )

    def _complete(
        self,
        name: str,
        call: Call,
        prompt: str,
        max_tokens: int,
        is_streamed: bool,
    ) -> None:
        answer = _caller(call).complete(
            prompt,
            model=local_fleet.MODEL,
            max_tokens=max_tokens,
            stream=is_streamed,
        )
        if answer.is_complete or answer.text:
            self._judge.answered(
                call=name, text=answer.text, complete=answer.is_complete
            )
        self._end(name, call, answer)

    def deposit(self, entry: local_fleet.Member, *, is_keyed: bool) -> None:
        """Makes a deposit, with a new key or without one."""
        key = str(uuid6.uuid7()) if is_keyed else ""
        if key:
            self._keys.append(key)
        self._deposit(entry, key)

    def repeat_deposit(self, entry: local_fleet.Member) -> None:
        """Repeats the latest keyed deposit, if there is one."""
        if self._keys:
            self._deposit(entry, self._keys[-1])

    def _deposit(self, entry: local_fleet.Member, key: str) -> None:
        name, call = self._begin(entry)
        account = key or name
        self._judge.sent(call=name, account=account)
        self._greenlets.spawn(self._send_deposit, name, call, account, key)

    def _send_deposit(
        self, name: str, call: Call, account: str, key: str
    ) -> None:
        answer = _caller(call).call_service(
            "deposits", "deposits", {"account": account}, key=key
        )
        if answer.is_complete:
            self._judge.answered(call=name, account=answer.body["account"])
        self._end(name, call, answer)

    def hang_up(self, entry: local_fleet.Member, *, after_s: float) -> None:
        """Closes a connection in the middle of an answer.

        Args:
            entry: Slot of the entry.
            after_s: Time from the request to the end, s.
        """
        name, call = self._begin(entry)
        call.is_excused = call.is_ended = True
        self._judge.sent(
            call=name,
            model=local_fleet.MODEL,
            prompt=name,
            max_tokens=_HANG_UP_TOKENS,
        )
        self._judge.broken(call=name, excused=True)
        with contextlib.suppress(OSError):
            address = (entry.host, _HTTP_PORT)
            sock = socket.create_connection(address, timeout=1)
            sock.sendall(_streamed_request(name))
            gevent.sleep(after_s)
            sock.close()


def _caller(call: Call) -> caller_lib.Caller:
    return caller_lib.Caller(
        call.entry.host, key=local_fleet.KEY, timeout_s=ANSWER_LIMIT_S
    )


def _streamed_request(prompt: str) -> bytes:
    body = json.dumps(
        {
            "model": local_fleet.MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": _HANG_UP_TOKENS,
            "stream": True,
        }
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {local_fleet.KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return (head + body).encode()
