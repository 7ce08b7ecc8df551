"""Load of a model service in each failure domain, from its chains."""

from collections.abc import Callable, Mapping, Sequence

from dotterelgrade_routing import admission
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import crossing_health
from dotterelgrade_routing import domain_load
from dotterelgrade_routing import reservations


def by_domain(
    chains: Sequence[chain_choice.Chain],
    *,
    engine: configuration.Engine,
    load: reservations.Reservations,
    memory: Mapping[str, float],
    health: crossing_health.CrossingHealth,
    now: float,
) -> list[domain_load.DomainLoad]:
    """Returns the load in each failure domain where a chain begins.

    Args:
        chains: The chains to choose from.
        engine: Figures of the model.
        load: Reservations at the backend servers.
        memory: Memory for requests by backend server, tokens times layers.
        health: Observed links to other domains.
        now: Monotonic time, s.
    """

    def utilization(chain: chain_choice.Chain) -> float:
        return admission.utilization_with(
            chain, engine.mean_tokens, load, memory
        )

    domains: dict[str, list[chain_choice.Chain]] = {}
    for chain in chains:
        domains.setdefault(chain.first.failure_domain, []).append(chain)
    return [
        _load_of(
            domain,
            found,
            utilization=utilization,
            engine=engine,
            memory=memory,
            health=health,
            now=now,
        )
        for domain, found in domains.items()
    ]


def held_by_domain(
    chains: Sequence[chain_choice.Chain],
    own: Mapping[str, float],
    *,
    fronts: float,
) -> dict[str, float]:
    """Returns the memory that requests of the home domain hold in each one.

    Args:
        chains: The chains to choose from.
        own: This front's reservations by backend server.
        fronts: Number of fronts in the home domain, which are assumed to hold
            as much as this one.
    """
    domains = {
        stage.server_id: chain.first.failure_domain
        for chain in chains
        for stage in chain.stages
    }
    held: dict[str, float] = {}
    for server_id, domain in domains.items():
        used = own.get(server_id, 0.0) * fronts
        held[domain] = held.get(domain, 0.0) + used
    return held


def _load_of(
    domain: str,
    chains: Sequence[chain_choice.Chain],
    *,
    utilization: Callable[[chain_choice.Chain], float],
    engine: configuration.Engine,
    memory: Mapping[str, float],
    health: crossing_health.CrossingHealth,
    now: float,
) -> domain_load.DomainLoad:
    servers = {stage.server_id for chain in chains for stage in chain.stages}
    capacity = max(sum(memory.get(server, 0.0) for server in servers), 1.0)
    loads = [
        domain_load.DomainLoad(
            failure_domain=domain,
            service_s=max(chain.step_s, admission.MIN_STEP_S)
            * max(engine.mean_answer_tokens, 1.0),
            utilization=utilization(chain),
            capacity=capacity,
            crossing_s=health.crossing_s(domain),
            usable=health.usable(domain, now=now),
        )
        for chain in chains
    ]
    return min(loads, key=lambda load: load.expected_s)
