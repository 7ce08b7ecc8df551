import pytest

from dotterelgrade_routing import link_budget

_PROMPT_BITS = 760 * 59_000 * 8


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def _spent(clock, budget, *, seconds, each_s):
    spent = 0
    while clock.now < seconds:
        clock.now += each_s
        if budget.affords(_PROMPT_BITS):
            budget.spend(_PROMPT_BITS)
            spent += 1
    return spent


@pytest.mark.parametrize("fronts", [1, 10, 42])
def test_a_broken_chain_does_not_choke_the_links(fronts):
    """Load pattern: every stream of a broken chain crosses at once."""
    bits_per_s = 3.9e9
    spent = 0
    for _ in range(fronts):
        clock = Clock()
        budget = link_budget.LinkBudget(clock=clock)
        budget.resize(bits_per_s=bits_per_s, fronts=fronts)
        spent += _spent(clock, budget, seconds=20, each_s=0.01)
    share = spent * _PROMPT_BITS / (bits_per_s * 20)
    assert share <= link_budget.MOST_UTILIZATION * 1.1 + fronts * 0.005
    assert share >= link_budget.MOST_UTILIZATION * 0.5


def test_without_known_links_transfers_are_free():
    budget = link_budget.LinkBudget(clock=Clock())
    assert budget.affords(_PROMPT_BITS)


def test_a_transfer_larger_than_the_part_goes_when_the_part_is_full():
    clock = Clock()
    budget = link_budget.LinkBudget(clock=clock)
    budget.resize(bits_per_s=1e6, fronts=1)
    assert budget.affords(1e9)
    budget.spend(1e9)
    assert not budget.affords(1.0)
