"""The fold of the stream `placement`: who holds which seat of a range."""

from collections.abc import Iterable, Mapping
import dataclasses
import enum

import msgspec

from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import log_client
from dotterelgrade import rules

MAX_SEATS = 20_000
_MAX_SPARES = 20_000

Address = tuple[str, int, str]


class _Item(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    host: str
    peer_port: bounded.Port
    backend: str

    @property
    def address(self) -> Address:
        """The backend server that the record is about."""
        return (self.host, self.peer_port, self.backend)


class TakeOver(_Item, frozen=True, kw_only=True, tag="take_over"):
    """Asks for a seat.

    Attributes:
        id: Identifier of the record.
        seat: Name of the seat.
        expects: Fencing number of the holder that it replaces; 0 for none.
    """

    id: str
    seat: str
    expects: bounded.Int64


class Renewal(_Item, frozen=True, kw_only=True, tag="renewal"):
    """Says again who holds a seat, for readers that came later.

    Attributes:
        seat: Name of the seat.
        fence: Fencing number under which it is held.
        version: Version of the model that the holder has loaded.
    """

    seat: str
    fence: bounded.Int64
    version: str = ""


class Vacation(_Item, frozen=True, kw_only=True, tag="vacation"):
    """Gives a seat back.

    Attributes:
        seat: Name of the seat.
        fence: Fencing number under which it was held.
    """

    seat: str
    fence: bounded.Int64


class Spare(_Item, frozen=True, kw_only=True, tag="spare"):
    """Says that a backend server holds no seat and could take one.

    Attributes:
        failure_domain: Failure domain of the host.
        accelerator: Accelerator kind.
        is_spare: False when it no longer could.
    """

    failure_domain: str
    accelerator: str
    is_spare: bool


Item = TakeOver | Renewal | Vacation | Spare


class Verdict(enum.StrEnum):
    """What became of a take-over."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Seat:
    """One replica that a `place` rule asks for.

    Attributes:
        name: Identity of the rule and the number of the seat.
        holder: The backend server that holds it, or None when it is vacant.
        fence: Offset of the record that made it so; 0 when nothing has.
        version: Version of the model that the holder has said it has loaded.
    """

    name: str
    holder: Address | None = None
    fence: int = 0
    version: str = ""


def seat_names(place: rules.PlacementRule) -> tuple[str, ...]:
    """Returns the names of the seats that a rule asks for."""
    return tuple(f"{place.identity}#{n}" for n in range(place.replicas))


def encode(item: Item) -> bytes:
    """Returns the JSON body of a record."""
    return msgspec.json.encode(item)


class Placement:
    """The aggregate in which the first take-over of a seat wins.

    A take-over names the fencing number of the holder it replaces, so that of
    two take-overs of one seat every reader rejects the later one.
    """

    def __init__(self) -> None:
        """Initializes without seats."""
        self._seats: dict[str, Seat] = {}
        self._spares: dict[Address, Spare] = {}
        self._offset = 0
        self._is_complete = True

    def __repr__(self) -> str:
        """Shows the offset and the number of seats."""
        return f"<Placement at {self._offset}, {len(self._seats)} seats>"

    @property
    def offset(self) -> int:
        """Offset of the last record folded."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        """Whether no record was dropped before it was read."""
        return self._is_complete

    @property
    def spares(self) -> Mapping[Address, Spare]:
        """The backend servers that could take a seat."""
        return self._spares

    def seat(self, name: str) -> Seat:
        """Returns a seat; an unknown one is vacant."""
        return self._seats.get(name) or Seat(name=name)

    def held_by(self, address: Address) -> Seat | None:
        """Returns the seat that a backend server holds, or None."""
        for seat in self._seats.values():
            if seat.holder == address:
                return seat
        return None

    def vacant(
        self, place: rules.PlacementRule, *, live: Iterable[str]
    ) -> tuple[Seat, ...]:
        """Returns the seats of a rule that no live host holds.

        Args:
            place: The rule.
            live: IP numbers of the hosts that count.
        """
        hosts = set(live)
        seats = [self.seat(name) for name in seat_names(place)]
        return tuple(
            seat
            for seat in seats
            if seat.holder is None or seat.holder[0] not in hosts
        )

    def note_missing(self, before: int) -> None:
        """Notes that records before an offset were dropped unseen."""
        if before > self._offset + 1:
            self._offset = before - 1
            self._is_complete = False

    def apply(self, record: log_client.Record) -> tuple[str, Verdict] | None:
        """Folds one record.

        Args:
            record: The next record of the stream.

        Returns:
            The identifier of a take-over and its verdict, or None.

        Raises:
            errors.DotterelgradeError: RECORD_INVALID; the record counts as
                folded and changes nothing.
        """
        if record.offset <= self._offset:
            return None
        self.note_missing(record.offset)
        self._offset = record.offset
        item = _decode(record.body)
        if isinstance(item, TakeOver):
            return item.id, self._take_over(item, record.offset)
        if isinstance(item, Spare):
            self._note_spare(item)
        elif isinstance(item, Renewal):
            self._renew(item)
        else:
            self._vacate(item)
        return None

    def _take_over(self, item: TakeOver, offset: int) -> Verdict:
        known = item.seat in self._seats
        is_first = self.seat(item.seat).fence == item.expects
        if not is_first and (known or self._is_complete):
            return Verdict.REJECTED
        self._hold(Seat(name=item.seat, holder=item.address, fence=offset))
        return Verdict.ACCEPTED

    def _hold(self, seat: Seat) -> None:
        if seat.name not in self._seats and len(self._seats) >= MAX_SEATS:
            # The oldest seat belongs to a rule that was removed long ago or
            # is renewed soon.
            del self._seats[next(iter(self._seats))]
        self._seats[seat.name] = seat
        if seat.holder is not None:
            self._spares.pop(seat.holder, None)

    def _renew(self, item: Renewal) -> None:
        seat = self.seat(item.seat)
        is_holder = item.fence == seat.fence and item.address == seat.holder
        if is_holder or item.fence > seat.fence:
            self._hold(
                Seat(
                    name=item.seat,
                    holder=item.address,
                    fence=item.fence,
                    version=item.version,
                )
            )

    def _vacate(self, item: Vacation) -> None:
        seat = self.seat(item.seat)
        if seat.fence == item.fence and seat.holder == item.address:
            self._seats[item.seat] = dataclasses.replace(seat, holder=None)

    def _note_spare(self, item: Spare) -> None:
        self._spares.pop(item.address, None)
        if not item.is_spare:
            return
        self._spares[item.address] = item
        if len(self._spares) > _MAX_SPARES:
            del self._spares[next(iter(self._spares))]


def _decode(body: bytes) -> Item:
    return decoding.require(
        lambda encoded: msgspec.json.decode(encoded, type=Item),
        body,
        what="no placement",
    )
