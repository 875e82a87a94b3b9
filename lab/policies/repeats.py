"""Whether again, and when: the ways to retry, with servers chosen as the least out of two."""

from __future__ import annotations

from hareloom import interface as api
from lab.policies.choices import LeastOfTwo
from lab.policies.plain import Held

BUDGET_SHARE, BUDGET_SAVED = 0.1, 10.0  # repeats a call, saved up to so many
BACKOFF_MS, BACKOFF_MOST_MS = 25.0, 1000.0


class FixedRetries(LeastOfTwo):
    """Again at once, as often as the settings let."""

    def again(self, held: Held) -> float | None:
        return 0.0


class RetryBudget(LeastOfTwo):
    """Again at once, while repeats are a small part of all calls."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.budget = BUDGET_SAVED

    def taken(self, held: Held) -> None:
        self.budget = min(self.budget + BUDGET_SHARE, BUDGET_SAVED)

    def again(self, held: Held) -> float | None:
        if self.budget < 1.0:
            return None
        self.budget -= 1.0
        return 0.0


class JitteredBackoff(LeastOfTwo):
    """Again after a wait drawn from 0 to a bound that doubles ("full jitter")."""

    def again(self, held: Held) -> float | None:
        most = min(BACKOFF_MS * 2.0 ** len(held.sent), BACKOFF_MOST_MS)
        return max(self.chance.uniform(0.0, most), 1.0)
