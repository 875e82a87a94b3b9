"""Reads complete HTTP messages from a stream."""

from __future__ import annotations

import asyncio

from anisestair.http import codec as http

Address = tuple[str, int]
MAX_BODY_BYTES = 16 * 1024 * 1024


async def read_message(reader: http.Reader, stream: asyncio.StreamReader) -> http.Message | None:
    """Reads the next message of a connection; None if the connection ends or fails."""
    while True:
        if reader._complete:
            return reader._complete.pop(0)
        try:
            data = await stream.read(65536)
        except ConnectionError:
            return None
        if data:
            reader.feed(data)
        else:
            reader.end()
            return reader._complete.pop(0) if reader._complete else None
