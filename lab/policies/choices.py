"""Which server: the textbook ways, nothing else added."""

from __future__ import annotations

import math
from collections.abc import Sequence

from hareloom import interface as api
from hareloom.interface import Outcome
from lab.policies.plain import Held, Known, Plain

DECAY_MS = 10_000.0  # of a smoothed latency
PENALTY = 5.0  # a failure counts as so many times what is smoothed
EJECT_AFTER, EJECT_MS, EJECT_MOST = 5, 5000.0, 0.5  # failures in a row; how long; of all servers


class RoundRobin(Plain):
    """One after the other, each sidecar from a place of its own."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.turn = self.chance.randrange(1 << 20)

    def pick(self, among: Sequence[Known], held: Held) -> Known:
        self.turn += 1
        return among[self.turn % len(among)]


class Random(Plain):
    def pick(self, among: Sequence[Known], held: Held) -> Known:
        return among[int(self.chance.random() * len(among))]


class LeastOfTwo(Random):
    """Of two drawn at random the one with fewer out (Mitzenmacher, "The Power of Two Choices", 2001)."""

    def pick(self, among: Sequence[Known], held: Held) -> Known:
        first, second = super().pick(among, held), super().pick(among, held)
        return first if self.standing(first) <= self.standing(second) else second

    def standing(self, server: Known) -> float:
        return server.out


class SmoothedOfTwo(LeastOfTwo):
    """Of two drawn at random the one with the lower smoothed latency times what is out: peaks count at once,
    and are forgotten by time."""

    def standing(self, server: Known) -> float:
        return server.smoothed * (server.out + 1)

    def learnt(self, server: Known, outcome: Outcome, latency: float) -> None:
        if outcome is Outcome.CANCELLED or outcome is Outcome.MOOT:
            return
        if outcome is not Outcome.OK:
            latency = max(latency, PENALTY * server.smoothed, 1.0)
        if latency > server.smoothed:
            server.smoothed = latency
        else:
            keep = math.exp(-max(self.now - server.sampled, 0.0) / DECAY_MS)
            server.smoothed = keep * server.smoothed + (1.0 - keep) * latency
        server.sampled = self.now


class Ejecting(LeastOfTwo):
    """Least out of two, without servers that failed several times in a row: those are left out for a while
    that grows with each time, but never more than half of all."""

    def pick(self, among: Sequence[Known], held: Held) -> Known:
        stay = [server for server in among if server.ejected_until <= self.now]
        return super().pick(stay if len(stay) >= (1.0 - EJECT_MOST) * len(among) else among, held)

    def learnt(self, server: Known, outcome: Outcome, latency: float) -> None:
        if outcome is Outcome.OK:
            server.failures = 0
            server.ejections = (
                max(server.ejections - 1, 0) if server.ejected_until < self.now else server.ejections
            )
        elif outcome is not Outcome.CANCELLED and outcome is not Outcome.MOOT:
            server.failures += 1
            if server.failures >= EJECT_AFTER:
                server.ejections += 1
                server.failures = 0
                server.ejected_until = self.now + EJECT_MS * server.ejections
