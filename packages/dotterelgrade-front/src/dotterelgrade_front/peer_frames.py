"""Frames between a front and the planner, the elected front."""

import dataclasses
import enum

from dotterelgrade import bounded
from dotterelgrade import frame_codec
from dotterelgrade import suspect_state
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import rank_demand
from dotterelgrade_routing import relay_encoding


class FeedName(enum.Enum):
    """The feeds of the store that the planner reads for all fronts."""

    CONFIGURATIONS = "configurations"
    BACKEND_SERVERS = "backend_servers"


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class FeedProgress:
    """The planner's position in a feed.

    Attributes:
        feed: The feed.
        end: Offset after the last record read.
        era: Era of the store to which the offset belongs.
        age_s: Time since all records acknowledged by the store were certainly
            before that offset, s; infinite if it has not read the feed.
    """

    feed: FeedName
    end: bounded.Count
    era: int
    age_s: bounded.SignedNumber


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedRecords:
    """Records of a feed, relayed by the planner.

    Attributes:
        feed: The feed.
        start: Offset from which the records are complete.
        end: Offset after the last record.
        era: Era of the store to which the offsets belong.
        records: In order of their offsets.
    """

    feed: FeedName
    start: bounded.Count
    end: bounded.Count
    era: int
    records: list[platform_port.Record]


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedChanges:
    """Records of a feed, encoded for fronts that have all earlier ones.

    Attributes:
        feed: The feed.
        start: Offset from which the records are complete, or None if they are
            the newest of all keys.
        end: Offset after the last record.
        era: Era of the store to which the offsets belong.
        records: In order of their offsets.
    """

    feed: FeedName
    start: bounded.Count | None
    end: bounded.Count
    era: int
    records: list[relay_encoding.EncodedRecord]


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class FrontLoad:
    """Load report of a front to the planner.

    Attributes:
        number: Increases with each report of a front.
        reserved: Reserved memory by backend server, tokens times layers.
        excluded: Backend servers that the front excludes.
        refusing: Those that refuse requests though they report free memory.
        leaving: Leaving backend servers, with the start of the process that
            announced it, ms since the epoch.
        store_silent_s: Time since the store last answered the front, s.
        strong: Whether its host has the capacity for a planner.
        reads_changes: Whether it reads `RelayedChanges`; older builds don't.
        suspects: What has changed about requests that may crash servers since
            the last report over the connection, or None.
        demand: Demand by service and rank, or None from an older build and
            while no service has ranks.
    """

    number: bounded.Count
    reserved: dict[str, bounded.Amount]
    excluded: list[str]
    refusing: list[str]
    leaving: dict[str, bounded.UnixMs]
    store_silent_s: bounded.Amount
    strong: bool
    reads_changes: bool = False
    suspects: suspect_state.SuspectNews | None = None
    demand: list[rank_demand.RankDemand] | None = None


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class SeenServer:
    """State of an engine as last reported to the planner.

    Attributes:
        id: The backend server.
        started_ms: Start of its process, ms since the epoch.
        first: First layer that it holds.
        end: Index after its last layer; equal to `first` without layers.
        slowness: Duration of its work relative to the usual duration.
        loading: Whether a placement order is in progress.
        silent: Whether it missed its latest polls.
    """

    id: str
    started_ms: bounded.UnixMs
    first: bounded.Layer
    end: bounded.Layer
    slowness: bounded.Amount
    loading: bool
    silent: bool


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetSnapshot:
    """State of the fleet that the planner sends to the fronts.

    It is encoded once for all fronts, so that the work doesn't grow with fronts
    times engines; only a front that has just connected gets a full snapshot.

    Attributes:
        reserved: Reserved memory of all fronts together, tokens times layers.
        servers: Engines that changed since the last snapshot sent over the
            connection.
        fronts: `IP:PORT` of all fronts, the planner included; empty if
            unchanged.
        refusing: Engines that refuse requests though they report free memory.
        leaving: Leaving backend servers, with the start of the process that
            announced it, ms since the epoch.
        feeds: The planner's positions in the feeds of the store.
        suspects: What has changed about requests that may crash servers since
            the last snapshot sent over the connection, or None.
        demand: Demand of all fronts together by service and rank, or None from
            an older build and while no service has ranks.
    """

    reserved: dict[str, bounded.Count]
    servers: list[SeenServer]
    fronts: list[str]
    refusing: list[str]
    leaving: dict[str, bounded.UnixMs]
    feeds: list[FeedProgress]
    suspects: suspect_state.SuspectNews | None = None
    demand: list[rank_demand.RankDemand] | None = None


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportCounted:
    """Acknowledges the report that the next snapshot includes.

    It also dates the snapshot: it was made after the front had sent the report.

    Attributes:
        number: Number of the front's report.
    """

    number: bounded.Count


@frame_codec.frame
@dataclasses.dataclass(frozen=True, kw_only=True)
class Successor:
    """Final message of a planner that hands over its role.

    Attributes:
        planner: `IP:PORT` of the next planner.
        ended: The newest term that the old planner has read, or None.
    """

    planner: str
    ended: platform_port.Term | None
