"""Evenness over hundreds of real processes: python -m benchmarks.many [--sidecars 300] [--report FOLDER] ...

Each play is one of the program's processes by the hundred between stand-in servers (`python -m lab
sockets`), and beside it, on the same arrivals in virtual time, random choice and the policy that sees all.
The troubles are those of the scenario's file. The last line is JSON.
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
POLICIES = ("random", "oracle")
SHOWN = (
    *("spread_500", "spread_1s", "spread_5s", "waste", "herd", "crest"),
    *("service", "refused", "failed", "lost", "p50_ms", "p99_ms", "connects"),
)


def virtual(source: Source, seed: int, name: str) -> Row:
    return Simulation(source.scenario_for(seed), seed, *find_policy(name)).run()


def served(row: Row) -> float:
    """Of the tries, those that were: what was refused, failed or lost was not."""
    return 1.0 - row.refused - row.failed - row.lost


def real(source: Source, seed: int) -> dict[str, Any]:
    load, begin = os.getloadavg()[0], time.monotonic()
    found, up_s = many.play(source, seed)
    return {
        "row": found.row,
        "up_s": round(up_s, 2),
        "memory_mb": found.memory_mb(),
        "late_ms": round(found.late_ms, 1),
        "took_s": round(time.monotonic() - begin, 1),
        "machine_load": load,
        "broken": dict(found.checker.first_violations),
    }


def mean(rows: list[Row], name: str) -> float:
    return round(statistics.mean(float(getattr(row, name)) for row in rows), 4)


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--scenario", type=Path, default=ROOT / "lab/scenarios/even.toml")
    words.add_argument("--sidecars", type=int, default=300)
    words.add_argument("--servers", type=int, nargs="+", default=[40])
    words.add_argument("--loads", type=float, nargs="+", default=[0.3, 0.6, 0.9])
    words.add_argument("--seeds", type=int, default=3)
    words.add_argument("--seconds", type=float, default=14.0)
    words.add_argument("--report", type=Path, help="a folder for the rows, a page and its charts")
    given = words.parse_args()
    table, rows = [], []
    with ProcessPoolExecutor(max_workers=max((os.cpu_count() or 2) - 1, 1)) as pool:
        for servers in given.servers:
            for load in given.loads:
                changes = {
                    "sidecars.count": given.sidecars,
                    "servers.count": servers,
                    "load.share": load,
                    "seconds": given.seconds,
                }
                source = scenario.load(given.scenario).with_changes(changes)
                plays = [real(source, seed) for seed in range(1, given.seeds + 1)]  # one at a time
                beside = {
                    name: list(
                        pool.map(
                            virtual,
                            *zip(*[(source, seed, name) for seed in range(1, given.seeds + 1)], strict=True),
                        )
                    )
                    for name in POLICIES
                }
                own = [play["row"] for play in plays]
                line: dict[str, Any] = {"servers": servers, "load": load, "sidecars": given.sidecars}
                line |= {name: mean(own, name) for name in SHOWN}
                line["served"] = round(statistics.mean(served(row) for row in own), 5)
                line["unused"] = sum(row.unused for row in own)
                line["broken"] = [play["broken"] for play in plays if play["broken"]]
                pairs = list(zip(own, beside["random"], strict=True))
                for name in ("spread_500", "spread_1s", "spread_5s", "waste"):
                    parts = [getattr(row, name) / getattr(other, name) for row, other in pairs]
                    line[f"{name}_of_random"] = round(statistics.mean(parts), 3)
                for name, found in beside.items():
                    line[name] = {key: mean(found, key) for key in SHOWN} | {
                        "served": round(statistics.mean(served(row) for row in found), 5)
                    }
                line["rig"] = [
                    {k: v for k, v in play.items() if k not in ("row", "broken")} for play in plays
                ]
                table.append(line)
                print({k: v for k, v in line.items() if k != "rig"}, flush=True)
                print(line["rig"], flush=True)
                levels = json.dumps(changes, sort_keys=True)
                for name, found in {"real processes": own, **beside}.items():
                    for seed, row in enumerate(found, 1):
                        key = (given.scenario.stem, name, levels, seed, "here")
                        rows.append(dict(zip(KEY, key, strict=True)) | msgspec.structs.asdict(row))
                        rows[-1]["quantiles_ms"] = []
    if given.report:
        folder = ResultFolder(given.report)
        folder.add(rows, [])
        page = report.write(folder.compact(), given.report, "Hundreds of processes", metric="spread_5s")
        print(page)
    print(json.dumps(table))


if __name__ == "__main__":
    main()
