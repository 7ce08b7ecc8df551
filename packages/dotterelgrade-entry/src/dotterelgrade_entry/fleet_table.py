"""Shows the agents that an entry knows as JSON values."""

from typing import Any

from dotterelgrade import connection_frames
from dotterelgrade import messages
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import backend_view
from dotterelgrade_entry import fleet as fleet_lib


def agents(fleet: fleet_lib.Fleet) -> list[dict[str, Any]]:
    """Returns one object per agent."""
    return [_agent(fleet, peer) for peer in list(fleet.peers.values())]


def _agent(
    fleet: fleet_lib.Fleet, peer: agent_peer.AgentPeer
) -> dict[str, Any]:
    return {
        "process": peer.process,
        "role": connection_frames.Role.AGENT.value,
        "host": peer.entry.host,
        "failure_domain": peer.entry.failure_domain,
        "state": _state(fleet, peer),
        "contract_offset": peer.contract_offset,
        "rtt_ms": None if peer.rtt_s is None else round(peer.rtt_s * 1000, 3),
        "load": {
            "in_flight": fleet.in_flight(peer.address),
            "backends": [_backend(view) for view in peer.backends.values()],
        },
    }


def _state(fleet: fleet_lib.Fleet, peer: agent_peer.AgentPeer) -> str:
    if not peer.is_connected:
        return "unreachable"
    if peer.is_suspect:
        return "suspect"
    if peer.state is messages.ProcessState.READY and not fleet.takes_work(peer):
        return messages.ProcessState.LEAVING.value
    return peer.state.value


def _backend(view: backend_view.BackendView) -> dict[str, Any]:
    report = view.report
    return {
        "backend": report.backend,
        "kind": report.kind,
        "model": report.model,
        "layers": [report.first_layer, report.last_layer],
        "service": report.service,
        "accelerator": report.accelerator,
        "sequences": view.sequences,
        "slots_free": view.slots_free,
        "queued_tokens": view.queued_tokens,
        "step_ms": round(report.step_ms, 3),
        "token_ms": round(report.token_ms, 4),
        "healthy": report.healthy,
        "ejected": view.is_ejected,
    }
