from dotterelgrade_standins import layers


def run_split(prompt, *, boundaries, count):
    """Runs a model split into stages, token by token."""
    stages = [layers.LayerRange(first, last) for first, last in boundaries]
    inputs, tokens, position = list(prompt), [], 0
    while len(tokens) < count:
        for value in inputs:
            for stage in stages:
                value = stage.run(value, position)
            position += 1
        tokens.append(value % layers.VOCABULARY)
        inputs = [tokens[-1]]
    return tuple(tokens)


def test_a_split_model_gives_the_expected_tokens():
    prompt = layers.tokenize("draft a star of eight points in rosewood")
    expected = layers.expected_tokens(prompt, layers=12, max_tokens=9)
    split = run_split(prompt, boundaries=[(0, 3), (4, 7), (8, 11)], count=9)
    assert split == expected


def test_a_skipped_or_swapped_layer_changes_the_tokens():
    prompt = layers.tokenize("quote for six boards")
    expected = layers.expected_tokens(prompt, layers=6, max_tokens=3)
    for boundaries in ([(0, 4)], [(3, 5), (0, 2)], [(0, 5), (5, 5)]):
        assert run_split(prompt, boundaries=boundaries, count=3) != expected


def test_prefix_digests_share_what_prompts_share():
    shared = list(range(32))
    one = layers.prefix_digests([*shared, *([1] * 16)])
    other = layers.prefix_digests([*shared, *([2] * 16)])
    assert one[:2] == other[:2]
    assert one[2] != other[2]
