"""Measures the cost of a call over both hops of the mesh, in a closed loop over loopback.

    python -m benchmarks.mesh_request [--rounds 3] [--calls 4000] [--profile]

One controller and two proxies run as processes; the only upstream of the service is local to the second
proxy. A call through the first proxy passes both (`two_hops`), a call through the second stays on one
machine (`one_hop`), and a `direct` call uses neither. Reported per call are the CPU of each process in
milliseconds (user and system, in kernel ticks of 10 ms, so use thousands of calls) and the p50 and p99
latency: with one call in flight, as on a machine that is mostly idle, and with eight, where one read and one
wake-up serve several calls. Values are medians of the rounds; the target is 0.8 ms for both proxies
together. The last line is JSON.

With --profile both proxies run in one thread of this process under cProfile, on the CPU clock of that
thread, and the most expensive functions of calls over two hops, one in flight, are printed.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import itertools
import json
import pstats
import statistics
import tempfile
import threading
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import uvloop

from mesh.data_plane.program import Proxy
from mesh.event_log.log import EventLog
from mesh.runtime.settings import Settings, parse_settings
from rigs.fleet import CLOCK_TICKS_PER_S, HttpMessageProtocol, LoadResult, header_value
from rigs.mesh_demo import FIRST_CONTROLLER_HOST, FIRST_PROXY_HOST, Mesh
from rigs.mesh_peers import Address, Operator, Upstream, patch_body, poll_until, route

TARGET_MS = 0.8
START_TIMEOUT_S = 10.0
IN_FLIGHT = (1, 8)
WARM_UP_CALLS = 400  # calls before the measurement, which establish links and connections
BODY = b"x" * 64
SERVICE, OTHER_SERVICE = "asked", "not-asked"
MAX_FUNCTIONS = 25


class SealingServer(HttpMessageProtocol):
    """An upstream that responds immediately, with the seal and the attempt id that a success needs."""

    def message(self, head: bytes, _body: bytes) -> None:
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nattempt-id: %b\r\nresponse-seal: 3e1b.07\r\nplant-load: 1,0,64\r\n"
            b"keep-alive: timeout=30\r\ncontent-length: %d\r\n\r\n%b"
            % (header_value(head, b"attempt-id"), len(BODY), BODY)
        )


@dataclass(slots=True)
class Calls:
    """The calls that a closed loop has left, and its results, with latencies in seconds."""

    left: int
    latencies: list[float] = field(default_factory=list)
    not_served: int = 0


class Caller(HttpMessageProtocol):
    """One connection of a closed loop, which sends the next call after the previous response."""

    def __init__(self, calls: Calls) -> None:
        super().__init__()
        self.calls, self.sent_at = calls, 0.0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._send_next()

    def _send_next(self) -> None:
        if self.calls.left <= 0:
            self.transport.close()
            return
        self.calls.left -= 1
        self.sent_at = time.perf_counter()
        self.transport.write(
            b"GET /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: %016x\r\ntime-remaining: 4000\r\n\r\n"
            % time.time_ns()
        )

    def message(self, head: bytes, _body: bytes) -> None:
        if head.startswith(b"HTTP/1.1 200"):
            self.calls.latencies.append(time.perf_counter() - self.sent_at)
        else:
            self.calls.not_served += 1
        self._send_next()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


async def closed_loop(address: Address, connections: int, count: int) -> LoadResult:
    """Makes ``count`` calls in all. Raises TimeoutError if they take more than 10 ms each on average."""
    loop, started, calls = asyncio.get_running_loop(), time.perf_counter(), Calls(count)
    callers = []
    for _ in range(connections):
        _, caller = await loop.create_connection(lambda: Caller(calls), *address)
        callers.append(caller)
    async with asyncio.timeout(5.0 + count * 0.01):
        await asyncio.gather(*(caller.done for caller in callers))
    return LoadResult(len(calls.latencies), calls.not_served, time.perf_counter() - started, calls.latencies)


def cpu_ms(pid: int) -> float:
    """Returns the user and system time of a process so far (proc(5), stat, fields 14 and 15)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000.0 / CLOCK_TICKS_PER_S


def cpu_per_call(before: dict[str, float], after: dict[str, float], calls: int) -> dict[str, float]:
    """Returns the milliseconds per call of each process, and of both proxies together."""
    by_process = {name: (after[name] - before[name]) / calls for name in before}
    return {**by_process, "both": sum(by_process.values())}


