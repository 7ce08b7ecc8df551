"""Client of the platform's append-only log service."""

import base64
import dataclasses
import json
import logging
from typing import Any, Protocol

import geventhttpclient
import geventhttpclient.response
from returns import result

from dotterelgrade import errors
from dotterelgrade import http_bodies
from dotterelgrade import settings as settings_lib

_LOG = logging.getLogger(__name__)

CONTRACT_STREAM = "contract"
CLAIMS_STREAM = "claims"
CHARGES_STREAM = "charges"
PLACEMENT_STREAM = "placement"
MAX_WAIT_MS = 5_000
MAX_PAGE_BYTES = 64 * 1024 * 1024
_HTTP_OK = 200
_HTTP_GONE = 410
_REQUEST_ERRORS = (
    OSError,
    ValueError,
    KeyError,
    TypeError,
    RecursionError,
    geventhttpclient.response.HTTPParseError,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """One record of a stream.

    Attributes:
        offset: Position in the stream, counted from 1 without gaps.
        body: The appended bytes.
    """

    offset: int
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Page:
    """Records returned by one read.

    Attributes:
        records: Records in order of their offsets.
        first_kept: First offset that the stream still keeps.
        end: Offset of the next append.
    """

    records: tuple[Record, ...]
    first_kept: int
    end: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExpiredError(errors.Error):
    """A read from an offset that the stream no longer keeps.

    Attributes:
        first_kept: First offset that the stream still keeps.
    """

    kind: errors.ErrorKind = errors.ErrorKind.RECORD_EXPIRED
    first_kept: int


class Log(Protocol):
    """Interface of the log service."""

    def append(
        self, stream: str, body: bytes
    ) -> result.Result[int, errors.Error]:
        """Appends a record.

        Returns:
            Its offset, or LOG_UNAVAILABLE, in which case the record may
            still have been appended.
        """

    def read(
        self, stream: str, *, start: int, wait_ms: int = 0
    ) -> result.Result[Page, errors.Error]:
        """Reads records starting at an offset.

        Returns:
            A page, an `ExpiredError` when `start` is no longer kept, or
            LOG_UNAVAILABLE.
        """


def _unavailable(reason: object) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.LOG_UNAVAILABLE,
            message=f"log service: {reason}",
        )
    )


class LogClient:
    """HTTP client of the log service.

    `POST /streams/NAME` takes a body and answers `{"offset": N}`;
    `GET /streams/NAME?from=N&wait_ms=M` answers
    `{"records": [{"offset", "body": base64}], "first_kept", "end"}`, or 410
    with `{"first_kept"}`.
    """

    def __init__(self, settings: settings_lib.PlatformSettings) -> None:
        """Initializes the client.

        Args:
            settings: Addresses of the platform's services.
        """
        self._settings = settings
        self._http = geventhttpclient.HTTPClient.from_url(
            settings.log_url,
            concurrency=16,
            connection_timeout=settings.timeout_s,
            network_timeout=settings.timeout_s + MAX_WAIT_MS / 1000,
        )

    def append(
        self, stream: str, body: bytes
    ) -> result.Result[int, errors.Error]:
        """Appends a record; see `Log.append`."""
        try:
            response = self._http.post(f"/streams/{stream}", body=body)
            data = http_bodies.read(response, max_bytes=MAX_PAGE_BYTES)
            if response.status_code != _HTTP_OK:
                return _unavailable(
                    f"append returned HTTP {response.status_code}"
                )
            return result.Success(int(json.loads(data)["offset"]))
        except _REQUEST_ERRORS as error:
            return _unavailable(repr(error))

    def read(
        self, stream: str, *, start: int, wait_ms: int = 0
    ) -> result.Result[Page, errors.Error]:
        """Reads records starting at an offset; see `Log.read`."""
        path = f"/streams/{stream}?from={start}&wait_ms={wait_ms}"
        try:
            response = self._http.get(path)
            data = http_bodies.read(response, max_bytes=MAX_PAGE_BYTES)
            if response.status_code == _HTTP_GONE:
                return result.Failure(
                    ExpiredError(
                        message=f"offset {start} of {stream} is no longer kept",
                        first_kept=int(json.loads(data)["first_kept"]),
                    )
                )
            if response.status_code != _HTTP_OK:
                return _unavailable(
                    f"read returned HTTP {response.status_code}"
                )
            return result.Success(_to_page(json.loads(data)))
        except _REQUEST_ERRORS as error:
            return _unavailable(repr(error))


def _to_page(value: Any) -> Page:
    records = tuple(
        Record(
            offset=int(item["offset"]),
            body=base64.b64decode(item["body"], validate=True),
        )
        for item in value["records"]
    )
    return Page(
        records=records,
        first_kept=int(value["first_kept"]),
        end=int(value["end"]),
    )
