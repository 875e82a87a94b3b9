"""Tells which days of the mesh were played, from the bench's journal, as a table in Markdown.

    python -m benchmarks.days_played [--since 20261202T0555] [--write docs/design/days_played.md]

A row is one day of one site: how often it was played, with which seeds, how often it ended clean, what broke,
and the journal entries. A play is clean where the bench names no broken rule and no fault and says that the
gate was passed; where it says nothing of the gate, the play counts as `no gate told`, never as clean. Runs
that left no days are listed below the table, since they were played in part or not at all. With `--write`,
the table replaces what stands between the two marks in that page.
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
NO_LINE_LIMIT = 0  # lines of policy are bounded, and told, where the sidecar in service is played
BEGIN, END = "<!-- days_played: begin -->", "<!-- days_played: end -->"
MOST_SEEDS = 5  # named in a row; of more, the count alone
MOST_ENTRIES = 3  # named in a row, the latest; broken plays name their own
BENCH_DRAWN = re.compile(r"(?:fresh|hunt)-[0-9a-f]+(?:-\d+)?")
OWN_DRAWN = re.compile(r"day-(\d+)-\d+")
TRIAL = "trial"  # how the reason of a trial begins

Entry = Mapping[str, Any]


class PageMarksError(Exception):
    """A page without both marks; one line."""


@dataclass(frozen=True)
class Play:
    """One day as it was played once."""

    site: str
    day: str
    seed: int | None
    entry: str
    signs: tuple[str, ...]  # broken rules, `fault` and `gate`
    gate_told: bool
    trial: bool


@dataclass(frozen=True)
class Unfinished:
    """A run that left no days."""

    entry: str
    command: str
    site: str
    reason: str
    error: str


def read_entries(folder: Path, since: str) -> Iterator[tuple[str, Entry]]:
    """The mesh's entries with their names, oldest first; ``since`` is the start of such a name."""
    for path in sorted(folder.glob("*.json")):
        if path.name < since:
            continue
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("cmd") in MESH_COMMANDS and entry.get("limit") == NO_LINE_LIMIT:
            yield path.stem, entry


def site_of(entry: Entry) -> str:
    """Its name; that of the file where the run did not come so far."""
    return str(entry.get("site") or Path(str(entry["argv"][0])).stem)


def signs_of(day: Mapping[str, Any]) -> tuple[str, ...]:
    """What speaks against a day: rules broken with their counts, a fault, a gate that it failed."""
    rules = [f"{name} {count}" for name, count in (day.get("rules") or {}).items() if count]
    fault = ["fault"] if day.get("fault") else []
    gate = ["gate"] if day.get("gate") is False else []
    return (*rules, *fault, *gate)


def label_of(name: str, seed: int | None) -> str:
    """A day's name without its seed; one name for all days that were drawn in the same way."""
    plain = name.partition(" --seed ")[0].removesuffix(f"-{seed}")
    if BENCH_DRAWN.fullmatch(plain):
        return "drawn by the bench"
    drawn = OWN_DRAWN.fullmatch(plain)
    return f"drawn days, seed {drawn[1]}" if drawn else plain


def plays_of(name: str, entry: Entry) -> Iterator[Play]:
    """Each day of one entry of the journal."""
    trial = str(entry.get("why") or "").lower().startswith(TRIAL)
    for day in entry["days"]:
        seed = day.get("seed")
        label = "the sealed incident" if entry["cmd"] == "incident" else label_of(str(day["name"]), seed)
        gate_told = isinstance(day.get("gate"), bool)
        yield Play(site_of(entry), label, seed, name, signs_of(day), gate_told, trial)


def unfinished_of(name: str, entry: Entry) -> Unfinished:
    """An entry that ended without days."""
    error = str(entry.get("error") or "no days left")
    return Unfinished(name, str(entry["cmd"]), site_of(entry), str(entry.get("why") or ""), error)


