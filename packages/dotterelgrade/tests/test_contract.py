import collections
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_records
from dotterelgrade import log_client

_Kind = contract_lib.OutcomeKind
_HOSTS = tuple(f"drain host=10.0.0.{n}" for n in range(4))


def _line(identity, why="why"):
    return f"{identity} # ops: {why}"


def _edit(identity, *, seen=0, text="", why="why"):
    if text == "":
        text = _line(identity, why)
    return contract_records.Edit(identity=identity, text=text, seen=seen)


def _record(offset, *edits, author="ana", base=0):
    body = contract_records.encode(
        contract_records.EditRecord(
            id=f"id-{offset}", author=author, edits=edits, base=base
        )
    )
    return log_client.Record(offset=offset, body=body)


def _snapshot(offset, contract):
    body = contract_records.encode(contract.snapshot())
    return log_client.Record(offset=offset, body=body)


def _contract_of(*records):
    contract = contract_lib.Contract()
    for record in records:
        contract.apply(record)
    return contract


def test_second_concurrent_edit_of_a_line_is_rejected():
    contract = _contract_of(_record(1, _edit(_HOSTS[0])))
    accepted = contract.apply(
        _record(2, _edit(_HOSTS[0], seen=1, why="first"), author="ana")
    )
    rejected = contract.apply(
        _record(
            3,
            _edit(_HOSTS[0], seen=1, why="second"),
            _edit(_HOSTS[1]),
            author="rui",
        )
    )
    assert (accepted.kind, rejected.kind) == (_Kind.ACCEPTED, _Kind.CONFLICT)
    (conflict,) = rejected.conflicts
    assert conflict.winner.author == "ana"
    assert conflict.winner.text.endswith("first")
    assert contract.line(_HOSTS[1]) is None
    assert contract.offset == 3


def test_concurrent_edits_of_different_lines_are_accepted():
    contract = _contract_of(_record(1, _edit(_HOSTS[0]), _edit(_HOSTS[1])))
    for offset, host in ((2, _HOSTS[0]), (3, _HOSTS[1])):
        outcome = contract.apply(_record(offset, _edit(host, seen=1)))
        assert outcome.kind is _Kind.ACCEPTED


def test_late_duplicate_does_not_restore_a_removed_line():
    first = _edit(_HOSTS[0])
    contract = _contract_of(
        _record(1, first), _record(2, _edit(_HOSTS[0], seen=1, text=None))
    )
    assert contract.apply(_record(3, first)).kind is _Kind.CONFLICT
    again = contract.apply(_record(4, _edit(_HOSTS[0]), base=3))
    assert again.kind is _Kind.ACCEPTED


def test_evicted_removals_still_block_late_duplicates(monkeypatch):
    monkeypatch.setattr(contract_lib, "MAX_REMOVALS_KEPT", 2)
    offsets = itertools.count(1)
    contract = contract_lib.Contract()
    for host in _HOSTS:
        seen = next(offsets)
        contract.apply(_record(seen, _edit(host)))
        removal = _edit(host, seen=seen, text=None)
        contract.apply(_record(next(offsets), removal))
    assert len(contract.snapshot().removals) == 2
    late = contract.apply(_record(next(offsets), _edit(_HOSTS[0])))
    assert late.kind is _Kind.CONFLICT
    fresh = _edit(_HOSTS[0])
    outcome = contract.apply(_record(next(offsets), fresh, base=9))
    assert outcome.kind is _Kind.ACCEPTED
    other = contract_lib.Contract()
    assert other.adopt(contract.snapshot()).kind is _Kind.ADOPTED
    assert other.digest == contract.digest


def test_malformed_records_only_move_the_offset():
    contract = _contract_of(_record(1, _edit(_HOSTS[0])))
    for offset, body in enumerate((b"", b"\xff", b"{}", b"[[[["), start=2):
        record = log_client.Record(offset=offset, body=body)
        assert contract.apply(record).kind is _Kind.INVALID
    assert contract.offset == 5
    assert len(contract.lines) == 1


