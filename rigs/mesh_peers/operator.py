"""The operator: encodes and sends configuration writes, and reads the configuration back."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

from rigs.mesh_peers.client import call
from rigs.mesh_peers.messages import Address
from rigs.mesh_peers.waiting import poll_until


class Operator:
    """Changes the configuration and reads it back, through any of the given processes."""

    def __init__(self, addresses: Sequence[Address]) -> None:
        self.addresses = list(addresses)

    async def change(self, body: Mapping[str, Any], timeout_s: float = 10.0) -> None:
        """Sends the same bytes to one process after another until one acknowledges them. Raises TimeoutError,
        or AssertionError for a 4xx response."""
        encoded, turn = json.dumps(body).encode(), 0

        async def acknowledged() -> bool:
            nonlocal turn
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            status, response = await call(address, b"PATCH", b"/configuration", encoded, timeout_s=1.5)
            assert not 400 <= status < 500, (status, response)
            return status == 200

        await poll_until(acknowledged, timeout_s)

    async def read(self, address: Address, timeout_s: float = 10.0) -> dict[str, Any]:
        """Reads the configuration from that process. Raises TimeoutError."""
        found: dict[str, Any] = {}

        async def read() -> bool:
            status, body = await call(address, b"GET", b"/configuration", timeout_s=1.5)
            if status == 200:
                found.update(json.loads(body))
            return status == 200

        await poll_until(read, timeout_s)
        return found


def route(
    name: str, prefix: str, service: str, version: int = 1, effectful: bool = False, **fields: Any
) -> dict[str, Any]:
    """Returns a route as the operator writes it."""
    return {
        "name": name,
        "kind": "effectful" if effectful else "idempotent",
        "setpoint_ms": fields.get("setpoint_ms", 1000),
        "priority": 1,
        "epoch": f"r{version}",
        "predicate": {"prefix": prefix},
        "response": {
            "plant": service,
            "horizon_ms": fields.get("horizon_ms", 4000),
            "trials": fields.get("trials", 2),
        },
    }


def service(name: str) -> dict[str, Any]:
    """Returns a service as the operator writes it."""
    return {
        "name": name,
        "health_path": "/health",
        "conn_saturation": 110,
        "protocol": "h1",
        "tls": False,
        "epoch": "r1",
    }


def patch_body(
    *rules: dict[str, Any], services: Sequence[str] = (), host: str = "h.example"
) -> dict[str, Any]:
    """Returns the body of a call that sets routes under one host, and services."""
    groups = [service(name) for name in services]
    ports = [{"host": host, "control_law": list(rules)}] if rules else []
    return {"apply": {"input_ports": ports, "plant_groups": groups}, "remove": {"routes": []}}
