"""Drawn plays of rivalling operators and troubles, in virtual time; or the model of orders, explored whole.

    python -m benchmarks.order_plays [--plays 20] [--from 0] [--at-once 1]
    python -m benchmarks.order_plays --model ["two items" ...]

Prints what was broken, counts of what there was, and the same as JSON last. Ends with 1 where a rule was
broken.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from rigs.order_model import SIZES, Orders
from simulation.mesh.plays import play
from statecheck import explore


def _one(seed: int) -> tuple[int, list[str], Counter[str]]:
    return (seed, *play(seed))


def plays(first: int, count: int, at_once: int) -> int:
    total: Counter[str] = Counter()
    broken: dict[int, list[str]] = {}
    began = time.perf_counter()
    with ProcessPoolExecutor(at_once, max_tasks_per_child=50) as pool:
        for seed, told, counts in pool.map(_one, range(first, first + count)):
            total.update(counts)
            if told:
                broken[seed] = told
                print(f"play {seed}: {told[0]}", flush=True)
    seconds = round(time.perf_counter() - began, 1)
    for name, number in sorted(total.items()):
        print(f"{number:8} {name}")
    print(f"{len(broken)} of {count} plays broke a rule, in {seconds} s")
    print(json.dumps({"first": first, "plays": count, "broken": broken, "seconds": seconds, **total}))
    return 1 if broken else 0


def models(names: list[str], seconds: float) -> int:
    told = []
    for name in names or list(SIZES):
        report = explore(Orders(name, SIZES[name]), seconds=seconds)
        found = str(report.violation) if report.violation else ""
        whole = "whole" if report.complete else report.stopped or "broken"
        size = f"{report.states} states, {report.transitions} steps, {report.seconds:.1f} s"
        print(f"{name}: {size}, {whole} {found}", flush=True)
        told.append({"name": name, "states": report.states, "complete": report.complete, "violation": found})
    print(json.dumps({"model": told}))
    return 1 if any(one["violation"] for one in told) else 0


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--plays", type=int, default=20)
    words.add_argument("--from", type=int, default=0, dest="first")
    words.add_argument("--at-once", type=int, default=1)
    words.add_argument("--seconds", type=float, default=600.0, help="bound of each size of the model")
    words.add_argument("--model", nargs="*", metavar="SIZE")
    given = words.parse_args()
    if given.model is not None:
        sys.exit(models(given.model, given.seconds))
    sys.exit(plays(given.first, given.plays, given.at_once))


if __name__ == "__main__":
    main()
