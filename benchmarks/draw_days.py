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
import os
import re
import signal
import subprocess
import sys
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from contextlib import contextmanager, suppress
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

import tomli_w

from benchmarks.day_kinds import PARTS, BadKinds, Day, drawers, told

ROOT = Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
QUICK_S = 60.0  # for what plays nothing
END_S = 10.0  # for a run to end after SIGTERM
LAST = 6  # lines of what the bench printed, kept of a day that is unclear or given up


@dataclass(frozen=True)
class Result:
    """How a day ended; ``signs`` are the rules broken, `fault` and `gate`."""

    state: str
    signs: tuple[str, ...] = ()
    rules: Mapping[str, Any] | None = None
    fault: str = ""
    short: tuple[str, ...] = ()
    seconds: float = 0.0
    journal: str = ""
    said: str = ""


def records(value: Any) -> Iterator[Mapping[str, Any]]:
    """What speaks of a day's end, anywhere in the bench's own JSON."""
    if isinstance(value, dict):
        if {"rules", "fault", "gate"} <= value.keys():
            yield value
        else:
            for part in value.values():
                yield from records(part)
    elif isinstance(value, list):
        for part in value:
            yield from records(part)


def result(code: int | None, out: str, found: Sequence[Mapping[str, Any]]) -> Result:
    """Of a run that ended with ``code`` (none: ended from here), printed ``out`` and left these records."""
    said = "\n".join(out.strip().splitlines()[-LAST:])
    rules = {name: number for one in found for name, number in (one["rules"] or {}).items() if number}
    fault = next((str(one["fault"]) for one in found if one["fault"]), "")
    short = tuple(str(line) for one in found for line in one.get("short") or ())
    gave_up = re.search(
        r"(?<!worth )given up|gave (?:it )?up|too busy|day.cap", f"{fault}\n{out}", re.IGNORECASE
    )
    signs = (
        *rules,
        *(["fault"] if fault and not gave_up else []),
        *(["gate"] if any(one["gate"] is False for one in found) and not gave_up else []),
    )
    if not signs:
        table = re.search(r"\bBROKEN: *(.*)", out)
        signs = tuple(re.findall(r"\b([A-Z]{3,}|fault)\b", table[1])) or ("unnamed",) if table else ()
    ended = Result("unclear", signs, rules, fault, short, said=said)
    if signs:
        return replace(ended, state="broken", said="")
    if code is None or gave_up:
        return replace(ended, state="given up")
    whole = found and all(one["gate"] is True and isinstance(one["rules"], dict) for one in found)
    if code == 0 and whole and not fault and not short:
        return replace(ended, state="clean", said="")
    return ended


def loaded(text: str) -> list[Any]:
    """JSON, one value or one a line; nothing of what is neither."""
    try:
        return [json.loads(text)]
    except ValueError:
        pass
    found = []
    for line in text.splitlines():
        try:
            found.append(json.loads(line))
        except ValueError:
            continue
    return found


