"""Fuzzing of keyed calls: the real `KeyedCalls`, claim log and ledger.

Appends and runs of the service are held until a rule lets them go on, and time
passes only by a rule, so that every order of claims, answers, outcomes and
restarts can come up, and comes up again.
"""

import dataclasses
import random
import types
import uuid

import gevent
from gevent import event
from hypothesis import stateful
from hypothesis import strategies
from returns import result

from dotterelgrade import appender
from dotterelgrade import errors
from dotterelgrade import journal
from dotterelgrade import log_client
from dotterelgrade import messages
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import claim_log
from dotterelgrade_agent import keyed_calls
from dotterelgrade_agent import service_client
from dotterelgrade_standins import fuzz
from dotterelgrade_standins import log_service
from dotterelgrade_standins import oracle
from dotterelgrade_standins import virtual_clock

_PROCESSES = 2
_KEYS = 2
_MAX_CALLS = 12
_APPEND_TIMEOUT_S = 2.0
_RESOLVE_WAIT_S = 1.0
_SKEW_S = 0.001
_RULE_S = 0.01
_LIKELY = 0.8
_REPEATS = 0.15
_LONG_S = 60.0
_SHORT_S = 2.5
# Refusals that say nothing about an earlier request under the same key.
_ABOUT_THIS_REQUEST = (
    errors.ErrorKind.LOG_UNAVAILABLE,
    errors.ErrorKind.DEADLINE_EXCEEDED,
    errors.ErrorKind.KEY_REUSED,
)
_CLOCKED = (appender, claim_log, keyed_calls)
_seeds = strategies.integers(min_value=0, max_value=2**16)


@dataclasses.dataclass(eq=False, kw_only=True)
class _HeldAppend:
    """An append on its way to the log service."""

    stream: str
    body: bytes
    answer: event.AsyncResult = dataclasses.field(
        default_factory=event.AsyncResult
    )


class _HeldLog:
    """A log whose appends wait for a rule; reads go through."""

    def __init__(self, client: log_client.Log, held: list[_HeldAppend]) -> None:
        self._client = client
        self._held = held

    def append(
        self, stream: str, body: bytes
    ) -> result.Result[int, errors.Error]:
        append = _HeldAppend(stream=stream, body=body)
        self._held.append(append)
        return append.answer.get()

    def read(
        self, stream: str, *, start: int, wait_ms: int = 0
    ) -> result.Result[log_client.Page, errors.Error]:
        return self._client.read(stream, start=start, wait_ms=wait_ms)


@dataclasses.dataclass(eq=False, kw_only=True)
class _HeldRun:
    """A run of the service whose answer is on the way."""

    call: messages.Call
    answer: event.AsyncResult = dataclasses.field(
        default_factory=event.AsyncResult
    )


class _Service:
    """The backend server: notes each run and holds its answer."""

    def __init__(
        self, judge: oracle.Oracle, clock: virtual_clock.Clock
    ) -> None:
        self._clock = clock
        self.settings = types.SimpleNamespace(timeout_s=_LONG_S)
        self.held: list[_HeldRun] = []
        self.keys_run: set[str] = set()
        self.is_reachable = True
        self._judge = judge

    def run(
        self, call: messages.Call, *, limit_s: float
    ) -> result.Result[service_client.Reply, errors.Error]:
        del limit_s
        if not self.is_reachable:
            return _failure(errors.ErrorKind.PEER_UNREACHABLE)
        self._judge.ran_deposit(
            account=call.key, host="127.50.0.1", at_s=self._clock.now
        )
        self.keys_run.add(call.key)
        held = _HeldRun(call=call)
        self.held.append(held)
        return held.answer.get()


def _to_call(name: str, key: str, variant: str) -> messages.Call:
    return messages.Call(
        request_id=name,
        backend="order",
        service="order",
        workspace="bench",
        method="POST",
        path="/deposits",
        headers={},
        body=variant.encode(),
        key=key,
        digest=variant,
        deadline_ms=_LONG_S * 1000,
    )


