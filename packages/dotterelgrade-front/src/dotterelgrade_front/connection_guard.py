"""Decides which client's connection is closed when descriptors run out.

Load: clients that open connections and stay, until the process can open none to
backend servers, the store and peers.
"""

import collections
from collections.abc import Collection
import enum
from typing import Protocol


class Phase(enum.IntEnum):
    """What a connection is at, in the order in which they are closed."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    SERVING = 3


class Connection(Protocol):
    """A client's connection, as far as the choice needs it."""

    @property
    def address(self) -> str:
        """IP address of the client."""

    @property
    def phase(self) -> Phase:
        """What it is at."""

    @property
    def active_at(self) -> float:
        """Monotonic time at which its phase could have begun, s."""


def choose(
    connections: Collection[Connection],
    *,
    newcomer: str,
    address_share: float,
) -> Connection | None:
    """Returns the connection to close for a new one.

    Args:
        connections: The open ones, without the new one.
        newcomer: IP address of the new one's client.
        address_share: Fraction of them that one address may hold.

    Returns:
        The oldest idle one, or else the oldest with an incomplete head or body.
        Requests in service are cut only at an address that holds more than its
        fraction, for a client at another address. None if the new one is to be
        refused.
    """
    counts = collections.Counter(c.address for c in connections)
    most = counts.most_common(1)
    last_phase = Phase.BODY
    if most and most[0][1] > address_share * len(connections):
        holder = most[0][0]
        connections = [c for c in connections if c.address == holder]
        if holder != newcomer:
            last_phase = Phase.SERVING
    candidates = [c for c in connections if c.phase <= last_phase]
    return min(candidates, key=lambda c: (c.phase, c.active_at), default=None)
