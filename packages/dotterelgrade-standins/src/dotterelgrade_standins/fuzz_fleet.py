"""Fuzzing of real entries and agents over loopback, with every fault at once.

Each run starts a fleet in this process, sends calls and causes faults in any
order, then heals everything: the oracle judges what was seen, and the fleet
must serve again.
"""

import contextlib
from typing import Any

import gevent
import gevent.pool
from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade import contract as contract_lib
from dotterelgrade import grammar
from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import fleet_callers
from dotterelgrade_standins import fuzz
from dotterelgrade_standins import local_fleet
from dotterelgrade_standins import oracle
from dotterelgrade_standins import shaper

_HEAL_LIMIT_S = 20.0
_LONG_TOKENS = 300
_ACCEPT_S = 0.05
_SLOW = shaper.LinkSettings(
    between=local_fleet.DOMAINS, delay_ms=30, jitter_ms=30
)
_CUT = shaper.LinkSettings(between=local_fleet.DOMAINS, cut=True)
_PLAIN = shaper.LinkSettings(between=local_fleet.DOMAINS)
_entries = strategies.integers(0, local_fleet.ENTRIES - 1)
_agents = strategies.integers(0, local_fleet.STAGES * len(local_fleet.DOMAINS))
_orders = strategies.integers(0, len(local_fleet.DOMAINS) - 1)
_pauses_s = strategies.sampled_from((0.0, 0.02, 0.1))


