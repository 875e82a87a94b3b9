"""Days played by the bench's program, one a run, and how they ended by what it prints and leaves."""

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
QUICK_S = 300.0  # for what plays nothing: a machine short of memory was seen to take over 60 s for it
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
    first: tuple[str, ...] = ()  # what was seen first of each broken rule
    seconds: float = 0.0
    journal: str = ""
    said: str = ""


def records(value: Any) -> Iterator[Mapping[str, Any]]:
    """What speaks of a day's end, anywhere in the bench's own JSON: its journal's words, or its report's of a
    bad one, since the report doesn't say that the gate was passed."""
    if isinstance(value, dict):
        if {"rules", "fault", "gate"} <= value.keys():
            yield value
        elif {"breaks", "fault", "short"} <= value.keys():
            if value["breaks"] or value["fault"] or value["short"]:
                yield {"rules": value["breaks"], "gate": False, **value}
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
    observed = [one for part in found for one in part.get("first") or () if isinstance(one, dict)]
    first = tuple(f"{one.get('rule')} at {one.get('at_s')} s: {one.get('what')}" for one in observed)
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
    ended = Result("unclear", signs, rules, fault, short, first, said=said)
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
        """Raises KindsTextError."""
        try:
            done = subprocess.run(
                [self.program, "kinds", site], cwd=ROOT, capture_output=True, text=True, timeout=QUICK_S
            )
        except (OSError, subprocess.TimeoutExpired) as fault:
            raise KindsTextError(f"{self.program} kinds {site}: {fault}") from fault
        if done.returncode:
            raise KindsTextError(f"{self.program} kinds {site}: {(done.stderr or done.stdout).strip()[:200]}")
        return done.stdout

    def build(self) -> None:
        """Once, so that days played at once needn't."""
        subprocess.run([self.program, "build"], cwd=ROOT, check=True, timeout=2 * QUICK_S)

    def play(self, site: Path, day: Path) -> Result:
        """A day in full; a run past ``wall_s`` is ended with all that it started."""
        seed = str(read_day(day)["seed"])
        report, before = day.with_suffix(".report"), {entry.name for entry in JOURNAL.glob("*.json")}
        report.unlink(missing_ok=True)
        arguments = [str(word) for word in (self.program, "run", site, day, "--seed", seed)]
        arguments += ["--report", str(report), "--jobs", "1"]
        arguments += ["--no-cpu"] if self.no_cpu else []
        arguments += [] if self.day_cap is None else ["--day-cap", f"{self.day_cap:g}"]
        arguments += ["--why", self.why] if self.why else []
        start, code = time.monotonic(), None
        with (
            day.with_suffix(".out").open("w+", encoding="utf-8", errors="replace") as into,
            subprocess.Popen(
                arguments,
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
def run_pool(bench: Bench, jobs: int) -> Iterator[ThreadPoolExecutor]:
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
