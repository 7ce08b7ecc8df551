import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade_routing import layer_range

_RANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 19), strategies.integers(1, 20)
    ).map(lambda pair: layer_range.LayerRange(min(pair), max(pair) + 1)),
    max_size=6,
)


@hypothesis.given(_RANGES)
def test_gaps_are_the_layers_without_a_holder(ranges):
    whole = layer_range.LayerRange(0, 20)
    found = layer_range.gaps(whole, ranges)
    missing = {
        layer
        for layer in range(20)
        if not any(r.first <= layer < r.end for r in ranges)
    }
    assert {
        layer for gap in found for layer in range(gap.first, gap.end)
    } == missing
    assert sum(len(gap) for gap in found) == len(missing)


def test_overlap_and_covers():
    one = layer_range.LayerRange(2, 8)
    assert one.overlap(layer_range.LayerRange(6, 10)) == 2
    assert one.overlap(layer_range.LayerRange(8, 10)) == 0
    assert one.covers(layer_range.LayerRange(2, 8))
    assert not one.covers(layer_range.LayerRange(1, 8))


@pytest.mark.parametrize(
    ("held", "kept"),
    [
        ((2, 8), (2, 8)),
        ((-5, 3), (0, 3)),
        ((15, 10**9), (15, 20)),
        ((20, 30), None),
        ((-9, 0), None),
    ],
)
def test_a_range_is_cut_to_another_one(held, kept):
    whole = layer_range.LayerRange(0, 20)
    expected = None if kept is None else layer_range.LayerRange(*kept)
    assert layer_range.LayerRange(*held).within(whole) == expected
