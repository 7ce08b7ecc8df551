"""Entries, routes and raw HTTP of stand-ins that the cases share."""

import socket
import time

import deployment

_RECEIVE_BYTES = 65_536
HEAD_END = b"\r\n\r\n"


def route(name: str, service: str, kind: str, **rest: object) -> dict:
    """Returns a route that is reached at `/NAME/`."""
    return {
        "name": name,
        "host": deployment.HOST,
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 20000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **rest,
    }


def service(name: str, **rest: object) -> dict:
    """Returns a service."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 220,
        "protocol": "h1",
        "tls": False,
        **rest,
    }


def entry(service_name: str, address: str, **rest: object) -> dict:
    """Returns the entry of a backend server that starts now."""
    return {
        "service": service_name,
        "address": address,
        "zone": deployment.ZONE,
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
        **rest,
    }


def read_until(sock: socket.socket, end: bytes) -> tuple[bytes, bytes]:
    """Reads up to a separator.

    Returns:
        The bytes before it, and what has arrived after it.

    Raises:
        ConnectionError: The peer closed before.
    """
    data = b""
    while end not in data:
        piece = sock.recv(_RECEIVE_BYTES)
        if not piece:
            raise ConnectionError("closed before the separator")
        data += piece
    before, _, after = data.partition(end)
    return before, after


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers by their lower-case names."""
    first, *rows = head.decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers
