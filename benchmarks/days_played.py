"""Writes a Markdown table of the days that were run with the mesh, from the bench's journal.

    python -m benchmarks.days_played [--since 20261202T0555] [--write docs/design/days_played.md]

Each row is one day of one site: the number of runs, their seeds, how many were clean, the violations, and the
journal entries. A run is clean if the bench reports no broken rule and no fault and states that the gate was
passed; if it states nothing about the gate, the run counts as `no gate told`, not as clean. Journal entries
without any day are listed below the table, since they are partial runs or failed to start. With `--write`,
the table replaces the text between the two marks in that page.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
MESH_COMMANDS = ("run", "score", "hunt", "replay", "incident")
NO_LINE_LIMIT = 0  # entries of the sidecar in service state a limit for the lines of its policy
BEGIN, END = "<!-- days_played: begin -->", "<!-- days_played: end -->"
MAX_SEEDS = 5  # listed in a row; only the count if there are more
MAX_ENTRIES = 3  # latest entries listed in a row; failed runs name theirs as well
BENCH_DRAWN_NAME = re.compile(r"(?:fresh|hunt)-[0-9a-f]+(?:-\d+)?")
DRAWN_NAME = re.compile(r"day-(\d+)-\d+")
TRIAL = "trial"  # prefix of the reason of a trial

Entry = Mapping[str, Any]


class PageMarksError(Exception):
    """The page lacks the marks; the message is one line."""


@dataclass(frozen=True)
class DayRun:
    """One run of a day."""

    site: str
    day: str
    seed: int | None
    entry: str
    signs: tuple[str, ...]  # broken rules, "fault" and "gate"
    gate_known: bool
    trial: bool


@dataclass(frozen=True)
class Unfinished:
    """A journal entry without days."""

    entry: str
    command: str
    site: str
    reason: str
    error: str


def read_entries(folder: Path, since: str) -> Iterator[tuple[str, Entry]]:
    """Yields the mesh's entries with their names, oldest first, from the name ``since`` on."""
    for path in sorted(folder.glob("*.json")):
        if path.name < since:
            continue
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("cmd") in MESH_COMMANDS and entry.get("limit") == NO_LINE_LIMIT:
            yield path.stem, entry


def site_of(entry: Entry) -> str:
    """Returns the name of the site, or of the site file if the entry does not name the site."""
    return str(entry.get("site") or Path(str(entry["argv"][0])).stem)


def signs_of(day: Mapping[str, Any]) -> tuple[str, ...]:
    """Returns the broken rules of a day with their counts, "fault" for a fault, "gate" for a failed gate."""
    rules = [f"{name} {count}" for name, count in (day.get("rules") or {}).items() if count]
    fault = ["fault"] if day.get("fault") else []
    gate = ["gate"] if day.get("gate") is False else []
    return (*rules, *fault, *gate)


def label_of(name: str, seed: int | None) -> str:
    """Returns the name of a day without its seed; randomly drawn days share a name."""
    plain_name = name.partition(" --seed ")[0].removesuffix(f"-{seed}")
    if BENCH_DRAWN_NAME.fullmatch(plain_name):
        return "drawn by the bench"
    match = DRAWN_NAME.fullmatch(plain_name)
    return f"drawn days, seed {match[1]}" if match else plain_name


def runs_of(name: str, entry: Entry) -> Iterator[DayRun]:
    """Yields the runs of a journal entry."""
    trial = str(entry.get("why") or "").lower().startswith(TRIAL)
    for day in entry["days"]:
        seed = day.get("seed")
        label = "the sealed incident" if entry["cmd"] == "incident" else label_of(str(day["name"]), seed)
        gate_known = isinstance(day.get("gate"), bool)
        yield DayRun(site_of(entry), label, seed, name, signs_of(day), gate_known, trial)


def unfinished_of(name: str, entry: Entry) -> Unfinished:
    """Returns the summary of an entry without days."""
    error = str(entry.get("error") or "no days left")
    return Unfinished(name, str(entry["cmd"]), site_of(entry), str(entry.get("why") or ""), error)


