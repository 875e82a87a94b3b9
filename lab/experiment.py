"""An experiment: factors with levels, policies, scenarios and seeds; which plays it asks for, and which are
missing.

    name = "ways to retry"
    scenarios = ["../scenarios/outage.toml"]
    policies = ["module", "fixed retries", "module@HEAD~20"]
    seeds = 20
    [factors]
    "sidecars.count" = [5, 30]
    "troubles.0.share" = [0.18, 0.6]

No I/O but the reading of its file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator, Mapping
from itertools import product
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lab.policies import UnknownPolicy, find_policy
from lab.scenario import InvalidInput, Source
from lab.scenario import load as load_scenario
from lab.scenario_tables import Table

MOST_PLAYS = 1_000_000


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """What is varied: one scenario, one policy, one level of each factor."""

    scenario: str
    policy: str
    changes: dict[str, Any] = {}

    def factors(self) -> str:
        """The levels as one text, the same for the same levels."""
        return msgspec.json.encode(self.changes, order="sorted").decode()

    def label(self) -> str:
        levels = ", ".join(f"{place} {value}" for place, value in self.changes.items())
        return f"{self.scenario}, {self.policy}" + (f", {levels}" if levels else "")


class Play(msgspec.Struct, frozen=True, kw_only=True):
    """One play to make: a point with a seed, by the code that it names."""

    point: Point
    seed: int
    code: str  # digest of what plays

    def key(self) -> tuple[str, str, str, int, str]:
        return (self.point.scenario, self.point.policy, self.point.factors(), self.seed, self.code)


class Experiment(Table, frozen=True, kw_only=True):
    name: str
    scenarios: Annotated[tuple[str, ...], Meta(min_length=1)]
    policies: Annotated[tuple[str, ...], Meta(min_length=1)] = ("module",)
    factors: dict[str, Annotated[list[Any], Meta(min_length=1)]] = {}
    seeds: Annotated[int, Meta(ge=1, le=100_000)] = 20
    first_seed: Annotated[int, Meta(ge=0)] = 1
    series_seeds: Annotated[int, Meta(ge=0)] = 1  # of the first ones, what happened over time is kept


class Plan:
    """An experiment with its scenarios read; ``points`` in a stated order."""

    def __init__(self, experiment: Experiment, sources: Mapping[str, Source]) -> None:
        """Raises InvalidInput where a level does not fit its scenario, or the plays are too many."""
        self.experiment, self.sources = experiment, dict(sources)
        levels = list(experiment.factors.items())
        self.points = [
            Point(scenario=name, policy=way, changes=dict(zip(experiment.factors, values, strict=True)))
            for name in self.sources
            for values in product(*(values for _, values in levels))
            for way in experiment.policies
        ]
        if len(self.points) * experiment.seeds > MOST_PLAYS:
            raise InvalidInput(
                f"{experiment.name}: seeds: more than {MOST_PLAYS} plays; take fewer seeds or levels"
            )
        for point in self.points:
            self.source(point)

    def source(self, point: Point) -> Source:
        """Raises InvalidInput."""
        source = self.sources[point.scenario].with_changes(point.changes)
        source.scenario_for(self.experiment.first_seed)
        return source

    def plays(self, codes: Mapping[str, str], seeds: Iterable[int] | None = None) -> Iterator[Play]:
        """All plays, seed by seed, so that a stop in the middle leaves whole comparisons; ``codes`` by
        policy."""
        first = self.experiment.first_seed
        for seed in seeds if seeds is not None else range(first, first + self.experiment.seeds):
            for point in self.points:
                yield Play(point=point, seed=seed, code=codes[point.policy])


def missing(plays: Iterable[Play], done: set[tuple[str, str, str, int, str]]) -> list[Play]:
    return [play for play in plays if play.key() not in done]


def shard(plays: list[Play], part: str) -> list[Play]:
    """The plays of shard "2/5": every fifth, from the second on. Raises InvalidInput."""
    number, _, of = part.partition("/")
    if not (number.isdigit() and of.isdigit() and 1 <= int(number) <= int(of)):
        raise InvalidInput(f"--shard: {part!r} is none; write it as 2/5, the first number at most the second")
    return plays[int(number) - 1 :: int(of)]


def load(path: Path) -> Plan:
    """Raises InvalidInput: one line with file and field."""
    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
        for name in experiment.policies:
            find_policy(name)
    except msgspec.ValidationError as fault:
        text, _, place = str(fault).partition(" - at `$.")
        raise InvalidInput(f"{path}: {place.rstrip('`') or 'the file'}: {text}") from None
    except (OSError, UnknownPolicy, tomllib.TOMLDecodeError) as fault:
        raise InvalidInput(f"{path}: {fault}") from None
    sources: dict[str, Source] = {}
    for name in experiment.scenarios:
        source = load_scenario((path.parent / name).resolve())
        stem = Path(name).stem
        if stem in sources:
            raise InvalidInput(f"{path}: scenarios: two are named {stem!r}; rename one file")
        sources[stem] = source
    return Plan(experiment, sources)
