"""Loopback stand-ins for the application, upstreams and discovery, round a sidecar in the same loop."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from typing import Any

from anisestair.configure.effective import Config
from anisestair.discovery import unix_offset_ms
from anisestair.endpoints import parse_list
from anisestair.http import codec as http
from anisestair.http.frontend import Frontend
from anisestair.sidecar import Sidecar
from hareloom import wire
from rigs import fleet

PATIENCE_S = 10.0  # how long a test waits for an event that has to come

SETTINGS: dict[str, Any] = fleet.SETTINGS | {"something-new": 1}


@contextmanager
def stuck() -> Iterator[str]:
    """An address where a connect neither succeeds nor fails: more wait there than its backlog holds."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full, ExitStack() as fillers:
        for _ in range(4):
            filler = fillers.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        yield f"127.0.0.1:{full.getsockname()[1]}"


async def read_message(reader: http.Reader, stream: asyncio.StreamReader) -> http.Message | None:
    """The next message of a connection; None at its end."""
    while True:
        if reader._complete:
            return reader._complete.pop(0)
        data = await stream.read(65536)
        if data:
            reader.feed(data)
        else:
            reader.end()
            return reader._complete.pop(0) if reader._complete else None


class Peer:
    """One accepted connection of a stand-in, with its next request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.stream, self.writer = reader, writer
        self.reader = http.request_reader()

    async def next(self) -> http.Message | None:
        return await read_message(self.reader, self.stream)

    async def answer(
        self, status: int, body: bytes = b"", headers: http.Headers | None = None, close: bool = False
    ) -> None:
        self.writer.write(http.write_response(status, headers or [], body, close))
        await self.writer.drain()

    def reset(self) -> None:
        self.writer.transport.abort()


Handler = Callable[[Peer, http.Message], Awaitable[None]]


async def serve(peer: Peer, message: http.Message) -> None:
    await peer.answer(200, b"done:" + message.body)


class Upstream:
    """Answers each request by ``handler`` and keeps what it has seen."""

    def __init__(self, handler: Handler = serve) -> None:
        self.handler = handler
        self.seen: asyncio.Queue[http.Message] = asyncio.Queue()
        self.requests: list[http.Message] = []
        self.peers: list[Peer] = []
        self.ended = asyncio.Event()  # a connection has ended
        self.dial = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.dial = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.peers.append(peer)
        try:
            while (message := await peer.next()) is not None:
                self.requests.append(message)
                self.seen.put_nowait(message)
                await self.handler(peer, message)
        except (ConnectionError, http.BadMessage, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self.ended.set()

    def close(self) -> None:
        self.server.close()
        for peer in self.peers:
            peer.reset()


class FakeDiscovery(Upstream):
    """Holds each watch until ``tell`` or ``fail`` is called."""

    def __init__(self) -> None:
        super().__init__(self._hold)
        self.answers: asyncio.Queue[tuple[int, bytes] | None] = asyncio.Queue()

    async def _hold(self, peer: Peer, message: http.Message) -> None:
        answer = await self.answers.get()
        if answer is None:
            peer.reset()
        else:
            await peer.answer(*answer)

    def tell(self, seq: int, *hosts: dict[str, Any], whole: bool = False) -> None:
        body = {"seq": seq, "whole": whole, "hosts": hosts, "new-key": 0}
        self.answers.put_nowait((200, json.dumps(body).encode()))

    def fail(self, status: int = 0, body: bytes = b"") -> None:
        self.answers.put_nowait((status, body) if status else None)


def host(name: str, dial: str, health: str = "up", block: int = 0, born_ms: float = 0) -> dict[str, Any]:
    return {"host": name, "dial": dial, "site": "a", "health": health, "block": block, "born_ms": born_ms}


class Client:
    """One connection of the application."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.stream, self.writer = reader, writer
        self.reader = http.response_reader()

    async def read(self) -> http.Message | None:
        return await asyncio.wait_for(read_message(self.reader, self.stream), PATIENCE_S)

    def send(self, request: str, klass: str = "sale", left: Any = 1000, **fields: Any) -> None:
        headers = [
            (b"host", b"api.internal"),
            (b"x-correlation-id", request.encode()),
            (b"x-service-class", klass.encode()),
            (b"x-time-left-ms", str(left).encode()),
            (b"x-unheard-of", b"1"),
            *fields.get("headers", []),
        ]
        if klass == "listing" and not any(name == b"idempotency-key" for name, _ in headers):
            headers.append((b"idempotency-key", b"k-" + request.encode()))
        body = fields.get("body", b"body")
        self.writer.write(
            http.write_request(fields.get("method", b"POST"), fields.get("target", b"/api"), headers, body)
        )

    async def ask(self, request: str, klass: str = "sale", left: Any = 1000, **fields: Any) -> http.Message:
        self.send(request, klass, left, **fields)
        answer = await self.read()
        assert answer is not None, "the connection ended without an answer"
        return answer


class World:
    """A sidecar that runs in the test's own loop, between stand-ins."""

    def __init__(self, sidecar: Sidecar, frontend: Frontend, port: int) -> None:
        self.sidecar, self.frontend, self.port = sidecar, frontend, port
        self.clients: list[Client] = []

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(client)
        return client


@asynccontextmanager
async def world(
    discovery: FakeDiscovery,
    *known: dict[str, Any],
    most: int = 100,
    settings: dict[str, Any] | None = None,
) -> AsyncIterator[World]:
    await discovery.start()
    offset = unix_offset_ms(time.monotonic() * 1000.0)
    config = Config(
        name="t",
        listen=("127.0.0.1", 0),
        discovery=("127.0.0.1", int(discovery.dial.rpartition(":")[2])),
        seed=7,
        sockets=2 * most,
        known=parse_list({"seq": 1, "whole": True, "hosts": known}, offset),
        settings=wire.parse_settings(json.dumps(SETTINGS | (settings or {}))),
    )
    sidecar = Sidecar(config, offset, most)
    frontend = Frontend(sidecar, most)
    _, port = frontend.listen(config.listen)
    there = World(sidecar, frontend, port)
    try:
        yield there
    finally:
        for client in there.clients:
            client.writer.transport.abort()
        await frontend.stop(accept_s=0.0)
        await sidecar.close()
        discovery.close()
