"""How layers are shared out among free backend servers: the policies.

Load pattern: accelerators of unequal speed and memory, single ones of which are
lost. What binds a chain is its smallest room, its speed and the number of its
stages; see `placement` for when a policy is asked.
"""

from collections.abc import Callable, Sequence
import dataclasses
from typing import Protocol

from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range

# A stage must hold at least so many usual requests, however short of memory.
LEAST_REQUESTS = 16.0
# Candidate rooms are tried as multiples of the least one, in this ratio.
ROOM_RATIO = 1.15
ROOM_STEPS = 48
# Room for more usual requests than this is not sought. A chain of many small
# stages has it, but each further stage slows every token and can fail as well;
# free servers that double what is held give room and safety.
ENOUGH_REQUESTS = 80.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server as the planner sees it.

    Attributes:
        server_id: The backend server.
        failure_domain: Where it runs.
        accelerator: Figures of its kind.
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
    """Shares layers out among backend servers that are free."""

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
            layers: How many layers are to be held.
        """


_POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[type], type]:
    """Registers a policy under its name in the settings."""

    def register(cls: type) -> type:
        _POLICIES[name] = cls()
        return cls

    return register


def policies() -> list[str]:
    """Returns the names of the registered policies."""
    return sorted(_POLICIES)


def make_policy(name: str) -> Policy:
    """Returns a registered policy.

    Args:
        name: Its name.

    Raises:
        ValueError: No policy has that name.
    """
    if name not in _POLICIES:
        expected = ", ".join(policies())
        raise ValueError(f"placement: expected one of {expected}")
    return _POLICIES[name]


@policy("even")
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
            count = min(wanted, engine.most_layers(candidate.accelerator))
            shares.append((candidate, count))
            left -= count
        return [(c, count) for c, count in shares if count]


@policy("balanced")
class BalancedPolicy:
    """Weighs room for requests against the speed of the chain.

    For each room that every stage could offer, the fastest backend servers
    are filled first; the room with the most requests a second wins. Only rooms
    that leave a replica possible after the loss of the largest backend server
    count, so that the slower ones stay free to double its layers.
    """

    def share(
        self,
        engine: configuration.Engine,
        free: Sequence[Candidate],
        layers: int,
    ) -> list[tuple[Candidate, int]]:
        """Returns how many layers each takes; see `Policy.share`."""
        least = least_room_tokens(engine)
        enough = ENOUGH_REQUESTS * engine.usual_tokens
        best: list[tuple[Candidate, int]] = []
        best_worth = 0.0
        for step in range(ROOM_STEPS):
            room = least * ROOM_RATIO**step
            if best and not _survives_loss(engine, free, layers, room):
                break
            shares = _fill_fastest(engine, free, layers, room)
            worth = min(room, enough) / _token_s(engine, shares)
            if worth > best_worth:
                best, best_worth = shares, worth
        return best


def least_room_tokens(engine: configuration.Engine) -> float:
    """Returns the fewest tokens that a stage must have room for."""
    return LEAST_REQUESTS * engine.usual_tokens


def layers_with_room(
    engine: configuration.Engine,
    kind: configuration.Accelerator,
    room_tokens: float,
) -> int:
    """Returns the most layers that leave room for so many tokens."""
    one_mb = engine.layer_mb + room_tokens * engine.token_layer_bytes / 1e6
    return min(engine.most_layers(kind), int(kind.memory_mb // one_mb))


def _fill_fastest(
    engine: configuration.Engine,
    free: Sequence[Candidate],
    layers: int,
    room: float,
) -> list[tuple[Candidate, int]]:
    shares = []
    left = layers
    fastest_first = sorted(
        free,
        key=lambda c: (_layer_s(engine, c.accelerator, room), c.server_id),
    )
    for candidate in fastest_first:
        count = layers_with_room(engine, candidate.accelerator, room)
        count = min(count, left)
        if count:
            shares.append((candidate, count))
            left -= count
    return shares


def _layer_s(
    engine: configuration.Engine,
    kind: configuration.Accelerator,
    room: float,
) -> float:
    """Returns the duration of a layer with its part of the hop, s.

    A small accelerator that is hardly faster makes a chain longer and slower.
    """
    count = max(layers_with_room(engine, kind, room), 1)
    compute_s = kind.step_factor * engine.step_s / engine.layers
    return compute_s + chain_choice.HOP_S / count


def _survives_loss(
    engine: configuration.Engine,
    free: Sequence[Candidate],
    layers: int,
    room: float,
) -> bool:
    """Returns whether the layers fit without the largest backend server."""
    counts = [layers_with_room(engine, c.accelerator, room) for c in free]
    return sum(counts) - max(counts, default=0) >= layers


def _token_s(
    engine: configuration.Engine, shares: Sequence[tuple[Candidate, int]]
) -> float:
    """Returns the duration of one token on a chain of these shares, s."""
    total = sum(count * c.accelerator.step_factor for c, count in shares)
    compute_s = total * engine.step_s / engine.layers
    return compute_s + chain_choice.HOP_S * len(shares) + 1e-9
