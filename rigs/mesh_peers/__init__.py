"""Stand-ins for the mesh's environment in tests: upstreams, clients, an operator, settings files, waiting."""

from rigs.mesh_peers.client import Client, call
from rigs.mesh_peers.messages import MAX_BODY_BYTES, Address, read_message
from rigs.mesh_peers.operator import Operator, patch_body, route, service
from rigs.mesh_peers.settings_file import free_ports, write_settings
from rigs.mesh_peers.upstream import BEHAVIORS, COMPLETE_RESPONSES, ERROR_STATUSES, NOT_EXECUTED, Upstream
from rigs.mesh_peers.waiting import (
    PATIENCE_S,
    POLL_S,
    STEP_S,
    MovedLoop,
    move,
    play,
    polled,
    soon,
    turns,
    until,
)

__all__ = [
    "COMPLETE_RESPONSES",
    "MAX_BODY_BYTES",
    "NOT_EXECUTED",
    "ERROR_STATUSES",
    "PATIENCE_S",
    "POLL_S",
    "STEP_S",
    "BEHAVIORS",
    "Address",
    "call",
    "patch_body",
    "Client",
    "free_ports",
    "move",
    "MovedLoop",
    "Operator",
    "play",
    "polled",
    "read_message",
    "route",
    "service",
    "soon",
    "turns",
    "until",
    "Upstream",
    "write_settings",
]
