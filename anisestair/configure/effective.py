"""Builds a sidecar's effective configuration: the environment overrides the platform's JSON, defaults fill
the rest.

No I/O (platform_file reads the file), so the configuration check uses the same code and messages as the
loader.
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
    """The configuration is invalid; the message is one line that names the field."""


@dataclass(frozen=True, slots=True)
class Config:
    """The effective configuration of a sidecar."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # limit of the process's file descriptors
    known: EndpointList  # last known server list
    settings: api.Settings
    memory_mb: float | None = None  # the platform kills a process that exceeds it
    mgmt: Address | None = None  # address of the admin interface
    inherited: int | None = None  # descriptor of the clients' listening socket, if inherited


def _parse_descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 6):
        raise ConfigError("BALANCER_INHERITED_FD: not a file descriptor number")
    return int(text)


def build_config(data: Any, environ: Mapping[str, str], offset_ms: float) -> Config:
    """Raises ConfigError for the first invalid field. ``offset_ms`` converts Unix time to the caller's
    clock."""
    if not isinstance(data, dict):
        raise ConfigError("BALANCER_CONFIG: not a JSON object")

    def required_value(variable: str, field: str) -> Any:
        value = environ.get(variable) or data.get(field)
        if not value:
            raise ConfigError(f"{variable}: not set, and the configuration has no field {field!r}")
        return value

    def address_of(variable: str, field: str, lowest_port: int = 1) -> Address:
        try:
            return address(required_value(variable, field), lowest_port)
        except ValueError as fault:
            raise ConfigError(f"{variable}: {fault}") from None

    mgmt = environ.get("BALANCER_MGMT") or data.get("mgmt")
    try:
        seed = int(str(data["seed"]), 16)
    except (KeyError, ValueError):
        raise ConfigError("seed: not a hexadecimal number") from None
    sockets = data.get("limits", {}).get("sockets") if isinstance(data.get("limits"), dict) else None
    if not isinstance(sockets, int) or sockets < 128:
        raise ConfigError("limits.sockets: not an integer of 128 or more")
    try:
        known = parse_list(data.get("known"), offset_ms)
    except ValueError as fault:
        raise ConfigError(f"known: {fault}") from None
    try:
        settings = wire.parse_settings(json.dumps(data.get("settings")))
    except wire.WireError as fault:
        raise ConfigError(f"settings: {' '.join(str(fault).split())}") from None
    return Config(
        name=str(required_value("BALANCER_NAME", "name")),
        listen=address_of("BALANCER_LISTEN", "listen", lowest_port=0),  # 0: any free port
        discovery=address_of("BALANCER_DISCOVERY", "discovery"),
        seed=seed,
        sockets=sockets,
        known=known,
        settings=settings,
        memory_mb=memory if isinstance(memory := data["limits"].get("memory_mb"), int | float) else None,
        mgmt=address_of("BALANCER_MGMT", "mgmt", lowest_port=0) if mgmt else None,
        inherited=_parse_descriptor(environ.get("BALANCER_INHERITED_FD")),
    )
