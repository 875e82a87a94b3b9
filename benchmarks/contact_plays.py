"""Runs random partitions of controllers in virtual time, with random zones.

    python -m benchmarks.contact_plays [--plays 20] [--from 0] [--at-once 1] [--seconds 3600] [--out FILE]

Prints the violations and, last, the totals as JSON. Exits with 1 if a rule was broken.
"""

from __future__ import annotations

import sys
from collections import Counter

from benchmarks.drawn_plays import RunResult, measure_run, parse_arguments, run_seeds
from simulation.mesh.cuts import run_drawn
from simulation.mesh.zones import draw_zones

SERIES = 64  # part of the random seed of every run, with the number of the run


def _run_seed(seed: int) -> tuple[list[str], Counter[str]]:
    zones = draw_zones(f"{SERIES}/{seed}")
    name, violations, world = run_drawn(SERIES, seed, zones)
    counts = Counter(
        {f"answered {status} while cut off": count for status, count in world.answers_by_status.items()}
    )
    counts[f"cut {name}"] += 1
    counts[f"zones {zones.count}, of which lost {zones.tolerance.zones}"] += 1
    return violations, counts


def run_timed(seed: int) -> RunResult:
    """Runs one seed, in a process of the pool."""
    return measure_run(seed, _run_seed)


if __name__ == "__main__":
    sys.exit(run_seeds("contact", run_timed, parse_arguments(str(__doc__))))
