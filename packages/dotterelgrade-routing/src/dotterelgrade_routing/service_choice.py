"""Choice of a route's service, and of a plain service's backend server.

Load pattern: a few backend servers with few slots, some of them slow, shutting
down or failing. The one with the fewest requests of this front in flight comes
first, and those that failed recently come last, so that they are still used if
all have failed.
"""

from collections.abc import Collection, Iterable, Mapping
import random

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration

# Penalty for a backend server in another failure domain, in requests.
OTHER_DOMAIN_REQUESTS = 0.5


def draw_service(
    current: configuration.Configuration,
    route: configuration.Route,
    *,
    rng: random.Random,
) -> configuration.Service | None:
    """Draws the service of a request by the weights of its route.

    Weights that are not positive and finite count as zero; if all do, the
    services are alike.

    Args:
        current: The configuration in force.
        route: The route, with any weights.
        rng: Draws the service.

    Returns:
        A service of the configuration, or None if the route names none.
    """
    shares = [s for s in route.services if current.service(s.service)]
    if not shares:
        return None
    weights = [
        share.weight if 0 < share.weight < float("inf") else 0.0
        for share in shares
    ]
    largest = max(weights)
    if not largest:
        return current.service(rng.choice(shares).service)
    # The sum of huge weights would be infinite.
    weights = [weight / largest for weight in weights]
    (drawn,) = rng.choices(shares, weights)
    return current.service(drawn.service)


def choose(
    servers: Iterable[backend_server.BackendServer],
    *,
    in_flight: Mapping[str, int],
    excluded: Collection[str],
    tried: Collection[str],
    failure_domain: str,
    rng: random.Random,
    other_domain_requests: float = OTHER_DOMAIN_REQUESTS,
) -> backend_server.BackendServer | None:
    """Chooses a backend server.

    Args:
        servers: Backend servers that accept new work.
        in_flight: This front's requests in flight by backend server.
        excluded: Identifiers of those that failed recently.
        tried: Identifiers of those that this request was sent to.
        failure_domain: Failure domain of this front.
        rng: Breaks ties.
        other_domain_requests: Penalty for another failure domain, in requests.

    Returns:
        The backend server, or None if all were tried.
    """
    untried = [server for server in servers if server.id not in tried]
    healthy = [server for server in untried if server.id not in excluded]

    def cost(server: backend_server.BackendServer) -> float:
        other_domain = server.failure_domain != failure_domain
        load = in_flight.get(server.id, 0)
        return load + other_domain * other_domain_requests + rng.random() * 0.1

    return min(healthy or untried, key=cost, default=None)
