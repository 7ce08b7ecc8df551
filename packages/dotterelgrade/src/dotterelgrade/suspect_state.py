"""What processes tell each other about requests that may crash servers.

Times are ages, since the clocks of hosts differ.
"""

import dataclasses
from typing import Annotated

import msgspec
from returns import result

from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import errors

Fingerprint = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{16}\Z")]
# Others choose the identifiers; longer ones are cut.
MAX_IDENTIFIER_LENGTH = 128
_Identifier = Annotated[str, msgspec.Meta(max_length=MAX_IDENTIFIER_LENGTH)]
# Crashes of one fingerprint that are told.
MAX_CRASHES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerProcess:
    """A process of a backend server.

    Attributes:
        server_id: The backend server.
        started_ms: Start of the process, ms since the epoch, or 0.
    """

    server_id: _Identifier
    started_ms: bounded.UnixMs

    def __post_init__(self) -> None:
        """Cuts an identifier that is too long to be told to others."""
        object.__setattr__(
            self, "server_id", self.server_id[:MAX_IDENTIFIER_LENGTH]
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """The end of a process of a backend server, whatever it took along.

    Attributes:
        process: The process, as it is listed.
        number: Counts the crashes under one entry of the list. A server that
            was started again keeps its entry for a while, and what is dead
            behind a proxy seems to crash at each request.
    """

    process: ServerProcess
    number: bounded.Count = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """A crash, and a request that waited for its answer there.

    Attributes:
        crash: The crash.
        age_s: Time since it was seen, s.
        sent_age_s: Time since the request was sent there, s.
        request_id: The request, or empty if none is known.
        request: Fingerprint that only its repetitions share, or None.
    """

    crash: Crash
    age_s: bounded.Amount
    sent_age_s: bounded.Amount = 0.0
    request_id: _Identifier = ""
    request: Fingerprint | None = None

    def later(self, seconds: float) -> "CrashReport":
        """Returns the report as if the crash were so much more recent, s."""
        return dataclasses.replace(
            self,
            age_s=max(self.age_s - seconds, 0.0),
            sent_age_s=max(self.sent_age_s - seconds, 0.0),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectState:
    """What one process knows of a fingerprint.

    Attributes:
        fingerprint: The fingerprint.
        crashes: Backend servers that crashed under it.
        served_age_s: Time since a request with it was last served, s, or None.
        quarantined_age_s: Time since it was quarantined, s, or None.
        wanted_age_s: Time since a request with it was last refused, s, or None.
        probes: Probes that were granted since it was quarantined.
        probed_age_s: Time since the last one, s, or None.
    """

    fingerprint: Fingerprint
    crashes: Annotated[
        list[CrashReport], msgspec.Meta(max_length=MAX_CRASHES)
    ] = dataclasses.field(default_factory=list)
    served_age_s: bounded.Amount | None = None
    quarantined_age_s: bounded.Amount | None = None
    wanted_age_s: bounded.Amount | None = None
    probes: bounded.Count = 0
    probed_age_s: bounded.Amount | None = None

    @property
    def accuses(self) -> bool:
        """Whether anything speaks against the fingerprint."""
        return bool(self.crashes) or self.quarantined_age_s is not None

    def undated(self) -> "SuspectState":
        """Returns the state as if the last of it were of now.

        The ages in a record are those of the moment at which it was written,
        which its reader doesn't know. How long ago a request was served or
        refused is left out.
        """
        newest_s = min((report.age_s for report in self.crashes), default=0.0)
        return dataclasses.replace(
            self,
            crashes=[report.later(newest_s) for report in self.crashes],
            served_age_s=None,
            wanted_age_s=None,
            quarantined_age_s=_now_if_any(self.quarantined_age_s),
            probed_age_s=_now_if_any(self.probed_age_s),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectNews:
    """What has changed since a process told another one.

    Attributes:
        suspects: Fingerprints, also those that were acquitted lately.
        crashes: Crashes under any request or none.
    """

    suspects: list[SuspectState] = dataclasses.field(default_factory=list)
    crashes: list[CrashReport] = dataclasses.field(default_factory=list)


def _now_if_any(age_s: float | None) -> float | None:
    return None if age_s is None else 0.0


_decoder = msgspec.msgpack.Decoder(SuspectState)


def encode(state: SuspectState) -> bytes:
    """Encodes a state for a record."""
    return msgspec.msgpack.encode(state)


def decode(body: bytes) -> result.Result[SuspectState, errors.Error]:
    """Decodes a record, or returns why it can't be used.

    Args:
        body: As `encode` has returned it, or anything else.
    """
    return decoding.attempt(_decoder.decode, body, what="suspect")
