"""Textbook policies for the choice of a server."""

from __future__ import annotations

import math
from collections.abc import Sequence

from hareloom import interface as api
from hareloom.interface import Outcome
from lab.policies.plain import BasePolicy, PendingRequest, ServerRecord

LATENCY_DECAY_MS = 10_000.0  # time constant of the smoothed latency
FAILURE_LATENCY_FACTOR = 5.0  # a failure counts as this multiple of the smoothed latency
EJECT_AFTER_FAILURES = 5  # in a row
EJECT_MS = 5000.0  # times the number of ejections
MAX_EJECTED_SHARE = 0.5  # of all servers


class RoundRobin(BasePolicy):
    """One server after the other; each sidecar starts at a random one."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.next_index = self.rng.randrange(1 << 20)

    def choose(self, candidates: Sequence[ServerRecord], pending: PendingRequest) -> ServerRecord:
        self.next_index += 1
        return candidates[self.next_index % len(candidates)]


class Random(BasePolicy):
    """A server drawn uniformly at random."""

    def choose(self, candidates: Sequence[ServerRecord], pending: PendingRequest) -> ServerRecord:
        return candidates[int(self.rng.random() * len(candidates))]


class LeastOfTwo(Random):
    """The less loaded of two servers drawn at random (Mitzenmacher, "The Power of Two Choices", 2001)."""

    def choose(self, candidates: Sequence[ServerRecord], pending: PendingRequest) -> ServerRecord:
        first, second = super().choose(candidates, pending), super().choose(candidates, pending)
        return first if self.rank(first) <= self.rank(second) else second

    def rank(self, server: ServerRecord) -> float:
        """The load by which the two are compared; the lower one is chosen."""
        return server.in_flight


class SmoothedOfTwo(LeastOfTwo):
    """Of two servers drawn at random, the one with the lower product of smoothed latency and calls in flight.

    A higher latency is adopted at once and decays over time (peak EWMA)."""

    def rank(self, server: ServerRecord) -> float:
        return server.smoothed * (server.in_flight + 1)

    def record_outcome(self, server: ServerRecord, outcome: Outcome, latency: float) -> None:
        if outcome is Outcome.CANCELLED or outcome is Outcome.MOOT:
            return
        if outcome is not Outcome.OK:
            latency = max(latency, FAILURE_LATENCY_FACTOR * server.smoothed, 1.0)
        if latency > server.smoothed:
            server.smoothed = latency
        else:
            old_weight = math.exp(-max(self.now - server.sampled, 0.0) / LATENCY_DECAY_MS)
            server.smoothed = old_weight * server.smoothed + (1.0 - old_weight) * latency
        server.sampled = self.now


class Ejecting(LeastOfTwo):
    """Least of two, without ejected servers (outlier ejection).

    A server is ejected after several failures in a row, longer with each ejection. No more than half of the
    servers are left out."""

    def choose(self, candidates: Sequence[ServerRecord], pending: PendingRequest) -> ServerRecord:
        not_ejected = [server for server in candidates if server.ejected_until <= self.now]
        return super().choose(
            not_ejected if len(not_ejected) >= (1.0 - MAX_EJECTED_SHARE) * len(candidates) else candidates,
            pending,
        )

    def record_outcome(self, server: ServerRecord, outcome: Outcome, latency: float) -> None:
        if outcome is Outcome.OK:
            server.failures = 0
            server.ejections = (
                max(server.ejections - 1, 0) if server.ejected_until < self.now else server.ejections
            )
        elif outcome is not Outcome.CANCELLED and outcome is not Outcome.MOOT:
            server.failures += 1
            if server.failures >= EJECT_AFTER_FAILURES:
                server.ejections += 1
                server.failures = 0
                server.ejected_until = self.now + EJECT_MS * server.ejections
