"""Server side of a caller's HTTP/1.1 connection."""

from collections.abc import Callable, Iterator
import contextlib
import errno
import http
import select
import time

import gevent
from gevent import monkey
from gevent import socket

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade import memory_budget
from dotterelgrade import work_share
from dotterelgrade_front import client_bounds
from dotterelgrade_front import client_notices
from dotterelgrade_front import connection_guard
from dotterelgrade_front import request_parser
from dotterelgrade_front import transfer_rate
from dotterelgrade_routing import configuration

# A patched one would switch greenlets, which callbacks of the loop must not.
_poll = monkey.get_original("select", "poll")
# Limit for a caller that takes nothing of a response.
_SEND_TIMEOUT_S = 10.0
# A send that takes less has not waited for the caller.
_MIN_SEND_WAIT_S = 0.001
_MS_PER_S = 1000
# How soon a close behind a pipelined request is noticed.
_CLOSE_POLL_S = 0.2
# A caller that has received a complete response closes within this time.
_LINGER_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerDisconnectedError(Exception):
    """The caller closed its connection or stopped reading."""


class StoppedError(gevent.GreenletExit):
    """The process exits before the request has an answer."""


class ResponseAbortedError(Exception):
    """A response that has begun can't be completed."""


class _ReadTimeout:
    """Timeout of a wait, by limits that may change meanwhile.

    A caller may go by the limits at the start of the wait or by newer ones, so
    that the longest time counts.
    """

    def __init__(self, timeout_s: Callable[[], float]) -> None:
        self._began_at = time.monotonic()
        self._timeout_s = timeout_s
        self._longest_s = timeout_s()

    @property
    def deadline(self) -> float:
        """Monotonic time at which the wait ends, s."""
        self._longest_s = max(self._longest_s, self._timeout_s())
        return self._began_at + self._longest_s


