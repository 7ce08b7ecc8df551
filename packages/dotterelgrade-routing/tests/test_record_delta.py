import dataclasses

import hypothesis
from hypothesis import strategies
from returns import pipeline

from dotterelgrade_routing import record_delta

_bodies = strategies.lists(
    strategies.sampled_from([b"{a}", b"{b}", b"{c", b",", b"}", b"tail"]),
    max_size=12,
).map(b"".join)


@hypothesis.given(_bodies, _bodies)
def test_a_difference_applied_to_its_base_gives_the_new_version(base, target):
    delta = record_delta.compute(base, target)
    assert record_delta.apply(base, delta).unwrap() == target


@hypothesis.given(_bodies, _bodies, _bodies)
def test_another_base_is_rejected(base, other, target):
    hypothesis.assume(base != other)
    delta = record_delta.compute(base, target)
    assert not pipeline.is_successful(record_delta.apply(other, delta))


@hypothesis.given(
    _bodies,
    _bodies,
    strategies.lists(
        strategies.builds(
            record_delta.DeltaPart,
            first=strategies.integers(-3, 9),
            count=strategies.integers(-3, 9),
            literal=strategies.binary(max_size=4),
        ),
        max_size=4,
    ),
)
def test_forged_parts_give_the_announced_version_or_nothing(
    base, target, parts
):
    """A faulty peer names pieces that don't exist, or other bytes."""
    delta = record_delta.compute(base, target)
    forged = dataclasses.replace(delta, parts=parts)
    applied = record_delta.apply(base, forged)
    assert applied.value_or(target) == target


def test_a_difference_that_grows_beyond_the_limit_is_rejected():
    base = b"x" * 1_000_000 + b"}"
    delta = record_delta.compute(base, base)
    many = dataclasses.replace(delta, parts=delta.parts * 20)
    applied = record_delta.apply(base, many)
    assert "longer than" in applied.failure().message
