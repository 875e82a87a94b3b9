"""How fast the simulation in virtual time is, and how its memory grows.

    python -m benchmarks.lab [--large]     # 5 x 15 and 200 x 100 sidecars and servers; --large: 10,000 x
    1,000

Each size is played in a process of its own: events a second in all, and without the time inside the module;
virtual seconds a real second; memory at the end, less what the imports take.
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
LARGE = {"10,000 x 1,000": (10_000, 1_000, 2.0)}
# Work as on the first simulation, some 300 calls a second for 15 servers.
MARKET = {"share": 0.5, "work_ms": 60.0, "aim_ms": 500.0, "deadline_ms": 2000.0}
KEYED = {"group": "cell", "window_ms": 8000.0}


class Timed(Balancer):
    """The module, with the time inside it added up."""

    spent = 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        begun = time.perf_counter()
        actions = super().handle(now, event)
        Timed.spent += time.perf_counter() - begun
        return actions


def scenario(sidecars: int, servers: int, seconds: float) -> Scenario:
    return parse_scenario(
        {
            "name": "speed",
            "seconds": seconds,
            "settle_ms": 0.0,
            "servers": {"count": servers, "kinds": [{"workers": 2}]},
            "classes": [MARKET | {"name": "sale"}, MARKET | {"name": "listing", "effect": "keyed", **KEYED}],
            "sidecars": {"count": sidecars},
            "load": {"share": 0.6},
        },
        "speed",
    )


def one(sidecars: int, servers: int, seconds: float) -> dict[str, Any]:
    gc.set_threshold(200_000, 20, 50)
    base = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    begun = time.perf_counter()
    simulation = Simulation(scenario(sidecars, servers, seconds), 1, Timed)
    laid_out = time.perf_counter()
    row = simulation.run()
    spent = time.perf_counter() - laid_out
    return {
        "events": row.events,
        "events_a_second": round(row.events / spent),
        "without_the_module": round(row.events / (spent - Timed.spent)),
        "module_share": round(Timed.spent / spent, 3),
        "virtual_a_real_second": round(seconds / spent, 2),
        "laid_out_s": round(laid_out - begun, 2),
        "run_s": round(spent, 2),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0 - base),
    }


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--large", action="store_true")
    words.add_argument("--one", nargs=3, type=float, help=argparse.SUPPRESS)
    given = words.parse_args()
    if given.one:
        print(json.dumps(one(int(given.one[0]), int(given.one[1]), given.one[2])))
        return
    found = {}
    for name, size in (SIZES | (LARGE if given.large else {})).items():
        run = [sys.executable, "-m", "benchmarks.lab", "--one", *map(str, size)]
        done = subprocess.run(run, capture_output=True, text=True, cwd=Path(__file__).resolve().parent.parent)
        found[name] = (
            json.loads(done.stdout) if done.returncode == 0 else {"fault": done.stderr.strip()[-200:]}
        )
        print(f"{name}: {found[name]}", flush=True)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
