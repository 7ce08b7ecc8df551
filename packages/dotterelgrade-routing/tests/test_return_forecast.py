import collections
import random
import statistics

import pytest

from dotterelgrade_routing import admission
from dotterelgrade_routing import return_forecast

_Reason = return_forecast.Reason
_STARTS_PER_S = 100
_REFUSED = 500


def _policy(name):
    policy = return_forecast.POLICIES.make(name)
    for start in range(2 * _STARTS_PER_S):
        policy.note_start("model", now=98.0 + start / _STARTS_PER_S)
    return policy


def _refusal(**rest):
    rest.setdefault("reason", _Reason.NO_ROOM)
    rest.setdefault("service", "model")
    return return_forecast.Refusal(**rest)


def _mass_returns(name):
    """Returns the times of the retries of requests refused in one second."""
    policy, times = _policy(name), collections.defaultdict(list)
    ranks = random.Random(1)
    for number in range(_REFUSED):
        now, rank = 100.0 + number / _REFUSED, ranks.randrange(3)
        told = policy.refuse(_refusal(rank=rank, ranked=True), now=now)
        times[rank].append(now + told.seconds)
    return times


def _served_at(times):
    """Returns the retries started by a service that starts 10 each 0.1 s."""
    intervals = collections.Counter(
        int(10 * at) for of_rank in times.values() for at in of_rank
    )
    return sum(min(count, 10) for count in intervals.values())


def test_requests_refused_together_return_as_the_service_can_start_them():
    """All were told half a second: 500 retries in one second, for 100."""
    assert _served_at(_mass_returns("fixed")) <= 1.2 * _STARTS_PER_S
    assert _served_at(_mass_returns("forecast")) >= 0.75 * _REFUSED


def test_more_urgent_requests_return_first():
    """All ranks returned together, and competed for the same memory."""
    fixed, forecast = _mass_returns("fixed"), _mass_returns("forecast")
    medians = [statistics.median(forecast[rank]) for rank in range(3)]
    assert medians[0] + 1.0 < medians[1]
    assert medians[1] + 1.0 < medians[2]
    same = [statistics.median(fixed[rank]) for rank in range(3)]
    assert max(same) - min(same) < 0.2


def test_a_later_refusal_is_behind_the_expected_returns():
    policy = _policy("forecast")
    told = [
        policy.refuse(_refusal(), now=100.0).seconds for _ in range(_REFUSED)
    ]
    assert told == sorted(told)
    later = policy.refuse(_refusal(left_s=99.0), now=100.9)
    assert later.seconds > 2.0
    assert later.expected_returns > _STARTS_PER_S


def test_an_urgent_request_does_not_wait_for_less_urgent_ones():
    policy = _policy("forecast")
    for _ in range(_REFUSED):
        policy.refuse(_refusal(rank=2, ranked=True), now=100.0)
    urgent = policy.refuse(_refusal(rank=0, ranked=True), now=100.5)
    assert urgent.seconds == return_forecast.DEFAULT_RETRY_AFTER_S


def _refused_twice(name):
    """Replays an outage of the store of 6.7 s, restarts 3 s into it.

    Fronts know the configuration 0.3 s after the end; 563 requests arrive
    until then, with 20 s each.
    """
    policy, ready_s, refused = return_forecast.POLICIES.make(name), 4.0, 563
    again = 0
    for number in range(refused):
        at = ready_s * number / refused
        told = policy.refuse(
            _refusal(
                reason=_Reason.NO_CONFIGURATION,
                service="",
                left_s=20.0,
                outage_s=max(at, 0.001),
            ),
            now=at,
        )
        again += at + told.seconds < ready_s
    return again


def test_few_requests_are_refused_twice_in_an_outage_of_the_store():
    """Callers retry once; those that were refused again were lost."""
    assert _refused_twice("fixed") > 0.8 * 563
    assert _refused_twice("forecast") < 0.2 * 563


