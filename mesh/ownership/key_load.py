"""The traffic of each range of keys, as counted by first hops. No I/O; times are seconds of a monotonic
clock."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import accumulate

from mesh.ownership.key_map import BUCKET, KEYS

BUCKETS = KEYS // BUCKET
HALF_LIFE_S = 4.0  # after which a request counts as half of one
UNIFORM_SHARE = 0.05  # of all traffic, spread evenly, so that buckets without requests have some load
MIN_REQUESTS = 200.0  # below which the load is unknown


class KeyLoad:
    """The requests of one service by bucket, weighted by age."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._counts = [0.0] * BUCKETS
        self._scale = (
            1.0  # weight of a request now; its growth makes older ones decay without a pass over all
        )
        self._at: float | None = None

    def add(self, now: float, counts: Iterable[tuple[int, float]]) -> None:
        """Adds requests by bucket that were received about now."""
        self._decay(now)
        for bucket, count in counts:
            if 0 <= bucket < BUCKETS and 0.0 < count < 1e9:
                self._counts[bucket] += count * self._scale

    def _decay(self, now: float) -> None:
        if self._at is not None:
            self._scale *= 2.0 ** ((now - self._at) / HALF_LIFE_S)
        self._at = now
        if self._scale > 1e12:
            self._counts = [count / self._scale for count in self._counts]
            self._scale = 1.0

    def cumulative_shares(self) -> Sequence[float]:
        """Shares of all traffic up to each bucket: entry n is the sum of the first n, the last one 1. Uniform
        if too few requests were counted."""
        seen = sum(self._counts)
        if seen / self._scale < MIN_REQUESTS:
            return [bucket / BUCKETS for bucket in range(BUCKETS + 1)]
        even, scale = UNIFORM_SHARE / BUCKETS, (1.0 - UNIFORM_SHARE) / seen
        return list(accumulate((even + scale * count for count in self._counts), initial=0.0))

    def has_enough_requests(self) -> bool:
        """Whether enough requests were counted to balance by them."""
        return sum(self._counts) / self._scale >= MIN_REQUESTS
