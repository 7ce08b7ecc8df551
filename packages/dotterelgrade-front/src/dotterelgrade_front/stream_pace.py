"""When the events of one stream were passed on."""

# Fewer events say little about a stream's pace.
_FEW_EVENTS = 4


class StreamPace:
    """Counts the events of a stream and measures the pauses between them."""

    def __init__(self, received_at: float) -> None:
        """Initializes the pace of a stream without events.

        Args:
            received_at: Monotonic time at which the request arrived, s.
        """
        self._first_at = self._last_at = received_at
        self._events = 0
        self._first_event_s = 0.0
        self._longest_pause_s = 0.0
        self._pause_after = 0

    def __repr__(self) -> str:
        """Shows the number of events and the longest pause."""
        return f"<StreamPace {self._events}, {self._longest_pause_s:.3f} s>"

    @property
    def events(self) -> int:
        """Events that were passed on."""
        return self._events

    @property
    def last_at(self) -> float:
        """Monotonic time of the last event, or of the request before it, s."""
        return self._last_at

    @property
    def first_event_s(self) -> float:
        """Time from the request to its first event, s; 0 before it."""
        return self._first_event_s

    @property
    def longest_pause_s(self) -> float:
        """Longest time between events, s."""
        return self._longest_pause_s

    @property
    def pause_after(self) -> int:
        """How many events came before the longest pause."""
        return self._pause_after

    @property
    def usual_pause_s(self) -> float:
        """Mean time between events, s; 0 before there are a few."""
        if self._events < _FEW_EVENTS:
            return 0.0
        return (self._last_at - self._first_at) / (self._events - 1)

    def note(self, count: int, *, at: float) -> None:
        """Takes in events that were passed on together.

        Args:
            count: How many; at least one.
            at: Monotonic time, s.
        """
        pause_s = at - self._last_at
        if not self._events:
            self._first_event_s = pause_s
            self._first_at = at
        elif pause_s > self._longest_pause_s:
            self._longest_pause_s = pause_s
            self._pause_after = self._events
        self._events += count
        self._last_at = at
