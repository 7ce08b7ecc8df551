"""Timing of the events of one stream."""

# The mean of fewer events is not meaningful.
_MIN_EVENTS_FOR_MEAN = 4


class StreamPace:
    """Counts the events of a stream and measures the pauses between them."""

    def __init__(self, received_at: float) -> None:
        """Initializes the pace of a stream without events.

        Args:
            received_at: Monotonic time at which the request was received, s.
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
        """Number of events passed on."""
        return self._events

    @property
    def last_at(self) -> float:
        """Monotonic time of the last event, or of the request if none, s."""
        return self._last_at

    @property
    def first_event_s(self) -> float:
        """Time from the request to its first event, s; 0 until then."""
        return self._first_event_s

    @property
    def longest_pause_s(self) -> float:
        """Longest time between events, s."""
        return self._longest_pause_s

    @property
    def pause_after(self) -> int:
        """Number of events before the longest pause."""
        return self._pause_after

    @property
    def mean_pause_s(self) -> float:
        """Mean time between events, s; 0 while there are too few."""
        if self._events < _MIN_EVENTS_FOR_MEAN:
            return 0.0
        return (self._last_at - self._first_at) / (self._events - 1)

    def record_events(self, count: int, *, at: float) -> None:
        """Records events that were passed on together.

        Args:
            count: Number of events; at least one.
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
