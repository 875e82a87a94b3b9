"""Is one better, or is it noise: differences paired by seed, their interval, and how many seeds would tell.

No I/O; the resamples are drawn from a fixed key, so that the same differences give the same words.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from statistics import NormalDist
from typing import Any

import msgspec
import numpy as np

RESAMPLES = 4000
LEVEL = 0.95
POWER = 0.8  # how often a true difference of the smallest that would show is seen
_NORMAL = NormalDist()
_Z = _NORMAL.inv_cdf(0.5 + LEVEL / 2.0)
MIN_PAIRS = 5  # below so many pairs an interval says nothing


class Interval(msgspec.Struct, frozen=True):
    """A mean with its bootstrap interval; NaN ends where there are too few."""

    mean: float
    low: float
    high: float
    n: int

    def half_width(self) -> float:
        return (self.high - self.low) / 2.0


def mean_interval(values: Sequence[float]) -> Interval:
    """The mean's interval at 95%, bias-corrected and accelerated (Efron, "Better Bootstrap Confidence
    Intervals", 1987)."""
    data = np.asarray(values, dtype=np.float64)
    n = len(data)
    if n == 0:
        return Interval(math.nan, math.nan, math.nan, 0)
    mean = float(data.mean())
    if n < MIN_PAIRS:
        return Interval(mean, math.nan, math.nan, n)
    if float(data.std()) == 0.0:
        return Interval(mean, mean, mean, n)
    generator = np.random.Generator(np.random.Philox(key=n))
    means = np.sort(data[generator.integers(0, n, size=(RESAMPLES, n))].mean(axis=1))
    below = (np.count_nonzero(means < mean) + 0.5 * np.count_nonzero(means == mean)) / RESAMPLES
    bias = _NORMAL.inv_cdf(min(max(below, 1.0 / RESAMPLES), 1.0 - 1.0 / RESAMPLES))
    left_out = (data.sum() - data) / (n - 1)  # the jackknife
    spread = left_out.mean() - left_out
    squares = float((spread**2).sum())
    acceleration = float((spread**3).sum()) / (6.0 * squares**1.5) if squares > 0 else 0.0
    ends = []
    for z in (-_Z, _Z):
        adjusted = _NORMAL.cdf(bias + (bias + z) / max(1.0 - acceleration * (bias + z), 1e-9))
        ends.append(float(means[min(max(int(adjusted * RESAMPLES), 0), RESAMPLES - 1)]))
    return Interval(mean, ends[0], ends[1], n)


class Comparison(msgspec.Struct, frozen=True):
    """Two ways on the same seeds. ``shows`` is the smallest difference that so many seeds would show;
    ``settles`` how many would tell a difference as large as the one seen from none (0: none seen)."""

    difference: Interval  # the first less the second
    shows: float
    settles: int

    def verdict(self, first: str, second: str, metric: str) -> str:
        found = self.difference
        if found.n < MIN_PAIRS:
            return f"{found.n} seeds say nothing; play {MIN_PAIRS} at the least"
        ends = f"[{found.low:+.4f}, {found.high:+.4f}]"
        if found.low > 0.0 or found.high < 0.0:
            more, less = (first, second) if found.mean > 0 else (second, first)
            return f"{more} has {abs(found.mean):.4f} more {metric} than {less} {ends} at n = {found.n}"
        words = f"no difference seen at n = {found.n} {ends}, smallest that would show {self.shows:.4f}"
        if self.settles:
            words += f"; {self.settles} seeds would settle one of {found.mean:+.4f}"
        return words


def compare_paired(first: dict[int, float], second: dict[int, float]) -> Comparison:
    """Values by seed; seeds that only one has are left out."""
    seeds = sorted(first.keys() & second.keys())
    differences = [first[seed] - second[seed] for seed in seeds]
    found = mean_interval(differences)
    deviation = float(np.std(differences, ddof=1)) if len(seeds) > 1 else math.nan
    shows = (_Z + _NORMAL.inv_cdf(POWER)) * deviation / math.sqrt(max(len(seeds), 1))
    settles = 0
    if deviation > 0 and found.mean != 0.0:
        settles = min(math.ceil((_Z * deviation / found.mean) ** 2), 10**9)
    return Comparison(found, shows, settles)


MIN_GAP = 0.01  # a ceiling nearer than that to the floor says nothing of the way between


def gap_closed(own: dict[int, float], floor: dict[int, float], ceiling: dict[int, float]) -> Interval:
    """What part of the way from a floor to a ceiling a policy goes, values by seed: a ratio of means, its
    interval by a bootstrap over the seeds that all three have. NaN where the two lie within MIN_GAP."""
    seeds = sorted(own.keys() & floor.keys() & ceiling.keys())
    table = np.array([(own[seed], floor[seed], ceiling[seed]) for seed in seeds], dtype=np.float64)
    if not seeds or table[:, 2].mean() - table[:, 1].mean() < MIN_GAP:
        return Interval(math.nan, math.nan, math.nan, len(seeds))
    mean = _gap_share(table)
    if len(seeds) < MIN_PAIRS:
        return Interval(float(mean), math.nan, math.nan, len(seeds))
    generator = np.random.Generator(np.random.Philox(key=len(seeds)))
    drawn = _gap_share(table[generator.integers(0, len(seeds), size=(RESAMPLES, len(seeds)))])
    low, high = np.quantile(drawn, [0.5 - LEVEL / 2.0, 0.5 + LEVEL / 2.0])
    return Interval(float(mean), float(min(low, mean)), float(max(high, mean)), len(seeds))


def _gap_share(table: Any) -> Any:
    own, floor, ceiling = (table[..., column].mean(axis=-1) for column in range(3))
    return (own - floor) / np.maximum(ceiling - floor, 1e-12)


def more_seeds(found: Interval, precision: float, most: int) -> int:
    """How many further seeds make the interval half as wide as ``precision``, by the root of n; at least a
    fifth more, at most ``most`` in all. 0: it is narrow enough, or the bound is reached."""
    if found.n >= most or (found.n >= MIN_PAIRS and found.half_width() <= precision):
        return 0
    if found.n < MIN_PAIRS or precision <= 0:
        wanted = max(2 * found.n, MIN_PAIRS)
    else:
        # Nobody plays more than ``most``, however narrow it is asked to be.
        wider = min(found.half_width() / precision, math.sqrt(most))
        wanted = math.ceil(found.n * wider**2)
    return min(max(wanted, math.ceil(1.2 * found.n), found.n + 1), most) - found.n
