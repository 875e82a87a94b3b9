"""Measures the admin endpoint of a sidecar under load: python -m benchmarks.admin [--seconds N]

Measures the latency of /admin/stats while the sidecar serves as many requests as it can, during connections
from hostile clients, and while the process is paused by signals; the CPU time of ten calls per second; and
compares the reported statistics with what callers and upstream servers counted themselves.
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

HOSTILE_CLIENTS, CONNECTIONS = 200, 16
CALLS_PER_SECOND = 10.0


class CountingServer(fleet.OrderServer):
    """An upstream server that counts complete requests, for comparison with the reported statistics."""

    request_count = 0

    def message(self, head: bytes, body: bytes) -> None:
        CountingServer.request_count += 1
        super().message(head, body)


async def run_hostile_client(port: int, until: float) -> None:
    """Repeatedly connects and sends nothing, part of a request byte by byte, or a header of one megabyte."""
    attempt = 0
    while time.perf_counter() < until:
        attempt += 1
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            if attempt % 3 == 1:
                for byte in b"GET /adm":
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0.05)
            elif attempt % 3 == 2:
                writer.write(b"GET /admin/stats HTTP/1.1\r\nx: " + b"y" * 1_000_000)
            await asyncio.sleep(0.5)
            writer.transport.abort()
        except OSError:
            await asyncio.sleep(0.05)


async def call_stats(port: int, until: float) -> tuple[list[float], int]:
    """Returns the duration of each call in seconds, and the number of failed calls."""
    durations_s, failed = [], 0
    while time.perf_counter() < until:
        start = time.perf_counter()
        try:
            async with asyncio.timeout(5.0):
                status, _ = await call(port, "/admin/stats")
        except (OSError, TimeoutError, ValueError):
            status = 0
        failed += status != 200
        durations_s.append(time.perf_counter() - start)
        await asyncio.sleep(max(start + 1.0 / CALLS_PER_SECOND - time.perf_counter(), 0.0))
    return durations_s, failed


def summarize(durations_s: list[float], failed: int) -> dict[str, Any]:
    ranked = sorted(durations_s)
    return {
        "calls": len(ranked),
        "failed": failed,
        "p50_ms": round(ranked[len(ranked) // 2] * 1000.0, 2),
        "p99_ms": round(p99_ms(ranked), 2),
        "worst_ms": round(ranked[-1] * 1000.0, 2),
    }


async def measure(seconds: float) -> dict[str, Any]:
    servers = [await fleet.serve_on_loopback(CountingServer) for _ in range(4)]
    hosts = fleet.host_entries([port for _, port in servers])
    discovery, port = await fleet.serve_on_loopback(
        type("StaticDiscovery", (fleet.Discovery,), {"hosts": hosts})
    )
    data = {
        "name": "n1", "discovery": f"127.0.0.1:{port}", "seed": "7", "limits": {"sockets": 512},
        "known": {"seq": 1, "whole": True, "hosts": hosts}, "settings": fleet.SETTINGS,
    }  # fmt: skip
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(ROOT, Path(folder), data, blocking=False)
        process, admin_port = await platform.start()
        await platform.wait_for_log(process, "ready")
        sidecar = fleet.RunningSidecar(process, platform.port)
        cpu_before_s = sidecar.cpu_s()
        await call_stats(admin_port, time.perf_counter() + seconds)
        results["cpu_ms_a_second_of_10_calls"] = round((sidecar.cpu_s() - cpu_before_s) / seconds * 1000.0, 2)
        cpu_before_s = sidecar.cpu_s()
        await asyncio.sleep(seconds)
        results["cpu_ms_a_second_idle"] = round((sidecar.cpu_s() - cpu_before_s) / seconds * 1000.0, 2)

        until = time.perf_counter() + seconds
        load, calls = await asyncio.gather(
            fleet.closed_loop(platform.port, CONNECTIONS, seconds), call_stats(admin_port, until)
        )
        results["under_load"] = summarize(*calls) | {"requests_a_second": round(load.served / load.seconds)}
        await asyncio.sleep(0.6)
        _, figures = await call(admin_port, "/admin/stats")
        results["figures"] = {
            "served_by_callers": load.served, "passed": sum(figures["passed"].values()),
            "refused_or_failed_by_callers": load.not_served,
            "dropped_and_bad_gateway": sum(
                sum(figures[name].values()) for name in ("dropped", "bad_gateway")
            ),
            "seen_by_servers": CountingServer.request_count, "upstream_tries": figures["upstream_tries"],
            "in_progress": figures["in_progress"],
        }  # fmt: skip

        until = time.perf_counter() + seconds
        clients = [asyncio.create_task(run_hostile_client(admin_port, until)) for _ in range(HOSTILE_CLIENTS)]
        calls = await call_stats(admin_port, until)
        await asyncio.gather(*clients)
        results[f"beside_{HOSTILE_CLIENTS}_hostile"] = summarize(*calls)

        # Pauses of 0.4 s every half second, longer than any server list or burst blocks the event loop.
        until = time.perf_counter() + seconds
        pauses = asyncio.create_task(pause_repeatedly(process, until))
        results["process_stopped_0.4_of_0.5_s"] = summarize(*await call_stats(admin_port, until))
        await pauses
        await platform.close()
    for server in [discovery, *(server for server, _ in servers)]:
        server.close()
    return results


async def pause_repeatedly(process: asyncio.subprocess.Process, until: float) -> None:
    """Repeatedly stops and continues the whole process by signals, so that no thread of it runs."""
    while time.perf_counter() < until:
        os.kill(process.pid, signal.SIGSTOP)
        await asyncio.sleep(0.4)
        os.kill(process.pid, signal.SIGCONT)
        await asyncio.sleep(0.1)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.admin")
    parser.add_argument("--seconds", type=float, default=10.0)
    results = asyncio.run(measure(parser.parse_args().seconds))
    for name, value in results.items():
        print(f"{name:<32} {value}")
    print(json.dumps(results))


if __name__ == "__main__":
    main()
