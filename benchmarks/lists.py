"""What a decision and a change of the list cost by the length of the list: python -m benchmarks.lists
[--rounds N]

One sidecar of 200, with lists of 15 to 5,000 servers: microseconds a call (request, attempt, answer), with
its share of traffic as it would be at so many servers; of one entry that drains and is ready again; of a
whole list; and the memory that a list takes, in KiB. The least of the rounds. The last line is JSON.
"""

from __future__ import annotations

import argparse
import gc
import json
import time
import tracemalloc
from typing import Any

from hareloom import Balancer
from hareloom import interface as api

SIZES = (15, 100, 1000, 5000)
CALLS, CHANGES = 4000, 400
KLASS = api.RequestClass("sale", 400.0, 1200.0)


def entries(count: int) -> tuple[api.ServerEntry, ...]:
    return tuple(api.ServerEntry(f"s-{number:08x}", cell=number // 4) for number in range(count))


def made(count: int) -> Balancer:
    balancer = Balancer(api.Settings((KLASS,), peers=200, me=77), 5)
    balancer.handle(0.0, api.ServerList(api.ListKind.FULL, 1, entries(count)))
    return balancer


def calls(balancer: Balancer, now: float) -> float:
    """Microseconds a call, answered in 20 ms before the next."""
    begin = time.perf_counter()
    for number in range(CALLS):
        name = f"r{now:.0f}-{number}"
        now += 25.0
        for action in balancer.handle(now, api.Request(name, "sale", now + 1200.0)):
            if isinstance(action, api.Send):
                balancer.handle(now + 20.0, api.AttemptEnded(name, 0, api.Outcome.OK, 20.0, True))
    return (time.perf_counter() - begin) / CALLS * 1e6


def changes(balancer: Balancer, count: int, now: float) -> float:
    """Microseconds a change of one entry."""
    ready = entries(count)
    draining = [api.ServerEntry(item.server, api.ServerState.DRAINING, cell=item.cell) for item in ready]
    begin = time.perf_counter()
    for number in range(CHANGES):
        at = number * 7919 % count
        for entry in (draining[at], ready[at]):
            balancer.handle(now, api.ServerList(api.ListKind.DELTA, number + 2, (entry,)))
    return (time.perf_counter() - begin) / (2 * CHANGES) * 1e6


def measured(count: int, rounds: int) -> dict[str, Any]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = made(count)
    held = (tracemalloc.get_traced_memory()[0] - before) / 1024.0
    tracemalloc.stop()
    whole, call, change = [], [], []
    for _ in range(rounds):
        gc.collect()
        begin = time.perf_counter()
        balancer = made(count)
        whole.append((time.perf_counter() - begin) * 1e6)
        calls(balancer, 1000.0)
        call.append(calls(balancer, 200_000.0))
        change.append(changes(balancer, count, 400_000.0))
    return {
        "servers": count,
        "call_us": round(min(call), 1),
        "change_us": round(min(change), 1),
        "whole_us": round(min(whole), 1),
        "held_kib": round(held, 1),
        "set": len(kept.working.set) or len(balancer.working.set),
    }


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--rounds", type=int, default=5)
    rounds = words.parse_args().rounds
    table = [measured(count, rounds) for count in SIZES]
    for row in table:
        print(row)
    print(json.dumps(table))


if __name__ == "__main__":
    main()
