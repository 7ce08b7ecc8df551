"""The crashes under one fingerprint, and its quarantine."""

from collections.abc import Iterable, Mapping, Sequence
import dataclasses
import itertools

from dotterelgrade import suspect_state

# A crash so long ago counts no longer, unless it led to a quarantine.
CRASH_VALID_S = 60.0
# A request of a quarantined fingerprint is sent as a probe after this time, and
# after so many times longer following each probe under which a server crashed.
FIRST_PROBE_S = 30.0
PROBE_BACKOFF = 4.0
# Each probe may crash a server. After these only a time without any request
# ends the quarantine.
MAX_PROBES = 3
FORGET_S = 600.0
# How exactly processes need to know when a request was last refused.
_WANTED_STEP_S = 60.0
# A process that is started again takes longer. A link that resets connections
# looks like a server that crashes again sooner.
MIN_RESTART_S = 1.0
_NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sighting:
    """How a crash was seen.

    Attributes:
        at: Monotonic time, s.
        sent_at: Monotonic time at which the request was sent there, s.
        request_id: A request that waited for its answer there.
        request: Fingerprint that only its repetitions share, or None.
    """

    at: float
    sent_at: float
    request_id: str
    request: str | None

    @property
    def order(self) -> tuple[float, str, str]:
        """Orders sightings of one crash; all processes keep the first one."""
        return (self.at, self.request or "", self.request_id)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashTally:
    """What some crashes under a fingerprint amount to.

    Attributes:
        crashes: Their number.
        rounds: Number of crashes that followed one another. Of servers that
            crash together, whatever the cause, one counts: the requests at the
            others were sent before it was known.
        repeats: Number of crashes of servers that had crashed before.
        quick_repeats: Those of them that followed the last crash of the server
            sooner than a process restarts.
        requests: Number of different requests that waited at one of them.
        first_at: Monotonic time of the first one, s.
    """

    crashes: int
    rounds: int
    repeats: int
    quick_repeats: int
    requests: int
    first_at: float

    @classmethod
    def of(
        cls, crashes: Mapping[suspect_state.Crash, Sighting]
    ) -> "CrashTally":
        """Counts crashes."""
        by_process = _by_process(crashes)
        first = [sightings[0] for sightings in by_process]
        return cls(
            crashes=len(crashes),
            rounds=_rounds(first),
            repeats=len(crashes) - len(first),
            quick_repeats=sum(map(_quick_repeats, by_process)),
            requests=len({s.request for s in crashes.values()}),
            first_at=min(
                (s.at for s in crashes.values()), default=float("inf")
            ),
        )


def _by_process(
    crashes: Mapping[suspect_state.Crash, Sighting],
) -> list[list[Sighting]]:
    """Returns the crashes of each process of a server, the first one first."""
    by_process: dict[suspect_state.ServerProcess, list[Sighting]] = {}
    for crash, sighting in crashes.items():
        by_process.setdefault(crash.process, []).append(sighting)
    return [sorted(s, key=lambda s: s.at) for s in by_process.values()]


def _quick_repeats(sightings: Sequence[Sighting]) -> int:
    """Returns how many crashes of one process followed another too soon."""
    pairs = itertools.pairwise(sightings)
    return sum(later.at - before.at < MIN_RESTART_S for before, later in pairs)


def _rounds(sightings: Iterable[Sighting]) -> int:
    rounds, last_at = 0, _NEVER
    for sighting in sorted(sightings, key=lambda s: s.at):
        if sighting.sent_at > last_at:
            rounds += 1
            last_at = sighting.at
    return rounds


