"""Bounds the connections of a listening socket, and decides which to close.

Load pattern: many clients connect and then do nothing, or stop half-way. A full
socket that refused new connections would shut out the load balancer's check
until they time out; instead the connection that is worth least makes room.
"""

from collections.abc import Callable, Iterator
import contextlib
import enum

Close = Callable[[], None]


class Phase(enum.IntEnum):
    """What a connection is doing; those worth least come first."""

    CLOSING = 0
    IDLE = 1
    HEAD = 2
    BODY = 3
    ANSWER = 4
    SERVICE = 5


_UNUSED = (Phase.CLOSING, Phase.IDLE, Phase.HEAD, Phase.BODY)


class Slot:
    """The place of one connection."""

    def __init__(
        self, slots: "ClientSlots", *, address: str, close: Close
    ) -> None:
        """Initializes the place of a new connection; see `ClientSlots.hold`.

        Args:
            slots: Where it belongs.
            address: IP number of the client.
            close: Ends the connection without blocking.
        """
        self._slots = slots
        self._address = address
        self._close = close
        # Its first head may be on its way, so it is not yet idle.
        self._phase = Phase.HEAD
        self._held_bytes = 0
        self._is_open = True

    def __repr__(self) -> str:
        """Shows the address, the phase and the bytes held."""
        return f"<Slot {self._address} {self._phase.name} {self._held_bytes}>"

    @property
    def address(self) -> str:
        """IP number of the client."""
        return self._address

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        return self._phase

    @property
    def held_bytes(self) -> int:
        """Bytes of an answer that the client has not read."""
        return self._held_bytes

    @property
    def is_open(self) -> bool:
        """Whether the connection has not been closed to make room."""
        return self._is_open

    def enter(self, phase: Phase) -> None:
        """Notes what the connection does from now on."""
        if self._is_open and phase is not self._phase:
            self._slots.move(self, phase)
            self._phase = phase

    def resize(self, held_bytes: int) -> None:
        """Changes the bytes held; others are closed if there is no room."""
        if not self._is_open:
            return
        added = held_bytes - self._held_bytes
        self._slots.charge(self, added)
        self._held_bytes = held_bytes

    def end(self) -> None:
        """Closes the connection; its place is taken."""
        self._is_open = False
        self._close()


class ClientSlots:
    """The open connections of one listening socket."""

    def __init__(
        self,
        *,
        capacity: int,
        held_bytes: float = float("inf"),
        on_closed: Callable[[Slot], None] = lambda _: None,
        on_overfull: Callable[[Slot], None] = lambda _: None,
    ) -> None:
        """Initializes it without connections.

        Args:
            capacity: Most connections open at once.
            held_bytes: Most bytes of unread answers, over all connections.
            on_closed: Called with a connection that was closed for another, or
                refused since none could be closed.
            on_overfull: Called when one was closed for another's answer.
        """
        self._capacity = capacity
        self._most_held_bytes = held_bytes
        self._held_bytes = 0
        self._on_closed = on_closed
        self._on_overfull = on_overfull
        self._by_phase: dict[Phase, dict[Slot, None]] = {
            phase: {} for phase in Phase
        }
        self._by_address: dict[str, int] = {}

    def __repr__(self) -> str:
        """Shows how many connections there are."""
        return f"<ClientSlots {len(self)} of {self._capacity}>"

    def __len__(self) -> int:
        """Number of open connections."""
        return sum(map(len, self._by_phase.values()))

    @property
    def held_bytes(self) -> int:
        """Bytes of unread answers."""
        return self._held_bytes

    @contextlib.contextmanager
    def hold(self, address: str, close: Close) -> Iterator[Slot | None]:
        """Takes a place for a connection while the context is open.

        Args:
            address: IP number of the client.
            close: Ends the connection without blocking.

        Yields:
            The place, or None if every other has a request in service.
        """
        slot = Slot(self, address=address, close=close)
        if len(self) >= self._capacity and not self._make_room():
            self._on_closed(slot)
            yield None
            return
        self._by_phase[slot.phase][slot] = None
        self._by_address[address] = self._by_address.get(address, 0) + 1
        try:
            yield slot
        finally:
            self._remove(slot)

    def _make_room(self) -> bool:
        victim = self._find_victim()
        if victim is None:
            return False
        self._remove(victim)
        victim.end()
        self._on_closed(victim)
        return True

    def close_unused(self) -> None:
        """Closes every connection that has no request in service."""
        for phase in _UNUSED:
            for slot in list(self._by_phase[phase]):
                self._remove(slot)
                slot.end()

    def _find_victim(self) -> Slot | None:
        """Returns the oldest connection that is worth least.

        Within a phase, an address that holds more than half of all gives up
        its own first.
        """
        greedy = [
            address
            for address, count in self._by_address.items()
            if count > self._capacity / 2
        ]
        for phase in (*_UNUSED, Phase.ANSWER):
            slots = self._by_phase[phase]
            own = (slot for slot in slots if slot.address in greedy)
            found = next(own, None) or next(iter(slots), None)
            if found is not None:
                return found
        return None

    def _remove(self, slot: Slot) -> None:
        if slot not in self._by_phase[slot.phase]:
            return
        del self._by_phase[slot.phase][slot]
        self._held_bytes -= slot.held_bytes
        self._by_address[slot.address] -= 1
        if not self._by_address[slot.address]:
            del self._by_address[slot.address]

    def move(self, slot: Slot, phase: Phase) -> None:
        """Notes the new phase of a connection; see `Slot.enter`."""
        del self._by_phase[slot.phase][slot]
        self._by_phase[phase][slot] = None

    def charge(self, slot: Slot, added_bytes: int) -> None:
        """Notes more or fewer bytes of an answer; see `Slot.resize`."""
        self._held_bytes += added_bytes
        if added_bytes <= 0 or self._held_bytes <= self._most_held_bytes:
            return
        for phase in (Phase.ANSWER, Phase.SERVICE):
            for victim in list(self._by_phase[phase]):
                if victim is slot or not victim.held_bytes:
                    continue
                self._remove(victim)
                victim.end()
                self._on_overfull(victim)
                if self._held_bytes <= self._most_held_bytes:
                    return
