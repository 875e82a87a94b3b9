"""How fast the checker explores the machines, and what a state costs it, with and without its reductions.

    python -m benchmarks.state_search [--model NAME ...]

Each search runs in a process of its own, whose growth in resident memory is divided by
the states; beside it stands what the tables count against the memory bound.
"""

from __future__ import annotations

import argparse
import json
import resource
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from anisestair.states.scenarios import BY_NAME
from anisestair.states.world import World
from statecheck import explore

MODELS = ("sale-two-servers", "listing-cells", "pair-small")


def search(name: str, symmetry: bool, partial_order: bool) -> dict[str, object]:
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    report = explore(World(BY_NAME[name]), symmetry=symmetry, partial_order=partial_order)
    grown = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) * 1024
    return {
        "model": name,
        "symmetry": symmetry,
        "partial_order": partial_order,
        "complete": report.complete,
        "states": report.states,
        "transitions": report.transitions,
        "seconds": round(report.seconds, 2),
        "states_per_s": round(report.states / report.seconds),
        "transitions_per_s": round(report.transitions / report.seconds),
        "bytes_per_state_resident": round(grown / report.states),
        "bytes_per_state_tables": round(report.bytes_per_state),
    }


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--model", action="append", help=f"instead of {', '.join(MODELS)}")
    rows = []
    for name in words.parse_args().model or MODELS:
        for symmetry in (True, False):
            for partial_order in (True, False):
                with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as alone:
                    rows.append(alone.submit(search, name, symmetry, partial_order).result())
                print(rows[-1], flush=True)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
