"""Client of the discovery service: a watch that delivers the list of upstreams and its updates."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable

from anisestair.endpoints import Address, EndpointList, parse_list
from anisestair.http import codec as http

log = logging.getLogger(__name__)

# How long discovery may wait for a change before it responds (long polling). Until then, a dead watch (a lost
# machine, a connection dropped by an intermediary) looks like one without changes, while all upstreams may be
# replaced; changes must arrive within 6 s. Discovery treats the next call as part of the same watch, so that
# short waits cost little, except with very many sidecars.
WATCH_MS = 2_500
# Extra time for a response before the call fails; the first call of a watch may be queued by discovery.
OVERDUE_MS, NEXT_OVERDUE_MS = 3_000, 1_500
MAX_LIST = 4 * 1024 * 1024  # bytes; a list of some ten thousand upstreams


def unix_offset_ms(now_ms: float) -> float:
    """Return the offset from Unix time to the balancer's clock. Computed once: a start time that is reported
    again must convert to the same instant, or it would count as a restart."""
    return now_ms - time.time() * 1000.0


class Discovery:
    """Calls discovery repeatedly and passes each result to ``tell``: a list, or None if the call failed.

    A failed call ends the watch; ``watch`` starts a new one.
    """

    def __init__(
        self, where: Address, seq: int, offset_ms: float, tell: Callable[[EndpointList | None], None]
    ) -> None:
        self._where, self._offset_ms, self._tell = where, offset_ms, tell
        self._seq: int | None = seq  # version the next watch continues from; None: starts with the full list
        self._task: asyncio.Task[None] | None = None

    def watch(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._watch())

    def move(self, where: Address) -> None:
        """Switch to another service. It numbers its versions independently and its list may differ, so the
        full list is requested. Nothing of the old watch is reported after this."""
        if self._task is not None:
            self._task.cancel()
        self._where, self._seq, self._task = where, None, None
        self.watch()

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _watch(self) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(OVERDUE_MS / 1000.0):
                reader, writer = await asyncio.open_connection(*self._where)
            overdue = OVERDUE_MS
            while True:
                # The next call is sent at once: discovery treats a later one as a new watch.
                async with asyncio.timeout((WATCH_MS + overdue) / 1000.0):
                    message = await self._call(reader, writer)
                if message.status != 200:
                    raise ValueError(f"answered {message.status}")
                found = parse_list(json.loads(message.body), self._offset_ms)
                self._seq = found.seq
                self._tell(found)
                overdue = NEXT_OVERDUE_MS
                if not message.keep_alive:
                    writer.close()
                    async with asyncio.timeout(OVERDUE_MS / 1000.0):
                        reader, writer = await asyncio.open_connection(*self._where)
        except (
            OSError,
            ValueError,
            RecursionError,
            http.BadMessage,
        ) as fault:  # RecursionError: deeply nested JSON
            log.warning("discovery: call failed: %s", str(fault) or type(fault).__name__)
            # Not called within the task: the callback may call watch(), which needs the task to have ended.
            asyncio.get_running_loop().call_soon(self._tell, None)
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> http.Message:
        target = "/v1/endpoints"
        if self._seq is not None:
            target += f"?after={self._seq}&wait_ms={WATCH_MS}"
        host = f"{self._where[0]}:{self._where[1]}"
        writer.write(http.write_request(b"GET", target.encode(), [(b"host", host.encode())]))
        answer = http.response_reader(MAX_LIST)
        while True:
            data = await reader.read(65536)
            if data:
                answer.feed(data)
            else:
                answer.end()
            for message in answer.take():
                return message
            if not data:
                raise ConnectionResetError("the connection was closed before the response")
