"""Making the plays of a plan: what is missing is played over all cores, and lands as it comes."""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from lab import pool
from lab.experiment import Plan, Play, missing, shard
from lab.results import Folder, Loaded, rows_of
from lab.revisions import Revisions, libraries
from lab.worker import Job

LAND_EACH, LAND_S = 64, 5.0  # a part holds so many plays, or what came in so many seconds
Progress = Callable[[int, int, str], None]  # done, of how many, what the last one was


def silent(done: int, of: int, last: str) -> None:
    """No progress."""


def make(
    plan: Plan,
    folder: Path,
    *,
    workers: int,
    part: str = "1/1",
    seeds: Iterable[int] | None = None,
    progress: Progress = silent,
    most_s: float = 3600.0,
) -> Loaded:
    """Plays what is missing and makes one file of it; the rows of all plays. Raises InvalidInput."""
    results = Folder(folder, libraries())
    with tempfile.TemporaryDirectory(prefix="lab-") as scratch:
        revisions = Revisions(Path(scratch))
        codes = {way: revisions.code(way) for way in plan.experiment.policies}
        loaded = results.load()
        for path in loaded.damaged:
            print(f"{path}: could not be read and was set aside; its plays are made again", file=sys.stderr)
        wanted = shard(missing(plan.plays(codes, seeds), loaded.done()), part)
        kept = plan.experiment.first_seed + plan.experiment.series_seeds
        jobs = [
            (
                play,
                Job(
                    source=plan.source(play.point),
                    policy=play.point.policy,
                    seed=play.seed,
                    series=play.seed < kept,
                ),
                revisions.place(play.point.policy),
            )
            for play in wanted
        ]
        _land(results, jobs, workers, part, progress, most_s)
    return results.compact()


def _land(
    results: Folder,
    jobs: list[tuple[Play, Job, Path]],
    workers: int,
    part: str,
    progress: Progress,
    most_s: float,
) -> None:
    rows: list[dict[str, Any]] = []
    series: list[dict[str, Any]] = []
    landed = time.monotonic()
    try:
        for done, (play, found) in enumerate(pool.run(jobs, workers, most_s), 1):
            progress(done, len(jobs), f"{play.point.label()}, seed {play.seed}")
            if found.row.fault.startswith("the worker ended"):
                print(f"{play.point.label()}, seed {play.seed}: {found.row.fault}", file=sys.stderr)
                continue  # no result: a second run makes it again
            row, over_time = rows_of(play, found)
            rows.append(row)
            series += over_time
            if len(rows) >= LAND_EACH or time.monotonic() - landed > LAND_S:
                results.add(rows, series, part)
                rows, series, landed = [], [], time.monotonic()
    finally:
        if rows:
            results.add(rows, series, part)
