"""Charts as PNG files, drawn from tables alone: the same results give the same bytes."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from lab.measures import BIN_MS  # noqa: E402
from lab.results import QUANTILES  # noqa: E402
from lab.tables import Cell, MetricMap  # noqa: E402

MAX_SERVER_LINES = 12  # lines in one chart; the other servers are drawn as one band


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=90, metadata={"Software": None})
    plt.close(figure)


def scores(cells: Sequence[Cell], metric: str, path: Path) -> None:
    """The mean of each point with its interval, one colour per policy."""
    policies = sorted({cell.point.policy for cell in cells})
    points = sorted({(cell.point.scenario, cell.point.factors()) for cell in cells})
    colours = matplotlib.colormaps["tab20"]
    figure, axes = plt.subplots(figsize=(9, 1.2 + 0.32 * len(points) * max(len(policies), 2) / 2))
    for cell in cells:
        row = points.index((cell.point.scenario, cell.point.factors()))
        policy_index = policies.index(cell.point.policy)
        position = row + 0.8 * (policy_index + 0.5) / len(policies) - 0.4
        low, high = np.nan_to_num([cell.metric.low, cell.metric.high], nan=cell.metric.mean)
        axes.plot([low, high], [position, position], color=colours(policy_index % 20), linewidth=1.5)
        axes.plot(cell.metric.mean, position, "o", color=colours(policy_index % 20), markersize=4)
    for policy_index, policy in enumerate(policies):
        axes.plot([], [], "o-", color=colours(policy_index % 20), label=policy)
    axes.set_yticks(
        range(len(points)), [f"{name} {factors if factors != '{}' else ''}" for name, factors in points]
    )
    axes.tick_params(axis="y", labelsize=7)
    axes.invert_yaxis()
    axes.set_xlabel(f"{metric}, mean and 95% interval")
    axes.grid(axis="x", alpha=0.3)
    axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
    _save(figure, path)


def over_time(rows: Sequence[dict[str, Any]], title: str, fall_multiple: float, path: Path) -> None:
    """One play over time: calls and connects per second, and each server's load relative to its capacity."""
    seconds = [row["t_ms"] / 1000.0 for row in rows]
    per_second = 1000.0 / BIN_MS
    figure, (calls, connects, loads) = plt.subplots(
        3, 1, figsize=(9, 7), sharex=True, height_ratios=(3, 1.2, 2.4)
    )
    for name in ("offered", "first", "served", "refused", "failed", "lost"):
        calls.plot(seconds, [row[name] * per_second for row in rows], label=name, linewidth=1.0)
    calls.set_ylabel("tries per second")
    calls.set_title(title, fontsize=9)
    calls.legend(fontsize=7, ncols=3)
    connects.plot(seconds, [row["connects"] * per_second for row in rows], color="tab:brown", linewidth=1.0)
    connects.set_ylabel("connects per second")
    _loads(loads, seconds, rows, fall_multiple)
    for axes in (calls, connects, loads):
        axes.grid(alpha=0.3)
    _save(figure, path)


def _loads(axes: Axes, seconds: list[float], rows: Sequence[dict[str, Any]], fall_multiple: float) -> None:
    server_count = max((len(row["loads"]) for row in rows), default=0)
    loads_by_bin = np.zeros((len(rows), server_count))
    for index, row in enumerate(rows):
        loads_by_bin[index, : len(row["loads"])] = row["loads"]
    ranked = sorted(
        range(server_count), key=lambda server: (-float(loads_by_bin[:, server].max(initial=0.0)), server)
    )
    if server_count > MAX_SERVER_LINES:
        other_loads = loads_by_bin[:, ranked[MAX_SERVER_LINES:]]
        axes.fill_between(
            seconds, other_loads.min(axis=1), other_loads.max(axis=1), color="0.85", label="other servers"
        )
    for server in sorted(ranked[:MAX_SERVER_LINES]):
        axes.plot(seconds, loads_by_bin[:, server], linewidth=0.8)
    axes.axhline(fall_multiple, color="black", linestyle="--", linewidth=1.0, label="failure limit")
    axes.set_ylabel("load / capacity")
    axes.set_xlabel("s")
    axes.legend(fontsize=7)


def latencies(curves: dict[str, list[float]], title: str, path: Path) -> None:
    """Latency by percentile, on a scale that stretches the high percentiles."""
    figure, axes = plt.subplots(figsize=(9, 4))
    positions = [-np.log10(max(1.0 - quantile, 5e-5)) for quantile in QUANTILES]
    for policy, values in curves.items():
        axes.plot(positions, values, marker=".", linewidth=1.0, label=policy)
    axes.set_xticks(positions, [f"{100 * quantile:g}" for quantile in QUANTILES], fontsize=6, rotation=60)
    axes.set_yscale("log")
    axes.set_ylabel("ms")
    axes.set_xlabel("percentile of served calls")
    axes.set_title(title, fontsize=9)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=7)
    _save(figure, path)


def metric_map(table: MetricMap, metric: str, path: Path) -> None:
    """A metric over two factors; the contour line is where service recovers in half of the plays."""
    figure, axes = plt.subplots(figsize=(7, 4.2))
    values = np.array(table.values)
    image = axes.imshow(values, origin="lower", aspect="auto", cmap="viridis", vmin=0.0, vmax=1.0)
    for y, line in enumerate(table.values):
        for x, value in enumerate(line):
            if not np.isnan(value):
                axes.text(
                    x,
                    y,
                    f"{value:.2f}",
                    ha="center",
                    va="center",
                    fontsize=7,
                    color="w" if value < 0.6 else "k",
                )
    recovered_share = np.array(table.recovered_share)
    if (
        recovered_share.shape[0] > 1
        and recovered_share.shape[1] > 1
        and np.nanmin(recovered_share) < 0.5 < np.nanmax(recovered_share)
    ):
        axes.contour(np.nan_to_num(recovered_share), levels=[0.5], colors="red", linewidths=1.5)
    axes.set_xticks(range(len(table.xs)), [f"{value:g}" for value in table.xs])
    axes.set_yticks(range(len(table.ys)), [f"{value:g}" for value in table.ys])
    axes.set_xlabel(table.x)
    axes.set_ylabel(table.y)
    axes.set_title(
        f"{table.scenario}, {table.policy}{': ' + table.other_levels if table.other_levels else ''}",
        fontsize=9,
    )
    figure.colorbar(image, label=metric)
    _save(figure, path)
