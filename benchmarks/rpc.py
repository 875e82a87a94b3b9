"""Compares MessagePack-RPC and HTTP through the sidecar, in closed loops over loopback, in the same run.

    python -m benchmarks.rpc [--seconds 3] [--rounds 3]

Reports calls per second, the sidecar's CPU per call, and the p50 and p99 latency added to that of direct
calls to an order server, with 1, 8 and 64 calls in flight: pipelined on one connection for RPC, on a
connection each for HTTP. Values are medians of the rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import cast

import msgpack
import uvloop

from rigs import fleet

ROOT = Path(__file__).resolve().parent.parent
IN_FLIGHT = (1, 8, 64)
SERVERS = 4
WARM_UP_S = 0.5
OPERATOR = """
[rpc]
listen = "127.0.0.1:0"
[[rpc.methods]]
pattern = "order.sale"
class = "sale"
[[rpc.methods]]
pattern = "listing.add"
class = "listing"
key = [1]
"""


class EchoServer(asyncio.Protocol):
    """Responds to every call immediately with 64 bytes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.unpacker = msgpack.Unpacker(raw=True)

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        responses = [msgpack.packb([1, message[1], None, b"x" * 64]) for message in self.unpacker]
        self.transport.write(b"".join(responses))


class Pipeline(asyncio.Protocol):
    """One connection with ``in_flight`` calls in flight, which sends the next call after each response."""

    def __init__(self, in_flight: int, until: float) -> None:
        self.in_flight, self.until = in_flight, until
        self.msgid = self.not_served = 0
        self.sent_at: dict[int, float] = {}
        self.latencies: list[float] = []
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.unpacker = msgpack.Unpacker(raw=True)
        for _ in range(self.in_flight):
            self.send_next()

    def send_next(self) -> None:
        self.msgid += 1
        self.sent_at[self.msgid] = time.perf_counter()
        method, key = ("order.sale", []) if self.msgid % 3 else ("listing.add", [f"k{self.msgid}"])
        self.transport.write(msgpack.packb([0, self.msgid, method, [b"b" * 200, *key]]))

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        now = time.perf_counter()
        for message in self.unpacker:
            sent_at = self.sent_at.pop(message[1])
            if message[2] is None:
                self.latencies.append(now - sent_at)
            else:
                self.not_served += 1
            if now < self.until:
                self.send_next()
        if not self.sent_at:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


async def pipelined_loop(port: int, in_flight: int, seconds: float) -> fleet.LoadResult:
    start = time.perf_counter()
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(lambda: Pipeline(in_flight, start + seconds), "127.0.0.1", port)
    async with asyncio.timeout(seconds + fleet.RESPONSE_TIMEOUT_S):
        await caller.done
    return fleet.LoadResult(
        len(caller.latencies), caller.not_served, time.perf_counter() - start, caller.latencies
    )


async def one_round(seconds: float) -> list[dict[str, float | str]]:
    http_servers = [await fleet.serve_on_loopback(fleet.OrderServer) for _ in range(SERVERS)]
    rpc_servers = [await fleet.serve_on_loopback(EchoServer) for _ in range(SERVERS)]
    hosts = fleet.host_entries([port for _, port in http_servers])
    for host, (_, port) in zip(hosts, rpc_servers, strict=True):
        host["dial_rpc"] = f"127.0.0.1:{port}"
    discovery, discovery_port = await fleet.serve_on_loopback(fleet.Discovery)
    fleet.Discovery.hosts = hosts
    rows: list[dict[str, float | str]] = []
    try:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(OPERATOR)
            file.flush()
            async with fleet.run_sidecar(ROOT, hosts, discovery_port, "--operator", file.name) as running:
                rpc_port = await running.next_listener_port()
                protocols = {
                    "http": (fleet.closed_loop, running.port, http_servers[0][1]),
                    "rpc": (pipelined_loop, rpc_port, rpc_servers[0][1]),
                }
                for in_flight in IN_FLIGHT:
                    for name, (run_load, port, direct_port) in protocols.items():
                        direct = await run_load(direct_port, in_flight, seconds / 2.0)
                        await run_load(port, in_flight, WARM_UP_S)
                        before = running.cpu_s()
                        through = await run_load(port, in_flight, seconds)
                        completed = through.served + through.not_served
                        rows.append(
                            {
                                "protocol": name,
                                "in_flight": in_flight,
                                "calls_per_s": completed / through.seconds,
                                "cpu_us": (running.cpu_s() - before) / completed * 1e6,
                                "added_p50_ms": through.percentile_ms(0.5) - direct.percentile_ms(0.5),
                                "added_p99_ms": through.percentile_ms(0.99) - direct.percentile_ms(0.99),
                                "not_served": float(through.not_served),
                                "peak_mb": running.peak_mb(),
                            }
                        )
                        print({key: _rounded(value) for key, value in rows[-1].items()}, flush=True)
    finally:
        for server, _ in [*http_servers, *rpc_servers, (discovery, 0)]:
            server.close()
    return rows


def _rounded(value: float | str) -> float | str:
    return round(value, 3) if isinstance(value, float) else value


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    args = parser.parse_args()
    rounds = []
    for _ in range(args.rounds):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            rounds.append(runner.run(one_round(args.seconds)))
    medians_by_row = []
    for rows in zip(*rounds, strict=True):
        numbers = [name for name, value in rows[0].items() if isinstance(value, float)]
        medians = {name: round(statistics.median(float(row[name]) for row in rows), 3) for name in numbers}
        medians_by_row.append(rows[0] | medians)
    print(json.dumps(medians_by_row))


if __name__ == "__main__":
    main()