def _failure(kind: errors.ErrorKind) -> result.Failure[errors.Error]:
    return result.Failure(errors.Error(kind=kind, message="held"))


@dataclasses.dataclass(eq=False, kw_only=True)
class _Process:
    """One incarnation of an agent's part for keyed calls."""

    claims: claim_log.ClaimLog
    calls: keyed_calls.KeyedCalls
    greenlets: dict[str, gevent.Greenlet] = dataclasses.field(
        default_factory=dict
    )


@fuzz.target("claims", examples=800, steps=25)
class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Two agents, two keys, one log and one service."""

    def __init__(self) -> None:
        """Initializes an empty log and new agents."""
        super().__init__()
        self._log = log_service.LogService()
        self._log.set_faults(appends_per_s=1e9)
        self._client = log_service.LocalLog(self._log)
        self._judge = oracle.Oracle(layers_of={})
        self._appends: list[_HeldAppend] = []
        self._clock = virtual_clock.Clock()
        self._patches = self._clock.patching(_CLOCKED)
        self._service = _Service(self._judge, self._clock)
        self._number = 0
        self._calls = 0
        self._denials: list[str] = []
        self._keys = [self._new_key() for _ in range(_KEYS)]

    @stateful.initialize(
        window_s=strategies.sampled_from((3_600.0, 6.0)),
        drops_records=strategies.booleans(),
    )
    def start(self, window_s: float, drops_records: bool) -> None:
        """Two agents start."""
        self._drops_records = drops_records
        self._settings = agent_settings.ClaimSettings(
            window_s=window_s,
            clock_skew_s=_SKEW_S,
            append_timeout_s=_APPEND_TIMEOUT_S,
            resolve_wait_s=_RESOLVE_WAIT_S,
        )
        self._processes = [self._new_process() for _ in range(_PROCESSES)]

    def _new_process(self) -> _Process:
        notes = journal.Journal(capacity=10)
        claims = claim_log.ClaimLog(
            _HeldLog(self._client, self._appends),
            self._settings,
            journal=notes,
            wait_ms=0,
        )
        self._number += 1
        calls = keyed_calls.KeyedCalls(
            self._settings,
            claims=claims,
            incarnation=f"p{self._number}",
            journal=notes,
        )
        process = _Process(claims=claims, calls=calls)
        process.claims.step()
        return process

    def _new_key(self) -> str:
        self._number += 1
        stamp = int(self._clock.now * 1000)
        value = (stamp << 80) | (7 << 76) | (2 << 62) | self._number
        return str(uuid.UUID(int=value))

    def _settle(self) -> None:
        self._clock.advance(_RULE_S)

    @stateful.precondition(lambda self: self._calls < _MAX_CALLS)
    @stateful.rule(
        processes=strategies.sampled_from(((0, 1), (0,), (1,))),
        key=strategies.sampled_from((0, 0, 1)),
        variant=strategies.sampled_from(("a", "a", "a", "b")),
        deadline_s=strategies.sampled_from((_LONG_S, _SHORT_S)),
    )
    def call(
        self,
        processes: tuple[int, ...],
        key: int,
        variant: str,
        deadline_s: float,
    ) -> None:
        """A caller sends a keyed call, or repeats one, at some agents."""
        for process in processes:
            self._calls += 1
            call = _to_call(f"c{self._calls}", self._keys[key], variant)
            self._judge.sent(
                call=call.request_id, account=call.key, at_s=self._clock.now
            )
            chosen = self._processes[process]
            chosen.greenlets[call.request_id] = gevent.spawn(
                self._run, chosen, call, self._clock.now + deadline_s
            )
        self._settle()

    def _run(
        self, process: _Process, call: messages.Call, deadline: float
    ) -> None:
        answer = process.calls.run(call, self._service, deadline=deadline)
        name = call.request_id
        if isinstance(answer, result.Failure):
            error = answer.failure()
            self._judge.failed(call=name, run=error.run_state.value)
            has_run = call.key in self._service.keys_run
            is_denied = error.run_state is errors.RunState.NOT_RUN
            is_meant = error.kind not in _ABOUT_THIS_REQUEST
            if has_run and is_denied and is_meant:
                self._denials.append(f"{name}: {error.kind} denies a run")
        else:
            body = answer.unwrap().reply.body
            is_own = body == call.body
            account = call.key if is_own else "another's"
            self._judge.answered(call=name, account=account)
        process.greenlets.pop(name, None)

    def _end_append(self, source: random.Random) -> None:
        held = self._appends.pop(source.randrange(len(self._appends)))
        answer = _failure(errors.ErrorKind.LOG_UNAVAILABLE)
        if source.random() < _LIKELY:
            appended = self._client.append(held.stream, held.body)
            answer = appended if source.random() < _LIKELY else answer
        held.answer.set(answer)

    def _end_run(self, source: random.Random) -> None:
        held = self._service.held.pop()
        reply = service_client.Reply(
            status=200, headers={}, body=held.call.body
        )
        answer = _failure(errors.ErrorKind.OUTCOME_UNKNOWN)
        if source.random() < _LIKELY:
            answer = result.Success(reply)
        held.answer.set(answer)

    def _read(self, source: random.Random) -> None:
        source.choice(self._processes).claims.step()

    def _drop_records(self, source: random.Random) -> None:
        self._log.set_faults(keep_records=source.randrange(2))
        self._log.set_faults(keep_records=1_000_000)

    def _act(self, source: random.Random) -> None:
        actions = [self._read] * 4
        if self._appends:
            actions += [self._end_append] * 4
        if self._service.held:
            actions += [self._end_run] * 2
        if self._drops_records:
            actions += [*([self._drop_records] * 2), self._restart]
        source.choice(actions)(source)
        if source.random() < _REPEATS:
            self.call((source.randrange(_PROCESSES),), 0, "a", _LONG_S)
        self._settle()

    @stateful.rule(
        acts=strategies.integers(min_value=1, max_value=12),
        seed=_seeds,
    )
    def proceed(self, acts: int, seed: int) -> None:
        """Appends and runs end or are lost, and agents read, in any order."""
        source = random.Random(seed)
        for _ in range(acts):
            self._act(source)

    @stateful.rule()
    def append_and_read(self) -> None:
        """Everything on its way reaches the log and every agent."""
        while self._appends:
            held = self._appends.pop(0)
            held.answer.set(self._client.append(held.stream, held.body))
        for process in self._processes:
            process.claims.step()
        self._settle()

    @stateful.rule(seed=_seeds)
    def restart(self, seed: int) -> None:
        """An agent dies; its appends and runs may still take effect."""
        self._restart(random.Random(seed))
        self._settle()

    def _restart(self, source: random.Random) -> None:
        process = source.randrange(_PROCESSES)
        lost = self._processes[process]
        for name, greenlet in list(lost.greenlets.items()):
            greenlet.kill()
            self._judge.failed(call=name, run="unknown")
        lost.calls.close()
        lost.claims.close()
        self._processes[process] = self._new_process()

    @stateful.rule()
    def let_time_pass(self) -> None:
        """Whatever waits with a limit gives up."""
        self._clock.advance(_SHORT_S)

    @stateful.rule(
        kind=strategies.sampled_from(("service", "log", "key")),
    )
    def change(self, kind: str) -> None:
        """Something outside changes."""
        if kind == "service":
            self._service.is_reachable = not self._service.is_reachable
        elif kind == "log":
            self._log.set_faults(down=not self._log.faults.down)
        else:
            self._keys[0] = self._new_key()

    @stateful.invariant()
    def no_promise_is_broken(self) -> None:
        """No deposit ran twice, and what was told is true."""
        violations = [
            sentence
            for sentence in self._judge.violations()
            if "no final answer" not in sentence
        ]
        violations += self._denials
        assert not violations, violations

    def teardown(self) -> None:
        """Ends every greenlet."""
        for process in getattr(self, "_processes", ()):
            gevent.killall(list(process.greenlets.values()))
            process.calls.close()
            process.claims.close()
        self._patches.close()
        self.no_promise_is_broken()
