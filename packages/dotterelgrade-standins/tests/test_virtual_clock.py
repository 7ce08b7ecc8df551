import types

import gevent
from gevent import event

from dotterelgrade_standins import virtual_clock


def _module():
    return types.SimpleNamespace(time=None, event=event, gevent=gevent)


def test_limits_end_when_time_passes_and_not_before():
    clock = virtual_clock.Clock()
    module = _module()
    seen = []

    def wait():
        try:
            module.event.AsyncResult().get(timeout=5)
        except gevent.Timeout:
            seen.append(module.time.monotonic())

    with clock.patching([module]):
        started = clock.now
        gevent.spawn(wait)
        gevent.spawn(lambda: seen.append(module.event.Event().wait(7)))
        gevent.spawn(lambda: module.gevent.sleep(9) or seen.append("slept"))
        virtual_clock.settle()
        clock.advance(4)
        assert seen == []
        clock.advance(1)
        assert seen == [started + 5]
        clock.advance(10)
        assert seen[1:] == [None, "slept"]
    assert module.gevent is gevent


def test_value_that_comes_in_time_wins():
    clock = virtual_clock.Clock()
    module = _module()
    seen = []
    with clock.patching([module]):
        value = module.event.AsyncResult()
        gevent.spawn(lambda: seen.append(value.get(timeout=5)))
        virtual_clock.settle()
        clock.advance(1)
        value.set("in time")
        clock.advance(10)
    assert seen == ["in time"]
