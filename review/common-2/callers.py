"""Sound clients for the scripts of a review."""

from collections.abc import Callable
import dataclasses
import itertools
import re
import time

import deployment
import gevent
from gevent import socket

CONNECT_TIMEOUT_S = 1.0
_KEPT_PATIENCE_S = 20.0
_TAIL_BYTES = 1_024
# Stands in the body of each refusal, behind its headers.
_RETRY_AFTER = re.compile(rb'"retry_after_s": ([0-9.]+)\}')
_ids = itertools.count(1)


@dataclasses.dataclass
class Answer:
    """What became of one request.

    Attributes:
        request_id: Its ID.
        sent_at: Monotonic time at which its last byte was sent, s.
        status: Status, or 0 without a head.
        seconds: Time from the last byte sent to the end, s.
        complete: Whether the answer arrived whole.
        body: Its body.
        error: Why there is none, or empty.
    """

    request_id: str
    sent_at: float
    status: int = 0
    seconds: float = 0.0
    complete: bool = False
    body: bytes = b""
    error: str = ""


def new_id(name: str) -> str:
    """Returns an ID that no other request has."""
    return f"{name}-{next(_ids):06d}"


def head(
    method: str, target: str, request_id: str, *rows: str, deadline_ms: int
) -> bytes:
    """Returns the head of a request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {deployment.HOST}",
        f"X-Dotterelgrade-Attempt-Id: {request_id}",
        f"X-Dotterelgrade-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {deployment.KEY}",
        *rows,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def call(
    address: tuple[str, int],
    request_id: str,
    data: bytes,
    *,
    patience_s: float,
    source: str = "",
) -> Answer:
    """Makes one plain call on a new connection."""
    answer = Answer(request_id=request_id, sent_at=time.monotonic())
    try:
        sock = socket.create_connection(
            address,
            timeout=CONNECT_TIMEOUT_S,
            source_address=(source, 0) if source else None,
        )
    except OSError as error:
        answer.error = f"connect: {error}"
        answer.seconds = time.monotonic() - answer.sent_at
        return answer
    try:
        sock.settimeout(patience_s)
        sock.sendall(data)
        answer.sent_at = time.monotonic()
        with gevent.Timeout(patience_s, TimeoutError("no answer in time")):
            _read_answer(sock, answer)
    except OSError as error:
        answer.error = str(error) or type(error).__name__
    finally:
        sock.close()
    answer.seconds = time.monotonic() - answer.sent_at
    return answer


def _read_answer(sock: socket.socket, answer: Answer) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65_536)
        if not piece:
            raise ConnectionError("closed before the head")
        data += piece
    raw, _, body = data.partition(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    fields = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    length = int(fields.get("content-length", "0"))
    while len(body) < length:
        piece = sock.recv(65_536)
        if not piece:
            raise ConnectionError("closed within the body")
        body += piece
    answer.body = body
    answer.complete = True


def stream_repeatedly(
    address: tuple[str, int],
    make_request: Callable[[str], bytes],
    note: Callable[[str], None],
    *,
    pause_s: float,
) -> None:
    """Makes streamed requests on a kept connection until it is killed.

    Waits after a refusal as the front says.
    """
    while True:
        try:
            sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        except OSError as error:
            note(f"no connection: {error}")
            gevent.sleep(1.0)
            continue
        try:
            sock.settimeout(_KEPT_PATIENCE_S)
            while True:
                request_id = new_id("stream")
                wait_s = _one_stream(sock, make_request(request_id))
                note(
                    f"{request_id}: complete"
                    if wait_s is None
                    else f"{request_id}: refused for {wait_s} s"
                )
                gevent.sleep(pause_s if wait_s is None else wait_s)
        except OSError as error:
            note(f"{request_id}: {error}")
        finally:
            sock.close()
        gevent.sleep(1.0)


def _one_stream(sock: socket.socket, data: bytes) -> float | None:
    """Reads one answer; returns the time to wait if it is a refusal, s."""
    sock.sendall(data)
    tail = b""
    while not tail.endswith(b"0\r\n\r\n"):
        piece = sock.recv(65_536)
        if not piece:
            raise ConnectionError("closed")
        tail = (tail + piece)[-_TAIL_BYTES:]
        refused = _RETRY_AFTER.search(tail)
        if refused:
            return float(refused.group(1))
    return None


def stream(
    address: tuple[str, int],
    request_id: str,
    data: bytes,
    *,
    gap_s: float,
    patience_s: float,
) -> Answer:
    """Makes one streamed request; leaves after a gap without an event."""
    answer = Answer(request_id=request_id, sent_at=time.monotonic())
    received = bytearray()
    try:
        sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        try:
            sock.sendall(data)
            answer.sent_at = event_at = time.monotonic()
            tail = b""
            while True:
                now = time.monotonic()
                if now - event_at > gap_s:
                    raise TimeoutError(f"no event for {gap_s} s")
                if now - answer.sent_at > patience_s:
                    raise TimeoutError("deadline")
                sock.settimeout(max(event_at + gap_s - now, 0.01))
                piece = sock.recv(65_536)
                if not piece:
                    break
                if b"id: " in piece:
                    event_at = time.monotonic()
                    received += piece
                if not answer.status:
                    answer.status = int((tail + piece).split(b" ", 2)[1])
                tail = (tail + piece)[-16:]
                if tail.endswith(b"0\r\n\r\n"):
                    answer.complete = True
                    break
        finally:
            sock.close()
    except OSError as error:
        answer.error = str(error) or type(error).__name__
    answer.body = bytes(received)
    answer.seconds = time.monotonic() - answer.sent_at
    return answer
