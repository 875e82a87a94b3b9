"""How much traffic each part of the keys gets, as first hops count it. No I/O; seconds of a steady clock."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import accumulate

from mesh.ownership.key_map import BUCKET, KEYS

BUCKETS = KEYS // BUCKET
HALF_LIFE_S = 4.0  # after which a request counts half
UNIFORM_SHARE = 0.05  # of all traffic, as if it came evenly: what nothing is known of is not worth nothing
MIN_REQUESTS = 200.0  # requests, below which nothing is said of the traffic


class KeyLoad:
    """Of one service: requests by bucket, the newer ones counting more."""

    def __init__(self) -> None:
        """Nothing seen."""
        self._counts = [0.0] * BUCKETS
        self._scale = 1.0  # what a request counts now; grows, so that older ones fade without a pass over all
        self._at: float | None = None

    def add(self, now: float, counts: Iterable[tuple[int, float]]) -> None:
        """Requests by bucket, seen about now."""
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
        """Shares of all traffic up to each bucket: entry n is the sum of the first n, the last one 1. Even
        where too little was seen."""
        seen = sum(self._counts)
        if seen / self._scale < MIN_REQUESTS:
            return [bucket / BUCKETS for bucket in range(BUCKETS + 1)]
        even, scale = UNIFORM_SHARE / BUCKETS, (1.0 - UNIFORM_SHARE) / seen
        return list(accumulate((even + scale * count for count in self._counts), initial=0.0))

    def has_enough_requests(self) -> bool:
        """Whether enough was seen to go by it."""
        return sum(self._counts) / self._scale >= MIN_REQUESTS
