import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade import memory_budget


def _budget():
    """Ten accounts own 10 bytes each; they share 100."""
    return memory_budget.MemoryBudget(capacity_bytes=200, accounts=10)


def test_large_bodies_do_not_starve_small_ones():
    budget = _budget()
    with budget.open() as large, budget.open() as small:
        assert large.resize(110)
        assert not large.resize(111)
        assert small.resize(10)
        assert not small.resize(11)


def test_what_was_refused_changes_nothing():
    budget = _budget()
    with budget.open() as account:
        assert account.resize(60)
        assert not account.resize(200)
        assert account.held_bytes == 60
        assert budget.used_bytes == 50


def test_an_account_that_ends_releases_what_it_held():
    budget = _budget()
    with pytest.raises(RuntimeError), budget.open() as account:
        account.resize(110)
        raise RuntimeError
    assert budget.used_bytes == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9), strategies.integers(0, 150)
        )
    )
)
def test_the_sum_stays_within_the_capacity(changes):
    budget = _budget()
    accounts = [memory_budget.Account(budget) for _ in range(10)]
    for number, held_bytes in changes:
        accounts[number].resize(held_bytes)
        assert sum(a.held_bytes for a in accounts) <= 200
    for account in accounts:
        account.close()
    assert budget.used_bytes == pytest.approx(0.0)
