"""Runs random days with all kinds of faults that the bench names for a site, and reduces broken ones.

    python -m benchmarks.draw_days play BENCH SITE.toml... --out DIR --seed N [--count 8] [--reduce]
    python -m benchmarks.draw_days draw BENCH SITE.toml... --out DIR --seed N [--count 8]
    python -m benchmarks.draw_days reduce BENCH SITE.toml DAY.toml --out DIR [--most 40]

BENCH is the bench's program. `play` draws `--count` days, for the sites in turn, and runs `--jobs` at once.
The same seed gives the same days for the same sites. DIR must be outside this repository, because a day
contains parts of the site files. Each day adds a line to DIR/days.jsonl with its site, seed, kinds, result:

    broken    a rule was broken, the run had a fault, or the gate failed; `signs` states which
    clean     the bench states that none of these occurred
    given up  the day took too long, or the bench gave up
    unclear   anything else; never counted as clean

`reduce` removes entries as long as the day still breaks in the same way, and writes the reduced day to DIR.
Prints the result of each day; the last line is JSON.
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


def result_line(day: Day, result: Result) -> str:
    """Returns a line about a day and its result for a human reader."""
    reason = ", ".join(result.signs) or result.fault or (result.said.splitlines() or [""])[-1][:100]
    return (
        f"{day['name']}: {result.state} in {result.seconds:g} s{': ' * bool(reason)}{reason}; "
        + ", ".join(describe(day))
    )


def summarize(results: Sequence[Result]) -> dict[str, Any]:
    """Counts the days by result, and the signs."""
    states = Counter(result.state for result in results)
    signs = Counter(sign for result in results for sign in result.signs)
    gate_alone = sum(result.signs == ("gate",) for result in results)
    names = ("clean", "broken", "given up", "unclear")
    return {
        "played": len(results),
        **{name: states[name] for name in names},
        "by the gate alone": gate_alone,
        "signs": dict(sorted(signs.items())),
    }


def draw_days(
    bench: Bench, sites: Sequence[Path], out: Path, seed: int, count: int
) -> list[tuple[Path, Path]]:
    """Draws days and writes their files; returns pairs of site and day file. Raises KindsTextError, OSError,
    KeyError, tomllib.TOMLDecodeError."""
    site_data = [tomllib.loads(site.read_text(encoding="utf-8")) for site in sites]
    site_drawers = drawers(site_data, [bench.kinds(site) for site in sites])
    drawn = []
    for number in range(count):
        index = number % len(sites)
        name = f"day-{seed}-{number}"
        day = site_drawers[index].draw_day(name, number // len(sites), f"{seed}/{number}")
        drawn.append((sites[index], write_day(out / f"{name}.toml", day, bench.bare)))
    return drawn


def parse_arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    verbs = parser.add_subparsers(dest="verb", required=True)
    for verb in ("play", "draw", "reduce"):
        command = verbs.add_parser(verb)
        command.add_argument("bench", type=Path, metavar="BENCH")
        command.add_argument("sites", type=Path, nargs=1 if verb == "reduce" else "+", metavar="SITE")
        if verb == "reduce":
            command.add_argument("day", type=Path, metavar="DAY")
        command.add_argument("--out", type=Path, required=True, help="folder outside this repository")
        if verb != "reduce":
            command.add_argument("--seed", type=int, required=True)
            command.add_argument("--count", type=int, default=8, help="number of days to draw")
        command.add_argument(
            "--bare", action="store_true", help="write the fields of days at the top level of their files"
        )
        if verb != "draw":
            command.add_argument("--jobs", type=int, default=1, help="concurrent days")
            command.add_argument("--no-cpu", action="store_true", help="do not count CPU time")
            command.add_argument("--day-cap", type=float, help="maximum CPU time of a day, in seconds")
            command.add_argument(
                "--wall", type=float, default=900.0, help="seconds after which a day is given up"
            )
            command.add_argument(
                "--most", type=int, default=40, help="maximum number of days run to reduce one"
            )
            command.add_argument("--why", default="", help="reason recorded in the bench's journal")
        if verb == "play":
            command.add_argument(
                "--reduce", action="store_true", help="reduce the broken days, one after another"
            )
    return parser.parse_args()


def append_row(
    table: Path, site: Path, day: Day, result: Result, extra_fields: Mapping[str, Any] | None = None
) -> None:
    """Appends a day and its result to the table."""
    result_fields = {key: value for key, value in asdict(result).items() if value}
    row = {
        "site": site.stem,
        "day": day["name"],
        "seed": day["seed"],
        "kinds": describe(day),
        **result_fields,
        **(extra_fields or {}),
    }
    with table.open("a", encoding="utf-8") as output_file:
        output_file.write(json.dumps(row) + "\n")


def run_all(bench: Bench, args: argparse.Namespace, out: Path) -> int:
    """Draws, runs and, with --reduce, reduces days; returns 0 if all are clean, otherwise 1."""
    drawn, table = draw_days(bench, args.sites, out, args.seed, args.count), out / "days.jsonl"
    bench.build()
    results: dict[Path, Result] = {}
    with run_pool(bench, args.jobs) as pool:
        pending = {pool.submit(bench.run_day, *job): job for job in drawn}
        for future in as_completed(pending):
            site, path = pending[future]
            results[path] = result = future.result()
            append_row(table, site, read_day(path), result)
            print(result_line(read_day(path), result), flush=True)
    if args.reduce:
        for site, path in drawn:
            result = results[path]
            if result.state == "broken":
                reduced, summary = reduce_day(bench, site, path, result, args.most, args.jobs)
                append_row(table, site, read_day(reduced), result, {"reduced": summary})
                print(
                    f"{path.stem}: {summary['from']} entries down to {summary['to']}: {reduced}", flush=True
                )
    print(json.dumps({"seed": args.seed, **summarize([*results.values()]), "table": str(table)}))
    return 0 if all(result.state == "clean" for result in results.values()) else 1


def reduce_one(bench: Bench, args: argparse.Namespace, out: Path) -> int:
    """Reduces the given day; returns 1 if it does not break."""
    (site,) = args.sites
    bench.build()
    path = write_day(out / args.day.name, read_day(args.day), bench.bare)
    result = bench.run_day(site, path)
    print(result_line(read_day(path), result), flush=True)
    if result.state != "broken":
        print(json.dumps({"day": path.stem, "state": result.state}))
        return 1
    reduced, summary = reduce_day(bench, site, path, result, args.most, args.jobs)
    append_row(out / "days.jsonl", site, read_day(reduced), result, {"reduced": summary})
    print(json.dumps({"day": path.stem, "state": result.state, "left": str(reduced), **summary}))
    return 0


def main() -> int:
    """Runs the command; returns the exit code: 2 for a folder inside the repository, 1 for a failure or if a
    day is not clean, otherwise 0."""
    args = parse_arguments()
    out = args.out.resolve()
    if inside_repository(out):
        print(f"draw_days: --out {out}: give a folder outside {ROOT}", file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    args.sites = [site.absolute() for site in args.sites]
    bench = Bench(args.bench.absolute(), bare=args.bare)
    if args.verb != "draw":
        bench = replace(bench, no_cpu=args.no_cpu, day_cap=args.day_cap, wall_s=args.wall, why=args.why)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    try:
        if args.verb == "play":
            return run_all(bench, args, out)
        if args.verb == "reduce":
            return reduce_one(bench, args, out)
        drawn = draw_days(bench, args.sites, out, args.seed, args.count)
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
