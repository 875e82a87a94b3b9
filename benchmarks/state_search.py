"""Speed and memory use of the state checker on the lifecycle models, with and without its reductions.

    python -m benchmarks.state_search [--model NAME ...]

Each search runs in its own process. Its growth in resident memory is divided by the number of states, and
reported with the estimate that counts against the memory limit.
"""

from __future__ import annotations

import argparse
import json
import resource
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from anisestair.states.scenarios import BY_NAME
from anisestair.states.world import LifecycleModel
from statecheck import explore

MODELS = ("sale-two-servers", "listing-cells", "pair-small")


def measure(name: str, symmetry: bool, partial_order: bool) -> dict[str, object]:
    rss_before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    report = explore(LifecycleModel(BY_NAME[name]), symmetry=symmetry, partial_order=partial_order)
    growth_bytes = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - rss_before_kib) * 1024
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
        "bytes_per_state_resident": round(growth_bytes / report.states),
        "bytes_per_state_tables": round(report.bytes_per_state),
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--model", action="append", help=f"measure this one instead of {', '.join(MODELS)}")
    rows = []
    for name in parser.parse_args().model or MODELS:
        for symmetry in (True, False):
            for partial_order in (True, False):
                with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
                    rows.append(pool.submit(measure, name, symmetry, partial_order).result())
                print(rows[-1], flush=True)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
