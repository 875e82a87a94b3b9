"""A real sidecar as a process between stand-ins: order servers, discovery, and a client in a closed loop.

The stand-ins speak the HTTP/1.1 of the protocol page in its plainest form, with fixed framing and no parser
of the project's own, so that a benchmark measures the sidecar and not them.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

START_S = 10.0  # how long a sidecar may take to say that it listens
ANSWER_S = 5.0  # longer than any class's deadline here: an answer later than this will not come
TICKS = os.sysconf("SC_CLK_TCK")

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "sale", "promise-ms": 400.0, "give-up-ms": 1200.0, "idempotency": "single_shot"},
        {
            "name": "listing",
            "promise-ms": 750.0,
            "give-up-ms": 4000.0,
            "late-share": 0.5,
            "idempotency": "guarded",
            "key-scope": "cell",
            "window-ms": 8000.0,
        },
    ],
    "discovery": "ask",
    "limits": {
        "connect-timeout-ms": 200.0,
        "keepalive-ms": 5000.0,
        "max-attempts": 4,
        "may-cancel": True,
        "second-copies": True,
        "retry-after": True,
        "max-retry-after-ms": 2000.0,
    },
    "rules": {"answer-slack-ms": 20.0, "cold-from": 0.3, "cold-ms": 900.0, "drain-grace-ms": 2000.0},
    "tick-ms": 5.0,
}


def head_value(head: bytes, name: bytes) -> bytes:
    """The value of a header in a head that the stand-ins or the sidecar wrote; empty where there is none."""
    found = re.search(rb"\r\n" + name + rb": *([^\r]*)", head, re.IGNORECASE)
    return found[1] if found else b""


class HttpMessages(asyncio.Protocol):
    """Cuts a stream into messages of a head and a body of Content-Length."""

    def __init__(self) -> None:
        """Nothing has come yet."""
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to answer on."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Hand on each message that is whole."""
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.buffer[:end]
            whole = end + 4 + int(head_value(head, b"content-length") or b"0")
            if len(self.buffer) < whole:
                return
            body, self.buffer = self.buffer[end + 4 : whole], self.buffer[whole:]
            self.message(head, body)

    def message(self, head: bytes, body: bytes) -> None:
        """A message has come whole."""
        raise NotImplementedError


