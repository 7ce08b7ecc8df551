import hypothesis
from hypothesis import strategies

from dotterelgrade_routing import layer_coverage
from dotterelgrade_routing import layer_range

_RANGES = strategies.lists(
    strategies.builds(
        lambda first, size: layer_range.LayerRange(first, first + size),
        strategies.integers(0, 11),
        strategies.integers(1, 6),
    ),
    min_size=1,
    max_size=12,
)


@hypothesis.given(_RANGES)
def test_holder_is_removed_only_if_the_others_hold_its_layers(ranges):
    coverage = layer_coverage.LayerCoverage(ranges)
    kept = list(ranges)
    for held in ranges:
        rest = list(kept)
        rest.remove(held)
        redundant = not layer_range.gaps(held, rest)
        assert coverage.remove_if_redundant(held) == redundant
        if redundant:
            kept = rest
