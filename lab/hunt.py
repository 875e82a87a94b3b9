"""The seeds and settings on which a policy does worst: at random over a scenario's ranges, then halving them
towards the worst. Decisions only; plays are the caller's."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import msgspec

from lab.measures import Row
from lab.scenario import Draw, Source, set_field
from lab.streams import Streams

KEPT = 4  # of the worst, round which the next draws lie


class Tried(msgspec.Struct, frozen=True, kw_only=True):
    """A play that was made: what was drawn, and what it came to."""

    values: dict[str, Any]
    seed: int
    row: Row

    def breaks(self) -> bool:
        row = self.row
        return bool(row.fault or row.broke_lost or row.broke_twice or row.broke_drain or row.broke_fall)

    def order(self) -> tuple[bool, float]:
        """The worst first: broken rules, then the lowest score."""
        return (not self.breaks(), self.row.score)


def draw(draws: dict[str, Draw], seed: int) -> dict[str, Any]:
    """A value for each place that is drawn, as a play of that seed has it."""
    streams, found = Streams(seed), {}
    for place, given in draws.items():
        found[place] = _value(given, streams.of("draw", place).random())
    return found


def _value(given: Draw, part: float) -> Any:
    if given.one_of:
        return given.one_of[min(int(part * len(given.one_of)), len(given.one_of) - 1)]
    assert given.low is not None and given.high is not None
    if given.log:
        value = given.low * (given.high / given.low) ** part
    else:
        value = given.low + (given.high - given.low) * part
    return round(value) if isinstance(given.low, int) and isinstance(given.high, int) else value


def halved(given: Draw, value: Any) -> Draw:
    """Half of a range, with the value in its middle as far as the ends allow; a choice is kept."""
    if given.one_of:
        return Draw(one_of=(value,))
    assert given.low is not None and given.high is not None
    low, high = float(given.low), float(given.high)
    if given.log:
        low, high, value = math.log(low), math.log(high), math.log(value)
    quarter = (high - low) / 4.0
    middle = min(max(float(value), low + quarter), high - quarter)
    ends = (middle - quarter, middle + quarter)
    if given.log:
        ends = (math.exp(ends[0]), math.exp(ends[1]))
    if isinstance(given.low, int) and isinstance(given.high, int):
        return Draw(low=math.floor(ends[0]), high=math.ceil(ends[1]), log=given.log)
    return Draw(low=ends[0], high=ends[1], log=given.log)


class Hunt:
    """``propose`` and ``told`` by turns, a round at a time: the first at random, each further one round the
    worst so far with ranges half as wide."""

    def __init__(self, source: Source, first_seed: int = 1) -> None:
        self.source, self.seed = source, first_seed
        self.tried: list[Tried] = []
        self._ranges: list[dict[str, Draw]] = [source.draws]

    def propose(self, count: int) -> list[tuple[dict[str, Any], int]]:
        """Values and seed of each play to make."""
        found = []
        for number in range(count):
            found.append((draw(self._ranges[number % len(self._ranges)], self.seed), self.seed))
            self.seed += 1
        return found

    def told(self, tried: Sequence[Tried]) -> None:
        """What a round came to; the next looks round the worst of it."""
        self.tried += tried
        ranges = self._ranges
        worst = sorted(range(len(tried)), key=lambda n: (*tried[n].order(), tried[n].seed))[:KEPT]
        self._ranges = [
            {
                place: halved(given, tried[number].values[place])
                for place, given in ranges[number % len(ranges)].items()
            }
            for number in worst
        ] or ranges

    def worst(self, count: int) -> list[Tried]:
        return sorted(self.tried, key=lambda item: (*item.order(), item.seed))[:count]

    def file_of(self, tried: Tried) -> dict[str, Any]:
        """A scenario's tree with what was drawn put in: it draws nothing any more."""
        tree: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(self.source.tree))
        for place, value in tried.values.items():
            set_field(tree, place, value, self.source.path)
        return tree
