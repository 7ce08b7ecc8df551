"""Smoothed durations of an engine's batches."""

_SMOOTHING = 0.2
_FIRST_STEP_MS = 5.0
_FIRST_TOKEN_MS = 0.1
_MIN_PREFILL_TOKENS = 16
_MIN_CHUNK_TOKENS = 16
_MIN_TIME_LIMIT_S = 1.0
_TIME_LIMIT_FACTOR = 8.0
_TIMED_BATCHES = 20


class StepTimes:
    """Learns what a batch costs: a base for the step and a cost per token."""

    def __init__(self) -> None:
        """Initializes with guesses that the first batches replace."""
        self._step_ms = _FIRST_STEP_MS
        self._token_ms = _FIRST_TOKEN_MS
        self._steps_seen = 0
        self._prefills_seen = 0

    def __repr__(self) -> str:
        """Shows both durations."""
        return f"<StepTimes {self._step_ms:.2f} + {self._token_ms:.4f} ms>"

    @property
    def step_ms(self) -> float:
        """Smoothed duration of a batch without prompt tokens, ms."""
        return self._step_ms

    @property
    def token_ms(self) -> float:
        """Smoothed additional duration per prompt token, ms."""
        return self._token_ms

    def record(self, *, duration_ms: float, prefill_tokens: int) -> None:
        """Learns from one batch.

        Args:
            duration_ms: How long it took, ms.
            prefill_tokens: How many prompt tokens it held.
        """
        if prefill_tokens == 0:
            self._step_ms = _smooth(
                self._step_ms, duration_ms, self._steps_seen
            )
            self._steps_seen += 1
        elif prefill_tokens >= _MIN_PREFILL_TOKENS:
            over_ms = max(duration_ms - self._step_ms, 0.0)
            self._token_ms = _smooth(
                self._token_ms, over_ms / prefill_tokens, self._prefills_seen
            )
            self._prefills_seen += 1

    def expected_ms(self, *, prefill_tokens: int) -> float:
        """Returns how long a batch is likely to take, ms."""
        return self._step_ms + self._token_ms * prefill_tokens

    def prefill_budget(self, *, target_ms: float, most: int) -> int:
        """Returns how many prompt tokens fit into a batch.

        Args:
            target_ms: Duration that the batch shall not exceed, ms.
            most: Upper limit of the answer.

        Returns:
            At least a few tokens, so that no prompt waits for ever.
        """
        spare_ms = max(target_ms - self._step_ms, 0.0)
        fitting = int(spare_ms / max(self._token_ms, 1e-6))
        return min(max(fitting, _MIN_CHUNK_TOKENS), most)

    def time_limit_s(self, *, prefill_tokens: int, most_s: float) -> float:
        """Returns how long to wait for a batch before giving it up, s.

        Args:
            prefill_tokens: How many prompt tokens it holds.
            most_s: Upper limit of the answer, s.
        """
        if self._steps_seen + self._prefills_seen < _TIMED_BATCHES:
            return most_s
        expected_s = self.expected_ms(prefill_tokens=prefill_tokens) / 1000
        limit_s = max(expected_s * _TIME_LIMIT_FACTOR, _MIN_TIME_LIMIT_S)
        return min(limit_s, most_s)


def _smooth(old: float, new: float, seen: int) -> float:
    if seen == 0:
        return new
    return old + _SMOOTHING * (new - old)
