"""Measures the cost of a fleet by the number of its sidecars, at constant total traffic.

    python -m benchmarks.fleet_cost [--real 10 30 100 300] [--virtual 30 ... 10000]

Runs real processes and simulations in virtual time, with 100 servers and 240 calls per second in total.
Prints the open connections per server, connects per call, calls to discovery, CPU and memory of all sidecars,
and the scaling exponent of each figure in the number of sidecars. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path
from typing import Any

import numpy as np

from lab import many, scenario
from lab.scenario import Source
from lab.simulation import Simulation

ROOT = Path(__file__).resolve().parent.parent
CALLS_PER_S = 240.0


def scenario_source(sidecars: int, seconds: float) -> Source:
    base = scenario.load(ROOT / "lab/scenarios/even.toml")
    changes = {"sidecars.count": sidecars, "servers.count": 100, "seconds": seconds, "load.share": 1.0}
    rate = base.with_changes(changes).scenario_for(1).capacity_per_s()
    return base.with_changes(changes | {"load.share": CALLS_PER_S / rate})


def run_real(sidecars: int, seconds: float) -> dict[str, Any]:
    result, startup_s = many.play(scenario_source(sidecars, seconds), 1)
    memory_kb = [process_kb for _, _, process_kb in result.memory_kb]
    return {
        "sidecars": sidecars,
        "connections": sum(result.connections) / len(result.connections),
        "most": max(result.connections),
        "connects": result.row.connects,
        "list_calls_s": result.list_calls / seconds,
        "cpu_cores": result.cpu_s / seconds,
        "memory_mb": sum(memory_kb) / 1024.0,
        "up_s": startup_s,
        "served": 1.0 - result.row.refused - result.row.failed - result.row.lost,
    }


def run_simulated(sidecars: int, seconds: float) -> dict[str, Any]:
    started = time.monotonic()
    simulation = Simulation(scenario_source(sidecars, seconds).scenario_for(1), 1)
    row = simulation.run()
    counts = [server.connections for server in simulation.servers]
    return {
        "sidecars": sidecars,
        "connections": sum(counts) / len(counts),
        "most": max(counts),
        "connects": row.connects,
        "served": 1.0 - row.refused - row.failed - row.lost,
        "took_s": time.monotonic() - started,
    }


def exponents(rows: list[dict[str, Any]]) -> dict[str, float]:
    """Returns the slope of each figure over the number of sidecars, both on a logarithmic scale."""
    x = np.log([row["sidecars"] for row in rows])
    names = [name for name in rows[0] if name not in ("sidecars", "served", "up_s", "took_s")]
    return {
        name: round(float(np.polyfit(x, np.log([row[name] for row in rows]), 1)[0]), 3)
        for name in names
        if all(row[name] > 0 for row in rows)  # zero has no logarithm
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--real", type=int, nargs="*", default=[10, 30, 100, 300])
    parser.add_argument("--virtual", type=int, nargs="*", default=[30, 100, 300, 1000, 3000, 10_000])
    parser.add_argument("--seconds", type=float, default=14.0)
    args = parser.parse_args()
    results: dict[str, Any] = {}
    for name, sizes, run in (("real", args.real, run_real), ("virtual", args.virtual, run_simulated)):
        rows = [run(size, args.seconds) for size in sizes]
        for row in rows:
            print(name, {key: round(value, 4) for key, value in row.items()}, flush=True)
        results[name] = {"rows": rows, "exponents": exponents(rows) if len(rows) > 1 else {}}
        print(name, results[name]["exponents"], flush=True)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
