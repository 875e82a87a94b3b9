"""Many drawn plays of one kind, in several processes: what the programs of the kinds share.

A result file holds the seeds and the counts, so that a later run can go on behind them.
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

PLAYS_A_PROCESS = 200  # then a new one begins: what a world leaves in memory is freed
CHUNK = 4  # plays that a process is given at once


@dataclass(frozen=True)
class RunResult:
    """One play: its seed, what it broke, a line each, how often there was what, and its processor time."""

    seed: int
    broken: list[str]
    counts: Counter[str]
    cpu_s: float


@dataclass
class Total:
    """``first``: the first seed; those that follow it were played, as many as ``plays``."""

    kind: str
    first: int
    plays: int = 0
    seconds: float = 0.0
    cpu_s_a_play: float = 0.0
    broken: dict[int, list[str]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, one: RunResult) -> None:
        """Counts one more play."""
        self.cpu_s_a_play += (one.cpu_s - self.cpu_s_a_play) / (self.plays + 1)
        self.plays += 1
        self.counts.update(one.counts)
        if one.broken:
            self.broken[one.seed] = one.broken


def measure_run(seed: int, play: Callable[[int], tuple[list[str], Counter[str]]]) -> RunResult:
    """A play with its processor time."""
    began = time.process_time()
    broken, counts = play(seed)
    return RunResult(seed, broken, counts, time.process_time() - began)


def parse_arguments(description: str) -> argparse.Namespace:
    """What all kinds of plays are asked for by."""
    words = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    words.add_argument("--plays", type=int, default=20, help="at the most")
    words.add_argument("--from", type=int, default=0, dest="first", help="the first seed")
    words.add_argument("--at-once", type=int, default=1, help="processes")
    words.add_argument("--seconds", type=float, default=3600.0, help="after which no further play begins")
    words.add_argument("--out", type=Path, help="a file for the result, as JSON")
    return words.parse_args()


def run_seeds(kind: str, one: Callable[[int], RunResult], given: argparse.Namespace) -> int:
    """Prints what was broken, and the total as JSON last. 1 where a play broke a rule."""
    total, began = Total(kind, given.first), time.perf_counter()
    seeds = range(given.first, given.first + given.plays)
    step = CHUNK * given.at_once
    with ProcessPoolExecutor(given.at_once, max_tasks_per_child=PLAYS_A_PROCESS // CHUNK) as pool:
        for start in range(0, len(seeds), step):
            if time.perf_counter() - began > given.seconds:
                break
            for played in pool.map(one, seeds[start : start + step], chunksize=CHUNK):
                total.add(played)
                if played.broken:
                    print(f"play {played.seed}: {played.broken[0]}", flush=True)
    total.seconds = round(time.perf_counter() - began, 1)
    total.cpu_s_a_play = round(total.cpu_s_a_play, 3)
    told = json.dumps(vars(total), sort_keys=True)
    if given.out is not None:
        given.out.write_text(told + "\n", encoding="utf-8")
    print(f"{len(total.broken)} of {total.plays} plays broke a rule, in {total.seconds} s")
    print(told)
    return 1 if total.broken else 0
