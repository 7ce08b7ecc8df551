from dotterelgrade_routing import report_times


def test_a_counted_report_dates_later_statements():
    times = report_times.ReportTimes()
    assert times.counted_at == float("-inf")
    times.note_sent(1, at=1.0)
    times.note_sent(2, at=2.0)
    times.note_counted(1)
    assert times.counted_at == 1.0
    times.note_counted(2)
    times.note_counted(2)
    assert times.counted_at == 2.0


def test_a_report_that_was_not_sent_dates_nothing():
    """A planner may repeat a number of an earlier connection."""
    times = report_times.ReportTimes()
    times.note_sent(3, at=3.0)
    times.note_counted(2)
    times.note_counted(4)
    assert times.counted_at == float("-inf")


def test_pending_reports_are_bounded():
    """The planner takes reports but counts none."""
    times = report_times.ReportTimes()
    for number in range(10_000):
        times.note_sent(number, at=float(number))
    assert "256" in repr(times)
