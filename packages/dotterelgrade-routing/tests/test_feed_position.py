from dotterelgrade_routing import feed_position
from dotterelgrade_routing import feed_timing

_VALID_S = feed_timing.RELAY_VALID_S


def _position_at(end):
    position = feed_position.FeedPosition()
    position.advance(end)
    return position


def test_before_the_first_read_nothing_is_covered():
    position = feed_position.FeedPosition()
    position.note_planner_position(end=5, current_at=0.0)
    assert position.relay_valid_for_s(now=0.0) == 0.0
    assert not position.is_contiguous(0)


def test_the_planners_position_is_valid_for_a_while():
    """Guards against a planner that is lost just after its last message."""
    position = _position_at(5)
    position.note_planner_position(end=5, current_at=0.0)
    assert position.relay_valid_for_s(now=0.0) == _VALID_S
    assert position.relay_valid_for_s(now=0.0 + _VALID_S) == 0.0


def test_a_planner_at_another_offset_covers_nothing():
    """Guards against a front that missed records while it reconnected."""
    position = _position_at(5)
    for end in (4, 6):
        position.note_planner_position(end=end, current_at=10.0)
        assert position.relay_valid_for_s(now=10.0) == 0.0


def test_an_outdated_planner_position_covers_nothing():
    """Guards against a planner that has lost the store itself."""
    position = _position_at(5)
    position.note_planner_position(end=5, current_at=10.0 - _VALID_S)
    assert position.relay_valid_for_s(now=10.0) == 0.0


def test_records_must_follow_without_a_gap():
    position = _position_at(5)
    assert position.is_contiguous(5)
    assert position.is_contiguous(3)
    assert not position.is_contiguous(6)


def test_the_offset_never_decreases():
    position = _position_at(5)
    position.advance(3)
    assert position.end == 5
    position.reset()
    assert position.end is None


def test_offsets_of_different_eras_are_not_compared():
    """Guards against a store restored from a backup that is seconds old."""
    position = _position_at(5)
    assert position.start_era(1)
    assert position.end is None
    assert not position.advance(9, era=0)
    assert position.advance(3, era=1)
    assert position.end == 3
    assert not position.is_contiguous(3, era=0)
    assert position.is_contiguous(3, era=1)
    assert not position.start_era(1)
    assert not position.start_era(0)


def test_a_planner_of_another_era_covers_nothing():
    position = _position_at(5)
    position.start_era(1)
    position.advance(5, era=1)
    position.note_planner_position(end=5, current_at=10.0, era=0)
    assert position.relay_valid_for_s(now=10.0) == 0.0
    position.note_planner_position(end=5, current_at=10.0, era=1)
    assert position.relay_valid_for_s(now=10.0) > 0.0
