"""Prompts of a soak under which engines crash, and what fronts may do then.

Two rules are judged: how many requests with such a segment reach engines once
the fronts have had the time to learn of it, and whether sound requests that
share the other segments are served meanwhile as at other times.
"""

from collections.abc import Sequence
import dataclasses
import time

from dotterelgrade_standins import soak_evidence

_CRASHES = 5
MOST_ARRIVALS = 3
# From twice the time on in which fronts may learn of a segment.
_SOUND_AFTER_S = 2 * soak_evidence.STABILITY_S
_LEAST_SOUND = 20
_LEAST_SHARE = 0.5


@dataclasses.dataclass(kw_only=True)
class BadSegment:
    """A segment under which engines crash.

    Attributes:
        name: Its ID.
        first: ID of the first segment that its requests share with sound ones.
        crashed_at: Monotonic times of the crashes, s.
        arrivals: Requests that reached an engine though they must not.
        ended_at: Monotonic time from which no request has it, s.
    """

    name: str
    first: str
    crashed_at: list[float] = dataclasses.field(default_factory=list)
    arrivals: int = 0
    ended_at: float = float("inf")

    @property
    def known_at(self) -> float:
        """Monotonic time from which arrivals count, s."""
        if len(self.crashed_at) < _CRASHES:
            return float("inf")
        return self.crashed_at[_CRASHES - 1] + soak_evidence.STABILITY_S

    @property
    def sound_at(self) -> float:
        """Monotonic time from which sound requests must be served, s."""
        if not self.crashed_at:
            return float("inf")
        return self.crashed_at[:_CRASHES][-1] + _SOUND_AFTER_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sound:
    at: float
    first: str
    served: bool
    calm: bool


class PromptCrashes:
    """Judges what fronts do with prompts under which engines crash."""

    def __init__(self, evidence: soak_evidence.Evidence) -> None:
        """Initializes a judge without bad segments.

        Args:
            evidence: What was seen; takes in what was broken.
        """
        self._evidence = evidence
        self._bad: dict[str, BadSegment] = {}
        self._sound: list[_Sound] = []

    def __repr__(self) -> str:
        """Shows the bad segments."""
        return f"<PromptCrashes {sorted(self._bad)}>"

    @property
    def bad(self) -> Sequence[BadSegment]:
        """The bad segments so far."""
        return list(self._bad.values())

    @property
    def goes_on(self) -> bool:
        """Whether requests with a bad segment are sent."""
        now = time.monotonic()
        return any(bad.ended_at > now for bad in self._bad.values())

    def add(self, segment: BadSegment) -> None:
        """Lets engines crash under a segment from now on."""
        self._bad[segment.name] = segment

    def bad_segment(self, segments: Sequence[str]) -> BadSegment | None:
        """Returns the segment under which engines crash, or None."""
        return next((self._bad[s] for s in segments if s in self._bad), None)

    def arrived(self, request_id: str, segments: Sequence[str]) -> None:
        """Judges the arrival of a request at an engine.

        Args:
            request_id: The request.
            segments: IDs of the segments of its prompt.
        """
        bad, now = self.bad_segment(segments), time.monotonic()
        sent = self._evidence.sent.get(request_id)
        if bad is None or sent is None or now < bad.known_at:
            return
        if not self._in_touch(sent.front, now):
            return
        bad.arrivals += 1
        if bad.arrivals == MOST_ARRIVALS + 1:
            self._evidence.broken(
                "budget",
                request_id,
                f"{bad.name} after {len(bad.crashed_at)} crashes",
            )

    def crashed(self, segments: Sequence[str]) -> None:
        """Notes that an engine crashes under a request."""
        self.bad_segment(segments).crashed_at.append(time.monotonic())

    def served(
        self, sent: soak_evidence.Sent, first: str, *, served: bool
    ) -> None:
        """Notes how a sound request ended.

        Args:
            sent: The request.
            first: ID of its first segment.
            served: Whether it got a whole answer.
        """
        self._sound.append(
            _Sound(
                at=sent.sent_at,
                first=first,
                served=served,
                calm=self._is_calm(sent.front, sent.sent_at),
            )
        )

    def conclude(self) -> None:
        """Judges what can be judged only at the end."""
        for bad in self._bad.values():
            during = [
                s
                for s in self._sound
                if s.calm
                and s.first == bad.first
                and bad.sound_at < s.at < bad.ended_at
            ]
            outside = [s for s in self._sound if s.calm and self._is_outside(s)]
            if min(len(during), len(outside)) < _LEAST_SOUND:
                continue
            if _share(during) < _LEAST_SHARE * _share(outside):
                self._evidence.broken(
                    "lost",
                    "",
                    f"{_share(during):.2f} of {len(during)} sound requests "
                    f"beside {bad.name} served, {_share(outside):.2f} else",
                )

    def _is_outside(self, sound: _Sound) -> bool:
        """Returns whether no bad requests were sent then."""
        return not any(
            bad.crashed_at and bad.crashed_at[0] < sound.at < bad.ended_at
            for bad in self._bad.values()
        )

    def _is_calm(self, front: str, at: float) -> bool:
        """Returns whether a front could serve requests but for bad ones."""
        since = at - soak_evidence.STABILITY_S
        return self._in_touch(front, at) and self._evidence.undisturbed(
            soak_evidence.Part.SERVER, "", since, at
        )

    def _in_touch(self, front: str, at: float) -> bool:
        """Returns whether nothing kept a front from learning of a segment."""
        since = at - soak_evidence.STABILITY_S
        parts = soak_evidence.Part
        return all(
            self._evidence.undisturbed(part, name, since, at)
            for part, name in (
                (parts.FRONT, front),
                (parts.STORE, ""),
                (parts.MACHINE, ""),
            )
        )


def _share(sound: Sequence[_Sound]) -> float:
    return sum(s.served for s in sound) / len(sound)
