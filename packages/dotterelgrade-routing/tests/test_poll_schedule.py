from dotterelgrade_routing import backend_server
from dotterelgrade_routing import poll_schedule

_NEVER = float("-inf")


def _due(server_id, *, polled_at=_NEVER, suspected=False):
    server = backend_server.BackendServer(
        id=server_id,
        service="model",
        address="10.0.0.1:80",
        failure_domain="a",
        availability=backend_server.Availability.READY,
        slots=1,
    )
    return poll_schedule.DuePoll(
        server=server, polled_at=polled_at, suspected=suspected
    )


def _ids(polls):
    return [poll.server.id for poll in polls]


def test_suspected_engines_come_first_then_the_longest_unpolled():
    schedule = poll_schedule.PollSchedule(cores=1.0)
    due = [
        _due("new", polled_at=5.0),
        _due("suspected", polled_at=6.0, suspected=True),
        _due("old", polled_at=1.0),
        _due("never"),
    ]
    chosen = schedule.choose(due, most=3, now=10.0)
    assert _ids(chosen) == ["suspected", "never", "old"]


def test_polls_of_thousands_of_engines_take_a_share_of_a_weak_host():
    """2,000 engines are due at every tick of a planner on half a core."""
    cores = 0.5
    schedule = poll_schedule.PollSchedule(cores=cores)
    due = [_due(f"e{number}") for number in range(2_000)]
    seconds = 20
    polls = sum(
        len(schedule.choose(due, most=1_000, now=tick / 5))
        for tick in range(seconds * 5)
    )
    busy_s = polls * poll_schedule.POLL_COST_S / cores
    burst_s = poll_schedule.MAX_BURST * poll_schedule.POLL_COST_S / cores
    assert busy_s <= poll_schedule.MAX_POLL_SHARE * seconds + burst_s
    assert busy_s >= 0.9 * poll_schedule.MAX_POLL_SHARE * seconds


def test_a_fleet_of_usual_size_is_polled_whole_at_once():
    schedule = poll_schedule.PollSchedule(cores=0.25)
    due = [_due(f"e{number}") for number in range(59)]
    assert len(schedule.choose(due, most=64, now=1.0)) == 59


def test_no_more_are_chosen_than_can_be_polled():
    schedule = poll_schedule.PollSchedule(cores=1.0)
    due = [_due(f"e{number}") for number in range(9)]
    assert len(schedule.choose(due, most=0, now=1.0)) == 0
