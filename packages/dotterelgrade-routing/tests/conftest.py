"""Shared fixtures of the routing tests."""

import pytest

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement_policies

FAST = configuration.Accelerator(
    name="fast", memory_mb=72_000, step_factor=2.4, prefill_factor=3.2
)
SMALL = configuration.Accelerator(
    name="small", memory_mb=14_400, step_factor=5.3, prefill_factor=7.9
)
SLOW = configuration.Accelerator(
    name="slow", memory_mb=21_600, step_factor=16.0, prefill_factor=8.2
)


@pytest.fixture
def engine():
    return configuration.Engine(
        layers=80,
        layer_mb=1_750,
        token_layer_bytes=14_750,
        step_s=0.00102,
        prefill_tokens_per_s=164_000,
        load_s=14.0,
        loads_at_once=6,
        mean_prompt_tokens=775,
        mean_answer_tokens=216,
        accelerators=(FAST, SMALL, SLOW),
    )


@pytest.fixture
def make_candidate():
    def make(server_id, *, kind=SMALL, domain="a", layers=None, **fields):
        held = None if layers is None else layer_range.LayerRange(*layers)
        fields.setdefault("movable", True)
        return placement_policies.Candidate(
            server_id=server_id,
            failure_domain=domain,
            accelerator=kind,
            layers=held,
            **fields,
        )

    return make


@pytest.fixture
def make_domain(make_candidate):
    """Builds a failure domain with a realistic mix of accelerators."""

    def make(domain, *, fast=1, small=10, slow=4):
        kinds = [FAST] * fast + [SMALL] * small + [SLOW] * slow
        return [
            make_candidate(f"{domain}{i}", kind=kind, domain=domain)
            for i, kind in enumerate(kinds)
        ]

    return make


@pytest.fixture
def make_holder():
    def make(server_id, first, end, *, domain="a", total=1e6, **fields):
        fields.setdefault("layer_s", 1e-4)
        fields.setdefault("used", 0.0)
        return chain_choice.Holder(
            server_id=server_id,
            address=f"{server_id}:1",
            failure_domain=domain,
            layers=layer_range.LayerRange(first, end),
            total=total,
            **fields,
        )

    return make


@pytest.fixture
def make_server():
    def make(server_id, **fields):
        fields.setdefault("service", "model")
        fields.setdefault("address", f"{server_id}:1")
        fields.setdefault("failure_domain", "a")
        fields.setdefault("availability", backend_server.Availability.READY)
        fields.setdefault("slots", 4)
        return backend_server.BackendServer(id=server_id, **fields)

    return make
