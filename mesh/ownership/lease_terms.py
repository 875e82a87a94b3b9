"""How long a hold lasts, and how long whoever gives its keys on waits. No I/O; seconds of steady clocks.

The argument stands in docs/design/ownership.md: no hold that rests on a map read from a question sent at p
lasts beyond p + `lease_s`, by any clock; so `wait_s` after a row is known to leave, nobody holds it.
"""

from __future__ import annotations

from msgspec import Struct

LEASE_SHARE = 0.5  # of hold_max_ms
UPSTREAM_CLOCK_ERROR = 0.02  # the most by which an upstream's clock is slow
CLOCK_RATE_ERROR = 0.01  # by which two processes' steady clocks may differ in rate
WAIT_MARGIN_S = 0.1  # for timers that fire late
MIN_HOLD_S = 0.3  # a shorter hold is not worth giving


class LeaseTerms(Struct, frozen=True):
    """Of one deployment."""

    lease_s: float

    @property
    def wait_s(self) -> float:
        """From when a row is known to leave until it may be given on without its holder's word."""
        return self.lease_s * (1.0 + CLOCK_RATE_ERROR) + WAIT_MARGIN_S

    def hold_s(self, now: float, asked_at: float) -> float:
        """Of a hold given now by a map that was current when a question was sent at ``asked_at``; 0 where
        that is too long ago."""
        left = (asked_at + self.lease_s - now) * (1.0 - UPSTREAM_CLOCK_ERROR - CLOCK_RATE_ERROR)
        return left if left >= MIN_HOLD_S else 0.0


def lease_terms_for(hold_max_ms: float) -> LeaseTerms:
    """For the operators' longest hold."""
    return LeaseTerms(LEASE_SHARE * hold_max_ms / 1000.0)
