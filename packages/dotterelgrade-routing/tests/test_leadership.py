import pytest

from dotterelgrade_routing import leadership as leadership_lib


def _elected(at):
    leadership = leadership_lib.Leadership()
    leadership.confirm(leadership_lib.Confirmation(elected=True, at=at))
    return leadership


def test_only_the_elected_front_leads():
    assert not leadership_lib.Leadership().leads
    assert _elected(0.0).leads


def test_a_planner_that_is_cut_off_alone_steps_down():
    leadership = _elected(0.0)
    leadership.note_others(heard_store_at=leadership_lib.CONFIRMED_FOR_S)
    assert leadership.leads
    leadership.note_others(heard_store_at=leadership_lib.CONFIRMED_FOR_S + 0.1)
    assert not leadership.leads


def test_who_stepped_down_stays_down_until_the_store_elects_it():
    """The other fronts leave it, so nobody reaches the store any more."""
    leadership = _elected(0.0)
    leadership.note_others(heard_store_at=10.0)
    leadership.note_others(heard_store_at=float("-inf"))
    assert not leadership.leads
    leadership.confirm(leadership_lib.Confirmation(elected=True, at=11.0))
    assert leadership.leads


def test_a_planner_goes_on_while_nobody_reaches_the_store():
    """Load pattern: the store goes silent; all heard it at about the end."""
    leadership = _elected(17.4)
    for _ in range(100):
        leadership.note_others(heard_store_at=18.0)
    assert leadership.leads


def test_fronts_stand_one_after_another():
    """Load pattern: the planner is lost, and every front would stand."""
    fronts = [f"10.0.0.{i}:1" for i in range(42)]
    delays = sorted(
        leadership_lib.stand_delay_s(fronts, own=own, chance=0.5)
        for own in fronts
    )
    assert delays[0] == 0.0
    assert delays[1] > 0.0
    assert delays[-1] <= 3.0


def test_while_the_store_is_away_a_front_may_act_until_its_return():
    """Load pattern: the store goes silent just after an election."""
    leadership = leadership_lib.Leadership()
    away_s = leadership_lib.STORE_AWAY_S
    assert not leadership.try_acting(store_silent_s=away_s - 0.1, asked=0)
    assert not leadership.try_acting(store_silent_s=away_s, asked=1)
    assert not leadership.leads
    assert leadership.try_acting(store_silent_s=away_s, asked=0)
    assert leadership.leads
    for denials in range(leadership_lib.MOST_DENIALS):
        assert leadership.leads, denials
        leadership.confirm(leadership_lib.Confirmation(elected=False, at=1.0))
    assert not leadership.leads


def test_who_acts_goes_on_until_it_is_elected():
    """Load pattern: a crash comes just as the store returns."""
    leadership = leadership_lib.Leadership()
    assert leadership.try_acting(store_silent_s=60.0, asked=0)
    leadership.confirm(leadership_lib.Confirmation(elected=False, at=1.0))
    assert leadership.leads
    leadership.confirm(leadership_lib.Confirmation(elected=True, at=2.0))
    assert leadership.leads


def test_fronts_agree_who_acts():
    fronts = [f"10.0.0.{i}:1" for i in range(8)]
    asked = {
        own: leadership_lib.successors(fronts, own=own, planner="")
        for own in fronts
    }
    actors = [own for own, before in asked.items() if not before]
    assert len(actors) == 1
    for own, before in asked.items():
        if own not in actors:
            assert before[0] == actors[0]


def test_the_last_planner_is_asked_first():
    fronts = ["a", "b", "c"]
    for own in fronts:
        for planner in fronts:
            asked = leadership_lib.successors(fronts, own=own, planner=planner)
            assert own not in asked
            if planner != own:
                assert asked[0] == planner
                assert len(set(asked)) == len(asked)


def test_who_is_named_by_a_planner_that_leaves_leads_at_once():
    """Load pattern: the planner is stopped while the store is away."""
    leadership = leadership_lib.Leadership()
    leadership.succeed()
    assert leadership.leads


def test_all_fronts_name_the_same_heir():
    fronts = {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
    heir = leadership_lib.heir(fronts)
    assert heir in fronts
    assert heir == leadership_lib.heir(sorted(fronts, reverse=True))
    assert leadership_lib.heir(()) == ""


def test_fronts_on_weak_hosts_stand_after_all_others():
    """Load pattern: a planner behind a link of 7 Mbit/s hears nobody."""
    fronts = [f"10.0.0.{i}:1" for i in range(42)]
    weak = leadership_lib.stand_delay_s(
        fronts, own=fronts[0], chance=0.0, strong=False
    )
    latest = max(
        leadership_lib.stand_delay_s(fronts, own=own, chance=1.0)
        for own in fronts
    )
    assert weak > latest
    assert not leadership_lib.is_strong(cores=0.27, link_bits_per_s=7e6)
    assert leadership_lib.is_strong(cores=0.56, link_bits_per_s=350e6)


def test_a_front_on_a_weak_host_acts_later():
    away_s = leadership_lib.STORE_AWAY_S
    leadership = leadership_lib.Leadership()
    assert not leadership.try_acting(
        store_silent_s=away_s, asked=0, strong=False
    )
    assert leadership.try_acting(store_silent_s=away_s, asked=0)


@pytest.mark.parametrize(
    ("led_s", "silent", "strong", "stronger_waits", "passes_on"),
    [
        (60.0, 0.0, True, True, False),
        (60.0, 0.9, True, False, True),
        (60.0, 0.0, False, True, True),
        (60.0, 0.0, False, False, False),
        (1.0, 0.9, False, True, False),
    ],
)
def test_a_planner_passes_its_place_on(
    led_s, silent, strong, stronger_waits, passes_on
):
    """Who has just taken over believes the silence, and plans with the rest."""
    assert passes_on == leadership_lib.should_pass_on(
        led_s=led_s,
        silent=silent,
        strong=strong,
        stronger_waits=stronger_waits,
    )
