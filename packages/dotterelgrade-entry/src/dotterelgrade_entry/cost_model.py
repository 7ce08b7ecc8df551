"""Predicts how long a backend server and a link take, from stale reports."""

import dataclasses

from dotterelgrade_entry import backend_view

DEFAULT_STEP_S = 0.005
DEFAULT_TOKEN_S = 0.0001
DEFAULT_RTT_S = 0.001
_MS_PER_S = 1000
# Part of an unloaded step that a further sequence adds: when not known, and
# the limits of what is believed, so that engines stay comparable while only
# some of them have a fit.
_DEFAULT_GROWTH = 0.05
_LEAST_GROWTH = 0.03
_MOST_GROWTH = 0.1
# Steps are longer by this part while prompts wait.
_PROMPT_STRETCH = 0.2
# Part of the sequences held that is in one step; the others are on their way
# through the other stages.
_IN_STEP = 0.5
# Sequences that a backend server which is new or came back counts as more.
_COLD_SEQUENCES = 2.0
_OWN_WEIGHT = 0.03
_UNTRIED_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Predicted latency, over one stage or a whole chain.

    Attributes:
        first_token_s: Until the first token, s.
        between_tokens_s: Between two tokens, s.
        others_first_s: Delay that the prompt causes to other requests, s.
        others_between_s: The same for each generated token, s.
    """

    first_token_s: float = 0.0
    between_tokens_s: float = 0.0
    others_first_s: float = 0.0
    others_between_s: float = 0.0

    def plus(self, other: "Cost") -> "Cost":
        """Returns the sum of two costs."""
        return Cost(
            self.first_token_s + other.first_token_s,
            self.between_tokens_s + other.between_tokens_s,
            self.others_first_s + other.others_first_s,
            self.others_between_s + other.others_between_s,
        )

    def own_s(self, tokens: int) -> float:
        """Returns how long an answer takes, s.

        Args:
            tokens: Number of tokens to generate.
        """
        return self.first_token_s + self.between_tokens_s * max(tokens - 1, 0)

    def total_s(self, tokens: int) -> float:
        """Returns what an answer costs its caller and all others, s.

        Inside the bound, being quicker is worth little to the caller, but a
        quick backend server that is kept free is worth much to the others.

        Args:
            tokens: Number of tokens to generate.
        """
        others_s = self.others_between_s * max(tokens - 1, 0)
        own_s = self.own_s(tokens)
        return _OWN_WEIGHT * own_s + self.others_first_s + others_s


def sequence_s(view: backend_view.BackendView) -> float:
    """Returns what one more sequence adds to a step, s."""
    unloaded_s = _unloaded_step_s(view)
    known_s = view.report.sequence_ms / _MS_PER_S
    if not known_s:
        return unloaded_s * _DEFAULT_GROWTH
    least_s, most_s = unloaded_s * _LEAST_GROWTH, unloaded_s * _MOST_GROWTH
    return min(max(known_s, least_s), most_s)


def _reported_step_s(view: backend_view.BackendView) -> float:
    return view.step_ms / _MS_PER_S or DEFAULT_STEP_S


def _unloaded_step_s(view: backend_view.BackendView) -> float:
    held = view.report.sequences * _IN_STEP
    return _reported_step_s(view) / (1 + _DEFAULT_GROWTH * held)


def token_s(view: backend_view.BackendView) -> float:
    """Returns the predicted time of one decode step with one more sequence.

    The reported step is scaled to the batch that own work since the report
    leads to.
    """
    more = view.sequences + 1 - view.report.sequences
    more += (1 - view.warmth) * _COLD_SEQUENCES * view.sequences
    step = _reported_step_s(view) + more * _IN_STEP * sequence_s(view)
    if view.queued_tokens:
        step *= 1 + _PROMPT_STRETCH
    if view.is_untried:
        # One request is worth knowing how quick it is.
        step *= _UNTRIED_PART
    return max(step, sequence_s(view))


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
    per_token = view.token_ms / _MS_PER_S or DEFAULT_TOKEN_S
    own = max(prompt_tokens - cached_tokens, 1) * per_token
    decode = token_s(view)
    others = view.sequences
    # A step that arrives during a batch waits for half of it on average.
    wait = decode / 2 if others else 0.0
    return Cost(
        wait + decode + view.queued_tokens * per_token + own,
        wait + decode,
        others * own * _IN_STEP,
        others * sequence_s(view) * _IN_STEP,
    )


def link(one_way_s: float) -> Cost:
    """Returns the cost of one link, which every token crosses once."""
    return Cost(one_way_s, one_way_s)


def link_score(one_way_s: float, tokens: int) -> float:
    """Returns `link(one_way_s).total_s(tokens)` without the objects."""
    return _OWN_WEIGHT * one_way_s * max(tokens, 1)