def grouped(plays: Iterable[Play]) -> dict[tuple[str, str], list[Play]]:
    """Plays by site and day."""
    found: dict[tuple[str, str], list[Play]] = {}
    for play in plays:
        found.setdefault((play.site, play.day), []).append(play)
    return dict(sorted(found.items()))


def told_seeds(plays: Sequence[Play]) -> str:
    """The seeds of some plays, as a cell of the table."""
    seeds = sorted({play.seed for play in plays if play.seed is not None})
    if len(seeds) > MOST_SEEDS or any(seed > 99 for seed in seeds):
        return f"{len(seeds)} seeds" if len(seeds) != 1 else str(seeds[0])
    return ", ".join(map(str, seeds)) or "not told"


def told_result(plays: Sequence[Play]) -> str:
    """How some plays of one day ended, as a cell of the table."""
    broken = [play for play in plays if play.signs]
    untold = sum(not play.signs and not play.gate_told for play in plays)
    trials = sum(play.trial for play in plays)
    parts = [f"{len(plays) - len(broken) - untold} clean"]
    parts += [f"{untold} no gate told"] if untold else []
    parts += [f"broken: {', '.join(play.signs)} (seed {play.seed}, {play.entry[-8:]})" for play in broken]
    parts += [f"{trials} of these trials"] if trials else []
    return "; ".join(parts)


def told_entries(plays: Sequence[Play]) -> str:
    """The newest entries of some plays, as a cell of the table."""
    names = list(dict.fromkeys(play.entry[-8:] for play in plays))
    more = f" and {len(names) - MOST_ENTRIES} before" if len(names) > MOST_ENTRIES else ""
    return " ".join(names[-MOST_ENTRIES:]) + more


def table(plays: Sequence[Play], unfinished: Sequence[Unfinished]) -> str:
    """The Markdown of all plays; the last line of the first part is the sum."""
    lines = ["| site | day | plays | seeds | result | journal |", "| --- | --- | --- | --- | --- | --- |"]
    for (site, day), some in grouped(plays).items():
        cells = (site, day, str(len(some)), told_seeds(some), told_result(some), told_entries(some))
        lines.append(f"| {' | '.join(cells)} |")
    broken = sum(bool(play.signs) for play in plays)
    untold = sum(not play.signs and not play.gate_told for play in plays)
    clean = len(plays) - broken - untold
    lines += ["", f"In all {len(plays)} plays: {clean} clean, {broken} broken, {untold} without a gate told."]
    if unfinished:
        lines += ["", f"Runs that left no days, {len(unfinished)} (not counted above):", ""]
        lines += ["| journal | command | site | why | error |", "| --- | --- | --- | --- | --- |"]
        lines += [
            f"| {one.entry[-8:]} | {one.command} | {one.site} | {one.reason} | {one.error} |"
            for one in unfinished
        ]
    return "\n".join(lines)


def with_table(page: str, made: str) -> str:
    """The page with what stands between its marks replaced. Raises PageMarksError."""
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise PageMarksError(f"the page needs the lines {BEGIN} and {END}")
    return f"{before}{BEGIN}\n{made}\n{END}{after}"


def main() -> int:
    """Prints or writes the table; the exit code is 1 for a page without its marks."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--since", default="", help="the first entry's name begins so or comes later")
    words.add_argument("--journal", type=Path, default=JOURNAL)
    words.add_argument("--write", type=Path, help="a page with both marks")
    given = words.parse_args()
    entries = list(read_entries(given.journal, given.since))
    plays = [play for name, entry in entries for play in plays_of(name, entry)]
    unfinished = [unfinished_of(name, entry) for name, entry in entries if not entry["days"]]
    made = table(plays, unfinished)
    if given.write is None:
        print(made)
        return 0
    try:
        page = with_table(given.write.read_text(encoding="utf-8"), made)
    except (OSError, PageMarksError) as fault:
        print(f"days_played: {given.write}: {fault}", file=sys.stderr)
        return 1
    given.write.write_text(page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
