"""Measures how bodies of 30 MiB delay short calls over the same link of the mesh, on loopback.

    python -m benchmarks.long_bodies [--rounds 3] [--calls 2000] [--bodies 4] [--mib 30] [--rate MB_PER_S]

One controller and two proxies run as processes; the only upstream of the service is local to the second
proxy. Calls with a body of 4 KiB are made one after another through the first proxy: alone, then while
``--bodies`` long bodies are sent over the same link at all times, as fast as possible or at a total of
``--rate``. The upstreams and the senders of long bodies run in a separate process. Prints the p50 and p99
latency of the short calls in milliseconds, medians of the rounds; the target is a p99 with long bodies of at
most 1.2 times that without. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, cast

import uvloop

from benchmarks.mesh_request import WARM_UP_CALLS, Calls
from rigs.fleet import HttpMessageProtocol, LoadResult, header_value
from rigs.mesh_demo import FIRST_CONTROLLER_HOST, FIRST_PROXY_HOST, ROOT, Mesh
from rigs.mesh_peers import Address, Client, Operator, Upstream, patch_body, poll_until, route

TARGET_RATIO = 1.2
START_TIMEOUT_S = 10.0
SHORT_BYTES = 4 * 1024
MEMORY_MB = 2000
SERVICE, OTHER_SERVICE = "asked", "not-asked"
SLICE_BYTES = 256 * 1024  # that a rate-limited sender writes at a time
HORIZON_MS = 60_000


class DiscardingUpstream(asyncio.Protocol):
    """An upstream that reads and discards bodies, and answers with the seal and the attempt id."""

    def __init__(self) -> None:
        """Starts without a request."""
        self._head = b""
        self._left = 0  # bytes of the body that have not arrived yet
        self._answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of a new connection."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answers each request once its body is complete."""
        while data:
            if not self._left:
                head, end, data = (self._head + data).partition(b"\r\n\r\n")
                if not end:
                    self._head = head
                    return
                self._head = b""
                self._left = int(header_value(head, b"content-length") or b"0")
                self._answer = (
                    b"HTTP/1.1 200 OK\r\nattempt-id: %b\r\nresponse-seal: 3e1b.07\r\n"
                    b"keep-alive: timeout=30\r\ncontent-length: 2\r\n\r\nok"
                    % header_value(head, b"attempt-id")
                )
            size = min(self._left, len(data))
            self._left -= size
            data = data[size:]
            if not self._left:
                self._transport.write(self._answer)


def request(size: int) -> bytes:
    """Returns the head of a request with a body of this size."""
    return (
        b"POST /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: %016x\r\ntime-remaining: %d\r\n"
        b"content-length: %d\r\n\r\n" % (time.time_ns(), HORIZON_MS, size)
    )


