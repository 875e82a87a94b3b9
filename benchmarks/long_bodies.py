"""What 30 MiB bodies do to short calls that cross the same link of the mesh, on loopback.

    python -m benchmarks.long_bodies [--rounds 3] [--calls 2000] [--bodies 4] [--mib 30] [--rate MB_PER_S]

One controller and two proxies run as processes; the only upstream of the service is beside the second. Calls
with a body of 4 KiB go one after another through the first proxy: alone, then while so many long bodies cross
the same link all the time, each as fast as it is taken or together at ``--rate``. Upstreams and the senders
of long bodies are a process of their own. Latency p50 and p99 of the short calls in milliseconds, medians of
the rounds; the aim is a p99 beside long bodies within 1.2 of that alone. The last line is JSON.
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
from rigs.mesh_peers import Address, Client, Operator, Upstream, patch_body, polled, route

AIM = 1.2
START_S = 10.0
SHORT_BYTES = 4 * 1024
MEMORY_MB = 2000
SERVICE, ELSEWHERE = "asked", "not-asked"
SLICE_BYTES = 256 * 1024  # that a paced sender writes at a time
HORIZON_MS = 60_000


class Drain(asyncio.Protocol):
    """An upstream that reads whole bodies, keeps nothing of them, and answers with seal and id."""

    def __init__(self) -> None:
        """Nothing has come yet."""
        self._head = b""
        self._left = 0  # bytes of a body still to come
        self._answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller is there."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answers each request whose body is whole."""
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
            taken = min(self._left, len(data))
            self._left -= taken
            data = data[taken:]
            if not self._left:
                self._transport.write(self._answer)


def request(size: int) -> bytes:
    """The head of a request with a body of so many bytes."""
    return (
        b"POST /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: %016x\r\ntime-remaining: %d\r\n"
        b"content-length: %d\r\n\r\n" % (time.time_ns(), HORIZON_MS, size)
    )


class ShortCaller(HttpMessageProtocol):
    """Calls with a body of 4 KiB, the next when the last answer has come."""

    def __init__(self, calls: Calls) -> None:
        """``calls`` has how many are left, and takes what is measured."""
        super().__init__()
        self._calls, self._sent, self._body = calls, 0.0, b"x" * SHORT_BYTES
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asks the first."""
        super().connection_made(transport)
        self._ask()

    def _ask(self) -> None:
        if self._calls.left <= 0:
            self.transport.close()
            return
        self._calls.left -= 1
        self._sent = time.perf_counter()
        self.transport.write(request(SHORT_BYTES) + self._body)

    def message(self, head: bytes, _body: bytes) -> None:
        """Measures an answer and asks the next."""
        if head.startswith(b"HTTP/1.1 200"):
            self._calls.latencies.append(time.perf_counter() - self._sent)
        else:
            self._calls.not_served += 1
        self._ask()

    def connection_lost(self, _: Exception | None) -> None:
        """All are answered, or the proxy has closed."""
        if not self.done.done():
            self.done.set_result(None)


async def short_calls(address: Address, count: int) -> LoadResult:
    """So many, one after another. Raises TimeoutError where they take more than 100 ms each."""
    calls, began = Calls(count), time.perf_counter()
    _, caller = await asyncio.get_running_loop().create_connection(lambda: ShortCaller(calls), *address)
    async with asyncio.timeout(5.0 + count * 0.1):
        await caller.done
    return LoadResult(len(calls.latencies), calls.not_served, time.perf_counter() - began, calls.latencies)


# The process beside: upstreams, and senders of long bodies


class Senders:
    """Clients that send one long body after another."""

    def __init__(self, address: Address, size: int, rate: float) -> None:
        """``rate``: bytes a second of one sender, 0 for as fast as they are taken."""
        self._address, self._rate, self._body = address, rate, b"b" * size
        self.statuses: dict[int, int] = {}
        self.ending = False

    async def run(self, count: int) -> None:
        """So many of them, until ``ending`` is set."""
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
        began = time.perf_counter()
        for start in range(0, len(self._body), SLICE_BYTES):
            writer.write(self._body[start : start + SLICE_BYTES])
            await writer.drain()
            ahead = start / self._rate - (time.perf_counter() - began) if self._rate else 0.0
            if ahead > 0.0:
                await asyncio.sleep(ahead)


async def beside(ips: list[str]) -> None:
    """Listens on each ip and prints the ports; then one line of JSON on the standard input begins a load, the
    next ends it and prints what it came to."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Drain, ip, 0) for ip in ips]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        told = json.loads(line)
        senders = Senders((told["host"], told["port"]), told["size"], told["rate"])
        load = loop.create_task(senders.run(told["bodies"]))
        began = time.perf_counter()
        await loop.run_in_executor(None, sys.stdin.readline)
        senders.ending = True
        await load
        seconds = time.perf_counter() - began
        print(json.dumps({"statuses": senders.statuses, "seconds": round(seconds, 2)}), flush=True)


