"""Guards against one kind of work that takes all processor time."""

import time

import gevent
import pytest

from dotterelgrade import work_share


def test_a_turn_is_followed_by_a_pause_in_proportion():
    now, slept = [0.0], []
    share = work_share.WorkShare(
        0.25,
        clock=lambda: now[0],
        processor_time=lambda: now[0],
        sleep=slept.append,
    )
    with share.turn():
        now[0] += 2.0
    with share.turn():
        pass
    assert slept == [0.0, 6.0]
    now[0] += 100.0
    with share.turn():
        pass
    assert slept == [0.0, 6.0, 0.0]


def _work(share, order, name):
    with share.turn():
        order.append(name)
        began_s = time.thread_time()
        while time.thread_time() - began_s < 0.01:
            pass


def test_turns_leave_time_for_other_greenlets():
    """Bodies of tiny chunks kept all others from running."""
    share = work_share.WorkShare(0.25)
    order = []
    workers = [gevent.spawn(_work, share, order, n) for n in range(3)]
    gevent.spawn(order.append, "other")
    gevent.joinall(workers)
    assert [n for n in order if n != "other"] == [0, 1, 2]
    assert order.index("other") < order.index(2)


def test_a_turn_that_fails_is_given_on():
    share = work_share.WorkShare(0.25)
    with pytest.raises(RuntimeError), share.turn():
        raise RuntimeError
    order = []
    _work(share, order, 0)
    assert order == [0]
