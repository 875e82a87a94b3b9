"""Outages in virtual time: how a fleet of sidecars comes out of one, against other ways to retry; and a map.

    python -m benchmarks.storms [--seeds 3] [--processes 4] [--sidecars 5]   # the table
    python -m benchmarks.storms --map                                         # load x share out x warm-up

Of each point the median recovery (ms from the outage's end until 95% of the served share before it, to stay;
null where it never came), the worst peak at a starting server (of what it could do), the falls, and the
median worth. The other ways have no limit on what is out, and servers are chosen as the module does.
"""

from __future__ import annotations

import argparse
import itertools
import json
import math
import statistics
from collections.abc import Sequence
from multiprocessing import Pool
from pathlib import Path

import msgspec

from hareloom import Balancer
from hareloom.rules import RETRY_SAVED
from rigs import storm_scenario
from rigs.storm_scenario import Scenario
from rigs.storm_twin import Summary, Twin, summary

ROOT = Path(__file__).resolve().parent.parent
OUTAGE = ROOT / "rigs" / "scenarios" / "outage.toml"
LOADS, SHARES = (0.7, 0.9), (0.18, 0.6)
MAP_LOADS, MAP_SHARES = (0.5, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5), (0.18, 0.4, 0.6)
MAP_WARM_UPS_MS = (4_000.0, 12_000.0)


class BudgetAlone(Balancer):
    """Nothing held back: a retry budget is all there is."""

    limit = property(lambda self: 1e9, lambda self, value: None)


class NoBudget(BudgetAlone):
    """Every attempt that may be repeated is, at once; what clients wait is up to them."""

    budget = property(lambda self: RETRY_SAVED, lambda self, value: None)


# Decisions, whether the watch for storms is on, and the share of clients that come back after a fixed wait.
WAYS: dict[str, tuple[type[Balancer], bool, float | None]] = {
    "module": (Balancer, False, None),
    "module, storms on": (Balancer, True, None),
    "fixed retries": (NoBudget, False, 1.0),
    "retry budget alone": (BudgetAlone, False, None),
    "jittered back-off alone": (NoBudget, False, 0.0),
}


def point(job: tuple[Scenario, int, str]) -> Summary:
    scenario, seed, way = job
    decides, watched, ignoring = WAYS[way]
    if ignoring is not None:
        clients = msgspec.structs.replace(scenario.clients, ignoring=ignoring)
        scenario = msgspec.structs.replace(scenario, clients=clients)
    return summary(Twin(scenario, seed, decides, watched).run())


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
    words.add_argument("--sidecars", type=int, nargs="+", default=[5])
    words.add_argument("--load", type=float, nargs="+", default=LOADS)
    words.add_argument("--map", action="store_true", help="the module alone, over the grid of the map")
    given = words.parse_args()
    base = storm_scenario.load(OUTAGE)
    points: dict[str, tuple[Scenario, str]] = {}
    for sidecars in given.sidecars:
        if given.map:
            servers = msgspec.structs.replace(base.servers, count=8)
            for warm in MAP_WARM_UPS_MS:
                for share in MAP_SHARES:
                    for load in MAP_LOADS:
                        made = msgspec.structs.replace(
                            base,
                            sidecars=sidecars,
                            load=load,
                            outage=msgspec.structs.replace(base.outage, share=share),
                            servers=msgspec.structs.replace(servers, warm_up_ms=warm),
                            seconds=50.0,
                        )
                        label = (
                            f"{sidecars} sidecars, warm-up {warm / 1000:g} s, {share:.0%} out, load {load:g}"
                        )
                        points[label] = (made, "module")
            continue
        for load, share in itertools.product(given.load, SHARES):
            outage = msgspec.structs.replace(base.outage, share=share)
            made = msgspec.structs.replace(base, sidecars=sidecars, load=load, outage=outage)
            for way in WAYS:
                points[f"{sidecars} sidecars, load {load:g}, {share:.0%} out: {way}"] = (made, way)
    jobs = [(made, seed, way) for made, way in points.values() for seed in range(given.seeds)]
    rows = {}
    with Pool(given.processes) as pool:
        found = pool.imap(point, jobs, 1)
        for name in points:
            rows[name] = told([next(found) for _ in range(given.seeds)])
            print(name, rows[name], flush=True)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
