"""What the rules' two clocks leave for stages, derived from a deployment's own figures. No I/O."""

from __future__ import annotations

from msgspec import Struct

# Of settle_ms, the rest of the sidecars wait for their first part; the remainder is the news' own. 0 switches
# the hold off: every sidecar then takes every change at once.
HOLD_SHARE = 0.3
ACK_SHARE = 0.15  # of the shorter of ack_ms and what an operator's caller bears, an acknowledgement waits
CALLER_TIMEOUT_S = 1.0  # an operator's caller goes elsewhere after that much silence


class RolloutTimes(Struct, frozen=True):
    """Seconds. ``hold_s``: so long after the news a sidecar of the rest takes an item at the latest.
    ``news_s``: what is left of the settling time for the news. ``ack_wait_s``: an acknowledgement waits for
    the first part so long at most. ``newer_s``: after so long every sidecar in touch has an item that was
    acknowledged."""

    hold_s: float
    propagation_s: float
    ack_wait_s: float
    adoption_s: float


def derive_rollout_times(settle_ms: float, ack_ms: float, share: float | None = None) -> RolloutTimes:
    """``share`` in place of HOLD_SHARE, at most 0.5: the news want the greater part."""
    settle_s, ack_s = settle_ms / 1000.0, ack_ms / 1000.0
    hold_s = min(max(HOLD_SHARE if share is None else share, 0.0), 0.5) * settle_s
    ack_wait_s = ACK_SHARE * min(ack_s, CALLER_TIMEOUT_S) if hold_s > 0.0 else 0.0
    return RolloutTimes(hold_s, settle_s - hold_s, ack_wait_s, settle_s + ack_s)