def test_line_count_and_text_size_are_bounded(monkeypatch):
    monkeypatch.setattr(contract_lib, "MAX_LINES", 2)
    contract = _contract_of(_record(1, _edit(_HOSTS[0]), _edit(_HOSTS[1])))
    full = contract.apply(_record(2, _edit(_HOSTS[2])))
    assert (full.kind, "at most 2" in full.reason) == (_Kind.CONFLICT, True)
    swapped = contract.apply(
        _record(
            3,
            _edit(_HOSTS[0], seen=1, text=None),
            _edit(_HOSTS[1], seen=1, why="new"),
            _edit(_HOSTS[2]),
        )
    )
    assert swapped.kind is _Kind.ACCEPTED
    assert contract.line_count == 2
    monkeypatch.setattr(contract_lib, "MAX_TEXT_BYTES", 100)
    wordy = _edit(_HOSTS[2], seen=3, why="w" * 100)
    assert contract.apply(_record(4, wordy)).kind is _Kind.CONFLICT
    brief = _edit(_HOSTS[2], seen=3, why="w")
    assert contract.apply(_record(5, brief)).kind is _Kind.ACCEPTED


def test_records_after_a_gap_and_stale_records_are_ignored():
    contract = _contract_of(_record(1, _edit(_HOSTS[0])))
    gap = contract.apply(_record(3, _edit(_HOSTS[1])))
    stale = contract.apply(_record(1, _edit(_HOSTS[2])))
    assert (gap.kind, stale.kind) == (_Kind.GAP, _Kind.STALE)
    assert (contract.offset, len(contract.lines)) == (1, 1)


def test_stale_and_invalid_snapshots_change_nothing():
    contract = _contract_of(_record(1, _edit(_HOSTS[0])))
    old = _snapshot(3, contract)
    contract.apply(_record(2, _edit(_HOSTS[1])))
    assert contract.apply(old).kind is _Kind.SNAPSHOT
    assert len(contract.lines) == 2
    corrupt = old.body.replace(b"10.0.0.0", b"10.0.0.9")
    ahead = _snapshot(2, contract)
    for body in (corrupt, ahead.body):
        other = contract_lib.Contract()
        record = log_client.Record(offset=1, body=body)
        assert other.apply(record).kind is _Kind.INVALID
        assert (other.offset, other.lines) == (1, ())


def _restore(offset, base, *hosts):
    body = contract_records.encode(
        contract_records.RestoreRecord(
            id=f"id-{offset}",
            author="ana",
            base=base,
            lines=tuple(
                contract_records.RestoredLine(identity=host, text=_line(host))
                for host in hosts
            ),
        )
    )
    return log_client.Record(offset=offset, body=body)


def test_restore_yields_the_same_state_at_every_process():
    ahead = _contract_of(
        _record(1, _edit(_HOSTS[0])), _record(2, _edit(_HOSTS[1]))
    )
    behind = _contract_of(_record(1, _edit(_HOSTS[0])))
    empty = contract_lib.Contract()
    for contract in (ahead, behind, empty):
        outcome = contract.apply(_restore(3, 2, _HOSTS[2]))
        assert (outcome.kind, outcome.id) == (_Kind.RESTORED, "id-3")
        late = contract.apply(_record(4, _edit(_HOSTS[0]), base=2))
        assert late.kind is _Kind.CONFLICT
        contract.apply(_record(5, _edit(_HOSTS[3]), base=4))
        duplicate = contract.apply(_restore(6, 2, _HOSTS[2]))
        assert duplicate.kind is _Kind.CONFLICT
    assert ahead.digest == behind.digest == empty.digest
    assert [line.offset for line in empty.lines] == [3, 5]


def test_late_duplicate_of_a_restore_is_a_gap_to_a_process_behind():
    contract = contract_lib.Contract()
    assert contract.apply(_restore(6, 2, _HOSTS[2])).kind is _Kind.GAP
    assert (contract.offset, contract.lines) == (0, ())


def test_lines_of_a_newer_grammar_are_kept_as_unreadable():
    identity = "quota name=x"
    contract = _contract_of(
        _record(1, _edit(identity)),
        _record(2, _edit(identity, seen=1, why="again")),
    )
    assert contract.line(identity).offset == 2
    (fault,) = contract.unreadable[identity]
    assert "unknown kind" in fault.message


_View = collections.namedtuple("_View", "offset lines")


