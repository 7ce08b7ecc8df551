from dotterelgrade_routing import retry_budget


def test_retries_are_a_share_of_the_requests():
    now = [0.0]
    budget = retry_budget.RetryBudget(
        share=0.5, rate_per_s=0.0, capacity=4, clock=lambda: now[0]
    )
    assert [budget.spend() for _ in range(5)] == [True] * 4 + [False]
    for _ in range(4):
        budget.note_request()
    assert [budget.spend() for _ in range(3)] == [True, True, False]


def test_constant_rate_fills_the_budget_up_to_the_capacity():
    now = [0.0]
    budget = retry_budget.RetryBudget(
        share=0.0, rate_per_s=1.0, capacity=3, clock=lambda: now[0]
    )
    while budget.spend():
        pass
    now[0] += 2
    assert (budget.spend(), budget.spend(), budget.spend()) == (1, 1, 0)
    now[0] += 1_000
    assert budget.left == 3


def test_less_urgent_requests_leave_retries_to_more_urgent_ones():
    """Load pattern: a crash breaks many streams of all ranks together."""
    budget = retry_budget.RetryBudget(
        share=0.0, rate_per_s=0.0, capacity=10, clock=lambda: 0.0
    )
    spent = {}
    for rank in (9, 2, 1, None):
        reserve = retry_budget.reserve_above(rank)
        spent[rank] = 0
        while budget.spend(reserve=reserve):
            spent[rank] += 1
    assert spent == {9: 4, 2: 2, 1: 2, None: 2}


def test_the_time_to_the_next_retry_follows_from_what_is_earned():
    budget = retry_budget.RetryBudget(
        share=0.1, rate_per_s=1.0, capacity=1, clock=lambda: 0.0
    )
    assert budget.time_to_next_s(requests_per_s=10.0) == 0.0
    budget.spend()
    assert budget.time_to_next_s(requests_per_s=10.0) == 0.5


def test_the_time_to_the_next_retry_counts_what_is_left_to_others():
    """A less urgent request was told to come back at once, in vain."""
    budget = retry_budget.RetryBudget(
        share=0.0, rate_per_s=1.0, capacity=10, clock=lambda: 0.0
    )
    for _ in range(7):
        budget.spend()
    assert not budget.may_spend(reserve=0.4)
    assert budget.time_to_next_s(requests_per_s=0.0, reserve=0.4) == 1.0
