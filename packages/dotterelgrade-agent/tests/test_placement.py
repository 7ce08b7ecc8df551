from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from dotterelgrade import errors
from dotterelgrade import log_client
from dotterelgrade_agent import placement as placement_lib

SEAT = "place model=inlay layers=0-2#0"


def _of(host):
    return {"host": host, "peer_port": 7400, "backend": "engine"}


def _record(offset, item):
    return log_client.Record(offset=offset, body=placement_lib.encode(item))


def _take_over(number, host, expects):
    return placement_lib.TakeOver(
        **_of(host), id=str(number), seat=SEAT, expects=expects
    )


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b'{"type": "steal"}'])
def test_a_broken_record_counts_as_folded(body):
    placement = placement_lib.Placement()
    with pytest.raises(errors.DotterelgradeError):
        placement.apply(log_client.Record(offset=1, body=body))
    assert (placement.offset, placement.is_complete) == (1, True)


def test_a_reader_that_came_late_learns_a_seat_from_its_renewal():
    placement = placement_lib.Placement()
    renewal = placement_lib.Renewal(**_of("a"), seat=SEAT, fence=7)
    placement.apply(_record(50, renewal))
    assert not placement.is_complete
    assert placement.seat(SEAT).holder[0] == "a"
    assert placement.apply(_record(51, _take_over(1, "b", 6)))[1] == "rejected"
    assert placement.apply(_record(52, _take_over(2, "b", 7)))[1] == "accepted"


class PlacementMachine(stateful.RuleBasedStateMachine):
    """Agents with stale views take and leave one seat."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.reader = placement_lib.Placement()
        self.late_reader = placement_lib.Placement()
        self.views = [0]
        self.holders = []

    @stateful.rule(host=st.sampled_from("abc"), age=st.integers(0, 3))
    def take_over(self, host, age):
        expects = self.views[max(len(self.views) - 1 - age, 0)]
        item = _take_over(len(self.log), host, expects)
        self.log.append(_record(len(self.log) + 1, item))
        verdict = self.reader.apply(self.log[-1])[1]
        is_current = expects == self.views[-1]
        assert (verdict == "accepted") == is_current
        if is_current:
            self.views.append(len(self.log))
            self.holders.append(host)

    @stateful.rule(host=st.sampled_from("abc"), stale=st.booleans())
    def vacate(self, host, stale):
        fence = self.views[-1] - stale
        item = placement_lib.Vacation(**_of(host), seat=SEAT, fence=fence)
        self.log.append(_record(len(self.log) + 1, item))
        self.reader.apply(self.log[-1])
        if self.holders and self.holders[-1] == host and not stale:
            self.holders[-1] = None

    @stateful.rule(count=st.integers(1, 5))
    def read_late(self, count):
        start = self.late_reader.offset
        for record in self.log[start : start + count]:
            self.late_reader.apply(record)

    @stateful.invariant()
    def the_holder_is_the_last_accepted_one(self):
        holder = self.reader.seat(SEAT).holder
        expected = self.holders[-1] if self.holders else None
        assert (holder and holder[0]) == expected

    @stateful.invariant()
    def readers_at_one_offset_agree(self):
        if self.late_reader.offset == self.reader.offset:
            assert self.late_reader.seat(SEAT) == self.reader.seat(SEAT)


PlacementMachine.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
TestPlacementMachine = PlacementMachine.TestCase
