"""What a decision costs: the module alone, in a closed loop, by size of fleet and number of attempts out.

    python -m benchmarks.decisions [--against CHECKOUT] [--rounds 5] [--requests 3000]

A request is all of its events: asked, timers, answered. Each cell is a process of its own; with --against,
those of another checkout take turns with this one's, and the median ratio is given. Microseconds a request,
in the module's own calls.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import subprocess
import sys
import time
from collections import deque
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SERVERS, OUT = (15, 100, 1000), (1, 50, 500)


def one(servers: int, out: int, requests: int) -> float:
    """Microseconds a request, of the `hareloom` that this process finds."""
    from hareloom import Balancer
    from hareloom import interface as api

    chance = random.Random(servers * 1000 + out)
    classes = (
        api.RequestClass("sale", 400.0, 1200.0, worth=10.0, late_worth=0.3),
        api.RequestClass("look", 750.0, 4000.0, worth=8.0, late_worth=0.5, effect=api.Effect.SAFE),
    )
    limits = api.Limits(max_attempts=4, may_cancel=True, max_retry_after_ms=2000.0)
    balancer = Balancer(
        api.Settings(classes, peers=3, limits=limits, tick_ms=5.0, cross_zone_price=0.02, zone="a"), 7
    )
    entries = tuple(
        api.ServerEntry(f"s{n}", zone="ab"[n % 2], kind=("fast", "slow")[n % 3 == 0], size=2.0)
        for n in range(servers)
    )
    now, count = 0.0, 0
    timers: list[tuple[float, int]] = []
    sends: deque[tuple[str, float]] = deque()
    running: deque[tuple[str, float]] = deque()

    spent = 0.0

    def give(event: Any) -> None:
        nonlocal spent
        begun = time.perf_counter()
        actions = balancer.handle(now, event)
        spent += time.perf_counter() - begun
        for action in actions:
            if isinstance(action, api.Send):
                sends.append((action.request, now))
            elif isinstance(action, api.SetTimer):
                heappush(timers, (now + action.delay_ms, action.token))

    give(api.ServerList(api.ListKind.FULL, 1, entries))
    for step in range(requests + requests // 4):
        if step == requests // 4:
            spent = 0.0
        pace: Any = getattr(balancer, "limits", balancer)  # an older checkout's holds its own
        pace.limit = max(pace.limit, out + 1.0)
        while len(running) < out:
            count += 1
            give(api.Request(f"r{count}", ("sale", "look")[count % 2], now + 1200.0))
            while sends:
                running.append(sends.popleft())
            if count > 20 * (requests + out):
                break
        now += 2.0
        while timers and timers[0][0] <= now:
            give(api.Timer(heappop(timers)[1]))
        name, sent = running.popleft()
        latency = now - sent + chance.uniform(30.0, 90.0)
        give(api.AttemptEnded(name, 0, api.Outcome.OK, latency, True))
    return spent / requests * 1e6


def cell(checkout: Path, servers: int, out: int, requests: int) -> float:
    words = [sys.executable, __file__, "--cell", str(servers), str(out), "--requests", str(requests)]
    run = subprocess.run(
        words, env=os.environ | {"PYTHONPATH": str(checkout)}, capture_output=True, check=True
    )
    return float(run.stdout)


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--against", type=Path, help="another checkout, measured in turn with this one")
    words.add_argument("--rounds", type=int, default=5)
    words.add_argument("--requests", type=int, default=3000)
    words.add_argument("--cell", type=int, nargs=2, metavar=("SERVERS", "OUT"), help="one cell, this process")
    given = words.parse_args()
    if given.cell:
        print(one(given.cell[0], given.cell[1], given.requests))
        return
    rows = []
    for servers in SERVERS:
        for out in OUT:
            here, there = list[float](), list[float]()
            for _ in range(given.rounds):
                if given.against:
                    there.append(cell(given.against.resolve(), servers, out, given.requests))
                here.append(cell(ROOT, servers, out, given.requests))
            row: dict[str, Any] = {
                "servers": servers,
                "out": out,
                "cpu_us": round(statistics.median(here), 1),
            }
            if there:
                ratios = [new / old for new, old in zip(here, there, strict=True)]
                row |= {
                    "against_us": round(statistics.median(there), 1),
                    "ratio": round(statistics.median(ratios), 3),
                }
            rows.append(row)
            print(row, flush=True)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
