"""Quarantine of requests under which backend servers crash.

Load pattern: requests with a certain prompt segment crash each backend server
that begins to answer them. They come at any process, no two alike, beside sound
requests that share the other segments. A failed attempt is therefore put down
not only to the server, but also to what was asked: a fingerprint that was there
in several crashes, and under which nothing was served since, is suspected and
then refused; soon after a service it takes more of them. A crash for which
another fingerprint in quarantine accounts speaks less against it.

This module holds the rules, and does no input or output. Processes tell each
other what has changed; that may arrive late, twice and in any order.
"""

from collections.abc import Callable, Collection, Iterable
import time

from dotterelgrade import crash_history
from dotterelgrade import quarantine_policies
from dotterelgrade import served_requests
from dotterelgrade import suspect as suspect_lib
from dotterelgrade import suspect_news
from dotterelgrade import suspect_state
from dotterelgrade import suspicion

# With as many crashes requests are sent one at a time, and only once.
SUSPECTED_CRASHES = 2
# Reports of other processes on the same crashes take about as long; no request
# of a suspect is sent until then.
SETTLE_S = 0.5
_MAX_SUSPECTS = 512
# Others are told that a suspect was served if they know of no service so late.
_SERVED_STEP_S = 5.0
_CHANGES = {
    suspicion.Level.NONE: suspicion.ChangeKind.RELEASED,
    suspicion.Level.SUSPECTED: suspicion.ChangeKind.SUSPECTED,
    suspicion.Level.QUARANTINED: suspicion.ChangeKind.QUARANTINED,
}
_NOT_SUSPECTED = suspicion.Assessment(level=suspicion.Level.NONE)


