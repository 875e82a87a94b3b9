"""Reduces a day that breaks a rule to the entries that are needed to break it (delta debugging)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from benchmarks.bench_runs import Bench, Result, run_pool
from benchmarks.day_drawer import PARTS, Day, describe
from benchmarks.day_files import read_day, write_day

Item = tuple[str, Any]  # the name of a part and one of its entries, or "closing" and the closing fault


def removable_items(day: Day) -> list[Item]:
    """Returns all items that can be removed from a day."""
    closing = [("closing", day["closing"])] if "closing" in day else []
    return [(part, entry) for part in PARTS for entry in day[part]] + closing


def day_with(day: Day, kept: Sequence[Item]) -> Day:
    """Returns the day with only these items."""
    found = {key: value for key, value in day.items() if key != "closing"}
    found.update({part: [entry for name, entry in kept if name == part] for part in PARTS})
    found.update({name: entry for name, entry in kept if name == "closing"})
    return found


def minimize(
    items: Sequence[Item], breaks: Callable[[Sequence[Sequence[Item]]], Sequence[bool]], max_days: int
) -> tuple[list[Item], int, bool]:
    """Reduces items that break a rule together. Returns the remaining items, the number of days run, and
    whether the result is minimal: no single item can be removed.

    ``breaks`` judges several candidates at once. Halves are tried first, then ever smaller parts, with at
    most ``max_days`` days. Source: Zeller and Hildebrandt, "Simplifying and isolating failure-inducing
    input".
    """
    remaining, days_run, parts = list(items), 0, 2
    while len(remaining) > 1:
        parts = min(parts, len(remaining))
        cuts = [len(remaining) * number // parts for number in range(parts + 1)]
        candidates = [remaining[:start] + remaining[end:] for start, end in zip(cuts, cuts[1:], strict=False)]
        candidates = candidates[: max_days - days_run]
        if not candidates:
            return remaining, days_run, False
        days_run += len(candidates)
        still_broken = [
            candidate
            for candidate, is_broken in zip(candidates, breaks(candidates), strict=True)
            if is_broken
        ]
        if still_broken:
            remaining, parts = still_broken[0], max(parts - 1, 2)
        elif len(candidates) < parts:
            return remaining, days_run, False
        elif parts == len(remaining):
            break
        else:
            parts = 2 * parts
    return remaining, days_run, True


def breaks_alike(first: Result, other: Result) -> bool:
    """Tells whether a day broke as another did. Rules take precedence over a fault, a fault over the gate."""
    rules = {*first.signs} - {"fault", "gate"}
    expected_signs = rules or ({"fault"} if "fault" in first.signs else {*first.signs})
    return other.state == "broken" and bool(expected_signs & {*other.signs})


def reduce_day(
    bench: Bench, site: Path, path: Path, first: Result, max_days: int, jobs: int
) -> tuple[Path, dict[str, Any]]:
    """Reduces a broken day; returns the file of the reduced day and a summary."""
    day, number = read_day(path), 0

    def breaks(candidates: Sequence[Sequence[Item]]) -> list[bool]:
        nonlocal number
        paths = []
        for kept in candidates:
            number += 1
            name = f"{path.stem}-less{number}"
            paths.append(
                write_day(path.with_name(f"{name}.toml"), day_with(day, kept) | {"name": name}, bench.bare)
            )
        with run_pool(bench, jobs) as pool:
            return [
                breaks_alike(first, result)
                for result in pool.map(lambda day_path: bench.run_day(site, day_path), paths)
            ]

    remaining, days_run, is_minimal = minimize(removable_items(day), breaks, max_days)
    name = f"{path.stem}-reduced"
    reduced = day_with(day, remaining) | {"name": name}
    summary = {
        "from": len(removable_items(day)),
        "to": len(remaining),
        "days": days_run,
        "least": is_minimal,
        "kinds": describe(reduced),
    }
    return write_day(path.with_name(f"{name}.toml"), reduced, bench.bare), summary