class ContractMachine(stateful.RuleBasedStateMachine):
    """Concurrent edits, restarts and snapshots, checked against a model.

    The model accepts an edit when no accepted edit of the same lines lies
    between the offset that its author read and its own offset.
    """

    operators = st.integers(0, 1)
    processes = st.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.log = []
        self.states = [{}]
        self.touched = []
        self.views = [_View(0, {}), _View(0, {})]
        self.contracts = [contract_lib.Contract() for _ in range(3)]
        self.appended_edits = []
        self.verdicts = {}

    def append(self, body, *, lines=None, touched=()):
        self.log.append(log_client.Record(offset=len(self.log) + 1, body=body))
        self.states.append(self.states[-1] if lines is None else lines)
        self.touched.append(frozenset(touched))

    @stateful.rule(operator=operators)
    def read(self, operator):
        self.views[operator] = _View(len(self.log), self.states[-1])

    @stateful.rule(
        operator=operators,
        hosts=st.sets(st.sampled_from(_HOSTS), min_size=1, max_size=2),
        remove=st.booleans(),
        why=st.sampled_from(["a", "b"]),
    )
    def edit(self, operator, hosts, remove, why):
        view = self.views[operator]
        edits = []
        for host in sorted(hosts):
            seen = view.lines.get(host, (0, ""))[0]
            text = None if remove and seen else _line(host, why)
            edits.append(_edit(host, seen=seen, text=text))
        edit_number = len(self.appended_edits)
        body = contract_records.encode(
            contract_records.EditRecord(
                id=str(edit_number),
                author=f"operator-{operator}",
                edits=tuple(edits),
                base=view.offset,
            )
        )
        self.appended_edits.append((body, view, edits, str(edit_number)))
        self.append_duplicate(edit_number)

    @stateful.precondition(lambda self: self.appended_edits)
    @stateful.rule(choice=st.integers(0, 10_000))
    def late_duplicate(self, choice):
        self.append_duplicate(choice % len(self.appended_edits))

    def append_duplicate(self, edit_number):
        body, view, edits, record_id = self.appended_edits[edit_number]
        hosts = {edit.identity for edit in edits}
        accepted = not any(hosts & t for t in self.touched[view.offset :])
        lines = dict(self.states[-1])
        for edit in edits if accepted else ():
            lines.pop(edit.identity, None)
            if edit.text is not None:
                lines[edit.identity] = (len(self.log) + 1, edit.text)
        self.verdicts.setdefault(record_id, []).append(accepted)
        self.append(body, lines=lines, touched=hosts if accepted else ())

    @stateful.rule(body=st.sampled_from([b"", b"{}", b"\x00", b'{"type":1}']))
    def malformed_record(self, body):
        self.append(body)

    @stateful.rule(late=st.booleans(), host=st.sampled_from(_HOSTS))
    def restore(self, late, host):
        offset = len(self.log) + 1
        record = _restore(offset, offset - 1 - late, host)
        lines = {host: (offset, _line(host))}
        if late:
            self.append(record.body)
        else:
            self.append(record.body, lines=lines, touched=_HOSTS)

    @stateful.rule(process=processes, corrupt=st.booleans())
    def snapshot(self, process, corrupt):
        contract = self.contracts[process]
        body = contract_records.encode(contract.snapshot())
        self.append(body.replace(b"ops", b"spo") if corrupt else body)

    @stateful.rule(process=processes, count=st.integers(1, 8))
    def apply_records(self, process, count):
        contract = self.contracts[process]
        for record in self.log[contract.offset : contract.offset + count]:
            assert contract.apply(record).kind is not _Kind.GAP

    @stateful.rule(process=processes, first_kept=st.integers(1, 40))
    def restart(self, process, first_kept):
        first_kept = min(first_kept, len(self.log) + 1)
        fresh = contract_lib.Contract()
        position = first_kept
        while position <= len(self.log):
            outcome = fresh.apply(self.log[position - 1])
            position += 1
            if outcome.kind is _Kind.ADOPTED:
                position = max(fresh.offset + 1, first_kept)
        if first_kept == 1:
            assert fresh.offset == len(self.log)
        self.contracts[process] = fresh

    @stateful.rule(sender=processes, receiver=processes)
    def relay_snapshot(self, sender, receiver):
        contract = self.contracts[receiver]
        before = contract.offset
        contract.adopt(self.contracts[sender].snapshot())
        assert contract.offset >= before

    @stateful.invariant()
    def processes_agree_with_the_model(self):
        digests = {}
        for contract in self.contracts:
            lines = {x.identity: (x.offset, x.text) for x in contract.lines}
            assert lines == self.states[contract.offset]
            assert (
                digests.setdefault(contract.offset, contract.digest)
                == contract.digest
            )
            for host in _HOSTS:
                address = host.partition("=")[2]
                assert contract.is_draining(address) == (host in lines)

    @stateful.invariant()
    def a_record_takes_effect_at_most_once(self):
        assert all(not any(v[1:]) for v in self.verdicts.values())


ContractMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
TestContract = ContractMachine.TestCase
