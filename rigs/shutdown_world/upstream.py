"""An upstream that works for as long as its request says, and notes when it began and ended each."""

from __future__ import annotations

import asyncio
from collections import Counter

from anisestair.http import codec as http
from rigs.mesh_peers import Upstream


class WorkingUpstream(Upstream):
    """The last part of a path is how many milliseconds it works on the request."""

    def __init__(self, instance: str, runs: Counter[str]) -> None:
        """``runs`` counts by Attempt-Id what was begun, over all upstreams of a play."""
        super().__init__(instance, "s", runs=runs, capacity=12, keep_alive="timeout=5")
        self.ended_at: dict[str, float] = {}  # seconds of the loop, by Attempt-Id

    async def _handle(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = message.get(b"attempt-id") or ""
        work_s = int(message.target.rpartition(b"/")[2]) / 1000.0
        loop = asyncio.get_running_loop()
        self.ended_at[attempt] = loop.time() + work_s
        await asyncio.sleep(work_s)
        return await super()._handle(message, reader, writer)
