"""Measures the CPU time of the chain search by the size of the fleet.

Run: .venv/bin/python benchmarks/chain_search.py

Engines of three kinds in five failure domains get layers as in the front's
planner, part of their memory is reserved, and the chains of all domains are
searched. In the second column one domain is under memory pressure, so that its
chains take stages from other domains.
"""

from collections.abc import Sequence
import dataclasses
import time

from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import placement
from dotterelgrade_routing import placement_policies

_KINDS = (
    configuration.Accelerator(
        name="fast", memory_mb=72_000, step_factor=2.4, prefill_factor=3.2
    ),
    configuration.Accelerator(
        name="small", memory_mb=14_400, step_factor=5.3, prefill_factor=7.9
    ),
    configuration.Accelerator(
        name="slow", memory_mb=21_600, step_factor=16.0, prefill_factor=8.2
    ),
)
# Per ten engines.
_ENGINES_PER_KIND = (1, 5, 4)
_FAILURE_DOMAINS = 5
_ENGINE = configuration.Engine(
    layers=80,
    layer_mb=1_750,
    token_layer_bytes=4_500,
    step_s=0.00102,
    prefill_tokens_per_s=268_000,
    load_s=14.0,
    loads_at_once=16,
    mean_prompt_tokens=740,
    mean_answer_tokens=210,
    accelerators=_KINDS,
)
_FLEET_SIZES = (30, 100, 300, 1_000)
_RESERVED_SHARE = 0.3
_PRESSURE_RESERVED_SHARE = 0.8
_REPEATS = 3
_MAX_PLANNING_ROUNDS = 20


def _fleet(size: int) -> list[placement_policies.Candidate]:
    kinds = [
        kind
        for kind, count in zip(_KINDS, _ENGINES_PER_KIND, strict=True)
        for _ in range(count)
    ]
    return [
        placement_policies.Candidate(
            server_id=f"e{number}",
            failure_domain=f"d{number // len(kinds) % _FAILURE_DOMAINS}",
            accelerator=kinds[number % len(kinds)],
            layers=None,
            movable=True,
        )
        for number in range(size)
    ]


def _place_layers(
    servers: list[placement_policies.Candidate],
) -> list[placement_policies.Candidate]:
    policy = placement_policies.POLICIES.make("balanced")
    for _ in range(_MAX_PLANNING_ROUNDS):
        orders = placement.plan(_ENGINE, servers, policy=policy)
        if not orders:
            break
        new_layers = {order.server_id: order.layers for order in orders}
        servers = [
            dataclasses.replace(s, layers=new_layers.get(s.server_id, s.layers))
            for s in servers
        ]
    return [server for server in servers if server.layers is not None]


def _holders(
    servers: Sequence[placement_policies.Candidate], *, pressure_domain: str
) -> list[chain_choice.Holder]:
    holders = []
    for server in servers:
        count = len(server.layers)
        total = _ENGINE.capacity_tokens(server.accelerator, count) * count
        reserved_share = (
            _PRESSURE_RESERVED_SHARE
            if server.failure_domain == pressure_domain
            else _RESERVED_SHARE
        )
        step_s = _ENGINE.step_s * server.accelerator.step_factor
        holders.append(
            chain_choice.Holder(
                server_id=server.server_id,
                address=f"{server.server_id}:1",
                failure_domain=server.failure_domain,
                layers=server.layers,
                layer_s=step_s / _ENGINE.layers,
                total=total,
                used=reserved_share * total,
            )
        )
    return holders


def _search_cpu_ms(holders: list[chain_choice.Holder]) -> float:
    samples_ms = []
    for _ in range(_REPEATS):
        started = time.process_time()
        chain_choice.candidates(_ENGINE, holders)
        samples_ms.append((time.process_time() - started) * 1_000)
    return min(samples_ms)


def main() -> None:
    """Prints a row for each size."""
    print("| engines | no pressure, ms | one domain under pressure, ms |")
    print("|---|---|---|")
    for size in _FLEET_SIZES:
        servers = _place_layers(_fleet(size))
        unloaded_ms = _search_cpu_ms(_holders(servers, pressure_domain=""))
        pressure_ms = _search_cpu_ms(_holders(servers, pressure_domain="d0"))
        print(f"| {size} | {unloaded_ms:.1f} | {pressure_ms:.1f} |")


if __name__ == "__main__":
    main()
