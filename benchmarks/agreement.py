"""Compares the service of real processes on sockets with that of the simulation in virtual time.

    python -m benchmarks.agreement [--seeds 5] [--at-once 3] [--speaks http]

Runs each of five scenarios, shortened and scaled down to fit on one machine, with several seeds, both with
real sidecar processes (`python -m lab sockets`) and in the simulator. A run takes as long as its scenario
states. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SMALL_SETTINGS = (
    *("seconds=14", "settle_ms=2000", "servers.count=6", "servers.warm_up_ms=2500", "sidecars.count=3"),
    'servers.kinds=[{"workers":2}]',
)
SCENARIOS: dict[str, tuple[str, ...]] = {
    "calm": (),
    "outage": ("troubles.0.at_ms=4000", "troubles.0.for_ms=2000"),
    "flapping": ("troubles.0.at_ms=4000", "troubles.0.times=3", "troubles.0.for_ms=900"),
    "rush": (),
    "loud": ("troubles.0.at_ms=4000", "troubles.0.for_ms=4000"),
}
# The default request classes with three times the work per call.
CLASSES_SETTING = (
    'classes=[{"name":"sale","share":0.4,"work_ms":60,"aim_ms":400,"deadline_ms":1200,"worth":10,"late_worth":0.3},'
    '{"name":"listing","share":0.6,"work_ms":60,"aim_ms":750,"deadline_ms":4000,"worth":8,"late_worth":0.5,'
    '"effect":"keyed","group":"cell","window_ms":8000}]'
)


def run_scenario(name: str, seed: int, speaks: str) -> dict[str, Any]:
    command = [sys.executable, "-m", "lab", "sockets", f"lab/scenarios/{name}.toml", "--seed", str(seed)]
    command += ["--speaks", speaks, "--set", CLASSES_SETTING]
    for setting in (*SMALL_SETTINGS, *SCENARIOS[name]):
        command += ["--set", setting]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if not completed.stdout.startswith("{"):
        return {"scenario": name, "seed": seed, "fault": completed.stderr.strip().splitlines()[-1]}
    result = json.loads(completed.stdout)
    return {
        "scenario": name,
        "seed": seed,
        "sockets": result["sockets"]["service"],
        "emulated": result["emulated"]["service"],
        "p99_ms": [result["sockets"]["p99_ms"], result["emulated"]["p99_ms"]],
        "most_late_ms": result["most_late_ms"],
        "broken": {k: v for k, v in result["sockets"].items() if k.startswith("broke_") and v},
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--speaks", choices=("http", "rpc"), default="http")
    parser.add_argument("--only", action="append", choices=tuple(SCENARIOS))
    args = parser.parse_args()
    jobs = [(name, seed) for name in args.only or SCENARIOS for seed in range(1, args.seeds + 1)]
    with ThreadPoolExecutor(args.at_once) as threads:
        rows = list(threads.map(lambda job: run_scenario(job[0], job[1], args.speaks), jobs))
    table = {}
    for name in dict.fromkeys(name for name, _ in jobs):
        completed = [row for row in rows if row["scenario"] == name and "fault" not in row]
        differences = [row["sockets"] - row["emulated"] for row in completed]
        table[name] = {
            "sockets": round(statistics.mean(row["sockets"] for row in completed), 4) if completed else None,
            "emulated": round(statistics.mean(row["emulated"] for row in completed), 4)
            if completed
            else None,
            "most_apart": round(max(map(abs, differences)), 4) if completed else None,
            "plays": len(completed),
            "most_late_ms": max((row["most_late_ms"] for row in completed), default=None),
            "broken": [row["broken"] for row in completed if row["broken"]],
            "faults": [row["fault"] for row in rows if row["scenario"] == name and "fault" in row],
        }
        print(f"{name}: {table[name]}", flush=True)
    print(json.dumps({"plays": rows, "table": table}))


if __name__ == "__main__":
    main()
