"""How much a sidecar must hold for an application: connections, descriptors, memory. No I/O.

One set of formulas: what is derived by it is what is checked by it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from anisestair.configure.description import App

SPARE = 32  # descriptors for logs, discovery and the loop; as in serving
LEAST_DESCRIPTORS = 128  # the loader's bound
STEP_DESCRIPTORS, STEP_MEMORY_MB = 64, 16.0
# Measured at 24.5 MB after the start, on this interpreter (python -m benchmarks.start); rounded up.
BASE_MB = 28.0
# A call holds its request and answer twice, in and out, and objects and buffers of some such size.
CALL_BYTES = 24 * 1024


@dataclass(frozen=True, slots=True)
class Need:
    """``calls``: most that can be in hand at once. The others: the least that carry them."""

    calls: int
    descriptors: int
    memory_mb: float


def in_hand(app: App) -> int:
    """Calls that are open at once where none is answered before its caller gives up: those of a burst, and
    all that came in that time. Little's law with the longest wait that the callers allow."""
    return sum(call.burst + math.ceil(call.rate * call.given_up_ms / 1000.0) for call in app.calls)


def need(app: App) -> Need:
    calls = in_hand(app)
    # Half of the descriptors less the spare ones are the application's, half upstreams'; where
    # MessagePack-RPC is on, half of a half is for each protocol (serving.serve).
    parts = 4 if app.speaks_rpc else 2
    least = parts * calls + SPARE
    descriptors = max(LEAST_DESCRIPTORS, math.ceil(least / STEP_DESCRIPTORS) * STEP_DESCRIPTORS)
    bodies = sum(
        (call.burst + math.ceil(call.rate * call.given_up_ms / 1000.0))
        * (2 * (call.request_bytes + call.answer_bytes) + CALL_BYTES)
        for call in app.calls
    )
    memory = math.ceil((BASE_MB + bodies / 1e6) / STEP_MEMORY_MB) * STEP_MEMORY_MB
    return Need(calls, descriptors, memory)


def holds(descriptors: int, rpc: bool) -> int:
    """Connections of the application that a sidecar with so many descriptors takes."""
    return (descriptors - SPARE) // (4 if rpc else 2)
