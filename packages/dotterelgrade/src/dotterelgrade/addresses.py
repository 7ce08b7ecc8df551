"""Network addresses of processes, as text from outside states them."""

import dataclasses
import re
import socket

_FORMAT = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})", re.ASCII)
_MAX_PORT = 65_535
# Hosts in 0.0.0.0/8 mean this host; those from here on are groups or reserved.
_FIRST_GROUP_OCTET = 224


@dataclasses.dataclass(frozen=True)
class Address:
    """An address at which one process listens.

    Attributes:
        host: IPv4 number.
        port: TCP port, 1 to 65,535.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `IP:PORT`."""
        return f"{self.host}:{self.port}"


def validate(text: str) -> str:
    """Returns a text that is `IP:PORT`.

    Args:
        text: The address; no names, spaces or further characters.

    Raises:
        ValueError: The text is no such address, or that of no single host.
    """
    match = _FORMAT.fullmatch(text)
    if match is None or int(match[2]) > _MAX_PORT:
        raise _invalid(text)
    try:
        packed = socket.inet_pton(socket.AF_INET, match[1])
    except OSError as error:
        raise _invalid(text) from error
    if not 0 < packed[0] < _FIRST_GROUP_OCTET:
        raise _invalid(text)
    return text


def parse(text: str) -> Address:
    """Parses `IP:PORT`; see `validate`."""
    host, _, port = validate(text).partition(":")
    return Address(host, int(port))


def _invalid(text: str) -> ValueError:
    return ValueError(f"expected IP:PORT, got {text[:80]!r}")
