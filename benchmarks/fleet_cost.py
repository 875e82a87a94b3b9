"""What a fleet costs by the number of its sidecars, at one and the same traffic: python -m
benchmarks.fleet_cost

Real processes (`--real 10 30 100 300`) and virtual time (`--virtual 30 ... 10000`), 100 servers, 240 calls
a second in all: open connections a server, connects a call, calls to discovery, CPU and memory of all
sidecars, and the exponent of each in the number of sidecars (the slope of its logarithm). The last line is
JSON.
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
CALLS = 240.0


def source(sidecars: int, seconds: float) -> Source:
    made = scenario.load(ROOT / "lab/scenarios/even.toml")
    changes = {"sidecars.count": sidecars, "servers.count": 100, "seconds": seconds, "load.share": 1.0}
    rate = made.with_changes(changes).scenario_for(1).rate()
    return made.with_changes(changes | {"load.share": CALLS / rate})


def real(sidecars: int, seconds: float) -> dict[str, Any]:
    found, up_s = many.play(source(sidecars, seconds), 1)
    held = [own for _, _, own in found.memory_kb]
    return {
        "sidecars": sidecars,
        "connections": sum(found.connections) / len(found.connections),
        "most": max(found.connections),
        "connects": found.row.connects,
        "list_calls_s": found.list_calls / seconds,
        "cpu_cores": found.cpu_s / seconds,
        "memory_mb": sum(held) / 1024.0,
        "up_s": up_s,
        "served": 1.0 - found.row.refused - found.row.failed - found.row.lost,
    }


def virtual(sidecars: int, seconds: float) -> dict[str, Any]:
    begin = time.monotonic()
    simulation = Simulation(source(sidecars, seconds).scenario_for(1), 1)
    row = simulation.run()
    counts = [server.connections for server in simulation.servers]
    return {
        "sidecars": sidecars,
        "connections": sum(counts) / len(counts),
        "most": max(counts),
        "connects": row.connects,
        "served": 1.0 - row.refused - row.failed - row.lost,
        "took_s": time.monotonic() - begin,
    }


def exponents(rows: list[dict[str, Any]]) -> dict[str, float]:
    """The slope of each figure's logarithm over that of the sidecars."""
    x = np.log([row["sidecars"] for row in rows])
    names = [name for name in rows[0] if name not in ("sidecars", "served", "up_s", "took_s")]
    return {
        name: round(float(np.polyfit(x, np.log([row[name] for row in rows]), 1)[0]), 3)
        for name in names
        if all(row[name] > 0 for row in rows)  # of what was not there at all nothing can be said
    }


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--real", type=int, nargs="*", default=[10, 30, 100, 300])
    words.add_argument("--virtual", type=int, nargs="*", default=[30, 100, 300, 1000, 3000, 10_000])
    words.add_argument("--seconds", type=float, default=14.0)
    given = words.parse_args()
    found: dict[str, Any] = {}
    for name, sizes, play in (("real", given.real, real), ("virtual", given.virtual, virtual)):
        rows = [play(size, given.seconds) for size in sizes]
        for row in rows:
            print(name, {key: round(value, 4) for key, value in row.items()}, flush=True)
        found[name] = {"rows": rows, "exponents": exponents(rows) if len(rows) > 1 else {}}
        print(name, found[name]["exponents"], flush=True)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
