"""Stand-in for the platform's append-only log service."""

import base64
import collections
import dataclasses
import time
from typing import Any

import gevent
from gevent import event
from returns import result

from dotterelgrade import errors
from dotterelgrade import log_client
from dotterelgrade_standins import web

MAX_PAGE_RECORDS = 1_000
ALWAYS = 1_000_000_000

serving = web.serving


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogFaults:
    """What the log service plays.

    Attributes:
        down: Every call is dropped without an answer.
        delay_s: Delay of each call before it takes effect, s.
        lose_answers_after: How many further appends take effect and lose
            their answer.
        lose_answers_before: How many further appends are dropped without an
            effect.
        keep_records: Records that a stream keeps.
        appends_per_s: Appends per second that the service takes.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers_after: int = 0
    lose_answers_before: int = 0
    keep_records: int = 1_000_000
    appends_per_s: float = 500.0


class _Stream:
    """The kept records of one stream."""

    def __init__(self) -> None:
        self.records: collections.deque[log_client.Record] = collections.deque()
        self.end = 1
        self.appended = event.Event()

    @property
    def first_kept(self) -> int:
        return self.records[0].offset if self.records else self.end

    def append(self, body: bytes) -> int:
        offset = self.end
        self.end += 1
        self.records.append(log_client.Record(offset=offset, body=body))
        appended, self.appended = self.appended, event.Event()
        appended.set()
        return offset

    def trim(self, keep: int) -> None:
        while len(self.records) > keep:
            self.records.popleft()

    def page(self, start: int) -> log_client.Page:
        skip = max(0, start - self.first_kept)
        count = min(len(self.records) - skip, MAX_PAGE_RECORDS)
        return log_client.Page(
            records=tuple(self.records[skip + i] for i in range(count)),
            first_kept=self.first_kept,
            end=self.end,
        )


class LogService(web.JsonApp):
    """Streams of records with offsets; faults are set while it runs."""

    def __init__(self, *, faults: LogFaults | None = None) -> None:
        """Initializes an empty log.

        Args:
            faults: What it plays from the beginning.
        """
        super().__init__()
        self._faults = faults or LogFaults()
        self._streams: dict[str, _Stream] = {}
        self._free_at = 0.0
        self._appends = 0
        self.route("POST", "/streams/([^/]+)", self._handle_append)
        self.route("GET", "/streams/([^/]+)", self._handle_read)
        self.route("GET", "/faults", lambda _: self._show_faults())
        self.route("POST", "/faults", self._handle_faults)

    def __repr__(self) -> str:
        """Shows the streams with their ends."""
        ends = {name: stream.end for name, stream in self._streams.items()}
        return f"<LogService {ends}>"

    @property
    def faults(self) -> LogFaults:
        """What it plays now."""
        return self._faults

    @property
    def appends(self) -> int:
        """How many appends took effect."""
        return self._appends

    def set_faults(self, **changes: Any) -> None:
        """Changes fields of `LogFaults`; the others stay."""
        self._faults = web.apply_changes(self._faults, changes)
        for stream in self._streams.values():
            stream.trim(self._faults.keep_records)

    def records(self, stream: str) -> list[log_client.Record]:
        """Returns the kept records of a stream, whatever the faults."""
        return list(self._stream(stream).records)

    def append(self, stream: str, body: bytes) -> int:
        """Appends a record under the faults.

        Args:
            stream: Name of the stream.
            body: The record.

        Returns:
            The offset of the record.

        Raises:
            web.DropConnectionError: The answer is lost, before or after the
                append took effect.
        """
        self._play()
        if self._use_up("lose_answers_before"):
            raise web.DropConnectionError
        self._wait_for_turn()
        target = self._stream(stream)
        offset = target.append(body)
        target.trim(self._faults.keep_records)
        self._appends += 1
        if self._use_up("lose_answers_after"):
            raise web.DropConnectionError
        return offset

    def read(
        self, stream: str, *, start: int, wait_ms: int = 0
    ) -> log_client.Page | None:
        """Reads records under the faults.

        Args:
            stream: Name of the stream.
            start: First offset wanted.
            wait_ms: How long to wait for a record, ms.

        Returns:
            A page, or None when the offset is no longer kept.

        Raises:
            web.DropConnectionError: The service is down.
        """
        self._play()
        source = self._stream(stream)
        if start < source.first_kept:
            return None
        if start >= source.end and wait_ms:
            source.appended.wait(wait_ms / 1000)
            if self._faults.down:
                raise web.DropConnectionError
        return None if start < source.first_kept else source.page(start)

    def first_kept(self, stream: str) -> int:
        """Returns the first offset that a stream still keeps."""
        return self._stream(stream).first_kept

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _play(self) -> None:
        if self._faults.delay_s:
            gevent.sleep(self._faults.delay_s)
        if self._faults.down:
            raise web.DropConnectionError

    def _use_up(self, name: str) -> bool:
        left = getattr(self._faults, name)
        if left <= 0:
            return False
        self._faults = dataclasses.replace(self._faults, **{name: left - 1})
        return True

    def _wait_for_turn(self) -> None:
        now = time.monotonic()
        turn = max(now, self._free_at)
        self._free_at = turn + 1 / self._faults.appends_per_s
        if turn > now:
            gevent.sleep(turn - now)

    def _handle_append(self, call: web.Call) -> Any:
        return {"offset": self.append(call.groups[0], call.body)}

    def _handle_read(self, call: web.Call) -> Any:
        stream = call.groups[0]
        wait_ms = min(call.number("wait_ms", 0), log_client.MAX_WAIT_MS)
        page = self.read(stream, start=call.number("from", 1), wait_ms=wait_ms)
        if page is None:
            raise web.HttpError(410, {"first_kept": self.first_kept(stream)})
        return {
            "records": [
                {
                    "offset": record.offset,
                    "body": base64.b64encode(record.body).decode(),
                }
                for record in page.records
            ],
            "first_kept": page.first_kept,
            "end": page.end,
        }

    def _handle_faults(self, call: web.Call) -> Any:
        self.set_faults(**call.json())
        return self._show_faults()

    def _show_faults(self) -> Any:
        return dataclasses.asdict(self._faults)


class LocalLog:
    """A `log_client.Log` that calls a log service in the same process."""

    def __init__(self, service: LogService) -> None:
        """Initializes the client.

        Args:
            service: The log service.
        """
        self._service = service

    def append(
        self, stream: str, body: bytes
    ) -> result.Result[int, errors.Error]:
        """Appends a record; see `log_client.Log.append`."""
        try:
            return result.Success(self._service.append(stream, body))
        except web.DropConnectionError:
            return _unavailable()

    def read(
        self, stream: str, *, start: int, wait_ms: int = 0
    ) -> result.Result[log_client.Page, errors.Error]:
        """Reads records from an offset on; see `log_client.Log.read`."""
        try:
            page = self._service.read(stream, start=start, wait_ms=wait_ms)
        except web.DropConnectionError:
            return _unavailable()
        if page is not None:
            return result.Success(page)
        return result.Failure(
            log_client.ExpiredError(
                message=f"offset {start} of {stream} is no longer kept",
                first_kept=self._service.first_kept(stream),
            )
        )


def _unavailable() -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.LOG_UNAVAILABLE,
            message="log service: connection lost",
        )
    )
