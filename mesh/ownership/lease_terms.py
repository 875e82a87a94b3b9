"""How long a hold lasts, and how long the control plane waits before it passes keys on. No I/O; times are
seconds of monotonic clocks.

The argument is in docs/design/ownership.md: no hold that rests on a map confirmed by a request sent at p
lasts beyond p + `lease_s`, by any clock; so `wait_s` after a row is known to leave, no upstream holds it.
"""

from __future__ import annotations

from msgspec import Struct

LEASE_SHARE = 0.5  # of hold_max_ms
UPSTREAM_CLOCK_ERROR = 0.02  # highest rate by which an upstream's clock may be slow
CLOCK_RATE_ERROR = 0.01  # highest difference in rate of two processes' monotonic clocks
WAIT_MARGIN_S = 0.1  # for late timers
MIN_HOLD_S = 0.3  # shorter holds are not granted


class LeaseTerms(Struct, frozen=True):
    """The durations of leases and holds of one deployment."""

    lease_s: float

    @property
    def wait_s(self) -> float:
        """The time from when a row is known to leave until it may be passed on without a release."""
        return self.lease_s * (1.0 + CLOCK_RATE_ERROR) + WAIT_MARGIN_S

    def hold_s(self, now: float, asked_at: float) -> float:
        """The duration of a hold granted now from a map that was current when a request was sent at
        ``asked_at``; 0 if that is too long ago."""
        left = (asked_at + self.lease_s - now) * (1.0 - UPSTREAM_CLOCK_ERROR - CLOCK_RATE_ERROR)
        return left if left >= MIN_HOLD_S else 0.0


def lease_terms_for(hold_max_ms: float) -> LeaseTerms:
    """The terms for the configured longest hold."""
    return LeaseTerms(LEASE_SHARE * hold_max_ms / 1000.0)
