"""Rendezvous hashing, so that every process ranks nodes in the same order."""

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Returns the 64-bit score of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes by descending score for the key."""
    return sorted(nodes, key=lambda node: (-score(key, node), node))


def subset(key: str, nodes: Iterable[str], *, size: int) -> list[str]:
    """Returns the highest-ranked nodes for a key.

    Args:
        key: Identifies the chooser, for example an entry's address.
        nodes: The candidates.
        size: Maximum number of nodes to return.

    Returns:
        At most `size` nodes; adding or removing one candidate changes at most
        one of them.
    """
    return rank(key, nodes)[:size]
