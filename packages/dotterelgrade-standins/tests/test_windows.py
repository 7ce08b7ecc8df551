import pytest

from dotterelgrade_standins import windows


@pytest.fixture
def judge(small_plan):
    def judge_samples(samples, *, least=1):
        found = windows.split(
            samples, plan=small_plan, length_s=1.0, least_answers=least
        )
        return found, windows.summarize(found, length_s=1.0)

    return judge_samples


def test_a_sample_counts_in_the_window_of_its_intended_time(judge, make_sample):
    late = make_sample(0.9, first_s=5.0)
    found, _ = judge([make_sample(0.0), late, make_sample(1.5)])
    shown = [w for w in found if w.workspace == windows.ALL]
    assert [(w.start_s, w.whole) for w in shown] == [(0.0, 2), (1.0, 1)]
    assert shown[0].bound_ratio > 1 > shown[1].bound_ratio


def test_each_workspace_is_judged_by_its_own_bound(judge, make_sample):
    _, summary = judge([make_sample(0.0, workspace="slow", first_s=0.9)])
    assert summary.is_inside
    _, summary = judge([make_sample(0.0, workspace="quick", first_s=0.9)])
    assert not summary.is_inside


def test_one_slow_workspace_shows_among_many_quick_answers(judge, make_sample):
    samples = [make_sample(0.001 * n) for n in range(99)]
    samples.append(make_sample(0.5, workspace="other", gap_s=0.5))
    _, judged_alone = judge(samples, least=1)
    assert judged_alone.worst.workspace == "other"
    _, together = judge(samples, least=20)
    assert together.is_inside


def test_refused_and_failed_calls_are_told_apart(judge, make_sample):
    samples = [
        make_sample(0.0),
        make_sample(0.1, run="not_run"),
        make_sample(0.2, run="unknown"),
    ]
    _, summary = judge(samples)
    counts = (summary.whole, summary.refused, summary.failed)
    assert counts == (1, 1, 1)
    assert not summary.is_inside
    assert summary.tokens_per_s == 2.0


def test_the_others_are_judged_together_without_one(small_plan, make_sample):
    samples = [make_sample(0.0, workspace="loud", first_s=9.0)]
    samples += [make_sample(0.1, workspace=f"quiet-{n}") for n in range(5)]
    found = windows.split(samples, plan=small_plan, length_s=1.0, apart="loud")
    others = [w for w in found if w.workspace == windows.OTHERS]
    assert [w.whole for w in others] == [5]
    assert others[0].bound_ratio < 1
