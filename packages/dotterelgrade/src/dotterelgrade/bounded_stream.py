"""A log stream that never makes its writer wait."""

import collections
import os

import gevent
from gevent import event
from gevent import os as gevent_os

DEFAULT_CAPACITY_LINES = 4_000
# Lines written shortly after one another share one system call.
_COALESCE_S = 0.05
_LARGEST_WRITE_BYTES = 32_768


class BoundedStream:
    """Keeps lines in bounded memory until the reader takes them.

    A full buffer drops the newest lines and says later how many.
    """

    def __init__(
        self, descriptor: int, *, capacity_lines: int = DEFAULT_CAPACITY_LINES
    ) -> None:
        """Initializes the stream; `run` writes it out.

        Args:
            descriptor: File descriptor, made non-blocking by `run`.
            capacity_lines: Most lines that wait for the reader.
        """
        self._descriptor = descriptor
        self._capacity_lines = capacity_lines
        self._lines: collections.deque[str] = collections.deque()
        self._ready = event.Event()
        self._dropped = 0
        self._dropped_in_all = 0

    def __repr__(self) -> str:
        """Shows how much waits."""
        return f"<BoundedStream {len(self._lines)} lines waiting>"

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the start."""
        return self._dropped_in_all

    def write(self, text: str) -> int:
        """Takes a line, or drops it when the buffer is full.

        Args:
            text: The line, ending in a line break.

        Returns:
            The length of the text, as for a text file.
        """
        if len(self._lines) >= self._capacity_lines:
            self._dropped += 1
            self._dropped_in_all += 1
            return len(text)
        self._lines.append(text)
        self._ready.set()
        return len(text)

    def flush(self) -> None:
        """Does nothing; `run` writes the lines out."""

    def run(self) -> None:
        """Writes lines out until the greenlet is killed."""
        gevent_os.make_nonblocking(self._descriptor)
        while True:
            self._ready.wait()
            gevent.sleep(_COALESCE_S)
            self._ready.clear()
            while data := self._next_block():
                if not self._write_all(data):
                    return

    def drain(self) -> None:
        """Writes out what waits, without waiting for a slow reader."""
        while data := self._next_block():
            try:
                os.write(self._descriptor, data)
            except OSError:
                return

    def _next_block(self) -> bytes:
        taken: list[str] = []
        size = 0
        if self._dropped and len(self._lines) < self._capacity_lines // 2:
            taken.append(
                f'{{"event": "lines dropped", "n": {self._dropped}}}\n'
            )
            self._dropped = 0
        while self._lines and size < _LARGEST_WRITE_BYTES:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        return "".join(taken).encode()

    def _write_all(self, data: bytes) -> bool:
        view = memoryview(data)
        while view:
            try:
                written = gevent_os.nb_write(self._descriptor, view)
            except OSError:
                # The reader is gone; there is nobody left to tell.
                self._capacity_lines = 0
                return False
            view = view[written:]
        return True
