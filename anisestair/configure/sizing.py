"""Capacity that a sidecar needs for an application: connections, descriptors and memory. No I/O.

Generated configurations and checks use the same formulas.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from anisestair.configure.description import App

RESERVED_DESCRIPTORS = 32  # for logs, discovery and the event loop; as in serving
MIN_DESCRIPTORS = 128  # the loader accepts no less
DESCRIPTOR_STEP, MEMORY_STEP_MB = 64, 16.0
# A sidecar that has just started uses 24.5 MB (python -m benchmarks.start); rounded up.
BASE_MEMORY_MB = 28.0
# Objects and buffers of a call, beyond its request and answer, which are held twice: received and sent.
CALL_OVERHEAD_BYTES = 24 * 1024


@dataclass(frozen=True, slots=True)
class Requirements:
    """``calls``: most calls in flight at once. The others: the least resources that carry them."""

    calls: int
    descriptors: int
    memory_mb: float


def calls_in_flight(app: App) -> int:
    """Most calls in flight if none is answered before its caller gives up: a burst, and all calls that arrive
    during the wait (Little's law with the longest wait that the callers allow)."""
    return sum(call.burst + math.ceil(call.rate * call.given_up_ms / 1000.0) for call in app.calls)


def requirements(app: App) -> Requirements:
    """The resources that a sidecar needs for the declared rates and bursts."""
    calls = calls_in_flight(app)
    # Half of the unreserved descriptors is for the application, half for upstreams. With MessagePack-RPC each
    # half is divided between the two protocols (serving.serve).
    parts = 4 if app.speaks_rpc else 2
    least = parts * calls + RESERVED_DESCRIPTORS
    descriptors = max(MIN_DESCRIPTORS, math.ceil(least / DESCRIPTOR_STEP) * DESCRIPTOR_STEP)
    call_bytes = sum(
        (call.burst + math.ceil(call.rate * call.given_up_ms / 1000.0))
        * (2 * (call.request_bytes + call.answer_bytes) + CALL_OVERHEAD_BYTES)
        for call in app.calls
    )
    memory = math.ceil((BASE_MEMORY_MB + call_bytes / 1e6) / MEMORY_STEP_MB) * MEMORY_STEP_MB
    return Requirements(calls, descriptors, memory)


def client_connections(descriptors: int, rpc: bool) -> int:
    """Connections that a sidecar with this number of descriptors accepts from the application."""
    return (descriptors - RESERVED_DESCRIPTORS) // (4 if rpc else 2)
