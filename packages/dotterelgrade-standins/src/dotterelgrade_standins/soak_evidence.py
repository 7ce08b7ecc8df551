"""What callers and backend servers saw of a soak, and which promises broke."""

import collections
import dataclasses
import enum
import time

# Rules with a time bound hold only where nothing was disturbed for so long.
STABILITY_S = 3.0
DRAIN_S = 2.0
APPLY_S = 2.0
TIMEOUT_SLACK_S = 0.5
LEFT_SLACK_S = 0.5
# A full server's word holds after this time; so many requests are borne.
HELD_OFF_SLACK_S = 0.5
MOST_HELD_OFF = 2
# Share of late answers, and of abandoned work that goes on, that is borne.
MOST_UNANSWERED = 0.5
MOST_ABANDONED = 0.25
LEAST_SAMPLES = 4
# Of the requests sent this long after the last fault, a quarter must succeed.
RECOVER_S = 12.0
LEAST_RECOVERED = 0.25


class Part(enum.Enum):
    """A part of the fleet that can be disturbed."""

    FRONT = "front"
    SERVER = "server"
    STORE = "store"
    MACHINE = "machine"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that was broken.

    Attributes:
        rule: Short name of the promise.
        at_s: Time since the start of the run, s.
        request_id: The request, or empty.
        detail: What was seen.
    """

    rule: str
    at_s: float
    request_id: str
    detail: str


@dataclasses.dataclass(kw_only=True)
class Sent:
    """One attempt of a caller.

    Attributes:
        request_id: Its identifier.
        front: Name of the front that it was sent to.
        once: Whether it may run at most once.
        allowed: Whether route and key are in force throughout.
        workspace: The only workspace for which it may run.
        timeout_s: Longest time that its route allows, s.
        sent_at: Monotonic time at which it was sent whole, s.
        ended_at: Monotonic time of its end, s, or 0 while it waits.
        succeeded: Whether it ended with a whole success.
        left_at: Monotonic time at which its caller left, s, or 0.
        promised: Whether its caller was told that it has not run.
        begun_at: Monotonic time before its first byte was sent, s.
    """

    request_id: str
    front: str
    once: bool
    allowed: bool
    workspace: str
    timeout_s: float
    sent_at: float
    ended_at: float = 0.0
    succeeded: bool = False
    left_at: float = 0.0
    promised: bool = False
    begun_at: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Keeps the time before it is sent, which `sent_at` replaces."""
        self.begun_at = self.sent_at


@dataclasses.dataclass(kw_only=True)
class Run:
    """One run of a request at a backend server.

    Attributes:
        server_id: The backend server.
        began_at: Monotonic time, s.
        ended_at: Monotonic time, s, or 0 while it runs.
        servers: Names of the backend servers that have taken part.
        broke_off: Whether the backend server itself ended the answer early.
        answered: Whether the backend server has sent the whole answer.
    """

    server_id: str
    began_at: float
    ended_at: float = 0.0
    servers: set[str] = dataclasses.field(default_factory=set)
    broke_off: bool = False
    answered: bool = False


@dataclasses.dataclass(kw_only=True)
class _Disturbance:
    part: Part
    name: str
    began_at: float
    ended_at: float = float("inf")

    def strikes(self, part: Part, name: str) -> bool:
        return self.part is part and self.name in ("", name)

    def overlaps(self, start: float, end: float) -> bool:
        return self.began_at < end and self.ended_at > start


@dataclasses.dataclass(frozen=True)
class _Pair:
    front: str
    server_id: str


@dataclasses.dataclass(kw_only=True)
class _Holdoff:
    began_at: float
    until: float
    arrived: int = 0


def name_of(server_id: str) -> str:
    """Returns the name that all incarnations of a backend server share."""
    return server_id.partition(".")[0]


