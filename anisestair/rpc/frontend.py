"""The downstream side of MessagePack-RPC: client connections, and one response to each of their requests."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from anisestair.endpoints import address
from anisestair.http.upstream import ConnectionPool, UpstreamConnection
from anisestair.lifecycle.connection import Call
from anisestair.lifecycle.exchange import Final
from anisestair.rpc import codec, meaning
from anisestair.rpc.codec import Kind, Message
from anisestair.rpc.meaning import BadCall, CallRules
from anisestair.rpc.upstream import RpcConnection
from anisestair.sidecar import Sidecar
from hareloom.interface import Outcome

log = logging.getLogger(__name__)

LANE = "rpc "  # HTTP request ids contain no space, so the ids of the two protocols differ
READ_AHEAD = 8  # parsed calls that may wait on a connection; further input stays in the socket
# Bytes of responses buffered for a client; above this none of its calls are started until it reads.
MAX_UNREAD = 64 * 1024
# Time limit from the first byte of a message to its last, and for a client to resume reading, as for HTTP.
STALL_TIMEOUT_S, SWEEP_S = 2.5, 0.25
DRAIN_TIMEOUT_S = 3.5  # bound on a graceful shutdown, just under that of the HTTP frontend


class Lane:
    """Opens the upstream connections of this protocol for the sidecar."""

    lane = LANE

    def __init__(self, call_rules: CallRules, calls: int) -> None:
        self._call_rules, self.calls = call_rules, calls

    def connection(
        self, pool: ConnectionPool, number: int, carried: Callable[[int], tuple[Call, ...]]
    ) -> UpstreamConnection:
        return RpcConnection(pool, number, self._call_rules, carried)


class RpcAsk:
    """A call in progress. ``respond`` is called with the encoded error and result of its response."""

    lane = LANE

    def __init__(
        self, message: Message, call_rules: CallRules, respond: Callable[[bytes, bytes], None]
    ) -> None:
        self._message, self._call_rules, self._respond = message, call_rules, respond

    def write(self, wire: Any, call: Call, left_ms: int) -> None:
        wire.write(call, self._message.method, self._call_rules.params(self._message, left_ms))

    def sendable(self) -> bool:
        return True  # the message is kept in full until the call has its outcome

    def reply(self, final: Final, arrived: Any, retry_after_ms: float) -> None:
        failed = final is Final.FAILED and arrived is not None
        if final is Final.SERVED or failed and self._call_rules.outcome(arrived.error) is Outcome.ERROR:
            # An upstream's own error says more than a code of the proxy.
            self._respond(arrived.error, arrived.result)
        else:
            self._respond(codec.packed(meaning.error_of(final, retry_after_ms)), meaning.NIL)


class RpcClient(asyncio.Protocol):
    def __init__(self, frontend: RpcFrontend) -> None:
        self.frontend = frontend
        self.reader = codec.Reader()
        self.waiting: deque[Message] = deque()
        self.unparsed = b""
        self.open: dict[int, str] = {}  # msgid -> id of the request in the sidecar
        self.fault: codec.BadMessage | None = None
        self.write_paused = False
        self.since = time.monotonic()  # start of the partial message, or of the write pause
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_UNREAD)
        self.frontend.add(self)

    def data_received(self, data: bytes) -> None:
        if not self.reader.partial:
            self.since = time.monotonic()
        self.unparsed += data
        self.advance()

    def pause_writing(self) -> None:
        self.write_paused, self.since = True, time.monotonic()

    def resume_writing(self) -> None:
        self.write_paused = False
        self.advance()

    def advance(self) -> None:
        """Starts calls in order, up to `in_hand` open ones, and parses up to READ_AHEAD further calls."""
        if self.transport.is_closing():
            return
        room = self.frontend.in_hand
        while True:
            while self.waiting and len(self.open) < room and not self.write_paused:
                self._begin(self.waiting.popleft())
                if self.transport.is_closing():
                    return
            if not self.unparsed or self.fault is not None or len(self.waiting) > READ_AHEAD:
                break
            part, self.unparsed = self.unparsed[: codec.SLICE], self.unparsed[codec.SLICE :]
            try:
                self.reader.feed(part)
            except codec.BadMessage as fault:
                self.fault = fault
            self.waiting += self.reader.take()
        if self.fault is not None and not self.waiting:
            self._refuse(self.fault)
        elif self.waiting or self.unparsed:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _refuse(self, fault: codec.BadMessage) -> None:
        """Sends an error if the msgid is known, then closes the connection, as the rest of the input cannot
        be read. Open calls are cancelled as if the client had disconnected."""
        if fault.msgid is not None and fault.msgid not in self.open:
            self.transport.write(codec.write_error(fault.msgid, meaning.own_error(meaning.BAD_CALL)))
        self.transport.close()

    def _begin(self, message: Message) -> None:
        sidecar = self.frontend.sidecar
        if message.kind is Kind.RESPONSE or message.msgid in self.open:
            # No request goes to a client, and the responses to two calls with one msgid are ambiguous.
            self.transport.close()
            return
        name = self.frontend.next_request_id()
        notified = message.kind is Kind.NOTIFICATION
        try:
            request = self.frontend.call_rules.request(message, name, sidecar.now())
            if sidecar.in_hand(request.request):
                raise BadCall(meaning.BAD_CALL, f"{request.request} is already in progress")
        except BadCall as fault:
            if notified:
                log.warning("a notification was dropped: %s", fault)
            else:
                self.transport.write(codec.write_error(message.msgid, meaning.own_error(fault.code)))
            return

        def respond(error: bytes, result: bytes) -> None:
            known = not notified and self.open.pop(message.msgid, "")
            if known and not self.transport.is_closing():
                self.transport.write(codec.write_response(message.msgid, error, result))
                if self.waiting or self.unparsed:
                    self.frontend.loop.call_soon(self.advance)
            self.frontend.check_idle()

        if not notified:
            self.open[message.msgid] = request.request
        sidecar.take(request, RpcAsk(message, self.frontend.call_rules, respond))

    def is_stalled(self, now: float) -> bool:
        """Whether a partial message or a write pause has lasted longer than STALL_TIMEOUT_S."""
        return (self.write_paused or self.reader.partial) and now - self.since > STALL_TIMEOUT_S

    def connection_lost(self, exc: Exception | None) -> None:
        left = list(self.open.values())
        self.frontend.lost(self)
        for name in left:
            self.frontend.sidecar.client_gone(name)


class RpcFrontend:
    """Accepts clients: at most ``most`` connections, each with at most ``in_hand`` open calls."""

    def __init__(self, sidecar: Sidecar, call_rules: CallRules, most: int, in_hand: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.sidecar, self.call_rules, self.in_hand = sidecar, call_rules, in_hand
        self._max_clients = most
        self._clients: set[RpcClient] = set()
        self._requests = 0
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._idle = asyncio.Event()

    def next_request_id(self) -> str:
        self._requests += 1
        return f"{LANE}{self._requests}"

    async def listen(self, where: str) -> str:
        """``where`` is an address with a port, or ``unix:`` and a path. Returns it with the bound port."""
        if where.startswith("unix:"):
            path = where.removeprefix("unix:")
            if os.path.exists(path):
                os.unlink(path)  # left by a killed process; a live listener would lose its socket
            self._server = await self.loop.create_unix_server(lambda: RpcClient(self), path)
        else:
            host, port = address(where, lowest_port=0)
            self._server = await self.loop.create_server(lambda: RpcClient(self), host, port)
            where = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._sweep()
        return where

    def add(self, client: RpcClient) -> None:
        self._clients.add(client)
        if len(self._clients) > self._max_clients:
            # The connection that has been idle for longest is closed; if none is idle, the new one.
            idle = [item for item in self._clients if not (item.open or item.waiting or item.reader.partial)]
            min(idle, key=lambda item: item.since, default=client).transport.close()

    def lost(self, client: RpcClient) -> None:
        self._clients.discard(client)
        client.open.clear()
        self.check_idle()

    def check_idle(self) -> None:
        if not any(client.open for client in self._clients):
            self._idle.set()

    def _sweep(self) -> None:
        now = time.monotonic()
        for client in [item for item in self._clients if item.is_stalled(now)]:
            client.transport.abort()
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    async def stop(self) -> None:
        """Stops accepting connections and waits up to DRAIN_TIMEOUT_S for the open calls to complete."""
        if self._server is not None:
            self._server.close()
        self._idle.clear()
        self.check_idle()
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await self._idle.wait()
        except TimeoutError:
            log.warning(
                "%d calls were still open when the drain timed out",
                sum(len(item.open) for item in self._clients),
            )

    def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        for client in list(self._clients):
            client.transport.close()
