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
    """A front whose planner answered and then stopped answering."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(number, planner), at=now)
    leadership.note_planner_answered(planner)
    leadership.note_planner_missing(now=now)
    return leadership


def test_only_the_elected_front_leads():
    assert not leadership_lib.Leadership(_OWN).leads
    assert _elected(0.0).leads
    leadership = _elected(0.0)
    leadership.note_term(_term(2, _OTHER), at=1.0)
    assert not leadership.leads


def test_a_restarted_planner_resumes_its_term():
    """Guards against an election when all processes restart at once."""
    assert _elected(0.0).leads
    other = leadership_lib.Leadership(_OTHER)
    other.note_term(_term(1, _OWN), at=0.0)
    assert not other.should_claim(delay_s=0.0, now=60.0)


def test_a_term_ends_only_when_its_planner_does_not_answer():
    leadership = _unanswered(4, _OTHER, now=10.0)
    assert not leadership.should_claim(delay_s=0.5, now=10.4)
    assert leadership.should_claim(delay_s=0.5, now=10.5)
    leadership.note_planner_answered(_OTHER)
    assert not leadership.should_claim(delay_s=0.5, now=20.0)


def test_a_newer_term_is_not_ended_before_its_planner_was_asked():
    """Guards against many fronts that detect the lost planner at once."""
    leadership = _unanswered(4, _OTHER, now=10.0)
    leadership.note_term(_term(5, "10.0.0.3:1"), at=10.4)
    assert not leadership.should_claim(delay_s=0.0, now=60.0)
    leadership.note_planner_missing(now=61.0)
    settles_s = leadership_lib.CLAIM_SETTLE_S
    assert not leadership.should_claim(delay_s=0.0, now=61.0 + settles_s / 2)
    assert leadership.should_claim(delay_s=0.0, now=61.0 + settles_s)


def test_a_successor_that_answered_is_replaced_as_soon_as_it_is_lost():
    """Guards against a successor that is killed after the handover."""
    leadership = _unanswered(4, _OTHER, now=10.0)
    successor = "10.0.0.3:1"
    # It sends snapshots before this front has read its term.
    leadership.note_planner_answered(successor)
    leadership.note_term(_term(5, successor), at=20.0)
    leadership.note_planner_missing(now=20.0)
    assert leadership.should_claim(delay_s=0.0, now=20.0)


def test_the_first_term_is_claimed_at_once():
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(0, ""), at=0.0)
    leadership.note_planner_missing(now=0.0)
    assert leadership.should_claim(delay_s=0.0, now=0.0)


def test_a_planner_that_resigned_does_not_lead_again_in_that_term():
    leadership = _elected(0.0)
    leadership.resign()
    assert not leadership.leads
    leadership.note_term(_term(1, _OWN), at=1.0)
    assert not leadership.leads
    leadership.note_term(_term(2, _OWN), at=2.0)
    assert leadership.leads


def test_a_planner_steps_down_if_only_it_lost_the_store():
    leadership = _elected(0.0)
    leadership.note_peer_contact(
        heard_store_at=leadership_lib.TERM_CONFIRMATION_TIMEOUT_S
    )
    assert leadership.leads
    leadership.note_peer_contact(
        heard_store_at=leadership_lib.TERM_CONFIRMATION_TIMEOUT_S + 0.1
    )
    assert not leadership.leads


def test_a_planner_leads_again_only_after_its_term_is_confirmed():
    """The other fronts disconnect, so none of them reports store contact."""
    leadership = _elected(0.0)
    leadership.note_peer_contact(heard_store_at=10.0)
    leadership.note_peer_contact(heard_store_at=float("-inf"))
    assert not leadership.leads
    leadership.note_term(_term(1, _OWN), at=11.0)
    assert leadership.leads


def test_a_planner_keeps_leading_in_an_outage_of_the_store():
    """Guards against stepping down when all lose the store at once."""
    leadership = _elected(17.4)
    for _ in range(100):
        leadership.note_peer_contact(heard_store_at=18.0)
    assert leadership.leads


def test_fronts_claim_one_after_another():
    """Guards against all fronts claiming at once when the planner is lost."""
    fronts = [f"10.0.0.{i}:1" for i in range(42)]
    delays = sorted(
        leadership_lib.claim_delay_s(fronts, own=own, jitter=0.5)
        for own in fronts
    )
    assert delays[0] == 0.0
    assert delays[1] > 0.0
    assert delays[-1] <= 3.0


def test_a_front_acts_in_an_outage_until_another_claims_a_term():
    """Guards against a store that fails just after an election."""
    leadership = leadership_lib.Leadership(_OWN)
    outage_s = leadership_lib.STORE_OUTAGE_AFTER_S
    leadership.note_term(_term(3, _OTHER), at=0.0)
    assert not leadership.try_acting(
        store_silent_s=outage_s - 0.1, unanswered=0
    )
    assert not leadership.try_acting(store_silent_s=outage_s, unanswered=1)
    assert not leadership.leads
    assert leadership.try_acting(store_silent_s=outage_s, unanswered=0)
    assert leadership.leads
    leadership.note_term(_term(4, _OTHER), at=1.0)
    assert not leadership.leads


def test_an_acting_planner_continues_until_it_has_claimed_a_term():
    """Guards against a crash just as the store becomes available."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(3, _OTHER), at=0.0)
    assert leadership.try_acting(store_silent_s=60.0, unanswered=0)
    leadership.note_term(_term(3, _OTHER), at=1.0)
    assert leadership.leads
    assert leadership.should_claim(delay_s=60.0, now=1.0)
    leadership.note_term(_term(4, _OWN), at=2.0)
    assert leadership.leads
    assert not leadership.should_claim(delay_s=0.0, now=3.0)


