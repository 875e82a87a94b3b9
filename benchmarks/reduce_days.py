"""What is left of a day that breaks a rule once all entries that it does not need are taken out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from benchmarks.bench_runs import Bench, Result, pooled
from benchmarks.day_drawer import PARTS, Day, describe
from benchmarks.day_files import read_day, write_day

Item = tuple[str, Any]  # a part's name and an entry, or what closes the day


def removable_items(day: Day) -> list[Item]:
    """All that can be taken out of a day."""
    closing = [("closing", day["closing"])] if "closing" in day else []
    return [(part, entry) for part in PARTS for entry in day[part]] + closing


def day_with(day: Day, left: Sequence[Item]) -> Day:
    """The same day with these items alone."""
    found = {key: value for key, value in day.items() if key != "closing"}
    found.update({part: [entry for name, entry in left if name == part] for part in PARTS})
    found.update({name: entry for name, entry in left if name == "closing"})
    return found


def minimized(
    whole: Sequence[Item], breaks: Callable[[Sequence[Sequence[Item]]], Sequence[bool]], most: int
) -> tuple[list[Item], int, bool]:
    """What is left of items that break together; days asked for; and whether no item more can go alone.

    ``breaks`` judges several at once. Halves are tried first, then ever smaller parts; ``most`` days are
    asked for at the most. Source: Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input".
    """
    left, asked, parts = list(whole), 0, 2
    while len(left) > 1:
        parts = min(parts, len(left))
        cuts = [len(left) * number // parts for number in range(parts + 1)]
        tried = [left[:start] + left[end:] for start, end in zip(cuts, cuts[1:], strict=False)]
        tried = tried[: most - asked]
        if not tried:
            return left, asked, False
        asked += len(tried)
        smaller = [one for one, broke in zip(tried, breaks(tried), strict=True) if broke]
        if smaller:
            left, parts = smaller[0], max(parts - 1, 2)
        elif len(tried) < parts:
            return left, asked, False
        elif parts == len(left):
            break
        else:
            parts = 2 * parts
    return left, asked, True


def breaks_alike(first: Result, other: Result) -> bool:
    """Whether a day broke as another did: by a rule before a fault, by a fault before the gate."""
    named = {*first.signs} - {"fault", "gate"}
    wanted = named or ({"fault"} if "fault" in first.signs else {*first.signs})
    return other.state == "broken" and bool(wanted & {*other.signs})


def reduce_day(
    bench: Bench, site: Path, path: Path, first: Result, most: int, jobs: int
) -> tuple[Path, dict[str, Any]]:
    """The file of what is left of a broken day, and how it was found."""
    day, number = read_day(path), 0

    def breaks(tried: Sequence[Sequence[Item]]) -> list[bool]:
        nonlocal number
        paths = []
        for left in tried:
            number += 1
            name = f"{path.stem}-less{number}"
            paths.append(
                write_day(path.with_name(f"{name}.toml"), day_with(day, left) | {"name": name}, bench.bare)
            )
        with pooled(bench, jobs) as pool:
            return [
                breaks_alike(first, found) for found in pool.map(lambda one: bench.play(site, one), paths)
            ]

    left, asked, done = minimized(removable_items(day), breaks, most)
    name = f"{path.stem}-reduced"
    found = day_with(day, left) | {"name": name}
    summary = {
        "from": len(removable_items(day)),
        "to": len(left),
        "days": asked,
        "least": done,
        "kinds": describe(found),
    }
    return write_day(path.with_name(f"{name}.toml"), found, bench.bare), summary