@dataclass(frozen=True)
class Bench:
    """The bench's program, and how days are played by it."""

    program: Path
    no_cpu: bool = False
    day_cap: float | None = None  # of processor time, in seconds
    wall_s: float = 900.0
    why: str = ""
    bare: bool = False  # a day's fields stand at the top of its file, not under [[day]]
    running: set[subprocess.Popen[str]] = field(default_factory=set)

    def kinds(self, site: Path) -> str:
        """Raises BadKinds."""
        try:
            done = subprocess.run(
                [self.program, "kinds", site], cwd=ROOT, capture_output=True, text=True, timeout=QUICK_S
            )
        except (OSError, subprocess.TimeoutExpired) as fault:
            raise BadKinds(f"{self.program} kinds {site}: {fault}") from fault
        if done.returncode:
            raise BadKinds(f"{self.program} kinds {site}: {(done.stderr or done.stdout).strip()[:200]}")
        return done.stdout

    def build(self) -> None:
        """Once, so that days played at once needn't."""
        subprocess.run([self.program, "build"], cwd=ROOT, check=True, timeout=10 * QUICK_S)

    def play(self, site: Path, day: Path) -> Result:
        """A day in full; a run past ``wall_s`` is ended with all that it started."""
        seed = str(read_day(day)["seed"])
        report, before = day.with_suffix(".report"), {entry.name for entry in JOURNAL.glob("*.json")}
        report.unlink(missing_ok=True)
        words = [str(word) for word in (self.program, "run", site, day, "--seed", seed)]
        words += ["--report", str(report), "--jobs", "1"]
        words += ["--no-cpu"] if self.no_cpu else []
        words += [] if self.day_cap is None else ["--day-cap", f"{self.day_cap:g}"]
        words += ["--why", self.why] if self.why else []
        start, code = time.monotonic(), None
        with (
            day.with_suffix(".out").open("w+", encoding="utf-8", errors="replace") as into,
            subprocess.Popen(
                words,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=into,
                stderr=into,
                text=True,
                start_new_session=True,
            ) as run,
        ):
            self.running.add(run)
            try:
                code = run.wait(self.wall_s)
            except subprocess.TimeoutExpired:
                end(run)
            finally:
                self.running.discard(run)
            into.seek(0)
            out = into.read()
        entry, found = journalled(day, before)
        if report.exists():
            found += [one for part in loaded(report.read_text("utf-8", "replace")) for one in records(part)]
        seconds = round(time.monotonic() - start, 1)
        return replace(result(code, out, found), seconds=seconds, journal=entry)


def end(run: subprocess.Popen[str]) -> None:
    """With all that it started."""
    with suppress(ProcessLookupError):
        os.killpg(run.pid, signal.SIGTERM)
        try:
            run.wait(END_S)
        except subprocess.TimeoutExpired:
            os.killpg(run.pid, signal.SIGKILL)


@contextmanager
def pooled(bench: Bench, jobs: int) -> Iterator[ThreadPoolExecutor]:
    """Threads that play days; where their user fails or is ended, so are the days under way."""
    with ThreadPoolExecutor(jobs) as pool:
        try:
            yield pool
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            for run in list(bench.running):
                end(run)
            raise


def journalled(day: Path, before: set[str]) -> tuple[str, list[Mapping[str, Any]]]:
    """The journal's entry of a run, and the records in it; other runs may have left theirs meanwhile."""
    for path in sorted(JOURNAL.glob("*.json")):
        if path.name in before:
            continue
        for entry in loaded(path.read_text("utf-8", "replace")):
            if isinstance(entry, dict) and any(day.name in str(word) for word in entry.get("argv", ())):
                return path.name, list(records(entry))
    return "", []


def read_day(path: Path) -> Day:
    """The first day of a file."""
    found = tomllib.loads(path.read_text(encoding="utf-8"))
    day: Day = found.get("day", [found])[0]
    return day


def write_day(path: Path, day: Day, bare: bool) -> Path:
    path.write_text(tomli_w.dumps(day if bare else {"day": [day]}), encoding="utf-8")
    return path


Item = tuple[str, Any]  # a part's name and an entry, or what closes the day


def items(day: Day) -> list[Item]:
    """All that can be taken out of a day."""
    closing = [("closing", day["closing"])] if "closing" in day else []
    return [(part, entry) for part in PARTS for entry in day[part]] + closing


def of_items(day: Day, left: Sequence[Item]) -> Day:
    found = {key: value for key, value in day.items() if key != "closing"}
    found.update({part: [entry for name, entry in left if name == part] for part in PARTS})
    found.update({name: entry for name, entry in left if name == "closing"})
    return found


