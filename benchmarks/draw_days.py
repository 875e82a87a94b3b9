"""Plays days drawn from all kinds of troubles that the bench names for a site, and takes broken ones apart.

    python -m benchmarks.draw_days play BENCH SITE.toml... --out DIR --seed N [--count 8] [--reduce]
    python -m benchmarks.draw_days draw BENCH SITE.toml... --out DIR --seed N [--count 8]
    python -m benchmarks.draw_days reduce BENCH SITE.toml DAY.toml --out DIR [--most 40]

BENCH is the bench's program. `play` draws so many days, the sites in turn, and plays `--jobs` at once. The
same seed gives the same days for the same sites; DIR must lie outside this repository, since a day holds what
the sites hold. Each day leaves a line in DIR/days.jsonl: its site, seed, kinds, and how it ended:

    broken    a rule was broken, the run had a fault, or the gate failed: `signs` says which
    clean     the bench says that none of these is so
    given up  the day took too long, or the bench gave it up
    unclear   anything else: never taken for clean

`reduce` takes entries out as long as the day still breaks in the same way, and writes what is left beside it.
What was played, broken, given up is printed; the last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import signal
import subprocess
import sys
import tomllib
from collections import Counter
from collections.abc import Mapping, Sequence
from concurrent.futures import as_completed
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

from benchmarks.bench_runs import Bench, Result, run_pool
from benchmarks.day_drawer import Day, describe, drawers
from benchmarks.day_files import ROOT, DayFileError, inside_repository, read_day, write_day
from benchmarks.reduce_days import reduce_day
from benchmarks.trouble_kinds import KindsTextError


def result_line(day: Day, found: Result) -> str:
    """One for a person."""
    because = ", ".join(found.signs) or found.fault or (found.said.splitlines() or [""])[-1][:100]
    return (
        f"{day['name']}: {found.state} in {found.seconds:g} s{': ' * bool(because)}{because}; "
        + ", ".join(describe(day))
    )


def summary_of(results: Sequence[Result]) -> dict[str, Any]:
    """How many days ended in which way, and which signs were seen how often."""
    states = Counter(found.state for found in results)
    signs = Counter(sign for found in results for sign in found.signs)
    gate_alone = sum(found.signs == ("gate",) for found in results)
    names = ("clean", "broken", "given up", "unclear")
    return {
        "played": len(results),
        **{name: states[name] for name in names},
        "by the gate alone": gate_alone,
        "signs": dict(sorted(signs.items())),
    }


def draw(bench: Bench, sites: Sequence[Path], out: Path, seed: int, count: int) -> list[tuple[Path, Path]]:
    """Days' files with their sites. Raises KindsTextError, OSError, KeyError, tomllib.TOMLDecodeError."""
    read = [tomllib.loads(site.read_text(encoding="utf-8")) for site in sites]
    made = drawers(read, [bench.kinds(site) for site in sites])
    found = []
    for number in range(count):
        which = number % len(sites)
        name = f"day-{seed}-{number}"
        day = made[which].day(name, number // len(sites), f"{seed}/{number}")
        found.append((sites[which], write_day(out / f"{name}.toml", day, bench.bare)))
    return found


def arguments() -> argparse.Namespace:
    """Those of the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    verbs = parser.add_subparsers(dest="verb", required=True)
    for verb in ("play", "draw", "reduce"):
        one = verbs.add_parser(verb)
        one.add_argument("bench", type=Path, metavar="BENCH")
        one.add_argument("sites", type=Path, nargs=1 if verb == "reduce" else "+", metavar="SITE")
        if verb == "reduce":
            one.add_argument("day", type=Path, metavar="DAY")
        one.add_argument("--out", type=Path, required=True, help="a folder outside this repository")
        if verb != "reduce":
            one.add_argument("--seed", type=int, required=True)
            one.add_argument("--count", type=int, default=8, help="days to draw")
        one.add_argument("--bare", action="store_true", help="write days' fields at the top of their files")
        if verb != "draw":
            one.add_argument("--jobs", type=int, default=1, help="days at once")
            one.add_argument("--no-cpu", action="store_true", help="processor time isn't counted")
            one.add_argument("--day-cap", type=float, help="processor time that a day may take, in seconds")
            one.add_argument(
                "--wall", type=float, default=900.0, help="seconds after which a day is given up"
            )
            one.add_argument("--most", type=int, default=40, help="days that reducing one may take")
            one.add_argument("--why", default="", help="a line for the bench's journal")
        if verb == "play":
            one.add_argument("--reduce", action="store_true", help="the broken ones, one after another")
    return parser.parse_args()


def append_row(
    table: Path, site: Path, day: Day, found: Result, more: Mapping[str, Any] | None = None
) -> None:
    """Adds a day and how it ended to the table."""
    said = {key: value for key, value in asdict(found).items() if value}
    row = {
        "site": site.stem,
        "day": day["name"],
        "seed": day["seed"],
        "kinds": describe(day),
        **said,
        **(more or {}),
    }
    with table.open("a", encoding="utf-8") as into:
        into.write(json.dumps(row) + "\n")


def play_all(bench: Bench, given: argparse.Namespace, out: Path) -> int:
    """Draws, plays and, where asked, reduces days; 1 unless all are clean."""
    drawn, table = draw(bench, given.sites, out, given.seed, given.count), out / "days.jsonl"
    bench.build()
    results: dict[Path, Result] = {}
    with run_pool(bench, given.jobs) as pool:
        under_way = {pool.submit(bench.play, *one): one for one in drawn}
        for done in as_completed(under_way):
            site, path = under_way[done]
            results[path] = found = done.result()
            append_row(table, site, read_day(path), found)
            print(result_line(read_day(path), found), flush=True)
    if given.reduce:
        for site, path in drawn:
            found = results[path]
            if found.state == "broken":
                less, how = reduce_day(bench, site, path, found, given.most, given.jobs)
                append_row(table, site, read_day(less), found, {"reduced": how})
                print(f"{path.stem}: {how['from']} entries down to {how['to']}: {less}", flush=True)
    print(json.dumps({"seed": given.seed, **summary_of([*results.values()]), "table": str(table)}))
    return 0 if all(found.state == "clean" for found in results.values()) else 1


def reduce_one(bench: Bench, given: argparse.Namespace, out: Path) -> int:
    """Reduces the given day; 1 where it does not break."""
    (site,) = given.sites
    bench.build()
    path = write_day(out / given.day.name, read_day(given.day), bench.bare)
    first = bench.play(site, path)
    print(result_line(read_day(path), first), flush=True)
    if first.state != "broken":
        print(json.dumps({"day": path.stem, "state": first.state}))
        return 1
    less, how = reduce_day(bench, site, path, first, given.most, given.jobs)
    append_row(out / "days.jsonl", site, read_day(less), first, {"reduced": how})
    print(json.dumps({"day": path.stem, "state": first.state, "left": str(less), **how}))
    return 0


def main() -> int:
    """The exit code: 2 for a folder inside the repository, 1 for a failure, 0."""
    given = arguments()
    out = given.out.resolve()
    if inside_repository(out):
        print(f"draw_days: --out {out}: give a folder outside {ROOT}", file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    given.sites = [site.absolute() for site in given.sites]
    bench = Bench(given.bench.absolute(), bare=given.bare)
    if given.verb != "draw":
        bench = replace(bench, no_cpu=given.no_cpu, day_cap=given.day_cap, wall_s=given.wall, why=given.why)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    try:
        if given.verb == "play":
            return play_all(bench, given, out)
        if given.verb == "reduce":
            return reduce_one(bench, given, out)
        drawn = draw(bench, given.sites, out, given.seed, given.count)
    except (
        OSError,
        KeyError,
        tomllib.TOMLDecodeError,
        subprocess.SubprocessError,
        KindsTextError,
        DayFileError,
    ) as fault:
        print(f"draw_days: {fault!r}; give the bench's program and its site files", file=sys.stderr)
        return 1
    for _, path in drawn:
        print(f"{path.stem}: {', '.join(describe(read_day(path)))}")
    print(json.dumps([str(path) for _, path in drawn]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
