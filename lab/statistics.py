"""Statistics of paired comparisons: confidence intervals, significance and required numbers of seeds.

No I/O. The bootstrap resamples are drawn from a fixed key, so that the same data give the same results.
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
POWER = 0.8  # probability of detecting a true difference of the smallest detectable size
_NORMAL = NormalDist()
_Z = _NORMAL.inv_cdf(0.5 + LEVEL / 2.0)
MIN_PAIRS = 5  # with fewer pairs no interval is computed


class Interval(msgspec.Struct, frozen=True):
    """A mean with its bootstrap interval. The ends are NaN if there are too few values."""

    mean: float
    low: float
    high: float
    n: int

    def half_width(self) -> float:
        """Returns half the width of the interval."""
        return (self.high - self.low) / 2.0


def mean_interval(values: Sequence[float]) -> Interval:
    """Returns the mean with its 95% interval by the bias-corrected and accelerated bootstrap (Efron, "Better
    Bootstrap Confidence Intervals", 1987)."""
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
    left_out = (data.sum() - data) / (n - 1)  # jackknife means
    spread = left_out.mean() - left_out
    squares = float((spread**2).sum())
    acceleration = float((spread**3).sum()) / (6.0 * squares**1.5) if squares > 0 else 0.0
    ends = []
    for z in (-_Z, _Z):
        adjusted = _NORMAL.cdf(bias + (bias + z) / max(1.0 - acceleration * (bias + z), 1e-9))
        ends.append(float(means[min(max(int(adjusted * RESAMPLES), 0), RESAMPLES - 1)]))
    return Interval(mean, ends[0], ends[1], n)


class Comparison(msgspec.Struct, frozen=True):
    """A comparison of two variants on the same seeds.

    ``shows`` is the smallest difference that this many seeds can detect. ``settles`` is the number of seeds
    that would distinguish a difference as large as the one seen from none; 0: none was seen.
    """

    difference: Interval  # the first minus the second
    shows: float
    settles: int

    def verdict(self, first: str, second: str, metric: str) -> str:
        """Returns the result of the comparison as a sentence."""
        interval = self.difference
        if interval.n < MIN_PAIRS:
            return f"{interval.n} seeds are too few; use {MIN_PAIRS} or more"
        ends = f"[{interval.low:+.4f}, {interval.high:+.4f}]"
        if interval.low > 0.0 or interval.high < 0.0:
            more, less = (first, second) if interval.mean > 0 else (second, first)
            return f"{more} has {abs(interval.mean):.4f} more {metric} than {less} {ends} at n = {interval.n}"
        text = (
            f"no difference seen at n = {interval.n} {ends}, smallest detectable difference {self.shows:.4f}"
        )
        if self.settles:
            text += f"; {self.settles} seeds would settle a difference of {interval.mean:+.4f}"
        return text


def compare_paired(first: dict[int, float], second: dict[int, float]) -> Comparison:
    """Compares two sets of values by seed. Seeds that only one of them has are left out."""
    seeds = sorted(first.keys() & second.keys())
    differences = [first[seed] - second[seed] for seed in seeds]
    interval = mean_interval(differences)
    deviation = float(np.std(differences, ddof=1)) if len(seeds) > 1 else math.nan
    shows = (_Z + _NORMAL.inv_cdf(POWER)) * deviation / math.sqrt(max(len(seeds), 1))
    settles = 0
    if deviation > 0 and interval.mean != 0.0:
        settles = min(math.ceil((_Z * deviation / interval.mean) ** 2), 10**9)
    return Comparison(interval, shows, settles)


MIN_GAP = 0.01  # with a smaller gap between floor and ceiling no share of it is computed


def gap_closed(own: dict[int, float], floor: dict[int, float], ceiling: dict[int, float]) -> Interval:
    """Returns the share of the gap between a floor and a ceiling that a policy closes, from values by seed.

    It is a ratio of means, with a bootstrap interval over the seeds that all three have; NaN if the gap is
    smaller than MIN_GAP.
    """
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


def more_seeds(interval: Interval, precision: float, most: int) -> int:
    """Returns how many further seeds narrow the interval to a half-width of ``precision``.

    The width shrinks with the square root of n. The number is at least a fifth of the present one, and the
    total is at most ``most``; 0 if the interval is narrow enough or the limit is reached.
    """
    if interval.n >= most or (interval.n >= MIN_PAIRS and interval.half_width() <= precision):
        return 0
    if interval.n < MIN_PAIRS or precision <= 0:
        wanted = max(2 * interval.n, MIN_PAIRS)
    else:
        # Capped before squaring: a tiny precision cannot ask for more than ``most`` seeds.
        ratio = min(interval.half_width() / precision, math.sqrt(most))
        wanted = math.ceil(interval.n * ratio**2)
    return min(max(wanted, math.ceil(1.2 * interval.n), interval.n + 1), most) - interval.n
