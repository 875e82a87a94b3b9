"""Parses the list of upstreams from discovery into typed records. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field as dataclass_field
from typing import Any

from hareloom import interface as api

Address = tuple[str, int]

STATES = {
    "up": api.ServerState.READY,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.GONE,
}


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A full or partial list of upstreams, with their addresses."""

    seq: int
    whole: bool
    entries: tuple[api.ServerEntry, ...]
    addresses: dict[str, Address]  # by server name; may differ between sidecars and between lists
    rpc: dict[str, Address] = dataclass_field(default_factory=dict)  # of MessagePack-RPC endpoints

    def event(self, kind: api.ListKind | None = None) -> api.ServerList:
        kind = kind or (api.ListKind.FULL if self.whole else api.ListKind.DELTA)
        return api.ServerList(kind, self.seq, self.entries)


def address(text: Any, lowest_port: int = 1) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and lowest_port <= int(port) < 65536):
        raise ValueError(f"not an address with a port: {text!r}")
    return host.strip("[]"), int(port)


def parse_list(data: Any, offset_ms: float) -> EndpointList:
    """Parse discovery's JSON; a ValueError names the invalid field."""
    entries, addresses, rpc = [], {}, {}
    field = "seq"
    try:
        seq = int(data["seq"])
        field = "whole"
        whole = data["whole"]
        if not isinstance(whole, bool):
            raise ValueError("not a boolean")
        field = "hosts"
        for number, host in enumerate(data["hosts"]):
            field = f"hosts[{number}].host"
            name = host["host"]
            if not isinstance(name, str) or not name or name in addresses:
                raise ValueError("name is missing, empty or duplicate")
            field = f"hosts[{number}].dial"
            addresses[name] = address(host["dial"])
            field = f"hosts[{number}].dial_rpc"
            if "dial_rpc" in host:
                rpc[name] = address(host["dial_rpc"])
            field = f"hosts[{number}].health"
            state = STATES[host["health"]]
            field = f"hosts[{number}].block"
            cell = int(host.get("block", 0))
            field = f"hosts[{number}].share"
            size = float(host.get("share", 1.0))
            field = f"hosts[{number}].born_ms"
            born = float(host.get("born_ms", 0))
            if not math.isfinite(size) or not math.isfinite(born):
                raise ValueError("not a finite number")
            entries.append(
                api.ServerEntry(
                    server=name,
                    state=state,
                    zone=str(host.get("site", "")),
                    cell=cell,
                    kind=str(host.get("class", "")),
                    size=size,
                    started_at=born + offset_ms if born else None,
                )
            )
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as fault:
        raise ValueError(f"{field}: {type(fault).__name__}: {fault}") from None
    return EndpointList(seq, whole, tuple(entries), addresses, rpc)
