"""Interface between the front and a platform, independent of its formats."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol

from returns import result

from dotterelgrade import bounded
from dotterelgrade import errors
from dotterelgrade import http_message
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import request_metadata
from dotterelgrade_routing import store_era


class StoreError(Exception):
    """The store gave no usable answer."""


class RecordsExpiredError(Exception):
    """The requested records are no longer kept."""


class EngineUnreachableError(Exception):
    """An engine did not answer in time."""


class EngineDownError(EngineUnreachableError):
    """An engine's host is up, but refuses the connection."""


class EngineFullError(Exception):
    """An engine asked for a pause between status requests."""

    def __init__(self, retry_after: str) -> None:
        """Initializes the exception.

        Args:
            retry_after: Length of the pause, as the engine stated it.
        """
        super().__init__(f"full, retry after {retry_after}")
        self._retry_after = retry_after

    @property
    def retry_after(self) -> str:
        """Length of the pause, as the engine stated it."""
        return self._retry_after


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """One record of a feed.

    Attributes:
        key: Identifies the entry.
        value: The newest value; empty when the entry was removed.
        offset: Position in the feed.
    """

    key: str
    value: bytes
    offset: bounded.Count


@dataclasses.dataclass(frozen=True, kw_only=True)
class Page:
    """Records and the offset of the next read.

    Attributes:
        records: In order of their offsets.
        end: Offset after the last record.
        era: Era of the store to which the offsets belong.
        complete: Whether it holds all records that the store had when it was
            asked; an answer of limited size may not.
    """

    records: tuple[Record, ...]
    end: int
    era: int = store_era.UNCOUNTED
    complete: bool = True


class Feed(Protocol):
    """A log of records, of which only the newest of each key counts."""

    @property
    def era(self) -> int:
        """The newest era that any answer of the store has stated."""

    def newest(self, *, after: str = "") -> Page:
        """Returns the newest record of each key.

        Args:
            after: Returns only keys that sort after this one.

        Raises:
            StoreError: There was no usable answer.
        """

    def read(
        self, *, start: int, wait_s: float, answer_timeout_s: float
    ) -> Page:
        """Returns the records from an offset on; waits for the first one.

        Args:
            start: Offset of the first record.
            wait_s: Longest time for the store to wait, s.
            answer_timeout_s: Longest time until the answer begins, s.

        Raises:
            StoreError: There was no usable answer.
            RecordsExpiredError: The records are no longer kept.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class Term:
    """A planner's term, as the store has it.

    Attributes:
        number: Grows with each claim; a later era may reuse it.
        planner: `IP:PORT` of the front that claimed it, or empty before the
            first claim.
        era: Era of the store in which it was read or claimed.
    """

    number: int
    planner: str
    era: int = store_era.UNCOUNTED

    @property
    def rank(self) -> tuple[int, int]:
        """Orders terms; the later era comes before the larger number."""
        return (self.era, self.number)


class Election(Protocol):
    """Elects the planner among the fronts that claim the next term."""

    def current(self) -> Term:
        """Returns the newest term.

        Raises:
            StoreError: There was no usable answer.
        """

    def claim(self, member: str, *, after: Term) -> Term | None:
        """Claims the term after a given one.

        Args:
            member: `IP:PORT` of the front that claims it.
            after: The term that must still be the newest one.

        Returns:
            The claimed term, or None if another front claimed it first.

        Raises:
            StoreError: There was no usable answer; the claim may have been
                accepted.
        """


class OrderOutcome(enum.Enum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RerouteAnswer:
    """Answer of the first stage to an order to use other stages.

    Attributes:
        outcome: Whether the request was moved.
        faulty_address: `IP:PORT` of the stage that rejected it, or empty.
    """

    outcome: OrderOutcome
    faulty_address: str = ""

    @property
    def moved(self) -> bool:
        """Whether the request uses the other stages."""
        return self.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.DONE)


class EngineClient(Protocol):
    """Management calls to engines."""

    def report(self, address: str) -> backend_server.EngineReport:
        """Returns an engine's report on itself.

        Raises:
            EngineUnreachableError: There was no usable answer.
            EngineDownError: Its host refuses the connection.
            EngineFullError: It asked for a pause between requests.
        """

    def place(
        self,
        address: str,
        *,
        server_id: str,
        layers: layer_range.LayerRange,
        orders: int,
    ) -> OrderOutcome:
        """Orders an engine to hold a range.

        Args:
            address: `IP:PORT`.
            server_id: ID of the engine; another one at its address refuses.
            layers: Layers that it is to hold.
            orders: Number of orders that it must have accepted so far.
        """

    def reroute(
        self,
        address: str,
        *,
        request_id: str,
        stages: tuple[chain_choice.Stage, ...],
    ) -> RerouteAnswer:
        """Orders the first stage of a running request to use other stages.

        Args:
            address: `IP:PORT` of the first stage.
            request_id: The request.
            stages: The new chain, with the same first stage.
        """


class DocumentDecoder(Protocol):
    """Decodes the platform's documents."""

    def decode_configuration(
        self, body: bytes
    ) -> result.Result[configuration.Configuration, errors.Error]:
        """Decodes the operators' configuration."""

    def decode_backend_server(
        self, *, server_id: str, body: bytes
    ) -> result.Result[backend_server.BackendServer, errors.Error]:
        """Decodes the list entry of a backend server."""


class HeaderTranslator(Protocol):
    """Translates between headers and routing facts."""

    def read_request(
        self, headers: http_message.Headers
    ) -> request_metadata.RequestMetadata:
        """Reads the facts that a caller states about its request."""

    def write_request(
        self,
        headers: http_message.Headers,
        orders: request_metadata.ForwardingMetadata,
    ) -> http_message.Headers:
        """Returns the request headers to send to a backend server."""

    def read_answer(
        self, *, status: int, headers: http_message.Headers
    ) -> request_metadata.ResponseMetadata:
        """Reads the facts that a backend server states about its answer."""


class CopyStore(Protocol):
    """Holds one value, the copy of a large record."""

    def read(self) -> bytes:
        """Returns the value, or empty if there is none.

        Raises:
            StoreError: There was no usable answer.
        """

    def write(self, body: bytes) -> None:
        """Replaces the value.

        Raises:
            StoreError: There was no usable answer; it may be replaced.
        """


class ValueStore(Protocol):
    """Holds small values by their keys."""

    def read(self) -> Page:
        """Returns all values.

        Raises:
            StoreError: There was no usable answer.
        """

    def write_if_unchanged(
        self, values: Mapping[str, bytes], *, since: Page
    ) -> bool:
        """Replaces values unless any has been written meanwhile.

        Args:
            values: By their keys; an empty one removes the key. Their offsets
                follow the end of the page, in order.
            since: As `read` has returned it.

        Returns:
            Whether they were replaced.

        Raises:
            StoreError: There was no usable answer; they may be replaced.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """The adapters of one platform.

    Attributes:
        configurations: Feed with the operators' configuration.
        backend_servers: Feed with the list of backend servers.
        copies: Holds a copy of the configuration.
        suspects: Holds what is known of requests that may crash servers.
        configuration_key: Key of the configuration in its feed.
        election: Elects the planner.
        engines: Calls to engines.
        documents: Decodes records.
        headers: Translates headers.
    """

    configurations: Feed
    backend_servers: Feed
    copies: CopyStore
    suspects: ValueStore
    configuration_key: str
    election: Election
    engines: EngineClient
    documents: DocumentDecoder
    headers: HeaderTranslator
