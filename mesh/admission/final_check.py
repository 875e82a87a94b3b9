"""Final check of the second hop: whether a call may be dispatched to the upstream beside this sidecar.

No I/O. A rejected call has not run and never will; the first hop may send it to another upstream.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from mesh.membership.instance_commands import DECAYING
from mesh.membership.instance_lifecycle import Upstream

DRAIN_SHARE = 0.5  # of drain_ms, from the acknowledgement of a drain; after it no call is admitted
# Calls dispatched beyond the upstream's slots, as a share of the slots, so that a call is there when a slot
# gets free. Further calls wait here, where the next one can be selected.
OVERCOMMIT_SHARE, MIN_OVERCOMMIT = 0.1, 1
QUEUE_FACTOR = 4  # waiting calls, as a multiple of the slots
DEFAULT_SLOTS = 8  # until the upstream has reported its capacity


class RejectReason(str, Enum):
    """Why a call was rejected."""

    FULL = "full"  # at the limit of calls; other upstreams may have room
    OTHER = "other"  # another instance runs here now
    LEAVING = "leaving"  # the upstream is draining, or this sidecar shuts down
    DOWN = "down"  # no upstream is running
    LATE = "late"  # the deadline has passed
    OLD = "old"  # routed by an outdated version of its route
    LOST = "lost"  # not dispatched when it was queried after the loss of its link, and never will be


class Rejected(Struct, frozen=True):
    """The call is not dispatched, and never will be."""

    reason: RejectReason


class Admitted(Struct, frozen=True):
    """The call is dispatched, or waits for a slot."""


def check_admission(
    now: float, upstream: Upstream, instance: str, remaining_ms: float
) -> Admitted | Rejected:
    """Checks a call; ``instance`` is the one that the first hop selected."""
    heartbeat = upstream.heartbeat
    if remaining_ms <= 0.0:
        return Rejected(RejectReason.LATE)
    if heartbeat is None:
        return _check_without_heartbeat(upstream, instance)
    if heartbeat.instance != instance:
        return Rejected(RejectReason.OTHER)
    if upstream.gone:
        return Rejected(RejectReason.DOWN)
    since = upstream.drain_started_at
    if since is not None and now - since > DRAIN_SHARE * upstream.drain_ms:
        return Rejected(RejectReason.LEAVING)
    return Admitted()


def _check_without_heartbeat(upstream: Upstream, instance: str) -> Admitted | Rejected:
    """Checks a call before the first heartbeat since the start: the upstream checks by itself that it is this
    instance, but may have left, as an earlier incarnation of this sidecar acknowledged."""
    if upstream.has_signed_off(instance):
        return Rejected(RejectReason.DOWN)
    published = upstream.find_published(instance)
    drains = published is not None and published.state == DECAYING
    return Rejected(RejectReason.LEAVING) if drains else Admitted()


def call_limits(upstream: Upstream) -> tuple[int, int]:
    """How many calls may be dispatched at once, and how many may wait."""
    slots = upstream.heartbeat.capacity if upstream.heartbeat is not None else DEFAULT_SLOTS
    return slots + max(int(OVERCOMMIT_SHARE * slots), MIN_OVERCOMMIT), QUEUE_FACTOR * slots
