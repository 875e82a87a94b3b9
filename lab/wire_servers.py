"""The emulator's servers on real sockets: the model decides what becomes of a call, its listeners speak for
it."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any, cast

import msgpack

from hareloom.interface import Outcome
from lab.servers import DEAD, UP, Attempt, Server
from lab.streams import lognormal, turned
from rigs import fleet

if TYPE_CHECKING:
    from lab.sockets import WireMarket

ANSWERS = {
    Outcome.OK: b"200 OK",
    Outcome.ERROR: b"500 Internal Server Error",
    Outcome.FULL: b"503 Service Unavailable\r\nx-unprocessed: 1",
}
BUSY = "busy"  # over MessagePack-RPC: it never ran
MOST_MESSAGE = 1 << 20


class WireAttempt(Attempt):
    """An attempt as its server sees it, with the connection that it came on and its number there."""

    __slots__ = ("side", "msgid")

    side: Side
    msgid: int


class Side(asyncio.Protocol):
    """A connection of a sidecar to a server, whatever it speaks: what came on it and is not answered."""

    server: WireServer
    epoch: int
    held: dict[int, WireAttempt]
    transport: asyncio.Transport

    def opened(self, transport: asyncio.BaseTransport) -> None:
        server = self.server
        self.transport, self.epoch, self.held = cast(asyncio.Transport, transport), server.epoch, {}
        server.sides.add(self)
        server.connections += 1
        server.market.measures.bin().connects += 1
        if server.made.handshake_ms > 0 and server.state == UP:
            server.take(server.made.handshake_ms)

    def came(self, name: str, msgid: int) -> None:
        """A whole request."""
        market, server = cast("WireMarket", self.server.market), self.server
        held = market.tries.get(name)
        if held is None:  # its client has gone, and it was on its way
            self.transport.abort()
            return
        sidecar: Any = held.sidecar
        number = sidecar.sent.get(name, 0)
        sidecar.sent[name] = number + 1
        market.measures.bin().sent += 1
        market.checker.sent(sidecar.number, name, server, market.clock.now)
        call = held.call
        work = call.work * lognormal(turned(call.chance, call.tries * 8 + number), call.klass.noise)
        attempt = WireAttempt(sidecar, name, number, server, market.clock.now, work, call.key)
        attempt.side, attempt.epoch, attempt.msgid = self, self.epoch, msgid
        self.held[msgid] = attempt
        if market.swallowed(sidecar, server):
            return
        if server.connections > server.made.connections:
            market.reply(attempt, Outcome.FULL)
        else:
            market.clock.at(sidecar.delay(server), server.arrive, attempt)

    def answer(self, attempt: WireAttempt, outcome: Outcome) -> None:
        if self.held.pop(attempt.msgid, None) is not attempt or self.transport.is_closing():
            return
        attempt.open = False
        self.server.market.checker.ended(attempt.sidecar.number, attempt.request, attempt.number, outcome)
        if outcome in ANSWERS:
            self.transport.write(self.words(attempt, outcome))
        else:
            self.transport.abort()

    def words(self, attempt: WireAttempt, outcome: Outcome) -> bytes:
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        server = self.server
        server.sides.discard(self)
        if server.epoch == self.epoch:
            server.connections -= 1
        held, self.held = self.held, {}
        for attempt in held.values():
            attempt.open = False
            server.cancel(attempt)
            server.market.checker.ended(
                attempt.sidecar.number, attempt.request, attempt.number, Outcome.TIMEOUT
            )


class HttpSide(Side, fleet._Messages):
    """HTTP/1.1, one request at a time."""

    def __init__(self, server: WireServer) -> None:
        fleet._Messages.__init__(self)
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.opened(transport)

    def message(self, head: bytes, body: bytes) -> None:
        self.came(fleet.head_value(head, b"x-correlation-id").decode(errors="replace"), 0)

    def words(self, attempt: WireAttempt, outcome: Outcome) -> bytes:
        body = b"done:" + attempt.request.encode() if outcome is Outcome.OK else b""
        return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (ANSWERS[outcome], len(body), body)


class RpcSide(Side):
    """MessagePack-RPC, answered in any order."""

    def __init__(self, server: WireServer) -> None:
        self.server = server
        self.unpacker = msgpack.Unpacker(raw=False, strict_map_key=False, max_buffer_size=MOST_MESSAGE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.opened(transport)

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for _, msgid, _, params in self.unpacker:
            self.came(params[0]["id"], msgid)

    def words(self, attempt: WireAttempt, outcome: Outcome) -> bytes:
        error = {Outcome.FULL: BUSY, Outcome.ERROR: {"why": "an error"}}.get(outcome)
        result = None if error else [attempt.request]
        return cast(bytes, msgpack.packb([1, attempt.msgid, error, result]))


class _Listener:
    """A port that serves, refuses, or neither accepts nor refuses."""

    def __init__(self, server: WireServer, speaks: type[HttpSide] | type[RpcSide]) -> None:
        self._server, self._speaks, self._open, self.port = server, speaks, ExitStack(), 0

    def serve(self) -> None:
        self.refuse()
        listener = self._open.enter_context(socket.create_server(("127.0.0.1", self.port)))
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        loop.add_reader(listener.fileno(), self._accept, listener)
        self._open.callback(loop.remove_reader, listener.fileno())

    def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = listener.accept()
            except OSError:
                return
            task = loop.create_task(
                loop.connect_accepted_socket(lambda: self._speaks(self._server), accepted)
            )
            self._server.tasks.add(task)
            task.add_done_callback(self._server.tasks.discard)

    def refuse(self) -> None:
        self._open.close()

    def hang(self) -> None:
        """More wait there than the backlog holds: a connect neither succeeds nor fails."""
        self.refuse()
        full = self._open.enter_context(socket.create_server(("127.0.0.1", self.port), backlog=0))
        for _ in range(4):
            filler = self._open.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())


class WireServer(Server):
    """The model with a listener for each protocol."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.sides: set[Side] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.listeners = (_Listener(self, HttpSide), _Listener(self, RpcSide))
        for listener in self.listeners:
            listener.serve()

    def dials(self) -> tuple[str, str]:
        """Where it is reached, over HTTP and over MessagePack-RPC."""
        http, rpc = self.listeners
        return f"127.0.0.1:{http.port}", f"127.0.0.1:{rpc.port}"

    def _cut(self) -> None:
        for side in list(self.sides):
            side.transport.abort()

    def stop(self, state: str) -> None:
        super().stop(state)
        for listener in self.listeners:
            if state == DEAD:
                listener.refuse()
            else:
                listener.hang()
        if state == DEAD:
            self._cut()

    def start(self) -> None:
        if self.state != UP:
            self._cut()  # of the life before: reset when the machine is back
            for listener in self.listeners:
                listener.serve()
        super().start()

    def close(self) -> None:
        for listener in self.listeners:
            listener.refuse()
        self._cut()
