"""What decisions may cost: work is counted, paid from a budget, and done with less effort as that runs out.

The module tells its work by kind; its host has told what each kind costs it (`interface.Costs`) and what it
may spend (`Limits.cpu_us_per_s`). No clock is read here. The budget is a bucket: filled at a steady rate, it
holds the cost of a short while, so that no second spends more than it may, wherever it begins.

Effort falls in steps while the bucket is low, and comes back when it has been filled again to a higher mark:

    full     every active server is looked at for a request
    sampled  a few of them, in turns; the lowest deficit among those
    spare    and none has a place in a line, which costs a timer and a second look
    shed     and requests that the bucket cannot pay for are refused before anything is looked at, those of
             less worth first: a refusal costs least, and is harmless

A host that is late by itself (its event loop's delay) lowers effort in the same steps.
"""

from __future__ import annotations

from typing import Final

from hareloom import interface as api

FULL, SAMPLED, NO_QUEUE, SHED = 0, 1, 2, 3
# The bucket's rate as a share of the budget, and how long at that budget it holds; together below 1, with
# room for costs that are told a little low.
RATE_SHARE: Final = 0.87
BUCKET_MS: Final = 80.0
# Filled below the first, effort falls to the step; filled above the second, it comes back from it.
MARKS: Final = ((0.7, 0.9), (0.5, 0.7), (0.35, 0.5))
RESERVED_SHARE: Final = 0.35  # of the bucket is kept for the classes of the most worth for their work
COST_RATIO: Final = 1.5  # over so many times what a request may cost, few servers are looked at
COST_ALPHA: Final = 0.98  # of the cost of a request, by request
# A host's delay as a share of the shortest aim at which each step begins; it comes back at half of that.
# Those of a moment ago fade by half in this many aims.
DELAYS: Final = (0.1, 0.2, 0.5)
HALF_LIFE_AIMS: Final = 1.0


class Governor:
    """``level`` is the effort to work with. Costs in microseconds, instants and delays in milliseconds."""

    def __init__(self, settings: api.Settings) -> None:
        costs, limits = settings.costs, settings.limits
        self.costs = costs
        self.rate = RATE_SHARE * limits.cpu_us_per_s / 1000.0  # microseconds a millisecond
        self.capacity = limits.cpu_us_per_s / 1000.0 * BUCKET_MS
        # Costs of 0, or a budget of 0, say that nobody counts.
        self.enabled = self.rate > 0.0 and costs.request + costs.ended + costs.pick + costs.look > 0.0
        self.per_request = limits.cpu_us_per_request
        self.tokens, self.refilled_at = self.capacity, 0.0
        self.started = False
        self.level = FULL
        self.fill_level, self.delay_level = FULL, FULL
        self.mean_cost = costs.request + costs.pick + costs.ended  # of a served request, all its events
        self.spent = 0.0  # spent since the last request was taken
        self.aim = min(item.aim_ms for item in settings.classes)
        self.delay = 0.0

    def refill(self, now: float) -> None:
        """Fills the bucket up to now."""
        if self.started and now > self.refilled_at:
            span = now - self.refilled_at
            self.tokens = min(self.tokens + self.rate * span, self.capacity)
            if self.delay > 0.0:
                self.delay *= 0.5 ** min(span / (HALF_LIFE_AIMS * self.aim), 64.0)
                self._update_level()
        self.started, self.refilled_at = True, now

    def spend(self, cost: float) -> None:
        """Pays for work. What cannot be paid for is owed, up to one bucket: more would refuse all for seconds
        after one list of thousands."""
        self.tokens = max(self.tokens - cost, -self.capacity)
        self.spent += cost
        self._update_level()

    def on_accepted(self) -> None:
        """A request is decided on: what was spent since the last one, refusals left out, was the cost of one,
        near enough."""
        self.mean_cost = COST_ALPHA * self.mean_cost + (1.0 - COST_ALPHA) * min(self.spent, self.capacity)
        self.spent = 0.0

    def on_refused(self) -> None:
        """One is refused before anything is decided."""
        self.spent = max(self.spent - self.costs.request, 0.0)

    def affords(self, most_worth: bool) -> bool:
        """Whether a request may be decided on, or is to be refused before that."""
        if self.level < SHED:
            return True
        if self.delay_level == SHED and self.fill_level < SHED:
            return most_worth  # the host is late: what is worth most goes on
        return self.tokens >= self.mean_cost + (0.0 if most_worth else RESERVED_SHARE * self.capacity)

    def on_delay(self, delay: float) -> None:
        """The host was late by so much."""
        if delay == delay and delay > self.delay:  # not a number says nothing
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
