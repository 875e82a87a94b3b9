"""What surrounds the mesh, for its tests: upstreams of the protocol page that fail as they are told, a client
that sends requests one behind another, an operator, and the settings files of both programs.

Also a loop whose clock can be moved on, so that a test of seconds takes none.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, TypeVar

import httptools

from anisestair.http import codec as http

Address = tuple[str, int]
T = TypeVar("T")

PATIENCE_S = 5.0  # how long is waited for what has to come
STEP_S = 2.0  # and for what this process has in hand; no deadline of a call here is as short
POLL_S = 0.03  # between two looks at another process, which raises no event here
MOST_BODY = 16 * 1024 * 1024

# What an upstream may do with a request. Those of NOT_RUN do not begin work on it.
GOOD = frozenset({"ok", "hold", "twice", "late", "stray", "strays"})  # the right answer is there
BROKEN = frozenset({"cut", "reset", "garbage"})
OWN = frozenset({"500", "503", "429"})  # answers of its own that are no success
WAYS = GOOD | BROKEN | OWN | {"unsealed", "unnamed", "full", "421"}
NOT_RUN = frozenset({"full", "421"})
STRAYS = 6  # answers to others of one call that gets so many


class MovedLoop(asyncio.SelectorEventLoop):
    """Its clock can be moved on; what is due by then happens at once, in its order."""

    moved = 0.0

    def time(self) -> float:
        return super().time() + self.moved

    def move(self, seconds: float) -> None:
        self.moved += seconds


def play(test: Callable[[], Awaitable[None]], within_s: float = 60.0) -> None:
    """Runs a test's coroutine on a MovedLoop; raises TimeoutError after ``within_s`` of its clock."""

    async def bounded() -> None:
        await asyncio.wait_for(test(), within_s)

    with asyncio.Runner(loop_factory=MovedLoop) as runner:
        runner.run(bounded())


def move(seconds: float) -> None:
    """Moves on the clock of the loop that runs."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, MovedLoop)
    loop.move(seconds)


async def soon(awaited: Awaitable[T]) -> T:
    """Raises TimeoutError where it takes longer than PATIENCE_S."""
    return await asyncio.wait_for(awaited, PATIENCE_S)


async def until(true: Callable[[], bool], within_s: float = STEP_S) -> None:
    """Until something in this process holds, looked at after each round of the loop."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + within_s
    while not true():
        if loop.time() > ends:
            raise TimeoutError("it did not come to hold")
        await asyncio.sleep(0)


async def turns() -> None:
    """Some rounds of the loop: what is due now happens."""
    for _ in range(20):
        await asyncio.sleep(0)


async def read_message(reader: http.Reader, stream: asyncio.StreamReader) -> http.Message | None:
    """The next message of a connection; None at its end, or where it breaks."""
    while True:
        if reader._whole:
            return reader._whole.pop(0)
        try:
            data = await stream.read(65536)
        except ConnectionError:
            return None
        if data:
            reader.feed(data)
        else:
            reader.end()
            return reader._whole.pop(0) if reader._whole else None


