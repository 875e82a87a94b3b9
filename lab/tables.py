"""Tables from results: means with intervals by point, broken rules, latency curves and maps. No I/O."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import Any

import msgspec

from lab.experiment import Point
from lab.results import QUANTILES, finite, row_point
from lab.statistics import Comparison, Interval, compare_paired, gap_closed, mean_interval

RULE_COLUMNS = ("broke_lost", "broke_twice", "broke_drain", "broke_fall")


class Cell(msgspec.Struct, frozen=True):
    """The plays of one point, summarized."""

    point: Point
    metric: Interval
    recovered_ms: float  # the median; infinite if service did not recover in half of the plays
    never: int  # plays in which service never recovered
    falls: int
    broken: dict[str, int]  # number of plays that broke a rule, by rule
    faults: int


def cells(rows: Sequence[dict[str, Any]], metric: str) -> list[Cell]:
    """One cell for each point, ordered by scenario, factors and policy."""
    groups: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["scenario"], row["factors"], row["policy"]), []).append(row)
    summaries = []
    for key in sorted(groups):
        group = groups[key]
        recovered = [row["recovered_ms"] for row in group if not math.isnan(row["recovered_ms"])]
        summaries.append(
            Cell(
                row_point(group[0]),
                mean_interval([row[metric] for row in group]),
                statistics.median_high(recovered) if recovered else math.nan,
                sum(math.isinf(value) for value in recovered),
                sum(row["falls"] for row in group),
                {rule[6:]: count for rule in RULE_COLUMNS if (count := sum(row[rule] > 0 for row in group))},
                sum(bool(row["fault"]) for row in group),
            )
        )
    return summaries


def metric_by_seed(rows: Sequence[dict[str, Any]], point: Point, metric: str) -> dict[int, float]:
    """The metric of a point's plays."""
    factors = point.factors()
    return {
        row["seed"]: row[metric]
        for row in rows
        if row["scenario"] == point.scenario and row["policy"] == point.policy and row["factors"] == factors
    }


def compare_points(rows: Sequence[dict[str, Any]], first: Point, second: Point, metric: str) -> Comparison:
    """Compares two points on the seeds that both have."""
    return compare_paired(metric_by_seed(rows, first, metric), metric_by_seed(rows, second, metric))


def comparisons(rows: Sequence[dict[str, Any]], policy: str, metric: str) -> list[tuple[Point, Comparison]]:
    """Compares a policy with each other one on the same scenario, levels and seeds.

    Returns the point of the other policy with each comparison."""
    points = [cell.point for cell in cells(rows, metric)]
    compared = []
    for point in points:
        if point.policy != policy:
            continue
        for other in points:
            if other.policy != policy and (other.scenario, other.factors()) == (
                point.scenario,
                point.factors(),
            ):
                compared.append((other, compare_points(rows, point, other, metric)))
    return compared


class GapClosed(msgspec.Struct, frozen=True):
    """The share of the gap between the policies ``floor`` and ``ceiling`` that a policy closes at a point."""

    point: Point
    policy_mean: Interval
    floor: Interval
    ceiling: Interval
    gap_closed: Interval


def gaps_closed(rows: Sequence[dict[str, Any]], metric: str, floor: str, ceiling: str) -> list[GapClosed]:
    """One for each point of another policy for which floor and ceiling were played on the same seeds."""
    gaps = []
    for cell in cells(rows, metric):
        point = cell.point
        if point.policy in (floor, ceiling):
            continue
        references = [
            metric_by_seed(
                rows, Point(scenario=point.scenario, policy=reference, changes=point.changes), metric
            )
            for reference in (floor, ceiling)
        ]
        if references[0] and references[1]:
            low, high = (mean_interval(list(values.values())) for values in references)
            gaps.append(
                GapClosed(
                    point,
                    cell.metric,
                    low,
                    high,
                    gap_closed(metric_by_seed(rows, point, metric), *references),
                )
            )
    return gaps


def latency_curves(rows: Sequence[dict[str, Any]], scenario: str) -> dict[str, list[float]]:
    """By policy, the latency at each of QUANTILES in ms: the median over its plays."""
    groups: dict[str, list[list[float]]] = {}
    for row in rows:
        if row["scenario"] == scenario and len(row["quantiles_ms"]) == len(QUANTILES):
            groups.setdefault(row["policy"], []).append(row["quantiles_ms"])
    return {
        policy: [statistics.median(column) for column in zip(*curves, strict=True)]
        for policy, curves in sorted(groups.items())
    }


class MetricMap(msgspec.Struct, frozen=True):
    """The means of a metric over two factors: ``values[y][x]``; NaN where there are no plays."""

    scenario: str
    policy: str
    x: str
    y: str
    xs: list[float]
    ys: list[float]
    values: list[list[float]]
    recovered_share: list[list[float]]  # share of the plays in which service recovered
    other_levels: str  # levels of the other factors


def metric_maps(rows: Sequence[dict[str, Any]], metric: str) -> list[MetricMap]:
    """A map for each scenario and policy, over the two factors with the most numeric levels."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["scenario"], row["policy"]), []).append(row)
    result = []
    for (scenario, policy), group in sorted(groups.items()):
        changes = [row_point(row).changes for row in group]
        numeric = {
            path
            for change in changes
            for path, value in change.items()
            if isinstance(value, int | float) and not isinstance(value, bool)
        }
        varied = [p for p in sorted(numeric) if len({change.get(p) for change in changes}) > 1]
        if len(varied) < 2:
            continue
        # The two factors with the most levels; ties are broken by name.
        varied.sort(key=lambda path: (-len({change.get(path) for change in changes}), path))
        x, y = varied[:2]
        combinations = sorted({_other_levels(change, x, y) for change in changes})
        for other_levels in combinations:
            selected = [
                (change[x], change[y], row)
                for change, row in zip(changes, group, strict=True)
                if _other_levels(change, x, y) == other_levels
            ]
            xs, ys = sorted({item[0] for item in selected}), sorted({item[1] for item in selected})
            values, recovered_share = [], []
            for y_level in ys:
                cells_at_y = [
                    [row for a, b, row in selected if a == x_level and b == y_level] for x_level in xs
                ]
                values.append([_mean([row[metric] for row in cell]) for cell in cells_at_y])
                recovered_share.append(
                    [_mean([finite(row["recovered_ms"], -1.0) >= 0 for row in cell]) for cell in cells_at_y]
                )
            result.append(MetricMap(scenario, policy, x, y, xs, ys, values, recovered_share, other_levels))
    return result


def _other_levels(change: dict[str, Any], x: str, y: str) -> str:
    return ", ".join(f"{path} {value}" for path, value in sorted(change.items()) if path not in (x, y))


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else math.nan


def format_number(value: float, digits: int = 3) -> str:
    """A number for people: "-" for NaN, "never" for infinity."""
    if math.isnan(value):
        return "-"
    return "never" if math.isinf(value) else f"{value:.{digits}f}"