def test_fronts_agree_on_the_acting_planner():
    fronts = [f"10.0.0.{i}:1" for i in range(8)]
    asked = {
        own: leadership_lib.preceding_fronts(fronts, own=own, planner="")
        for own in fronts
    }
    acting = [own for own, before in asked.items() if not before]
    assert len(acting) == 1
    for own, before in asked.items():
        if own not in acting:
            assert before[0] == acting[0]


def test_the_last_planner_is_asked_first():
    fronts = ["a", "b", "c"]
    for own in fronts:
        for planner in fronts:
            asked = leadership_lib.preceding_fronts(
                fronts, own=own, planner=planner
            )
            assert own not in asked
            if planner != own:
                assert asked[0] == planner
                assert len(set(asked)) == len(asked)


def test_a_named_successor_leads_at_once():
    """Guards against a planner that is stopped in an outage of the store."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.take_over()
    assert leadership.leads


def _candidate(address, *, strong=True, store_silent_s=0.2):
    return leadership_lib.SuccessorCandidate(
        address=address, strong=strong, store_silent_s=store_silent_s
    )


def test_the_successor_does_not_depend_on_the_order_of_fronts():
    fronts = [_candidate(f"10.0.0.{number}:1") for number in range(1, 4)]
    chosen = leadership_lib.choose_successor(fronts)
    assert chosen in {front.address for front in fronts}
    assert chosen == leadership_lib.choose_successor(reversed(fronts))
    assert leadership_lib.choose_successor(()) == ""


def test_a_successor_is_chosen_by_store_contact_then_strength():
    """Guards against a store that rejects some hosts, and the planner's."""
    fronts = [
        _candidate("10.0.0.1:1", store_silent_s=9.0),
        _candidate("10.0.0.2:1", strong=False),
        _candidate("10.0.0.3:1"),
        _candidate("10.0.0.4:1", store_silent_s=9.0, strong=False),
    ]
    order = []
    while fronts:
        chosen = leadership_lib.choose_successor(fronts)
        order.append(chosen[7])
        fronts = [front for front in fronts if front.address != chosen]
    assert order == ["3", "2", "1", "4"]


def test_a_planner_lost_the_store_until_another_term_is_read():
    leadership = _elected(0.0)
    assert not leadership.lost_store
    leadership.note_peer_contact(heard_store_at=10.0)
    assert leadership.lost_store
    leadership.note_term(_term(2, _OTHER), at=11.0)
    assert not leadership.lost_store


def test_fronts_on_weak_hosts_claim_after_all_others():
    """Guards against a planner whose 7 Mbit/s link loses all reports."""
    fronts = [f"10.0.0.{i}:1" for i in range(42)]
    weak = leadership_lib.claim_delay_s(
        fronts, own=fronts[0], jitter=0.0, strong=False
    )
    latest = max(
        leadership_lib.claim_delay_s(fronts, own=own, jitter=1.0)
        for own in fronts
    )
    assert weak > latest
    assert not leadership_lib.is_strong(cores=0.27, link_bits_per_s=7e6)
    assert leadership_lib.is_strong(cores=0.56, link_bits_per_s=350e6)