def medians(rounds: list[dict[str, float]]) -> dict[str, float]:
    return {name: round(statistics.median(result[name] for result in rounds), 3) for name in rounds[0]}


async def _wait_until_serving(mesh: Mesh, upstreams: list[Upstream]) -> None:
    """Configures the service and waits until both proxies serve its calls."""
    await Operator([mesh.control(FIRST_CONTROLLER_HOST)]).change(
        patch_body(route("read", "/read/", SERVICE), services=(SERVICE, OTHER_SERVICE)), START_TIMEOUT_S
    )

    for at in range(len(upstreams)):

        async def serves(at: int = at) -> bool:
            try:
                return (await closed_loop(mesh.outbound(FIRST_PROXY_HOST + at), 1, 1)).served == 1
            except OSError:  # the proxy does not listen yet
                return False

        await poll_until(serves, START_TIMEOUT_S)


async def _start_upstreams(mesh: Mesh) -> list[Upstream]:
    """Starts an upstream for each proxy. The first is of another service, so all calls go to the second."""
    found = []
    for at, service in enumerate((OTHER_SERVICE, SERVICE)):
        server = await asyncio.get_running_loop().create_server(
            SealingServer, f"{mesh.network}.{FIRST_PROXY_HOST + at}", 0
        )
        upstream = Upstream(f"i-{at}", service, lambda _: "ok", capacity=64)
        upstream.address = (f"{mesh.network}.{FIRST_PROXY_HOST + at}", server.sockets[0].getsockname()[1])
        found.append(upstream)
    return found


async def one_round(folder: Path, count: int) -> dict[str, dict[str, float]]:
    mesh = Mesh.create(folder, 1, 2)
    upstreams = await _start_upstreams(mesh)
    try:
        await mesh.start_controller(0)
        for at, upstream in enumerate(upstreams):
            await mesh.start_proxy(at, upstream)
        await _wait_until_serving(mesh, upstreams)
        pids = {"first": mesh.processes["proxy-0"].pid, "second": mesh.processes["proxy-1"].pid}
        idle = {name: cpu_ms(pid) for name, pid in pids.items()}
        await asyncio.sleep(1.0)
        idle_cost = cpu_per_call(idle, {name: cpu_ms(pid) for name, pid in pids.items()}, 1)
        found = {}
        addresses = {
            "two_hops": mesh.outbound(FIRST_PROXY_HOST),
            "one_hop": mesh.outbound(FIRST_PROXY_HOST + 1),
            "direct": upstreams[1].address,
        }
        for (name, address), connections in itertools.product(addresses.items(), IN_FLIGHT):
            await closed_loop(address, connections, WARM_UP_CALLS)
            before = {process: cpu_ms(pid) for process, pid in pids.items()}
            load = await closed_loop(address, connections, count)
            after = {process: cpu_ms(pid) for process, pid in pids.items()}
            found[f"{name}_{connections}"] = {
                **{f"{key}_cpu_ms": cost for key, cost in cpu_per_call(before, after, count).items()},
                "p50_ms": load.percentile_ms(0.5),
                "p99_ms": load.percentile_ms(0.99),
                "calls_per_s": count / load.seconds,
                "not_served": float(load.not_served),
            }
        found["idle"] = {"both_cpu_ms_per_s": idle_cost["both"]}
        return found
    except BaseException:
        print(mesh.log_tails())
        raise
    finally:
        await mesh.stop()


class ProfiledProxies:
    """Both proxies in one thread of this process, profiled from ``start_profile`` to ``stop``."""

    def __init__(self, settings: list[Settings]) -> None:
        self._settings = settings
        self.profile = cProfile.Profile(time.thread_time)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stop_event: asyncio.Event | None = None
        self.started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self._serve())

    async def _serve(self) -> None:
        self._loop, self._stop_event = asyncio.get_running_loop(), asyncio.Event()
        with tempfile.TemporaryFile("w") as log:
            proxies = [Proxy(settings, EventLog(settings.node, log)) for settings in self._settings]
            for proxy in proxies:
                await proxy.start()
            self.started.set()
            await self._stop_event.wait()

    def _call_in_thread(self, call: Callable[[], Any]) -> None:
        assert self._loop is not None
        done = threading.Event()

        def run() -> None:
            call()
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait()

    def start_profile(self) -> None:
        self._call_in_thread(self.profile.enable)

    def stop(self) -> None:
        self._call_in_thread(self.profile.disable)
        assert self._loop is not None and self._stop_event is not None
        self._loop.call_soon_threadsafe(self._stop_event.set)
        self._thread.join(5.0)


