import time

import gevent
import pytest

from dotterelgrade_front import processor_share


def _work(share, order, name):
    with share.turn():
        order.append(name)
        began_s = time.thread_time()
        while time.thread_time() - began_s < 0.01:
            pass


def test_turns_leave_time_for_other_greenlets():
    """Bodies of tiny chunks kept all others from running."""
    share = processor_share.ProcessorShare(0.25)
    order = []
    workers = [gevent.spawn(_work, share, order, n) for n in range(3)]
    gevent.spawn(order.append, "other")
    gevent.joinall(workers)
    assert [n for n in order if n != "other"] == [0, 1, 2]
    assert order.index("other") < order.index(2)


def test_a_turn_that_fails_is_given_on():
    share = processor_share.ProcessorShare(0.25)
    with pytest.raises(RuntimeError), share.turn():
        raise RuntimeError
    order = []
    _work(share, order, 0)
    assert order == [0]
