"""Stand-in for the platform's list of hosts, which lags."""

from collections.abc import Iterable
import dataclasses
import time
from typing import Any

import msgspec

from dotterelgrade import host_list
from dotterelgrade_standins import web

serving = web.serving

_Key = tuple[str, str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostsFaults:
    """What the host list plays.

    Attributes:
        down: Every call is dropped without an answer.
        lag_s: Time until a change shows, s.
    """

    down: bool = False
    lag_s: float = 0.0


class HostsService(web.JsonApp):
    """Hosts by address and role; a change shows after the lag."""

    def __init__(
        self,
        entries: Iterable[host_list.HostEntry] = (),
        *,
        faults: HostsFaults | None = None,
    ) -> None:
        """Initializes the list.

        Args:
            entries: Hosts that show from the beginning.
            faults: What it plays from the beginning.
        """
        super().__init__()
        self._faults = faults or HostsFaults()
        self._shown = {_key(entry): entry for entry in entries}
        self._pending: list[tuple[float, _Key, host_list.HostEntry | None]] = []
        self.route("GET", "/hosts", lambda _: self._handle_read())
        self.route("POST", "/hosts", self._handle_put)
        self.route("DELETE", "/hosts/([^/]+)", self._handle_remove)
        self.route("POST", "/faults", self._handle_faults)

    def __repr__(self) -> str:
        """Shows how many hosts are listed."""
        return f"<HostsService {len(self._shown)} hosts>"

    def set_faults(self, **changes: Any) -> None:
        """Changes fields of `HostsFaults`; the others stay."""
        self._faults = web.apply_changes(self._faults, changes)

    def put(self, entry: host_list.HostEntry) -> None:
        """Adds or replaces a host after the lag."""
        self._change(_key(entry), entry)

    def remove(self, host: str) -> None:
        """Removes every entry of a host after the lag."""
        keys = set(self._shown) | {key for _, key, _ in self._pending}
        for key in keys:
            if key[0] == host:
                self._change(key, None)

    def mark_leaving(self, host: str) -> None:
        """Shows every entry of a host as leaving after the lag."""
        for key, entry in list(self._shown.items()):
            if key[0] == host:
                leaving = dataclasses.replace(entry, state="leaving")
                self._change(key, leaving)

    def entries(self) -> tuple[host_list.HostEntry, ...]:
        """Returns what the list shows now."""
        now = time.monotonic()
        due = [item for item in self._pending if item[0] <= now]
        self._pending = [item for item in self._pending if item[0] > now]
        for _, key, entry in due:
            if entry is None:
                self._shown.pop(key, None)
            else:
                self._shown[key] = entry
        return tuple(self._shown.values())

    def _change(self, key: _Key, entry: host_list.HostEntry | None) -> None:
        due_at = time.monotonic() + self._faults.lag_s
        self._pending.append((due_at, key, entry))
        self.entries()

    def _handle_read(self) -> Any:
        if self._faults.down:
            raise web.DropConnectionError
        return {"hosts": [dataclasses.asdict(e) for e in self.entries()]}

    def _handle_put(self, call: web.Call) -> Any:
        try:
            entry = msgspec.convert(call.json(), host_list.HostEntry)
        except msgspec.ValidationError as error:
            raise web.HttpError(400, {"error": str(error)}) from error
        self.put(entry)
        return {}

    def _handle_remove(self, call: web.Call) -> Any:
        self.remove(call.groups[0])
        return {}

    def _handle_faults(self, call: web.Call) -> Any:
        self.set_faults(**call.json())
        return dataclasses.asdict(self._faults)


def _key(entry: host_list.HostEntry) -> _Key:
    return entry.host, str(entry.role), entry.peer_port
