"""The entries that this agent answers to."""

from collections.abc import Callable, Iterator
import time
from typing import Any

import gevent
import gevent.pool

from dotterelgrade import frame_codec
from dotterelgrade import wire


class EntryLink:
    """One entry process, over whichever connection it used last."""

    def __init__(self, process: str) -> None:
        """Initializes a link without a connection.

        Args:
            process: Identifier of the entry's incarnation.
        """
        self._process = process
        self._connection: wire.Connection | None = None
        self._lost_at = time.monotonic()

    def __repr__(self) -> str:
        """Shows the entry and whether it is connected."""
        state = "connected" if self.is_connected else "lost"
        return f"<EntryLink {self._process} {state}>"

    @property
    def process(self) -> str:
        """Identifier of the entry's incarnation."""
        return self._process

    @property
    def is_connected(self) -> bool:
        """Whether frames can reach the entry."""
        return self._connection is not None and self._connection.is_open

    @property
    def lost_at(self) -> float:
        """Monotonic time when the last connection ended, s."""
        return self._lost_at

    def attach(self, connection: wire.Connection) -> None:
        """Adopts a connection; what is sent from now on goes there."""
        self._connection = connection

    def detach(self, connection: wire.Connection) -> bool:
        """Forgets a connection that ended.

        Args:
            connection: The connection that ended.

        Returns:
            Whether the link has no connection left.
        """
        if self._connection is not connection:
            return False
        self._connection = None
        self._lost_at = time.monotonic()
        return True

    def send(self, message: Any) -> bool:
        """Sends a frame, or returns False when the entry is away."""
        connection = self._connection
        return connection is not None and connection.send(message)

    def send_encoded(self, data: bytes) -> bool:
        """Sends an encoded frame, or returns False when the entry is away."""
        connection = self._connection
        return connection is not None and connection.send_encoded(data)


class EntryLinks:
    """Every entry by its incarnation; lost ones get a grace period."""

    def __init__(
        self, *, grace_s: float, on_orphaned: Callable[[EntryLink], None]
    ) -> None:
        """Initializes an empty set.

        Args:
            grace_s: Time that a lost entry has to come back, s.
            on_orphaned: Called when it did not.
        """
        self._grace_s = grace_s
        self._on_orphaned = on_orphaned
        self._links: dict[str, EntryLink] = {}
        self._greenlets = gevent.pool.Group()

    def __iter__(self) -> Iterator[EntryLink]:
        """Iterates over the links of connected and lately lost entries."""
        return iter(list(self._links.values()))

    def __len__(self) -> int:
        """The number of links."""
        return len(self._links)

    def attach(self, connection: wire.Connection) -> EntryLink:
        """Returns the link of the peer, now over this connection."""
        process = connection.peer.process
        link = self._links.setdefault(process, EntryLink(process))
        link.attach(connection)
        return link

    def detach(self, link: EntryLink, connection: wire.Connection) -> None:
        """Starts the grace period if this was the link's connection."""
        if link.detach(connection):
            self._greenlets.spawn(self._expire, link)

    def _expire(self, link: EntryLink) -> None:
        lost_at = link.lost_at
        gevent.sleep(self._grace_s)
        if link.is_connected or link.lost_at != lost_at:
            return
        if self._links.pop(link.process, None) is link:
            self._on_orphaned(link)

    def broadcast(self, message: Any) -> int:
        """Sends a frame to every connected entry, encoded once.

        Args:
            message: An instance of a registered frame.

        Returns:
            Size of the encoded frame, bytes.
        """
        data = frame_codec.encode(message)
        for link in self:
            link.send_encoded(data)
        return len(data)

    def close(self) -> None:
        """Ends the grace periods."""
        self._greenlets.kill()
