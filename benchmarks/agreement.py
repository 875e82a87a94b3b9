"""How far the simulation in virtual time and real sockets agree: five scenarios, some seeds, service of both.

    python -m benchmarks.agreement [--seeds 5] [--at-once 3] [--speaks http]

The same scenario, shortened and made smaller so that one machine holds it, is played by real sidecar
processes (`python -m lab sockets`) and by the emulator. Each play takes as long as it says.
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
SMALL = (
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
# The usual classes, with three times the work.
CLASSES = (
    'classes=[{"name":"sale","share":0.4,"work_ms":60,"aim_ms":400,"deadline_ms":1200,"worth":10,"late_worth":0.3},'
    '{"name":"listing","share":0.6,"work_ms":60,"aim_ms":750,"deadline_ms":4000,"worth":8,"late_worth":0.5,'
    '"effect":"keyed","group":"cell","window_ms":8000}]'
)


def play(name: str, seed: int, speaks: str) -> dict[str, Any]:
    words = [sys.executable, "-m", "lab", "sockets", f"lab/scenarios/{name}.toml", "--seed", str(seed)]
    words += ["--speaks", speaks, "--set", CLASSES]
    for setting in (*SMALL, *SCENARIOS[name]):
        words += ["--set", setting]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True)
    if not done.stdout.startswith("{"):
        return {"scenario": name, "seed": seed, "fault": done.stderr.strip().splitlines()[-1]}
    both = json.loads(done.stdout)
    return {
        "scenario": name,
        "seed": seed,
        "sockets": both["sockets"]["service"],
        "emulated": both["emulated"]["service"],
        "p99_ms": [both["sockets"]["p99_ms"], both["emulated"]["p99_ms"]],
        "most_late_ms": both["most_late_ms"],
        "broken": {k: v for k, v in both["sockets"].items() if k.startswith("broke_") and v},
    }


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seeds", type=int, default=5)
    words.add_argument("--at-once", type=int, default=3)
    words.add_argument("--speaks", choices=("http", "rpc"), default="http")
    words.add_argument("--only", action="append", choices=tuple(SCENARIOS))
    given = words.parse_args()
    jobs = [(name, seed) for name in given.only or SCENARIOS for seed in range(1, given.seeds + 1)]
    with ThreadPoolExecutor(given.at_once) as threads:
        rows = list(threads.map(lambda job: play(job[0], job[1], given.speaks), jobs))
    table = {}
    for name in dict.fromkeys(name for name, _ in jobs):
        own = [row for row in rows if row["scenario"] == name and "fault" not in row]
        apart = [row["sockets"] - row["emulated"] for row in own]
        table[name] = {
            "sockets": round(statistics.mean(row["sockets"] for row in own), 4) if own else None,
            "emulated": round(statistics.mean(row["emulated"] for row in own), 4) if own else None,
            "most_apart": round(max(map(abs, apart)), 4) if own else None,
            "plays": len(own),
            "most_late_ms": max((row["most_late_ms"] for row in own), default=None),
            "broken": [row["broken"] for row in own if row["broken"]],
            "faults": [row["fault"] for row in rows if row["scenario"] == name and "fault" in row],
        }
        print(f"{name}: {table[name]}", flush=True)
    print(json.dumps({"plays": rows, "table": table}))


if __name__ == "__main__":
    main()
