"""The second hop's last word: whether a call goes on to the upstream beside this sidecar. No I/O.

What is turned away here has not run and never will; the first hop may send it elsewhere.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from mesh.membership.instance_lifecycle import Upstream

DRAIN_SHARE = 0.5  # of drain_ms from the acknowledgement of a drain, calls still pass; then none does
# Calls at the upstream beyond its slots, as a share of these: one is there when a slot gets free. The others
# wait here, where the next can be chosen.
OVERCOMMIT_SHARE, MIN_OVERCOMMIT = 0.1, 1
QUEUE_FACTOR = 4  # calls that wait here, as a multiple of the slots
DEFAULT_SLOTS = 8  # before the upstream has said how many it has


class RejectReason(str, Enum):
    """Why a call was turned away."""

    FULL = "full"  # at its bound; others may have room
    OTHER = "other"  # another instance is here now
    LEAVING = "leaving"  # draining, or this sidecar ends
    DOWN = "down"  # nothing is there
    LATE = "late"  # no time is left
    OLD = "old"  # by a version of its route that a newer one has followed
    LOST = "lost"  # it had not been passed on when its lost link was asked after, and never will be


class Rejected(Struct, frozen=True):
    reason: RejectReason


class Admitted(Struct, frozen=True):
    """It goes on, or waits for a place."""


def check_admission(now: float, upstream: Upstream, instance: str, left_ms: float) -> Admitted | Rejected:
    """``instance``: whom the first hop chose."""
    beat = upstream.heartbeat
    if left_ms <= 0.0:
        return Rejected(RejectReason.LATE)
    if beat is None:  # a start without a beat yet: the upstream itself tells whether it is the one
        return Rejected(RejectReason.LEAVING) if instance in upstream.published_decaying else Admitted()
    if beat.instance != instance:
        return Rejected(RejectReason.OTHER)
    if upstream.gone:
        return Rejected(RejectReason.DOWN)
    since = upstream.drain_started_at
    if since is not None and now - since > DRAIN_SHARE * upstream.drain_ms:
        return Rejected(RejectReason.LEAVING)
    return Admitted()


def call_limits(upstream: Upstream) -> tuple[int, int]:
    """How many calls may be at the upstream, and how many may wait for it here."""
    slots = upstream.heartbeat.capacity if upstream.heartbeat is not None else DEFAULT_SLOTS
    return slots + max(int(OVERCOMMIT_SHARE * slots), MIN_OVERCOMMIT), QUEUE_FACTOR * slots
