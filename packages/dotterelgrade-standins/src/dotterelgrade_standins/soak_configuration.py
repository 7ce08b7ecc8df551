"""Versions of the configuration that operators write during a soak."""

import dataclasses
import random

from dotterelgrade_routing import configuration

HOST = "shop.example"
KEY = "key-of-bench"
SPARE_KEY = "spare-key-of-bench"
WORKSPACE = "bench"
LONGEST_TIMEOUT_S = 6.0
_TIMEOUTS_S = (LONGEST_TIMEOUT_S, 4.0)
_IDLE_TIMEOUTS_S = (15.0, 1.0)
_OTHER_SHARES = (0.0, 0.5)
ENGINE = configuration.Engine(
    layers=12,
    layer_mb=100,
    token_layer_bytes=500,
    step_s=0.01,
    prefill_tokens_per_s=1e5,
    load_s=0.5,
    loads_at_once=4,
    mean_prompt_tokens=100,
    mean_answer_tokens=60,
    accelerators=(
        configuration.Accelerator(
            name="kind", memory_mb=1_000, step_factor=1.0, prefill_factor=1.0
        ),
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Variant:
    """What differs between versions of the configuration.

    Attributes:
        changing: Whether it holds the changing route.
        spare_key: Whether it holds the spare key.
        plain_timeout_s: Timeout of the plain routes, s.
        idle_timeout_s: Timeout of idle connections, s.
        other_share: Share of the requests of the idempotent route that goes to
            the other plain service; at 0 there is no such service.
    """

    changing: bool = False
    spare_key: bool = True
    plain_timeout_s: float = LONGEST_TIMEOUT_S
    idle_timeout_s: float = 15.0
    other_share: float = 0.0


def draw(rng: random.Random, *, changing: bool) -> Variant:
    """Draws what the next version holds.

    Args:
        rng: Draws it.
        changing: Whether it holds the changing route.
    """
    return Variant(
        changing=changing,
        spare_key=rng.random() < 0.5,
        plain_timeout_s=rng.choice(_TIMEOUTS_S),
        idle_timeout_s=rng.choice(_IDLE_TIMEOUTS_S),
        other_share=rng.choice(_OTHER_SHARES),
    )


def make(version: int, variant: Variant) -> configuration.Configuration:
    """Returns a version of the configuration.

    Args:
        version: Its number.
        variant: What it holds.
    """
    spare = (SPARE_KEY,) if variant.spare_key else ()
    return configuration.Configuration(
        version=version,
        routes=_routes(variant),
        services=_services(variant),
        limits=configuration.ClientLimits(
            idle_timeout_s=variant.idle_timeout_s
        ),
        workspaces=(
            configuration.Workspace(
                name=WORKSPACE, api_keys=(KEY, *spare), priority=None
            ),
        ),
    )


def _routes(variant: Variant) -> tuple[configuration.Route, ...]:
    other = ()
    if variant.other_share:
        other = (
            configuration.ServiceWeight(
                service="other", weight=variant.other_share
            ),
        )
    safe, *rest = STEADY_ROUTES
    safe = dataclasses.replace(safe, services=(*safe.services, *other))
    extra = (CHANGING_ROUTE,) if variant.changing else ()
    return tuple(
        found
        if found.streaming
        else dataclasses.replace(found, timeout_s=variant.plain_timeout_s)
        for found in (safe, *rest, *extra)
    )


def _services(variant: Variant) -> tuple[configuration.Service, ...]:
    plain = ("plain", "other") if variant.other_share else ("plain",)
    return (
        *(
            configuration.Service(name=name, max_connections=500, engine=None)
            for name in plain
        ),
        configuration.Service(name="model", max_connections=500, engine=ENGINE),
    )


def _route(name: str, service: str, **rest: object) -> configuration.Route:
    """Returns a route that is reached at `/NAME/`."""
    flags = {"idempotent": False, "streaming": False, "resumable": False}
    return configuration.Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        services=(configuration.ServiceWeight(service=service, weight=1.0),),
        **{**flags, **rest},
        timeout_s=LONGEST_TIMEOUT_S,
        objective_s=0.5,
        longest_pause_s=0.25,
        priority=1,
        max_attempts=3,
        public=False,
    )


STEADY_ROUTES = (
    _route("safe", "plain", idempotent=True),
    _route("unsafe", "plain"),
    _route("stream", "model", streaming=True, resumable=True),
    _route("once", "model", streaming=True),
)
CHANGING_ROUTE = _route("changing", "plain", idempotent=True)
