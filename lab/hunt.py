"""Searches for the seeds and settings on which a policy does worst: first at random over a scenario's ranges,
then in ranges halved around the worst trials. It decides what to play; the caller runs the plays.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import msgspec

from lab.measures import Row
from lab.scenario import Draw, Source, set_field
from lab.streams import Streams

MAX_CENTERS = 4  # number of worst trials around which the next values are drawn


class Trial(msgspec.Struct, frozen=True, kw_only=True):
    """A play of the search: the values that were drawn, and its result."""

    values: dict[str, Any]
    seed: int
    row: Row

    def breaks_a_rule(self) -> bool:
        """Whether the play failed or broke a rule."""
        row = self.row
        return bool(row.fault or row.broke_lost or row.broke_twice or row.broke_drain or row.broke_fall)

    def sort_key(self) -> tuple[bool, float]:
        """Sorts the worst first: broken rules, then the lowest score."""
        return (not self.breaks_a_rule(), self.row.score)


def draw(draws: dict[str, Draw], seed: int) -> dict[str, Any]:
    """The values that a play of this seed draws, by path in the scenario."""
    streams, values = Streams(seed), {}
    for path, distribution in draws.items():
        values[path] = _value_at(distribution, streams.of("draw", path).random())
    return values


def _value_at(distribution: Draw, quantile: float) -> Any:
    if distribution.one_of:
        return distribution.one_of[
            min(int(quantile * len(distribution.one_of)), len(distribution.one_of) - 1)
        ]
    assert distribution.low is not None and distribution.high is not None
    if distribution.log:
        value = distribution.low * (distribution.high / distribution.low) ** quantile
    else:
        value = distribution.low + (distribution.high - distribution.low) * quantile
    return round(value) if isinstance(distribution.low, int) and isinstance(distribution.high, int) else value


def halved_range(distribution: Draw, value: Any) -> Draw:
    """A range half as wide, centred on the value as far as the ends allow; of several choices, only this
    one."""
    if distribution.one_of:
        return Draw(one_of=(value,))
    assert distribution.low is not None and distribution.high is not None
    low, high = float(distribution.low), float(distribution.high)
    if distribution.log:
        low, high, value = math.log(low), math.log(high), math.log(value)
    quarter = (high - low) / 4.0
    middle = min(max(float(value), low + quarter), high - quarter)
    ends = (middle - quarter, middle + quarter)
    if distribution.log:
        ends = (math.exp(ends[0]), math.exp(ends[1]))
    if isinstance(distribution.low, int) and isinstance(distribution.high, int):
        return Draw(low=math.floor(ends[0]), high=math.ceil(ends[1]), log=distribution.log)
    return Draw(low=ends[0], high=ends[1], log=distribution.log)


class WorstCaseSearch:
    """Call ``propose`` and ``record_trials`` in turn, once per round.

    The first round draws from the whole ranges; each further one draws around the worst trials of the round
    before, from ranges half as wide."""

    def __init__(self, source: Source, first_seed: int = 1) -> None:
        """``first_seed``: the seed of the first play; each further play has the next one."""
        self.source, self.seed = source, first_seed
        self.trials: list[Trial] = []
        self._ranges: list[dict[str, Draw]] = [source.draws]

    def propose(self, count: int) -> list[tuple[dict[str, Any], int]]:
        """The values and the seed of each play of the next round."""
        proposals = []
        for number in range(count):
            proposals.append((draw(self._ranges[number % len(self._ranges)], self.seed), self.seed))
            self.seed += 1
        return proposals

    def record_trials(self, trials: Sequence[Trial]) -> None:
        """Takes the results of a round; the next round searches around the worst of them."""
        self.trials += trials
        ranges = self._ranges
        worst = sorted(range(len(trials)), key=lambda n: (*trials[n].sort_key(), trials[n].seed))[
            :MAX_CENTERS
        ]
        self._ranges = [
            {
                path: halved_range(distribution, trials[number].values[path])
                for path, distribution in ranges[number % len(ranges)].items()
            }
            for number in worst
        ] or ranges

    def worst(self, count: int) -> list[Trial]:
        """The worst trials so far, the worst first."""
        return sorted(self.trials, key=lambda item: (*item.sort_key(), item.seed))[:count]

    def scenario_tree(self, trial: Trial) -> dict[str, Any]:
        """The scenario's tree with the trial's values in place of the draws."""
        tree: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(self.source.tree))
        for path, value in trial.values.items():
            set_field(tree, path, value, self.source.path)
        return tree
