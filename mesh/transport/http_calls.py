"""HTTP/1.1 calls of upstreams, the platform and operators: read whole, handed on, answered in their order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import httptools
from msgspec import Struct

from anisestair.http import codec as http
from mesh.transport.link import Address, listening_socket

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_PIPELINED = 16  # calls read ahead on one connection; more, and it is closed
ACCEPT_BACKLOG = 256  # new callers that wait to be accepted
LINGER_S = 1.0  # how long what a caller still sends is passed over, so that it gets its last answer
PARTIAL_CALL_S = 1.0  # between two pieces of a call, at an end
MAX_CONNECTIONS = 256  # connections; at it the longest idle is closed
JSON = (b"content-type", b"application/json")


class Answer(Struct, frozen=True):
    status: int
    body: bytes = b""
    location: str = ""
    retry_after_s: float = 0.0


Handle = Callable[[http.Message], Awaitable[Answer]]


class _HttpConnection(asyncio.Protocol):
    def __init__(self, http_server: HttpServer) -> None:
        self._http_server = http_server
        self._reader = http.Reader(httptools.HttpRequestParser, MAX_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[http.Message] = deque()
        self._task: asyncio.Task[None] | None = None
        self._parse_error: http.BadMessage | None = None  # what came last cannot be read
        self._lingering = False  # its last answer has been written
        self.last_used_at = http_server.loop.time()

    @property
    def idle(self) -> bool:
        """No call of it is worked on."""
        return self._task is None

    @property
    def quiet(self) -> bool:
        """Nor is one coming, as far as can be seen: the last bytes of half a call came a while ago."""
        coming = self._reader.partial and self._http_server.loop.time() - self.last_used_at < PARTIAL_CALL_S
        return self._task is None and not self._lingering and not coming

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._http_server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        self.last_used_at = self._http_server.loop.time()
        if self._parse_error is not None or self._lingering:
            return
        fault: http.BadMessage | None = None
        try:
            self._reader.feed(data)
        except http.BadMessage as bad:
            fault = bad
        if self._reader.expects_continue and self._transport is not None:
            self._reader.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._waiting.extend(self._reader.take())
        self._parse_error = fault
        if len(self._waiting) > MAX_PIPELINED and self._transport is not None:
            self._transport.close()
        elif self._task is None and (self._waiting or fault is not None):
            self._task = self._http_server.loop.create_task(self._handle_calls())

    async def _handle_calls(self) -> None:
        try:
            while self._waiting:
                message = self._waiting.popleft()
                try:
                    answer = await self._http_server.handle(message)
                except Exception:
                    # A fault of the handler costs its call an answer, and nobody else anything.
                    answer = Answer(500)
                if self._transport is None or self._transport.is_closing():
                    return
                headers = [JSON] if answer.body else []
                if answer.location:
                    headers.append((b"location", answer.location.encode("latin-1")))
                if answer.retry_after_s > 0.0:
                    headers.append((b"retry-after", b"%.3f" % answer.retry_after_s))
                close = not message.keep_alive or self._http_server.closing
                self._transport.write(http.write_response(answer.status, headers, answer.body, close))
                self.last_used_at = self._http_server.loop.time()
                if close:
                    self._linger()
                    return
            if self._parse_error is not None and self._transport is not None:
                self._transport.write(http.write_response(self._parse_error.status, [], b"", close=True))
                self._linger()
        finally:
            self._task = None

    def _linger(self) -> None:
        """Ends the connection behind its last answer. What still comes is passed over until its caller has
        closed it too: closing on unread input would reset it, and the answer with it."""
        assert self._transport is not None
        self._lingering = True
        self._waiting.clear()
        self._transport.write_eof()
        self._http_server.loop.call_later(LINGER_S, self._transport.abort)

    def abort_call(self, answer: Answer) -> None:
        """A call in hand has that answer, and the connection ends."""
        if self._task is not None and self._transport is not None and not self._lingering:
            self._task.cancel()
            self._transport.write(http.write_response(answer.status, [JSON], answer.body, close=True))
            self._linger()

    def connection_lost(self, exc: Exception | None) -> None:
        self._http_server.remove_connection(self)
        self._reader.close()
        self._waiting.clear()

    def close(self) -> None:
        """Ends the connection, also where its last answer is still being waited for to be read."""
        if self._transport is not None:
            self._transport.close()


class HttpServer:
    """One address. ``handle`` must answer every call within a bound of its own."""

    def __init__(self, handle: Handle) -> None:
        self.loop = asyncio.get_running_loop()
        self.handle = handle
        self.closing = False
        self._connections: set[_HttpConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Raises OSError where the address cannot be had."""
        listener = listening_socket(address, ACCEPT_BACKLOG)
        self._server = await self.loop.create_server(
            lambda: _HttpConnection(self), sock=listener, backlog=ACCEPT_BACKLOG
        )
        bound = self._server.sockets[0].getsockname()
        return str(bound[0]), int(bound[1])

    def add_connection(self, caller: _HttpConnection) -> None:
        self._connections.add(caller)
        if len(self._connections) > MAX_CONNECTIONS:
            idle = [item for item in self._connections if item.idle and item is not caller]
            (min(idle, key=lambda item: item.last_used_at) if idle else caller).close()

    def remove_connection(self, caller: _HttpConnection) -> None:
        self._connections.discard(caller)

    @property
    def busy(self) -> int:
        """How many calls are being worked on, are coming in, or have their last answer still to be read."""
        return sum(not item.quiet for item in self._connections)

    def abort_calls(self, answer: Answer) -> None:
        """No time is left: calls in hand have ``answer``."""
        for caller in list(self._connections):
            caller.abort_call(answer)

    def stop(self) -> None:
        """Takes no more connections; calls in hand are answered, idle connections end."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for caller in list(self._connections):
            if caller.quiet:
                caller.close()
