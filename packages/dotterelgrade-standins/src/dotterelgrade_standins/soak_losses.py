"""Judges requests of a soak whose connection ended without a whole answer.

A front must answer what it has read. Whether it did is judged from the caller's
side, at any time and beside stops, reloads and changes of the configuration;
neither an outage of the store nor a sound server that is silent excuses it.
"""

import dataclasses
import time

from dotterelgrade_standins import soak_evidence

# A request that crosses the close of its connection may end unread so soon
# after it was sent.
CROSSING_S = 0.2
# A stop may cut a request that was sent so soon after its signal, and that a
# backend server still works on in this last part of the grace period.
SENT_AFTER_STOP_S = 3.0
LAST_PART_OF_GRACE = 1 / 6


@dataclasses.dataclass(kw_only=True)
class Stop:
    """A graceful stop of one process of a front.

    Attributes:
        began_at: Monotonic time of its first signal, s.
        grace_s: Time from then until it is killed, s.
        ended_at: Monotonic time at which the process had ended, s.
    """

    began_at: float
    grace_s: float
    ended_at: float = float("inf")

    @property
    def last_part_at(self) -> float:
        """Monotonic time from which it may cut what is at work, s."""
        return self.began_at + self.grace_s * (1 - LAST_PART_OF_GRACE)


class Losses:
    """Finds the requests that a front lost."""

    def __init__(self, evidence: soak_evidence.Evidence) -> None:
        """Initializes a judge.

        Args:
            evidence: What was seen; takes in what was lost.
        """
        self._evidence = evidence
        self._stops: dict[str, list[Stop]] = {}

    def __repr__(self) -> str:
        """Shows the stops so far."""
        return f"<Losses {self._stops}>"

    def stopping(self, front: str, *, grace_s: float) -> Stop:
        """Notes that the process of a front is told to stop.

        Args:
            front: Its name.
            grace_s: Time until it would be killed, s.

        Returns:
            The stop, which a further signal does not begin anew.
        """
        stops = self._stops.setdefault(front, [])
        if not stops or stops[-1].ended_at < float("inf"):
            stops.append(Stop(began_at=time.monotonic(), grace_s=grace_s))
        return stops[-1]

    def broken_off(
        self, sent: soak_evidence.Sent, reason: str, *, answer_began: bool
    ) -> None:
        """Judges a request whose connection has ended.

        Args:
            sent: The request.
            reason: How the connection ended.
            answer_began: Whether any byte of an answer has come.
        """
        now = time.monotonic()
        if self._is_excused(sent, now):
            return
        if answer_began:
            lost = self._is_cut_from_sound_server(sent, now)
        else:
            lost = self._was_read(sent, now)
        if lost:
            runs = self._evidence.runs.get(sent.request_id)
            self._evidence.broken(
                "lost", sent.request_id, f"{reason} at {sent.front}, {runs}"
            )

    def _is_excused(self, sent: soak_evidence.Sent, now: float) -> bool:
        if now - sent.begun_at >= sent.timeout_s:
            return True
        start = sent.sent_at - soak_evidence.STABILITY_S
        if not self._evidence.undisturbed(
            soak_evidence.Part.FRONT, sent.front, start, now
        ):
            return True
        return self._is_cut_by_stop(sent, now)

    def _is_cut_by_stop(self, sent: soak_evidence.Sent, now: float) -> bool:
        stop = self._stop_of(sent)
        if stop is None or now < stop.last_part_at:
            return False
        if sent.sent_at > stop.began_at + SENT_AFTER_STOP_S:
            return False
        runs = self._evidence.runs.get(sent.request_id, [])
        if not runs or any(run.answered for run in runs):
            return False
        return not runs[-1].ended_at or runs[-1].ended_at >= stop.last_part_at

    def _stop_of(self, sent: soak_evidence.Sent) -> Stop | None:
        """Returns the stop of the process that the request was sent to."""
        for stop in self._stops.get(sent.front, ()):
            if sent.sent_at <= stop.ended_at:
                return stop
        return None

    def _is_cut_from_sound_server(
        self, sent: soak_evidence.Sent, now: float
    ) -> bool:
        """Returns whether a server that took it on could have gone on."""
        return any(
            not run.broke_off
            and all(
                self._evidence.undisturbed(
                    soak_evidence.Part.SERVER, server, run.began_at, now
                )
                for server in run.servers
            )
            for run in self._evidence.runs.get(sent.request_id, ())
        )

    def _was_read(self, sent: soak_evidence.Sent, now: float) -> bool:
        """Returns whether the front had the request, and said nothing."""
        if sent.request_id in self._evidence.reached:
            return True
        return now - sent.sent_at > CROSSING_S and self._evidence.undisturbed(
            soak_evidence.Part.MACHINE, "", sent.sent_at, now
        )
