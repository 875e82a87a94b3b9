"""Runs random simulations of one kind with consecutive seeds in several processes. Shared by the programs
`*_plays.py`.

The result file holds the first seed and the number of runs, so that a later call can continue with the next.
"""

from __future__ import annotations

import argparse
import json
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

RUNS_PER_PROCESS = 200  # a new process then frees the memory that simulated worlds leave behind
CHUNK_SIZE = 4  # seeds that a process receives at once


@dataclass(frozen=True)
class RunResult:
    """One run: its seed, a line for each violation, the counts of what occurred, and its CPU time."""

    seed: int
    broken: list[str]
    counts: Counter[str]
    cpu_s: float


@dataclass
class Total:
    """Totals of ``plays`` runs with consecutive seeds, beginning with ``first``."""

    kind: str
    first: int
    plays: int = 0
    seconds: float = 0.0
    cpu_s_a_play: float = 0.0
    broken: dict[int, list[str]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, result: RunResult) -> None:
        """Adds one run to the totals."""
        self.cpu_s_a_play += (result.cpu_s - self.cpu_s_a_play) / (self.plays + 1)
        self.plays += 1
        self.counts.update(result.counts)
        if result.broken:
            self.broken[result.seed] = result.broken


def measure_run(seed: int, run_seed: Callable[[int], tuple[list[str], Counter[str]]]) -> RunResult:
    """Runs a seed and measures its CPU time."""
    started = time.process_time()
    broken, counts = run_seed(seed)
    return RunResult(seed, broken, counts, time.process_time() - started)


def parse_arguments(description: str) -> argparse.Namespace:
    """Parses the command line, which is the same for all kinds of runs."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--plays", type=int, default=20, help="maximum number of runs")
    parser.add_argument("--from", type=int, default=0, dest="first", help="first seed")
    parser.add_argument("--at-once", type=int, default=1, help="number of processes")
    parser.add_argument(
        "--seconds", type=float, default=3600.0, help="time after which no further runs start"
    )
    parser.add_argument("--out", type=Path, help="file for the totals, as JSON")
    return parser.parse_args()


def run_seeds(kind: str, run_seed: Callable[[int], RunResult], args: argparse.Namespace) -> int:
    """Prints the violations and, last, the totals as JSON. Returns 1 if a rule was broken, otherwise 0."""
    total, started = Total(kind, args.first), time.perf_counter()
    seeds = range(args.first, args.first + args.plays)
    batch_size = CHUNK_SIZE * args.at_once
    with ProcessPoolExecutor(args.at_once, max_tasks_per_child=RUNS_PER_PROCESS // CHUNK_SIZE) as pool:
        for start in range(0, len(seeds), batch_size):
            if time.perf_counter() - started > args.seconds:
                break
            for result in pool.map(run_seed, seeds[start : start + batch_size], chunksize=CHUNK_SIZE):
                total.add(result)
                if result.broken:
                    print(f"play {result.seed}: {result.broken[0]}", flush=True)
    total.seconds = round(time.perf_counter() - started, 1)
    total.cpu_s_a_play = round(total.cpu_s_a_play, 3)
    totals_json = json.dumps(vars(total), sort_keys=True)
    if args.out is not None:
        args.out.write_text(totals_json + "\n", encoding="utf-8")
    print(f"{len(total.broken)} of {total.plays} plays broke a rule, in {total.seconds} s")
    print(totals_json)
    return 1 if total.broken else 0