class Evidence:
    """Collects what was seen; `violations` holds what must not happen."""

    def __init__(self) -> None:
        """Initializes the evidence of a run that starts now."""
        self._started_at = time.monotonic()
        self._disturbances: list[_Disturbance] = []
        self._draining: dict[str, float] = {}
        self._marked: dict[_Pair, float] = {}
        self._held_off: dict[_Pair, _Holdoff] = {}
        self.sent: dict[str, Sent] = {}
        self.reached: set[str] = set()
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: list[Violation] = []

    def __repr__(self) -> str:
        """Shows how much was seen."""
        return f"<Evidence {len(self.sent)} sent, {self.violations}>"

    def broken(self, rule: str, request_id: str, detail: str) -> None:
        """Notes a promise that was broken."""
        self.violations.append(
            Violation(
                rule=rule,
                at_s=round(time.monotonic() - self._started_at, 2),
                request_id=request_id,
                detail=detail,
            )
        )

    def disturb(
        self, part: Part, name: str = "", *, began_at: float | None = None
    ) -> _Disturbance:
        """Notes that something is disturbed until `calm` is called.

        Args:
            part: What is disturbed.
            name: Name of the front or the backend server; empty for all.
            began_at: Monotonic time, s; by default now.
        """
        if began_at is None:
            began_at = time.monotonic()
        found = _Disturbance(part=part, name=name, began_at=began_at)
        self._disturbances.append(found)
        return found

    def calm(self, disturbance: _Disturbance) -> None:
        """Notes the end of a disturbance."""
        disturbance.ended_at = time.monotonic()

    def in_touch(self, front: str, start: float, end: float) -> bool:
        """Returns whether nothing disturbed a front in and before a span.

        Only what disturbs another front leaves it in touch.
        """
        return not any(
            d.overlaps(start - STABILITY_S, end)
            and (d.part is not Part.FRONT or d.strikes(Part.FRONT, front))
            for d in self._disturbances
        )

    def undisturbed(
        self, part: Part, name: str, start: float, end: float
    ) -> bool:
        """Returns whether nothing disturbed one part in a span."""
        return not any(
            d.strikes(part, name) and d.overlaps(start, end)
            for d in self._disturbances
        )

    def drained(self, server_id: str) -> None:
        """Notes that the store has taken in that a server leaves."""
        self._draining[server_id] = time.monotonic()

    def arrived(self, request_id: str, server_id: str) -> None:
        """Notes a request at a backend server, run or not."""
        self.reached.add(request_id)
        sent = self.sent.get(request_id)
        if sent is None:
            return
        self._check_pair(sent, server_id)
        drained_at = self._draining.get(server_id)
        if drained_at is None:
            return
        now = time.monotonic()
        if now < drained_at + DRAIN_S:
            return
        if self.in_touch(sent.front, drained_at, now):
            self.broken("drain", request_id, f"reaches {server_id}")

    def marked(self, request_id: str, server_id: str) -> None:
        """Notes an answer, to be passed on, that says that a server leaves."""
        sent = self.sent.get(request_id)
        if sent is not None:
            pair = _Pair(sent.front, server_id)
            self._marked.setdefault(pair, time.monotonic())

    def held_off(
        self, request_id: str, server_id: str, *, until: float
    ) -> None:
        """Notes that a full server wants nothing from a front for a time."""
        sent = self.sent.get(request_id)
        if sent is None:
            return
        pair = _Pair(sent.front, server_id)
        known = self._held_off.get(pair)
        if known is None or known.until < time.monotonic():
            self._held_off[pair] = _Holdoff(
                began_at=time.monotonic(), until=until
            )

    def _check_pair(self, sent: Sent, server_id: str) -> None:
        """Checks a request against what the server has told the front."""
        pair = _Pair(sent.front, server_id)
        if self._comes_after_mark(sent, pair):
            self.broken("leaving", sent.request_id, f"reaches {server_id}")
        if self._comes_while_held_off(pair):
            self.broken("held off", sent.request_id, f"reaches {server_id}")

    def _comes_after_mark(self, sent: Sent, pair: _Pair) -> bool:
        marked_at = self._marked.get(pair)
        if marked_at is None or sent.sent_at <= marked_at + DRAIN_S:
            return False
        return self.in_touch(pair.front, marked_at, time.monotonic())

    def _comes_while_held_off(self, pair: _Pair) -> bool:
        held, now = self._held_off.get(pair), time.monotonic()
        if held is None or now >= held.until:
            return False
        if now <= held.began_at + HELD_OFF_SLACK_S:
            return False
        held.arrived += 1
        if held.arrived <= MOST_HELD_OFF:
            return False
        return self.in_touch(pair.front, held.began_at, now)

    def begin_run(
        self,
        request_id: str,
        server_id: str,
        *,
        workspace: str,
        key_passed_on: bool,
    ) -> Run:
        """Notes that a backend server begins to work on a request."""
        run = Run(
            server_id=server_id,
            began_at=time.monotonic(),
            servers={name_of(server_id)},
        )
        runs = self.runs[request_id]
        runs.append(run)
        sent = self.sent.get(request_id)
        if sent is None:
            self.broken("unasked", request_id, f"runs at {server_id}")
            return run
        if key_passed_on or workspace != sent.workspace:
            self.broken("workspace", request_id, f"{workspace!r}")
        if sent.once and len(runs) > 1:
            self.broken("twice", request_id, f"{runs}")
        if sent.promised:
            self.broken("promise", request_id, "runs after 'not run'")
        return run

    def end_run(self, run: Run) -> None:
        """Notes that a backend server has ended its work."""
        run.ended_at = time.monotonic()

    def promise(self, sent: Sent, status: int) -> None:
        """Notes an answer that says that the request has not run."""
        sent.promised = True
        if sent.once and self.runs.get(sent.request_id):
            self.broken("promise", sent.request_id, f"{status} after a run")

    def conclude(self) -> None:
        """Checks what can be judged only at the end."""
        self._check_timeouts()
        self._check_abandoned()

    def check_recovery(self, since: float) -> None:
        """Checks the requests that were sent after the recovery."""
        late = [
            s
            for s in self.sent.values()
            if s.sent_at > since and s.allowed and not s.left_at
        ]
        served = sum(s.succeeded for s in late)
        if len(late) < LEAST_SAMPLES or served < LEAST_RECOVERED * len(late):
            self.broken("recover", "", f"{served} of {len(late)} served")

    def _check_timeouts(self) -> None:
        now = time.monotonic()
        reached = [
            s
            for s in self.sent.values()
            if not s.left_at
            and now - s.sent_at > s.timeout_s + TIMEOUT_SLACK_S
            and self.in_touch(s.front, s.sent_at, s.sent_at + s.timeout_s)
            and (not s.ended_at or s.ended_at - s.sent_at >= s.timeout_s)
        ]
        late = [
            s
            for s in reached
            if not s.ended_at
            or s.ended_at - s.sent_at > s.timeout_s + TIMEOUT_SLACK_S
        ]
        if len(late) > max(LEAST_SAMPLES, MOST_UNANSWERED * len(reached)):
            self.broken("timeout", late[0].request_id, f"{len(late)} late")

    def _check_abandoned(self) -> None:
        left = [
            s
            for s in self.sent.values()
            if s.left_at
            and self.in_touch(s.front, s.left_at, s.left_at + LEFT_SLACK_S)
        ]
        working = [s for s in left if self._works_on(s)]
        if len(working) > max(LEAST_SAMPLES, MOST_ABANDONED * len(left)):
            self.broken(
                "gone", working[0].request_id, f"{len(working)} of {len(left)}"
            )

    def _works_on(self, sent: Sent) -> bool:
        until = sent.left_at + LEFT_SLACK_S
        return any(
            run.began_at < until and (not run.ended_at or run.ended_at > until)
            for run in self.runs.get(sent.request_id, ())
        )
