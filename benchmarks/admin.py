"""The operators' address under load: python -m benchmarks.admin [--seconds N]

How long /admin/stats takes while the sidecar serves as many requests as it can, beside hostile callers, and
with its loop held up; what ten calls a second cost; and the figures beside what callers and order servers
counted themselves.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.upgrade import ROOT, p99_ms
from rigs import fleet
from rigs.versions import Platform, call

HOSTILE, CONNECTIONS = 200, 16
CALLS_A_SECOND = 10.0


class Counting(fleet.OrderServer):
    """Counts the whole requests that came, as the ledger that figures are held against."""

    seen = 0

    def message(self, head: bytes, body: bytes) -> None:
        Counting.seen += 1
        super().message(head, body)


async def hostile(port: int, until: float) -> None:
    """Sends nothing, half a call a byte at a time, or a megabyte of header, again and again."""
    number = 0
    while time.perf_counter() < until:
        number += 1
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            if number % 3 == 1:
                for byte in b"GET /adm":
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0.05)
            elif number % 3 == 2:
                writer.write(b"GET /admin/stats HTTP/1.1\r\nx: " + b"y" * 1_000_000)
            await asyncio.sleep(0.5)
            writer.transport.abort()
        except OSError:
            await asyncio.sleep(0.05)


async def asked(port: int, until: float) -> tuple[list[float], int]:
    """How long each call took, in seconds, and how many failed."""
    times, failed = [], 0
    while time.perf_counter() < until:
        start = time.perf_counter()
        try:
            async with asyncio.timeout(5.0):
                status, _ = await call(port, "/admin/stats")
        except (OSError, TimeoutError, ValueError):
            status = 0
        failed += status != 200
        times.append(time.perf_counter() - start)
        await asyncio.sleep(max(start + 1.0 / CALLS_A_SECOND - time.perf_counter(), 0.0))
    return times, failed


def row(times: list[float], failed: int) -> dict[str, Any]:
    ranked = sorted(times)
    return {
        "calls": len(ranked),
        "failed": failed,
        "p50_ms": round(ranked[len(ranked) // 2] * 1000.0, 2),
        "p99_ms": round(p99_ms(ranked), 2),
        "worst_ms": round(ranked[-1] * 1000.0, 2),
    }


async def measure(seconds: float) -> dict[str, Any]:
    servers = [await fleet.serve_on_loopback(Counting) for _ in range(4)]
    hosts = fleet.host_entries([port for _, port in servers])
    discovery, port = await fleet.serve_on_loopback(type("Told", (fleet.Discovery,), {"hosts": hosts}))
    data = {
        "name": "n1", "discovery": f"127.0.0.1:{port}", "seed": "7", "limits": {"sockets": 512},
        "known": {"seq": 1, "whole": True, "hosts": hosts}, "settings": fleet.SETTINGS,
    }  # fmt: skip
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(ROOT, Path(folder), data, blocking=False)
        process, mgmt = await platform.start()
        await platform.wait_for_log(process, "ready")
        running = fleet.RunningSidecar(process, platform.port)
        idle = running.cpu_s()
        await asked(mgmt, time.perf_counter() + seconds)
        found["cpu_ms_a_second_of_10_calls"] = round((running.cpu_s() - idle) / seconds * 1000.0, 2)
        idle = running.cpu_s()
        await asyncio.sleep(seconds)
        found["cpu_ms_a_second_idle"] = round((running.cpu_s() - idle) / seconds * 1000.0, 2)

        until = time.perf_counter() + seconds
        load, calls = await asyncio.gather(
            fleet.closed_loop(platform.port, CONNECTIONS, seconds), asked(mgmt, until)
        )
        found["under_load"] = row(*calls) | {"requests_a_second": round(load.served / load.seconds)}
        await asyncio.sleep(0.6)
        _, figures = await call(mgmt, "/admin/stats")
        found["figures"] = {
            "served_by_callers": load.served, "passed": sum(figures["passed"].values()),
            "refused_or_failed_by_callers": load.not_served,
            "dropped_and_bad_gateway": sum(
                sum(figures[name].values()) for name in ("dropped", "bad_gateway")
            ),
            "seen_by_servers": Counting.seen, "upstream_tries": figures["upstream_tries"],
            "in_progress": figures["in_progress"],
        }  # fmt: skip

        until = time.perf_counter() + seconds
        crowd = [asyncio.create_task(hostile(mgmt, until)) for _ in range(HOSTILE)]
        calls = await asked(mgmt, until)
        await asyncio.gather(*crowd)
        found[f"beside_{HOSTILE}_hostile"] = row(*calls)

        # Held up as a whole, every half second for 0.4 s: longer than any list or burst holds the loop.
        until = time.perf_counter() + seconds
        holds = asyncio.create_task(held_up(process, until))
        found["process_stopped_0.4_of_0.5_s"] = row(*await asked(mgmt, until))
        await holds
        await platform.close()
    for server in [discovery, *(server for server, _ in servers)]:
        server.close()
    return found


async def held_up(process: asyncio.subprocess.Process, until: float) -> None:
    """The harshest of hold-ups: no thread of the process runs. Held by signals to a process of our own."""
    while time.perf_counter() < until:
        os.kill(process.pid, signal.SIGSTOP)
        await asyncio.sleep(0.4)
        os.kill(process.pid, signal.SIGCONT)
        await asyncio.sleep(0.1)


def main() -> None:
    words = argparse.ArgumentParser(prog="python -m benchmarks.admin")
    words.add_argument("--seconds", type=float, default=10.0)
    found = asyncio.run(measure(words.parse_args().seconds))
    for name, value in found.items():
        print(f"{name:<32} {value}")
    print(json.dumps(found))


if __name__ == "__main__":
    main()