class ClientConnection:
    """Reads requests one at a time and writes their responses."""

    def __init__(
        self,
        sock: socket.socket,
        *,
        limits: Callable[[], configuration.ClientLimits],
        account: memory_budget.Account,
        bounds: client_bounds.ClientBounds | None = None,
        tiny_chunks: work_share.WorkShare | None = None,
        notices: client_notices.ClientNotices | None = None,
        address: str = "",
    ) -> None:
        """Initializes the connection.

        Args:
            sock: A connected socket; the creator closes it.
            limits: Returns the size and time limits in force.
            account: Is charged for the requests; the creator closes it.
            bounds: What the caller may take up.
            tiny_chunks: Time for bodies that are mostly framing, shared by all
                connections.
            notices: Takes what the bounds did.
            address: IP address of the caller.
        """
        bounds = bounds or client_bounds.ClientBounds()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        http_connection.enable_keepalive(sock)
        # A caller may be slower to read than our own processes and servers.
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(_SEND_TIMEOUT_S * _MS_PER_S),
        )
        self._sock = sock
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, bounds.receive_buffer_bytes
        )
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, bounds.send_buffer_bytes
        )
        self._limits = limits
        self._bounds = bounds
        self._tiny_chunks = tiny_chunks or work_share.WorkShare(
            bounds.tiny_chunk_share
        )
        self._notices = notices
        self._address = address
        self._parser = request_parser.RequestParser(
            limits, account=account, most_requests=bounds.pipelined_requests
        )
        # Received bytes behind the requests that may wait.
        self._unparsed = b""
        self._body_rate: transfer_rate.TransferRate | None = None
        self._answer_rate = transfer_rate.TransferRate(
            bytes_per_s=bounds.answer_bytes_per_s,
            window_s=bounds.answer_window_s,
        )
        self._unsent = account.beside()
        self._bad_request: request_parser.BadRequestError | None = None
        self._serving: gevent.Greenlet | None = None
        self._interrupted = False
        self._active_at = time.monotonic()
        self._shut_down = False
        self._requests_read = 0
        self._response_bytes = 0

    def __repr__(self) -> str:
        """Shows the number of queued requests."""
        return f"<ClientConnection {len(self._parser.requests)} waiting>"

    @property
    def address(self) -> str:
        """IP address of the caller."""
        return self._address

    @property
    def active_at(self) -> float:
        """Monotonic time of the last answer or of the first bytes, s."""
        return self._active_at

    @property
    def phase(self) -> connection_guard.Phase:
        """What the connection is at."""
        if self._serving is not None or self._parser.requests:
            return connection_guard.Phase.SERVING
        if self._parser.reading_body:
            return connection_guard.Phase.BODY
        if self._parser.started:
            return connection_guard.Phase.HEAD
        return connection_guard.Phase.IDLE

    @property
    def is_shut_down(self) -> bool:
        """Whether this side has ended the connection."""
        return self._shut_down

    @property
    def requests_read(self) -> int:
        """Number of complete requests read from the connection."""
        return self._requests_read

    @property
    def response_bytes(self) -> int:
        """Bytes written since the last request was read."""
        return self._response_bytes

    @property
    def is_unanswered(self) -> bool:
        """Whether a request is served without any byte of an answer."""
        return self._serving is not None and not self._response_bytes

    @contextlib.contextmanager
    def mark_busy(self) -> Iterator[None]:
        """Marks the connection as busy while the context is open."""
        self._serving = gevent.getcurrent()
        self._interrupted = False
        try:
            yield
        finally:
            self._serving = None
            self._active_at = time.monotonic()

    def interrupt(self) -> None:
        """Raises StoppedError where a request is served, once for each."""
        if self._serving is not None and not self._interrupted:
            self._interrupted = True
            self._serving.kill(exception=StoppedError, block=False)

    def close_if_idle(self, *, for_s: float) -> None:
        """Shuts the connection down if no byte of a new request has arrived.

        Args:
            for_s: Minimum idle time, s.
        """
        parser = self._parser
        if self._serving is not None or parser.started or parser.requests:
            return
        if self._unparsed:
            return
        if time.monotonic() - self._active_at < for_s:
            return
        if self._has_unread_bytes():
            return
        self.shut_down()

    def shut_down(self) -> None:
        """Ends the connection at once; its greenlet closes it."""
        self._shut_down = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def read_request(self) -> http_message.Request | None:
        """Waits for the next complete request.

        Returns:
            The request, or None when the caller closed the connection or it
            reached its idle timeout.

        Raises:
            request_parser.BadRequestError: The received bytes are not an
                acceptable request.
        """
        parser = self._parser
        parser.release_taken()
        if parser.requests or self._unparsed:
            # Pipelined requests take turns with other connections.
            gevent.sleep(0)
        timeout = self._start_timeout()
        while not parser.requests:
            if self._bad_request is not None:
                raise self._bad_request
            was_started = parser.started
            data = self._unparsed or self._receive_in_time(timeout)
            if self._shut_down or not data:
                # Bytes that race with the shutdown count as never read.
                return None
            if not self._parse_in_turn(data):
                return None
            self._check_body_rate(received_bytes=len(data))
            if parser.reading_body or parser.started != was_started:
                # The time for a body is limited between two pieces of it.
                timeout = self._start_timeout()
        self._requests_read += 1
        self._response_bytes = 0
        return parser.requests.popleft()

    def write(self, data: bytes) -> None:
        """Sends bytes of a response.

        Raises:
            CallerDisconnectedError: The connection broke, or the caller took
                too little for too long.
        """
        self._response_bytes += len(data)
        unsent = memoryview(data)
        try:
            while unsent:
                # What is ready is delivered, whatever room there is.
                self._unsent.hold(len(unsent))
                unsent = unsent[self._send_some(unsent) :]
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error
        finally:
            self._unsent.close()

    def _send_some(self, data: memoryview) -> int:
        """Returns how many bytes were sent.

        Raises:
            CallerDisconnectedError: The caller reads too slowly.
            OSError: The connection broke.
        """
        rate = self._answer_rate
        began_at = time.monotonic()
        self._sock.settimeout(min(_SEND_TIMEOUT_S, rate.left_s))
        try:
            sent = self._sock.send(data)
        except TimeoutError as error:
            if error.errno == errno.ETIMEDOUT:
                raise
            sent = self._send_at_once(data)
        waited_s = time.monotonic() - began_at
        if waited_s >= _MIN_SEND_WAIT_S:
            rate.add(sent, waited_s=waited_s)
        if not rate.too_slow:
            return sent
        if sent < len(data):
            self._notify(client_notices.Reason.SLOW_READER)
            raise CallerDisconnectedError("the answer is read too slowly")
        rate.restart()
        return sent

    def _send_at_once(self, data: memoryview) -> int:
        """Returns how many bytes were sent without waiting.

        A busy event loop may run the timer before it reports the room.
        """
        self._sock.settimeout(0.0)
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0

    def end_responses(self) -> None:
        """Ends the connection such that the last response arrives whole.

        Closing a socket with unread bytes resets the connection, and the caller
        loses what it has not received. Bytes are discarded until it closes.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + _LINGER_S
        while time.monotonic() < deadline and self._receive(deadline):
            # A caller that goes on sending must not keep the processor.
            gevent.sleep(0)

    def raise_if_disconnected(self) -> None:
        """Raises CallerDisconnectedError if the caller has closed already.

        A busy event loop may report the close only after the next step.
        """
        if self._is_closed_by_caller():
            raise CallerDisconnectedError("connection closed")

    @contextlib.contextmanager
    def interrupt_on_disconnect(self) -> Iterator[None]:
        """Raises CallerDisconnectedError in the body on a disconnect."""
        greenlet = gevent.getcurrent()
        loop = gevent.get_hub().loop
        readable = loop.io(self._sock.fileno(), 1)
        interval = loop.timer(_CLOSE_POLL_S, repeat=_CLOSE_POLL_S)
        finished = False

        def check() -> None:
            if finished:
                return
            if self._is_closed_by_caller():
                readable.stop()
                interval.stop()
                greenlet.throw(CallerDisconnectedError("connection closed"))
            elif readable.active and self._has_unread_bytes():
                # A pipelined request keeps the socket readable.
                readable.stop()
                interval.start(check)

        readable.start(check)
        try:
            yield
        finally:
            finished = True
            for watcher in (readable, interval):
                watcher.stop()
                watcher.close()

    def _has_unread_bytes(self) -> bool:
        try:
            return bool(self._peek())
        except OSError:
            return False

    def _peek(self) -> bytes:
        """Returns received but unread bytes without blocking."""
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(0.0)
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        finally:
            self._sock.settimeout(timeout_s)

    def _is_closed_by_caller(self) -> bool:
        """Returns whether the caller has ended its side, or reset the rest.

        Also behind unread bytes. A caller that only ends its side and still
        reads looks like one that closed, which must stop the work for it.
        """
        poll = _poll()
        try:
            poll.register(self._sock.fileno(), select.POLLRDHUP)
        except ValueError:
            return True
        return bool(poll.poll(0))

    def _start_timeout(self) -> _ReadTimeout:
        """Returns the timeout for the rest of a request, or for a new one."""
        if self._parser.started:
            return _ReadTimeout(lambda: self._limits().header_timeout_s)
        return _ReadTimeout(lambda: self._limits().idle_timeout_s)

    def _receive_in_time(self, timeout: _ReadTimeout) -> bytes:
        """Returns received bytes, empty at the end or at the idle timeout.

        Raises:
            request_parser.BadRequestError: A request is incomplete at its
                timeout, or its body arrives too slowly.
        """
        rate = self._current_body_rate()
        while True:
            began_at = time.monotonic()
            deadline = timeout.deadline
            if rate is not None:
                deadline = min(deadline, began_at + rate.left_s)
            data = self._receive(deadline)
            if rate is not None:
                waited_s = time.monotonic() - began_at
                rate.add(len(data or b""), waited_s=waited_s)
            if data is None:
                self._check_body_rate(received_bytes=0)
            if data is not None:
                return data
            if time.monotonic() < timeout.deadline:
                # A newer configuration grants more time.
                continue
            if self._parser.started:
                raise request_parser.BadRequestError(
                    http.HTTPStatus.REQUEST_TIMEOUT
                )
            return b""

    def _current_body_rate(self) -> transfer_rate.TransferRate | None:
        """Returns the rate of the body that is read, if any."""
        if not self._parser.reading_body:
            self._body_rate = None
        elif self._body_rate is None:
            self._body_rate = transfer_rate.TransferRate(
                bytes_per_s=self._bounds.body_bytes_per_s,
                window_s=self._bounds.body_window_s,
            )
        return self._body_rate

    def _check_body_rate(self, *, received_bytes: int) -> None:
        """Refuses a body that is still incomplete and arrives too slowly.

        Raises:
            request_parser.BadRequestError: It does.
        """
        rate = self._body_rate
        if rate is None or not rate.too_slow or not self._parser.reading_body:
            return
        if received_bytes >= self._bounds.slice_bytes:
            # More has arrived: this process was late, not the caller.
            rate.restart()
            return
        self._notify(client_notices.Reason.SLOW_BODY)
        raise request_parser.BadRequestError(http.HTTPStatus.REQUEST_TIMEOUT)

    def _receive(self, deadline: float) -> bytes | None:
        """Returns received bytes, empty at the end, None at the deadline."""
        try:
            return http_connection.receive(
                self._sock,
                deadline=deadline,
                most_bytes=self._bounds.slice_bytes,
            )
        except TimeoutError:
            return None
        except OSError:
            return b""

    def _parse_in_turn(self, data: bytes) -> bool:
        """Parses received bytes; returns whether the caller is still there.

        Other connections get a turn after each slice. Bodies that are mostly
        framing share a part of the time, and their rest waits in the kernel.
        """
        if not self._parser.framing_heavy:
            self._feed(data)
            self._send_continue()
            if not self._parser.requests:
                gevent.sleep(0)
            return True
        self._notify(client_notices.Reason.TINY_CHUNKS)
        with self._tiny_chunks.turn():
            if self._shut_down or self._is_closed_by_caller():
                return False
            self._feed(data)
        self._send_continue()
        return True

    def _send_continue(self) -> None:
        """Answers a caller that waits before it sends the body."""
        if self._parser.take_expect_continue():
            self.write(_CONTINUE)

    def _feed(self, data: bytes) -> None:
        self._unparsed = b""
        try:
            self._unparsed = self._parser.feed(data)
        except request_parser.BadRequestError as error:
            # Complete requests before these bytes are served first.
            self._bad_request = error
            if self._parser.framing_too_large:
                self._notify(client_notices.Reason.FRAMING)
            self._parser.discard()
        if self._unparsed:
            self._notify(client_notices.Reason.PIPELINED)

    def _notify(self, reason: client_notices.Reason) -> None:
        if self._notices is not None:
            self._notices.record(reason, address=self._address)
