"""What a request through the sidecar costs, in a closed loop over loopback.

    python -m benchmarks.request_cost [--against CHECKOUT] [--rounds 5] [--seconds 4] [--connections 8]

Requests a second, the sidecar's CPU a request, latency p50 and p99 added to asking an order server directly,
and peak memory. With --against, the sidecar of another checkout takes turns with this one (A B B A ...), each
round against a new process, and the ratio of the median CPU a request is given.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
from pathlib import Path
from typing import Any

import uvloop

from rigs import fleet

ROOT = Path(__file__).resolve().parent.parent
SERVERS = 4
WARM_S = 0.5  # connections open and first samples come in this time, before anything is counted


async def one_round(checkout: Path, connections: int, seconds: float) -> dict[str, float]:
    servers = [await fleet.serve_on_loopback(fleet.OrderServer) for _ in range(SERVERS)]
    hosts = fleet.host_entries([port for _, port in servers])
    discovery, discovery_port = await fleet.serve_on_loopback(fleet.Discovery)
    fleet.Discovery.hosts = hosts
    try:
        direct = await fleet.closed_loop(servers[0][1], connections, seconds / 2.0)
        async with fleet.run_sidecar(checkout, hosts, discovery_port) as running:
            await fleet.closed_loop(running.port, connections, WARM_S)
            before = running.cpu_s()
            through = await fleet.closed_loop(running.port, connections, seconds)
            asked = through.served + through.not_served
            return {
                "requests_per_s": asked / through.seconds,
                "cpu_us": (running.cpu_s() - before) / asked * 1e6,
                "added_p50_ms": through.percentile_ms(0.5) - direct.percentile_ms(0.5),
                "added_p99_ms": through.percentile_ms(0.99) - direct.percentile_ms(0.99),
                "peak_mb": running.peak_mb(),
                "not_served": float(through.not_served),
            }
    finally:
        for server, _ in [*servers, (discovery, 0)]:
            server.close()


def middle(rounds: list[dict[str, float]]) -> dict[str, float]:
    return {name: round(statistics.median(item[name] for item in rounds), 3) for name in rounds[0]}


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--against", type=Path, help="another checkout, measured in turn with this one")
    words.add_argument("--rounds", type=int, default=5)
    words.add_argument("--seconds", type=float, default=4.0)
    words.add_argument("--connections", type=int, default=8)
    given = words.parse_args()
    checkouts = {"here": ROOT} | ({"against": given.against.resolve()} if given.against else {})
    found: dict[str, list[dict[str, float]]] = {name: [] for name in checkouts}
    for number in range(given.rounds):
        for name in list(checkouts)[:: -1 if number % 2 else 1]:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                found[name].append(runner.run(one_round(checkouts[name], given.connections, given.seconds)))
            print(name, {key: round(value, 3) for key, value in found[name][-1].items()}, flush=True)
    result: dict[str, Any] = {name: middle(rounds) for name, rounds in found.items()}
    if given.against:
        result["cpu_ratio"] = round(result["here"]["cpu_us"] / result["against"]["cpu_us"], 3)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
