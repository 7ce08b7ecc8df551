import pytest

from dotterelgrade_routing import leadership as leadership_lib
from dotterelgrade_routing import platform_port

_OWN = "10.0.0.1:1"
_OTHER = "10.0.0.2:1"


def _term(number, planner):
    return platform_port.Term(number=number, planner=planner)


def _elected(at):
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(1, _OWN), at=at)
    return leadership


def _unanswered(number, planner, *, now):
    """A front whose planner answered, and then does so no longer."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(number, planner), at=now)
    leadership.note_answered(planner)
    leadership.note_unanswered(now=now)
    return leadership


def test_only_the_elected_front_leads():
    assert not leadership_lib.Leadership(_OWN).leads
    assert _elected(0.0).leads
    leadership = _elected(0.0)
    leadership.note_term(_term(2, _OTHER), at=1.0)
    assert not leadership.leads


def test_a_planner_that_starts_again_goes_on():
    """Load pattern: all processes are killed and start at once."""
    assert _elected(0.0).leads
    other = leadership_lib.Leadership(_OTHER)
    other.note_term(_term(1, _OWN), at=0.0)
    assert not other.should_claim(delay_s=0.0, now=60.0)


def test_a_term_ends_only_when_its_planner_does_not_answer():
    leadership = _unanswered(4, _OTHER, now=10.0)
    assert not leadership.should_claim(delay_s=0.5, now=10.4)
    assert leadership.should_claim(delay_s=0.5, now=10.5)
    leadership.note_answered(_OTHER)
    assert not leadership.should_claim(delay_s=0.5, now=20.0)


def test_a_newer_term_is_not_ended_before_its_planner_was_asked():
    """Load pattern: many fronts find the planner dead at once."""
    leadership = _unanswered(4, _OTHER, now=10.0)
    leadership.note_term(_term(5, "10.0.0.3:1"), at=10.4)
    assert not leadership.should_claim(delay_s=0.0, now=60.0)
    leadership.note_unanswered(now=61.0)
    settles_s = leadership_lib.SETTLES_S
    assert not leadership.should_claim(delay_s=0.0, now=61.0 + settles_s / 2)
    assert leadership.should_claim(delay_s=0.0, now=61.0 + settles_s)


def test_a_successor_that_answered_is_replaced_as_soon_as_it_is_lost():
    """Load pattern: a planner hands over, and its successor is killed."""
    leadership = _unanswered(4, _OTHER, now=10.0)
    successor = "10.0.0.3:1"
    # It sends snapshots before this front has read of its term.
    leadership.note_answered(successor)
    leadership.note_term(_term(5, successor), at=20.0)
    leadership.note_unanswered(now=20.0)
    assert leadership.should_claim(delay_s=0.0, now=20.0)


def test_the_first_term_is_claimed_without_waiting_for_anybody():
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(0, ""), at=0.0)
    leadership.note_unanswered(now=0.0)
    assert leadership.should_claim(delay_s=0.0, now=0.0)


def test_who_resigned_does_not_lead_again_in_that_term():
    leadership = _elected(0.0)
    leadership.resign()
    assert not leadership.leads
    leadership.note_term(_term(1, _OWN), at=1.0)
    assert not leadership.leads
    leadership.note_term(_term(2, _OWN), at=2.0)
    assert leadership.leads


def test_a_planner_that_is_cut_off_alone_steps_down():
    leadership = _elected(0.0)
    leadership.note_others(heard_store_at=leadership_lib.CONFIRMED_FOR_S)
    assert leadership.leads
    leadership.note_others(heard_store_at=leadership_lib.CONFIRMED_FOR_S + 0.1)
    assert not leadership.leads


def test_who_stepped_down_stays_down_until_the_store_confirms_it():
    """The other fronts leave it, so nobody reaches the store any more."""
    leadership = _elected(0.0)
    leadership.note_others(heard_store_at=10.0)
    leadership.note_others(heard_store_at=float("-inf"))
    assert not leadership.leads
    leadership.note_term(_term(1, _OWN), at=11.0)
    assert leadership.leads


def test_a_planner_goes_on_while_nobody_reaches_the_store():
    """Load pattern: the store goes silent; all heard it at about the end."""
    leadership = _elected(17.4)
    for _ in range(100):
        leadership.note_others(heard_store_at=18.0)
    assert leadership.leads


def test_fronts_claim_one_after_another():
    """Load pattern: the planner is lost, and every front would claim."""
    fronts = [f"10.0.0.{i}:1" for i in range(42)]
    delays = sorted(
        leadership_lib.claim_delay_s(fronts, own=own, chance=0.5)
        for own in fronts
    )
    assert delays[0] == 0.0
    assert delays[1] > 0.0
    assert delays[-1] <= 3.0


def test_while_the_store_is_away_a_front_may_act_until_its_return():
    """Load pattern: the store goes silent just after an election."""
    leadership = leadership_lib.Leadership(_OWN)
    away_s = leadership_lib.STORE_AWAY_S
    leadership.note_term(_term(3, _OTHER), at=0.0)
    assert not leadership.try_acting(store_silent_s=away_s - 0.1, asked=0)
    assert not leadership.try_acting(store_silent_s=away_s, asked=1)
    assert not leadership.leads
    assert leadership.try_acting(store_silent_s=away_s, asked=0)
    assert leadership.leads
    leadership.note_term(_term(4, _OTHER), at=1.0)
    assert not leadership.leads


def test_who_acts_goes_on_until_it_has_claimed_a_term():
    """Load pattern: a crash comes just as the store returns."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(3, _OTHER), at=0.0)
    assert leadership.try_acting(store_silent_s=60.0, asked=0)
    leadership.note_term(_term(3, _OTHER), at=1.0)
    assert leadership.leads
    assert leadership.should_claim(delay_s=60.0, now=1.0)
    leadership.note_term(_term(4, _OWN), at=2.0)
    assert leadership.leads
    assert not leadership.should_claim(delay_s=0.0, now=3.0)


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
    leadership = leadership_lib.Leadership(_OWN)
    leadership.succeed()
    assert leadership.leads


