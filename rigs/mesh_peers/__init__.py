"""Stand-ins for the mesh's environment in tests: upstreams, clients, an operator, settings files, waiting."""

from rigs.mesh_peers.client import Client, call
from rigs.mesh_peers.messages import MAX_BODY_BYTES, Address, read_message
from rigs.mesh_peers.operator import Operator, patch_body, route, service
from rigs.mesh_peers.settings_file import free_ports, write_settings
from rigs.mesh_peers.upstream import BEHAVIORS, COMPLETE_RESPONSES, ERROR_STATUSES, NOT_EXECUTED, Upstream
from rigs.mesh_peers.waiting import (
    LOCAL_TIMEOUT_S,
    PEER_TIMEOUT_S,
    POLL_INTERVAL_S,
    AdvanceableClockLoop,
    advance_clock,
    poll_until,
    run_async_test,
    run_ready_callbacks,
    wait_until,
    with_timeout,
)

__all__ = [
    "COMPLETE_RESPONSES",
    "MAX_BODY_BYTES",
    "NOT_EXECUTED",
    "ERROR_STATUSES",
    "PEER_TIMEOUT_S",
    "POLL_INTERVAL_S",
    "LOCAL_TIMEOUT_S",
    "BEHAVIORS",
    "Address",
    "call",
    "patch_body",
    "Client",
    "free_ports",
    "advance_clock",
    "AdvanceableClockLoop",
    "Operator",
    "run_async_test",
    "poll_until",
    "read_message",
    "route",
    "service",
    "with_timeout",
    "run_ready_callbacks",
    "wait_until",
    "Upstream",
    "write_settings",
]
