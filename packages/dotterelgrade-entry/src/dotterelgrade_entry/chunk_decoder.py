"""Decodes a body in chunks, in pieces as they arrive."""

import re

# A size of 16 digits is beyond every limit; the rest may be an extension.
_MAX_LINE_BYTES = 256
_MAX_TRAILER_BYTES = 16_384
_SIZE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;.*)?")


class ChunkDecoder:
    """The state between two pieces of one body."""

    def __init__(self) -> None:
        """Initializes it at the beginning of a body."""
        self._rest = b""
        self._left = 0
        self._is_after_chunk = False
        self._is_trailer = False
        self._trailer_bytes = 0
        self._is_complete = False

    def __repr__(self) -> str:
        """Shows whether the body has ended."""
        return f"<ChunkDecoder {'complete' if self._is_complete else 'open'}>"

    @property
    def is_complete(self) -> bool:
        """Whether the body has ended; nothing behind it was decoded."""
        return self._is_complete

    def feed(self, data: bytes) -> bytes:
        """Decodes the next bytes.

        Args:
            data: Bytes as they arrived.

        Returns:
            The content in them.

        Raises:
            ValueError: They are not of a body in chunks.
        """
        data = self._rest + data
        content = []
        at = 0
        while at < len(data) and not self._is_complete:
            if self._left:
                part = data[at : at + self._left]
                content.append(part)
                at += len(part)
                self._left -= len(part)
                continue
            end = data.find(b"\n", at)
            if end < 0:
                break
            self._take_line(data[at:end].removesuffix(b"\r"))
            at = end + 1
        self._rest = data[at:]
        if not self._is_complete and len(self._rest) > _MAX_LINE_BYTES:
            raise ValueError("line of a chunk is too long")
        return b"".join(content)

    @property
    def rest(self) -> bytes:
        """Bytes that are not decoded yet, or are behind the body."""
        return self._rest

    def _take_line(self, line: bytes) -> None:
        if self._is_trailer:
            self._trailer_bytes += len(line) + 2
            if self._trailer_bytes > _MAX_TRAILER_BYTES:
                raise ValueError("trailer is too long")
            self._is_complete = not line
        elif self._is_after_chunk:
            if line:
                raise ValueError("chunk does not end where it should")
            self._is_after_chunk = False
        else:
            self._begin_chunk(line)

    def _begin_chunk(self, line: bytes) -> None:
        found = _SIZE.fullmatch(line)
        if not found:
            raise ValueError("expected the size of a chunk")
        self._left = int(found[1], 16)
        self._is_trailer = not self._left
        self._is_after_chunk = bool(self._left)