def _short(reason, left_s, **rest):
    refusal = _refusal(reason=reason, left_s=left_s, outage_s=3.0, **rest)
    fixed = _policy("fixed").refuse(refusal, now=100.0)
    return _policy("forecast").refuse(refusal, now=100.0), fixed


def test_a_caller_with_little_time_is_told_a_time_that_it_follows():
    """It follows a third of its time: half a second of 0.9 s was not."""
    told, fixed = _short(_Reason.NO_CONFIGURATION, 0.9)
    assert 0.25 < told.seconds < 0.9 / 3 < fixed.seconds
    assert not told.no_time


def test_waits_that_are_cut_to_the_remaining_time_are_spread_too():
    """All that were cut came back in the same tenth of a second."""
    policy = _policy("forecast")
    refusal = _refusal(reason=_Reason.NO_CHAIN, usual_s=2.5, left_s=3.0)
    told = [policy.refuse(refusal, now=100.0) for _ in range(70)]
    cut = collections.Counter(round(t.seconds, 2) for t in told if t.capped)
    assert cut[0.96] >= 10
    assert max(cut.values()) <= 11
    assert min(cut) >= 0.48


@pytest.mark.parametrize(
    ("reason", "left_s"),
    [
        (_Reason.NO_CHAIN, 2.0),
        (_Reason.NO_CONFIGURATION, 0.25),
        (_Reason.NO_ROOM, 0.1),
    ],
)
def test_a_request_without_enough_time_is_told_so(reason, left_s):
    """The caller was told a time behind its deadline."""
    usual_s = admission.NO_CHAIN_RETRY_S
    told, fixed = _short(reason, left_s, usual_s=usual_s)
    assert told.no_time
    assert left_s / 3 < told.seconds <= left_s < fixed.seconds


def test_a_chain_that_is_missing_for_a_while_is_there_sooner():
    """Each refusal told the whole time, so retries came after the load."""
    policy = _policy("forecast")
    refusal = _refusal(reason=_Reason.NO_CHAIN, ranked=True, usual_s=2.5)
    assert policy.refuse(refusal, now=100.0).seconds == 2.5
    assert policy.refuse(refusal, now=102.0).seconds == pytest.approx(0.5)
    assert policy.refuse(refusal, now=104.0).seconds == pytest.approx(0.5)
    policy.note_start("model", now=104.5)
    assert policy.refuse(refusal, now=105.0).seconds == 2.5


def test_an_empty_retry_budget_is_told_by_what_it_earns():
    refusal = _refusal(reason=_Reason.NO_RETRIES, ranked=True, budget_s=1.25)
    assert _policy("forecast").refuse(refusal, now=100.0).seconds == 1.25


@pytest.mark.parametrize("reason", list(_Reason))
def test_without_a_load_the_time_is_that_of_the_fixed_policy(reason):
    """A part acts only where the state calls for it."""
    policies = [_policy("forecast"), _policy("fixed")]
    for number in range(200):
        refusal = _refusal(
            reason=reason, usual_s=0.25 + number / 100, rank=number % 3
        )
        now = 100.0 + number / 18
        forecast, fixed = (p.refuse(refusal, now=now) for p in policies)
        assert forecast == fixed


def test_the_texts_of_admission_are_known():
    """A renamed reason would get the time of another one."""
    refused = admission.decide(
        [],
        tokens=1,
        answer_tokens=1,
        load=None,
        memory={},
        failure_domain="a",
        chance=0.0,
    )
    assert _Reason.of_admission(refused.reason) is _Reason.NO_CHAIN


def test_what_is_kept_has_a_bound():
    policy = _policy("forecast")
    for number in range(5_000):
        refusal = _refusal(service=f"s{number % 99}", rank=number, ranked=True)
        policy.refuse(refusal, now=100.0 + number / 10)
        policy.note_start(refusal.service, now=100.0 + number / 10)
    services = policy._services.values()
    assert len(services) <= return_forecast.MAX_SERVICES + 1
    for service in services:
        for counts in vars(service.schedule).values():
            assert len(counts._counts) <= 65
            assert all(len(row) == 10 for row in counts._counts.values())
