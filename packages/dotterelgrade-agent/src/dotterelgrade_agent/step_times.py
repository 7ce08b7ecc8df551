"""Smoothed durations of an engine's batches."""

_SMOOTHING = 0.2
_DECAY = 0.99
_GUESSED_STEP_MS = 5.0
_GUESSED_TOKEN_MS = 0.1
_MIN_PREFILL_TOKENS = 16
_MIN_CHUNK_TOKENS = 16
_MIN_TIME_LIMIT_S = 1.0
_TIME_LIMIT_FACTOR = 8.0
_MIN_VARIANCE = 0.05


class _Line:
    """A least-squares line through points that lose weight with age."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self._slope: float | None = None

    def add(self, x: float, y: float) -> None:
        self._weight = self._weight * _DECAY + 1.0
        self._x = self._x * _DECAY + x
        self._y = self._y * _DECAY + y
        self._xx = self._xx * _DECAY + x * x
        self._xy = self._xy * _DECAY + x * y
        self._update_slope()

    def _update_slope(self) -> None:
        mean_x = self._x / self._weight
        variance = self._xx / self._weight - mean_x * mean_x
        # While x hardly varies the last slope is the best that is known.
        if variance >= _MIN_VARIANCE:
            mean_y = self._y / self._weight
            covariance = self._xy / self._weight - mean_x * mean_y
            self._slope = max(covariance / variance, 0.0)

    @property
    def slope(self) -> float | None:
        """The slope, never negative; None until x has varied."""
        return self._slope


class StepTimes:
    """Learns what a batch costs: per step, per sequence, per prompt token."""

    def __init__(self) -> None:
        """Initializes without knowledge; guesses serve until there is some."""
        self._step_ms: float | None = None
        self._token_ms: float | None = None
        self._by_sequences = _Line()

    def __repr__(self) -> str:
        """Shows the durations."""
        return (
            f"<StepTimes {self.step_ms:.2f} ms, {self.sequence_ms:.3f} ms a "
            f"sequence, {self.token_ms:.4f} ms a prompt token>"
        )

    @property
    def step_ms(self) -> float:
        """Smoothed duration of a batch without prompts, ms; 0 if unknown."""
        return self._step_ms or 0.0

    @property
    def sequence_ms(self) -> float:
        """What each sequence adds to such a batch, ms; 0 if unknown."""
        return self._by_sequences.slope or 0.0

    @property
    def token_ms(self) -> float:
        """What each prompt token adds to a batch, ms; 0 if unknown."""
        return self._token_ms or 0.0

    def record(
        self, *, duration_ms: float, sequences: int, prefill_tokens: int
    ) -> None:
        """Learns from one batch.

        Args:
            duration_ms: How long it took, ms.
            sequences: How many sequences it held.
            prefill_tokens: How many prompt tokens it held.
        """
        if prefill_tokens == 0:
            self._step_ms = _smooth(self._step_ms, duration_ms)
            self._by_sequences.add(sequences, duration_ms)
        elif prefill_tokens >= _MIN_PREFILL_TOKENS:
            over_ms = max(duration_ms - self.step_ms, 0.0)
            self._token_ms = _smooth(self._token_ms, over_ms / prefill_tokens)

    def expected_ms(self, *, prefill_tokens: int) -> float:
        """Returns how long a batch is likely to take, ms."""
        step_ms = self._step_ms or _GUESSED_STEP_MS
        token_ms = self._token_ms or _GUESSED_TOKEN_MS
        return step_ms + token_ms * prefill_tokens

    def prefill_budget(self, *, stretch: float, most: int) -> int:
        """Returns how many prompt tokens fit into a batch.

        Args:
            stretch: How much longer they may make the batch, as a share of
                its duration without them.
            most: Upper limit of the answer.

        Returns:
            At least a few tokens, so that no prompt waits for ever.
        """
        spare_ms = stretch * self.expected_ms(prefill_tokens=0)
        token_ms = self._token_ms or _GUESSED_TOKEN_MS
        return min(max(int(spare_ms / token_ms), _MIN_CHUNK_TOKENS), most)

    def time_limit_s(self, *, prefill_tokens: int, most_s: float) -> float:
        """Returns how long to wait for a batch before giving it up, s.

        Args:
            prefill_tokens: How many prompt tokens it holds.
            most_s: Upper limit of the answer, s.
        """
        if self._step_ms is None:
            return most_s
        if prefill_tokens and self._token_ms is None:
            return most_s
        expected_s = self.expected_ms(prefill_tokens=prefill_tokens) / 1000
        limit_s = max(expected_s * _TIME_LIMIT_FACTOR, _MIN_TIME_LIMIT_S)
        return min(limit_s, most_s)


def _smooth(old: float | None, new: float) -> float:
    if old is None:
        return new
    return old + _SMOOTHING * (new - old)