class OrderServer(HttpMessages):
    """Answers every request at once with a body of 64 bytes."""

    def message(self, head: bytes, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n" + b"x" * 64)


class Discovery(HttpMessages):
    """Answers a call for the list at once, and a watch after its wait with no changes."""

    hosts: list[dict[str, Any]] = []

    def message(self, head: bytes, body: bytes) -> None:
        wait = re.search(rb"wait_ms=(\d+)", head)
        hosts = [] if wait else self.hosts
        data = json.dumps({"seq": 1, "whole": not wait, "hosts": hosts}).encode()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(data) + data
        delay = int(wait[1]) / 1000.0 if wait else 0.0
        asyncio.get_running_loop().call_later(delay, self._answer, answer)

    def _answer(self, answer: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(answer)


class Caller(HttpMessages):
    """One connection of a closed loop: the next request goes out when the last answer has come."""

    def __init__(self, name: str, until: float, latencies: list[float], others: list[int]) -> None:
        super().__init__()
        self.name, self.until, self.latencies, self.others = name, until, latencies, others
        self.count, self.sent = 0, 0.0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._ask()

    def _ask(self) -> None:
        self.count += 1
        self.sent = time.perf_counter()
        klass, key = (
            (b"sale", b"") if self.count % 3 else (b"listing", b"idempotency-key: k-%d\r\n" % self.count)
        )
        self.transport.write(
            b"POST /api HTTP/1.1\r\nhost: api.internal\r\n"
            b"x-correlation-id: %s-%d\r\nx-service-class: %s\r\n%s"
            b"x-time-left-ms: 1000\r\ncontent-length: 200\r\n\r\n"
            % (self.name.encode(), self.count, klass, key)
            + b"b" * 200
        )

    def message(self, head: bytes, body: bytes) -> None:
        now = time.perf_counter()
        if head.startswith(b"HTTP/1.1 200"):
            self.latencies.append(now - self.sent)
        else:
            self.others[0] += 1
        if now < self.until:
            self._ask()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


@dataclass(frozen=True, slots=True)
class Load:
    """What a closed loop saw: calls served, others (refused or failed), seconds, latencies in seconds."""

    served: int
    others: int
    seconds: float
    latencies: list[float]

    def percentile_ms(self, share: float) -> float:
        ranked = sorted(self.latencies)
        return ranked[min(int(share * len(ranked)), len(ranked) - 1)] * 1000.0


async def closed_loop(port: int, connections: int, seconds: float) -> Load:
    """Ask over so many connections, one request at a time on each, for so many seconds."""
    loop, start = asyncio.get_running_loop(), time.perf_counter()
    latencies: list[float] = []
    others = [0]
    callers = []
    for number in range(connections):
        _, caller = await loop.create_connection(
            lambda n=number: Caller(f"c{n}-{time.time_ns()}", start + seconds, latencies, others),  # type: ignore[misc]
            "127.0.0.1",
            port,
        )
        callers.append(caller)
    async with asyncio.timeout(seconds + ANSWER_S):
        await asyncio.gather(*(caller.done for caller in callers))
    return Load(len(latencies), others[0], time.perf_counter() - start, latencies)


class NoStart(Exception):
    """The sidecar ended before it listened; what it said."""


@dataclass(frozen=True, slots=True)
class Running:
    """A sidecar that runs as a process, and how much of the machine it has used."""

    process: asyncio.subprocess.Process
    port: int

    async def said_port(self) -> int:
        """The port of the next listener that the log tells of."""
        assert self.process.stderr is not None
        async with asyncio.timeout(START_S):
            while line := await self.process.stderr.readline():
                if found := re.search(rb"listening .*:(\d+)$", line.strip()):
                    return int(found[1])
        raise RuntimeError("the sidecar ended before it listened")

    def cpu_s(self) -> float:
        """User and system time of the process so far (proc(5), stat, fields 14 and 15)."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def peak_mb(self) -> float:
        """The largest resident size so far (proc(5), status, VmHWM)."""
        found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{self.process.pid}/status").read_text())
        return int(found[1]) / 1024.0 if found else 0.0


async def serve_on_loopback(protocol: type[asyncio.Protocol]) -> tuple[asyncio.Server, int]:
    server = await asyncio.get_running_loop().create_server(protocol, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def hosts_of(ports: list[int]) -> list[dict[str, Any]]:
    """Discovery's entries for servers on these ports, two to a cell."""
    return [
        {
            "host": f"s-{number}",
            "dial": f"127.0.0.1:{port}",
            "site": "a",
            "class": "std",
            "block": number // 2,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
        }
        for number, port in enumerate(ports)
    ]


def end_with_parent() -> None:
    """In the child: be killed when its parent ends, also where that is killed itself (prctl(2),
    PR_SET_PDEATHSIG). Nothing is left running, whatever happened."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@asynccontextmanager
async def sidecar(
    checkout: Path, hosts: list[dict[str, Any]], discovery_port: int, *arguments: str
) -> AsyncIterator[Running]:
    """The program of a checkout with the settings of these stand-ins, as ``program`` runs it."""
    data = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": SETTINGS,
    }
    async with program(checkout, json.dumps(data), *arguments) as running:
        yield running


@asynccontextmanager
async def program(
    checkout: Path, config: str, *arguments: str, environ: Mapping[str, str] | None = None
) -> AsyncIterator[Running]:
    """A sidecar with this text as its JSON, started and waited for; it is killed at the end. Raises
    NoStart, with what it said, where it ends before it listens."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(config)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "anisestair", *arguments),
            cwd=checkout,
            env={"BALANCER_CONFIG": str(file)} | dict(environ or {}),
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
        assert process.stderr is not None
        try:
            async with asyncio.timeout(START_S):
                said = b""
                while (found := re.search(rb"listening on 127\.0\.0\.1:(\d+)", said)) is None:
                    line = await process.stderr.readline()
                    if not line:
                        raise NoStart(said.decode(errors="replace").strip())
                    said += line
            yield Running(process, int(found[1]))
        finally:
            if process.returncode is None:
                process.kill()
            await process.communicate()
