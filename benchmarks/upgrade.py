"""Measures upgrades of the sidecar under load, on sockets.

    python -m benchmarks.upgrade [--upgrades N] [--pairs N]

A closed loop over kept and new connections sends requests for six order servers, two of them slow, while
each new process takes over from the previous one. Reports lost requests, response times around an upgrade
and in ordinary seconds, and the memory and descriptors of both processes. Then compares the first second
after an upgrade with and without the state that the old process has learnt, paired by seed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from rigs import fleet
from rigs.versions import Platform, call, open_descriptors

ROOT = Path(__file__).parent.parent
FAST_RESPONSE_S, SLOW_RESPONSE_S = 0.004, 0.25
CALLER_COUNT, THINK_S = 24, 0.004
TARGET_S = 0.1
ORDINARY_S = 1.0


class Server(fleet.OrderServer):
    """Responds after its delay, as a fast or a slow machine does."""

    delay = FAST_RESPONSE_S

    def message(self, head: bytes, body: bytes) -> None:
        asyncio.get_running_loop().call_later(self.delay, self._respond, head, body)

    def _respond(self, head: bytes, body: bytes) -> None:
        if not self.transport.is_closing():
            super().message(head, body)


class SlowServer(Server):
    delay = SLOW_RESPONSE_S


class Load:
    """Callers that send one request after another; every second caller opens a new connection for each."""

    def __init__(self, port: int) -> None:
        self.port, self.stopping, self.count = port, False, 0
        self.responses: list[tuple[float, float]] = []  # time of arrival and latency
        self.lost: list[str] = []
        self._tasks = [asyncio.create_task(self._call(number)) for number in range(CALLER_COUNT)]

    async def _call(self, number: int) -> None:
        kept: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.stopping:
            self.count = request_number = self.count + 1
            is_new = kept is None
            start = time.perf_counter()
            try:
                reader, writer = kept or await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(
                    b"POST /api HTTP/1.1\r\nhost: a\r\nx-correlation-id: u-%d\r\nx-service-class: sale\r\n"
                    b"x-time-left-ms: 1000\r\ncontent-length: 4\r\n\r\nbody" % request_number
                )
                async with asyncio.timeout(fleet.RESPONSE_TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(int(fleet.header_value(head, b"content-length")))
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
                kept = None
                if is_new:  # the protocol has a client retry if a kept connection closes as it is used
                    self.lost.append(f"{type(fault).__name__}: {fault}")
                continue
            now = time.perf_counter()
            if head.startswith(b"HTTP/1.1 200"):
                self.responses.append((now, now - start))
            else:
                self.lost.append(head[:12].decode())
            kept = (reader, writer)
            if number % 2 or b"connection: close" in head:
                writer.close()
                kept = None
            await asyncio.sleep(THINK_S)

    def between(self, start: float, end: float) -> list[float]:
        return [latency for arrived_at, latency in self.responses if start <= arrived_at < end]

    async def stop(self) -> None:
        self.stopping = True
        await asyncio.gather(*self._tasks)


def p99_ms(times: list[float]) -> float:
    ranked = sorted(times)
    return ranked[min(int(0.99 * len(ranked)), len(ranked) - 1)] * 1000.0 if ranked else 0.0


def peak_mb(process: asyncio.subprocess.Process) -> float:
    return fleet.RunningSidecar(process, 0).peak_mb()


async def start_market(seed: int) -> tuple[list[asyncio.Server], dict[str, Any]]:
    kinds = [SlowServer, SlowServer, Server, Server, Server, Server]
    random.Random(seed).shuffle(kinds)
    servers = [await fleet.serve_on_loopback(kind) for kind in kinds]
    hosts = fleet.host_entries([port for _, port in servers])
    discovery, port = await fleet.serve_on_loopback(
        type("FixedDiscovery", (fleet.Discovery,), {"hosts": hosts})
    )
    data = {
        "name": "n1",
        "discovery": f"127.0.0.1:{port}",
        "seed": f"{seed:x}",
        "limits": {"sockets": 512},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": fleet.SETTINGS,
    }
    return [*(server for server, _ in servers), discovery], data


async def upgrade(
    platform: Platform, old: asyncio.subprocess.Process, folder: Path | None
) -> tuple[asyncio.subprocess.Process, float, float, int]:
    """Replaces the old process. Returns the new one, the time of the stop signal to the old one, and the
    memory in MB and the descriptors of both together."""
    new, port = await platform.start(folder)
    while (await call(port, "/admin/health"))[0] != 200:
        await asyncio.sleep(0.01)
    memory_mb = peak_mb(old) + peak_mb(new)
    descriptors = open_descriptors(old) + open_descriptors(new)
    stop_sent_at = time.perf_counter()
    old.send_signal(signal.SIGTERM)
    return new, stop_sent_at, memory_mb, descriptors


async def measure_upgrades(number: int) -> dict[str, Any]:
    servers, data = await start_market(7)
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(ROOT, Path(folder), data)
        process, _ = await platform.start()
        await platform.wait_for_log(process, "ready")
        load = Load(platform.port)
        await asyncio.sleep(2.0)
        ordinary, during_upgrade, max_memory_mb, max_descriptors = [], [], 0.0, 0
        for _ in range(number):
            start = time.perf_counter()
            await asyncio.sleep(ORDINARY_S)
            ordinary += load.between(start, time.perf_counter())
            new, stop_sent_at, memory_mb, descriptors = await upgrade(platform, process, None)
            max_memory_mb, max_descriptors = max(max_memory_mb, memory_mb), max(max_descriptors, descriptors)
            await process.wait()
            await asyncio.sleep(max(stop_sent_at + 0.5 - time.perf_counter(), 0.0))
            during_upgrade += load.between(stop_sent_at - 0.5, stop_sent_at + 0.5)
            process = new
        await load.stop()
        await platform.close()
    for server in servers:
        server.close()
    return {
        "upgrades": number,
        "requests": load.count,
        "lost": len(load.lost),
        "lost_as": sorted(set(load.lost))[:5],
        "p99_ms": {
            "ordinary": round(p99_ms(ordinary), 1),
            "round_a_change": round(p99_ms(during_upgrade), 1),
        },
        "memory_mb_both": round(max_memory_mb, 1),
        "descriptors_both": max_descriptors,
    }


async def first_second(seed: int, warm: bool) -> float:
    """Returns the share of requests in the first second after an upgrade that met the target."""
    servers, data = await start_market(seed)
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as empty_folder:
        platform = Platform(ROOT, Path(folder), data)
        process, _ = await platform.start()
        await platform.wait_for_log(process, "ready")
        load = Load(platform.port)
        await asyncio.sleep(2.0)
        _, stop_sent_at, _, _ = await upgrade(platform, process, None if warm else Path(empty_folder))
        await asyncio.sleep(1.0)
        times = load.between(stop_sent_at, stop_sent_at + 1.0)
        await load.stop()
        await platform.close()
    for server in servers:
        server.close()
    return sum(latency <= TARGET_S for latency in times) / max(len(times), 1)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.upgrade")
    parser.add_argument("--upgrades", type=int, default=100)
    parser.add_argument("--pairs", type=int, default=10)
    args = parser.parse_args()
    found = asyncio.run(measure_upgrades(args.upgrades))
    print(
        f"{found['upgrades']} upgrades, {found['requests']} requests, lost {found['lost']} {found['lost_as']}"
    )
    print(f"p99 {found['p99_ms']} ms; both: {found['memory_mb_both']} MB")
    print(f"both: {found['descriptors_both']} descriptors")
    pairs = [
        (asyncio.run(first_second(seed, True)), asyncio.run(first_second(seed, False)))
        for seed in range(1, args.pairs + 1)
    ]
    if pairs:
        gains = [warm - cold for warm, cold in pairs]
        spread = 1.96 * statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0.0
        found["first_second"] = {
            "warm": round(statistics.mean(warm for warm, _ in pairs), 4),
            "cold": round(statistics.mean(cold for _, cold in pairs), 4),
            "gain": round(statistics.mean(gains), 4),
            "interval": [
                round(statistics.mean(gains) - spread, 4),
                round(statistics.mean(gains) + spread, 4),
            ],
        }
        print(f"first second within {TARGET_S * 1000:.0f} ms: {found['first_second']}")
    print(json.dumps(found))


if __name__ == "__main__":
    main()
