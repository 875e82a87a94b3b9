"""What results say, in tables: means with intervals by point, broken rules, curves and maps. No I/O."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import Any

import msgspec

from lab.experiment import Point
from lab.results import QUANTILES, finite, point_of
from lab.statistics import Comparison, Interval, compare_paired, gap_closed, mean_interval

BROKEN = ("broke_lost", "broke_twice", "broke_drain", "broke_fall")


class Cell(msgspec.Struct, frozen=True):
    """A point's plays."""

    point: Point
    metric: Interval
    recovered_ms: float  # the median; infinite where half of the plays never came back
    never: int  # plays in which service never came back
    falls: int
    broken: dict[str, int]  # plays that broke a rule, by rule
    faults: int


def cells(rows: Sequence[dict[str, Any]], metric: str) -> list[Cell]:
    """One for each point, in the order of scenario, factors and policy."""
    groups: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["scenario"], row["factors"], row["policy"]), []).append(row)
    found = []
    for place in sorted(groups):
        group = groups[place]
        back = [row["recovered_ms"] for row in group if not math.isnan(row["recovered_ms"])]
        found.append(
            Cell(
                point_of(group[0]),
                mean_interval([row[metric] for row in group]),
                statistics.median_high(back) if back else math.nan,
                sum(math.isinf(value) for value in back),
                sum(row["falls"] for row in group),
                {rule[6:]: count for rule in BROKEN if (count := sum(row[rule] > 0 for row in group))},
                sum(bool(row["fault"]) for row in group),
            )
        )
    return found


def by_seed(rows: Sequence[dict[str, Any]], point: Point, metric: str) -> dict[int, float]:
    factors = point.factors()
    return {
        row["seed"]: row[metric]
        for row in rows
        if row["scenario"] == point.scenario and row["policy"] == point.policy and row["factors"] == factors
    }


def against(rows: Sequence[dict[str, Any]], first: Point, second: Point, metric: str) -> Comparison:
    return compare_paired(by_seed(rows, first, metric), by_seed(rows, second, metric))


def beside(rows: Sequence[dict[str, Any]], policy: str, metric: str) -> list[tuple[Point, Comparison]]:
    """A policy against each other on the same scenario, levels and seeds; its points first."""
    points = [cell.point for cell in cells(rows, metric)]
    found = []
    for own in points:
        if own.policy != policy:
            continue
        for other in points:
            if other.policy != policy and (other.scenario, other.factors()) == (own.scenario, own.factors()):
                found.append((other, against(rows, own, other, metric)))
    return found


class Gone(msgspec.Struct, frozen=True):
    """What part of the way from ``floor`` to ``ceiling`` a policy goes at a point."""

    point: Point
    own: Interval
    floor: Interval
    ceiling: Interval
    way: Interval


def ways(rows: Sequence[dict[str, Any]], metric: str, floor: str, ceiling: str) -> list[Gone]:
    """For each point of each other policy where both ends were played on the same seeds."""
    found = []
    for cell in cells(rows, metric):
        point = cell.point
        if point.policy in (floor, ceiling):
            continue
        ends = [
            by_seed(rows, Point(scenario=point.scenario, policy=end, changes=point.changes), metric)
            for end in (floor, ceiling)
        ]
        if ends[0] and ends[1]:
            low, high = (mean_interval(list(end.values())) for end in ends)
            found.append(Gone(point, cell.metric, low, high, gap_closed(by_seed(rows, point, metric), *ends)))
    return found


def curves(rows: Sequence[dict[str, Any]], scenario: str) -> dict[str, list[float]]:
    """Latency at each of QUANTILES by policy: the median over the plays, in ms."""
    groups: dict[str, list[list[float]]] = {}
    for row in rows:
        if row["scenario"] == scenario and len(row["quantiles_ms"]) == len(QUANTILES):
            groups.setdefault(row["policy"], []).append(row["quantiles_ms"])
    return {
        policy: [statistics.median(column) for column in zip(*found, strict=True)]
        for policy, found in sorted(groups.items())
    }


class Map(msgspec.Struct, frozen=True):
    """A metric's means over two factors: ``values[y][x]``; NaN where nothing was played."""

    scenario: str
    policy: str
    x: str
    y: str
    xs: list[float]
    ys: list[float]
    values: list[list[float]]
    back: list[list[float]]  # share of the plays in which service came back
    rest: str  # levels of the other factors


def maps(rows: Sequence[dict[str, Any]], metric: str) -> list[Map]:
    """For each scenario and policy over the first two factors that have several numbers as levels."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["scenario"], row["policy"]), []).append(row)
    found = []
    for (scenario, policy), group in sorted(groups.items()):
        changes = [point_of(row).changes for row in group]
        numbers = {
            place
            for change in changes
            for place, value in change.items()
            if isinstance(value, int | float) and not isinstance(value, bool)
        }
        varied = [p for p in sorted(numbers) if len({change.get(p) for change in changes}) > 1]
        if len(varied) < 2:
            continue
        # The two with most levels; the names decide among equals.
        varied.sort(key=lambda place: (-len({change.get(place) for change in changes}), place))
        x, y = varied[:2]
        rests = sorted({_rest(change, x, y) for change in changes})
        for rest in rests:
            here = [
                (change[x], change[y], row)
                for change, row in zip(changes, group, strict=True)
                if _rest(change, x, y) == rest
            ]
            xs, ys = sorted({item[0] for item in here}), sorted({item[1] for item in here})
            values, back = [], []
            for level in ys:
                lines = [[row for a, b, row in here if a == at and b == level] for at in xs]
                values.append([_mean([row[metric] for row in line]) for line in lines])
                back.append(
                    [_mean([finite(row["recovered_ms"], -1.0) >= 0 for row in line]) for line in lines]
                )
            found.append(Map(scenario, policy, x, y, xs, ys, values, back, rest))
    return found


def _rest(change: dict[str, Any], x: str, y: str) -> str:
    return ", ".join(f"{place} {value}" for place, value in sorted(change.items()) if place not in (x, y))


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else math.nan


def number(value: float, digits: int = 3) -> str:
    if math.isnan(value):
        return "-"
    return "never" if math.isinf(value) else f"{value:.{digits}f}"
