"""Rendezvous hashing: every process ranks the same nodes the same way."""

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Returns the 64-bit weight of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes from the highest weight for the key to the lowest."""
    return sorted(nodes, key=lambda node: (-score(key, node), node))


def subset(key: str, nodes: Iterable[str], *, size: int) -> list[str]:
    """Returns the first nodes in the ranking of a key.

    Args:
        key: Who chooses, for example an entry's address.
        nodes: The candidates.
        size: The most nodes to return.

    Returns:
        At most `size` nodes; adding or removing one candidate changes at most
        one of them.
    """
    return rank(key, nodes)[:size]
