"""Runs the missing plays of a plan on all cores, and saves results as they arrive."""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from lab import pool
from lab.experiment import Plan, Play, missing_plays, select_shard
from lab.results import LoadedResults, ResultFolder, result_rows
from lab.revisions import Revisions, libraries
from lab.worker import Job

# A part file is written after this many plays or, if there are fewer, after this many seconds.
MAX_PLAYS_PER_PART, MAX_PART_AGE_S = 64, 5.0
Progress = Callable[[int, int, str], None]  # plays done, plays in total, label of the last one


def no_progress(done: int, total: int, last: str) -> None:
    """Reports no progress."""


def run_missing_plays(
    plan: Plan,
    folder: Path,
    *,
    workers: int,
    shard: str = "1/1",
    seeds: Iterable[int] | None = None,
    progress: Progress = no_progress,
    timeout_s: float = 3600.0,
) -> LoadedResults:
    """Runs the plays that have no result yet, and merges all results into one file, which it returns.

    Raises InvalidInput."""
    results = ResultFolder(folder, libraries())
    with tempfile.TemporaryDirectory(prefix="lab-") as scratch:
        revisions = Revisions(Path(scratch))
        codes = {policy: revisions.code(policy) for policy in plan.experiment.policies}
        loaded = results.load()
        for path in loaded.damaged:
            print(f"{path}: could not be read and was set aside; its plays are run again", file=sys.stderr)
        plays = select_shard(missing_plays(plan.plays(codes, seeds), loaded.done()), shard)
        series_end = plan.experiment.first_seed + plan.experiment.series_seeds
        jobs = [
            (
                play,
                Job(
                    source=plan.source(play.point),
                    policy=play.point.policy,
                    seed=play.seed,
                    series=play.seed < series_end,
                ),
                revisions.directory(play.point.policy),
            )
            for play in plays
        ]
        _run_and_save(results, jobs, workers, shard, progress, timeout_s)
    return results.compact()


def _run_and_save(
    results: ResultFolder,
    jobs: list[tuple[Play, Job, Path]],
    workers: int,
    shard: str,
    progress: Progress,
    timeout_s: float,
) -> None:
    """Runs the jobs on the workers and saves their rows in parts."""
    rows: list[dict[str, Any]] = []
    series: list[dict[str, Any]] = []
    saved_at = time.monotonic()
    try:
        for done, (play, result) in enumerate(pool.run(jobs, workers, timeout_s), 1):
            progress(done, len(jobs), f"{play.point.label()}, seed {play.seed}")
            if result.row.fault.startswith("the worker ended"):
                print(f"{play.point.label()}, seed {play.seed}: {result.row.fault}", file=sys.stderr)
                continue  # not saved as a result, so that the next invocation repeats it
            row, play_series = result_rows(play, result)
            rows.append(row)
            series += play_series
            if len(rows) >= MAX_PLAYS_PER_PART or time.monotonic() - saved_at > MAX_PART_AGE_S:
                results.add(rows, series, shard)
                rows, series, saved_at = [], [], time.monotonic()
    finally:
        if rows:
            results.add(rows, series, shard)
