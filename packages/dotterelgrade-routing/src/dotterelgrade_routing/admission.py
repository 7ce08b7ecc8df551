"""Admission control for model requests, and the choice of their chain.

Load pattern: demand exceeds the memory of the backend servers, or some chains
are broken. A request that would only displace others is refused at once, with
the time until memory is likely to be free.

Requests queue at a stage that is nearly full, because reservations are
estimates and dozens of fronts decide from one snapshot of them. The cost of a
chain rises with its utilization as in a queue, and each front draws a chain at
random with weights from these costs, so that not all fronts take the cheapest.
"""

from collections.abc import Mapping, Sequence
import dataclasses

from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import reservations

# Reservations are estimates; the remainder absorbs longer answers.
MAX_UTILIZATION = 0.95
# A stream that has started continues even where memory is overcommitted: its
# caller has waited already, and not all reservations are used at once.
MAX_UTILIZATION_STARTED = 1.5
# A lost layer range is detected, reassigned and loaded within this time; an
# earlier retry would be refused again.
NO_CHAIN_RETRY_S = 2.5
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 3.0
# Spreads the retries of callers that are refused at the same time; a fraction
# of the retry time.
RETRY_JITTER = 0.5
# The cost of a chain grows with this power of 1 / (free share).
UTILIZATION_EXPONENT = 2.0
MIN_FREE_SHARE = 0.02
MIN_STEP_S = 1e-6
# A chain in another failure domain uses the links between domains.
OTHER_DOMAIN_FACTOR = 1.25
# The weight of a chain falls with this power of its cost. With a higher power,
# dozens of fronts take the same chain; with a lower one, a slow chain gets as
# many requests as a fast one.
COST_EXPONENT = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """An admitted request.

    Attributes:
        chain: The chain that runs it.
        utilization: Reserved share of the fullest stage's memory, with this
            request.
    """

    chain: chain_choice.Chain
    utilization: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """A refused request.

    Attributes:
        reason: Why, in one clause.
        retry_after_s: Time until the caller should retry, s.
    """

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Terms:
    """Terms under which a request that has not begun is admitted.

    Attributes:
        limit: Utilization up to which chains are preferred.
        max_utilization: Utilization up to which it is admitted at all.
        cost_exponent: The weight of a chain falls with this power of its cost.
        workspace_over: Whether its workspace has more than its share.
    """

    limit: float = MAX_UTILIZATION
    max_utilization: float = MAX_UTILIZATION
    cost_exponent: float = COST_EXPONENT
    workspace_over: bool = False


UNIFORM_TERMS = Terms()


def decide(
    chains: Sequence[chain_choice.Chain],
    *,
    tokens: float,
    answer_tokens: float,
    load: reservations.Reservations,
    memory: Mapping[str, float],
    failure_domain: str,
    chance: float,
    begun: bool = False,
    held_off_s: float = 0.0,
    terms: Terms = UNIFORM_TERMS,
    other_domain_factor: float = OTHER_DOMAIN_FACTOR,
) -> Admitted | Refused:
    """Chooses a chain for a request, or refuses it.

    Args:
        chains: The chains to choose from.
        tokens: Maximum tokens of the prompt and the answer.
        answer_tokens: Expected tokens of the answer.
        load: Reservations at the backend servers.
        memory: Memory for requests by backend server, tokens times layers.
        failure_domain: Failure domain of this front.
        chance: Random number from 0 to 1 for this request.
        begun: Whether the caller has received events already.
        held_off_s: Time until the first full backend server accepts requests
            again, s, or 0 if none is held off.
        terms: Terms of a request that has not begun.
        other_domain_factor: Factor of the cost of a chain in another failure
            domain.
    """
    max_utilization = (
        MAX_UTILIZATION_STARTED if begun else terms.max_utilization
    )
    retry_jitter = 1.0 + RETRY_JITTER * chance
    if not chains and held_off_s:
        return Refused(
            reason="backend servers full",
            retry_after_s=held_off_s * retry_jitter,
        )
    if not chains:
        return Refused(
            reason="no chain", retry_after_s=NO_CHAIN_RETRY_S * retry_jitter
        )
    options = [
        Admitted(
            chain=chain,
            utilization=utilization_with(chain, tokens, load, memory),
        )
        for chain in chains
    ]
    for limit in (terms.limit, terms.max_utilization):
        below_limit = [o for o in options if o.utilization <= limit]
        if below_limit:
            weights = [
                _cost(option, failure_domain, other_domain_factor)
                ** -terms.cost_exponent
                for option in below_limit
            ]
            return _draw_weighted(below_limit, weights, chance)
    best = min(options, key=lambda option: option.utilization)
    if best.utilization <= max_utilization:
        return best
    # Memory is freed as answers end, which takes half an answer on average.
    wait_s = (
        best.chain.step_s
        * answer_tokens
        * (best.utilization - max_utilization + 0.5)
    )
    wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    reason = "memory of backend servers full"
    if best.utilization <= MAX_UTILIZATION:
        reason = "memory kept for more urgent requests"
    return Refused(
        reason=reason,
        retry_after_s=wait_s * retry_jitter,
    )


def _draw_weighted(
    options: Sequence[Admitted], weights: Sequence[float], chance: float
) -> Admitted:
    """Returns a random option, weighted towards the lower cost."""
    remaining = chance * sum(weights)
    for option, weight in zip(options, weights, strict=True):
        remaining -= weight
        if remaining < 0:
            return option
    return options[-1]


def utilization_with(
    chain: chain_choice.Chain,
    tokens: float,
    load: reservations.Reservations,
    memory: Mapping[str, float],
) -> float:
    """Returns the utilization of the fullest stage with one more request."""
    return max(
        (load.used(stage.server_id) + tokens * len(stage.layers))
        / max(memory.get(stage.server_id, 0.0), 1.0)
        for stage in chain.stages
    )


def _cost(
    option: Admitted, failure_domain: str, other_domain_factor: float
) -> float:
    free_share = max(1.0 - option.utilization, MIN_FREE_SHARE)
    other_domain = option.chain.first.failure_domain != failure_domain
    factor = other_domain_factor if other_domain else 1.0
    return (
        factor
        * max(option.chain.step_s, MIN_STEP_S)
        / free_share**UTILIZATION_EXPONENT
    )
