"""A log stream whose writes never block."""

import collections
import os

import gevent
from gevent import event
from gevent import os as gevent_os

DEFAULT_CAPACITY_LINES = 4_000
# Lines written within this time share one system call.
_COALESCE_S = 0.05
_MAX_WRITE_BYTES = 32_768


class BoundedStream:
    """Buffers lines in bounded memory until the reader takes them.

    A full buffer drops new lines and later writes a line with their number.
    """

    def __init__(
        self, descriptor: int, *, capacity_lines: int = DEFAULT_CAPACITY_LINES
    ) -> None:
        """Initializes the stream; `run` writes the lines.

        Args:
            descriptor: File descriptor, made non-blocking by `run`.
            capacity_lines: Maximum number of buffered lines.
        """
        self._descriptor = descriptor
        self._capacity_lines = capacity_lines
        self._lines: collections.deque[str] = collections.deque()
        self._lines_waiting = event.Event()
        self._unreported_drops = 0
        self._dropped_total = 0

    def __repr__(self) -> str:
        """Shows the number of buffered lines."""
        return f"<BoundedStream {len(self._lines)} lines waiting>"

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._dropped_total

    def write(self, text: str) -> int:
        """Buffers a line, or drops it when the buffer is full.

        Args:
            text: The line, ending in a line break.

        Returns:
            The length of the text, as for a text file.
        """
        if len(self._lines) >= self._capacity_lines:
            self._unreported_drops += 1
            self._dropped_total += 1
            return len(text)
        self._lines.append(text)
        self._lines_waiting.set()
        return len(text)

    def flush(self) -> None:
        """Does nothing; `run` writes the lines."""

    def run(self) -> None:
        """Writes lines until the greenlet is killed or the reader is gone."""
        gevent_os.make_nonblocking(self._descriptor)
        while True:
            self._lines_waiting.wait()
            gevent.sleep(_COALESCE_S)
            self._lines_waiting.clear()
            while data := self._next_block():
                if not self._write_all(data):
                    return

    def write_pending(self) -> None:
        """Writes the buffered lines without waiting for a slow reader."""
        while data := self._next_block():
            try:
                os.write(self._descriptor, data)
            except OSError:
                return

    def _next_block(self) -> bytes:
        block: list[str] = []
        size_chars = 0
        if (
            self._unreported_drops
            and len(self._lines) < self._capacity_lines // 2
        ):
            block.append(
                f'{{"event": "lines dropped", "n": {self._unreported_drops}}}\n'
            )
            self._unreported_drops = 0
        while self._lines and size_chars < _MAX_WRITE_BYTES:
            line = self._lines.popleft()
            block.append(line)
            size_chars += len(line)
        return "".join(block).encode()

    def _write_all(self, data: bytes) -> bool:
        view = memoryview(data)
        while view:
            try:
                written = gevent_os.nb_write(self._descriptor, view)
            except OSError:
                # The reader closed its end: drop every later line.
                self._capacity_lines = 0
                return False
            view = view[written:]
        return True
