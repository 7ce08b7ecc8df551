"""Open-loop load tool: calls leave when they are due, whatever comes back."""

import collections
from collections.abc import Iterable
import dataclasses
import time

import gevent
from gevent import pool

from dotterelgrade_standins import balancer as balancer_lib
from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import workload

MAX_IN_FLIGHT = 4_000
_END_TIMEOUT_S = 60.0
_RETRY_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """One call and what came back.

    Attributes:
        request: What was asked.
        intended_s: Monotonic time at which it was due, s.
        entry: IP number of the entry that was called.
        answer: What came back.
        ended_s: Monotonic time of the end, s.
    """

    request: workload.Request
    intended_s: float
    entry: str
    answer: caller_lib.Answer
    ended_s: float

    @property
    def is_refused(self) -> bool:
        """Whether the caller was told that nothing ran."""
        return self.answer.run == "not_run"


def error_kinds(samples: Iterable[Sample]) -> dict[str, int]:
    """Returns how many calls ended with each kind of error."""
    kinds = (sample.answer.kind for sample in samples)
    return dict(collections.Counter(kind for kind in kinds if kind))


class LoadTool:
    """Sends streams of requests to a fleet and tells its oracle."""

    def __init__(self, fleet: fleet_run.Fleet) -> None:
        """Initializes a tool without connections.

        Args:
            fleet: The fleet to call.
        """
        self._fleet = fleet
        hosts = [entry.host for entry in fleet.plan.entries]
        self._balancer = balancer_lib.Balancer(hosts)
        self._callers: dict[tuple[str, str], caller_lib.Caller] = {}
        self._killed: dict[str, float] = {}

    def __repr__(self) -> str:
        """Shows the fleet."""
        return f"<LoadTool {self._fleet}>"

    @property
    def balancer(self) -> balancer_lib.Balancer:
        """The balancer in front of the entries."""
        return self._balancer

    @property
    def killed(self) -> tuple[str, ...]:
        """Entries that were killed."""
        return tuple(self._killed)

    def note_killed(self, host: str) -> None:
        """Notes that an entry was killed, which excuses its open calls."""
        self._killed[host] = time.monotonic()

    def run(self, requests: Iterable[workload.Request]) -> list[Sample]:
        """Sends the requests when they are due and waits for every end.

        Args:
            requests: The stream, in the order of its times.

        Returns:
            One sample per request.
        """
        samples: list[Sample] = []
        calls = pool.Pool(MAX_IN_FLIGHT)
        start_s = time.monotonic()
        with self._balancer.polling():
            for request in requests:
                due_s = start_s + request.at_s
                gevent.sleep(max(0.0, due_s - time.monotonic()))
                calls.spawn(self._send, request, due_s, samples)
            calls.join(timeout=_END_TIMEOUT_S)
        return samples

    def _send(
        self, request: workload.Request, due_s: float, samples: list[Sample]
    ) -> None:
        oracle = self._fleet.oracle
        oracle.sent(
            call=request.name,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
        )
        entry, answer = self._call(request, due_s)
        excused = entry in self._killed
        self._fleet.evidence.tell(request.name, answer, excused=excused)
        samples.append(
            Sample(
                request=request,
                intended_s=due_s,
                entry=entry,
                answer=answer,
                ended_s=time.monotonic(),
            )
        )

    def _call(
        self, request: workload.Request, due_s: float
    ) -> tuple[str, caller_lib.Answer]:
        entry = self._balancer.pick()
        answer = self._caller(entry, request.workspace).complete(
            request.prompt,
            model=request.model,
            max_tokens=request.max_tokens,
            intended_s=due_s,
        )
        if not answer.is_unsent:
            return entry, answer
        # As a balancer does when an entry does not accept a connection.
        gevent.sleep(_RETRY_PAUSE_S)
        entry = self._balancer.pick(besides=entry)
        return entry, self._caller(entry, request.workspace).complete(
            request.prompt,
            model=request.model,
            max_tokens=request.max_tokens,
            intended_s=due_s,
        )

    def _caller(self, entry: str, workspace: str) -> caller_lib.Caller:
        key = (entry, workspace)
        if key not in self._callers:
            self._callers[key] = caller_lib.Caller(
                entry,
                key=f"key-{workspace}",
                port=fleet_plan.HTTP_PORT,
                concurrency=MAX_IN_FLIGHT,
            )
        return self._callers[key]
