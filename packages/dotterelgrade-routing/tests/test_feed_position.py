from dotterelgrade_routing import feed_position

_VALID_S = feed_position.RELAY_VALID_S


def _at(end):
    position = feed_position.FeedPosition()
    position.advance(end)
    return position


def test_before_the_first_read_nothing_is_covered():
    position = feed_position.FeedPosition()
    position.note_relayed(end=5, heard_at=0.0)
    assert position.covered_s(now=0.0) == 0.0
    assert not position.continues(0)


def test_the_planners_word_suffices_for_a_while():
    """Load pattern: the planner is cut off just after its last message."""
    position = _at(5)
    position.note_relayed(end=5, heard_at=0.0)
    assert position.covered_s(now=0.0) == _VALID_S
    assert position.covered_s(now=0.0 + _VALID_S) == 0.0


def test_a_planner_that_is_ahead_or_behind_covers_nothing():
    """Load pattern: a front reconnects and has missed records."""
    position = _at(5)
    for end in (4, 6):
        position.note_relayed(end=end, heard_at=10.0)
        assert position.covered_s(now=10.0) == 0.0


def test_an_old_word_of_the_planner_covers_nothing():
    """Load pattern: the planner itself is cut off from the store."""
    position = _at(5)
    position.note_relayed(end=5, heard_at=10.0 - _VALID_S)
    assert position.covered_s(now=10.0) == 0.0


def test_records_must_leave_no_gap():
    position = _at(5)
    assert position.continues(5)
    assert position.continues(3)
    assert not position.continues(6)


def test_the_offset_never_goes_back():
    position = _at(5)
    position.advance(3)
    assert position.end == 5
    position.reset()
    assert position.end is None


def test_offsets_of_two_eras_are_never_compared():
    """Load pattern: the store comes back from a copy that is seconds old."""
    position = _at(5)
    assert position.enter(1)
    assert position.end is None
    assert not position.advance(9, era=0)
    assert position.advance(3, era=1)
    assert position.end == 3
    assert not position.continues(3, era=0)
    assert position.continues(3, era=1)
    assert not position.enter(1)
    assert not position.enter(0)


def test_a_planner_of_another_era_covers_nothing():
    position = _at(5)
    position.enter(1)
    position.advance(5, era=1)
    position.note_relayed(end=5, heard_at=10.0, era=0)
    assert position.covered_s(now=10.0) == 0.0
    position.note_relayed(end=5, heard_at=10.0, era=1)
    assert position.covered_s(now=10.0) > 0.0