def reduced(
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


def same(first: Result, other: Result) -> bool:
    """Whether a day broke as another did: by a rule before a fault, by a fault before the gate."""
    named = {*first.signs} - {"fault", "gate"}
    wanted = named or ({"fault"} if "fault" in first.signs else {*first.signs})
    return other.state == "broken" and bool(wanted & {*other.signs})


def taken_apart(
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
                write_day(path.with_name(f"{name}.toml"), of_items(day, left) | {"name": name}, bench.bare)
            )
        with pooled(bench, jobs) as pool:
            return [same(first, found) for found in pool.map(lambda one: bench.play(site, one), paths)]

    left, asked, done = reduced(items(day), breaks, most)
    name = f"{path.stem}-reduced"
    found = of_items(day, left) | {"name": name}
    told_ = {"from": len(items(day)), "to": len(left), "days": asked, "least": done, "kinds": told(found)}
    return write_day(path.with_name(f"{name}.toml"), found, bench.bare), told_


def line(day: Day, found: Result) -> str:
    """One for a person."""
    because = ", ".join(found.signs) or found.fault or (found.said.splitlines() or [""])[-1][:100]
    return (
        f"{day['name']}: {found.state} in {found.seconds:g} s{': ' * bool(because)}{because}; "
        + ", ".join(told(day))
    )


def summed(results: Sequence[Result]) -> dict[str, Any]:
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
    """Days' files with their sites. Raises BadKinds, OSError, KeyError, tomllib.TOMLDecodeError."""
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
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = words.add_subparsers(dest="verb", required=True)
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
    return words.parse_args()


def keep(table: Path, site: Path, day: Day, found: Result, more: Mapping[str, Any] | None = None) -> None:
    said = {key: value for key, value in asdict(found).items() if value}
    row = {
        "site": site.stem,
        "day": day["name"],
        "seed": day["seed"],
        "kinds": told(day),
        **said,
        **(more or {}),
    }
    with table.open("a", encoding="utf-8") as into:
        into.write(json.dumps(row) + "\n")


def play_all(bench: Bench, given: argparse.Namespace, out: Path) -> int:
    drawn, table = draw(bench, given.sites, out, given.seed, given.count), out / "days.jsonl"
    bench.build()
    results: dict[Path, Result] = {}
    with pooled(bench, given.jobs) as pool:
        under_way = {pool.submit(bench.play, *one): one for one in drawn}
        for done in as_completed(under_way):
            site, path = under_way[done]
            results[path] = found = done.result()
            keep(table, site, read_day(path), found)
            print(line(read_day(path), found), flush=True)
    if given.reduce:
        for site, path in drawn:
            found = results[path]
            if found.state == "broken":
                less, how = taken_apart(bench, site, path, found, given.most, given.jobs)
                keep(table, site, read_day(less), found, {"reduced": how})
                print(f"{path.stem}: {how['from']} entries down to {how['to']}: {less}", flush=True)
    print(json.dumps({"seed": given.seed, **summed([*results.values()]), "table": str(table)}))
    return 0 if all(found.state == "clean" for found in results.values()) else 1


def reduce_one(bench: Bench, given: argparse.Namespace, out: Path) -> int:
    (site,) = given.sites
    bench.build()
    path = write_day(out / given.day.name, read_day(given.day), bench.bare)
    first = bench.play(site, path)
    print(line(read_day(path), first), flush=True)
    if first.state != "broken":
        print(json.dumps({"day": path.stem, "state": first.state}))
        return 1
    less, how = taken_apart(bench, site, path, first, given.most, given.jobs)
    keep(out / "days.jsonl", site, read_day(less), first, {"reduced": how})
    print(json.dumps({"day": path.stem, "state": first.state, "left": str(less), **how}))
    return 0


def main() -> int:
    given = arguments()
    out = given.out.resolve()
    if out.is_relative_to(ROOT):
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
    except (OSError, KeyError, tomllib.TOMLDecodeError, subprocess.SubprocessError, BadKinds) as fault:
        print(f"draw_days: {fault!r}; give the bench's program and its site files", file=sys.stderr)
        return 1
    for _, path in drawn:
        print(f"{path.stem}: {', '.join(told(read_day(path)))}")
    print(json.dumps([str(path) for _, path in drawn]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