@fuzz.target("fleet", examples=8, steps=14)
class FleetMachine(stateful.RuleBasedStateMachine):
    """Callers, operators and faults around one fleet."""

    def __init__(self) -> None:
        """Starts a fleet."""
        super().__init__()
        self._stack = contextlib.ExitStack()
        self._fleet = self._stack.enter_context(local_fleet.running())
        self._judge = oracle.Oracle(
            layers_of={local_fleet.MODEL: local_fleet.LAYERS}
        )
        self._callers = fleet_callers.FleetCallers(self._judge)
        self._greenlets = gevent.pool.Group()
        self._collected: dict[str, int] = {}

    # Callers.

    @stateful.initialize(
        seed=strategies.integers(0, 2**16), calls=strategies.integers(10, 40)
    )
    def start_traffic(self, seed: int, calls: int) -> None:
        """Calls of every kind begin, and go on during what follows."""
        entries = self._fleet.entries
        self._callers.start_traffic(entries, seed=seed, calls=calls)

    @stateful.rule(
        entry=_entries,
        words=strategies.integers(1, 40),
        max_tokens=strategies.integers(1, 24),
        is_streamed=strategies.booleans(),
    )
    def complete(
        self, entry: int, words: int, max_tokens: int, is_streamed: bool
    ) -> None:
        """A caller sends a model request."""
        self._callers.complete(
            self._fleet.entries[entry],
            words=words,
            max_tokens=max_tokens,
            is_streamed=is_streamed,
        )

    @stateful.rule(
        entry=_entries, is_keyed=strategies.booleans(), pause_s=_pauses_s
    )
    def deposit(self, entry: int, is_keyed: bool, pause_s: float) -> None:
        """A caller makes a deposit."""
        member = self._fleet.entries[entry]
        self._callers.deposit(member, is_keyed=is_keyed)
        gevent.sleep(pause_s)

    @stateful.rule(entry=_entries, pause_s=_pauses_s)
    def repeat_deposit(self, entry: int, pause_s: float) -> None:
        """A caller repeats its latest keyed deposit, at any entry."""
        self._callers.repeat_deposit(self._fleet.entries[entry])
        gevent.sleep(pause_s)

    @stateful.rule(entry=_entries, pause_s=_pauses_s)
    def hang_up(self, entry: int, pause_s: float) -> None:
        """A caller closes its connection in the middle of an answer."""
        self._callers.hang_up(self._fleet.entries[entry], after_s=pause_s)

    # Faults of backend servers and processes.

    def _collect(self, member: local_fleet.Member) -> None:
        """Tells the oracle what ran beside a slot since the last time."""
        host = member.incarnation
        engine = self._fleet.engines.get(member.name)
        seen = self._collected.get(member.name, 0)
        if engine is not None:
            runs = engine.runs[seen:]
            for run in runs:
                self._judge.ran_step(
                    engine=member.name,
                    host=host,
                    sequence=run.sequence,
                    position=run.position,
                    count=run.count,
                    first_layer=run.first_layer,
                    at_s=run.at_s,
                )
        else:
            runs = self._fleet.services[member.name].ledger[seen:]
            for run in runs:
                self._judge.ran_deposit(
                    account=run.body["account"], host=host, at_s=run.at_s
                )
        self._collected[member.name] = seen + len(runs)

    @stateful.rule(agent=_agents, pause_s=_pauses_s)
    def toggle_agent(self, agent: int, pause_s: float) -> None:
        """An agent dies, or a new one starts in its slot."""
        self._toggle(self._fleet.agents[agent], pause_s)

    @stateful.rule(order=_orders, pause_s=_pauses_s)
    def toggle_order_agent(self, order: int, pause_s: float) -> None:
        """An agent beside a plain service dies, or a new one starts."""
        self._toggle(self._fleet.orders[order], pause_s)

    def _toggle(self, member: local_fleet.Member, pause_s: float) -> None:
        self._judge.fault()
        self._collect(member)
        if member.is_running:
            member.kill()
            self._collect(member)
            self._fleet.hosts.remove(member.host)
        else:
            self._fleet.start(member)
        gevent.sleep(pause_s)

    @stateful.rule(entry=_entries)
    def toggle_entry(self, entry: int) -> None:
        """An entry dies, or a new one starts in its slot."""
        member = self._fleet.entries[entry]
        self._judge.fault()
        if member.is_running:
            for call in self._callers.in_flight(member):
                call.is_protected = False
            member.kill()
        else:
            self._fleet.start(member)

    @stateful.rule(entry=_entries)
    def drain_entry(self, entry: int) -> None:
        """An entry is ordered to leave; it must end what it has begun."""
        member = self._fleet.entries[entry]
        if not member.is_running or _is_leaving(member):
            return
        for _ in range(2):
            self.complete(entry, 5, _LONG_TOKENS, is_streamed=True)
        gevent.sleep(_ACCEPT_S)
        for call in self._callers.in_flight(member):
            call.is_protected = True
        self._greenlets.spawn(
            self._leave_entry, member, member.process, member.incarnation
        )

    def _leave_entry(
        self, member: local_fleet.Member, process: Any, incarnation: str
    ) -> None:
        process.drain()
        if member.is_running and member.incarnation == incarnation:
            member.kill()

    @stateful.rule(agent=_agents, pause_s=_pauses_s)
    def drain_agent(self, agent: int, pause_s: float) -> None:
        """An agent is ordered to leave and ends when it has finished."""
        member = self._fleet.agents[agent]
        if not member.is_running:
            return
        self._judge.leaving(host=member.incarnation)
        self._fleet.list_host(member, state="leaving")
        self._greenlets.spawn(
            self._leave, member, member.process, member.incarnation
        )
        gevent.sleep(pause_s)

    def _leave(
        self, member: local_fleet.Member, process: Any, incarnation: str
    ) -> None:
        process.drain()
        if member.is_running and member.incarnation == incarnation:
            self._collect(member)
            member.kill()

    @stateful.rule(
        agent=_agents,
        kind=strategies.sampled_from(
            ("pause", "stall", "dead", "slow", "fail")
        ),
        pause_s=_pauses_s,
    )
    def break_engine(self, agent: int, kind: str, pause_s: float) -> None:
        """An engine freezes, stands still, dies, is slow or fails a batch."""
        self._judge.fault()
        engine = self._fleet.engines[self._fleet.agents[agent].name]
        engine.set_faults(
            paused=kind == "pause",
            stalled=kind == "stall",
            dead=kind == "dead",
            slow_factor=20.0 if kind == "slow" else 1.0,
            fail_steps=2 if kind == "fail" else 0,
        )
        gevent.sleep(pause_s)

    @stateful.rule(agent=_agents)
    def mend_engine(self, agent: int) -> None:
        """An engine works again."""
        self._mend(self._fleet.engines[self._fleet.agents[agent].name])

    def _mend(self, engine: Any) -> None:
        engine.set_faults(
            paused=False,
            stalled=False,
            dead=False,
            slow_factor=1.0,
            fail_steps=0,
        )

    @stateful.rule(agent=_agents)
    def order_with_old_fence(self, agent: int) -> None:
        """A paused holder's order reaches an engine late."""
        member = self._fleet.agents[agent]
        engine = self._fleet.engines[member.name]
        held = engine.settings
        order = {
            "order": "load",
            "model": held.model,
            "version": held.version,
            "first_layer": held.first_layer,
            "last_layer": held.last_layer,
            "fence": -1,
        }
        before = engine.sequences
        self._judge.fault()
        host, port = self._fleet.engine_url(member)
        answer = caller_lib.post_json(
            host, port, "/orders", order, timeout_s=0.5
        )
        if held.checks_fence and answer is not None:
            assert "fence" in answer, (answer, before)

    @stateful.rule(
        before=strategies.integers(0, 1), after=strategies.integers(0, 2)
    )
    def lose_deposit_answers(self, before: int, after: int) -> None:
        """The plain services drop calls before or after they ran."""
        self._judge.fault()
        for service in self._fleet.services.values():
            service.set_faults(drop_before=before, drop_after=after)
        for member in self._fleet.entries:
            self._callers.deposit(member, is_keyed=False)
            self._callers.deposit(member, is_keyed=True)

    # Faults of links and the log.

    @stateful.rule(
        link=strategies.sampled_from((_SLOW, _CUT, _PLAIN)), pause_s=_pauses_s
    )
    def change_link(self, link: shaper.LinkSettings, pause_s: float) -> None:
        """The link between the failure domains changes."""
        self._judge.fault()
        self._fleet.links.put(link)
        gevent.sleep(pause_s)

    @stateful.rule(
        kind=strategies.sampled_from(("down", "slow", "after", "before", "up"))
    )
    def change_log(self, kind: str) -> None:
        """The log goes down, is slow, loses an answer or comes back."""
        self._fleet.log.set_faults(
            down=kind == "down",
            delay_s=0.05 if kind == "slow" else 0.0,
            lose_answers_after=1 if kind == "after" else 0,
            lose_answers_before=1 if kind == "before" else 0,
        )

    # Operators.

    @stateful.rule(
        host=strategies.sampled_from(("10.0.0.1", "10.0.0.2")),
        number=strategies.integers(0, 99),
    )
    def edit_at_once(self, host: str, number: int) -> None:
        """Two operators edit the same line, having seen the same state."""
        if self._fleet.log.faults.down:
            return
        seen = self._fleet.fold()
        for author in ("fan", "belt"):
            text = f"drain host={host}  # operations: {author} {number}"
            (line,) = grammar.parse(text).unwrap()
            self._fleet.edit(line, seen=seen)

    @stateful.rule(pause_s=strategies.sampled_from((0.05, 0.3, 1.0)))
    def wait(self, pause_s: float) -> None:
        """Time passes."""
        gevent.sleep(pause_s)

    @stateful.invariant()
    def contract_never_goes_back(self) -> None:
        """Every process shows lines that the log holds, and newer ones."""
        for member in self._fleet.members:
            if member.is_running and member.process.feed.is_caught_up:
                self._observe(member)

    def _observe(self, member: local_fleet.Member) -> None:
        contract = member.process.feed.contract
        self._judge.observed(
            process=member.incarnation,
            offset=contract.offset,
            lines=_lines(contract),
        )

    # The end.

    def teardown(self) -> None:
        """Heals everything, judges, and asks for service."""
        try:
            self._heal()
            self._judge_all()
            self._serve_again()
        finally:
            self._callers.close()
            self._greenlets.kill()
            self._stack.close()

    def _heal(self) -> None:
        fleet = self._fleet
        fleet.links.put(_PLAIN)
        fleet.log.set_faults(
            down=False,
            delay_s=0.0,
            lose_answers_after=0,
            lose_answers_before=0,
        )
        for engine in fleet.engines.values():
            self._mend(engine)
        for service in fleet.services.values():
            service.set_faults(drop_before=0, drop_after=0)
        assert self._callers.wait(), "a call was never answered"
        for member in (*fleet.agents, *fleet.orders):
            self._collect(member)

    def _judge_all(self) -> None:
        fold = self._fleet.fold()
        for identity, (text, offset) in _lines(fold).items():
            self._judge.accepted(identity=identity, text=text, offset=offset)
        self.contract_never_goes_back()
        violations = self._judge.violations()
        assert not violations, violations

    def _serve_again(self) -> None:
        for member in self._fleet.members:
            if member.is_running and not _is_leaving(member):
                continue
            member.kill()
            self._fleet.start(member)
        entry = self._fleet.entries[0]
        caller = caller_lib.Caller(entry.host, key=local_fleet.KEY)

        def is_served() -> bool:
            answer = caller.complete(
                "once more", model=local_fleet.MODEL, max_tokens=3
            )
            return answer.is_complete

        assert local_fleet.wait_until(is_served, timeout_s=_HEAL_LIMIT_S)
        end = self._fleet.fold().offset
        in_force = local_fleet.wait_until(
            lambda: all(
                member.process.feed.offset >= end
                for member in self._fleet.members
            ),
            timeout_s=oracle.IN_FORCE_LIMIT_S,
        )
        assert in_force, "the contract is not in force everywhere"


def _is_leaving(member: local_fleet.Member) -> bool:
    return member.process.state.value == "leaving"


def _lines(contract: contract_lib.Contract) -> dict[str, tuple[str, int]]:
    return {line.identity: (line.text, line.offset) for line in contract.lines}
