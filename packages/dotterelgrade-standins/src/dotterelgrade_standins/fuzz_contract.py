"""Fuzzing of the contract: operators, processes and a faulty log.

The model is a dictionary with compare-and-set, one state for each offset.
"""

import dataclasses
import json

from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade import contract_feed
from dotterelgrade import contract_records
from dotterelgrade import log_client
from dotterelgrade_standins import fuzz
from dotterelgrade_standins import log_service
from dotterelgrade_standins import oracle

_PROCESSES = 3
_HOSTS = ("10.0.0.1", "10.0.0.2")
_IDENTITIES = tuple(f"drain host={host}" for host in _HOSTS)
_GARBAGE = (
    b"",
    b"\xff\xfe",
    b"[]",
    b"{}",
    b'{"type": "edit"}',
    b'{"type": "snapshot", "covers": 1, "lines": [], "digest": ""}',
    b'{"type": "edit", "id": "x", "author": "a", "edits": [{"identity": 1}]}',
    b'{"type": "edit", "id": "x", "author": "a", "edits": [{"identity": '
    b'"drain host=10.0.0.1", "text": "drain host=10.0.0.1", "seen": 0}]}',
    b"[" * 5_000,
)
_processes = strategies.integers(min_value=0, max_value=_PROCESSES - 1)

Lines = dict[str, tuple[str, int]]


@dataclasses.dataclass(kw_only=True)
class _Model:
    """The fold as the promise states it, with every earlier state."""

    lines: Lines = dataclasses.field(default_factory=dict)
    removed: dict[str, int] = dataclasses.field(default_factory=dict)
    states: list[Lines] = dataclasses.field(default_factory=lambda: [{}])
    changes: list[list[dict]] = dataclasses.field(default_factory=lambda: [[]])

    def append(self, body: bytes, *, is_edit: bool) -> None:
        edits = json.loads(body)["edits"] if is_edit else []
        base = json.loads(body)["base"] if is_edit else 0
        passes = all(self._passes(edit, base) for edit in edits)
        if passes:
            for edit in edits:
                self._put(edit, len(self.states))
        self.states.append(dict(self.lines))
        self.changes.append(edits if passes else [])

    def _passes(self, edit: dict, base: int) -> bool:
        identity, seen = edit["identity"], edit["seen"]
        if seen:
            return self.lines.get(identity, ("", 0))[1] == seen
        is_absent = identity not in self.lines
        return is_absent and base >= self.removed.get(identity, 0)

    def _put(self, edit: dict, offset: int) -> None:
        if edit["text"] is None:
            del self.lines[edit["identity"]]
            self.removed[edit["identity"]] = offset
        else:
            self.lines[edit["identity"]] = (edit["text"], offset)


