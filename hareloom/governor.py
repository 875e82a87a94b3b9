"""The CPU budget of decisions: work is charged to a token bucket, and effort is reduced as it empties.

The host supplies the cost of each kind of work (`interface.Costs`) and the budget (`Limits.cpu_us_per_s`). No
clock is read here. The bucket is filled at a constant rate and holds the cost of a short time, so that no
window of a second costs more than the budget.

Effort falls in levels as the bucket empties, and rises again at higher marks (hysteresis):

    FULL      every active server is examined for a request
    SAMPLED   only a few are, in rotation
    NO_QUEUE  in addition no request is queued, which costs a timer and a second choice
    SHED      in addition requests that the bucket cannot pay for are refused at once, those of less worth
              first: a refusal costs least, and is harmless

Delays of the host's event loop lower the effort by the same levels.
"""

from __future__ import annotations

from typing import Final

from hareloom import interface as api

FULL, SAMPLED, NO_QUEUE, SHED = 0, 1, 2, 3
# The bucket's rate as a share of the budget, and its capacity in milliseconds of the budget: together below
# the budget of a second, with a margin for costs that the host reports too low.
RATE_SHARE: Final = 0.87
BUCKET_MS: Final = 80.0
# Fill at which effort falls to each level, and at which it rises from it.
MARKS: Final = ((0.7, 0.9), (0.5, 0.7), (0.35, 0.5))
RESERVED_SHARE: Final = 0.35  # of the bucket, for the classes of the highest worth per work
COST_RATIO: Final = 1.5  # above this multiple of a request's budget, servers are sampled
COST_ALPHA: Final = 0.98  # smoothing of the cost of a request, per request
# Host delay, as a share of the shortest aim, at which effort falls to each level; it rises at half of that. A
# delay decays by half in HALF_LIFE_AIMS.
DELAYS: Final = (0.1, 0.2, 0.5)
HALF_LIFE_AIMS: Final = 1.0


class Governor:
    """``level`` is the current effort. Costs are in microseconds, instants and delays in milliseconds."""

    def __init__(self, settings: api.Settings) -> None:
        costs, limits = settings.costs, settings.limits
        self.costs = costs
        self.rate = RATE_SHARE * limits.cpu_us_per_s / 1000.0  # microseconds a millisecond
        self.capacity = limits.cpu_us_per_s / 1000.0 * BUCKET_MS
        # Without costs or a budget nothing is charged.
        self.enabled = self.rate > 0.0 and costs.request + costs.ended + costs.pick + costs.look > 0.0
        self.per_request = limits.cpu_us_per_request
        self.tokens, self.refilled_at = self.capacity, 0.0
        self.started = False
        self.level = FULL
        self.fill_level, self.delay_level = FULL, FULL
        self.mean_cost = costs.request + costs.pick + costs.ended  # of a served request with all its events
        self.spent = 0.0  # since the last admitted request
        self.aim = min(item.aim_ms for item in settings.classes)
        self.delay = 0.0

    def refill(self, now: float) -> None:
        """Adds the tokens since the last call and decays the host's delay."""
        if self.started and now > self.refilled_at:
            span = now - self.refilled_at
            self.tokens = min(self.tokens + self.rate * span, self.capacity)
            if self.delay > 0.0:
                self.delay *= 0.5 ** min(span / (HALF_LIFE_AIMS * self.aim), 64.0)
                self._update_level()
        self.started, self.refilled_at = True, now

    def spend(self, cost: float) -> None:
        """Charges work. The debt is at most the bucket's capacity: more would refuse all requests for seconds
        after one list of thousands of servers."""
        self.tokens = max(self.tokens - cost, -self.capacity)
        self.spent += cost
        self._update_level()

    def on_accepted(self) -> None:
        """Records that a request was admitted: the cost since the last one, without refusals, is
        approximately the cost of one request."""
        self.mean_cost = COST_ALPHA * self.mean_cost + (1.0 - COST_ALPHA) * min(self.spent, self.capacity)
        self.spent = 0.0

    def on_refused(self) -> None:
        """Records that a request was refused at once."""
        self.spent = max(self.spent - self.costs.request, 0.0)

    def affords(self, most_worth: bool) -> bool:
        """Returns whether the budget admits a request."""
        if self.level < SHED:
            return True
        if self.delay_level == SHED and self.fill_level < SHED:
            return most_worth  # the host is delayed: only the highest worth is admitted
        return self.tokens >= self.mean_cost + (0.0 if most_worth else RESERVED_SHARE * self.capacity)

    def on_delay(self, delay: float) -> None:
        """Records a delay of the host's event loop."""
        if delay == delay and delay > self.delay:  # ignores NaN
            self.delay = min(delay, 1e9)
            self._update_level()

    def _update_level(self) -> None:
        if self.enabled:
            level, filled = self.fill_level, self.tokens / self.capacity
            while level < SHED and filled < MARKS[level][0]:
                level += 1
            while level > FULL and filled > MARKS[level - 1][1]:
                level -= 1
            self.fill_level = level
        level, share = self.delay_level, self.delay / self.aim
        while level < SHED and share > DELAYS[level]:
            level += 1
        while level > FULL and share < 0.5 * DELAYS[level - 1]:
            level -= 1
        self.delay_level = level
        least = SAMPLED if self.enabled and 0.0 < COST_RATIO * self.per_request < self.mean_cost else FULL
        self.level = max(self.fill_level, self.delay_level, least)
