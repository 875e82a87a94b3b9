"""Drawn plays of control machines that are cut off, in virtual time, their zones drawn too.

    python -m benchmarks.contact_plays [--plays 20] [--from 0] [--at-once 1] [--seconds 3600] [--out FILE]

Prints what was broken, and the total as JSON last. Ends with 1 where a rule was broken.
"""

from __future__ import annotations

import sys
from collections import Counter

from benchmarks.drawn_plays import RunResult, measure_run, parse_arguments, run_seeds
from simulation.mesh.cuts import run_drawn
from simulation.mesh.zones import draw_zones

SERIES = 64  # a play's draw is of this and its seed


def _play(seed: int) -> tuple[list[str], Counter[str]]:
    zones = draw_zones(f"{SERIES}/{seed}")
    name, broken, world = run_drawn(SERIES, seed, zones)
    counts = Counter(
        {f"answered {status} while cut off": count for status, count in world.answers_by_status.items()}
    )
    counts[f"cut {name}"] += 1
    counts[f"zones {zones.count}, of which lost {zones.tolerance.zones}"] += 1
    return broken, counts


def one(seed: int) -> RunResult:
    """Runs in a process of the pool."""
    return measure_run(seed, _play)


if __name__ == "__main__":
    sys.exit(run_seeds("contact", one, parse_arguments(str(__doc__))))
