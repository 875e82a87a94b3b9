"""Adaptive limits on the calls in flight, with servers chosen as the least loaded of two."""

from __future__ import annotations

import math

from hareloom import interface as api
from hareloom.interface import Outcome
from lab.policies.choices import LeastOfTwo
from lab.policies.plain import PendingRequest, ServerRecord

SAMPLES_PER_UPDATE = 20  # latency samples between two updates of the limit
LIMIT_SMOOTHING = 0.2
LONG_MEAN_SMOOTHING = 0.02  # of the long-term mean that the short-term mean is compared with
TOLERANCE = 1.5  # ratio of short-term to long-term latency that does not shrink the limit
MIN_LIMIT, MAX_LIMIT = 2.0, 2000.0


class GradientLimit(LeastOfTwo):
    """A concurrency limit by latency gradient, as published for adaptive concurrency limits.

    The limit is multiplied by the ratio of long-term to short-term mean latency and grows by its square root.
    Calls above it are refused."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.limit, self.long_mean_ms = 20.0, 0.0
        self.samples: list[float] = []
        self.peak_in_flight = 0

    def admits(self, pending: PendingRequest) -> bool:
        return self.in_flight < self.limit

    def record_outcome(self, server: ServerRecord, outcome: Outcome, latency: float) -> None:
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight + 1)
        if outcome is Outcome.FULL or outcome is Outcome.TIMEOUT:
            self.limit = max(self.limit * 0.95, MIN_LIMIT)
        if outcome is not Outcome.OK:
            return
        self.samples.append(latency)
        if len(self.samples) < SAMPLES_PER_UPDATE:
            return
        short_mean_ms = sum(self.samples) / len(self.samples)
        self.samples.clear()
        self.long_mean_ms += (
            LONG_MEAN_SMOOTHING * (short_mean_ms - self.long_mean_ms) if self.long_mean_ms else short_mean_ms
        )
        gradient = max(0.5, min(1.0, TOLERANCE * self.long_mean_ms / max(short_mean_ms, 1e-9)))
        if self.peak_in_flight >= 0.5 * self.limit or gradient < 1.0:
            target = self.limit * gradient + math.sqrt(self.limit)
            self.limit = min(
                max((1.0 - LIMIT_SMOOTHING) * self.limit + LIMIT_SMOOTHING * target, MIN_LIMIT), MAX_LIMIT
            )
        self.peak_in_flight = 0
