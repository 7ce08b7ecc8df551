import pytest

from dotterelgrade_standins import fuzz


@pytest.mark.parametrize("name", sorted(fuzz.targets()))
def test_no_promise_is_broken(name):
    fuzz.check(fuzz.targets()[name])


def test_explore_prints_seeds_and_counts_failures(monkeypatch):
    def fail(chosen, seed):
        if seed == 8:
            raise AssertionError(f"{chosen.name} broke")

    monkeypatch.setattr(fuzz, "run_seed", fail)
    lines = []

    def write(line):
        lines.append(line)
        if len(lines) == 3:
            monkeypatch.setattr(fuzz.time, "monotonic", lambda: 1e12)

    failures = fuzz.explore(seconds=60, names=("chain",), seed=7, write=write)
    assert failures == 1
    assert "chain seed 7: passed" in lines[0]
    assert "chain seed 8: FAILED" in lines[1]
    assert "chain broke" in lines[1]
    assert lines[-1] == "fuzz: 2 passed, 1 failed"
