"""Measures the cost of calls and of list updates by the length of the server list.

    python -m benchmarks.lists [--rounds N]

For one of 200 sidecars, with lists of 15 to 5,000 servers, prints the microseconds per call (request, attempt
and answer), per changed entry (from ready to draining and back), and per complete list, and the memory of a
list in KiB. Times are the minimum of the rounds. The last line is JSON.
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

LIST_LENGTHS = (15, 100, 1000, 5000)
CALL_COUNT, CHANGE_COUNT = 4000, 400
REQUEST_CLASS = api.RequestClass("sale", 400.0, 1200.0)


def entries(count: int) -> tuple[api.ServerEntry, ...]:
    return tuple(api.ServerEntry(f"s-{number:08x}", cell=number // 4) for number in range(count))


def make_balancer(count: int) -> Balancer:
    balancer = Balancer(api.Settings((REQUEST_CLASS,), peers=200, me=77), 5)
    balancer.handle(0.0, api.ServerList(api.ListKind.FULL, 1, entries(count)))
    return balancer


def measure_calls(balancer: Balancer, now: float) -> float:
    """Returns the microseconds per call; each call is answered after 20 ms, before the next."""
    started = time.perf_counter()
    for number in range(CALL_COUNT):
        name = f"r{now:.0f}-{number}"
        now += 25.0
        for action in balancer.handle(now, api.Request(name, "sale", now + 1200.0)):
            if isinstance(action, api.Send):
                balancer.handle(now + 20.0, api.AttemptEnded(name, 0, api.Outcome.OK, 20.0, True))
    return (time.perf_counter() - started) / CALL_COUNT * 1e6


def measure_changes(balancer: Balancer, count: int, now: float) -> float:
    """Returns the microseconds per change of one entry."""
    ready = entries(count)
    draining = [api.ServerEntry(item.server, api.ServerState.DRAINING, cell=item.cell) for item in ready]
    started = time.perf_counter()
    for number in range(CHANGE_COUNT):
        index = number * 7919 % count
        for entry in (draining[index], ready[index]):
            balancer.handle(now, api.ServerList(api.ListKind.DELTA, number + 2, (entry,)))
    return (time.perf_counter() - started) / (2 * CHANGE_COUNT) * 1e6


def measure_list(count: int, rounds: int) -> dict[str, Any]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    traced_balancer = make_balancer(count)
    memory_kib = (tracemalloc.get_traced_memory()[0] - before) / 1024.0
    tracemalloc.stop()
    list_us, call_us, change_us = [], [], []
    for _ in range(rounds):
        gc.collect()
        started = time.perf_counter()
        balancer = make_balancer(count)
        list_us.append((time.perf_counter() - started) * 1e6)
        measure_calls(balancer, 1000.0)
        call_us.append(measure_calls(balancer, 200_000.0))
        change_us.append(measure_changes(balancer, count, 400_000.0))
    return {
        "servers": count,
        "call_us": round(min(call_us), 1),
        "change_us": round(min(change_us), 1),
        "whole_us": round(min(list_us), 1),
        "held_kib": round(memory_kib, 1),
        "set": len(traced_balancer.working.set) or len(balancer.working.set),
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    table = [measure_list(count, rounds) for count in LIST_LENGTHS]
    for row in table:
        print(row)
    print(json.dumps(table))


if __name__ == "__main__":
    main()