def test_a_front_on_a_weak_host_acts_later():
    outage_s = leadership_lib.STORE_OUTAGE_AFTER_S
    leadership = leadership_lib.Leadership(_OWN)
    assert not leadership.try_acting(
        store_silent_s=outage_s, unanswered=0, strong=False
    )
    assert leadership.try_acting(store_silent_s=outage_s, unanswered=0)


@pytest.mark.parametrize(
    ("led_s", "silent", "strong", "stronger_available", "hands_over"),
    [
        (60.0, 0.0, True, True, False),
        (60.0, 0.9, True, False, True),
        (60.0, 0.0, False, True, True),
        (60.0, 0.0, False, False, False),
        (1.0, 0.9, False, True, False),
    ],
)
def test_when_a_planner_hands_over(
    led_s, silent, strong, stronger_available, hands_over
):
    """A new planner takes silent engines as lost, and plans with the rest."""
    assert hands_over == leadership_lib.should_hand_over(
        led_s=led_s,
        silent=silent,
        strong=strong,
        stronger_available=stronger_available,
    )


def _term_of(era, number, planner):
    return platform_port.Term(number=number, planner=planner, era=era)


def test_a_successor_acts_for_the_term_that_ends():
    """Guards against a successor that has not read the ended term yet."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(1, "10.0.0.3:1"), at=0.0)
    leadership.take_over(_term(2, _OTHER))
    leadership.note_term(_term(2, _OTHER), at=1.0)
    assert leadership.leads
    assert leadership.should_claim(delay_s=60.0, now=1.0)
    leadership.note_term(_term(3, "10.0.0.3:1"), at=2.0)
    assert not leadership.leads


def test_a_planner_steps_down_if_only_others_reach_the_store():
    """Guards against a store that rejects only the planner's host."""
    heard_s = leadership_lib.STORE_CONTACT_TIMEOUT_S
    leadership = _elected(0.0)
    leadership.note_peer_contact(heard_store_at=heard_s, own_heard_at=0.0)
    assert leadership.leads
    leadership.note_peer_contact(heard_store_at=heard_s + 0.1, own_heard_at=0.0)
    assert not leadership.leads
    assert leadership.lost_store


def test_an_acting_planner_steps_down_if_others_reach_the_store():
    leadership = leadership_lib.Leadership(_OWN)
    assert leadership.try_acting(store_silent_s=60.0, unanswered=0)
    leadership.note_peer_contact(heard_store_at=10.0, own_heard_at=0.0)
    assert not leadership.leads
    assert leadership.lost_store


def test_a_planner_claims_again_a_term_that_the_store_lost():
    """Guards against a store restored to before the planner's claim."""
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term_of(1, 5, _OWN), at=0.0)
    leadership.note_term(_term_of(2, 4, _OTHER), at=1.0)
    assert leadership.leads
    assert leadership.should_claim(delay_s=60.0, now=1.0)
    leadership.note_term(_term_of(2, 5, _OWN), at=1.1)
    assert leadership.leads
    assert not leadership.should_claim(delay_s=0.0, now=1.2)


def test_of_two_planners_with_one_term_number_the_older_stops():
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term_of(1, 5, _OWN), at=0.0)
    leadership.note_term(_term_of(2, 5, _OTHER), at=1.0)
    assert not leadership.leads


def test_a_late_answer_about_an_older_term_changes_nothing():
    leadership = leadership_lib.Leadership(_OWN)
    leadership.note_term(_term(5, _OWN), at=1.0)
    leadership.note_term(_term(4, _OTHER), at=0.5)
    assert leadership.leads


def test_a_successor_leads_after_a_restore_that_lost_no_term():
    """Guards against a handover that a restore of the store makes void.

    The planner has read the term in the new era of the store, its successor
    has not. The successor reads it only after the handover.
    """
    successor = leadership_lib.Leadership(_OWN)
    successor.note_term(_term_of(1, 1, _OTHER), at=0.0)
    successor.take_over(_term_of(2, 1, _OTHER))
    assert successor.leads
    successor.note_term(_term_of(2, 1, _OTHER), at=4.0)
    assert successor.leads
