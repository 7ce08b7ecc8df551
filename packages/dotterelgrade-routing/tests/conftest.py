"""Builders that the tests of routing share."""

import pytest

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement_policies

FAST = configuration.Accelerator(
    name="fast", memory_mb=72_000, step_factor=2.4, read_factor=3.2
)
SMALL = configuration.Accelerator(
    name="small", memory_mb=14_400, step_factor=5.3, read_factor=7.9
)
SLOW = configuration.Accelerator(
    name="slow", memory_mb=21_600, step_factor=16.0, read_factor=8.2
)


@pytest.fixture
def engine():
    return configuration.Engine(
        layers=80,
        layer_mb=1_750,
        token_layer_bytes=14_750,
        step_s=0.00102,
        read_tokens_per_s=164_000,
        load_s=14.0,
        loads_at_once=6,
        usual_prompt_tokens=775,
        usual_answer_tokens=216,
        accelerators=(FAST, SMALL, SLOW),
    )


@pytest.fixture
def make_candidate():
    def make(server_id, *, kind=SMALL, domain="a", layers=None, **rest):
        held = None if layers is None else layer_range.LayerRange(*layers)
        rest.setdefault("movable", True)
        return placement_policies.Candidate(
            server_id=server_id,
            failure_domain=domain,
            accelerator=kind,
            layers=held,
            **rest,
        )

    return make


@pytest.fixture
def make_domain(make_candidate):
    """One failure domain with the mix of accelerators that users have."""

    def make(domain, *, fast=1, small=10, slow=4):
        kinds = [FAST] * fast + [SMALL] * small + [SLOW] * slow
        return [
            make_candidate(f"{domain}{i}", kind=kind, domain=domain)
            for i, kind in enumerate(kinds)
        ]

    return make


@pytest.fixture
def make_holder():
    def make(server_id, first, end, *, domain="a", total=1e6, **rest):
        rest.setdefault("layer_s", 1e-4)
        rest.setdefault("used", 0.0)
        return chain_choice.Holder(
            server_id=server_id,
            address=f"{server_id}:1",
            failure_domain=domain,
            layers=layer_range.LayerRange(first, end),
            total=total,
            **rest,
        )

    return make


@pytest.fixture
def make_server():
    def make(server_id, **rest):
        rest.setdefault("service", "model")
        rest.setdefault("address", f"{server_id}:1")
        rest.setdefault("failure_domain", "a")
        rest.setdefault("availability", backend_server.Availability.READY)
        rest.setdefault("slots", 4)
        return backend_server.BackendServer(id=server_id, **rest)

    return make
