import json

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from dotterelgrade import appender
from dotterelgrade import errors
from dotterelgrade import log_client
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import claim_items
from dotterelgrade_agent import claim_ledger

NOW = 1_000_000.0
SUBJECT = ("bench", "key")
SETTINGS = agent_settings.ClaimSettings(window_s=100.0, clock_skew_s=5.0)


def _claim(claim, *, key="key", key_time_s=NOW, seen=0, at_s=NOW):
    return claim_items.Claim(
        workspace="bench",
        key=key,
        claim=claim,
        key_time_s=key_time_s,
        digest="d",
        claimer="agent",
        seen=seen,
        at_s=at_s,
    )


def _outcome(claim, *, key="key", body=b"done"):
    return claim_items.Outcome(
        workspace="bench",
        key=key,
        claim=claim,
        status=200,
        headers={},
        body=body,
    )


def _release(claim, *, key="key"):
    return claim_items.Release(workspace="bench", key=key, claim=claim)


def _record(offset, *items):
    batch = appender.Batch(
        id=str(offset), items=tuple(claim_items.to_json(i) for i in items)
    )
    return log_client.Record(offset=offset, body=appender.encode(batch))


class Folder:
    """Appends items to a ledger, each in a record of its own."""

    def __init__(self, *, first_offset=1, **options):
        self.ledger = claim_ledger.ClaimLedger(SETTINGS, **options)
        self.offset = first_offset - 1

    def add(self, *items, now_s=NOW):
        self.offset += 1
        changes = self.ledger.apply(_record(self.offset, *items), now_s=now_s)
        return [change.kind.value for change in changes]


def test_the_first_claim_wins_and_the_next_one_does_not():
    folder = Folder()
    assert folder.add(_claim("a"), _claim("b")) == ["won", "beaten"]
    assert folder.ledger.standing(SUBJECT).claim == "a"


def test_an_outcome_counts_only_under_the_holding_claim_and_once():
    folder = Folder()
    folder.add(_claim("a"))
    assert folder.add(_outcome("b", body=b"forged")) == []
    assert folder.add(_outcome("a")) == ["done"]
    assert folder.add(_outcome("a", body=b"second")) == []
    assert folder.ledger.standing(SUBJECT).outcome.body == b"done"


def test_a_loser_stays_one_when_the_holder_gives_up():
    folder = Folder()
    folder.add(_claim("a"), _claim("b"))
    assert folder.add(_release("a")) == ["released"]
    assert folder.ledger.standing(SUBJECT) is None
    assert folder.add(_claim("c")) == ["won"]


def test_a_doubled_append_changes_nothing():
    folder = Folder()
    folder.add(_claim("a"))
    assert folder.add(_claim("a")) == []
    folder.add(_release("a"))
    assert folder.add(_claim("a")) == ["beaten"]
    assert folder.add(_claim("b")) == ["won"]


def test_a_call_that_ran_can_not_be_released():
    folder = Folder()
    folder.add(_claim("a"))
    folder.add(_outcome("a"))
    assert folder.add(_release("a")) == []
    assert folder.add(_claim("b")) == ["beaten"]


def test_a_record_is_folded_once():
    folder = Folder()
    folder.add(_claim("a"))
    again = _record(1, _release("a"))
    assert folder.ledger.apply(again, now_s=NOW) == ()
    assert folder.ledger.standing(SUBJECT).claim == "a"


@pytest.mark.parametrize(
    "item",
    [
        {"type": "claim"},
        {"type": "steal", "workspace": "bench", "key": "key", "claim": "z"},
        {"type": "claim", "workspace": 7, "key": None, "claim": []},
        {},
    ],
)
def test_a_broken_item_does_not_hide_its_neighbours(item):
    ledger = claim_ledger.ClaimLedger(SETTINGS)
    good = claim_items.to_json(_claim("a"))
    body = appender.encode(appender.Batch(id="1", items=(item, good)))
    record = log_client.Record(offset=1, body=body)
    (change,) = ledger.apply(record, now_s=NOW)
    assert change.claim == "a"


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[]", b"{}", json.dumps({"type": "x"}).encode()]
)
def test_a_broken_record_counts_as_folded(body):
    ledger = claim_ledger.ClaimLedger(SETTINGS)
    with pytest.raises(errors.DotterelgradeError):
        ledger.apply(log_client.Record(offset=1, body=body), now_s=NOW)
    assert ledger.offset == 1
    assert ledger.proves(NOW)


