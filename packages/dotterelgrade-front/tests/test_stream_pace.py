from dotterelgrade_front import stream_pace


def test_the_time_to_the_first_event_is_not_a_pause():
    pace = stream_pace.StreamPace(10.0)
    pace.record_events(2, at=10.7)
    assert abs(pace.first_event_s - 0.7) < 1e-9
    assert pace.longest_pause_s == 0.0
    assert pace.events == 2


def test_the_longest_pause_is_kept_with_its_position():
    pace = stream_pace.StreamPace(0.0)
    for at in (0.5, 0.6, 1.6, 1.7):
        pace.record_events(1, at=at)
    assert abs(pace.longest_pause_s - 1.0) < 1e-9
    assert pace.pause_after == 2
    assert pace.events == 4
