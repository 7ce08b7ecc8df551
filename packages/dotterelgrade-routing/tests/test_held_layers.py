from dotterelgrade_routing import held_layers
from dotterelgrade_routing import layer_range


def test_layer_without_a_holder_has_no_figures(engine):
    held = held_layers.HeldLayers(engine)
    assert held.count(0) == 0
    assert held.fastest(0) == float("inf")
    assert held.single_holder_size(0) == 0
    assert held.median_capacity_tokens == 0.0


def test_second_holder_takes_its_part_of_the_range_only(engine, make_candidate):
    one = make_candidate("one", layers=(0, 6))
    other = make_candidate("other", layers=(4, 8))
    held = held_layers.HeldLayers(engine, [one])
    held.add(other.layers, other.accelerator)
    assert [held.count(layer) for layer in (3, 5, 7, 8)] == [1, 2, 1, 0]
    sizes = [held.single_holder_size(layer) for layer in (3, 5, 7, 8)]
    assert sizes == [6, 0, 4, 0]


def test_figures_are_those_of_all_holders(engine, make_candidate):
    ranges = [(0, 8), (2, 6), (4, 8), (0, 4), (6, 8)]
    held = held_layers.HeldLayers(engine)
    tokens = []
    for number, layers in enumerate(ranges):
        candidate = make_candidate(f"s{number}", layers=layers)
        held.add(layer_range.LayerRange(*layers), candidate.accelerator)
        tokens.append(
            engine.capacity_tokens(candidate.accelerator, layers[1] - layers[0])
        )
    assert held.median_capacity_tokens == sorted(tokens)[2]
    assert held.capacity_tokens[4] == tokens[0] + tokens[1] + tokens[2]
