"""Drawn plays of members: machines that come, are told to end, go for good, come back, are cut off and lose
their disks, in the virtual world, at no time more of them than is borne. Each seed is one play.

    python -m benchmarks.member_plays [--plays N] [--from SEED] [--jobs N]

A line for each play that is broken, with its seed; the last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import time
from multiprocessing import Pool

from simulation.mesh.members import draw_play, run_play


def play(seed: int) -> tuple[int, int, list[str], float]:
    """Seed, size of the core, what was broken, seconds of the processor."""
    cores, script = draw_play(seed)
    began = time.process_time()
    try:
        told = run_play(cores, script)
    except Exception as fault:  # a play that ends by itself is a find as well
        told = [f"raised {fault!r}"]
    return seed, cores, told, time.process_time() - began


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=100)
    parser.add_argument("--from", type=int, default=0, dest="first")
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args()
    began, spent, sizes, broken = time.monotonic(), 0.0, dict[str, int](), list[int]()
    with Pool(args.jobs) as pool:
        for seed, cores, told, took in pool.imap_unordered(play, range(args.first, args.first + args.plays)):
            spent += took
            sizes[str(cores)] = sizes.get(str(cores), 0) + 1
            if told:
                broken.append(seed)
                print(f"seed {seed}, core of {cores}: {'; '.join(told[:3])}", flush=True)
    print(
        json.dumps(
            {
                "plays": args.plays,
                "from": args.first,
                "by_core": dict(sorted(sizes.items())),
                "broken": sorted(broken),
                "processor_s": round(spent, 1),
                "took_s": round(time.monotonic() - began, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
