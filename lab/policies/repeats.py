"""Textbook retry policies, with servers chosen as the least loaded of two."""

from __future__ import annotations

from hareloom import interface as api
from lab.policies.choices import LeastOfTwo
from lab.policies.plain import PendingRequest

BUDGET_PER_CALL, MAX_BUDGET = 0.1, 10.0  # retries that each call adds to the budget, and its upper bound
BACKOFF_MS, MAX_BACKOFF_MS = 25.0, 1000.0


class FixedRetries(LeastOfTwo):
    """Immediate retries, up to the maximum number of attempts in the settings."""

    def retry_delay_ms(self, pending: PendingRequest) -> float | None:
        return 0.0


class RetryBudget(LeastOfTwo):
    """Immediate retries while the budget lasts, which is a small share of all calls."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.budget = MAX_BUDGET

    def on_request(self, pending: PendingRequest) -> None:
        self.budget = min(self.budget + BUDGET_PER_CALL, MAX_BUDGET)

    def retry_delay_ms(self, pending: PendingRequest) -> float | None:
        if self.budget < 1.0:
            return None
        self.budget -= 1.0
        return 0.0


class JitteredBackoff(LeastOfTwo):
    """Retries after a random delay between 0 and a bound that doubles with each attempt ("full jitter")."""

    def retry_delay_ms(self, pending: PendingRequest) -> float | None:
        bound = min(BACKOFF_MS * 2.0 ** len(pending.attempts), MAX_BACKOFF_MS)
        return max(self.rng.uniform(0.0, bound), 1.0)