class ShortCaller(HttpMessageProtocol):
    """Makes calls with a body of 4 KiB, the next one after the answer to the last."""

    def __init__(self, calls: Calls) -> None:
        """``calls`` holds the number of calls that are left, and collects the results."""
        super().__init__()
        self._calls, self._sent, self._body = calls, 0.0, b"x" * SHORT_BYTES
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Makes the first call."""
        super().connection_made(transport)
        self._send_next()

    def _send_next(self) -> None:
        if self._calls.left <= 0:
            self.transport.close()
            return
        self._calls.left -= 1
        self._sent = time.perf_counter()
        self.transport.write(request(SHORT_BYTES) + self._body)

    def message(self, head: bytes, _body: bytes) -> None:
        """Records an answer and makes the next call."""
        if head.startswith(b"HTTP/1.1 200"):
            self._calls.latencies.append(time.perf_counter() - self._sent)
        else:
            self._calls.not_served += 1
        self._send_next()

    def connection_lost(self, _: Exception | None) -> None:
        """Ends after the last answer, or if the proxy closes the connection."""
        if not self.done.done():
            self.done.set_result(None)


async def short_calls(address: Address, count: int) -> LoadResult:
    """Makes calls one after another. Raises TimeoutError if they take more than 100 ms each on average."""
    calls, began = Calls(count), time.perf_counter()
    _, caller = await asyncio.get_running_loop().create_connection(lambda: ShortCaller(calls), *address)
    async with asyncio.timeout(5.0 + count * 0.1):
        await caller.done
    return LoadResult(len(calls.latencies), calls.not_served, time.perf_counter() - began, calls.latencies)


# The background process: upstreams, and senders of long bodies


class Senders:
    """Clients that send one long body after another."""

    def __init__(self, address: Address, size: int, rate: float) -> None:
        """``rate``: bytes per second of one sender; 0 for no limit."""
        self._address, self._rate, self._body = address, rate, b"b" * size
        self.statuses: dict[int, int] = {}
        self.ending = False

    async def run(self, count: int) -> None:
        """Runs this number of senders until ``ending`` is set."""
        await asyncio.gather(*(self._send() for _ in range(count)))

    async def _send(self) -> None:
        reader, writer = await asyncio.open_connection(*self._address)
        client = Client(reader, writer)
        while not self.ending:
            writer.write(request(len(self._body)))
            await self._write_body(writer)
            answer = await client.read(HORIZON_MS / 1000.0)
            status = answer.status if answer is not None else 0
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if answer is None:
                return
        writer.close()

    async def _write_body(self, writer: asyncio.StreamWriter) -> None:
        started = time.perf_counter()
        for start in range(0, len(self._body), SLICE_BYTES):
            writer.write(self._body[start : start + SLICE_BYTES])
            await writer.drain()
            ahead_s = start / self._rate - (time.perf_counter() - started) if self._rate else 0.0
            if ahead_s > 0.0:
                await asyncio.sleep(ahead_s)


async def run_background(ips: list[str]) -> None:
    """Runs the background process: starts an upstream on each IP address and prints the ports. Then a line of
    JSON on the standard input starts a load, and the next line ends it and prints its result."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(DiscardingUpstream, ip, 0) for ip in ips]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        options = json.loads(line)
        senders = Senders((options["host"], options["port"]), options["size"], options["rate"])
        load = loop.create_task(senders.run(options["bodies"]))
        started = time.perf_counter()
        await loop.run_in_executor(None, sys.stdin.readline)
        senders.ending = True
        await load
        seconds = time.perf_counter() - started
        print(json.dumps({"statuses": senders.statuses, "seconds": round(seconds, 2)}), flush=True)


class BackgroundProcess:
    """Controls the background process."""

    _process: asyncio.subprocess.Process
    ports: list[int]

    @classmethod
    async def start(cls, ips: list[str]) -> BackgroundProcess:
        """Starts the process with an upstream on each IP address."""
        process = cls()
        process._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "benchmarks.long_bodies", "--beside", *ips),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        process.ports = await process._read_line()
        return process

    async def _read_line(self) -> Any:
        assert self._process.stdout is not None
        return json.loads(await self._process.stdout.readline())

    async def _send_line(self, fields: dict[str, Any]) -> None:
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(fields).encode() + b"\n")
        await self._process.stdin.drain()

    async def begin(self, address: Address, bodies: int, size: int, rate: float) -> None:
        """Starts ``bodies`` clients that send bodies of ``size`` bytes, each ``rate`` bytes per second."""
        await self._send_line(
            {"host": address[0], "port": address[1], "bodies": bodies, "size": size, "rate": rate}
        )

    async def end(self) -> dict[str, Any]:
        """Ends the load and returns its result."""
        await self._send_line({})
        return cast(dict[str, Any], await self._read_line())

    async def stop(self) -> None:
        """Ends the process."""
        self._process.kill()
        await self._process.wait()


def _raise_memory_limit(mesh: Mesh) -> None:
    """Raises the memory limit of proxies, so that they can hold all bodies."""
    write = mesh.write_proxy_settings

    def write_with_limit(at: int, upstream: Upstream) -> Path:
        path = write(at, upstream)
        text = path.read_text()
        assert "memory_mb = 200" in text
        path.write_text(text.replace("memory_mb = 200", f"memory_mb = {MEMORY_MB}"))
        return path

    mesh.write_proxy_settings = write_with_limit  # type: ignore[method-assign]


