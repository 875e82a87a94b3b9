"""HTTP/1.1 server for upstreams, the platform and operators: reads each call whole, answers them in order."""

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
MAX_PIPELINED = 16  # calls waiting on one connection; with more it is closed
ACCEPT_BACKLOG = 256  # connections
LINGER_S = 1.0  # input after the last answer is discarded this long, so that the client receives it
PARTIAL_CALL_S = 1.0  # longest pause within a call for which a shutdown waits
MAX_CONNECTIONS = 256  # beyond it the longest idle one is closed
JSON = (b"content-type", b"application/json")


class Answer(Struct, frozen=True):
    """The response to a call; bodies are JSON."""

    status: int
    body: bytes = b""
    location: str = ""
    retry_after_s: float = 0.0


Handle = Callable[[http.Message], Awaitable[Answer]]


class _HttpConnection(asyncio.Protocol):
    """A client's connection; its calls are handled one at a time."""

    def __init__(self, http_server: HttpServer) -> None:
        self._http_server = http_server
        self._reader = http.Reader(httptools.HttpRequestParser, MAX_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[http.Message] = deque()
        self._task: asyncio.Task[None] | None = None
        self._parse_error: http.BadMessage | None = None  # of the latest input
        self._lingering = False  # the last answer has been written
        self.last_used_at = http_server.loop.time()

    @property
    def idle(self) -> bool:
        """Whether no call of it is being handled."""
        return self._task is None

    @property
    def quiet(self) -> bool:
        """Whether it is idle and is receiving no call: a partial call that has paused does not count."""
        receiving = (
            self._reader.partial and self._http_server.loop.time() - self.last_used_at < PARTIAL_CALL_S
        )
        return self._task is None and not self._lingering and not receiving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._http_server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        self.last_used_at = self._http_server.loop.time()
        if self._parse_error is not None or self._lingering:
            return
        parse_error: http.BadMessage | None = None
        try:
            self._reader.feed(data)
        except http.BadMessage as error:
            parse_error = error
        if self._reader.expects_continue and self._transport is not None:
            self._reader.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._waiting.extend(self._reader.take())
        self._parse_error = parse_error
        if len(self._waiting) > MAX_PIPELINED and self._transport is not None:
            self._transport.close()
        elif self._task is None and (self._waiting or parse_error is not None):
            self._task = self._http_server.loop.create_task(self._handle_calls())

    async def _handle_calls(self) -> None:
        try:
            while self._waiting:
                message = self._waiting.popleft()
                try:
                    answer = await self._http_server.handle(message)
                except Exception:
                    # An error in the handler affects only its own call.
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
        """Ends the connection after its last answer. Further input is discarded until the client closes it as
        well: closing with unread input would reset the connection, and the answer would be lost."""
        assert self._transport is not None
        self._lingering = True
        self._waiting.clear()
        self._transport.write_eof()
        self._http_server.loop.call_later(LINGER_S, self._transport.abort)

    def abort_call(self, answer: Answer) -> None:
        """Sends this answer to a call that is being handled, and ends the connection."""
        if self._task is not None and self._transport is not None and not self._lingering:
            self._task.cancel()
            self._transport.write(http.write_response(answer.status, [JSON], answer.body, close=True))
            self._linger()

    def connection_lost(self, exc: Exception | None) -> None:
        self._http_server.remove_connection(self)
        self._reader.close()
        self._waiting.clear()

    def close(self) -> None:
        """Closes the connection, also if the client has not read its last answer yet."""
        if self._transport is not None:
            self._transport.close()


class HttpServer:
    """The server of one address. ``handle`` must answer every call within its own time limit."""

    def __init__(self, handle: Handle) -> None:
        self.loop = asyncio.get_running_loop()
        self.handle = handle
        self.closing = False
        self._connections: set[_HttpConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Starts to listen; returns the bound address. Raises OSError if it is not available."""
        listener = listening_socket(address, ACCEPT_BACKLOG)
        self._server = await self.loop.create_server(
            lambda: _HttpConnection(self), sock=listener, backlog=ACCEPT_BACKLOG
        )
        bound = self._server.sockets[0].getsockname()
        return str(bound[0]), int(bound[1])

    def add_connection(self, connection: _HttpConnection) -> None:
        self._connections.add(connection)
        if len(self._connections) > MAX_CONNECTIONS:
            idle = [other for other in self._connections if other.idle and other is not connection]
            (min(idle, key=lambda other: other.last_used_at) if idle else connection).close()

    def remove_connection(self, connection: _HttpConnection) -> None:
        self._connections.discard(connection)

    @property
    def busy(self) -> int:
        """The number of connections with a call in progress or an unread last answer."""
        return sum(not other.quiet for other in self._connections)

    def abort_calls(self, answer: Answer) -> None:
        """Answers all calls that are being handled with ``answer``: no time is left."""
        for connection in list(self._connections):
            connection.abort_call(answer)

    def stop(self) -> None:
        """Stops accepting connections; calls in progress are answered, quiet connections closed."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            if connection.quiet:
                connection.close()
