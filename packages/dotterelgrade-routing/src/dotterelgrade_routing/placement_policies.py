"""Policies that distribute layers over free backend servers.

Load pattern: accelerators of unequal speed and memory, some of which are lost.
A chain is limited by its smallest KV cache capacity, its speed and the number
of its stages. `placement` decides when a policy is applied.
"""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from dotterelgrade import registry
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range

# Fewest usual requests that a stage must have capacity for.
MIN_REQUESTS_PER_STAGE = 16.0
# Capacities are tried in steps of this ratio, from the least one up.
CAPACITY_RATIO = 1.15
CAPACITY_STEPS = 48
# Capacity for more usual requests than this has no benefit. A chain of many
# small stages has it, but each further stage slows every token and can fail;
# free servers that double held layers add both capacity and redundancy.
MAX_USEFUL_REQUESTS = 80.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server as the planner sees it.

    Attributes:
        server_id: The backend server.
        failure_domain: Its failure domain.
        accelerator: Figures of its kind of accelerator.
        layers: Layers that it holds, or will hold once its order is done.
        movable: Whether it can take an order now.
        known_s: How long it has been in the list, s.
    """

    server_id: str
    failure_domain: str
    accelerator: configuration.Accelerator
    layers: layer_range.LayerRange | None
    movable: bool
    known_s: float = float("inf")


class Policy(Protocol):
    """Distributes layers over free backend servers."""

    def share(
        self,
        engine: configuration.Engine,
        free: Sequence[Candidate],
        layers: int,
    ) -> list[tuple[Candidate, int]]:
        """Returns how many layers each backend server takes.

        Args:
            engine: Figures of the model.
            free: Backend servers that can take an order.
            layers: Number of layers to distribute.
        """


POLICIES = registry.Registry[Policy]("placement")


@POLICIES.register("even")
class EvenPolicy:
    """Gives every backend server the same number of layers, as a baseline."""

    def share(
        self,
        engine: configuration.Engine,
        free: Sequence[Candidate],
        layers: int,
    ) -> list[tuple[Candidate, int]]:
        """Returns how many layers each takes; see `Policy.share`."""
        shares = []
        left = layers
        for index, candidate in enumerate(free):
            wanted = -(-left // (len(free) - index))
            count = min(wanted, engine.max_layers(candidate.accelerator))
            shares.append((candidate, count))
            left -= count
        return [(c, count) for c, count in shares if count]


@POLICIES.register("balanced")
class BalancedPolicy:
    """Weighs KV cache capacity against the speed of the chain.

    For each capacity that every stage could offer, the fastest backend servers
    are filled first; the capacity with the most requests a second wins. It must
    still allow a replica after the loss of the largest backend server, so that
    the slower ones stay free to double its layers.
    """

    def share(
        self,
        engine: configuration.Engine,
        free: Sequence[Candidate],
        layers: int,
    ) -> list[tuple[Candidate, int]]:
        """Returns how many layers each takes; see `Policy.share`."""
        min_tokens = min_capacity_tokens(engine)
        max_useful_tokens = MAX_USEFUL_REQUESTS * engine.mean_tokens
        best: list[tuple[Candidate, int]] = []
        best_value = 0.0
        for step in range(CAPACITY_STEPS):
            capacity_tokens = min_tokens * CAPACITY_RATIO**step
            if best and not _survives_loss(
                engine, free, layers, capacity_tokens
            ):
                break
            shares = _fill_fastest(engine, free, layers, capacity_tokens)
            value = min(capacity_tokens, max_useful_tokens) / _token_s(
                engine, shares
            )
            if value > best_value:
                best, best_value = shares, value
        return best


def min_capacity_tokens(engine: configuration.Engine) -> float:
    """Returns the least KV cache capacity that a stage must have, tokens."""
    return MIN_REQUESTS_PER_STAGE * engine.mean_tokens


def layers_with_capacity(
    engine: configuration.Engine,
    kind: configuration.Accelerator,
    capacity_tokens: float,
) -> int:
    """Returns the most layers that leave this KV cache capacity free."""
    layer_with_cache_mb = (
        engine.layer_mb + capacity_tokens * engine.token_layer_bytes / 1e6
    )
    return min(
        engine.max_layers(kind), int(kind.memory_mb // layer_with_cache_mb)
    )


def _fill_fastest(
    engine: configuration.Engine,
    free: Sequence[Candidate],
    layers: int,
    capacity_tokens: float,
) -> list[tuple[Candidate, int]]:
    shares = []
    left = layers
    fastest_first = sorted(
        free,
        key=lambda c: (
            _layer_s(engine, c.accelerator, capacity_tokens),
            c.server_id,
        ),
    )
    for candidate in fastest_first:
        count = layers_with_capacity(
            engine, candidate.accelerator, capacity_tokens
        )
        count = min(count, left)
        if count:
            shares.append((candidate, count))
            left -= count
    return shares


def _layer_s(
    engine: configuration.Engine,
    kind: configuration.Accelerator,
    capacity_tokens: float,
) -> float:
    """Returns the duration of a layer with its share of the hop, s.

    The share ranks a small accelerator lower, since it adds stages to a chain.
    """
    count = max(layers_with_capacity(engine, kind, capacity_tokens), 1)
    compute_s = kind.step_factor * engine.step_s / engine.layers
    return compute_s + chain_choice.HOP_COST_S / count


def _survives_loss(
    engine: configuration.Engine,
    free: Sequence[Candidate],
    layers: int,
    capacity_tokens: float,
) -> bool:
    """Returns whether the layers fit without the largest backend server."""
    counts = [
        layers_with_capacity(engine, c.accelerator, capacity_tokens)
        for c in free
    ]
    return sum(counts) - max(counts, default=0) >= layers


def _token_s(
    engine: configuration.Engine, shares: Sequence[tuple[Candidate, int]]
) -> float:
    """Returns the duration of one token on a chain of these shares, s."""
    total = sum(count * c.accelerator.step_factor for c, count in shares)
    compute_s = total * engine.step_s / engine.layers
    return compute_s + chain_choice.HOP_COST_S * len(shares) + 1e-9
