"""Fakes of the platform port of a front."""

import gevent
from gevent import event
from returns import result

from dotterelgrade import errors
from dotterelgrade import http_message
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import request_metadata


class FakeHeaders:
    """Parses and formats headers under short names of its own."""

    def read_request(self, headers):
        found = http_message.by_name(headers)
        patience = found.get(b"patience-ms")
        return request_metadata.RequestMetadata(
            request_id=found.get(b"request-id", b"").decode(),
            caller_timeout_s=None if patience is None else int(patience) / 1000,
            api_key=found.get(b"key", b"").decode(),
            prompt_tokens=10,
            max_answer_tokens=10,
            expected_answer_tokens=None,
            last_event_id=found.get(b"after", b"").decode(),
            prompt_segments=tuple(
                filter(None, found.get(b"segments", b"").decode().split(","))
            ),
        )

    def write_request(self, headers, orders):
        kept = [(n, v) for n, v in headers if n not in (b"key", b"after")]
        chain = ",".join(f"{s.server_id}={s.layers!r}" for s in orders.stages)
        kept += [
            (b"left-ms", str(int(orders.time_left_s * 1000)).encode()),
            (b"instance", orders.instance_id.encode()),
            (b"workspace", orders.workspace.encode()),
            (b"chain", chain.encode()),
            (b"after", orders.resume_after.encode()),
            (b"priority", str(orders.priority).encode()),
        ]
        return kept

    def read_answer(self, *, status, headers):
        found = http_message.by_name(headers)
        return request_metadata.ResponseMetadata(
            request_id=found.get(b"request-id", b"").decode(),
            sealed=b"seal" in found,
            not_run=b"not-run" in found,
            misdirected=status == 421,
            faulty_address=found.get(b"culprit", b"").decode(),
            leaving=b"leaving" in found,
            retry_after=found.get(b"retry-after", b"").decode(),
        )


class FakeEngines:
    """Returns reports from a table and records the orders."""

    def __init__(self):
        self.reports = {}
        self.place_orders = []
        self.ordered_ids = []
        self.reroute_orders = []
        self.rejecting_addresses = set()
        self.down = set()
        self.unresponsive_addresses = set()
        self.outcome = platform_port.OrderOutcome.ACCEPTED

    def report(self, address):
        if address in self.down:
            raise platform_port.EngineDownError(address)
        if address in self.unresponsive_addresses:
            gevent.sleep(0.5)
            raise platform_port.EngineUnreachableError(address)
        if address not in self.reports:
            raise platform_port.EngineUnreachableError(address)
        return self.reports[address]

    def place(self, address, *, server_id, layers, orders):
        self.place_orders.append((address, layers, orders))
        self.ordered_ids.append(server_id)
        return self.outcome

    def reroute(self, address, *, request_id, stages):
        self.reroute_orders.append((address, request_id, stages))
        culprit = next(
            (
                s.address
                for s in stages
                if s.address in self.rejecting_addresses
            ),
            "",
        )
        if culprit:
            return platform_port.RerouteAnswer(
                outcome=platform_port.OrderOutcome.CONFLICT,
                faulty_address=culprit,
            )
        return platform_port.RerouteAnswer(outcome=self.outcome)


class FakeFeed:
    """Records that a test adds; fails while `down`."""

    def __init__(self):
        self.records = []
        self.era = 0
        self.down = False
        self.first = 0
        self.reads = 0
        self._changed = event.Event()

    def add(self, key, value):
        self.records.append(
            platform_port.Record(key=key, value=value, offset=len(self.records))
        )
        self._changed.set()
        self._changed.clear()

    def restore(self, *, end):
        """Restores a backup that holds the records before an offset."""
        del self.records[end:]
        self.era += 1
        self._changed.set()
        self._changed.clear()

    def newest(self, *, after=""):
        self._answer()
        newest = {record.key: record for record in self.records}
        return platform_port.Page(
            records=tuple(
                r for r in newest.values() if r.value and r.key > after
            ),
            end=len(self.records),
            era=self.era,
        )

    def read(self, *, start, wait_s, answer_timeout_s):
        del answer_timeout_s
        self._answer()
        if start < self.first:
            raise platform_port.RecordsExpiredError("gone")
        if start >= len(self.records):
            self._changed.wait(min(wait_s, 0.05))
            self._answer()
        if start > len(self.records):
            raise platform_port.RecordsExpiredError("beyond the end")
        return platform_port.Page(
            records=tuple(self.records[start:]),
            end=len(self.records),
            era=self.era,
        )

    def _answer(self):
        self.reads += 1
        if self.down:
            raise platform_port.StoreError("down")


class FakeCopies:
    """A value that a test sets; fails while `down`."""

    def __init__(self):
        self.body = b""
        self.writes = 0
        self.down = False

    def read(self):
        self._answer()
        return self.body

    def write(self, body):
        self._answer()
        self.body = body
        self.writes += 1

    def _answer(self):
        if self.down:
            raise platform_port.StoreError("down")


class FakeValues:
    """Values by their keys; fails while `down`."""

    def __init__(self):
        self.records = {}
        self.end = 0
        self.era = 0
        self.reads = 0
        self.writes = 0
        self.down = False

    @property
    def keys(self):
        return list(self.records)

    def put(self, key, value):
        """Writes a value, as another front does."""
        self.records.pop(key, None)
        if value:
            self.records[key] = platform_port.Record(
                key=key, value=value, offset=self.end
            )
        self.end += 1

    def read(self):
        self._answer()
        self.reads += 1
        return platform_port.Page(
            records=tuple(self.records.values()), end=self.end, era=self.era
        )

    def write_if_unchanged(self, values, *, since):
        self._answer()
        if since.end != self.end:
            return False
        self.writes += 1
        for key, value in values.items():
            self.put(key, value)
        return True

    def _answer(self):
        if self.down:
            raise platform_port.StoreError("down")


class FakeElection:
    """Grants a claim of the term that follows the current one."""

    def __init__(self):
        self.term = platform_port.Term(number=0, planner="")
        self.claims = []
        self.down = False

    @property
    def winner(self):
        return self.term.planner

    @winner.setter
    def winner(self, member):
        self.term = platform_port.Term(
            number=self.term.number + 1, planner=member
        )

    def _answer(self):
        if self.down:
            raise platform_port.StoreError("down")

    def current(self):
        self._answer()
        return self.term

    def claim(self, member, *, after):
        self._answer()
        self.claims.append(member)
        if after.number != self.term.number:
            return None
        self.winner = member
        return self.term


class FakeDocuments:
    """Decodes a record by a lookup of its bytes."""

    def __init__(self):
        self.known = {}

    def put(self, name, value):
        self.known[name] = value
        return name

    def decode_configuration(self, body):
        return self._find(body)

    def decode_backend_server(self, *, server_id, body):
        return self._find(body)

    def _find(self, body):
        if body not in self.known:
            return result.Failure(
                errors.Error(
                    kind=errors.ErrorKind.RECORD_INVALID, message="unknown"
                )
            )
        return result.Success(self.known[body])
