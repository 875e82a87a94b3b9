"""A client that sends requests one behind another, and single calls to a process's HTTP port."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import httptools

from anisestair.http import codec as http
from rigs.mesh_peers.messages import MOST_BODY, Address, read_message
from rigs.mesh_peers.waiting import PATIENCE_S, soon


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

    async def read(self, within_s: float = PATIENCE_S) -> http.Message | None:
        """The next answer; None where the connection ends first. Raises TimeoutError."""
        return await asyncio.wait_for(read_message(self._reader, self._stream), within_s)

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
