"""HTTP/1.1 messages and headers, for clients and servers."""

from collections.abc import Mapping
import dataclasses
import re

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"http2-settings",
        b"content-length",
        b"expect",
    }
)


_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(rb"[!-~\x80-\xff]+")
_VALUE = re.compile(rb"[\t -~\x80-\xff]*")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A complete request.

    Attributes:
        method: Method, upper case.
        target: Path and query as received.
        headers: Names in lower case with their values, in order.
        body: The body, after removal of the transfer coding.
        keep_alive: Whether the connection may serve another request.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The Host header, or empty."""
        return by_name(self.headers).get(b"host", b"").decode("latin-1")


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """The head of a response.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Names in lower case with their values, in order.
    """

    status: int
    reason: bytes
    headers: Headers

    def end_to_end(self) -> "ResponseHead":
        """Returns the head without its hop-by-hop headers."""
        return dataclasses.replace(self, headers=end_to_end(self.headers))


def by_name(headers: Headers) -> Mapping[bytes, bytes]:
    """Returns the headers by name; the last of equal names wins."""
    return dict(headers)


def content_length(headers: Headers) -> int | None:
    """Returns the size of a body that headers state, bytes, or None.

    Args:
        headers: Headers with names in lower case.
    """
    length = by_name(headers).get(b"content-length", b"")
    return int(length) if length.isdigit() else None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that are not hop-by-hop."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP_HEADERS | listed
    return [(name, value) for name, value in headers if name not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Returns the bytes of a head.

    Args:
        first_line: Request or status line.
        headers: All headers, including hop-by-hop ones.
    """
    lines = [first_line]
    lines.extend(name + b": " + value for name, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def is_sendable(request: Request) -> bool:
    """Returns whether no part of a request would be read as another one.

    Args:
        request: The request; its parts may come from a caller.
    """
    return (
        _TOKEN.fullmatch(request.method) is not None
        and _TARGET.fullmatch(request.target) is not None
        and all(
            _TOKEN.fullmatch(name) and _VALUE.fullmatch(value)
            for name, value in request.headers
        )
    )
