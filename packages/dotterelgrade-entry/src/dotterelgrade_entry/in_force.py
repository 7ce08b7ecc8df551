"""Where a contract offset is in force, asked from the entries."""

from collections.abc import Iterable
import dataclasses
import time
from typing import Any

import gevent
from gevent import pool
import msgspec
from returns import pipeline
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import host_list
from dotterelgrade_entry import admin_client

WAIT_S = 15.0
_PAUSE_S = 0.2
_PARALLEL = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessView:
    """A process as an entry shows it on `GET /fleet`.

    Attributes:
        process: Identifier of the incarnation.
        role: Role of the process.
        host: IP number.
        state: Its life cycle.
        contract_offset: Offset up to which it has the contract in force.
    """

    process: str
    role: str
    host: str
    state: str
    contract_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """How far an offset has come.

    Attributes:
        offset: The offset asked for.
        reached: Slots that have it in force, as "role host".
        missing: Slots that do not, or that no entry knows of.
    """

    offset: int
    reached: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def is_everywhere(self) -> bool:
        """Whether it is in force at every listed slot."""
        return not self.missing

    def __str__(self) -> str:
        """Returns the count and what is missing, for a person."""
        total = len(self.reached) + len(self.missing)
        text = f"in force at {len(self.reached)} of {total}"
        if self.missing:
            text += "; not yet: " + ", ".join(self.missing)
        return text


def processes_of(value: Any) -> tuple[ProcessView, ...]:
    """Checks an entry's answer to `GET /fleet`.

    Args:
        value: The decoded JSON.

    Returns:
        The processes; none for anything else.
    """
    try:
        return tuple(
            msgspec.convert(item, ProcessView) for item in value["processes"]
        )
    except (KeyError, TypeError, msgspec.ValidationError):
        return ()


def ask(hosts: Iterable[host_list.HostEntry]) -> tuple[ProcessView, ...]:
    """Asks every listed entry for the processes that it knows.

    Args:
        hosts: The host list.
    """
    entries = [h for h in hosts if h.role is connection_frames.Role.ENTRY]
    answers = pool.Pool(_PARALLEL).map(
        lambda h: admin_client.fetch(h.host, h.admin_port, "/fleet"), entries
    )
    return tuple(
        process
        for answer in answers
        if pipeline.is_successful(answer)
        for process in processes_of(answer.unwrap())
    )


def spread(
    hosts: Iterable[host_list.HostEntry],
    processes: Iterable[ProcessView],
    *,
    offset: int,
) -> Spread:
    """Compares what the entries know with the host list.

    Args:
        hosts: The host list; leaving hosts are not counted.
        processes: What the entries know.
        offset: The offset asked for.
    """
    highest: dict[str, int] = {}
    for process in processes:
        slot = f"{process.role} {process.host}"
        highest[slot] = max(highest.get(slot, 0), process.contract_offset)
    slots = sorted(f"{h.role} {h.host}" for h in hosts if not h.is_leaving)
    return Spread(
        offset=offset,
        reached=tuple(s for s in slots if highest.get(s, -1) >= offset),
        missing=tuple(s for s in slots if highest.get(s, -1) < offset),
    )


def wait(
    hosts: host_list.HostListClient, *, offset: int, timeout_s: float = WAIT_S
) -> result.Result[Spread, errors.Error]:
    """Waits until an offset is in force at every listed slot.

    Args:
        hosts: Client of the host list.
        offset: The offset.
        timeout_s: How long to wait, s.

    Returns:
        How far it has come at the end, or PEER_UNREACHABLE without a list.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        listed = hosts.read()
        if pipeline.is_successful(listed):
            entries = listed.unwrap()
            now = spread(entries, ask(entries), offset=offset)
            if now.is_everywhere or time.monotonic() >= deadline:
                return result.Success(now)
        elif time.monotonic() >= deadline:
            return result.Failure(listed.failure())
        gevent.sleep(_PAUSE_S)
