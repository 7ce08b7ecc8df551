"""Client of the platform's host list, which is eventually consistent."""

import dataclasses
import json
import logging
from typing import Annotated, Any

import geventhttpclient
import geventhttpclient.response
import msgspec
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import decoding
from dotterelgrade import errors
from dotterelgrade import http_bodies
from dotterelgrade import settings as settings_lib

_LOG = logging.getLogger(__name__)

_HTTP_OK = 200

MAX_POLL_INTERVAL_S = 60.0
_ENTRY_BYTES = 130
_POLL_BYTES_PER_S = 6_000
_Host = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:]+\Z")]
_PortOrNone = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostEntry:
    """One process slot on one host.

    Attributes:
        host: IP address.
        role: Role of the process on the host.
        peer_port: Port for connections from peers.
        admin_port: Port of the admin endpoint.
        failure_domain: Failure domain of the host.
        state: "live" or "leaving".
    """

    host: _Host
    role: connection_frames.Role
    peer_port: _PortOrNone
    admin_port: _PortOrNone
    failure_domain: str
    state: str = "live"

    @property
    def is_leaving(self) -> bool:
        """Whether the platform is removing the host."""
        return self.state == "leaving"


def poll_interval_s(count: int, *, min_interval_s: float) -> float:
    """Returns the poll interval for a host list of the given length.

    Each poll transfers the whole list, so the interval grows with its length to
    bound the bandwidth. Changes in a long list are noticed earlier through peer
    connections.

    Args:
        count: Number of entries in the list.
        min_interval_s: Minimum interval, s.

    Returns:
        The interval, s; at most `MAX_POLL_INTERVAL_S`, unless
        `min_interval_s` is greater.
    """
    bandwidth_limited_s = count * _ENTRY_BYTES / _POLL_BYTES_PER_S
    return max(min_interval_s, min(bandwidth_limited_s, MAX_POLL_INTERVAL_S))


class HostListClient:
    """Reads `GET hosts_url`, which returns `{"hosts": [HostEntry, ...]}`."""

    def __init__(self, settings: settings_lib.PlatformSettings) -> None:
        """Initializes the client.

        Args:
            settings: URLs of the platform's services.
        """
        self._faults: tuple[str, ...] = ()
        self._url = geventhttpclient.URL(settings.hosts_url)
        self._http = geventhttpclient.HTTPClient.from_url(
            settings.hosts_url,
            connection_timeout=settings.timeout_s,
            network_timeout=settings.timeout_s,
        )

    def read(self) -> result.Result[tuple[HostEntry, ...], errors.Error]:
        """Returns the listed hosts, or PEER_UNREACHABLE."""
        try:
            response = self._http.get(self._url.request_uri)
            data = http_bodies.read(response)
            if response.status_code != _HTTP_OK:
                return _unreachable(f"HTTP status {response.status_code}")
            parsed = _parse(json.loads(data))
        except (
            OSError,
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
            geventhttpclient.response.HTTPParseError,
        ) as error:
            return _unreachable(repr(error))
        self._note_faults(parsed.faults)
        return result.Success(parsed.entries)

    def _note_faults(self, faults: tuple[str, ...]) -> None:
        """Logs which entries are left out, when that has changed."""
        if faults and faults != self._faults:
            _LOG.warning(
                "host entry skipped",
                extra={"reason": faults[0], "count": len(faults)},
            )
        self._faults = faults


def parse_entries(value: Any) -> tuple[HostEntry, ...]:
    """Validates the decoded list, and leaves out entries that are invalid.

    Args:
        value: The decoded JSON.

    Raises:
        KeyError: The key `hosts` is missing.
        TypeError: The value has another type.
        ValueError: There are entries, and none is valid.
    """
    return _parse(value).entries


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Parsed:
    """The valid entries, and why the others are not."""

    entries: tuple[HostEntry, ...]
    faults: tuple[str, ...] = ()


def _parse(value: Any) -> _Parsed:
    items = value["hosts"]
    try:
        return _Parsed(entries=msgspec.convert(items, tuple[HostEntry, ...]))
    except msgspec.ValidationError:
        return _parse_each(items)


def _parse_each(items: Any) -> _Parsed:
    decoded = [
        decoding.attempt(_convert, item, what=f"host entry {number}")
        for number, item in enumerate(items)
    ]
    entries = [d.unwrap() for d in decoded if isinstance(d, result.Success)]
    faults = [
        d.failure().message for d in decoded if isinstance(d, result.Failure)
    ]
    if faults and not entries:
        raise ValueError(faults[0])
    return _Parsed(entries=tuple(entries), faults=tuple(faults))


def _convert(item: Any) -> HostEntry:
    return msgspec.convert(item, HostEntry)


def _unreachable(reason: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.PEER_UNREACHABLE,
            message=f"host list: {reason}",
        )
    )
