"""Measures the CPU time of a request's decisions by the number of servers and of outstanding attempts.

    python -m benchmarks.decisions [--against CHECKOUT] [--rounds 5] [--requests 3000]

Runs the balancer module alone in a closed loop and prints microseconds per request, spent in calls of the
module. A request includes all of its events: the request, timers and the answer. Each cell runs in its own
process; with --against, those of another checkout alternate with those of this one, and the median ratio is
printed. The last line is JSON.
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
SERVER_COUNTS, OUTSTANDING_COUNTS = (15, 100, 1000), (1, 50, 500)


def measure_cell(servers: int, outstanding: int, requests: int) -> float:
    """Returns the microseconds per request with the `hareloom` that this process imports."""
    from hareloom import Balancer
    from hareloom import interface as api

    rng = random.Random(servers * 1000 + outstanding)
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

    spent_s = 0.0

    def handle(event: Any) -> None:
        nonlocal spent_s
        started = time.perf_counter()
        actions = balancer.handle(now, event)
        spent_s += time.perf_counter() - started
        for action in actions:
            if isinstance(action, api.Send):
                sends.append((action.request, now))
            elif isinstance(action, api.SetTimer):
                heappush(timers, (now + action.delay_ms, action.token))

    handle(api.ServerList(api.ListKind.FULL, 1, entries))
    for step in range(requests + requests // 4):
        if step == requests // 4:
            spent_s = 0.0
        # In older checkouts, the balancer itself has the limit.
        limit_holder: Any = getattr(balancer, "limits", balancer)
        limit_holder.limit = max(limit_holder.limit, outstanding + 1.0)
        while len(running) < outstanding:
            count += 1
            handle(api.Request(f"r{count}", ("sale", "look")[count % 2], now + 1200.0))
            while sends:
                running.append(sends.popleft())
            if count > 20 * (requests + outstanding):
                break
        now += 2.0
        while timers and timers[0][0] <= now:
            handle(api.Timer(heappop(timers)[1]))
        name, sent = running.popleft()
        latency = now - sent + rng.uniform(30.0, 90.0)
        handle(api.AttemptEnded(name, 0, api.Outcome.OK, latency, True))
    return spent_s / requests * 1e6


def run_cell_process(checkout: Path, servers: int, outstanding: int, requests: int) -> float:
    command = [
        sys.executable,
        __file__,
        "--cell",
        str(servers),
        str(outstanding),
        "--requests",
        str(requests),
    ]
    completed = subprocess.run(
        command, env=os.environ | {"PYTHONPATH": str(checkout)}, capture_output=True, check=True
    )
    return float(completed.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--against", type=Path, help="another checkout, measured alternately with this one")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument(
        "--cell", type=int, nargs=2, metavar=("SERVERS", "OUT"), help="measure one cell in this process"
    )
    args = parser.parse_args()
    if args.cell:
        print(measure_cell(args.cell[0], args.cell[1], args.requests))
        return
    rows = []
    for servers in SERVER_COUNTS:
        for outstanding in OUTSTANDING_COUNTS:
            own_us, other_us = list[float](), list[float]()
            for _ in range(args.rounds):
                if args.against:
                    other_us.append(
                        run_cell_process(args.against.resolve(), servers, outstanding, args.requests)
                    )
                own_us.append(run_cell_process(ROOT, servers, outstanding, args.requests))
            row: dict[str, Any] = {
                "servers": servers,
                "out": outstanding,
                "cpu_us": round(statistics.median(own_us), 1),
            }
            if other_us:
                ratios = [new / old for new, old in zip(own_us, other_us, strict=True)]
                row |= {
                    "against_us": round(statistics.median(other_us), 1),
                    "ratio": round(statistics.median(ratios), 3),
                }
            rows.append(row)
            print(row, flush=True)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