def _candidate(address, *, strong=True, store_silent_s=0.2):
    return leadership_lib.Candidate(
        address=address, strong=strong, store_silent_s=store_silent_s
    )


def test_all_fronts_name_the_same_successor():
    fronts = [_candidate(f"10.0.0.{number}:1") for number in range(1, 4)]
    named = leadership_lib.successor(fronts)
    assert named in {front.address for front in fronts}
    assert named == leadership_lib.successor(reversed(fronts))
    assert leadership_lib.successor(()) == ""


def test_a_successor_reaches_the_store_and_is_strong():
    """Load pattern: the store turns some hosts away, the planner's too."""
    fronts = [
        _candidate("10.0.0.1:1", store_silent_s=9.0),
        _candidate("10.0.0.2:1", strong=False),
        _candidate("10.0.0.3:1"),
        _candidate("10.0.0.4:1", store_silent_s=9.0, strong=False),
    ]
    order = []
    while fronts:
        named = leadership_lib.successor(fronts)
        order.append(named[7])
        fronts = [front for front in fronts if front.address != named]
    assert order == ["3", "2", "1", "4"]


def test_only_who_lost_the_store_passes_its_place_on():
    leadership = _elected(0.0)
    assert not leadership.cut_off
    leadership.note_others(heard_store_at=10.0)
    assert leadership.cut_off
    leadership.note_term(_term(2, _OTHER), at=11.0)
    assert not leadership.cut_off


def test_fronts_on_weak_hosts_claim_after_all_others():
    """Load pattern: a planner behind a link of 7 Mbit/s hears nobody."""
    fronts = [f"10.0.0.{i}:1" for i in range(42)]
    weak = leadership_lib.claim_delay_s(
        fronts, own=fronts[0], chance=0.0, strong=False
    )
    latest = max(
        leadership_lib.claim_delay_s(fronts, own=own, chance=1.0)
        for own in fronts
    )
    assert weak > latest
    assert not leadership_lib.is_strong(cores=0.27, link_bits_per_s=7e6)
    assert leadership_lib.is_strong(cores=0.56, link_bits_per_s=350e6)


def test_a_front_on_a_weak_host_acts_later():
    away_s = leadership_lib.STORE_AWAY_S
    leadership = leadership_lib.Leadership(_OWN)
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


def _term_of(era, number, planner):
    return platform_port.Term(number=number, planner=planner, era=era)


def test_a_successor_acts_for_the_term_that_ends():
    """Load pattern: the store turns the planner away; its successor does not
    know yet of the term that ends."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(1, "10.0.0.3:1"), at=0.0)
    leadership.succeed(_term(2, _OTHER))
    leadership.note_term(_term(2, _OTHER), at=1.0)
    assert leadership.leads
    assert leadership.should_claim(delay_s=60.0, now=1.0)
    leadership.note_term(_term(3, "10.0.0.3:1"), at=2.0)
    assert not leadership.leads


def test_who_hears_the_store_no_longer_steps_down_while_others_do():
    """Load pattern: the store turns the planner away and serves the others."""
    heard_s = leadership_lib.HEARD_FOR_S
    leadership = _elected(0.0)
    leadership.note_others(heard_store_at=heard_s, own_heard_at=0.0)
    assert leadership.leads
    leadership.note_others(heard_store_at=heard_s + 0.1, own_heard_at=0.0)
    assert not leadership.leads
    assert leadership.cut_off


def test_who_acts_beside_fronts_that_reach_the_store_steps_down():
    leadership = leadership_lib.Leadership(_OWN)
    assert leadership.try_acting(store_silent_s=60.0, asked=0)
    leadership.note_others(heard_store_at=10.0, own_heard_at=0.0)
    assert not leadership.leads
    assert leadership.cut_off


def test_a_planner_claims_again_what_the_store_has_lost():
    """Load pattern: the store goes back to before the planner's claim."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term_of(1, 5, _OWN), at=0.0)
    leadership.note_term(_term_of(2, 4, _OTHER), at=1.0)
    assert leadership.leads
    assert leadership.should_claim(delay_s=60.0, now=1.0)
    leadership.note_term(_term_of(2, 5, _OWN), at=1.1)
    assert leadership.leads
    assert not leadership.should_claim(delay_s=0.0, now=1.2)


def test_two_planners_of_one_number_do_not_both_go_on():
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term_of(1, 5, _OWN), at=0.0)
    leadership.note_term(_term_of(2, 5, _OTHER), at=1.0)
    assert not leadership.leads


def test_a_late_answer_about_an_older_term_changes_nothing():
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(5, _OWN), at=1.0)
    leadership.note_term(_term(4, _OTHER), at=0.5)
    assert leadership.leads
