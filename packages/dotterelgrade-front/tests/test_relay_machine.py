"""Model test of a feed that is read, relayed, restored and truncated.

In any order of these events, the follower has applied all records before its
offset, and a message of the planner never hides a gap. Encoded pages may be
lost, late, doubled, from a planner with an older state or from an older era,
and a faulty planner may send forged ones.
"""

import random
import time

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import platform_fakes

from dotterelgrade_front import feed_follower
from dotterelgrade_routing import latest_records
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_delta
from dotterelgrade_routing import relay_encoding

_KEYS = ("a", "b", "c")
_LARGE = b"{x}" * latest_records.MIN_RECORD_BYTES
_VALUES = (b"", b"1", b"2", _LARGE + b"3", _LARGE + b"{4}", b"{5}" + _LARGE)


class _LatestValuesSink:
    """A sink that keeps the newest value of each key."""

    def __init__(self):
        self.values = {}

    def replace_all(self, page):
        self.values = {r.key: r.value for r in page.records}

    def apply(self, record):
        if record.value:
            self.values[record.key] = record.value
        else:
            self.values.pop(record.key, None)

    def note_contact(self, *, heard_at):
        del heard_at

    def note_freshness(self, freshness):
        del freshness

    def note_outage(self):
        pass

    def note_relayed_contact(self, *, at):
        del at


class RelayMachine(stateful.RuleBasedStateMachine):
    """One follower, the store, and a planner that relays records."""

    def __init__(self):
        super().__init__()
        self.feed = platform_fakes.FakeFeed()
        self.sink = _LatestValuesSink()
        self.follower = feed_follower.FeedFollower(
            self.feed,
            sink=self.sink,
            rng=random.Random(1),
            count=lambda _: None,
        )
        self.late_pages = []
        self.late_changes = []

    @stateful.initialize()
    def read_first_page(self):
        self.follower._read()

    @stateful.rule(
        records=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_KEYS),
                strategies.integers(0, len(_VALUES) - 1),
            ),
            min_size=1,
            max_size=3,
        )
    )
    def append_records(self, records):
        for key, index in records:
            self.feed.add(key, _VALUES[index])

    @stateful.rule()
    def read(self):
        up_to_date = self.follower.end == len(self.feed.records)
        if up_to_date and self.follower.era == self.feed.era:
            return
        try:
            self.follower._read()
        except platform_port.RecordsExpiredError:
            self.follower._position.reset()
            self.follower._read()

    @stateful.rule(data=strategies.data(), late=strategies.booleans())
    def relay_page(self, data, late):
        end = len(self.feed.records)
        start = data.draw(strategies.integers(max(0, end - 4), end))
        page = platform_port.Page(
            records=tuple(self.feed.records[start:end]),
            end=end,
            era=self.feed.era,
        )
        if late:
            self.late_pages.append((start, page))
        else:
            self.follower.apply_relayed(start, page)

    @stateful.precondition(lambda self: self.late_pages)
    @stateful.rule(data=strategies.data())
    def deliver_late_page(self, data):
        index = data.draw(strategies.integers(0, len(self.late_pages) - 1))
        self.follower.apply_relayed(*self.late_pages.pop(index))

    @stateful.rule(
        data=strategies.data(),
        late=strategies.booleans(),
        name=strategies.sampled_from(relay_encoding.ENCODINGS.names()),
    )
    def relay_changes(self, data, late, name):
        end = len(self.feed.records)
        start = data.draw(strategies.integers(max(0, end - 4), end))
        page = self._encoded_page(start, end, name)
        if late:
            self.late_changes.append((start, page))
        else:
            self.follower.apply_changes(start, page)

    def _encoded_page(self, start, end, name):
        latest = latest_records.LatestRecords()
        for record in self.feed.records[:start]:
            latest.note(record)
        records = relay_encoding.encode_all(
            relay_encoding.ENCODINGS.make(name),
            self.feed.records[start:end],
            bases=latest.values(),
        )
        return relay_encoding.EncodedPage(
            records=tuple(records), end=end, era=self.feed.era
        )

    @stateful.rule(
        late=strategies.booleans(),
        name=strategies.sampled_from(relay_encoding.ENCODINGS.names()),
    )
    def relay_newest_records(self, late, name):
        """The planner has read all keys anew after its records expired."""
        newest = self.feed.newest()
        latest = latest_records.LatestRecords()
        for record in newest.records:
            latest.note(record)
        records = relay_encoding.encode_all(
            relay_encoding.ENCODINGS.make(name),
            newest.records,
            bases=latest.values(),
        )
        page = relay_encoding.EncodedPage(
            records=tuple(records), end=newest.end, era=newest.era
        )
        if late:
            self.late_changes.append((None, page))
        else:
            self.follower.apply_changes(None, page)

    @stateful.precondition(lambda self: self.late_changes)
    @stateful.rule(data=strategies.data(), again=strategies.booleans())
    def deliver_late_changes(self, data, again):
        index = data.draw(strategies.integers(0, len(self.late_changes) - 1))
        self.follower.apply_changes(*self.late_changes[index])
        if not again:
            del self.late_changes[index]

    @stateful.rule(first=strategies.integers(-2, 3), name=strategies.text())
    def relay_forged_changes(self, first, name):
        """A peer sends a difference that does not give what it announces."""
        end = len(self.feed.records)
        part = record_delta.DeltaPart(first=first, count=9, literal=b"")
        delta = record_delta.Delta(base_digest=0, digest=0, parts=[part])
        record = relay_encoding.EncodedRecord(key=name, offset=end, delta=delta)
        page = relay_encoding.EncodedPage(
            records=(record,), end=end + 1, era=self.feed.era
        )
        known_end = self.follower.end
        self.follower.apply_changes(end, page)
        assert self.follower.end == known_end or self.follower.end is None

    @stateful.rule(end=strategies.integers(0, 20))
    def relay_progress(self, end):
        now = time.monotonic()
        self.follower.note_relayed(
            end=end, heard_at=now, current_at=now, era=self.feed.era
        )
        covered = self.follower._position.relay_valid_for_s(now=now) > 0
        assert covered == (self.follower.end == end)

    @stateful.rule(data=strategies.data())
    def restore_store(self, data):
        end = data.draw(strategies.integers(0, len(self.feed.records)))
        self.feed.restore(end=end)
        self.feed.first = min(self.feed.first, end)

    @stateful.rule()
    def truncate_history(self):
        self.feed.first = len(self.feed.records)

    @stateful.invariant()
    def all_records_before_the_offset_are_applied(self):
        if self.follower.end is None or self.follower.era != self.feed.era:
            return
        expected = {}
        for record in self.feed.records[: self.follower.end]:
            if record.value:
                expected[record.key] = record.value
            else:
                expected.pop(record.key, None)
        assert self.sink.values == expected


TestRelay = RelayMachine.TestCase
TestRelay.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=30, derandomize=True, deadline=None
)
