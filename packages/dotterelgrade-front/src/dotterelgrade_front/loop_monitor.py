"""Measures how late the event loop runs its timers.

Load pattern: a weak host decodes a configuration, applies a list or plans, and
no event of any stream is passed on meanwhile.
"""

import time

import gevent

from dotterelgrade_front import front_state

CHECK_INTERVAL_S = 0.1
# A delay that is logged; several of them make a stream's pause too long.
_LOGGED_DELAY_S = 0.05
# Bounds the log of a host that is overloaded throughout.
_MIN_LOG_INTERVAL_S = 0.5


class LoopMonitor:
    """Records the delay of a timer in the event loop."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes a monitor; `run` starts it.

        Args:
            state: Shared by the front's greenlets.
        """
        self._state = state
        self._logged_at = float("-inf")

    def __repr__(self) -> str:
        """Shows the host."""
        return f"<LoopMonitor of {self._state.settings.node}>"

    def run(self) -> None:
        """Measures until the greenlet is killed."""
        while True:
            due_at = time.monotonic() + CHECK_INTERVAL_S
            gevent.sleep(CHECK_INTERVAL_S)
            self.note_delay(time.monotonic() - due_at)

    def note_delay(self, delay_s: float) -> None:
        """Records how late a timer ran, s."""
        self._state.metrics.loop_delay.record(delay_s)
        now = time.monotonic()
        if delay_s < _LOGGED_DELAY_S:
            return
        if now - self._logged_at < _MIN_LOG_INTERVAL_S:
            return
        self._logged_at = now
        self._state.decisions.record(
            "event_loop_delayed",
            reason="work without a break, or too little processor time",
            delay_s=round(delay_s, 3),
            in_flight=self._state.load.in_flight,
        )
