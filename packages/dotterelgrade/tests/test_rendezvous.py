from dotterelgrade import rendezvous

_NODES = [f"127.0.0.{number}" for number in range(1, 41)]


def test_ranking_does_not_depend_on_the_order_of_the_nodes():
    assert rendezvous.rank("key", _NODES) == rendezvous.rank(
        "key", reversed(_NODES)
    )


def test_removing_a_node_changes_at_most_one_member():
    before = rendezvous.subset("entry", _NODES, size=8)
    for gone in _NODES:
        left = [node for node in _NODES if node != gone]
        after = rendezvous.subset("entry", left, size=8)
        assert len(set(before) - set(after)) == (1 if gone in before else 0)


def test_keys_spread_over_the_nodes():
    first = {rendezvous.rank(f"key-{n}", _NODES)[0] for n in range(2_000)}
    assert first == set(_NODES)
