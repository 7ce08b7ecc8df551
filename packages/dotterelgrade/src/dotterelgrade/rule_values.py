"""Parsers for the values of contract rules."""

from collections.abc import Callable
import dataclasses
import functools
import ipaddress
import math
import re
from typing import Any

ANY = "*"
MAX_NAME_LENGTH = 64
MAX_LAYERS = 10_000
MAX_REPLICAS = 10_000
MAX_NUMBER = 1_000_000
_MS_PER_S = 1_000

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,9})?)(ms|s)", re.ASCII)
_RATE = re.compile(r"(\d{1,9}(?:\.\d{1,9})?)/s", re.ASCII)
_DIGEST = re.compile(r"sha256:([0-9a-f]{64})")
_RANGE = re.compile(r"(0|[1-9]\d{0,8})-(0|[1-9]\d{0,8})", re.ASCII)
_WHOLE = re.compile(r"0|[1-9]\d{0,8}", re.ASCII)
_DECIMAL = re.compile(r"\d{1,9}(?:\.\d{1,9})?", re.ASCII)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reader:
    """Parses the text of one value.

    Attributes:
        expected: Description of the accepted text, for error messages.
        read: Returns the parsed value, or raises ValueError.
    """

    expected: str
    read: Callable[[str], Any]


def _reader(expected: str) -> Callable[[Callable[[str], Any]], Reader]:
    def decorate(read: Callable[[str], Any]) -> Reader:
        return Reader(expected=expected, read=read)

    return decorate


def _match(pattern: re.Pattern[str], text: str) -> re.Match[str]:
    match = pattern.fullmatch(text)
    if match is None:
        raise ValueError(text)
    return match


def _positive(number: float) -> float:
    if not 0 < number <= MAX_NUMBER or not math.isfinite(number):
        raise ValueError(number)
    return number


@_reader("a name of letters, digits, dots, dashes and underscores")
def name(text: str) -> str:
    """A name of at most `MAX_NAME_LENGTH` characters."""
    if len(text) > MAX_NAME_LENGTH:
        raise ValueError(text)
    return _match(_NAME, text)[0]


@_reader("a name, or * for all")
def name_or_any(text: str) -> str:
    """A name, or the wildcard."""
    return text if text == ANY else name.read(text)


@_reader("names separated by commas, each once")
def names(text: str) -> tuple[str, ...]:
    """A list of distinct names."""
    items = tuple(name.read(item) for item in text.split(","))
    if len(set(items)) != len(items):
        raise ValueError(text)
    return items


@_reader("a duration such as 340ms or 1.5s")
def duration(text: str) -> float:
    """A positive duration, in seconds."""
    number, unit = _match(_DURATION, text).groups()
    scale = _MS_PER_S if unit == "ms" else 1
    return _positive(float(number) / scale)


@_reader("a rate such as 40/s")
def rate(text: str) -> float:
    """A positive rate, per second."""
    return _positive(float(_match(_RATE, text)[1]))


@_reader("sha256: and 64 lower-case hexadecimal digits")
def digest(text: str) -> str:
    """The hexadecimal digits of a SHA-256 digest."""
    return _match(_DIGEST, text)[1]


@_reader("a range of layers such as 0-11")
def layer_range(text: str) -> tuple[int, int]:
    """First and last layer, inclusive."""
    first, last = (int(part) for part in _match(_RANGE, text).groups())
    if not first <= last < MAX_LAYERS:
        raise ValueError(text)
    return first, last


@_reader("a positive number such as 4 or 0.5")
def decimal(text: str) -> float:
    """A positive number."""
    return _positive(float(_match(_DECIMAL, text)[0]))


@functools.cache
def whole_number(lowest: int, highest: int) -> Reader:
    """Returns a reader of whole numbers within inclusive limits."""

    @_reader(f"a whole number from {lowest} to {highest}")
    def read(text: str) -> int:
        number = int(_match(_WHOLE, text)[0])
        if not lowest <= number <= highest:
            raise ValueError(text)
        return number

    return read


@functools.cache
def one_of(*words: str) -> Reader:
    """Returns a reader that accepts only the given words."""

    @_reader(" or ".join(words))
    def read(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return read


@_reader("an IP number")
def ip_number(text: str) -> str:
    """An IP address in canonical form."""
    if str(ipaddress.ip_address(text)) != text:
        raise ValueError(text)
    return text
