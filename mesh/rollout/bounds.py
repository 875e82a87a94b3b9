"""Times of a staged rollout, derived from the settling and acknowledgement bounds of a deployment. No I/O."""

from __future__ import annotations

from msgspec import Struct

# Share of settle_ms for which other sidecars hold a change back for its canaries; the rest is propagation.
# 0 switches the hold off: every sidecar then activates every change at once.
HOLD_SHARE = 0.3
ACK_SHARE = 0.15  # of the shorter of ack_ms and CALLER_TIMEOUT_S: how long an acknowledgement waits
CALLER_TIMEOUT_S = 1.0  # an operator's client tries another process after this much silence


class RolloutTimes(Struct, frozen=True):
    """Seconds. ``hold_s``: the longest time that a sidecar holds a received item back. ``propagation_s``: the
    part of the settling time that is left for propagation. ``ack_wait_s``: the longest time that an
    acknowledgement waits for the canaries. ``adoption_s``: this long after a process received an item that
    was acknowledged, every sidecar in contact has activated it."""

    hold_s: float
    propagation_s: float
    ack_wait_s: float
    adoption_s: float


def derive_rollout_times(settle_ms: float, ack_ms: float, share: float | None = None) -> RolloutTimes:
    """``share`` replaces HOLD_SHARE; at most 0.5 is used, because propagation needs the greater part."""
    settle_s, ack_s = settle_ms / 1000.0, ack_ms / 1000.0
    hold_s = min(max(HOLD_SHARE if share is None else share, 0.0), 0.5) * settle_s
    ack_wait_s = ACK_SHARE * min(ack_s, CALLER_TIMEOUT_S) if hold_s > 0.0 else 0.0
    return RolloutTimes(hold_s, settle_s - hold_s, ack_wait_s, settle_s + ack_s)
