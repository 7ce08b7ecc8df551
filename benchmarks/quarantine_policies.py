"""Compares when requests are held back for crashes under others like them.

Run: .venv/bin/python benchmarks/quarantine_policies.py

Fronts send requests to engines in simulated time and tell each other twice in
half a second what they know. In the first load a prompt segment crashes each
engine that begins to answer it; in the others engines crash together, with no
request at fault, and any fingerprint that is quarantined is a sound one.
"""

from collections.abc import Callable, Sequence
import dataclasses
import heapq
import itertools
import random

from dotterelgrade import quarantine as quarantine_lib
from dotterelgrade import quarantine_policies
from dotterelgrade import suspect_state
from dotterelgrade import suspicion

_FRONTS = 10
_ENGINES = 12
_REQUESTS_PER_S = 45.0
_BAD_PER_S = 1.5
_FIRST_ANSWER_S = 0.12
_PROOF_S = 0.15
_STREAM_S = 1.6
_DOWN_S = 3.0
_RETRY_S = 0.005
_TELL_INTERVAL_S = 0.25
_LENGTH_S = 60.0
_MAX_ATTEMPTS = 2
_BAD = "bad"
_STABILITY_S = 3.0
_CRASHES_OF_THE_RULE = 5
_SEEDS = range(5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What happens in a run.

    Attributes:
        name: For the table.
        segments: First segments that callers share; drawn evenly.
        bad_from_s: Time from which bad requests come, s, or None.
        mass_crashes: Times and shares of engines that crash together.
        shared: Whether fronts tell each other.
    """

    name: str
    segments: int = 180
    bad_from_s: float | None = None
    mass_crashes: tuple[tuple[float, float], ...] = ()
    shared: bool = True


_SERIES = tuple((5.0 + 4.0 * n, (0.2, 0.5, 1.0)[n % 3]) for n in range(12))
_LOADS = (
    Load(name="bad prompt", bad_from_s=5.0),
    Load(name="bad prompt, fronts alone", bad_from_s=5.0, shared=False),
    Load(name="bad prompt, mass crashes", bad_from_s=5.0, mass_crashes=_SERIES),
    Load(name="mass crashes", mass_crashes=_SERIES),
    Load(name="mass crashes, one prompt", segments=1, mass_crashes=_SERIES),
    Load(
        name="mass crashes, rare prompts", segments=4_000, mass_crashes=_SERIES
    ),
    Load(
        name="mass crashes from the start, few prompts",
        segments=6,
        mass_crashes=tuple((0.3 * n, 0.5) for n in range(1, 12)),
    ),
    Load(
        name="mass crashes from the start",
        mass_crashes=tuple((0.3 * n, 0.5) for n in range(1, 12)),
    ),
)


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request at a front."""

    front: int
    fingerprints: tuple[str, ...]
    attempts: int = 0
    engine: int = -1
    incarnation: int = 0
    sent_at: float = 0.0
    proven: bool = False
    request_id: str = ""

    @property
    def bad(self) -> bool:
        """Whether engines crash under it."""
        return _BAD in self.fingerprints


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What a run came to.

    Attributes:
        crashes: Engines that crashed under bad requests.
        arrivals: Bad requests that reached engines so late that they count.
        held: Sound fingerprints that were quarantined.
        held_s: For how long in all, s.
        refused: Sound requests that were refused.
        sound: Sound requests.
    """

    crashes: int = 0
    arrivals: int = 0
    held: int = 0
    held_s: float = 0.0
    refused: int = 0
    sound: int = 0


class Simulation:
    """One run in simulated time."""

    def __init__(self, load: Load, *, policy: str, seed: int) -> None:
        """Initializes a run.

        Args:
            load: What happens.
            policy: Name of the quarantine policy.
            seed: Draws requests.
        """
        self._load = load
        self._rng = random.Random(seed)
        self._now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._quarantines = [
            quarantine_lib.Quarantine(policy=policy, clock=lambda: self._now)
            for _ in range(_FRONTS)
        ]
        self._told = [[0] * _FRONTS for _ in range(2)]
        self._incarnations = [0] * _ENGINES
        self._up = [True] * _ENGINES
        self._at: list[list[Request]] = [[] for _ in range(_ENGINES)]
        self._numbers = itertools.count()
        self._bad_crashed_at: list[float] = []
        self._bad_arrived_at: list[float] = []
        self._held: set[str] = set()
        self._outcome = Outcome()

    def run(self) -> Outcome:
        """Runs to the end and returns what it came to."""
        self._after(0.0, self._arrive)
        self._after(0.0, self._tell)
        if self._load.bad_from_s is not None:
            self._after(self._load.bad_from_s, self._arrive_bad)
        for at, share in self._load.mass_crashes:
            self._after(at, lambda share=share: self._crash_many(share))
        while self._events and self._now < _LENGTH_S:
            self._now, _, event = heapq.heappop(self._events)
            event()
        outcome = self._outcome
        outcome.crashes = len(self._bad_crashed_at)
        outcome.held = len(self._held)
        if outcome.crashes >= _CRASHES_OF_THE_RULE:
            fifth_at = self._bad_crashed_at[_CRASHES_OF_THE_RULE - 1]
            outcome.arrivals = sum(
                at > fifth_at + _STABILITY_S for at in self._bad_arrived_at
            )
        return outcome

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        entry = (self._now + delay_s, next(self._order), event)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        self._after(self._rng.expovariate(_REQUESTS_PER_S), self._arrive)
        self._outcome.sound += 1
        self._admit(self._request())

    def _arrive_bad(self) -> None:
        self._after(self._rng.expovariate(_BAD_PER_S), self._arrive_bad)
        self._admit(self._request(_BAD))

    def _request(self, *more: str) -> Request:
        first = f"first-{self._rng.randrange(self._load.segments)}"
        own = f"own-{next(self._numbers)}"
        return Request(
            front=self._rng.randrange(_FRONTS),
            fingerprints=(first, *more),
            request_id=own,
        )

    def _admit(self, request: Request) -> None:
        assessment = self._assess(request)
        refused = assessment.level is suspicion.Level.QUARANTINED
        if assessment.level is suspicion.Level.SUSPECTED:
            refused = not assessment.settled
        if refused:
            self._outcome.refused += not request.bad
            return
        self._send(request)

    def _assess(self, request: Request) -> suspicion.Assessment:
        quarantine = self._quarantines[request.front]
        return quarantine.assess(request.fingerprints)

    def _send(self, request: Request) -> None:
        up = [n for n in range(_ENGINES) if self._up[n]]
        if not up:
            return
        request.attempts += 1
        request.engine = self._rng.choice(up)
        request.incarnation = self._incarnations[request.engine]
        request.sent_at = self._now
        request.proven = False
        self._at[request.engine].append(request)
        if request.bad:
            self._bad_arrived_at.append(self._now)
        delay_s = self._rng.uniform(0.5, 1.5) * _FIRST_ANSWER_S
        self._after(delay_s, lambda: self._begin(request, request.attempts))

    def _begin(self, request: Request, attempt: int) -> None:
        if request.attempts != attempt or not self._is_running(request):
            return
        if request.bad:
            self._bad_crashed_at.append(self._now)
            self._crash(request.engine)
            return
        self._after(_PROOF_S, lambda: self._prove(request, attempt))
        self._after(_STREAM_S, lambda: self._finish(request, attempt))

    def _is_running(self, request: Request) -> bool:
        return request in self._at[request.engine]

    def _prove(self, request: Request, attempt: int) -> None:
        if request.attempts == attempt and self._is_running(request):
            request.proven = True
            quarantine = self._quarantines[request.front]
            quarantine.note_served(request.fingerprints)

    def _finish(self, request: Request, attempt: int) -> None:
        if request.attempts == attempt and self._is_running(request):
            self._at[request.engine].remove(request)

    def _crash_many(self, share: float) -> None:
        up = [n for n in range(_ENGINES) if self._up[n]]
        for engine in self._rng.sample(up, round(share * len(up))):
            self._crash(engine)

    def _crash(self, engine: int) -> None:
        broken, self._at[engine] = self._at[engine], []
        process = suspect_state.ServerProcess(
            server_id=str(engine), started_ms=self._incarnations[engine]
        )
        self._up[engine] = False
        self._incarnations[engine] += 1
        self._after(_DOWN_S, lambda: self._restart(engine))
        for request in broken:
            self._quarantines[request.front].note_crash(
                process,
                () if request.proven else request.fingerprints,
                request=request.request_id,
                sent_at=request.sent_at,
                request_id=request.request_id,
            )
        for request in broken:
            may_repeat = self._assess(request).level is suspicion.Level.NONE
            if request.attempts < _MAX_ATTEMPTS and may_repeat:
                self._after(_RETRY_S, lambda r=request: self._send(r))

    def _restart(self, engine: int) -> None:
        self._up[engine] = True

    def _tell(self) -> None:
        self._after(_TELL_INTERVAL_S, self._tell)
        planner = self._quarantines[0]
        reported, snapshot = self._told
        for number, quarantine in enumerate(self._quarantines):
            quarantine.expire()
            for fingerprint in quarantine.quarantined:
                if fingerprint != _BAD:
                    self._held.add(fingerprint)
                    self._outcome.held_s += _TELL_INTERVAL_S / _FRONTS
            if not self._load.shared or not number:
                continue
            # What the planner knew at its last tick, then what is new here.
            quarantine.merge(planner.news_since(snapshot[number]))
            snapshot[number] = planner.version
            planner.merge(quarantine.news_since(reported[number]))
            reported[number] = quarantine.version


def _row(load: Load, policy: str) -> Sequence[str]:
    runs = [Simulation(load, policy=policy, seed=s).run() for s in _SEEDS]
    total = Outcome()
    for run in runs:
        for field in dataclasses.fields(Outcome):
            value = getattr(total, field.name) + getattr(run, field.name)
            setattr(total, field.name, value)
    return (
        load.name,
        policy,
        f"{total.crashes / len(runs):.1f}",
        f"{max(run.arrivals for run in runs)}",
        f"{total.held}",
        f"{total.held_s:.1f}",
        f"{total.refused} of {total.sound}",
    )


def main() -> None:
    """Prints a table over five seeds."""
    print(
        "| load | policy | crashes | most arrivals that count | sound held "
        "| held, s | sound refused |\n|---|---|---|---|---|---|---|"
    )
    for load in _LOADS:
        for policy in quarantine_policies.POLICIES.names():
            print(f"| {' | '.join(_row(load, policy))} |")


if __name__ == "__main__":
    main()
