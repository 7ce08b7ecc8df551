"""Compares schemes that partition keys over a changing number of nodes.

The schemes are rendezvous hashing; modulo tables with a cold switch; modulo
tables with an ordered overlap, as in "Authorisation Cluster and Modulo
Migration"; and modulo tables over a fixed number of slots. Prints, for each
change of the number of nodes, the share of keys whose owner changes, the load
balance, the size of the routing table during the change, the share of keys that
two nodes must hold during it, and the time of one look-up.

    python benchmarks/key_migration.py [--keys N] [--json FILE]
"""

import argparse
from collections.abc import Callable, Iterable
import dataclasses
import json
import math
import pathlib
import random
import statistics
import time
import zlib

from dotterelgrade import rendezvous

CHANGES = ((3, 4), (3, 5), (11, 12), (12, 15), (64, 65), (275, 276))
LOOKUPS = 2_000
SLOTS = 4_096
_SEED = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartitionScheme:
    """A scheme that assigns keys to nodes.

    Attributes:
        name: Name in the table.
        owner: Returns the node of a key for a number of nodes.
        entries: Returns the size of the routing table during a change.
        keeps_both: Whether the old and new owner both hold a moved key during
            the change.
    """

    name: str
    owner: Callable[[str, int], int]
    entries: Callable[[int, int], int]
    keeps_both: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One measured change.

    Attributes:
        way: Name of the scheme.
        before: Nodes before the change.
        after: Nodes after it.
        moved: Share of keys whose owner changes.
        least: Minimum share that has to move for an even load.
        peak: Keys of the fullest node over the mean, after the change.
        deviation: Standard deviation of the keys of a node over the mean.
        entries: Entries of the routing table during the change.
        held_twice: Share of keys that two nodes hold during the change.
        lookup_us: Time of one look-up after the change, us.
    """

    way: str
    before: int
    after: int
    moved: float
    least: float
    peak: float
    deviation: float
    entries: int
    held_twice: float
    lookup_us: float


def modulo_owner(key: str, nodes: int) -> int:
    """Returns the key's CRC-32 modulo the number of nodes."""
    return zlib.crc32(key.encode()) % nodes


def rendezvous_owner(key: str, nodes: int) -> int:
    """Returns the node with the highest weight for the key."""
    names = _NAMES[:nodes]
    best = max(names, key=lambda name: rendezvous.score(key, name))
    return int(best)


def slot_owner(key: str, nodes: int) -> int:
    """Returns the node of the key's slot; slots are ranked by rendezvous."""
    slot = zlib.crc32(key.encode()) % SLOTS
    return _slot_table(nodes)[slot]


_NAMES = [str(number) for number in range(max(max(c) for c in CHANGES))]
_SLOT_TABLES: dict[int, list[int]] = {}


def _slot_table(nodes: int) -> list[int]:
    if nodes not in _SLOT_TABLES:
        _SLOT_TABLES[nodes] = [
            rendezvous_owner(str(slot), nodes) for slot in range(SLOTS)
        ]
    return _SLOT_TABLES[nodes]


SCHEMES = (
    PartitionScheme(
        name="rendezvous",
        owner=rendezvous_owner,
        entries=lambda before, after: max(before, after),
        keeps_both=False,
    ),
    PartitionScheme(
        name="modulo, cold switch",
        owner=modulo_owner,
        entries=lambda _, after: after,
        keeps_both=False,
    ),
    PartitionScheme(
        name="modulo, ordered overlap",
        owner=modulo_owner,
        entries=math.lcm,
        keeps_both=True,
    ),
    PartitionScheme(
        name=f"modulo {SLOTS} slots",
        owner=slot_owner,
        entries=lambda _, __: SLOTS,
        keeps_both=False,
    ),
)


def measure(
    scheme: PartitionScheme, before: int, after: int, keys: Iterable[str]
) -> Row:
    """Measures one change of the number of nodes.

    Args:
        scheme: The partitioning scheme.
        before: Nodes before the change.
        after: Nodes after it.
        keys: The keys.

    Returns:
        The measured row.
    """
    keys = list(keys)
    load = [0] * after
    moved = 0
    for key in keys:
        new = scheme.owner(key, after)
        load[new] += 1
        moved += scheme.owner(key, before) != new
    mean = len(keys) / after
    share = moved / len(keys)
    return Row(
        way=scheme.name,
        before=before,
        after=after,
        moved=share,
        least=1 - before / after,
        peak=max(load) / mean,
        deviation=statistics.pstdev(load) / mean,
        entries=scheme.entries(before, after),
        held_twice=share if scheme.keeps_both else 0.0,
        lookup_us=_time_lookup(scheme, after, keys),
    )


def _time_lookup(scheme: PartitionScheme, nodes: int, keys: list[str]) -> float:
    started = time.perf_counter()
    for key in keys[:LOOKUPS]:
        scheme.owner(key, nodes)
    return (time.perf_counter() - started) / LOOKUPS * 1e6


def _print(rows: Iterable[Row]) -> None:
    print(
        "| way | nodes | moved | least | fullest/mean | deviation | "
        "table entries | held twice | look-up, us |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for row in rows:
        print(
            f"| {row.way} | {row.before} to {row.after} | {row.moved:.3f} | "
            f"{row.least:.3f} | {row.peak:.2f} | {row.deviation:.3f} | "
            f"{row.entries} | {row.held_twice:.3f} | {row.lookup_us:.1f} |"
        )


def main() -> None:
    """Measures every scheme and change, and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--json", type=pathlib.Path)
    options = parser.parse_args()
    source = random.Random(_SEED)
    keys = [f"{source.getrandbits(128):032x}" for _ in range(options.keys)]
    rows = [
        measure(scheme, before, after, keys)
        for before, after in CHANGES
        for scheme in SCHEMES
    ]
    _print(rows)
    if options.json:
        values = [dataclasses.asdict(row) for row in rows]
        options.json.write_text(json.dumps(values, indent=1) + "\n")


if __name__ == "__main__":
    main()
