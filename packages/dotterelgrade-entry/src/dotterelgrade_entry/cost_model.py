"""Predicts how long a backend server and a link take, from stale reports."""

import dataclasses

from dotterelgrade_entry import backend_view

DEFAULT_STEP_S = 0.005
DEFAULT_TOKEN_S = 0.0002
DEFAULT_RTT_S = 0.001
# Share of a step at batch size one that each further sequence adds.
BATCH_GROWTH = 0.05
_COLD_BATCH = 4.0
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """Predicted latency, over one stage or a whole chain.

    Attributes:
        first_token_s: Until the first token, s.
        between_tokens_s: Between two tokens, s.
    """

    first_token_s: float = 0.0
    between_tokens_s: float = 0.0

    def plus(self, other: "Cost") -> "Cost":
        """Returns the sum of two costs."""
        return Cost(
            first_token_s=self.first_token_s + other.first_token_s,
            between_tokens_s=self.between_tokens_s + other.between_tokens_s,
        )

    def total_s(self, tokens: int) -> float:
        """Returns the predicted duration of a whole answer, s."""
        return self.first_token_s + self.between_tokens_s * max(tokens - 1, 0)


def token_s(view: backend_view.BackendView) -> float:
    """Returns the predicted time of one decode step with one more sequence.

    The reported step is scaled to the batch size that own work since the
    report leads to.
    """
    report = view.report
    reported = report.step_ms / _MS_PER_S or DEFAULT_STEP_S
    batch = view.sequences + 1
    reported_batch = max(report.sequences, 1)
    # A backend server that is new or came back is given work gradually.
    batch += (1 - view.warmth) * _COLD_BATCH * view.sequences
    scale = (1 + BATCH_GROWTH * batch) / (1 + BATCH_GROWTH * reported_batch)
    return reported * scale


def stage(
    view: backend_view.BackendView, *, prompt_tokens: int, cached_tokens: int
) -> Cost:
    """Returns the predicted cost of one stage.

    Args:
        view: The backend server.
        prompt_tokens: Length of the prompt.
        cached_tokens: How many of them the engine's cache saves.

    Returns:
        The cost without links.
    """
    report = view.report
    per_token = report.token_ms / _MS_PER_S or DEFAULT_TOKEN_S
    waiting = view.queued_tokens + max(prompt_tokens - cached_tokens, 1)
    decode = token_s(view)
    # A step that arrives during a batch waits for half of it on average.
    wait = decode / 2 if view.sequences else 0.0
    return Cost(
        first_token_s=wait + decode + waiting * per_token,
        between_tokens_s=wait + decode,
    )


def link(one_way_s: float) -> Cost:
    """Returns the cost of one link, which every token crosses once."""
    return Cost(first_token_s=one_way_s, between_tokens_s=one_way_s)
