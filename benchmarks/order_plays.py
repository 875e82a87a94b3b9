"""Randomly drawn plays of conflicting operators and faults, in virtual time and with random zones.

    python -m benchmarks.order_plays [--plays 20] [--from 0] [--at-once 1] [--seconds 3600] [--out FILE]

Prints each violation, and the totals as JSON last. The exit code is 1 if a rule was violated.
"""

from __future__ import annotations

import sys
from collections import Counter

from benchmarks.drawn_plays import RunResult, measure_run, parse_arguments, run_seeds
from simulation.mesh.plays import run_play
from simulation.mesh.zones import draw_zones


def _play(seed: int) -> tuple[list[str], Counter[str]]:
    zones = draw_zones(str(seed))
    broken, counts = run_play(seed, zones)
    counts[f"zones {zones.count}, of which lost {zones.tolerance.zones}"] += 1
    return broken, counts


def run_timed(seed: int) -> RunResult:
    """Plays one seed, in a process of the pool."""
    return measure_run(seed, _play)


if __name__ == "__main__":
    sys.exit(run_seeds("orders", run_timed, parse_arguments(str(__doc__))))
