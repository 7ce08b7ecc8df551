"""Load balancing over the backend servers of a plain service.

Load pattern: a few backend servers with few slots, some of them slow, shutting
down or failing. The one with the fewest requests of this front in flight comes
first, and those that failed recently come last, so that they are still used if
all have failed.
"""

from collections.abc import Collection, Iterable, Mapping
import random

from dotterelgrade_routing import backend_server

# Penalty for a backend server in another failure domain, in requests.
OTHER_DOMAIN_REQUESTS = 0.5


def choose(
    servers: Iterable[backend_server.BackendServer],
    *,
    in_flight: Mapping[str, int],
    excluded: Collection[str],
    tried: Collection[str],
    failure_domain: str,
    rng: random.Random,
) -> backend_server.BackendServer | None:
    """Chooses a backend server.

    Args:
        servers: Backend servers that accept new work.
        in_flight: This front's requests in flight by backend server.
        excluded: Identifiers of those that failed recently.
        tried: Identifiers of those that this request was sent to.
        failure_domain: Failure domain of this front.
        rng: Breaks ties.

    Returns:
        The backend server, or None if all were tried.
    """
    untried = [server for server in servers if server.id not in tried]
    healthy = [server for server in untried if server.id not in excluded]

    def cost(server: backend_server.BackendServer) -> float:
        other_domain = server.failure_domain != failure_domain
        load = in_flight.get(server.id, 0)
        return load + other_domain * OTHER_DOMAIN_REQUESTS + rng.random() * 0.1

    return min(healthy or untried, key=cost, default=None)
