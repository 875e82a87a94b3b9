"""Runs a real sidecar as a process between simulated order servers, discovery and a closed-loop client.

The simulated peers speak minimal HTTP/1.1 with fixed framing and do not use the project's own parser, so a
benchmark measures the sidecar and not them.
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

START_TIMEOUT_S = 10.0  # until a sidecar logs that it listens
RESPONSE_TIMEOUT_S = (
    5.0  # longer than the deadline of any request class here, so a later response never comes
)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

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


def header_value(head: bytes, name: bytes) -> bytes:
    """Returns the value of a header in a message head written by the simulated peers or the sidecar, empty if
    the header is missing."""
    found = re.search(rb"\r\n" + name + rb": *([^\r]*)", head, re.IGNORECASE)
    return found[1] if found else b""


class HttpMessageProtocol(asyncio.Protocol):
    """Splits a stream into messages: a head and a body of Content-Length bytes."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, on which responses are sent."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Passes each complete message to ``message``."""
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.buffer[:end]
            message_end = end + 4 + int(header_value(head, b"content-length") or b"0")
            if len(self.buffer) < message_end:
                return
            body, self.buffer = self.buffer[end + 4 : message_end], self.buffer[message_end:]
            self.message(head, body)

    def message(self, head: bytes, body: bytes) -> None:
        """Handles a complete message."""
        raise NotImplementedError


class OrderServer(HttpMessageProtocol):
    """Responds to every request immediately with a body of 64 bytes."""

    def message(self, head: bytes, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n" + b"x" * 64)


class Discovery(HttpMessageProtocol):
    """Responds to a list request immediately, and to a watch with no changes after its wait time."""

    hosts: list[dict[str, Any]] = []

    def message(self, head: bytes, body: bytes) -> None:
        wait = re.search(rb"wait_ms=(\d+)", head)
        hosts = [] if wait else self.hosts
        data = json.dumps({"seq": 1, "whole": not wait, "hosts": hosts}).encode()
        response = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(data) + data
        delay = int(wait[1]) / 1000.0 if wait else 0.0
        asyncio.get_running_loop().call_later(delay, self._respond, response)

    def _respond(self, response: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(response)


class Caller(HttpMessageProtocol):
    """One connection of a closed loop, which sends the next request after the previous response."""

    def __init__(self, name: str, until: float, latencies: list[float], not_served: list[int]) -> None:
        super().__init__()
        self.name, self.until, self.latencies, self.not_served = name, until, latencies, not_served
        self.count, self.sent_at = 0, 0.0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._send_request()

    def _send_request(self) -> None:
        self.count += 1
        self.sent_at = time.perf_counter()
        request_class, key = (
            (b"sale", b"") if self.count % 3 else (b"listing", b"idempotency-key: k-%d\r\n" % self.count)
        )
        self.transport.write(
            b"POST /api HTTP/1.1\r\nhost: api.internal\r\n"
            b"x-correlation-id: %s-%d\r\nx-service-class: %s\r\n%s"
            b"x-time-left-ms: 1000\r\ncontent-length: 200\r\n\r\n"
            % (self.name.encode(), self.count, request_class, key)
            + b"b" * 200
        )

    def message(self, head: bytes, body: bytes) -> None:
        now = time.perf_counter()
        if head.startswith(b"HTTP/1.1 200"):
            self.latencies.append(now - self.sent_at)
        else:
            self.not_served[0] += 1
        if now < self.until:
            self._send_request()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of a closed loop: counts of calls, the duration and the latencies in seconds."""

    served: int
    not_served: int  # refused or failed
    seconds: float
    latencies: list[float]

    def percentile_ms(self, share: float) -> float:
        ranked = sorted(self.latencies)
        return ranked[min(int(share * len(ranked)), len(ranked) - 1)] * 1000.0


async def closed_loop(port: int, connections: int, seconds: float) -> LoadResult:
    """Sends one request at a time on each of ``connections`` connections for ``seconds``."""
    loop, start = asyncio.get_running_loop(), time.perf_counter()
    latencies: list[float] = []
    not_served = [0]
    callers = []
    for number in range(connections):
        _, caller = await loop.create_connection(
            lambda n=number: Caller(f"c{n}-{time.time_ns()}", start + seconds, latencies, not_served),  # type: ignore[misc]
            "127.0.0.1",
            port,
        )
        callers.append(caller)
    async with asyncio.timeout(seconds + RESPONSE_TIMEOUT_S):
        await asyncio.gather(*(caller.done for caller in callers))
    return LoadResult(len(latencies), not_served[0], time.perf_counter() - start, latencies)


class StartError(Exception):
    """The sidecar exited before it listened; the message is its log output."""


@dataclass(frozen=True, slots=True)
class RunningSidecar:
    """A running sidecar process and its resource usage."""

    process: asyncio.subprocess.Process
    port: int

    async def next_listener_port(self) -> int:
        """Returns the port of the next listener in the log."""
        assert self.process.stderr is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := await self.process.stderr.readline():
                if found := re.search(rb"listening .*:(\d+)$", line.strip()):
                    return int(found[1])
        raise RuntimeError("the sidecar exited before it listened")

    def cpu_s(self) -> float:
        """Returns the user and system time of the process so far (proc(5), stat, fields 14 and 15)."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def peak_mb(self) -> float:
        """Returns the peak resident size so far (proc(5), status, VmHWM)."""
        found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{self.process.pid}/status").read_text())
        return int(found[1]) / 1024.0 if found else 0.0


async def serve_on_loopback(protocol: type[asyncio.Protocol]) -> tuple[asyncio.Server, int]:
    server = await asyncio.get_running_loop().create_server(protocol, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def host_entries(ports: list[int]) -> list[dict[str, Any]]:
    """Returns discovery entries for servers on these ports, two per cell."""
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


def kill_with_parent() -> None:
    """Has the calling child process killed when its parent exits, even if the parent is killed (prctl(2),
    PR_SET_PDEATHSIG), so that no process is left running."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@asynccontextmanager
async def run_sidecar(
    checkout: Path, hosts: list[dict[str, Any]], discovery_port: int, *arguments: str
) -> AsyncIterator[RunningSidecar]:
    """Runs the sidecar of a checkout with ``SETTINGS``, as ``run_program`` does."""
    data = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": SETTINGS,
    }
    async with run_program(checkout, json.dumps(data), *arguments) as running:
        yield running


@asynccontextmanager
async def run_program(
    checkout: Path, config: str, *arguments: str, environ: Mapping[str, str] | None = None
) -> AsyncIterator[RunningSidecar]:
    """Runs a sidecar with this text as its JSON configuration, waits until it listens and kills it at the
    end. Raises StartError with its log output if it exits before it listens."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(config)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "anisestair", *arguments),
            cwd=checkout,
            env={"BALANCER_CONFIG": str(file)} | dict(environ or {}),
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=kill_with_parent,
        )
        assert process.stderr is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                log = b""
                while (found := re.search(rb"listening on 127\.0\.0\.1:(\d+)", log)) is None:
                    line = await process.stderr.readline()
                    if not line:
                        raise StartError(log.decode(errors="replace").strip())
                    log += line
            yield RunningSidecar(process, int(found[1]))
        finally:
            if process.returncode is None:
                process.kill()
            await process.communicate()
