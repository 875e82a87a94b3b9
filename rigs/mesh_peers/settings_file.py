"""Writes settings files for both programs, and finds free ports for them."""

from __future__ import annotations

import json
import socket
from collections.abc import Sequence
from pathlib import Path

from rigs.mesh_peers.messages import Address


def free_ports(ips: Sequence[str], count: int) -> list[int]:
    """Returns port numbers that are free on 127.0.0.1 and on each of these addresses."""
    found: list[int] = []
    sockets: list[socket.socket] = []
    try:
        while len(found) < count:
            sockets.append(first := socket.create_server(("127.0.0.1", 0)))
            number = first.getsockname()[1]
            try:
                sockets += [socket.create_server((ip, number)) for ip in ips if ip != "127.0.0.1"]
            except OSError:
                continue
            found.append(number)
    finally:
        for one in sockets:
            one.close()
    return found


def _toml(value: object) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_toml(part)}" for key, part in value.items()) + "}"
    return json.dumps(value)  # strings, numbers, booleans and lists of them have the same form


def write_settings(
    path: Path,
    node: str,
    ip: str,
    serves: str,
    ports: Sequence[int],
    seeds: Sequence[str],
    upstream: Address | None = None,
    service: str = "",
    state_dir: str = "",
    machines: int = 1,
    cold_boot: bool = True,
    heartbeat_period_ms: int = 500,
    **bounds: float,
) -> None:
    """Writes a settings file. ``ports``: of peers, control, outbound and readiness, in this order. The first
    is the port at which processes reach each other, so all machines use the same. ``machines``: how many
    may be lost at once; ``bounds``: the values of ``envelope``."""
    peers, control, outbound, readiness = ports
    file: dict[str, object] = {
        "node": node,
        "role": f"my-{serves}",
        "machine_class": "core" if serves == "supervisor" else serves,
        "serves": [serves],
        "ip": ip,
        "zone": "z",
        "region": "r",
        "port_range": [peers, peers],
        "seeds": [f"{host}:{control}" for host in seeds],
        "cold_boot": cold_boot,
        "counted": serves == "supervisor",
        "state_dir": state_dir,
        "beat_period_ms": heartbeat_period_ms,
        "plant": service,
        "zones": {"z": "r"},
        "ports": {
            "control": f"{ip}:{control}",
            "outbound": f"{ip}:{outbound}",
            "inbound": f"{ip}:{outbound}",
            "readiness": f"{ip}:{readiness}",
        },
        "input_limits": {
            "cpu_share": 1.0,
            "cores": 1,
            "memory_mb": 200,
            "file_handles": 1000,
            "link_mbps": 1000,
            "disk_mb": 50,
        },
        "disturbance": {"machines": machines, "zones": 0, "regions": 0},
        "envelope": bounds,
    }
    if upstream is not None:
        file["upstream"] = f"{upstream[0]}:{upstream[1]}"
    path.write_text("".join(f"{key} = {_toml(value)}\n" for key, value in file.items()), encoding="utf-8")
