"""The second hop's last word: whether a call goes on to the upstream beside this sidecar. No I/O.

What is turned away here has not run and never will; the first hop may send it elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from waterworks.weir.lives import Upstream

DRAIN_SHARE = 0.5  # of drain_ms from the acknowledgement of a drain, calls still pass; then none does
QUEUE_SHARE = 0.5  # calls at the upstream beyond its slots, as a share of these; more would only wait there
QUEUE_LEAST = 2


class Why(str, Enum):
    """Why a call was turned away."""

    FULL = "full"  # at its bound; others may have room
    OTHER = "other"  # another instance is here now
    LEAVING = "leaving"  # draining, or this sidecar ends
    DOWN = "down"  # nothing is there
    LATE = "late"  # no time is left


@dataclass(frozen=True, slots=True)
class Turned:
    why: Why


@dataclass(frozen=True, slots=True)
class Passed:
    """It goes on."""


def judge(now: float, upstream: Upstream, instance: str, left_ms: float, running: int) -> Passed | Turned:
    """``instance``: whom the first hop chose. ``running``: calls that this upstream has in hand."""
    beat = upstream.beat
    if left_ms <= 0.0:
        return Turned(Why.LATE)
    if beat is None:
        return Passed()  # a start without a beat yet: the upstream itself tells whether it is the one
    if beat.instance != instance:
        return Turned(Why.OTHER)
    if upstream.gone:
        return Turned(Why.DOWN)
    since = upstream.drains_since
    if since is not None and now - since > DRAIN_SHARE * upstream.drain_ms:
        return Turned(Why.LEAVING)
    if running >= beat.capacity + max(QUEUE_SHARE * beat.capacity, QUEUE_LEAST):
        return Turned(Why.FULL)
    return Passed()
