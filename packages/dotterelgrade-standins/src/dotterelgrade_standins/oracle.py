"""The oracle: knows only the seven promises and what was seen from outside.

Whoever drives the system tells the oracle what callers sent and got, what the
engines and plain services ran, which hosts were ordered to leave, and which
contract lines were accepted and seen in force. The oracle knows nothing of
attempts, claims or connections.

    judge = oracle.Oracle(layers_of={"inlay": 24})
    judge.sent(call="c1", model="inlay", prompt="a b", max_tokens=4)
    judge.answered(call="c1", text=" t1 t2", complete=True)
    judge.ran_step(engine="e1", host="127.0.0.9", sequence="r1", position=0,
                   count=2, first_layer=0, at_s=time.monotonic())
    assert judge.violations() == []
    print(judge.counts())
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import re
import time

from dotterelgrade import errors
from dotterelgrade_standins import layers

LEAVING_GRACE_S = 3.0
IN_FORCE_LIMIT_S = 13.0
_SEPARATOR = re.compile("[^0-9A-Za-z_-]")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Counts:
    """What became of the calls.

    Attributes:
        whole: Calls with their whole and right answer.
        lost: Calls without one that were not told `not_run`.
        doubled: Steps or non-idempotent calls that ran more than once.
        wrong: Answers and statements that are not true.
    """

    whole: int
    lost: int
    doubled: int
    wrong: int


@dataclasses.dataclass(kw_only=True)
class _Call:
    model: str = ""
    prompt: str = ""
    max_tokens: int = 0
    account: str = ""
    sent_at_s: float = 0.0
    text: str | None = None
    echoed: str | None = None
    is_complete: bool = False
    run: errors.RunState | None = None
    request_id: str = ""
    is_excused: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StepRun:
    engine: str
    host: str
    sequence: str
    position: int
    count: int
    first_layer: int
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Deposit:
    account: str
    host: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Accepted:
    identity: str
    text: str | None
    offset: int
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Observed:
    process: str
    offset: int
    lines: Mapping[str, tuple[str, int]]
    at_s: float


class Oracle:
    """Compares what was seen with the promises."""

    def __init__(self, *, layers_of: Mapping[str, int]) -> None:
        """Initializes an oracle that has seen nothing.

        Args:
            layers_of: Number of layers of each model.
        """
        self._layers_of = dict(layers_of)
        self._calls: dict[str, _Call] = {}
        self._steps: list[_StepRun] = []
        self._deposits: list[_Deposit] = []
        self._leaving: dict[str, float] = {}
        self._accepted: list[_Accepted] = []
        self._observed: list[_Observed] = []
        self._uncertain: set[str] = set()
        self._has_faults = False

    def __repr__(self) -> str:
        """Shows the counts."""
        return f"<Oracle {self.counts()}>"

    def sent(
        self,
        *,
        call: str,
        model: str = "",
        prompt: str = "",
        max_tokens: int = 0,
        account: str = "",
        at_s: float | None = None,
    ) -> None:
        """Notes a call before it is sent.

        Args:
            call: Unique name of the call.
            model: Model of a model request; empty for a deposit.
            prompt: The prompt as the engines see it.
            max_tokens: The most tokens to generate.
            account: Account of a deposit, unique for each intended deposit; a
                repeat under the same key names the same account.
            at_s: Monotonic time, s; now when None.
        """
        self._calls[call] = _Call(
            model=model,
            prompt=prompt,
            max_tokens=max_tokens,
            account=account or call,
            sent_at_s=time.monotonic() if at_s is None else at_s,
        )

    def answered(
        self,
        *,
        call: str,
        text: str | None = None,
        account: str | None = None,
        complete: bool = True,
    ) -> None:
        """Notes an answer.

        Args:
            call: Name of the call.
            text: Generated text of a model request.
            account: Account that the answer of a deposit names.
            complete: Whether the answer was presented as whole.
        """
        seen = self._calls[call]
        seen.text = text
        seen.echoed = account
        seen.is_complete = complete

    def failed(self, *, call: str, run: str, request_id: str = "") -> None:
        """Notes a final error answer.

        Args:
            call: Name of the call.
            run: What the answer said: "not_run", "unknown" or "ran".
            request_id: Identifier in the answer.
        """
        self._calls[call].run = errors.RunState(run)
        self._calls[call].request_id = request_id

    def broken(self, *, call: str, excused: bool) -> None:
        """Notes that a call ended without a final answer.

        Args:
            call: Name of the call.
            excused: Whether the caller hung up or its entry was killed.
        """
        self._calls[call].is_excused = excused

    def fault(self) -> None:
        """Notes that a fault was caused, so that steps may be run again."""
        self._has_faults = True

    def ran_step(
        self,
        *,
        engine: str,
        host: str,
        sequence: str,
        position: int,
        count: int,
        first_layer: int,
        at_s: float,
    ) -> None:
        """Notes a step that an engine ran.

        Args:
            engine: Incarnation of the engine.
            host: IP number of its host.
            sequence: The engine's sequence; the request's identifier is a part
                of it between other signs than letters, digits, _ and -.
            position: First position of the step.
            count: Number of positions.
            first_layer: First layer of the engine.
            at_s: Monotonic time, s.
        """
        self._steps.append(
            _StepRun(
                engine=engine,
                host=host,
                sequence=sequence,
                position=position,
                count=count,
                first_layer=first_layer,
                at_s=at_s,
            )
        )

    def ran_deposit(self, *, account: str, host: str, at_s: float) -> None:
        """Notes a deposit that the plain service ran.

        Args:
            account: The account of the deposit.
            host: IP number of the service's host.
            at_s: Monotonic time, s.
        """
        self._deposits.append(_Deposit(account=account, host=host, at_s=at_s))

    def leaving(self, *, host: str, at_s: float | None = None) -> None:
        """Notes the order to a host to leave, at a monotonic time in s."""
        self._leaving[host] = time.monotonic() if at_s is None else at_s

    def accepted(
        self,
        *,
        identity: str,
        text: str | None,
        offset: int,
        at_s: float | None = None,
    ) -> None:
        """Notes a contract line that an operator was told is accepted.

        Args:
            identity: Identity of the line.
            text: The line, or None when it was removed.
            offset: Offset at which it was accepted.
            at_s: Monotonic time, s; now when None.
        """
        self._accepted.append(
            _Accepted(
                identity=identity,
                text=text,
                offset=offset,
                at_s=time.monotonic() if at_s is None else at_s,
            )
        )

    def uncertain(self, *, identity: str) -> None:
        """Notes that a removal ended without saying whether it was accepted.

        Args:
            identity: Identity of the line.
        """
        self._uncertain.add(identity)

    def observed(
        self,
        *,
        process: str,
        offset: int,
        lines: Mapping[str, tuple[str, int]],
        at_s: float | None = None,
    ) -> None:
        """Notes the contract in force at a ready process.

        Args:
            process: Incarnation of the process.
            offset: Offset up to which it has the contract in force.
            lines: Text and offset of each line, by identity.
            at_s: Monotonic time, s; now when None.
        """
        self._observed.append(
            _Observed(
                process=process,
                offset=offset,
                lines=dict(lines),
                at_s=time.monotonic() if at_s is None else at_s,
            )
        )

    def counts(self) -> Counts:
        """Returns what became of the calls so far."""
        whole = sum(self._is_whole(call) for call in self._calls.values())
        lost = sum(
            not self._is_whole(call)
            and call.run is not errors.RunState.NOT_RUN
            and not call.is_excused
            for call in self._calls.values()
        )
        wrong = [
            *self._wrong_answers(),
            *self._false_not_run(),
            *self._late_work(),
            *self._contract_faults(),
        ]
        doubled = [*self._doubled_steps(), *self._doubled_deposits()]
        return Counts(
            whole=whole, lost=lost, doubled=len(doubled), wrong=len(wrong)
        )

    def violations(self) -> list[str]:
        """Returns one sentence for each broken promise."""
        return [
            *self._wrong_answers(),
            *self._unanswered(),
            *self._false_not_run(),
            *self._doubled_steps(),
            *self._doubled_deposits(),
            *self._late_work(),
            *self._contract_faults(),
        ]

    def _is_whole(self, call: _Call) -> bool:
        if not call.is_complete:
            return False
        if call.model:
            return call.text is not None and self._is_right(call)
        return call.echoed == call.account

    def _is_right(self, call: _Call) -> bool:
        expected = layers.expected_tokens(
            layers.tokenize(call.prompt),
            layers=self._layers_of[call.model],
            max_tokens=call.max_tokens,
        )
        words = tuple(f"t{token}" for token in expected)
        got = tuple((call.text or "").split())
        if call.is_complete:
            return got == words
        return got == words[: len(got)]

    def _wrong_answers(self) -> Iterator[str]:
        for name, call in self._calls.items():
            if call.model and call.text is not None:
                if not self._is_right(call):
                    yield f"{name}: got {call.text!r}, which is not its answer"
            elif call.echoed not in (None, call.account):
                yield f"{name}: got the answer of {call.echoed}"

    def _unanswered(self) -> Iterator[str]:
        for name, call in self._calls.items():
            ended = call.is_complete or call.run or call.is_excused
            if not ended:
                yield f"{name}: no final answer"

    def _false_not_run(self) -> Iterator[str]:
        ran = {
            part
            for sequence in {step.sequence for step in self._steps}
            for part in _SEPARATOR.split(sequence)
        }
        for name, call in self._calls.items():
            if call.run is errors.RunState.NOT_RUN and call.request_id in ran:
                yield f"{name}: told not_run, but steps of it ran"
        yield from self._false_not_run_deposits()

    def _false_not_run_deposits(self) -> Iterator[str]:
        calls = collections.defaultdict(list)
        for call in self._calls.values():
            if call.run is not errors.RunState.NOT_RUN:
                calls[call.account].append(call.sent_at_s)
        for deposit in self._deposits:
            if not any(t <= deposit.at_s for t in calls[deposit.account]):
                yield f"{deposit.account}: told not_run, but it ran"

    def _doubled_steps(self) -> Iterator[str]:
        next_position: dict[tuple[str, str], int] = {}
        layers_run: set[tuple[str, int, int]] = set()
        for step in self._steps:
            key = (step.engine, step.sequence)
            expected = next_position.get(key, 0)
            if step.position != expected:
                yield (
                    f"{step.engine}: ran position {step.position} of "
                    f"{step.sequence}, the next one was {expected}"
                )
            next_position[key] = step.position + step.count
            request = _SEPARATOR.split(step.sequence)[0]
            run = (request, step.first_layer, step.position)
            if run in layers_run and not self._has_faults:
                yield f"{step.sequence}: layers of {run} ran twice"
            layers_run.add(run)

    def _doubled_deposits(self) -> Iterator[str]:
        runs = collections.Counter(d.account for d in self._deposits)
        for account, count in runs.items():
            if count > 1:
                yield f"{account}: the deposit ran {count} times"

    def _late_work(self) -> Iterator[str]:
        first_runs = [step for step in self._steps if step.position == 0]
        for run in [*first_runs, *self._deposits]:
            left_at_s = self._leaving.get(run.host)
            if left_at_s is None:
                continue
            late_s = run.at_s - left_at_s
            if late_s > LEAVING_GRACE_S:
                yield f"{run.host}: new work {late_s:.1f} s after its order"

    def _contract_faults(self) -> Iterator[str]:
        highest: dict[str, int] = {}
        for seen in self._observed:
            if seen.offset < highest.get(seen.process, 0):
                yield f"{seen.process}: contract went back to {seen.offset}"
            highest[seen.process] = max(
                seen.offset, highest.get(seen.process, 0)
            )
            for line in self._due(seen):
                if self._is_missing(line, seen):
                    yield f"{seen.process}: {line.identity} is not in force"

    def _due(self, seen: _Observed) -> Iterable[_Accepted]:
        newest: dict[str, _Accepted] = {}
        for line in sorted(self._accepted, key=lambda line: line.offset):
            if (
                line.offset <= seen.offset
                or seen.at_s > line.at_s + IN_FORCE_LIMIT_S
            ):
                newest[line.identity] = line
        return newest.values()

    def _is_missing(self, line: _Accepted, seen: _Observed) -> bool:
        text, offset = seen.lines.get(line.identity, (None, 0))
        if text == line.text or offset > line.offset:
            return False
        return text is not None or line.identity not in self._uncertain
