"""Runs random membership scenarios in the simulated world, one per seed. Machines join, are told to leave,
are removed for good, return, are partitioned and lose their disks, never more of them at once than the mesh
tolerates.

    python -m benchmarks.member_plays [--plays N] [--from SEED] [--jobs N]

Prints a line with the seed for each scenario that breaks a rule; the last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import time
from multiprocessing import Pool

from simulation.mesh.members import draw_play, run_play


def run_scenario(seed: int) -> tuple[int, int, list[str], float]:
    """Runs one scenario; returns its seed, the number of cores, the violations and the CPU seconds."""
    cores, script = draw_play(seed)
    started = time.process_time()
    try:
        violations = run_play(cores, script)
    except Exception as fault:  # a scenario that raises is a violation as well
        violations = [f"raised {fault!r}"]
    return seed, cores, violations, time.process_time() - started


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=100)
    parser.add_argument("--from", type=int, default=0, dest="first")
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args()
    started, total_cpu_s, count_by_core, broken = time.monotonic(), 0.0, dict[str, int](), list[int]()
    with Pool(args.jobs) as pool:
        for seed, cores, violations, cpu_s in pool.imap_unordered(
            run_scenario, range(args.first, args.first + args.plays)
        ):
            total_cpu_s += cpu_s
            count_by_core[str(cores)] = count_by_core.get(str(cores), 0) + 1
            if violations:
                broken.append(seed)
                print(f"seed {seed}, core of {cores}: {'; '.join(violations[:3])}", flush=True)
    print(
        json.dumps(
            {
                "plays": args.plays,
                "from": args.first,
                "by_core": dict(sorted(count_by_core.items())),
                "broken": sorted(broken),
                "processor_s": round(total_cpu_s, 1),
                "took_s": round(time.monotonic() - started, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
