"""Measures the speed of the simulation in virtual time, and how its memory grows.

    python -m benchmarks.lab [--large]

Sizes are 5 x 15 and 200 x 100 sidecars and servers; --large adds 10,000 x 1,000. Each size runs in a process
of its own. Reported are events per second, in total and without the time inside the balancer; virtual seconds
per real second; and memory at the end, without that of the imports.
"""

from __future__ import annotations

import argparse
import gc
import json
import resource
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from hareloom import Balancer
from hareloom import interface as api
from lab.scenario import parse_scenario
from lab.scenario_tables import Scenario
from lab.simulation import Simulation

SIZES = {"5 x 15": (5, 15, 120.0), "200 x 100": (200, 100, 30.0)}
LARGE_SIZE = {"10,000 x 1,000": (10_000, 1_000, 2.0)}
# About 300 calls per second for 15 servers.
CLASS = {"share": 0.5, "work_ms": 60.0, "aim_ms": 500.0, "deadline_ms": 2000.0}
KEYED_CLASS = {"group": "cell", "window_ms": 8000.0}


class TimedBalancer(Balancer):
    """The balancer, with the time spent inside it added up."""

    total_s = 0.0  # of all instances

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        started_at = time.perf_counter()
        actions = super().handle(now, event)
        TimedBalancer.total_s += time.perf_counter() - started_at
        return actions


def scenario(sidecars: int, servers: int, seconds: float) -> Scenario:
    """A scenario without troubles, of this size."""
    return parse_scenario(
        {
            "name": "speed",
            "seconds": seconds,
            "settle_ms": 0.0,
            "servers": {"count": servers, "kinds": [{"workers": 2}]},
            "classes": [
                CLASS | {"name": "sale"},
                CLASS | {"name": "listing", "effect": "keyed", **KEYED_CLASS},
            ],
            "sidecars": {"count": sidecars},
            "load": {"share": 0.6},
        },
        "speed",
    )


def measure(sidecars: int, servers: int, seconds: float) -> dict[str, Any]:
    """Runs a simulation of this size and returns its figures."""
    gc.set_threshold(200_000, 20, 50)
    base_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    started_at = time.perf_counter()
    simulation = Simulation(scenario(sidecars, servers, seconds), 1, TimedBalancer)
    built_at = time.perf_counter()
    row = simulation.run()
    elapsed_s = time.perf_counter() - built_at
    return {
        "events": row.events,
        "events_a_second": round(row.events / elapsed_s),
        "without_the_module": round(row.events / (elapsed_s - TimedBalancer.total_s)),
        "module_share": round(TimedBalancer.total_s / elapsed_s, 3),
        "virtual_a_real_second": round(seconds / elapsed_s, 2),
        "laid_out_s": round(built_at - started_at, 2),
        "run_s": round(elapsed_s, 2),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0 - base_mb),
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--one", nargs=3, type=float, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.one:
        print(json.dumps(measure(int(arguments.one[0]), int(arguments.one[1]), arguments.one[2])))
        return
    results = {}
    for name, size in (SIZES | (LARGE_SIZE if arguments.large else {})).items():
        command = [sys.executable, "-m", "benchmarks.lab", "--one", *map(str, size)]
        completed = subprocess.run(
            command, capture_output=True, text=True, cwd=Path(__file__).resolve().parent.parent
        )
        results[name] = (
            json.loads(completed.stdout)
            if completed.returncode == 0
            else {"fault": completed.stderr.strip()[-200:]}
        )
        print(f"{name}: {results[name]}", flush=True)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
