"""Emulated links between failure domains: delay, jitter, cuts."""

from collections.abc import Iterable
import dataclasses
import random

from dotterelgrade import connection_frames

ANY = "*"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkSettings:
    """One direction-less link between two failure domains.

    Attributes:
        between: The two failure domains, `*` for any.
        delay_ms: One-way delay of a write, ms.
        jitter_ms: Further delay, drawn evenly from 0 to this, ms.
        bytes_per_s: Bandwidth that each connection has; 0 for no limit.
        cut: Whether connections over the link are dropped.
    """

    between: tuple[str, str]
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0
    cut: bool = False


class Links:
    """The links of a deployment, shared by the shapers of one process."""

    def __init__(self, links: Iterable[LinkSettings] = ()) -> None:
        """Initializes the links.

        Args:
            links: The links; the first one that matches counts.
        """
        self._links = list(links)

    def __repr__(self) -> str:
        """Shows the number of links."""
        return f"<Links {len(self._links)}>"

    def replace(self, links: Iterable[LinkSettings]) -> None:
        """Replaces every link."""
        self._links = list(links)

    def put(self, link: LinkSettings) -> None:
        """Puts a link before all others."""
        others = [old for old in self._links if old.between != link.between]
        self._links = [link, *others]

    def find(self, one: str, other: str) -> LinkSettings | None:
        """Returns the link of two failure domains, None for a plain one."""
        for link in self._links:
            if _matches(link.between, one, other):
                return link
        return None


class LinkShaper:
    """A `wire.Shaper` for the links that leave one failure domain.

    A connection's writer sleeps for the delay, so writes that become due in
    the meantime leave together after it, and order is kept.
    """

    def __init__(
        self, failure_domain: str, links: Links | None = None, *, seed: int = 0
    ) -> None:
        """Initializes the shaper of a process.

        Args:
            failure_domain: Failure domain of the process.
            links: The links, which may change later.
            seed: Seed of the jitter.
        """
        self._failure_domain = failure_domain
        self._links = links or Links()
        self._random = random.Random(seed)

    def __repr__(self) -> str:
        """Shows the failure domain and the links."""
        return f"<LinkShaper {self._failure_domain} {self._links}>"

    @property
    def links(self) -> Links:
        """The links."""
        return self._links

    def delay_s(self, peer: connection_frames.Hello, size: int) -> float | None:
        """Returns the delay of a write, s, or None to drop the link."""
        link = self._links.find(self._failure_domain, peer.failure_domain)
        if link is None:
            return 0.0
        if link.cut:
            return None
        delay_ms = link.delay_ms + self._random.uniform(0, link.jitter_ms)
        transfer_s = size / link.bytes_per_s if link.bytes_per_s else 0.0
        return delay_ms / 1000 + transfer_s


def _matches(between: tuple[str, str], one: str, other: str) -> bool:
    first, second = between
    return (_fits(first, one) and _fits(second, other)) or (
        _fits(first, other) and _fits(second, one)
    )


def _fits(pattern: str, failure_domain: str) -> bool:
    return pattern in (ANY, failure_domain)
