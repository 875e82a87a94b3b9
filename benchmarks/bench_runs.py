"""Runs single days with the bench's program, and determines how they ended from its output and reports."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import time
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from benchmarks.day_files import ROOT, read_day
from benchmarks.trouble_kinds import KindsTextError

JOURNAL = ROOT / "journal"
COMMAND_TIMEOUT_S = 300.0  # for commands that run no day: over 60 s on a machine short of memory
TERMINATION_TIMEOUT_S = 10.0  # for a run to end after SIGTERM
MAX_OUTPUT_LINES = 6  # last lines of the bench's output that are kept for a day that is unclear or given up


@dataclass(frozen=True)
class Result:
    """How a day ended. ``signs`` holds the broken rules, "fault" for a fault, "gate" for a failed gate."""

    state: str
    signs: tuple[str, ...] = ()
    rules: Mapping[str, Any] | None = None
    fault: str = ""
    short: tuple[str, ...] = ()  # the goals that were missed
    first: tuple[str, ...] = ()  # the first violation of each broken rule
    seconds: float = 0.0
    journal: str = ""
    said: str = ""  # the last lines of output


def find_records(value: Any) -> Iterator[Mapping[str, Any]]:
    """Yields the records of how days ended, at any depth of the bench's JSON: those of its journal, and those
    of failed days in its report, since the report does not say that the gate was passed."""
    if isinstance(value, dict):
        if {"rules", "fault", "gate"} <= value.keys():
            yield value
        elif {"breaks", "fault", "short"} <= value.keys():
            if value["breaks"] or value["fault"] or value["short"]:
                yield {"rules": value["breaks"], "gate": False, **value}
        else:
            for part in value.values():
                yield from find_records(part)
    elif isinstance(value, list):
        for part in value:
            yield from find_records(part)


def parse_result(code: int | None, out: str, day_records: Sequence[Mapping[str, Any]]) -> Result:
    """Returns the result of a run with this exit code (None if it was terminated), output and records."""
    last_lines = "\n".join(out.strip().splitlines()[-MAX_OUTPUT_LINES:])
    rules = {
        name: number for record in day_records for name, number in (record["rules"] or {}).items() if number
    }
    fault = next((str(record["fault"]) for record in day_records if record["fault"]), "")
    short = tuple(str(line) for record in day_records for line in record.get("short") or ())
    violations = [
        violation
        for record in day_records
        for violation in record.get("first") or ()
        if isinstance(violation, dict)
    ]
    first = tuple(
        f"{violation.get('rule')} at {violation.get('at_s')} s: {violation.get('what')}"
        for violation in violations
    )
    gave_up = re.search(
        r"(?<!worth )given up|gave (?:it )?up|too busy|day.cap", f"{fault}\n{out}", re.IGNORECASE
    )
    signs = (
        *rules,
        *(["fault"] if fault and not gave_up else []),
        *(["gate"] if any(record["gate"] is False for record in day_records) and not gave_up else []),
    )
    if not signs:
        table = re.search(r"\bBROKEN: *(.*)", out)
        signs = tuple(re.findall(r"\b([A-Z]{3,}|fault)\b", table[1])) or ("unnamed",) if table else ()
    unclear = Result("unclear", signs, rules, fault, short, first, said=last_lines)
    if signs:
        return replace(unclear, state="broken", said="")
    if code is None or gave_up:
        return replace(unclear, state="given up")
    is_complete = day_records and all(
        record["gate"] is True and isinstance(record["rules"], dict) for record in day_records
    )
    if code == 0 and is_complete and not fault and not short:
        return replace(unclear, state="clean", said="")
    return unclear


def parse_json_values(text: str) -> list[Any]:
    """Parses a JSON value, or one JSON value per line; lines that are not JSON are skipped."""
    try:
        return [json.loads(text)]
    except ValueError:
        pass
    values = []
    for line in text.splitlines():
        try:
            values.append(json.loads(line))
        except ValueError:
            continue
    return values


@dataclass(frozen=True)
class Bench:
    """The bench's program and the options for its runs."""

    program: Path
    no_cpu: bool = False
    day_cap: float | None = None  # CPU time of a day, in seconds
    wall_s: float = 900.0  # after which a run is terminated
    why: str = ""  # the reason recorded in the journal
    bare: bool = False  # the fields of a day are at the top level of its file, not under [[day]]
    active_runs: set[subprocess.Popen[str]] = field(default_factory=set)

    def kinds(self, site: Path) -> str:
        """Returns what the bench prints about the kinds of faults of a site. Raises KindsTextError."""
        try:
            completed = subprocess.run(
                [self.program, "kinds", site],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=COMMAND_TIMEOUT_S,
            )
        except (OSError, subprocess.TimeoutExpired) as fault:
            raise KindsTextError(f"{self.program} kinds {site}: {fault}") from fault
        if completed.returncode:
            raise KindsTextError(
                f"{self.program} kinds {site}: {(completed.stderr or completed.stdout).strip()[:200]}"
            )
        return completed.stdout

    def build(self) -> None:
        """Builds the project once, so that days that run at the same time need not."""
        subprocess.run([self.program, "build"], cwd=ROOT, check=True, timeout=2 * COMMAND_TIMEOUT_S)

    def run_day(self, site: Path, day: Path) -> Result:
        """Runs a day; after ``wall_s`` the run and all processes that it started are terminated."""
        seed = str(read_day(day)["seed"])
        report, earlier_entries = day.with_suffix(".report"), {entry.name for entry in JOURNAL.glob("*.json")}
        report.unlink(missing_ok=True)
        arguments = [str(word) for word in (self.program, "run", site, day, "--seed", seed)]
        arguments += ["--report", str(report), "--jobs", "1"]
        arguments += ["--no-cpu"] if self.no_cpu else []
        arguments += [] if self.day_cap is None else ["--day-cap", f"{self.day_cap:g}"]
        arguments += ["--why", self.why] if self.why else []
        started, code = time.monotonic(), None
        with (
            day.with_suffix(".out").open("w+", encoding="utf-8", errors="replace") as output_file,
            subprocess.Popen(
                arguments,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output_file,
                stderr=output_file,
                text=True,
                start_new_session=True,
            ) as run,
        ):
            self.active_runs.add(run)
            try:
                code = run.wait(self.wall_s)
            except subprocess.TimeoutExpired:
                terminate(run)
            finally:
                self.active_runs.discard(run)
            output_file.seek(0)
            out = output_file.read()
        entry, day_records = find_journal_entry(day, earlier_entries)
        if report.exists():
            day_records += [
                record
                for part in parse_json_values(report.read_text("utf-8", "replace"))
                for record in find_records(part)
            ]
        seconds = round(time.monotonic() - started, 1)
        return replace(parse_result(code, out, day_records), seconds=seconds, journal=entry)


def terminate(run: subprocess.Popen[str]) -> None:
    """Terminates a run and all processes that it started."""
    with suppress(ProcessLookupError):
        os.killpg(run.pid, signal.SIGTERM)
        try:
            run.wait(TERMINATION_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            os.killpg(run.pid, signal.SIGKILL)


@contextmanager
def run_pool(bench: Bench, jobs: int) -> Iterator[ThreadPoolExecutor]:
    """A pool of threads that run days. If the body raises, the days that still run are terminated."""
    with ThreadPoolExecutor(jobs) as pool:
        try:
            yield pool
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            for run in list(bench.active_runs):
                terminate(run)
            raise


def find_journal_entry(day: Path, earlier_entries: set[str]) -> tuple[str, list[Mapping[str, Any]]]:
    """Returns the name of a run's journal entry and its records, or "" and no records if there is none.
    ``earlier_entries`` holds the names of earlier entries; other runs may have added entries since."""
    for path in sorted(JOURNAL.glob("*.json")):
        if path.name in earlier_entries:
            continue
        for entry in parse_json_values(path.read_text("utf-8", "replace")):
            if isinstance(entry, dict) and any(day.name in str(word) for word in entry.get("argv", ())):
                return path.name, list(find_records(entry))
    return "", []
