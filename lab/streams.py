"""Named random streams of one seed, each independent of all others.

Two policies that play one seed meet the same arrivals and the same troubles (common random numbers), because
each purpose draws from a stream of its own: how often one purpose draws moves no other, and a stream that is
added changes none that stands. Philox is counter-based: a key is all that a stream needs (Salmon et al.,
"Parallel Random Numbers: As Easy as 1, 2, 3", 2011).
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from functools import cache

import numpy as np
import xxhash

BLOCK = 256  # uniforms drawn at a time: one by one they cost ten times as much
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


class Stream:
    """Draws in one order, whatever other streams do."""

    __slots__ = ("_generator", "_block")

    def __init__(self, key: int) -> None:
        self._generator = np.random.Generator(np.random.Philox(key=key))
        self._block: list[float] = []

    def random(self) -> float:
        """At least 0, below 1."""
        if not self._block:
            self._block = self._generator.random(BLOCK).tolist()
        return self._block.pop()

    def uniform(self, low: float, high: float) -> float:
        return low + (high - low) * self.random()

    def log_uniform(self, low: float, high: float) -> float:
        return float(low * (high / low) ** self.random())

    def exponential(self, mean: float) -> float:
        return -mean * math.log(1.0 - self.random())

    def integer_below(self, below: int) -> int:
        """At least 0, below ``below``."""
        return int(self.random() * below)

    def pick_index(self, bounds: Sequence[float]) -> int:
        """The place of a draw among cumulated shares, the last of which is their sum."""
        place = bisect_right(bounds, self.random() * bounds[-1])
        return place if place < len(bounds) else len(bounds) - 1

    def permutation(self, size: int) -> list[int]:
        order = list(range(size))
        for at in range(size - 1, 0, -1):
            other = self.integer_below(at + 1)
            order[at], order[other] = order[other], order[at]
        return order


def lognormal(share: float, cv: float) -> float:
    """The lognormal value of mean 1 and this coefficient of variation at a quantile (share, in 0 to 1)."""
    if cv <= 0.0:
        return 1.0
    deviation = _deviation(cv)
    return math.exp(deviation * (_normal(share) - 0.5 * deviation))


@cache
def _deviation(cv: float) -> float:
    """Of the logarithm."""
    return math.sqrt(math.log1p(cv * cv))


def _normal(share: float) -> float:
    """The standard normal quantile, to 4.5e-4 (Abramowitz and Stegun, 26.2.23): far less than a model's
    error, and a quarter of the exact one's time."""
    tail = share if share < 0.5 else 1.0 - share
    t = math.sqrt(-2.0 * math.log(tail if tail > 1e-12 else 1e-12))
    value = t - (2.515517 + t * (0.802853 + t * 0.010328)) / (
        1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308))
    )
    return -value if share < 0.5 else value


def golden_ratio_draw(draw: float, step: int) -> float:
    """Returns the ``step``-th uniform draw derived from one draw: attempts of a call differ, but each is the
    same under every policy."""
    return (draw + GOLDEN_RATIO * step) % 1.0


class Streams:
    """All streams of one seed, by name."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, *name: object) -> Stream:
        text = "/".join(str(part) for part in (self.seed, *name))
        return Stream(xxhash.xxh3_128_intdigest(text.encode()))
