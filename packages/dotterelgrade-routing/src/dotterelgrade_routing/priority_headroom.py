"""Memory that less urgent requests leave free for more urgent ones.

Load pattern: a burst of less urgent requests fills memory within seconds,
before any request is refused. More urgent requests, and streams that lose a
stage, then find no free memory.
"""

from dotterelgrade_routing import admission
from dotterelgrade_routing import rank_demand

# Fraction of a mean answer for whose more urgent arrivals memory is kept.
# Answers end all the time, so that keeping it for longer leaves memory unused.
TURNOVER_ANSWERS = 0.125
# Less urgent requests are admitted up to here whatever the demand.
MIN_LIMIT = 0.5
# Share of memory kept for streams that lose a stage. Begun streams may exceed
# the limits of new ones, and if many servers are lost no headroom suffices.
MAX_MOVED_SHARE = 0.1
# Change of the exponent from the middle of the ranks to either end.
_EXPONENT_SPAN = 0.5


def limit(
    rank: int,
    *,
    demand: rank_demand.ServiceDemand,
    capacity: float,
    turnover_s: float,
) -> float:
    """Returns the utilization up to which a rank is admitted.

    Args:
        rank: The rank; 0 is the most urgent.
        demand: Demand for the service.
        capacity: Memory for requests of the service, tokens times layers.
        turnover_s: Time for whose more urgent arrivals memory is kept, s.
    """
    if rank <= 0 or capacity <= 0:
        return admission.MAX_UTILIZATION
    expected = demand.load_above(rank) * turnover_s
    moved = min(demand.moved, MAX_MOVED_SHARE * capacity)
    headroom = (expected + moved) / capacity
    return max(admission.MAX_UTILIZATION - headroom, MIN_LIMIT)


def cost_exponent(rank: int, *, demand: rank_demand.ServiceDemand) -> float:
    """Returns how strongly a rank prefers chains of low cost.

    The most urgent requests concentrate on fast chains with free memory, and
    less urgent ones spread to the others. If all requests have one rank, the
    exponent is that of requests without ranks.

    Args:
        rank: The rank; 0 is the most urgent.
        demand: Demand for the service.
    """
    offset = 1.0 - 2.0 * demand.position(rank)
    return admission.COST_EXPONENT + _EXPONENT_SPAN * offset
