"""A client that pipelines requests on one connection, and single calls to a process's HTTP port."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import httptools

from anisestair.http import codec as http
from rigs.mesh_peers.messages import MAX_BODY_BYTES, Address, read_message
from rigs.mesh_peers.waiting import PEER_TIMEOUT_S, with_timeout


class Client:
    """One client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._stream, self._writer = reader, writer
        self._reader = http.Reader(httptools.HttpResponseParser, MAX_BODY_BYTES)

    @staticmethod
    async def connect(address: Address) -> Client:
        """Raises OSError if the connection fails."""
        return Client(*await with_timeout(asyncio.open_connection(*address)))

    def send(
        self,
        attempt: str,
        path: str = "/read/x",
        time_remaining_ms: int = 4000,
        headers: http.Headers | None = None,
        body: bytes = b"",
        chunks: Sequence[bytes] = (),
        host: str = "h.example",
    ) -> None:
        """Sends a request without waiting for earlier responses; with ``chunks`` its body is chunked."""
        head: http.Headers = [(b"host", host.encode()), (b"attempt-id", attempt.encode())]
        if time_remaining_ms:
            head.append((b"time-remaining", b"%d" % time_remaining_ms))
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

    async def read(self, timeout_s: float = PEER_TIMEOUT_S) -> http.Message | None:
        """Reads the next response; None if the connection ends first. Raises TimeoutError."""
        return await asyncio.wait_for(read_message(self._reader, self._stream), timeout_s)

    async def request(self, attempt: str, path: str = "/read/x", **fields: Any) -> http.Message:
        self.send(attempt, path, **fields)
        response = await self.read()
        assert response is not None, "the connection ended without a response"
        return response

    def abort(self) -> None:
        self._writer.transport.abort()


async def call(
    address: Address, method: bytes, path: bytes, body: bytes = b"", timeout_s: float = PEER_TIMEOUT_S
) -> tuple[int, bytes]:
    """Makes a call on a new connection; returns the status and body, or 0 and b"" without a response."""
    try:
        async with asyncio.timeout(timeout_s):
            stream, writer = await asyncio.open_connection(*address)
            try:
                head = [(b"host", b"control"), (b"content-type", b"application/json")]
                writer.write(http.write_request(method, path, head, body))
                reader = http.Reader(httptools.HttpResponseParser, MAX_BODY_BYTES)
                response = await read_message(reader, stream)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0, b""
    return (response.status, response.body) if response is not None else (0, b"")
