"""An experiment: scenarios, policies, factors with levels, and seeds; which simulation runs ("plays") it
needs, and which of them have no result yet.

    name = "ways to retry"
    scenarios = ["../scenarios/outage.toml"]
    policies = ["module", "fixed retries", "module@HEAD~20"]
    seeds = 20
    [factors]
    "sidecars.count" = [5, 30]
    "troubles.0.share" = [0.18, 0.6]

No I/O except reading the experiment's file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator, Mapping
from itertools import product
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lab.policies import UnknownPolicyError, find_policy
from lab.scenario import InvalidInput, Source
from lab.scenario import load as load_scenario
from lab.scenario_tables import Table

MAX_PLAYS = 1_000_000


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """One combination of what is varied: a scenario, a policy and a level of each factor."""

    scenario: str
    policy: str
    changes: dict[str, Any] = {}

    def factors(self) -> str:
        """The levels as canonical JSON: equal levels give equal texts."""
        return msgspec.json.encode(self.changes, order="sorted").decode()

    def label(self) -> str:
        """The point as a text for people."""
        levels = ", ".join(f"{path} {value}" for path, value in self.changes.items())
        return f"{self.scenario}, {self.policy}" + (f", {levels}" if levels else "")


class Play(msgspec.Struct, frozen=True, kw_only=True):
    """One simulation run: a point with a seed, by a particular version of the code."""

    point: Point
    seed: int
    code: str  # digest of the code that decides the run (lab.revisions)

    def key(self) -> tuple[str, str, str, int, str]:
        """What identifies the run among all results."""
        return (self.point.scenario, self.point.policy, self.point.factors(), self.seed, self.code)


class Experiment(Table, frozen=True, kw_only=True):
    """The content of an experiment's file."""

    name: str
    scenarios: Annotated[tuple[str, ...], Meta(min_length=1)]
    policies: Annotated[tuple[str, ...], Meta(min_length=1)] = ("module",)
    factors: dict[str, Annotated[list[Any], Meta(min_length=1)]] = {}
    seeds: Annotated[int, Meta(ge=1, le=100_000)] = 20
    first_seed: Annotated[int, Meta(ge=0)] = 1
    series_seeds: Annotated[int, Meta(ge=0)] = 1  # number of first seeds whose time series is kept


class Plan:
    """An experiment with its scenarios loaded. The order of ``points`` is deterministic."""

    def __init__(self, experiment: Experiment, sources: Mapping[str, Source]) -> None:
        """Raises InvalidInput if a level does not fit its scenario, or if there are too many plays."""
        self.experiment, self.sources = experiment, dict(sources)
        levels = list(experiment.factors.items())
        self.points = [
            Point(scenario=name, policy=policy, changes=dict(zip(experiment.factors, values, strict=True)))
            for name in self.sources
            for values in product(*(values for _, values in levels))
            for policy in experiment.policies
        ]
        if len(self.points) * experiment.seeds > MAX_PLAYS:
            raise InvalidInput(
                f"{experiment.name}: seeds: more than {MAX_PLAYS} plays; use fewer seeds or levels"
            )
        for point in self.points:
            self.source(point)

    def source(self, point: Point) -> Source:
        """The scenario of a point, with its levels applied. Raises InvalidInput."""
        source = self.sources[point.scenario].with_changes(point.changes)
        source.scenario_for(self.experiment.first_seed)
        return source

    def plays(self, codes: Mapping[str, str], seeds: Iterable[int] | None = None) -> Iterator[Play]:
        """All plays, ordered by seed, so that an interrupted experiment still has complete comparisons.

        ``codes``: the code digest of each policy."""
        first = self.experiment.first_seed
        for seed in seeds if seeds is not None else range(first, first + self.experiment.seeds):
            for point in self.points:
                yield Play(point=point, seed=seed, code=codes[point.policy])


def missing_plays(plays: Iterable[Play], done: set[tuple[str, str, str, int, str]]) -> list[Play]:
    """Those plays whose key is not in ``done``."""
    return [play for play in plays if play.key() not in done]


def select_shard(plays: list[Play], shard: str) -> list[Play]:
    """The plays of a shard: "2/5" is every fifth play, starting with the second. Raises InvalidInput."""
    number, _, count = shard.partition("/")
    if not (number.isdigit() and count.isdigit() and 1 <= int(number) <= int(count)):
        raise InvalidInput(
            f"--shard: {shard!r} is invalid; write it as 2/5, the first number at most the second"
        )
    return plays[int(number) - 1 :: int(count)]


def load(path: Path) -> Plan:
    """Reads an experiment and its scenarios. Raises InvalidInput with one line that names file and field."""
    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
        for name in experiment.policies:
            find_policy(name)
    except msgspec.ValidationError as fault:
        text, _, field = str(fault).partition(" - at `$.")
        raise InvalidInput(f"{path}: {field.rstrip('`') or 'the file'}: {text}") from None
    except (OSError, UnknownPolicyError, tomllib.TOMLDecodeError) as fault:
        raise InvalidInput(f"{path}: {fault}") from None
    sources: dict[str, Source] = {}
    for name in experiment.scenarios:
        source = load_scenario((path.parent / name).resolve())
        stem = Path(name).stem
        if stem in sources:
            raise InvalidInput(f"{path}: scenarios: two files are named {stem!r}; rename one")
        sources[stem] = source
    return Plan(experiment, sources)
