"""The operators' commands that look at running processes."""

import json
import re
import time
from typing import Any, ClassVar
import urllib.parse

from cleo import exceptions
from cleo import helpers
from returns import result

from dotterelgrade import console
from dotterelgrade import errors
from dotterelgrade_entry import admin_client

_ADDRESS = helpers.argument(
    "address", f"HOST or HOST:PORT, port {admin_client.DEFAULT_PORT} if none."
)
_PREFIX = re.compile(r"^(chat)?cmpl-")
_COLUMNS = ("role", "host", "failure_domain", "state", "contract_offset")


class _FleetCommand(console.OperatorCommand):
    """A command that reads one admin address."""

    arguments: ClassVar[list[Any]] = [_ADDRESS]

    def _fetch(self, path: str) -> result.Result[Any, errors.Error]:
        try:
            host, port = admin_client.parse_address(self.argument("address"))
        except ValueError as error:
            raise exceptions.CleoUserError(str(error)) from error
        return admin_client.fetch(host, port, path)


class DumpCommand(_FleetCommand):
    """Prints the whole state of a process."""

    name = "dump"
    description = "Print the whole state of a process."

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Reads the state dump."""
        return self._fetch("/state").map(
            lambda state: console.CommandResult(
                text=json.dumps(state, indent=2), data=state
            )
        )


class ExplainCommand(_FleetCommand):
    """Prints the decisions about one request."""

    name = "explain"
    description = "Print every decision of a process about one request."
    arguments: ClassVar[list[Any]] = [
        _ADDRESS,
        helpers.argument("request_id", "Identifier of the request."),
    ]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Reads the decisions from the journal of the process."""
        # Callers of the model see the identifier behind a prefix.
        plain = _PREFIX.sub("", self.argument("request_id"))
        request_id = urllib.parse.quote(plain, safe="")
        return self._fetch(f"/explain/{request_id}").map(_explain)


def _explain(entries: list[dict[str, Any]]) -> console.CommandResult:
    rows = [
        [
            _clock(entry["time_s"]),
            entry["decision"],
            entry["reason"],
            " ".join(f"{k}={v}" for k, v in entry["details"].items()),
        ]
        for entry in entries
    ]
    return console.CommandResult(
        text=console.table(["TIME", "DECISION", "REASON", "DETAILS"], rows),
        data={"decisions": entries},
    )


def _clock(time_s: float) -> str:
    whole = time.strftime("%H:%M:%S", time.gmtime(time_s))
    return f"{whole}.{int(time_s * 1000) % 1000:03d}"


class FleetCommand(_FleetCommand):
    """Prints every process that an entry knows."""

    name = "fleet"
    description = "Print one row for every process that an entry knows."

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Reads the entry's view of the fleet."""
        return self._fetch("/fleet").map(_fleet)


def _fleet(value: dict[str, Any]) -> console.CommandResult:
    processes = value.get("processes", [])
    rows = [
        [*[item.get(name, "") for name in _COLUMNS], _load(item)]
        for item in processes
    ]
    headers = [name.upper() for name in (*_COLUMNS, "load")]
    return console.CommandResult(text=console.table(headers, rows), data=value)


def _load(item: dict[str, Any]) -> str:
    load = item.get("load") or {}
    words = [f"in_flight={load.get('in_flight', '?')}"]
    for backend in load.get("backends", ()):
        what = backend.get("model") or backend.get("service") or "idle"
        slots = f"{backend.get('sequences')}+{backend.get('slots_free')}"
        words.append(f"{backend.get('backend')}:{what}={slots}")
    return " ".join(words)
