from dotterelgrade_entry import prefixes

SHARED = tuple(range(40))


def test_only_whole_shared_blocks_count():
    memory = prefixes.PrefixMemory()
    memory.note(prefixes.digests((*SHARED, 1, 2, 3)))
    other = prefixes.digests((*SHARED, *range(100, 160)))
    assert memory.cached_tokens(other) == 32
    assert memory.cached_tokens(prefixes.digests(SHARED[1:])) == 0
    assert prefixes.digests(SHARED[:15]) == ()


def test_the_memory_is_bounded_and_keeps_the_latest():
    memory = prefixes.PrefixMemory()
    for number in range(1_000):
        memory.note(prefixes.digests((number,) * 16))
    assert memory.cached_tokens(prefixes.digests((999,) * 16)) == 16
    assert memory.cached_tokens(prefixes.digests((0,) * 16)) == 0
    assert "128" in repr(memory)