@fuzz.target("contract", examples=250, steps=40)
class ContractMachine(stateful.RuleBasedStateMachine):
    """Two operators, three processes and one log with every fault."""

    def __init__(self) -> None:
        """Initializes an empty log and new processes."""
        super().__init__()
        self._log = log_service.LogService()
        self._log.set_faults(appends_per_s=1e9)
        self._client = log_service.LocalLog(self._log)
        self._model = _Model()
        self._judge = oracle.Oracle(layers_of={})
        self._feeds = [self._new_feed() for _ in range(_PROCESSES)]
        self._names = [f"p{number}" for number in range(_PROCESSES)]
        self._started = _PROCESSES
        self._records: list[contract_records.EditRecord] = []
        self._confirmed = 0

    def _new_feed(self) -> contract_feed.ContractFeed:
        return contract_feed.ContractFeed(self._client, wait_ms=0, seed=0)

    def _append(self, body: bytes, *, is_edit: bool) -> None:
        before = self._log.appends
        self._client.append(log_client.CONTRACT_STREAM, body)
        if self._log.appends > before:
            self._model.append(body, is_edit=is_edit)

    @stateful.rule(
        reader=_processes,
        hosts=strategies.sets(strategies.sampled_from(_HOSTS), min_size=1),
        removes=strategies.sampled_from((False, False, True)),
        is_stale=strategies.booleans(),
    )
    def edit(
        self, reader: int, hosts: set[str], removes: bool, is_stale: bool
    ) -> None:
        """An operator edits the lines that one process shows."""
        if not is_stale:
            self.read(reader)
        contract = self._feeds[reader].contract
        number = len(self._records)
        edits = []
        for host in sorted(hosts):
            identity = f"drain host={host}"
            line = contract.line(identity)
            if removes and line is None:
                continue
            text = f"{identity}  # operations: edit {number}"
            edits.append(
                contract_records.Edit(
                    identity=identity,
                    text=None if removes else text,
                    seen=line.offset if line else 0,
                )
            )
        if edits:
            record = contract_records.EditRecord(
                id=f"edit-{number}",
                author="operations",
                edits=tuple(edits),
                base=contract.offset,
            )
            self._records.append(record)
            self._append(contract_records.encode(record), is_edit=True)

    @stateful.precondition(lambda self: self._records)
    @stateful.rule(data=strategies.data())
    def repeat(self, data: strategies.DataObject) -> None:
        """A record is appended again after its answer was lost."""
        record = data.draw(strategies.sampled_from(self._records))
        self._append(contract_records.encode(record), is_edit=True)

    @stateful.rule(body=strategies.sampled_from(_GARBAGE))
    def append_broken_record(self, body: bytes) -> None:
        """Somebody appends what is no record."""
        self._append(body, is_edit=False)

    @stateful.rule(process=_processes)
    def append_snapshot(self, process: int) -> None:
        """A process appends a snapshot, stale or not."""
        before = self._log.appends
        self._feeds[process].append_snapshot()
        if self._log.appends > before:
            self._model.append(b"", is_edit=False)

    @stateful.rule(process=_processes)
    def read(self, process: int) -> None:
        """A process reads the log once."""
        feed = self._feeds[process]
        was_ready = feed.is_caught_up
        is_answered = feed.poll()
        if is_answered and feed.is_caught_up and not was_ready:
            assert feed.offset == len(self._model.states) - 1

    @stateful.rule(process=_processes, peer=_processes)
    def relay(self, process: int, peer: int) -> None:
        """A process takes records from a peer."""
        if process != peer:
            feed = self._feeds[process]
            feed.apply_relayed_records(
                self._feeds[peer].records_after(feed.offset)
            )

    @stateful.rule(process=_processes)
    def restart(self, process: int) -> None:
        """A process is replaced by a new one."""
        self._feeds[process] = self._new_feed()
        self._names[process] = f"p{self._started}"
        self._started += 1

    @stateful.rule(down=strategies.sampled_from((False, False, False, True)))
    def set_down(self, down: bool) -> None:
        """The log goes down or comes back."""
        self._log.set_faults(down=down)

    @stateful.rule(before=strategies.booleans())
    def lose_answer(self, before: bool) -> None:
        """The next append's answer is lost."""
        if before:
            self._log.set_faults(lose_answers_before=1)
        else:
            self._log.set_faults(lose_answers_after=1)

    @stateful.rule(
        keep=strategies.integers(min_value=1, max_value=8),
        process=_processes,
    )
    def drop_old_records(self, keep: int, process: int) -> None:
        """The log drops all but its latest records, after a snapshot."""
        self.read(process)
        self.append_snapshot(process)
        self._log.set_faults(keep_records=keep)
        self._log.set_faults(keep_records=1_000_000)

    @stateful.invariant()
    def lines_in_force_are_those_of_the_model(self) -> None:
        """Every process shows the model's state at its offset."""
        for name, feed in zip(self._names, self._feeds, strict=True):
            lines = {
                line.identity: (line.text, line.offset)
                for line in feed.contract.lines
            }
            assert lines == self._model.states[feed.offset], name
            if feed.is_caught_up:
                self._judge.observed(
                    process=name, offset=feed.offset, lines=lines
                )
            self._confirm(feed.offset)

    def _confirm(self, offset: int) -> None:
        while self._confirmed < offset:
            self._confirmed += 1
            for edit in self._model.changes[self._confirmed]:
                self._judge.accepted(
                    identity=edit["identity"],
                    text=edit["text"],
                    offset=self._confirmed,
                )

    def teardown(self) -> None:
        """Judges what was seen, after the log came back."""
        self._log.set_faults(
            down=False, lose_answers_before=0, lose_answers_after=0
        )
        for feed in self._feeds:
            feed.poll()
            feed.poll()
        self.lines_in_force_are_those_of_the_model()
        for feed in self._feeds:
            assert len(feed.contract.unreadable) == 0
        assert self._judge.violations() == []
