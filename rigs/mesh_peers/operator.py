"""The operator: configuration writes as the operators write them, sent and read back."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

from rigs.mesh_peers.client import call
from rigs.mesh_peers.messages import Address
from rigs.mesh_peers.waiting import polled


class Operator:
    """Changes the configuration and reads it back, at any of the processes that take its calls."""

    def __init__(self, addresses: Sequence[Address]) -> None:
        self.addresses = list(addresses)

    async def change(self, body: Mapping[str, Any], within_s: float = 10.0) -> None:
        """Sent, exactly as it was, to one after another until it is taken. Raises TimeoutError; an answer of
        4xx is an AssertionError."""
        sent, turn = json.dumps(body).encode(), 0

        async def taken() -> bool:
            nonlocal turn
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            status, said = await call(address, b"PATCH", b"/configuration", sent, within_s=1.5)
            assert not 400 <= status < 500, (status, said)
            return status == 200

        await polled(taken, within_s)

    async def read(self, address: Address, within_s: float = 10.0) -> dict[str, Any]:
        """The newest configuration as that process gives it. Raises TimeoutError."""
        found: dict[str, Any] = {}

        async def read() -> bool:
            status, body = await call(address, b"GET", b"/configuration", within_s=1.5)
            if status == 200:
                found.update(json.loads(body))
            return status == 200

        await polled(read, within_s)
        return found


def route(
    name: str, prefix: str, service: str, version: int = 1, effectful: bool = False, **fields: Any
) -> dict[str, Any]:
    """A rule as the operator writes it."""
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
    """A service as the operator writes it."""
    return {
        "name": name,
        "health_path": "/health",
        "conn_saturation": 110,
        "protocol": "h1",
        "tls": False,
        "epoch": "r1",
    }


def change(*rules: dict[str, Any], services: Sequence[str] = (), host: str = "h.example") -> dict[str, Any]:
    """A call that sets rules under one host, and services."""
    groups = [service(name) for name in services]
    ports = [{"host": host, "control_law": list(rules)}] if rules else []
    return {"apply": {"input_ports": ports, "plant_groups": groups}, "remove": {"routes": []}}