class Beside:
    """That process, as the one that measures has it."""

    _process: asyncio.subprocess.Process
    ports: list[int]

    @classmethod
    async def start(cls, ips: list[str]) -> Beside:
        """Starts it with an upstream at each ip."""
        found = cls()
        found._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "benchmarks.long_bodies", "--beside", *ips),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        found.ports = await found._read()
        return found

    async def _read(self) -> Any:
        assert self._process.stdout is not None
        return json.loads(await self._process.stdout.readline())

    async def _say(self, told: dict[str, Any]) -> None:
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(told).encode() + b"\n")
        await self._process.stdin.drain()

    async def begin(self, address: Address, bodies: int, size: int, rate: float) -> None:
        """So many clients begin to send bodies of ``size`` bytes, each ``rate`` bytes a second."""
        await self._say(
            {"host": address[0], "port": address[1], "bodies": bodies, "size": size, "rate": rate}
        )

    async def end(self) -> dict[str, Any]:
        """They end; gives what they sent."""
        await self._say({})
        return cast(dict[str, Any], await self._read())

    async def stop(self) -> None:
        """Ends the process."""
        self._process.kill()
        await self._process.wait()


def _with_memory(mesh: Mesh) -> None:
    """Proxies with room for all bodies, whatever the usual file says."""
    write = mesh.write_proxy_settings

    def written(at: int, upstream: Upstream) -> Path:
        path = write(at, upstream)
        text = path.read_text()
        assert "memory_mb = 200" in text
        path.write_text(text.replace("memory_mb = 200", f"memory_mb = {MEMORY_MB}"))
        return path

    mesh.write_proxy_settings = written  # type: ignore[method-assign]


async def _take_up(mesh: Mesh) -> None:
    body = patch_body(
        route("read", "/read/", SERVICE, horizon_ms=HORIZON_MS, setpoint_ms=HORIZON_MS),
        services=(SERVICE, ELSEWHERE),
    )
    body["apply"]["input_limits"] = {
        "header_bytes": 16384,
        "body_bytes": 64 << 20,
        "header_lag_ms": 3000,
        "quiescent_ms": 15000,
        "epoch": "r1",
    }
    await Operator([mesh.control(FIRST_CONTROLLER_HOST)]).change(body, START_S)
    for at in range(2):

        async def serves(at: int = at) -> bool:
            try:
                return (await short_calls(mesh.outbound(FIRST_PROXY_HOST + at), 1)).served == 1
            except OSError:  # it does not listen yet
                return False

        await polled(serves, START_S)


async def one_round(folder: Path, given: argparse.Namespace) -> dict[str, Any]:
    """The mesh is started, measured and ended."""
    mesh = Mesh.create(folder, 1, 2)
    _with_memory(mesh)
    there = await Beside.start([f"{mesh.network}.{FIRST_PROXY_HOST + at}" for at in range(2)])
    try:
        await mesh.start_controller(0)
        for at, service in enumerate((ELSEWHERE, SERVICE)):
            upstream = Upstream(f"i-{at}", service, lambda _: "ok", capacity=64)
            upstream.address = (f"{mesh.network}.{FIRST_PROXY_HOST + at}", there.ports[at])
            await mesh.start_proxy(at, upstream)
        await _take_up(mesh)
        address = mesh.outbound(FIRST_PROXY_HOST)
        await short_calls(address, WARM_UP_CALLS)
        alone = await short_calls(address, given.calls)
        rate = given.rate * 1e6 / given.bodies
        await there.begin(address, given.bodies, given.mib << 20, rate)
        await asyncio.sleep(0.5)
        beside = await short_calls(address, given.calls)
        sent = await there.end()
        bodies = sum(sent["statuses"].values())
        return {
            "alone_p50_ms": alone.percentile_ms(0.5),
            "alone_p99_ms": alone.percentile_ms(0.99),
            "beside_p50_ms": beside.percentile_ms(0.5),
            "beside_p99_ms": beside.percentile_ms(0.99),
            "ratio_p99": beside.percentile_ms(0.99) / alone.percentile_ms(0.99),
            "not_served": float(alone.not_served + beside.not_served),
            "long_not_served": float(bodies - sent["statuses"].get("200", 0)),
            "long_mb_per_s": bodies * (given.mib << 20) / 1e6 / sent["seconds"],
        }
    except BaseException:
        print(mesh.log_tails())
        raise
    finally:
        await mesh.stop()
        await there.stop()


def main() -> None:
    """Reads the arguments, measures, prints."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--rounds", type=int, default=3)
    words.add_argument("--calls", type=int, default=2000)
    words.add_argument("--bodies", type=int, default=4)
    words.add_argument("--mib", type=int, default=30)
    words.add_argument("--rate", type=float, default=0.0, help="MB a second of all long bodies; 0: no bound")
    words.add_argument("--beside", nargs="+", help=argparse.SUPPRESS)
    given = words.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        if given.beside:
            runner.run(beside(given.beside))
            return
        rounds = []
        for _ in range(given.rounds):
            with tempfile.TemporaryDirectory() as folder:
                rounds.append(runner.run(one_round(Path(folder), given)))
            print({name: round(value, 3) for name, value in rounds[-1].items()}, flush=True)
    result: dict[str, Any] = {
        name: round(statistics.median(one[name] for one in rounds), 3) for name in rounds[0]
    }
    result |= {
        "aim": AIM,
        "aim_met": result["ratio_p99"] <= AIM,
        "load_average": round(os.getloadavg()[0], 1),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
