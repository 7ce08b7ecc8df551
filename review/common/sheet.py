"""The model workers of the site's sheet, in its three zones."""

from collections.abc import Mapping

import deployment
import engines
import plain_servers

SERVICE = "grind-llm"
_ZONES = ("kigali-a", "musanze-b", "rulindo-c")
_COUNTS: Mapping[str, tuple[int, int, int]] = {
    "a100": (1, 2, 1),
    "v100": (10, 4, 6),
    "l4": (4, 4, 6),
}
_FIRST_WORKER_HOST = 100
_PLACED_TIMEOUT_S = 40.0


def start(made: deployment.Deployment) -> engines.Fleet:
    """Writes the configuration, starts workers and fronts, and waits.

    Args:
        made: The deployment, with fronts that are not started.

    Returns:
        The workers, which hold all layers.
    """
    fleet = engines.Fleet(made)
    made.write_configuration(
        [
            plain_servers.route(
                "drafts",
                SERVICE,
                "streaming",
                resumable=True,
                sticky=True,
                gap_target_ms=250,
            )
        ],
        [
            plain_servers.service(
                SERVICE, engine=engines.engine_description(engines.KINDS_MB)
            )
        ],
    )
    host = _FIRST_WORKER_HOST
    for kind, counts in _COUNTS.items():
        for zone, count in zip(_ZONES, counts, strict=True):
            for _ in range(count):
                engines.Engine(
                    fleet,
                    name=f"{kind}-{host}",
                    service=SERVICE,
                    kind=kind,
                    zone=zone,
                    address=(made.host(host), 0),
                ).start()
                host += 1
    for front in made.fronts:
        front.start()
    made.wait_until_ready()
    made.wait_for(
        lambda: fleet.all_layers_held,
        what="holder of each layer",
        timeout_s=_PLACED_TIMEOUT_S,
    )
    return fleet
