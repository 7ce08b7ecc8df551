"""Client of the platform's append-only log service."""

import dataclasses
import logging
from typing import Protocol

import geventhttpclient
import geventhttpclient.response
import msgspec
from returns import result

from dotterelgrade import bounded
from dotterelgrade import decoding
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
    geventhttpclient.response.HTTPParseError,
)


class _WireOffset(msgspec.Struct, frozen=True, kw_only=True):
    offset: bounded.Count


class _WireExpired(msgspec.Struct, frozen=True, kw_only=True):
    first_kept: bounded.Count


class _WireRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record of a page; `body` is base64."""

    offset: bounded.Count
    body: bytes


class _WirePage(msgspec.Struct, frozen=True, kw_only=True):
    records: tuple[_WireRecord, ...]
    first_kept: bounded.Count
    end: bounded.Count


_offset_decoder = msgspec.json.Decoder(_WireOffset)
_expired_decoder = msgspec.json.Decoder(_WireExpired)
_page_decoder = msgspec.json.Decoder(_WirePage)


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
            return decode_offset(data)
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
                return _expired(stream, start, data)
            if response.status_code != _HTTP_OK:
                return _unavailable(
                    f"read returned HTTP {response.status_code}"
                )
            return decode_page(data)
        except _REQUEST_ERRORS as error:
            return _unavailable(repr(error))


def decode_offset(body: bytes) -> result.Result[int, errors.Error]:
    """Decodes the answer to an append, or returns why it can't be used."""
    return _decode(_offset_decoder, body).map(lambda wire: wire.offset)


def decode_page(body: bytes) -> result.Result[Page, errors.Error]:
    """Decodes the answer to a read, or returns why it can't be used."""
    return _decode(_page_decoder, body).map(_to_page)


def _to_page(wire: _WirePage) -> Page:
    return Page(
        records=tuple(
            Record(offset=record.offset, body=record.body)
            for record in wire.records
        ),
        first_kept=wire.first_kept,
        end=wire.end,
    )


def _expired(
    stream: str, start: int, body: bytes
) -> result.Failure[errors.Error]:
    decoded = _decode(_expired_decoder, body)
    if isinstance(decoded, result.Failure):
        return decoded
    return result.Failure(
        ExpiredError(
            message=f"offset {start} of {stream} is no longer kept",
            first_kept=decoded.unwrap().first_kept,
        )
    )


def _decode(
    decoder: msgspec.json.Decoder, body: bytes
) -> result.Result[msgspec.Struct, errors.Error]:
    return decoding.attempt(
        decoder.decode,
        body,
        what="log service",
        kind=errors.ErrorKind.LOG_UNAVAILABLE,
    )
