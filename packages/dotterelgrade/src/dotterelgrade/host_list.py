"""Client of the platform's list of hosts, which lags behind the truth."""

import dataclasses
import json
from typing import Any

import geventhttpclient
import geventhttpclient.response
import msgspec
from returns import result

from dotterelgrade import errors
from dotterelgrade import greetings
from dotterelgrade import http_bodies
from dotterelgrade import settings as settings_lib

_HTTP_OK = 200

LONGEST_POLL_S = 60.0
_ENTRY_BYTES = 130
_POLL_BYTES_PER_S = 6_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostEntry:
    """One process slot on one host.

    Attributes:
        host: IP number.
        role: Role of the process on it.
        peer_port: Port for the system's own processes.
        admin_port: Port of the admin address.
        failure_domain: Failure domain of the host.
        state: "live" or "leaving".
    """

    host: str
    role: greetings.Role
    peer_port: int
    admin_port: int
    failure_domain: str
    state: str = "live"

    @property
    def is_leaving(self) -> bool:
        """Whether the platform says that the host leaves."""
        return self.state == "leaving"


def poll_interval_s(count: int, *, shortest_s: float) -> float:
    """Returns how long to wait between two reads of a list of that length.

    The whole list comes with each read, so its length sets what reads cost.
    Changes show earlier through connections than through a long list.

    Args:
        count: How many entries the list has.
        shortest_s: Interval for a short list, s.

    Returns:
        The interval, s; at most `LONGEST_POLL_S`, unless `shortest_s` is more.
    """
    paced_s = count * _ENTRY_BYTES / _POLL_BYTES_PER_S
    return max(shortest_s, min(paced_s, LONGEST_POLL_S))


class HostList:
    """Reads `GET hosts_url`, which answers `{"hosts": [HostEntry, ...]}`."""

    def __init__(self, settings: settings_lib.PlatformSettings) -> None:
        """Initializes the client.

        Args:
            settings: Addresses of the platform's services.
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
                return _unreachable(f"answered {response.status_code}")
            return result.Success(to_entries(json.loads(data)))
        except (
            OSError,
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
            geventhttpclient.response.HTTPParseError,
        ) as error:
            return _unreachable(repr(error))


def to_entries(value: Any) -> tuple[HostEntry, ...]:
    """Checks the decoded list.

    Args:
        value: The decoded JSON.

    Raises:
        KeyError: The list is missing.
        TypeError: It is no list.
        ValueError: An entry is not valid.
    """
    return tuple(msgspec.convert(item, HostEntry) for item in value["hosts"])


def _unreachable(reason: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.PEER_UNREACHABLE,
            message=f"host list: {reason}",
        )
    )
