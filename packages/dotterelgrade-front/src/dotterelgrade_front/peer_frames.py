"""Frames between a front and the front that plans."""

import dataclasses
import enum

from dotterelgrade import frame_codec
from dotterelgrade_routing import platform_port


class FeedName(enum.Enum):
    """The feeds that one front reads for all."""

    CONFIGURATIONS = "configurations"
    BACKEND_SERVERS = "backend_servers"


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class FeedProgress:
    """How far the planner has followed a feed.

    Attributes:
        feed: The feed.
        end: Offset behind its last record.
        era: Era of the store to which the offset belongs.
        age_s: Time since the store last answered it, s.
    """

    feed: FeedName
    end: int
    era: int
    age_s: float


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedRecords:
    """Records of a feed that the planner passes on.

    Attributes:
        feed: The feed.
        start: Offset from which on no record is left out.
        end: Offset behind the last record.
        era: Era of the store to which the offsets belong.
        records: In order of their offsets.
    """

    feed: FeedName
    start: int
    end: int
    era: int
    records: list[platform_port.Record]


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class FrontLoad:
    """What a front reports to the planner.

    Attributes:
        number: Grows with each report of a front.
        reserved: Reserved memory by backend server, tokens times layers.
        excluded: Backend servers that it excludes.
        refusing: Those of them that refuse though they report room.
        leaving: Those that said that they leave, with the start of the process
            that said so, ms since the epoch.
        store_silent_s: Time since the store last answered it, s.
        strong: Whether its host is strong enough for a planner.
    """

    number: int
    reserved: dict[str, float]
    excluded: list[str]
    refusing: list[str]
    leaving: dict[str, int]
    store_silent_s: float
    strong: bool


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class SeenServer:
    """What an engine reported to the planner.

    Attributes:
        id: The backend server.
        started_ms: Start of its process, ms since the epoch.
        first: First layer that it holds.
        end: Index behind its last layer; equal to `first` without layers.
        slowness: Duration of its work relative to the usual one.
        loading: Whether an order is in progress.
        silent: Whether it did not answer lately.
    """

    id: str
    started_ms: int
    first: int
    end: int
    slowness: float
    loading: bool
    silent: bool


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetSnapshot:
    """What the planner sends to a front.

    The same bytes go to all fronts, so that the work doesn't grow with fronts
    times engines; only a front that has just connected gets another one.

    Attributes:
        reserved: Reserved memory of all fronts together, tokens times layers.
        servers: Engines whose reports say something new since the last
            snapshot that was sent over the connection.
        fronts: `IP:PORT` of all fronts, the planner included; empty if they
            are the same as before.
        refusing: Engines that refuse requests though they report room.
        leaving: Backend servers that said that they leave, with the start of
            the process that said so, ms since the epoch.
        feeds: How far the planner has followed the store.
    """

    reserved: dict[str, int]
    servers: list[SeenServer]
    fronts: list[str]
    refusing: list[str]
    leaving: dict[str, int]
    feeds: list[FeedProgress]


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportCounted:
    """Says which report of a front the next snapshot contains.

    Attributes:
        number: Number of the report.
    """

    number: int


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class Successor:
    """A planner's final message before it leaves.

    Attributes:
        planner: `IP:PORT` of the front that plans from now on.
        ended: The newest term that the planner has read, or None.
    """

    planner: str
    ended: platform_port.Term | None
