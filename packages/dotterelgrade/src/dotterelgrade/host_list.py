"""Client of the platform's host list, which is eventually consistent."""

import dataclasses
import json
from typing import Any

import geventhttpclient
import geventhttpclient.response
import msgspec
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import http_bodies
from dotterelgrade import settings as settings_lib

_HTTP_OK = 200

MAX_POLL_INTERVAL_S = 60.0
_ENTRY_BYTES = 130
_POLL_BYTES_PER_S = 6_000


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

    host: str
    role: connection_frames.Role
    peer_port: int
    admin_port: int
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
            return result.Success(parse_entries(json.loads(data)))
        except (
            OSError,
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
            geventhttpclient.response.HTTPParseError,
        ) as error:
            return _unreachable(repr(error))


def parse_entries(value: Any) -> tuple[HostEntry, ...]:
    """Validates the decoded list.

    Args:
        value: The decoded JSON.

    Raises:
        KeyError: The key `hosts` is missing.
        TypeError: The value has another type.
        ValueError: An entry is invalid.
    """
    return tuple(msgspec.convert(item, HostEntry) for item in value["hosts"])


def _unreachable(reason: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.PEER_UNREACHABLE,
            message=f"host list: {reason}",
        )
    )
