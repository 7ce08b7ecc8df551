"""What is thought of requests that may crash backend servers."""

import dataclasses
import enum

from dotterelgrade import suspect_state


class Level(enum.IntEnum):
    """What is to be done with a request, in order of severity."""

    NONE = 0
    SUSPECTED = 1
    QUARANTINED = 2


class ChangeKind(enum.StrEnum):
    """What has changed for a fingerprint."""

    SUSPECTED = "request_suspected"
    QUARANTINED = "request_quarantined"
    RELEASED = "request_released"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A change that operators should know of.

    Attributes:
        kind: What has changed.
        reason: Why, in one clause.
        state: What is known of the fingerprint.
    """

    kind: ChangeKind
    reason: str
    state: suspect_state.SuspectState


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assessment:
    """What the fingerprints of a request mean for it.

    Attributes:
        level: What is to be done with it.
        fingerprint: The fingerprint that decides, or empty.
        retry_after_s: When it is worth asking again, s.
        requests: Different requests under which servers crashed.
        settled: Whether no crash was seen under it for a moment.
        probe_due: Whether the next request with it may be sent as a probe.
    """

    level: Level
    fingerprint: str = ""
    retry_after_s: float = 0.0
    requests: int = 0
    settled: bool = True
    probe_due: bool = False
