"""Whether a model request is let in, and over which chain.

Load pattern: callers press beyond what the backend servers' memory holds, or
a part of the chains is broken. A request that would only push out others is
refused at once, with the time until memory is likely to be free.

A stage that is nearly full lets requests wait, since reservations are estimates
and dozens of fronts decide from one snapshot of them. The price of a chain
rises with its fill as in a queue, and each front draws among the chains by
their prices, so that the cheapest one is not taken by all at once.
"""

from collections.abc import Mapping, Sequence
import dataclasses

from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import reservations

# Reservations are estimates; the rest absorbs answers longer than expected.
MOST_FILL = 0.95
# A stream that has begun goes on even where memory is reserved twice over: its
# caller has waited already, and not all reservations are used at once.
MOST_FILL_BEGUN = 1.5
# Within this time a lost range is noticed, ordered anew and loaded. Who comes
# back sooner is refused again.
REPAIR_S = 2.5
SHORTEST_RETRY_S = 0.25
LONGEST_RETRY_S = 3.0
# Callers that are refused together come back over this part of the time more.
RETRY_SPREAD = 0.5
# The price of a chain grows with this power of 1 / (free share).
FILL_POWER = 2.0
LEAST_FREE = 0.02
SHORTEST_STEP_S = 1e-6
# A chain in another failure domain loads the links between them.
FOREIGN_FACTOR = 1.25
# Chances fall with this power of the price. With more, dozens of fronts take
# the same chain; with less, a slow chain gets as much as a quick one.
SPREAD_POWER = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request is let in.

    Attributes:
        chain: The chain that it takes.
        fill: Reserved share of the chain's fullest stage, this one included.
    """

    chain: chain_choice.Chain
    fill: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The request is refused.

    Attributes:
        reason: Why, in one clause.
        retry_after_s: When it may come back, s.
    """

    reason: str
    retry_after_s: float


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
) -> Admitted | Refused:
    """Chooses a chain for a request, or refuses it.

    Args:
        chains: The chains to choose from.
        tokens: Tokens that the request will hold at most.
        answer_tokens: Tokens that it is expected to produce.
        load: Reservations at the backend servers.
        memory: Memory for requests by backend server, tokens times layers.
        failure_domain: Where this front runs.
        chance: From 0 to 1, drawn for this request.
        begun: Whether the caller has had events already.
        held_off_s: Time until the first full backend server may be asked again,
            s, or 0 if none asked to be left alone.
    """
    most_fill = MOST_FILL_BEGUN if begun else MOST_FILL
    later = 1.0 + RETRY_SPREAD * chance
    if not chains and held_off_s:
        return Refused(
            reason="backend servers full", retry_after_s=held_off_s * later
        )
    if not chains:
        return Refused(reason="no chain", retry_after_s=REPAIR_S * later)
    offers = [
        Admitted(chain=chain, fill=fill_with(chain, tokens, load, memory))
        for chain in chains
    ]
    with_room = [offer for offer in offers if offer.fill <= MOST_FILL]
    if with_room:
        return _draw(with_room, failure_domain, chance)
    best = min(offers, key=lambda offer: offer.fill)
    if best.fill <= most_fill:
        return best
    # Memory is freed as answers end; half of one is left on average.
    wait_s = best.chain.step_s * answer_tokens * (best.fill - most_fill + 0.5)
    wait_s = min(max(wait_s, SHORTEST_RETRY_S), LONGEST_RETRY_S)
    return Refused(
        reason="memory of backend servers full", retry_after_s=wait_s * later
    )


def _draw(
    offers: Sequence[Admitted], failure_domain: str, chance: float
) -> Admitted:
    """Returns one of several offers, a cheaper one with a better chance."""
    weights = [
        _price(offer, failure_domain) ** -SPREAD_POWER for offer in offers
    ]
    left = chance * sum(weights)
    for offer, weight in zip(offers, weights, strict=True):
        left -= weight
        if left < 0:
            return offer
    return offers[-1]


def fill_with(
    chain: chain_choice.Chain,
    tokens: float,
    load: reservations.Reservations,
    memory: Mapping[str, float],
) -> float:
    """Returns the fill of a chain's fullest stage with one more request."""
    return max(
        (load.used(stage.server_id) + tokens * len(stage.layers))
        / max(memory.get(stage.server_id, 0.0), 1.0)
        for stage in chain.stages
    )


def _price(offer: Admitted, failure_domain: str) -> float:
    free = max(1.0 - offer.fill, LEAST_FREE)
    foreign = offer.chain.first.failure_domain != failure_domain
    factor = FOREIGN_FACTOR if foreign else 1.0
    return factor * max(offer.chain.step_s, SHORTEST_STEP_S) / free**FILL_POWER