def test_a_ledger_from_the_first_record_on_proves_every_key():
    folder = Folder()
    assert folder.ledger.proves(NOW - 99)
    folder.add(_claim("a"))
    assert folder.ledger.proves(NOW - 99)


def test_a_ledger_after_dropped_records_proves_only_later_keys():
    folder = Folder(first_offset=50)
    folder.add(_claim("a", seen=48, at_s=NOW - 90))
    assert not folder.ledger.proves(NOW)
    # Its claimer had read up to the last dropped record 80 s ago.
    folder.add(_claim("b", key="other", seen=49, at_s=NOW - 80))
    assert folder.ledger.proves(NOW - 69)
    assert not folder.ledger.proves(NOW - 70)


def test_records_lost_in_between_take_the_proof_back():
    folder = Folder()
    folder.add(_claim("a"))
    folder.offset += 10
    folder.add(_claim("b", key="other", seen=5))
    assert not folder.ledger.proves(NOW)
    folder.ledger.note_seen(through=folder.offset, at_s=NOW)
    assert not folder.ledger.proves(NOW + 10)
    assert folder.ledger.proves(NOW + 10.1)


def test_keys_beyond_the_window_are_dropped_and_not_proved():
    folder = Folder()
    folder.add(_claim("a", key="old", key_time_s=NOW - 111), now_s=NOW - 100)
    folder.add(_claim("b"))
    assert len(folder.ledger) == 1
    assert not folder.ledger.proves(NOW - 111)
    assert folder.ledger.proves(NOW - 110.9)


def test_the_number_of_keys_is_bounded_and_dropped_ones_are_not_proved():
    folder = Folder(max_keys=3)
    for number in range(10):
        folder.add(
            _claim(f"c{number}", key=f"k{number}", key_time_s=NOW + number / 10)
        )
    assert len(folder.ledger) == 3
    assert not folder.ledger.proves(NOW + 0.6)
    assert folder.ledger.proves(NOW + 0.7)


def test_recorded_bodies_are_bounded():
    folder = Folder(max_outcome_bytes=100)
    for number in range(10):
        key = f"k{number}"
        folder.add(_claim(key, key=key))
        folder.add(_outcome(key, key=key, body=b"x" * 30))
    assert folder.ledger.body_bytes <= 100
    first = folder.ledger.standing(("bench", "k0")).outcome
    assert (first.is_whole, first.body, first.status) == (False, b"", 200)
    last = folder.ledger.standing(("bench", "k9")).outcome
    assert last.body == b"x" * 30


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Claimers that crash, lose answers and give up, against one log.

    A claimer runs the call when the fold of its own copy says that it won.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.ledgers = [claim_ledger.ClaimLedger(SETTINGS) for _ in range(3)]
        self.made = 0
        self.won = []
        self.runs = []
        self.given_up = set()

    def _append(self, *items):
        self.log.append(_record(len(self.log) + 1, *items))

    @stateful.rule(twice=st.booleans(), seen=st.integers(0, 3))
    def claim(self, twice, seen):
        self.made += 1
        item = _claim(f"c{self.made}", seen=seen)
        self._append(item)
        if twice:
            self._append(item)

    @stateful.rule(reader=st.integers(0, 2), count=st.integers(1, 5))
    def read(self, reader, count):
        ledger = self.ledgers[reader]
        for record in self.log[ledger.offset : ledger.offset + count]:
            for change in ledger.apply(record, now_s=NOW):
                if change.kind == "won":
                    self.won.append((reader, change.claim))

    @stateful.precondition(lambda self: self.won)
    @stateful.rule(outcome=st.booleans())
    def run(self, outcome):
        reader, claim = self.won.pop()
        standing = self.ledgers[reader].standing(SUBJECT)
        is_first = standing is not None and standing.claim == claim
        if not is_first or claim in self.given_up or claim in self.runs:
            return
        self.runs.append(claim)
        if outcome:
            self._append(_outcome(claim))

    @stateful.precondition(lambda self: self.won)
    @stateful.rule()
    def give_up(self):
        _, claim = self.won.pop()
        if claim not in self.runs:
            self.given_up.add(claim)
            self._append(_release(claim))

    @stateful.invariant()
    def the_call_runs_at_most_once(self):
        assert len(self.runs) <= 1

    @stateful.invariant()
    def ledgers_at_one_offset_agree(self):
        by_offset = {}
        for ledger in self.ledgers:
            standing = ledger.standing(SUBJECT)
            assert by_offset.setdefault(ledger.offset, standing) == standing


LedgerMachine.TestCase.settings = hypothesis_settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)
TestLedgerMachine = LedgerMachine.TestCase
