from dotterelgrade import rendezvous

_NODES = [f"127.0.0.{number}" for number in range(1, 41)]


def test_ranking_is_independent_of_node_order():
    assert rendezvous.rank("key", _NODES) == rendezvous.rank(
        "key", reversed(_NODES)
    )


def test_removing_a_node_changes_at_most_one_member():
    before = rendezvous.subset("entry", _NODES, size=8)
    for removed in _NODES:
        remaining = [node for node in _NODES if node != removed]
        after = rendezvous.subset("entry", remaining, size=8)
        assert len(set(before) - set(after)) == (1 if removed in before else 0)


def test_keys_are_spread_over_all_nodes():
    top_ranked = {rendezvous.rank(f"key-{n}", _NODES)[0] for n in range(2_000)}
    assert top_ranked == set(_NODES)
