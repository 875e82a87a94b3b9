"""An HTML page with charts, made from a folder of results alone."""

from __future__ import annotations

import re
from collections.abc import Sequence
from html import escape
from pathlib import Path
from typing import Any

from lab import charts, tables
from lab.results import LoadedResults, rows_of_one_code
from lab.tables import Cell, format_number

MAX_TIME_CHARTS = 24  # charts of single plays over time

STYLE = (
    "body{font:15px/1.45 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse;margin:1em 0;font-size:13px}td,th{border:1px solid #ccc;padding:3px 8px}"
    "td.n{text-align:right}tr.broken td{background:#fdd}tr.same td{color:#888}img{max-width:100%}"
)


def write(
    loaded: LoadedResults,
    folder: Path,
    title: str,
    metric: str = "score",
    fall_multiple: float = 2.5,
    reference: str = "",
    codes: Sequence[str] = (),
) -> Path:
    """Writes the page and returns its path.

    ``reference``: the policy that all others are compared with; the first by name if it is empty. Raises
    results.MixedCodesError if a policy has rows of several code versions and ``codes`` names none."""
    rows = rows_of_one_code(loaded.rows, codes)
    folder.mkdir(parents=True, exist_ok=True)
    cells = tables.cells(rows, metric)
    parts = [f"<h1>{escape(title)}</h1>", f"<p>{len(rows)} plays; metric: {escape(metric)}.</p>"]
    if cells:
        charts.scores(cells, metric, folder / "scores.png")
        parts += [_image("scores.png"), _score_table(cells, metric)]
        parts.append(_rule_table(cells))
        parts.append(_comparison_table(rows, reference or cells[0].point.policy, metric))
    for index, metric_map in enumerate(tables.metric_maps(rows, metric)):
        name = f"map-{index}.png"
        charts.metric_map(metric_map, metric, folder / name)
        parts.append(_image(name))
    for scenario in sorted({row["scenario"] for row in rows}):
        if curves := tables.latency_curves(rows, scenario):
            name = f"latency-{_file_name_part(scenario)}.png"
            charts.latencies(curves, scenario, folder / name)
            parts.append(_image(name))
    parts += _time_charts(loaded.series, {row["code"] for row in rows}, fall_multiple, reference, folder)
    page = folder / "report.html"
    body = "\n".join(parts)
    page.write_text(
        f"<!doctype html><meta charset=utf-8><title>{escape(title)}</title><style>{STYLE}</style>\n{body}\n",
        encoding="utf-8",
    )
    return page


def _time_charts(
    series: Sequence[dict[str, Any]], codes: set[str], fall_multiple: float, reference: str, folder: Path
) -> list[str]:
    groups: dict[tuple[str, str, str, int], list[dict[str, Any]]] = {}
    for row in series:
        if row["code"] in codes:
            groups.setdefault((row["scenario"], row["factors"], row["policy"], row["seed"]), []).append(row)
    parts = ["<h2>Over time</h2>"] if groups else []
    for index, (key, rows) in enumerate(
        sorted(groups.items(), key=lambda item: (item[0][2] != reference, item[0]))[:MAX_TIME_CHARTS]
    ):
        scenario, factors, policy, seed = key
        name = f"time-{index:02}-{_file_name_part(scenario)}-{_file_name_part(policy)}.png"
        title = f"{scenario}, {policy}, seed {seed}" + (f", {factors}" if factors != "{}" else "")
        charts.over_time(rows, title, fall_multiple, folder / name)
        parts.append(_image(name))
    if len(groups) > MAX_TIME_CHARTS:
        parts.append(f"<p>{len(groups) - MAX_TIME_CHARTS} more plays are in series.parquet.</p>")
    return parts


def _image(name: str) -> str:
    return f'<p><img src="{escape(name)}" alt="{escape(name)}"></p>'


def _file_name_part(text: str) -> str:
    return re.sub(r"[^a-z0-9]+", "-", text.lower()).strip("-")


def _score_table(cells: Sequence[Cell], metric: str) -> str:
    heads = (
        "scenario",
        "levels",
        "policy",
        metric,
        "95% interval",
        "plays",
        "recovered after, s",
        "never",
        "falls",
    )
    lines = ["<table><tr>" + "".join(f"<th>{escape(head)}</th>" for head in heads) + "</tr>"]
    for cell in cells:
        levels = ", ".join(f"{path} {value}" for path, value in cell.point.changes.items())
        recovered = format_number(cell.recovered_ms / 1000.0, 1)
        fields = (cell.point.scenario, levels, cell.point.policy)
        figures = (
            format_number(cell.metric.mean),
            f"{format_number(cell.metric.low)} to {format_number(cell.metric.high)}",
            *(str(cell.metric.n), recovered, str(cell.never), str(cell.falls)),
        )
        mark = ' class="broken"' if cell.broken or cell.faults else ""
        lines.append(
            f"<tr{mark}>"
            + "".join(f"<td>{escape(field)}</td>" for field in fields)
            + "".join(f'<td class="n">{escape(figure)}</td>' for figure in figures)
            + "</tr>"
        )
    return "\n".join([*lines, "</table>"])


def _comparison_table(rows: Sequence[dict[str, Any]], reference: str, metric: str) -> str:
    """The differences between the reference policy and each other one on the same seeds.

    Rows whose interval includes zero are grey."""
    compared = tables.comparisons(rows, reference, metric)
    if not compared:
        return ""
    heads = (
        "scenario",
        "levels",
        "other policy",
        f"{metric}: {reference} minus other",
        "95% interval",
        "seeds",
    )
    lines = [f"<h2>{escape(reference)} against the others</h2>"]
    lines.append("<table><tr>" + "".join(f"<th>{escape(head)}</th>" for head in heads) + "</tr>")
    for point, comparison in compared:
        difference = comparison.difference
        levels = ", ".join(f"{path} {value}" for path, value in point.changes.items())
        mark = "" if difference.low > 0 or difference.high < 0 else " class=same"
        fields = (
            point.scenario,
            levels,
            point.policy,
            f"{difference.mean:+.4f}",
            f"{difference.low:+.4f} to {difference.high:+.4f}",
        )
        columns = "".join(f"<td>{escape(value)}</td>" for value in (*fields, str(difference.n)))
        lines.append(f"<tr{mark}>{columns}</tr>")
    return "\n".join([*lines, "</table>"])


def _rule_table(cells: Sequence[Cell]) -> str:
    """By policy, in how many plays each rule was broken, over all scenarios."""
    totals: dict[str, dict[str, int]] = {}
    plays: dict[str, int] = {}
    for cell in cells:
        plays[cell.point.policy] = plays.get(cell.point.policy, 0) + cell.metric.n
        policy_totals = totals.setdefault(cell.point.policy, {})
        for rule, count in cell.broken.items():
            policy_totals[rule] = policy_totals.get(rule, 0) + count
        if cell.faults:
            policy_totals["did not end"] = policy_totals.get("did not end", 0) + cell.faults
    lines = [
        "<h2>Broken rules</h2><table><tr><th>policy</th><th>plays</th><th>plays that broke a rule</th></tr>"
    ]
    for policy in sorted(totals):
        breaches = ", ".join(f"{rule}: {count}" for rule, count in sorted(totals[policy].items())) or "none"
        lines.append(
            f"<tr><td>{escape(policy)}</td><td class=n>{plays[policy]}</td><td>{escape(breaches)}</td></tr>"
        )
    return "\n".join([*lines, "</table>"])
