"""Outages in virtual time: how a fleet of sidecars comes out of one, over seeds, sizes, loads and shares.

    python -m benchmarks.storms [--seeds 3] [--processes 4] [--sidecars 5 30]

Of each point the median recovery (ms from the outage's end until 95% of the served share before it, to stay;
null where it never came), the worst peak at a starting server (of what it could do), the falls, and the
median worth. "deficits alone": the module passes over no server that has more out than is even.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
from collections.abc import Sequence
from multiprocessing import Pool
from pathlib import Path

import msgspec

from hareloom import Balancer
from hareloom.rules import Server
from rigs import storm_scenario
from rigs.storm_scenario import Scenario
from rigs.storm_twin import Summary, Twin, summary

ROOT = Path(__file__).resolve().parent.parent
OUTAGE = ROOT / "rigs" / "scenarios" / "outage.toml"
GRID = [(load, share) for load in (0.5, 0.7, 0.9) for share in (0.18, 0.6)]


class ByDeficitAlone(Balancer):
    """The module before it looked at what is out."""

    def uncrowded(self, active: list[Server]) -> list[Server]:
        return active


def point(job: tuple[Scenario, int, bool]) -> Summary:
    scenario, seed, even = job
    return summary(Twin(scenario, seed, Balancer if even else ByDeficitAlone).run())


def told(found: Sequence[Summary]) -> dict[str, float | None]:
    recovered = statistics.median_high(item.recovered_ms for item in found)
    return {
        "recovered_ms": None if math.isinf(recovered) else recovered,
        "never": sum(math.isinf(item.recovered_ms) for item in found),
        "peak": round(max(item.peak for item in found), 3),
        "falls": sum(item.falls for item in found),
        "worth": round(statistics.median(item.worth for item in found), 4),
    }


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seeds", type=int, default=3)
    words.add_argument("--processes", type=int, default=4)
    words.add_argument("--sidecars", type=int, nargs="+", default=[5, 30])
    given = words.parse_args()
    base = storm_scenario.load(OUTAGE)
    names, jobs = [], []
    for even in (True, False):
        for sidecars in given.sidecars:
            for load, share in GRID:
                outage = msgspec.structs.replace(base.outage, share=share)
                made = msgspec.structs.replace(base, sidecars=sidecars, load=load, outage=outage)
                how = "even" if even else "deficits alone"
                label = f"{how}, {sidecars} sidecars, load {load:g}, {share:.0%} out"
                names.append(label)
                jobs += [(made, seed, even) for seed in range(given.seeds)]
    with Pool(given.processes) as pool:
        found = pool.map(point, jobs, 1)
    rows = {name: told(found[n * given.seeds : (n + 1) * given.seeds]) for n, name in enumerate(names)}
    for name, row in rows.items():
        print(name, row)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
