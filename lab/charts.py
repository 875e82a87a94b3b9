"""Charts as PNG: drawn from tables alone, the same bytes for the same results."""

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
from lab.tables import Cell, Map  # noqa: E402

MOST_SERVERS = 12  # lines in one picture; the others are one band


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=90, metadata={"Software": None})
    plt.close(figure)


def scores(found: Sequence[Cell], metric: str, path: Path) -> None:
    """Each point's mean with its interval, a colour a policy."""
    policies = sorted({cell.point.policy for cell in found})
    places = sorted({(cell.point.scenario, cell.point.factors()) for cell in found})
    colours = matplotlib.colormaps["tab20"]
    figure, axes = plt.subplots(figsize=(9, 1.2 + 0.32 * len(places) * max(len(policies), 2) / 2))
    for cell in found:
        row = places.index((cell.point.scenario, cell.point.factors()))
        turn = policies.index(cell.point.policy)
        at = row + 0.8 * (turn + 0.5) / len(policies) - 0.4
        low, high = np.nan_to_num([cell.metric.low, cell.metric.high], nan=cell.metric.mean)
        axes.plot([low, high], [at, at], color=colours(turn % 20), linewidth=1.5)
        axes.plot(cell.metric.mean, at, "o", color=colours(turn % 20), markersize=4)
    for turn, policy in enumerate(policies):
        axes.plot([], [], "o-", color=colours(turn % 20), label=policy)
    axes.set_yticks(
        range(len(places)), [f"{name} {factors if factors != '{}' else ''}" for name, factors in places]
    )
    axes.tick_params(axis="y", labelsize=7)
    axes.invert_yaxis()
    axes.set_xlabel(f"{metric}, mean and 95% interval")
    axes.grid(axis="x", alpha=0.3)
    axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
    _save(figure, path)


def over_time(rows: Sequence[dict[str, Any]], title: str, multiple: float, path: Path) -> None:
    """One play: what was offered and served a second, connects, and each server's load against its limit."""
    seconds = [row["t_ms"] / 1000.0 for row in rows]
    each = 1000.0 / BIN_MS
    figure, (calls, connects, loads) = plt.subplots(
        3, 1, figsize=(9, 7), sharex=True, height_ratios=(3, 1.2, 2.4)
    )
    for name in ("offered", "first", "served", "refused", "failed", "lost"):
        calls.plot(seconds, [row[name] * each for row in rows], label=name, linewidth=1.0)
    calls.set_ylabel("tries a second")
    calls.set_title(title, fontsize=9)
    calls.legend(fontsize=7, ncols=3)
    connects.plot(seconds, [row["connects"] * each for row in rows], color="tab:brown", linewidth=1.0)
    connects.set_ylabel("connects a second")
    _loads(loads, seconds, rows, multiple)
    for axes in (calls, connects, loads):
        axes.grid(alpha=0.3)
    _save(figure, path)


def _loads(axes: Axes, seconds: list[float], rows: Sequence[dict[str, Any]], multiple: float) -> None:
    most = max((len(row["loads"]) for row in rows), default=0)
    table = np.zeros((len(rows), most))
    for at, row in enumerate(rows):
        table[at, : len(row["loads"])] = row["loads"]
    ranked = sorted(range(most), key=lambda server: (-float(table[:, server].max(initial=0.0)), server))
    if most > MOST_SERVERS:
        rest = table[:, ranked[MOST_SERVERS:]]
        axes.fill_between(seconds, rest.min(axis=1), rest.max(axis=1), color="0.85", label="the others")
    for server in sorted(ranked[:MOST_SERVERS]):
        axes.plot(seconds, table[:, server], linewidth=0.8)
    axes.axhline(multiple, color="black", linestyle="--", linewidth=1.0, label="falls over")
    axes.set_ylabel("load of what it can do")
    axes.set_xlabel("s")
    axes.legend(fontsize=7)


def latencies(curves: dict[str, list[float]], title: str, path: Path) -> None:
    """Latency by percentile, the far end stretched."""
    figure, axes = plt.subplots(figsize=(9, 4))
    places = [-np.log10(max(1.0 - part, 5e-5)) for part in QUANTILES]
    for policy, values in curves.items():
        axes.plot(places, values, marker=".", linewidth=1.0, label=policy)
    axes.set_xticks(places, [f"{100 * part:g}" for part in QUANTILES], fontsize=6, rotation=60)
    axes.set_yscale("log")
    axes.set_ylabel("ms")
    axes.set_xlabel("percentile of served calls")
    axes.set_title(title, fontsize=9)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=7)
    _save(figure, path)


def plane(found: Map, metric: str, path: Path) -> None:
    """A metric over two factors; the line is the edge within which half of the plays come back."""
    figure, axes = plt.subplots(figsize=(7, 4.2))
    values = np.array(found.values)
    image = axes.imshow(values, origin="lower", aspect="auto", cmap="viridis", vmin=0.0, vmax=1.0)
    for y, line in enumerate(found.values):
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
    back = np.array(found.back)
    if back.shape[0] > 1 and back.shape[1] > 1 and np.nanmin(back) < 0.5 < np.nanmax(back):
        axes.contour(np.nan_to_num(back), levels=[0.5], colors="red", linewidths=1.5)
    axes.set_xticks(range(len(found.xs)), [f"{value:g}" for value in found.xs])
    axes.set_yticks(range(len(found.ys)), [f"{value:g}" for value in found.ys])
    axes.set_xlabel(found.x)
    axes.set_ylabel(found.y)
    axes.set_title(f"{found.scenario}, {found.policy}{': ' + found.rest if found.rest else ''}", fontsize=9)
    figure.colorbar(image, label=metric)
    _save(figure, path)