class Suspect:
    """What is known of one fingerprint under which a server crashed."""

    def __init__(self, fingerprint: str, *, served_at: float) -> None:
        """Initializes a suspect without crashes.

        Args:
            fingerprint: The fingerprint.
            served_at: Monotonic time at which it was last served, s.
        """
        self._fingerprint = fingerprint
        self._served_at = served_at
        self._crashes: dict[suspect_state.Crash, Sighting] = {}
        self._last_crash_at = _NEVER
        self._quarantined_at: float | None = None
        self._wanted_at = _NEVER
        self._probes = 0
        self._probed_at = _NEVER

    def __repr__(self) -> str:
        """Shows the fingerprint and what is known of it."""
        state = "quarantined, " if self.quarantined else ""
        return (
            f"<Suspect {self._fingerprint} {state}{len(self._crashes)} crashes>"
        )

    @property
    def fingerprint(self) -> str:
        """The fingerprint."""
        return self._fingerprint

    @property
    def crashes(self) -> Mapping[suspect_state.Crash, Sighting]:
        """The crashes that count."""
        return self._crashes

    @property
    def requests(self) -> int:
        """Number of different requests that waited at one of the crashes."""
        return self.tally().requests

    def tally(self, *, after: float = _NEVER) -> "CrashTally":
        """Counts the crashes after a monotonic time, s."""
        return CrashTally.of(
            {c: s for c, s in self._crashes.items() if s.at > after}
        )

    @property
    def last_crash_at(self) -> float:
        """Monotonic time at which a crash was last seen, s."""
        return self._last_crash_at

    @property
    def quarantined(self) -> bool:
        """Whether requests with it are refused."""
        return self._quarantined_at is not None

    @property
    def probes(self) -> int:
        """Number of probes granted since it was quarantined."""
        return self._probes

    @property
    def next_probe_at(self) -> float:
        """Monotonic time from which the next probe may be sent, s."""
        if self._quarantined_at is None or self._probes >= MAX_PROBES:
            return float("inf")
        pause_s = FIRST_PROBE_S * PROBE_BACKOFF**self._probes
        return max(self._quarantined_at, self._probed_at) + pause_s

    def retry_after_s(self, *, now: float) -> float:
        """Returns when it is worth asking again, s.

        Args:
            now: Monotonic time, s.
        """
        return min(max(self.next_probe_at - now, 1.0), FORGET_S)

    def add_crash(self, crash: suspect_state.Crash, sighting: Sighting) -> bool:
        """Adds a crash.

        Args:
            crash: The crash.
            sighting: How it was seen.

        Returns:
            Whether others need to know.
        """
        known = self._crashes.get(crash)
        if known is None:
            self._last_crash_at = max(self._last_crash_at, sighting.at)
            if len(self._crashes) >= suspect_state.MAX_CRASHES:
                return False
            self._crashes[crash] = sighting
            return True
        if sighting.order >= known.order:
            return False
        self._crashes[crash] = sighting
        return True

    def quarantine(self, *, at: float) -> bool:
        """Refuses requests from now on.

        Args:
            at: Monotonic time from which they are refused, s.

        Returns:
            Whether they were not before.
        """
        if self.quarantined:
            return False
        self._quarantined_at = at
        self._wanted_at = max(self._wanted_at, at)
        return True

    def note_wanted(self, *, at: float) -> bool:
        """Records that a request with it was refused.

        Args:
            at: Monotonic time, s.

        Returns:
            Whether others need to know.
        """
        if at < self._wanted_at + _WANTED_STEP_S:
            return False
        self._wanted_at = at
        return True

    def note_probe(self, *, number: int, at: float) -> bool:
        """Records that a probe was granted.

        Args:
            number: Number of the probe, from 1.
            at: Monotonic time, s.

        Returns:
            Whether it was not known before.
        """
        if number <= self._probes:
            return False
        self._probes = number
        self._probed_at = at
        return True

    def merge(self, state: suspect_state.SuspectState, *, now: float) -> bool:
        """Takes in the refusals and the probes that another process knows.

        Args:
            state: What it tells.
            now: Monotonic time, s.

        Returns:
            Whether anything of it was not known.
        """
        changed = False
        if state.wanted_age_s is not None:
            changed |= self.note_wanted(at=now - state.wanted_age_s)
        if state.probed_age_s is not None:
            at = now - state.probed_age_s
            changed |= self.note_probe(number=state.probes, at=at)
        return changed

    @property
    def served_at(self) -> float:
        """Monotonic time at which it was last served, s."""
        return self._served_at

    def acquit(self, *, until: float) -> None:
        """Drops the crashes up to a time, and a quarantine that began by then.

        Args:
            until: Monotonic time at which it was served, s.
        """
        self._served_at = until
        for crash, sighting in list(self._crashes.items()):
            if sighting.at <= until:
                del self._crashes[crash]
        if self._quarantined_at is not None and self._quarantined_at <= until:
            self._quarantined_at = None

    def lift(self) -> None:
        """Ends a quarantine whose crashes turn out not to suffice."""
        self._quarantined_at = None

    @property
    def accused(self) -> bool:
        """Whether anything speaks against it."""
        return bool(self._crashes) or self.quarantined

    @property
    def quarantined_at(self) -> float | None:
        """Monotonic time from which requests are refused, s, or None."""
        return self._quarantined_at

    def expire(self, *, now: float) -> bool:
        """Drops what is too old to count.

        Args:
            now: Monotonic time, s.

        Returns:
            Whether nothing is left.
        """
        if self.quarantined:
            return now - self._wanted_at > FORGET_S
        for crash, sighting in list(self._crashes.items()):
            if now - sighting.at > CRASH_VALID_S:
                del self._crashes[crash]
        return not self._crashes

    def state(self, *, now: float) -> suspect_state.SuspectState:
        """Returns what to tell others.

        Args:
            now: Monotonic time, s.
        """
        return suspect_state.SuspectState(
            fingerprint=self._fingerprint,
            crashes=[
                suspect_state.CrashReport(
                    crash=crash,
                    age_s=max(now - sighting.at, 0.0),
                    sent_age_s=max(now - sighting.sent_at, 0.0),
                    request_id=sighting.request_id,
                    request=sighting.request,
                )
                for crash, sighting in self._crashes.items()
            ],
            served_age_s=age_s(self._served_at, now=now),
            quarantined_age_s=age_s(self._quarantined_at, now=now),
            wanted_age_s=age_s(self._wanted_at, now=now),
            probes=self._probes,
            probed_age_s=age_s(self._probed_at, now=now),
        )


def age_s(at: float | None, *, now: float) -> float | None:
    """Returns the time since a moment, s, or None if there was none."""
    return None if at in (None, _NEVER) else max(now - at, 0.0)
