"""Time of the search for chains as the fleet grows.

Run: .venv/bin/python benchmarks/chain_search.py

Engines of three kinds in five failure domains are planned as the front does,
half of their memory is reserved, and the chains of all domains are searched.
The second column has one domain under pressure, which is patched from others.
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
        name="fast", memory_mb=72_000, step_factor=2.4, read_factor=3.2
    ),
    configuration.Accelerator(
        name="small", memory_mb=14_400, step_factor=5.3, read_factor=7.9
    ),
    configuration.Accelerator(
        name="slow", memory_mb=21_600, step_factor=16.0, read_factor=8.2
    ),
)
# Engines of each kind among ten.
_MIX = (1, 5, 4)
_DOMAINS = 5
_ENGINE = configuration.Engine(
    layers=80,
    layer_mb=1_750,
    token_layer_bytes=4_500,
    step_s=0.00102,
    read_tokens_per_s=268_000,
    load_s=14.0,
    loads_at_once=16,
    usual_prompt_tokens=740,
    usual_answer_tokens=210,
    accelerators=_KINDS,
)
_SIZES = (30, 100, 300, 1_000)
_FILL = 0.3
_PRESSED_FILL = 0.8
_REPEATS = 3
_ROUNDS = 20


def _fleet(size: int) -> list[placement_policies.Candidate]:
    kinds = [
        kind
        for kind, count in zip(_KINDS, _MIX, strict=True)
        for _ in range(count)
    ]
    return [
        placement_policies.Candidate(
            server_id=f"e{number}",
            failure_domain=f"d{number // len(kinds) % _DOMAINS}",
            accelerator=kinds[number % len(kinds)],
            layers=None,
            movable=True,
        )
        for number in range(size)
    ]


def _planned(
    servers: list[placement_policies.Candidate],
) -> list[placement_policies.Candidate]:
    policy = placement_policies.make_policy("balanced")
    for _ in range(_ROUNDS):
        orders = placement.plan(_ENGINE, servers, shares=policy)
        if not orders:
            break
        wanted = {order.server_id: order.layers for order in orders}
        servers = [
            dataclasses.replace(s, layers=wanted.get(s.server_id, s.layers))
            for s in servers
        ]
    return [server for server in servers if server.layers is not None]


def _holders(
    servers: Sequence[placement_policies.Candidate], *, pressed: str
) -> list[chain_choice.Holder]:
    holders = []
    for server in servers:
        count = len(server.layers)
        total = _ENGINE.room_tokens(server.accelerator, count) * count
        fill = _PRESSED_FILL if server.failure_domain == pressed else _FILL
        step_s = _ENGINE.step_s * server.accelerator.step_factor
        holders.append(
            chain_choice.Holder(
                server_id=server.server_id,
                address=f"{server.server_id}:1",
                failure_domain=server.failure_domain,
                layers=server.layers,
                layer_s=step_s / _ENGINE.layers,
                total=total,
                used=fill * total,
            )
        )
    return holders


def _spent_ms(holders: list[chain_choice.Holder]) -> float:
    spent = []
    for _ in range(_REPEATS):
        started = time.process_time()
        chain_choice.candidates(_ENGINE, holders)
        spent.append((time.process_time() - started) * 1_000)
    return min(spent)


def main() -> None:
    """Prints a row for each size."""
    print("| engines | no pressure, ms | one domain under pressure, ms |")
    print("|---|---|---|")
    for size in _SIZES:
        servers = _planned(_fleet(size))
        calm = _spent_ms(_holders(servers, pressed=""))
        pressed = _spent_ms(_holders(servers, pressed="d0"))
        print(f"| {size} | {calm:.1f} | {pressed:.1f} |")


if __name__ == "__main__":
    main()
