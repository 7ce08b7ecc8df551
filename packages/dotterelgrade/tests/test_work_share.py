"""Guards against one kind of work that takes all processor time."""

from dotterelgrade import work_share


def test_a_turn_is_followed_by_a_pause_in_proportion():
    now, slept = [0.0], []
    share = work_share.WorkShare(0.25, clock=lambda: now[0], sleep=slept.append)
    with share.turn():
        now[0] += 2.0
    with share.turn():
        pass
    assert slept == [6.0]
    now[0] += 100.0
    with share.turn():
        pass
    assert slept == [6.0]
