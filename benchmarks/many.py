"""Measures the evenness of load over hundreds of real processes.

    python -m benchmarks.many [--sidecars 300] [--report FOLDER] ...

Each play runs hundreds of the program's processes between stand-in servers (`python -m lab sockets`). The
same arrivals also run in virtual time with random choice and with the policy that sees all servers. The
troubles are those of the scenario's file. The last line of the output is JSON.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from lab import many, report, scenario
from lab.measures import Row
from lab.policies import find_policy
from lab.results import KEY, ResultFolder
from lab.scenario import Source
from lab.simulation import Simulation

ROOT = Path(__file__).resolve().parent.parent
REFERENCE_POLICIES = ("random", "oracle")
SHOWN_METRICS = (
    *("spread_500", "spread_1s", "spread_5s", "waste", "herd", "crest"),
    *("service", "refused", "failed", "lost", "p50_ms", "p99_ms", "connects"),
)


def run_virtual(source: Source, seed: int, name: str) -> Row:
    """Runs a play in virtual time with this policy."""
    return Simulation(source.scenario_for(seed), seed, *find_policy(name)).run()


def served(row: Row) -> float:
    """The share of tries that were served, and not refused, failed or lost."""
    return 1.0 - row.refused - row.failed - row.lost


def run_real(source: Source, seed: int) -> dict[str, Any]:
    """Runs a play with real processes; its row, and figures of the rig."""
    load_average, started_at = os.getloadavg()[0], time.monotonic()
    result, up_s = many.play(source, seed)
    return {
        "row": result.row,
        "up_s": round(up_s, 2),
        "memory_mb": result.memory_mb(),
        "late_ms": round(result.late_ms, 1),
        "took_s": round(time.monotonic() - started_at, 1),
        "machine_load": load_average,
        "broken": dict(result.checker.first_violations),
    }


def mean(rows: list[Row], name: str) -> float:
    """The mean of a metric."""
    return round(statistics.mean(float(getattr(row, name)) for row in rows), 4)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--scenario", type=Path, default=ROOT / "lab/scenarios/even.toml")
    parser.add_argument("--sidecars", type=int, default=300)
    parser.add_argument("--servers", type=int, nargs="+", default=[40])
    parser.add_argument("--loads", type=float, nargs="+", default=[0.3, 0.6, 0.9])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=14.0)
    parser.add_argument("--report", type=Path, help="folder for the rows, an HTML page and its charts")
    arguments = parser.parse_args()
    table, rows = [], []
    with ProcessPoolExecutor(max_workers=max((os.cpu_count() or 2) - 1, 1)) as pool:
        for servers in arguments.servers:
            for load in arguments.loads:
                changes = {
                    "sidecars.count": arguments.sidecars,
                    "servers.count": servers,
                    "load.share": load,
                    "seconds": arguments.seconds,
                }
                source = scenario.load(arguments.scenario).with_changes(changes)
                # One at a time.
                plays = [run_real(source, seed) for seed in range(1, arguments.seeds + 1)]
                virtual_rows = {
                    name: list(
                        pool.map(
                            run_virtual,
                            *zip(
                                *[(source, seed, name) for seed in range(1, arguments.seeds + 1)], strict=True
                            ),
                        )
                    )
                    for name in REFERENCE_POLICIES
                }
                real_rows = [play["row"] for play in plays]
                result: dict[str, Any] = {"servers": servers, "load": load, "sidecars": arguments.sidecars}
                result |= {name: mean(real_rows, name) for name in SHOWN_METRICS}
                result["served"] = round(statistics.mean(served(row) for row in real_rows), 5)
                result["unused"] = sum(row.unused for row in real_rows)
                result["broken"] = [play["broken"] for play in plays if play["broken"]]
                pairs = list(zip(real_rows, virtual_rows["random"], strict=True))
                for name in ("spread_500", "spread_1s", "spread_5s", "waste"):
                    parts = [getattr(row, name) / getattr(other, name) for row, other in pairs]
                    result[f"{name}_of_random"] = round(statistics.mean(parts), 3)
                for name, found in virtual_rows.items():
                    result[name] = {key: mean(found, key) for key in SHOWN_METRICS} | {
                        "served": round(statistics.mean(served(row) for row in found), 5)
                    }
                result["rig"] = [
                    {k: v for k, v in play.items() if k not in ("row", "broken")} for play in plays
                ]
                table.append(result)
                print({k: v for k, v in result.items() if k != "rig"}, flush=True)
                print(result["rig"], flush=True)
                levels = json.dumps(changes, sort_keys=True)
                for name, found in {"real processes": real_rows, **virtual_rows}.items():
                    for seed, row in enumerate(found, 1):
                        key = (arguments.scenario.stem, name, levels, seed, "here")
                        rows.append(dict(zip(KEY, key, strict=True)) | msgspec.structs.asdict(row))
                        rows[-1]["quantiles_ms"] = []
    if arguments.report:
        folder = ResultFolder(arguments.report)
        folder.add(rows, [])
        page = report.write(folder.compact(), arguments.report, "Hundreds of processes", metric="spread_5s")
        print(page)
    print(json.dumps(table))


if __name__ == "__main__":
    main()
