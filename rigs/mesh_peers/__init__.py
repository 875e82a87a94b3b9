"""What surrounds the mesh, for its tests: upstreams, clients, an operator, settings files, and waiting."""

from rigs.mesh_peers.client import Client, call
from rigs.mesh_peers.messages import MOST_BODY, Address, read_message
from rigs.mesh_peers.operator import Operator, change, route, service
from rigs.mesh_peers.settings_file import free_ports, write_settings
from rigs.mesh_peers.upstream import GOOD, NOT_RUN, OWN, WAYS, Upstream
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
    "GOOD",
    "MOST_BODY",
    "NOT_RUN",
    "OWN",
    "PATIENCE_S",
    "POLL_S",
    "STEP_S",
    "WAYS",
    "Address",
    "call",
    "change",
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