class Quarantine:
    """Fingerprints under which backend servers crashed."""

    def __init__(
        self,
        *,
        policy: str = "share",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes it without suspects.

        Args:
            policy: Name of the policy that decides on a quarantine.
            clock: Monotonic time, s.
        """
        self._policy = quarantine_policies.POLICIES.make(policy)
        self._clock = clock
        self._suspects: dict[str, suspect_lib.Suspect] = {}
        self._served = served_requests.ServedRequests()
        self._history = crash_history.CrashHistory()
        self._news = suspect_news.SuspectNewsLog()
        self._levels: dict[str, suspicion.Level] = {}
        self._granted: set[str] = set()
        self._changes: list[suspicion.Change] = []

    def __repr__(self) -> str:
        """Shows the number of suspects."""
        return (
            f"<Quarantine {len(self._suspects)} suspects, "
            f"{len(self.quarantined)} quarantined>"
        )

    @property
    def version(self) -> int:
        """Grows with each change that others need to know."""
        return self._news.version

    @property
    def suspects(self) -> tuple[str, ...]:
        """Fingerprints under which a server crashed lately."""
        return tuple(self._suspects)

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Fingerprints that are refused."""
        return tuple(f for f, s in self._suspects.items() if s.quarantined)

    def take_changes(self) -> list[suspicion.Change]:
        """Returns what has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def assess(self, fingerprints: Collection[str]) -> suspicion.Assessment:
        """Returns what is to be done with a request.

        Args:
            fingerprints: Its fingerprints.
        """
        worst = _NOT_SUSPECTED
        for fingerprint in fingerprints:
            found = self._assess_one(fingerprint, fingerprints)
            if found.level > worst.level:
                worst = found
        return worst

    def _assess_one(
        self, fingerprint: str, fingerprints: Collection[str]
    ) -> suspicion.Assessment:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return _NOT_SUSPECTED
        now = self._clock()
        level = self._update(suspect)
        if level and self._explained_by_others(suspect, level, fingerprints):
            level = suspicion.Level(level - 1)
        return suspicion.Assessment(
            level=level,
            fingerprint=fingerprint,
            retry_after_s=suspect.retry_after_s(now=now),
            requests=suspect.requests,
            settled=now - suspect.last_crash_at >= SETTLE_S,
            probe_due=now >= suspect.next_probe_at,
        )

    def _explained_by_others(
        self,
        suspect: suspect_lib.Suspect,
        level: suspicion.Level,
        fingerprints: Collection[str],
    ) -> bool:
        """Returns whether one that a request lacks accounts for all crashes.

        Of two that came together so far either may be at fault; a request with
        one of them tells.
        """
        crashes = suspect.crashes.keys()
        return any(
            crashes <= other.crashes.keys()
            for fingerprint, other in self._suspects.items()
            if fingerprint not in fingerprints
            and self._levels.get(fingerprint, suspicion.Level.NONE) >= level
        )

    def note_crash(
        self,
        process: suspect_state.ServerProcess,
        fingerprints: Iterable[str],
        *,
        request: str,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Records that a backend server crashed.

        Args:
            process: The backend server, as it is listed.
            fingerprints: Those of a request whose answer had hardly begun
                there; empty for one that was well under way.
            request: Fingerprint that only repetitions of the request share.
            sent_at: Monotonic time at which the request was sent there, s.
            request_id: The request.
        """
        crash = self._history.identify(process, sent_at=sent_at)
        self._add_crash(
            crash,
            fingerprints,
            self._sighting(request, sent_at=sent_at, request_id=request_id),
        )

    def note_found_dead(
        self,
        process: suspect_state.ServerProcess,
        fingerprints: Iterable[str],
        *,
        request: str,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Records that a stage that a request waits for is not there.

        The arguments are those of `note_crash`; here the crash may have been
        long before the request.
        """
        crash = self._history.found_dead(process, sent_at=sent_at)
        if crash is not None:
            self._add_crash(
                crash,
                fingerprints,
                self._sighting(request, sent_at=sent_at, request_id=request_id),
            )

    def _sighting(
        self, request: str, *, sent_at: float, request_id: str
    ) -> suspect_lib.Sighting:
        return suspect_lib.Sighting(
            at=self._clock(),
            sent_at=sent_at,
            request_id=request_id[: suspect_state.MAX_IDENTIFIER_LENGTH],
            request=request,
        )

    def _add_crash(
        self,
        crash: suspect_state.Crash,
        fingerprints: Iterable[str],
        sighting: suspect_lib.Sighting,
    ) -> None:
        if self._history.add(crash, at=sighting.at):
            self._news.note_crash(crash)
        for fingerprint in fingerprints:
            if sighting.at <= self._served.served_at(fingerprint):
                continue
            suspect = self._suspect(fingerprint)
            if suspect.add_crash(crash, sighting):
                self._news.note_suspect(fingerprint)
            self._update(suspect)

    def note_served(self, fingerprints: Iterable[str]) -> None:
        """Records that a backend server answered a request.

        Args:
            fingerprints: Those of the request.
        """
        self._note_served(fingerprints, at=self._clock())

    def _note_served(self, fingerprints: Iterable[str], *, at: float) -> None:
        for fingerprint in self._served.note(fingerprints, at=at):
            if fingerprint in self._suspects:
                self._acquit(fingerprint)

    def _acquit(self, fingerprint: str) -> None:
        suspect = self._suspects[fingerprint]
        suspect.acquit(until=self._served.served_at(fingerprint))
        if suspect.quarantined and not self._may_be_quarantined(
            suspect, at=suspect.quarantined_at
        ):
            suspect.lift()
        if not suspect.accused:
            self._release(fingerprint, "a request with it was served")
            self._tell_served(fingerprint)
            return
        self._news.note_suspect(fingerprint)
        self._update(suspect)

    def _may_be_quarantined(
        self, suspect: suspect_lib.Suspect, *, at: float
    ) -> bool:
        """Returns whether a quarantine may have begun, s, though it was served.

        Another process may not have known how lately.
        """
        if at > suspect.served_at + served_requests.SERVED_VALID_S:
            return True
        certain = quarantine_policies.CERTAIN_CRASHES
        return suspect.tally().rounds >= certain

    def note_refused(self, fingerprint: str) -> None:
        """Records that a request was refused for one of its fingerprints."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.note_wanted(at=self._clock()):
            self._news.note_suspect(fingerprint)

    def grant_probe(self, fingerprint: str) -> None:
        """Lets one request with a quarantined fingerprint be sent.

        Args:
            fingerprint: The fingerprint, whose next probe is due.
        """
        suspect = self._suspects[fingerprint]
        suspect.note_probe(number=suspect.probes + 1, at=self._clock())
        self._granted.add(fingerprint)
        self._news.note_suspect(fingerprint)

    def use_probe(self, fingerprint: str) -> bool:
        """Returns whether a probe was granted; it can be used only once."""
        granted = fingerprint in self._granted
        self._granted.discard(fingerprint)
        return granted

    def state_of(self, fingerprint: str) -> suspect_state.SuspectState | None:
        """Returns what is known of a suspect, or None if it is none."""
        suspect = self._suspects.get(fingerprint)
        return None if suspect is None else self._state(suspect)

    def _state(
        self, suspect: suspect_lib.Suspect
    ) -> suspect_state.SuspectState:
        return suspect.state(now=self._clock())

    def news_since(self, version: int) -> suspect_state.SuspectNews:
        """Returns what has changed.

        Args:
            version: The version that the receiver knows.
        """
        now = self._clock()
        suspects = [
            self._state(self._suspects[fingerprint])
            for fingerprint in self._news.suspects_since(version)
        ]
        acquittals = [
            acquittal.state(now=now)
            for acquittal in self._news.acquittals_since(version)
        ]
        crashes = [
            suspect_state.CrashReport(
                crash=crash, age_s=max(now - self._history.seen_at(crash), 0.0)
            )
            for crash in self._news.crashes_since(version)
        ]
        return suspect_state.SuspectNews(
            suspects=suspects + acquittals, crashes=crashes
        )

    def merge(self, news: suspect_state.SuspectNews) -> None:
        """Takes in what another process knows.

        Args:
            news: What it tells; it may be outdated.
        """
        now = self._clock()
        for report in news.crashes:
            self._add_crash(
                report.crash, (), _reported_sighting(report, now=now)
            )
        for state in news.suspects:
            self._merge_one(state, now)

    def _merge_one(self, state: suspect_state.SuspectState, now: float) -> None:
        fingerprint = state.fingerprint
        if state.served_age_s is not None:
            self._note_served([fingerprint], at=now - state.served_age_s)
        for report in state.crashes:
            sighting = _reported_sighting(report, now=now)
            self._add_crash(report.crash, [fingerprint], sighting)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            changed = self._merge_quarantine(suspect, state, now=now)
            changed |= suspect.merge(state, now=now)
            if changed:
                self._news.note_suspect(fingerprint)
                self._update(suspect)
        if state.accuses and self._served_later(state, now):
            self._tell_served(fingerprint)

    def _merge_quarantine(
        self,
        suspect: suspect_lib.Suspect,
        state: suspect_state.SuspectState,
        *,
        now: float,
    ) -> bool:
        """Takes a quarantine over; returns whether it was not known."""
        if state.quarantined_age_s is None:
            return False
        at = now - state.quarantined_age_s
        if at <= suspect.served_at:
            return False
        if not self._may_be_quarantined(suspect, at=at):
            return False
        return suspect.quarantine(at=at)

    def _served_later(
        self, state: suspect_state.SuspectState, now: float
    ) -> bool:
        """Returns whether another process needs to know of a service here."""
        if now > self._served.shielded_until(state.fingerprint):
            return False
        if state.served_age_s is None:
            return True
        told_at = now - state.served_age_s
        served_at = self._served.served_at(state.fingerprint)
        return served_at > told_at + _SERVED_STEP_S

    def _tell_served(self, fingerprint: str) -> None:
        if fingerprint in self._suspects:
            self._news.note_suspect(fingerprint)
            return
        served_at = self._served.served_at(fingerprint)
        self._news.note_acquittal(fingerprint, served_at=served_at)

    def expire(self) -> None:
        """Drops what is too old to count."""
        now = self._clock()
        self._history.expire(now=now)
        self._news.keep_crashes(self._history.crashes)
        self._news.expire(now=now)
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.expire(now=now):
                self._release(fingerprint, "no crash or request for long")
            else:
                self._update(suspect)

    def _suspect(self, fingerprint: str) -> suspect_lib.Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = suspect_lib.Suspect(
                fingerprint, served_at=self._served.served_at(fingerprint)
            )
            self._suspects[fingerprint] = suspect
        return suspect

    def _make_room(self) -> None:
        """Drops the suspect that matters least if there are too many."""
        if len(self._suspects) < _MAX_SUSPECTS:
            return
        least = min(
            self._suspects.values(),
            key=lambda s: (s.quarantined, len(s.crashes), s.last_crash_at),
        )
        self._release(least.fingerprint, "too many suspects")

    def _update(self, suspect: suspect_lib.Suspect) -> suspicion.Level:
        """Returns what a suspect's crashes mean now; records a change."""
        level = self._level(suspect)
        fingerprint = suspect.fingerprint
        before = self._levels.get(fingerprint, suspicion.Level.NONE)
        if level is before:
            return level
        self._levels[fingerprint] = level
        reason = "crashes under it"
        if level < before:
            reason = "a request with it was served"
        self._record(_CHANGES[level], suspect, reason)
        return level

    def _level(self, suspect: suspect_lib.Suspect) -> suspicion.Level:
        if suspect.quarantined:
            return suspicion.Level.QUARANTINED
        now = self._clock()
        if self._is_at_fault(suspect, now):
            suspect.quarantine(at=now)
            self._news.note_suspect(suspect.fingerprint)
            return suspicion.Level.QUARANTINED
        tally = self._tally(suspect)
        repeated = tally.requests if tally.repeats else 0
        if max(tally.rounds, repeated) >= SUSPECTED_CRASHES:
            return suspicion.Level.SUSPECTED
        return suspicion.Level.NONE

    def _tally(self, suspect: suspect_lib.Suspect) -> suspect_lib.CrashTally:
        """Counts the crashes, but for those soon after it was served."""
        shielded_until = suspect.served_at + served_requests.SERVED_VALID_S
        return suspect.tally(after=shielded_until)

    def _is_at_fault(self, suspect: suspect_lib.Suspect, now: float) -> bool:
        tally = self._tally(suspect)
        return self._policy.is_at_fault(
            quarantine_policies.Evidence(
                certain_rounds=suspect.tally().rounds,
                rounds=tally.rounds,
                repeats=tally.repeats,
                quick_repeats=tally.quick_repeats,
                crashes=tally.crashes,
                total=len(self._history.since(tally.first_at - SETTLE_S)),
                requests=tally.requests,
                settled=now - suspect.last_crash_at >= SETTLE_S,
            )
        )

    def _release(self, fingerprint: str, reason: str) -> None:
        suspect = self._suspects.pop(fingerprint)
        self._news.drop_suspect(fingerprint)
        self._granted.discard(fingerprint)
        if self._levels.pop(fingerprint, suspicion.Level.NONE):
            self._record(suspicion.ChangeKind.RELEASED, suspect, reason)

    def _record(
        self,
        kind: suspicion.ChangeKind,
        suspect: suspect_lib.Suspect,
        reason: str,
    ) -> None:
        self._changes.append(
            suspicion.Change(
                kind=kind, reason=reason, state=self._state(suspect)
            )
        )


def _reported_sighting(
    report: suspect_state.CrashReport, *, now: float
) -> suspect_lib.Sighting:
    return suspect_lib.Sighting(
        at=now - report.age_s,
        sent_at=now - report.sent_age_s,
        request_id=report.request_id,
        request=report.request,
    )