async def _configure(mesh: Mesh) -> None:
    body = patch_body(
        route("read", "/read/", SERVICE, horizon_ms=HORIZON_MS, setpoint_ms=HORIZON_MS),
        services=(SERVICE, OTHER_SERVICE),
    )
    body["apply"]["input_limits"] = {
        "header_bytes": 16384,
        "body_bytes": 64 << 20,
        "header_lag_ms": 3000,
        "quiescent_ms": 15000,
        "epoch": "r1",
    }
    await Operator([mesh.control(FIRST_CONTROLLER_HOST)]).change(body, START_TIMEOUT_S)
    for at in range(2):

        async def serves(at: int = at) -> bool:
            try:
                return (await short_calls(mesh.outbound(FIRST_PROXY_HOST + at), 1)).served == 1
            except OSError:  # not listening yet
                return False

        await poll_until(serves, START_TIMEOUT_S)


async def run_round(folder: Path, args: argparse.Namespace) -> dict[str, Any]:
    """Starts the mesh, measures, and stops it."""
    mesh = Mesh.create(folder, 1, 2)
    _raise_memory_limit(mesh)
    background = await BackgroundProcess.start([f"{mesh.network}.{FIRST_PROXY_HOST + at}" for at in range(2)])
    try:
        await mesh.start_controller(0)
        for at, service in enumerate((OTHER_SERVICE, SERVICE)):
            upstream = Upstream(f"i-{at}", service, lambda _: "ok", capacity=64)
            upstream.address = (f"{mesh.network}.{FIRST_PROXY_HOST + at}", background.ports[at])
            await mesh.start_proxy(at, upstream)
        await _configure(mesh)
        address = mesh.outbound(FIRST_PROXY_HOST)
        await short_calls(address, WARM_UP_CALLS)
        alone = await short_calls(address, args.calls)
        rate = args.rate * 1e6 / args.bodies
        await background.begin(address, args.bodies, args.mib << 20, rate)
        await asyncio.sleep(0.5)
        loaded = await short_calls(address, args.calls)
        sent = await background.end()
        bodies = sum(sent["statuses"].values())
        return {
            "alone_p50_ms": alone.percentile_ms(0.5),
            "alone_p99_ms": alone.percentile_ms(0.99),
            "beside_p50_ms": loaded.percentile_ms(0.5),
            "beside_p99_ms": loaded.percentile_ms(0.99),
            "ratio_p99": loaded.percentile_ms(0.99) / alone.percentile_ms(0.99),
            "not_served": float(alone.not_served + loaded.not_served),
            "long_not_served": float(bodies - sent["statuses"].get("200", 0)),
            "long_mb_per_s": bodies * (args.mib << 20) / 1e6 / sent["seconds"],
        }
    except BaseException:
        print(mesh.log_tails())
        raise
    finally:
        await mesh.stop()
        await background.stop()


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--bodies", type=int, default=4)
    parser.add_argument("--mib", type=int, default=30)
    parser.add_argument(
        "--rate", type=float, default=0.0, help="total MB per second of long bodies; 0: no limit"
    )
    parser.add_argument("--beside", nargs="+", help=argparse.SUPPRESS)
    args = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        if args.beside:
            runner.run(run_background(args.beside))
            return
        rounds = []
        for _ in range(args.rounds):
            with tempfile.TemporaryDirectory() as folder:
                rounds.append(runner.run(run_round(Path(folder), args)))
            print({name: round(value, 3) for name, value in rounds[-1].items()}, flush=True)
    result: dict[str, Any] = {
        name: round(statistics.median(round_[name] for round_ in rounds), 3) for name in rounds[0]
    }
    result |= {
        "aim": TARGET_RATIO,
        "aim_met": result["ratio_p99"] <= TARGET_RATIO,
        "load_average": round(os.getloadavg()[0], 1),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
