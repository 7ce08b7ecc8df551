import pytest

from dotterelgrade_routing import link_budget

_PROMPT_BITS = 760 * 59_000 * 8


class _FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def _count_transfers(clock, budget, *, seconds, each_s):
    transfers = 0
    while clock.now < seconds:
        clock.now += each_s
        if budget.allows(_PROMPT_BITS):
            budget.spend(_PROMPT_BITS)
            transfers += 1
    return transfers


@pytest.mark.parametrize("fronts", [1, 10, 42])
def test_broken_chain_does_not_saturate_the_links(fronts):
    """Load pattern: all streams of a broken chain cross domains at once."""
    bits_per_s = 3.9e9
    transfers = 0
    for _ in range(fronts):
        clock = _FakeClock()
        budget = link_budget.LinkBudget(clock=clock)
        budget.resize(bits_per_s=bits_per_s, fronts=fronts)
        transfers += _count_transfers(clock, budget, seconds=20, each_s=0.01)
    share = transfers * _PROMPT_BITS / (bits_per_s * 20)
    assert share <= link_budget.MAX_LINK_UTILIZATION * 1.1 + fronts * 0.005
    assert share >= link_budget.MAX_LINK_UTILIZATION * 0.5


def test_transfers_are_allowed_if_the_bandwidth_is_unknown():
    budget = link_budget.LinkBudget(clock=_FakeClock())
    assert budget.allows(_PROMPT_BITS)


def test_transfer_larger_than_the_bucket_is_allowed_if_it_is_full():
    clock = _FakeClock()
    budget = link_budget.LinkBudget(clock=clock)
    budget.resize(bits_per_s=1e6, fronts=1)
    assert budget.allows(1e9)
    budget.spend(1e9)
    assert not budget.allows(1.0)
