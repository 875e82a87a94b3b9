"""Whether at all: a limit on what is out that follows latency, with servers chosen as the least out of
two."""

from __future__ import annotations

import math

from hareloom import interface as api
from hareloom.interface import Outcome
from lab.policies.choices import LeastOfTwo
from lab.policies.plain import Held, Known

WINDOW = 20  # answers between two moves
SMOOTH = 0.2
LONG = 0.02  # smoothing of the long mean that the short one is held against
TOLERANCE = 1.5
LEAST, MOST = 2.0, 2000.0


class GradientLimit(LeastOfTwo):
    """The limit shrinks with the gradient of latency, long mean to short, and grows by a root of itself while
    there is none (as concurrency limits by gradient are published). Calls over it are refused."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.limit, self.long_ms = 20.0, 0.0
        self.samples: list[float] = []
        self.most_out = 0

    def admits(self, held: Held) -> bool:
        return self.out < self.limit

    def learnt(self, server: Known, outcome: Outcome, latency: float) -> None:
        self.most_out = max(self.most_out, self.out + 1)
        if outcome is Outcome.FULL or outcome is Outcome.TIMEOUT:
            self.limit = max(self.limit * 0.95, LEAST)
        if outcome is not Outcome.OK:
            return
        self.samples.append(latency)
        if len(self.samples) < WINDOW:
            return
        short = sum(self.samples) / len(self.samples)
        self.samples.clear()
        self.long_ms += LONG * (short - self.long_ms) if self.long_ms else short
        gradient = max(0.5, min(1.0, TOLERANCE * self.long_ms / max(short, 1e-9)))
        if self.most_out >= 0.5 * self.limit or gradient < 1.0:
            wanted = self.limit * gradient + math.sqrt(self.limit)
            self.limit = min(max((1.0 - SMOOTH) * self.limit + SMOOTH * wanted, LEAST), MOST)
        self.most_out = 0