def group_by_day(runs: Iterable[DayRun]) -> dict[tuple[str, str], list[DayRun]]:
    """Groups the runs by site and day."""
    groups: dict[tuple[str, str], list[DayRun]] = {}
    for run in runs:
        groups.setdefault((run.site, run.day), []).append(run)
    return dict(sorted(groups.items()))


def format_seeds(runs: Sequence[DayRun]) -> str:
    """Formats the seeds of some runs as a table cell."""
    seeds = sorted({run.seed for run in runs if run.seed is not None})
    if len(seeds) > MAX_SEEDS or any(seed > 99 for seed in seeds):
        return f"{len(seeds)} seeds" if len(seeds) != 1 else str(seeds[0])
    return ", ".join(map(str, seeds)) or "not told"


def format_result(runs: Sequence[DayRun]) -> str:
    """Formats the results of some runs of one day as a table cell."""
    broken = [run for run in runs if run.signs]
    gate_unknown = sum(not run.signs and not run.gate_known for run in runs)
    trials = sum(run.trial for run in runs)
    parts = [f"{len(runs) - len(broken) - gate_unknown} clean"]
    parts += [f"{gate_unknown} no gate told"] if gate_unknown else []
    parts += [f"broken: {', '.join(run.signs)} (seed {run.seed}, {run.entry[-8:]})" for run in broken]
    parts += [f"{trials} of these trials"] if trials else []
    return "; ".join(parts)


def format_entries(runs: Sequence[DayRun]) -> str:
    """Formats the latest entries of some runs as a table cell."""
    names = list(dict.fromkeys(run.entry[-8:] for run in runs))
    more = f" and {len(names) - MAX_ENTRIES} before" if len(names) > MAX_ENTRIES else ""
    return " ".join(names[-MAX_ENTRIES:]) + more


def format_table(runs: Sequence[DayRun], unfinished: Sequence[Unfinished]) -> str:
    """Formats the table of all runs, their totals, and the table of entries without days."""
    lines = ["| site | day | plays | seeds | result | journal |", "| --- | --- | --- | --- | --- | --- |"]
    for (site, day), day_runs in group_by_day(runs).items():
        cells = (
            site,
            day,
            str(len(day_runs)),
            format_seeds(day_runs),
            format_result(day_runs),
            format_entries(day_runs),
        )
        lines.append(f"| {' | '.join(cells)} |")
    broken = sum(bool(run.signs) for run in runs)
    gate_unknown = sum(not run.signs and not run.gate_known for run in runs)
    clean = len(runs) - broken - gate_unknown
    lines += [
        "",
        f"In all {len(runs)} plays: {clean} clean, {broken} broken, {gate_unknown} without a gate told.",
    ]
    if unfinished:
        lines += ["", f"Runs that left no days, {len(unfinished)} (not counted above):", ""]
        lines += ["| journal | command | site | why | error |", "| --- | --- | --- | --- | --- |"]
        lines += [
            f"| {entry.entry[-8:]} | {entry.command} | {entry.site} | {entry.reason} | {entry.error} |"
            for entry in unfinished
        ]
    return "\n".join(lines)


def replace_table(page: str, table: str) -> str:
    """Returns the page with the text between its marks replaced. Raises PageMarksError."""
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise PageMarksError(f"the page needs the lines {BEGIN} and {END}")
    return f"{before}{BEGIN}\n{table}\n{END}{after}"


def main() -> int:
    """Prints or writes the table; returns the exit code, 1 for a page without the marks."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--since", default="", help="start of the name of the first entry")
    parser.add_argument("--journal", type=Path, default=JOURNAL)
    parser.add_argument("--write", type=Path, help="page with both marks")
    args = parser.parse_args()
    entries = list(read_entries(args.journal, args.since))
    runs = [run for name, entry in entries for run in runs_of(name, entry)]
    unfinished = [unfinished_of(name, entry) for name, entry in entries if not entry["days"]]
    table = format_table(runs, unfinished)
    if args.write is None:
        print(table)
        return 0
    try:
        page = replace_table(args.write.read_text(encoding="utf-8"), table)
    except (OSError, PageMarksError) as fault:
        print(f"days_played: {args.write}: {fault}", file=sys.stderr)
        return 1
    args.write.write_text(page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
