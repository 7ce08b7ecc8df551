"""Which backend server of a plain service takes a request.

Load pattern: a few backend servers with few slots, some of them slow, leaving
or failing. The one with the fewest own requests in flight comes first, those
that failed lately last; if all have failed, they are used all the same.
"""

from collections.abc import Collection, Iterable, Mapping
import random

from dotterelgrade_routing import backend_server

# A backend server in another failure domain counts as so many requests more.
FOREIGN_REQUESTS = 0.5


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
        servers: Those that take new work.
        in_flight: Own requests in flight by backend server.
        excluded: Those that failed lately.
        tried: Those that this request has been sent to.
        failure_domain: Where the front runs.
        rng: Breaks ties.

    Returns:
        The backend server, or None when all were tried.
    """
    left = [server for server in servers if server.id not in tried]
    trusted = [server for server in left if server.id not in excluded]

    def price(server: backend_server.BackendServer) -> float:
        foreign = server.failure_domain != failure_domain
        load = in_flight.get(server.id, 0)
        return load + foreign * FOREIGN_REQUESTS + rng.random() * 0.1

    return min(trusted or left, key=price, default=None)
