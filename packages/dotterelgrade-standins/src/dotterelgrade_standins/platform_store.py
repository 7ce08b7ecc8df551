"""A stand-in of the platform's metadata store, in memory.

Uses the wire formats of `dotterelgrade_platform.store_server_codec`.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import time

import gevent
from gevent import event

from dotterelgrade_platform import store as store_names
from dotterelgrade_platform import store_server_codec
from dotterelgrade_routing import platform_port
from dotterelgrade_standins import web

_POLL_S = 0.02
_LONGEST_SILENCE_S = 30.0
_GONE = 410
_OTHER_END = 412
_UNAVAILABLE = 503


class Outage(enum.Enum):
    """How the store is away."""

    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"


@dataclasses.dataclass(kw_only=True)
class _Topic:
    records: list[platform_port.Record] = dataclasses.field(
        default_factory=list
    )
    first: int = 0
    news: event.Event = dataclasses.field(default_factory=event.Event)

    @property
    def end(self) -> int:
        return len(self.records)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """What the store held at one moment.

    Attributes:
        topics: Records and the first kept offset by topic.
    """

    topics: dict[str, tuple[tuple[platform_port.Record, ...], int]]


class PlatformStore:
    """Topics with the newest record of each key."""

    def __init__(self) -> None:
        """Initializes an empty store that works."""
        self._topics: dict[str, _Topic] = {}
        self.outage: Outage | None = None
        self.delay_s = 0.0
        self.loses_answers = False
        self._era = 1

    def __repr__(self) -> str:
        """Shows the topics."""
        return f"<PlatformStore {sorted(self._topics)}>"

    def write(self, topic: str, key: str, value: bytes) -> bool:
        """Writes a record, as operators and backend servers do.

        Returns:
            Whether it was acknowledged.
        """
        if self.outage is not None:
            return False
        found = self._topic(topic)
        found.records.append(
            platform_port.Record(key=key, value=value, offset=found.end)
        )
        found.news.set()
        found.news.clear()
        return True

    def forget_history(self) -> None:
        """Deletes all records but the newest of each key."""
        for topic in self._topics.values():
            topic.first = topic.end

    def copy(self) -> Copy:
        """Returns what is stored now."""
        return Copy(
            topics={
                name: (tuple(topic.records), topic.first)
                for name, topic in self._topics.items()
            }
        )

    def restore(self, copy: Copy) -> None:
        """Comes back from a copy; what was written since is gone."""
        self._era += 1
        for name, topic in self._topics.items():
            records, topic.first = copy.topics.get(name, ((), 0))
            topic.records = list(records)
            topic.news.set()
            topic.news.clear()

    @contextlib.contextmanager
    def serving(self, host: str) -> Iterator[tuple[str, int]]:
        """Serves the store for the body of the context.

        Args:
            host: IP number to listen on.

        Yields:
            Host and port.
        """
        app = web.JsonApp(
            headers=lambda: store_server_codec.era_headers(self._era)
        )
        app.route("GET", store_names.READ_PATH, self._faulty(self._read))
        app.route("GET", store_names.NEWEST_PATH, self._faulty(self._newest))
        app.route("POST", store_names.APPEND_PATH, self._faulty(self._append))
        with web.serving(app, host=host, port=0) as server:
            yield host, server.server_port

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _faulty(self, handler: web.Handler) -> web.Handler:
        def handle(call: web.Call) -> object:
            self._fail_if_away()
            gevent.sleep(self.delay_s)
            answer = handler(call)
            self._fail_if_away()
            if self.loses_answers:
                raise web.DropConnectionError
            return answer

        return handle

    def _fail_if_away(self) -> None:
        if self.outage is Outage.BUSY:
            raise web.HttpError(_UNAVAILABLE, {})
        if self.outage is Outage.RESET:
            raise web.DropConnectionError
        if self.outage is Outage.SILENT:
            gevent.sleep(_LONGEST_SILENCE_S)
            raise web.DropConnectionError

    def _read(self, call: web.Call) -> bytes:
        query = store_server_codec.read_query(call.query)
        topic = self._topic(query.topic)
        if not topic.first <= query.start <= topic.end:
            raise web.HttpError(_GONE, {})
        until = time.monotonic() + query.wait_s
        era = self._era
        while topic.end <= query.start and time.monotonic() < until:
            topic.news.wait(_POLL_S)
            self._fail_if_away()
            if self._era != era:
                raise web.DropConnectionError
        return store_server_codec.records_body(
            topic.records[query.start :], end=topic.end, first=topic.first
        )

    def _newest(self, call: web.Call) -> bytes:
        topic = self._topic(store_server_codec.read_query(call.query).topic)
        newest = {record.key: record for record in topic.records}
        kept = [record for record in newest.values() if record.value]
        return store_server_codec.newest_body(kept, end=topic.end)

    def _append(self, call: web.Call) -> bytes:
        append = store_server_codec.read_append(call.query, call.body)
        topic = self._topic(append.topic)
        offset = topic.end
        if append.at is not None and append.at != offset:
            raise web.HttpError(_OTHER_END, {})
        for record in append.records:
            self.write(append.topic, record.key, record.value)
        return store_server_codec.appended_body(offset=offset, end=topic.end)
