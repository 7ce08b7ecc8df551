"""The fields of a request's head, in the form that `gevent.pywsgi` takes.

The standard library's parser takes 100 fields of 64 KiB and costs much for
each; this one takes as many as fit into a head and keeps only those wanted.
"""

from collections.abc import Collection, Iterator
import re

_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


class HeadFields:
    """Fields by name, in order; names are compared without case."""

    status = ""

    def __init__(self, fields: list[tuple[str, str]]) -> None:
        """Initializes it; see `parse`.

        Args:
            fields: Names and values.
        """
        self._fields = fields

    def __repr__(self) -> str:
        """Shows how many fields there are."""
        return f"<HeadFields {len(self._fields)}>"

    def __len__(self) -> int:
        """Number of fields."""
        return len(self._fields)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns the first value of a field, or the default."""
        name = name.lower()
        for known, value in self._fields:
            if known.lower() == name:
                return value
        return default

    getheader = get

    def __delitem__(self, name: str) -> None:
        """Removes every field of a name."""
        name = name.lower()
        self._fields = [
            field for field in self._fields if field[0].lower() != name
        ]

    @property
    def typeheader(self) -> str | None:
        """The media type of the body."""
        return self.get("content-type")

    @property
    def headers(self) -> Iterator[str]:
        """The fields as lines."""
        return (f"{name}: {value}\r\n" for name, value in self._fields)


def parse(lines: bytes, *, wanted: Collection[str] | None = None) -> HeadFields:
    """Parses the lines between the request line and the empty line.

    Args:
        lines: The lines with their ends.
        wanted: Lower-case names of the fields to keep; None for all.

    Returns:
        The fields.

    Raises:
        ValueError: A line is not a field, or the end of the body is not
            clear.
    """
    fields = []
    lengths = set()
    codings = []
    for line in lines.decode("latin-1").split("\n"):
        name, colon, value = line.rstrip("\r").partition(":")
        if not name and not colon:
            continue
        if not colon or not _NAME.fullmatch(name):
            raise ValueError(f"not a header field: {line[:40]!r}")
        lowered = name.lower()
        if lowered == "content-length":
            lengths.add(value.strip())
        elif lowered == "transfer-encoding":
            codings.append(value.strip().lower())
        if wanted is None or lowered in wanted:
            fields.append((name, value.strip()))
    if len(lengths) > 1:
        raise ValueError("several values of Content-Length")
    if codings and (codings != ["chunked"] or lengths):
        # Servers that disagree on the end of a body take it for a request.
        raise ValueError("Transfer-Encoding other than chunked, or a length")
    return HeadFields(fields)
