"""Changes of versions under load, on sockets: python -m benchmarks.upgrade [--upgrades N] [--pairs N]

A closed loop over kept and new connections asks six order servers, two of them slow, while process after
process takes the sidecar over. Requests lost, the time of answers round a change beside that of ordinary
seconds, memory and descriptors of both processes; then the first second after a change, with and without what
the old process has learnt, paired by seed.
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
QUICK_S, SLOW_S = 0.004, 0.25
CALLERS, THINK_S = 24, 0.004
AIM_S = 0.1
ORDINARY_S = 1.0


class Server(fleet.OrderServer):
    """Answers after its delay, as on a machine that is slow or not."""

    delay = QUICK_S

    def message(self, head: bytes, body: bytes) -> None:
        asyncio.get_running_loop().call_later(self.delay, self._late, head, body)

    def _late(self, head: bytes, body: bytes) -> None:
        if not self.transport.is_closing():
            super().message(head, body)


class SlowServer(Server):
    delay = SLOW_S


class Load:
    """Callers that ask one request after the other, every second one over a new connection each time."""

    def __init__(self, port: int) -> None:
        self.port, self.over, self.count = port, False, 0
        self.answers: list[tuple[float, float]] = []  # when, and how long it took
        self.lost: list[str] = []
        self._tasks = [asyncio.create_task(self._call(number)) for number in range(CALLERS)]

    async def _call(self, number: int) -> None:
        kept: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.over:
            self.count = own = self.count + 1
            fresh = kept is None
            start = time.perf_counter()
            try:
                reader, writer = kept or await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(
                    b"POST /api HTTP/1.1\r\nhost: a\r\nx-correlation-id: u-%d\r\nx-service-class: sale\r\n"
                    b"x-time-left-ms: 1000\r\ncontent-length: 4\r\n\r\nbody" % own
                )
                async with asyncio.timeout(fleet.RESPONSE_TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(int(fleet.header_value(head, b"content-length")))
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
                kept = None
                if fresh:  # a kept one that closes as it is used is asked again, as the protocol has it
                    self.lost.append(f"{type(fault).__name__}: {fault}")
                continue
            now = time.perf_counter()
            if head.startswith(b"HTTP/1.1 200"):
                self.answers.append((now, now - start))
            else:
                self.lost.append(head[:12].decode())
            kept = (reader, writer)
            if number % 2 or b"connection: close" in head:
                writer.close()
                kept = None
            await asyncio.sleep(THINK_S)

    def between(self, start: float, end: float) -> list[float]:
        return [took for when, took in self.answers if start <= when < end]

    async def end(self) -> None:
        self.over = True
        await asyncio.gather(*self._tasks)


def p99_ms(times: list[float]) -> float:
    ranked = sorted(times)
    return ranked[min(int(0.99 * len(ranked)), len(ranked) - 1)] * 1000.0 if ranked else 0.0


def peak_mb(process: asyncio.subprocess.Process) -> float:
    return fleet.RunningSidecar(process, 0).peak_mb()


async def market(seed: int) -> tuple[list[asyncio.Server], dict[str, Any]]:
    kinds = [SlowServer, SlowServer, Server, Server, Server, Server]
    random.Random(seed).shuffle(kinds)
    servers = [await fleet.serve_on_loopback(kind) for kind in kinds]
    hosts = fleet.host_entries([port for _, port in servers])
    discovery, port = await fleet.serve_on_loopback(type("Told", (fleet.Discovery,), {"hosts": hosts}))
    data = {
        "name": "n1",
        "discovery": f"127.0.0.1:{port}",
        "seed": f"{seed:x}",
        "limits": {"sockets": 512},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": fleet.SETTINGS,
    }
    return [*(server for server, _ in servers), discovery], data


async def change(
    platform: Platform, old: asyncio.subprocess.Process, folder: Path | None
) -> tuple[asyncio.subprocess.Process, float, float, int]:
    """The new process, when the old one was told to end, both together in MB and in descriptors."""
    new, port = await platform.start(folder)
    while (await call(port, "/admin/health"))[0] != 200:
        await asyncio.sleep(0.01)
    both = peak_mb(old) + peak_mb(new)
    held = open_descriptors(old) + open_descriptors(new)
    told = time.perf_counter()
    old.send_signal(signal.SIGTERM)
    return new, told, both, held


async def upgrades(number: int) -> dict[str, Any]:
    servers, data = await market(7)
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(ROOT, Path(folder), data)
        process, _ = await platform.start()
        await platform.wait_for_log(process, "ready")
        load = Load(platform.port)
        await asyncio.sleep(2.0)
        ordinary, around, memory, held = [], [], 0.0, 0
        for _ in range(number):
            start = time.perf_counter()
            await asyncio.sleep(ORDINARY_S)
            ordinary += load.between(start, time.perf_counter())
            new, told, both, holds = await change(platform, process, None)
            memory, held = max(memory, both), max(held, holds)
            await process.wait()
            await asyncio.sleep(max(told + 0.5 - time.perf_counter(), 0.0))
            around += load.between(told - 0.5, told + 0.5)
            process = new
        await load.end()
        await platform.close()
    for server in servers:
        server.close()
    return {
        "upgrades": number,
        "requests": load.count,
        "lost": len(load.lost),
        "lost_as": sorted(set(load.lost))[:5],
        "p99_ms": {"ordinary": round(p99_ms(ordinary), 1), "round_a_change": round(p99_ms(around), 1)},
        "memory_mb_both": round(memory, 1),
        "descriptors_both": held,
    }


async def first_second(seed: int, warm: bool) -> float:
    """The share of requests of the first second after a change that was answered within the aim."""
    servers, data = await market(seed)
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as other:
        platform = Platform(ROOT, Path(folder), data)
        process, _ = await platform.start()
        await platform.wait_for_log(process, "ready")
        load = Load(platform.port)
        await asyncio.sleep(2.0)
        _, told, _, _ = await change(platform, process, None if warm else Path(other))
        await asyncio.sleep(1.0)
        times = load.between(told, told + 1.0)
        await load.end()
        await platform.close()
    for server in servers:
        server.close()
    return sum(took <= AIM_S for took in times) / max(len(times), 1)


def main() -> None:
    words = argparse.ArgumentParser(prog="python -m benchmarks.upgrade")
    words.add_argument("--upgrades", type=int, default=100)
    words.add_argument("--pairs", type=int, default=10)
    given = words.parse_args()
    found = asyncio.run(upgrades(given.upgrades))
    print(
        f"{found['upgrades']} changes, {found['requests']} requests, lost {found['lost']} {found['lost_as']}"
    )
    print(f"p99 {found['p99_ms']} ms; both: {found['memory_mb_both']} MB")
    print(f"both: {found['descriptors_both']} descriptors")
    pairs = [
        (asyncio.run(first_second(seed, True)), asyncio.run(first_second(seed, False)))
        for seed in range(1, given.pairs + 1)
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
        print(f"first second within {AIM_S * 1000:.0f} ms: {found['first_second']}")
    print(json.dumps(found))


if __name__ == "__main__":
    main()
