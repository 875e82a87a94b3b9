"""What a sidecar really uses: the platform's JSON with the environment over it and defaults under it.

Reading a file is platform_file's; here nothing does I/O, so that the checks judge by the loader's own words.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from anisestair.endpoints import Address, EndpointList, address, parse_list
from hareloom import interface as api
from hareloom import wire


class ConfigError(Exception):
    """One line that names the field at fault."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that the process may hold
    known: EndpointList
    settings: api.Settings
    memory_mb: float | None = None  # over it the platform kills
    mgmt: Address | None = None  # where operators call
    inherited: int | None = (
        None  # the descriptor of the clients' listening socket, where the platform holds it
    )


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 6):
        raise ConfigError("BALANCER_INHERITED_FD: not the number of a descriptor")
    return int(text)


def build_config(data: Any, environ: Mapping[str, str], offset_ms: float) -> Config:
    """Raises ConfigError for the first field that cannot be used. ``offset_ms`` turns Unix time into the
    caller's clock."""
    if not isinstance(data, dict):
        raise ConfigError("BALANCER_CONFIG: not a JSON object")

    def named(variable: str, field: str) -> Any:
        value = environ.get(variable) or data.get(field)
        if not value:
            raise ConfigError(f"{variable}: not set, and no field {field!r} in the configuration")
        return value

    def address_of(variable: str, field: str, lowest_port: int = 1) -> Address:
        try:
            return address(named(variable, field), lowest_port)
        except ValueError as fault:
            raise ConfigError(f"{variable}: {fault}") from None

    mgmt = environ.get("BALANCER_MGMT") or data.get("mgmt")
    try:
        seed = int(str(data["seed"]), 16)
    except (KeyError, ValueError):
        raise ConfigError("seed: not a hexadecimal number") from None
    sockets = data.get("limits", {}).get("sockets") if isinstance(data.get("limits"), dict) else None
    if not isinstance(sockets, int) or sockets < 128:
        raise ConfigError("limits.sockets: not a whole number of 128 or more")
    try:
        known = parse_list(data.get("known"), offset_ms)
    except ValueError as fault:
        raise ConfigError(f"known: {fault}") from None
    try:
        settings = wire.parse_settings(json.dumps(data.get("settings")))
    except wire.WireError as fault:
        raise ConfigError(f"settings: {' '.join(str(fault).split())}") from None
    return Config(
        name=str(named("BALANCER_NAME", "name")),
        listen=address_of("BALANCER_LISTEN", "listen", lowest_port=0),  # 0: any free port
        discovery=address_of("BALANCER_DISCOVERY", "discovery"),
        seed=seed,
        sockets=sockets,
        known=known,
        settings=settings,
        memory_mb=memory if isinstance(memory := data["limits"].get("memory_mb"), int | float) else None,
        mgmt=address_of("BALANCER_MGMT", "mgmt", lowest_port=0) if mgmt else None,
        inherited=_descriptor(environ.get("BALANCER_INHERITED_FD")),
    )
