"""Measures the cost of a request through the sidecar, in a closed loop over loopback.

    python -m benchmarks.request_cost [--against CHECKOUT] [--rounds 5] [--seconds 4] [--connections 8]

Reports requests per second, the sidecar's CPU per request, the p50 and p99 latency added to that of direct
requests to an order server, and peak memory. With --against, the sidecar of another checkout alternates with
this one (A B B A ...), each round with a new process, and the ratio of the median CPU per request is
reported.
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
WARM_UP_S = 0.5  # before the measurement: connections open and the first samples arrive


async def one_round(checkout: Path, connections: int, seconds: float) -> dict[str, float]:
    servers = [await fleet.serve_on_loopback(fleet.OrderServer) for _ in range(SERVERS)]
    hosts = fleet.host_entries([port for _, port in servers])
    discovery, discovery_port = await fleet.serve_on_loopback(fleet.Discovery)
    fleet.Discovery.hosts = hosts
    try:
        direct = await fleet.closed_loop(servers[0][1], connections, seconds / 2.0)
        async with fleet.run_sidecar(checkout, hosts, discovery_port) as running:
            await fleet.closed_loop(running.port, connections, WARM_UP_S)
            before = running.cpu_s()
            through = await fleet.closed_loop(running.port, connections, seconds)
            completed = through.served + through.not_served
            return {
                "requests_per_s": completed / through.seconds,
                "cpu_us": (running.cpu_s() - before) / completed * 1e6,
                "added_p50_ms": through.percentile_ms(0.5) - direct.percentile_ms(0.5),
                "added_p99_ms": through.percentile_ms(0.99) - direct.percentile_ms(0.99),
                "peak_mb": running.peak_mb(),
                "not_served": float(through.not_served),
            }
    finally:
        for server, _ in [*servers, (discovery, 0)]:
            server.close()


def medians(rounds: list[dict[str, float]]) -> dict[str, float]:
    return {name: round(statistics.median(item[name] for item in rounds), 3) for name in rounds[0]}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--against", type=Path, help="another checkout, measured alternately with this one")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--connections", type=int, default=8)
    args = parser.parse_args()
    checkouts = {"here": ROOT} | ({"against": args.against.resolve()} if args.against else {})
    rounds_by_checkout: dict[str, list[dict[str, float]]] = {name: [] for name in checkouts}
    for number in range(args.rounds):
        for name in list(checkouts)[:: -1 if number % 2 else 1]:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                rounds_by_checkout[name].append(
                    runner.run(one_round(checkouts[name], args.connections, args.seconds))
                )
            print(
                name,
                {key: round(value, 3) for key, value in rounds_by_checkout[name][-1].items()},
                flush=True,
            )
    result: dict[str, Any] = {name: medians(rounds) for name, rounds in rounds_by_checkout.items()}
    if args.against:
        result["cpu_ratio"] = round(result["here"]["cpu_us"] / result["against"]["cpu_us"], 3)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