@asynccontextmanager
async def _profiled_proxies(mesh: Mesh, upstreams: list[Upstream]) -> AsyncIterator[ProfiledProxies]:
    settings = []
    for at, upstream in enumerate(upstreams):
        found = parse_settings(mesh.write_proxy_settings(at, upstream).read_text())
        assert isinstance(found, Settings), found
        settings.append(found)
    proxies = ProfiledProxies(settings)
    proxies.started.wait(START_TIMEOUT_S)
    for at, upstream in enumerate(upstreams):
        mesh.start_heartbeats(at, upstream)
    try:
        yield proxies
    finally:
        proxies.stop()


async def profile_calls(folder: Path, count: int) -> cProfile.Profile:
    """Returns the profile of ``count`` calls over two hops."""
    mesh = Mesh.create(folder, 1, 2)
    upstreams = await _start_upstreams(mesh)
    try:
        await mesh.start_controller(0)
        async with _profiled_proxies(mesh, upstreams) as proxies:
            await _wait_until_serving(mesh, upstreams)
            await closed_loop(mesh.outbound(FIRST_PROXY_HOST), 1, WARM_UP_CALLS)
            proxies.start_profile()
            await closed_loop(mesh.outbound(FIRST_PROXY_HOST), 1, count)
        return proxies.profile
    finally:
        await mesh.stop()


Stats = dict[tuple[str, int, str], tuple[int, int, float, float, dict[tuple[str, int, str], Any]]]


def stats_of(profile: cProfile.Profile) -> Stats:
    return cast(Stats, pstats.Stats(profile).stats)  # type: ignore[attr-defined]


def short_path(file: str) -> str:
    return "/".join(file.split("/")[-3:])


def by_file(stats: Stats, calls: int) -> dict[str, float]:
    """Returns the microseconds per call of each source file. Time in C functions counts for the caller."""
    found: dict[str, float] = defaultdict(float)
    for (file, _, _), (_, _, own, _, callers) in stats.items():
        if file != "~":
            found[short_path(file)] += own / calls * 1e6
            continue
        for (caller, _, _), (_, _, caller_share, _) in callers.items():
            found[short_path(caller)] += caller_share / calls * 1e6
    ranked = sorted(found.items(), key=lambda item: -item[1])
    return {file: round(cost, 1) for file, cost in ranked if cost >= 1.0}


def by_function(stats: Stats, calls: int) -> list[dict[str, Any]]:
    """Returns the functions with the highest own time, in microseconds per call."""
    rows = []
    for (file, line, name), (_, times, own, cumulative, _) in stats.items():
        rows.append(
            {
                "function": f"{short_path(file)}:{line} {name}",
                "times": round(times / calls, 2),
                "own_us": round(own / calls * 1e6, 2),
                "whole_us": round(cumulative / calls * 1e6, 2),
            }
        )
    return sorted(rows, key=lambda row: -cast(float, row["own_us"]))[:MAX_FUNCTIONS]


def run(work: Callable[[Path], Awaitable[Any]]) -> Any:
    async def bounded() -> Any:
        with tempfile.TemporaryDirectory() as folder:
            return await work(Path(folder))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--calls", type=int, default=4000)
    parser.add_argument("--profile", action="store_true")
    args = parser.parse_args()
    if args.profile:
        stats = stats_of(run(lambda folder: profile_calls(folder, args.calls)))
        rows, files = by_function(stats, args.calls), by_file(stats, args.calls)
        for row in rows:
            print(f"{row['own_us']:8.2f} {row['whole_us']:9.2f} us {row['times']:7.2f} x  {row['function']}")
        for file, cost in files.items():
            print(f"{cost:8.1f} us  {file}")
        print(json.dumps({"functions": rows, "files": files}))
        return
    rounds = []
    for _ in range(args.rounds):
        rounds.append(run(lambda folder: one_round(folder, args.calls)))
        print(
            {name: {k: round(v, 3) for k, v in found.items()} for name, found in rounds[-1].items()},
            flush=True,
        )
    result: dict[str, Any] = {
        name: medians([one_result[name] for one_result in rounds]) for name in rounds[0]
    }
    result["aim_ms"] = TARGET_MS
    result["aim_met"] = max(result[f"two_hops_{n}"]["both_cpu_ms"] for n in IN_FLIGHT) <= TARGET_MS
    print(json.dumps(result))


if __name__ == "__main__":
    main()
