import time

import gevent
import pytest

from dotterelgrade_front import loop_monitor


@pytest.fixture
def monitor(front):
    return loop_monitor.LoopMonitor(front.state)


def _delays(front):
    entries = front.state.decisions.journal.latest()
    return [e for e in entries if "event_loop_delayed" in str(e)]


def test_work_without_a_break_is_measured(front, monitor):
    greenlet = gevent.spawn(monitor.run)
    gevent.sleep(0.01)
    time.sleep(loop_monitor.CHECK_INTERVAL_S * 3)
    gevent.sleep(0.05)
    greenlet.kill()
    assert front.state.metrics.loop_delay.percentile(100.0) > 0.1


def test_lines_about_delays_are_bounded(front, monitor):
    for _ in range(20):
        monitor.note_delay(0.2)
    assert front.state.metrics.loop_delay.count == 20
    assert len(_delays(front)) == 1


def test_short_delays_are_not_logged(front, monitor):
    monitor.note_delay(0.01)
    assert not _delays(front)