class Upstream:
    """One life of an upstream. ``way`` says what it does with a request (one of WAYS); ``runs`` counts by
    Attempt-Id what it began to work on, over all that share it. Requests that are held go on at ``release``.
    """

    def __init__(
        self,
        instance: str = "i-1",
        service: str = "s",
        way: Callable[[http.Message], str] = lambda _: "ok",
        runs: Counter[str] | None = None,
        capacity: int = 8,
        keep_alive: str = "",
    ) -> None:
        self.instance, self.service, self.way, self.capacity = instance, service, way, capacity
        self.runs: Counter[str] = Counter() if runs is None else runs
        self.keep_alive = keep_alive  # the header's value, where it has one
        self.seen: list[http.Message] = []
        self.comes: asyncio.Queue[http.Message] = asyncio.Queue()  # each request, as it comes
        self.release = asyncio.Event()
        self.opened = 0  # connections so far
        self.address: Address = ("", 0)
        self.samples = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._connected, ip, port)
        self.address = (ip, self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        self._server.close()
        self.drop_all()

    def drop_all(self) -> None:
        """Every connection breaks."""
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def open(self) -> int:
        """Connections that are open now."""
        return len(self._writers)

    def say(self, data: bytes) -> None:
        """Bytes that nobody asked for, on every connection."""
        for writer in self._writers:
            writer.write(data)

    # Its calls to the sidecar beside it

    def beat(self, state: str = "settled") -> bytes:
        """The body of the next beat."""
        self.samples += 1
        told = {
            "plant": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z",
            "epoch": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmup_left_ms": 0,
            "sample_count": self.samples,
        }
        return json.dumps(told).encode()

    async def tell(self, control: Address, state: str = "settled") -> int:
        """One beat; gives the answer's status, 0 where none comes."""
        return (await call(control, b"PUT", b"/instances/" + self.instance.encode(), self.beat(state)))[0]

    # Requests

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self._writers.add(writer)
        messages = http.Reader(httptools.HttpRequestParser, MOST_BODY)
        try:
            while (message := await read_message(messages, reader)) is not None:
                self.seen.append(message)
                self.comes.put_nowait(message)
                if not await self._serve(message, reader, writer):
                    break
        except (ConnectionError, http.BadMessage, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _released(self, reader: asyncio.StreamReader) -> bool:
        """Whether it came to that; False where the connection ended first, and the request with it."""
        ends = asyncio.ensure_future(reader.read(1))
        free = asyncio.ensure_future(self.release.wait())
        await asyncio.wait({ends, free}, return_when=asyncio.FIRST_COMPLETED)
        released = free.done()
        ends.cancel()
        free.cancel()
        await asyncio.wait({ends, free})
        return released

    async def _serve(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Whether the connection goes on."""
        way, attempt = self.way(message), message.get(b"attempt-id") or ""
        assert way in WAYS, way
        named = message.get(b"target-instance")
        if named not in (None, self.instance):
            way = "421"
        if way not in NOT_RUN:
            self.runs[attempt] += 1
        if way == "reset" or way == "hold" and not await self._released(reader):
            return False
        good = self.answer(message)
        if way == "garbage":
            writer.write(b"\x16\x03\x01 no answer\r\n\r\n")
        elif way == "cut":
            writer.write(good[:-1])
            await writer.drain()
            writer.write_eof()
            return False
        elif way == "twice":
            writer.write(good + good)
        elif way == "late":  # one answer too many, in the place of the next one
            writer.write(good)
            await writer.drain()
            writer.write(good)
        elif way in ("stray", "strays"):
            other = self.answer(message, attempt="f" * 16)
            writer.write(other * (STRAYS if way == "strays" else 1) + good)
        else:
            writer.write(self._plain(way, message, attempt) if way not in ("ok", "hold") else good)
        await writer.drain()
        return True

    def answer(self, message: http.Message, attempt: str | None = None) -> bytes:
        """The good one, whole; a body of the request's own and this upstream's name."""
        told = (message.get(b"attempt-id") or "") if attempt is None else attempt
        return self._write(200, told, self.body(message), seal="3e1b.07")

    def body(self, message: http.Message) -> bytes:
        return self.instance.encode() + b":" + message.target + b":" + message.body

    def _plain(self, way: str, message: http.Message, attempt: str) -> bytes:
        if way == "unsealed":
            return self._write(200, attempt, self.body(message))
        if way == "unnamed":
            return self._write(200, "", self.body(message), seal="3e1b.07")
        if way == "full":
            return self._write(503, attempt, b"", marks=[(b"not-executed", b"1")])
        return self._write(int(way), attempt, b"own words")

    def _write(
        self, status: int, attempt: str, body: bytes, seal: str = "", marks: http.Headers | None = None
    ) -> bytes:
        headers: http.Headers = list(marks or [])
        if attempt:
            headers.append((b"attempt-id", attempt.encode()))
        if seal:
            headers.append((b"response-seal", seal.encode()))
        if self.keep_alive:
            headers.append((b"keep-alive", self.keep_alive.encode()))
        headers.append((b"plant-load", b"1,0,%d" % self.capacity))
        return http.write_response(status, headers, body, close=False)


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._stream, self._writer = reader, writer
        self._reader = http.Reader(httptools.HttpResponseParser, MOST_BODY)

    @staticmethod
    async def to(address: Address) -> Client:
        """Raises OSError where it cannot be had."""
        return Client(*await soon(asyncio.open_connection(*address)))

    def send(
        self,
        attempt: str,
        path: str = "/read/x",
        left_ms: int = 4000,
        headers: http.Headers | None = None,
        body: bytes = b"",
        chunks: Sequence[bytes] = (),
        host: str = "h.example",
    ) -> None:
        """One request, behind those that are not answered yet; in ``chunks``, where there are some."""
        head: http.Headers = [(b"host", host.encode()), (b"attempt-id", attempt.encode())]
        if left_ms:
            head.append((b"time-remaining", b"%d" % left_ms))
        head += headers or []
        method = b"POST" if body or chunks else b"GET"
        if not chunks:
            self.write(http.write_request(method, path.encode(), head, body))
            return
        lines = [b"%s %s HTTP/1.1" % (method, path.encode()), *[b"%s: %s" % item for item in head]]
        lines.append(b"transfer-encoding: chunked\r\n\r\n")
        self.write(b"\r\n".join(lines) + b"".join(http.chunk(part) for part in chunks) + http.LAST_CHUNK)

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def read(self) -> http.Message | None:
        """The next answer; None where the connection ends first."""
        return await soon(read_message(self._reader, self._stream))

    async def ask(self, attempt: str, path: str = "/read/x", **fields: Any) -> http.Message:
        self.send(attempt, path, **fields)
        answer = await self.read()
        assert answer is not None, "the connection ended without an answer"
        return answer

    def leave(self) -> None:
        self._writer.transport.abort()


async def call(
    address: Address, method: bytes, path: bytes, body: bytes = b"", within_s: float = PATIENCE_S
) -> tuple[int, bytes]:
    """One call on a connection of its own; its status and body, 0 and nothing where no answer comes."""
    try:
        async with asyncio.timeout(within_s):
            stream, writer = await asyncio.open_connection(*address)
            try:
                head = [(b"host", b"control"), (b"content-type", b"application/json")]
                writer.write(http.write_request(method, path, head, body))
                reader = http.Reader(httptools.HttpResponseParser, MOST_BODY)
                answer = await read_message(reader, stream)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0, b""
    return (answer.status, answer.body) if answer is not None else (0, b"")


async def polled(look: Callable[[], Awaitable[bool]], within_s: float) -> None:
    """Until another process is as ``look`` wants it; raises TimeoutError."""
    async with asyncio.timeout(within_s):
        while not await look():
            await asyncio.sleep(POLL_S)


class Operator:
    """Changes the configuration and reads it back, at any of the processes that take its calls."""

    def __init__(self, addresses: Sequence[Address]) -> None:
        self.addresses = list(addresses)

    async def change(self, body: Mapping[str, Any], within_s: float = 10.0) -> None:
        """Sent, exactly as it was, to one after another until it is taken. Raises TimeoutError; an answer of
        4xx is an AssertionError."""
        sent, turn = json.dumps(body).encode(), 0

        async def taken() -> bool:
            nonlocal turn
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            status, said = await call(address, b"PATCH", b"/configuration", sent, within_s=1.5)
            assert not 400 <= status < 500, (status, said)
            return status == 200

        await polled(taken, within_s)

    async def read(self, address: Address, within_s: float = 10.0) -> dict[str, Any]:
        """The newest configuration as that process gives it. Raises TimeoutError."""
        found: dict[str, Any] = {}

        async def read() -> bool:
            status, body = await call(address, b"GET", b"/configuration", within_s=1.5)
            if status == 200:
                found.update(json.loads(body))
            return status == 200

        await polled(read, within_s)
        return found


def route(
    name: str, prefix: str, service: str, version: int = 1, effectful: bool = False, **fields: Any
) -> dict[str, Any]:
    """A rule as the operator writes it."""
    return {
        "name": name,
        "kind": "effectful" if effectful else "idempotent",
        "setpoint_ms": fields.get("setpoint_ms", 1000),
        "priority": 1,
        "epoch": f"r{version}",
        "predicate": {"prefix": prefix},
        "response": {
            "plant": service,
            "horizon_ms": fields.get("horizon_ms", 4000),
            "trials": fields.get("trials", 2),
        },
    }


def change(*rules: dict[str, Any], services: Sequence[str] = (), host: str = "h.example") -> dict[str, Any]:
    """A call that sets rules under one host, and services."""
    groups = [
        {
            "name": name,
            "health_path": "/health",
            "conn_saturation": 110,
            "protocol": "h1",
            "tls": False,
            "epoch": "r1",
        }
        for name in services
    ]
    ports = [{"host": host, "control_law": list(rules)}] if rules else []
    return {"apply": {"input_ports": ports, "plant_groups": groups}, "remove": {"routes": []}}


def free_ports(ips: Sequence[str], count: int) -> list[int]:
    """Numbers that are free on 127.0.0.1 and on each of these."""
    found: list[int] = []
    held: list[socket.socket] = []
    try:
        while len(found) < count:
            held.append(first := socket.create_server(("127.0.0.1", 0)))
            number = first.getsockname()[1]
            try:
                held += [socket.create_server((ip, number)) for ip in ips if ip != "127.0.0.1"]
            except OSError:
                continue
            found.append(number)
    finally:
        for one in held:
            one.close()
    return found


def _toml(value: object) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_toml(part)}" for key, part in value.items()) + "}"
    return json.dumps(value)  # texts, numbers, truths and lists of these are written alike


def write_settings(
    path: Path,
    node: str,
    ip: str,
    serves: str,
    ports: Sequence[int],
    seeds: Sequence[str],
    upstream: Address | None = None,
    service: str = "",
    state_dir: str = "",
    machines: int = 1,
    **bounds: float,
) -> None:
    """A settings file. ``ports``: of peers, control, outbound and readiness, in this order; the first is
    where other processes are found, so it is one for all machines. ``machines``: that may be lost
    at once; ``bounds`` go to ``envelope``."""
    peers, control, outbound, readiness = ports
    file: dict[str, object] = {
        "node": node,
        "role": f"my-{serves}",
        "machine_class": "core" if serves == "supervisor" else serves,
        "serves": [serves],
        "ip": ip,
        "zone": "z",
        "region": "r",
        "port_range": [peers, peers],
        "seeds": [f"{host}:{control}" for host in seeds],
        "cold_boot": True,
        "counted": serves == "supervisor",
        "state_dir": state_dir,
        "beat_period_ms": 500,
        "plant": service,
        "zones": {"z": "r"},
        "ports": {
            "control": f"{ip}:{control}",
            "outbound": f"{ip}:{outbound}",
            "inbound": f"{ip}:{outbound}",
            "readiness": f"{ip}:{readiness}",
        },
        "input_limits": {
            "cpu_share": 1.0,
            "cores": 1,
            "memory_mb": 200,
            "file_handles": 1000,
            "link_mbps": 1000,
            "disk_mb": 50,
        },
        "disturbance": {"machines": machines, "zones": 0, "regions": 0},
        "envelope": bounds,
    }
    if upstream is not None:
        file["upstream"] = f"{upstream[0]}:{upstream[1]}"
    path.write_text("".join(f"{key} = {_toml(value)}\n" for key, value in file.items()), encoding="utf-8")
