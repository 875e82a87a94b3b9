"""An upstream that works for as long as its request says, and records when it ends each."""

from __future__ import annotations

import asyncio
from collections import Counter

from anisestair.http import codec as http
from rigs.mesh_peers import Upstream


class WorkingUpstream(Upstream):
    """The last part of a path is the number of milliseconds that the request takes."""

    def __init__(self, instance: str, executions: Counter[str]) -> None:
        """``executions``: their number by Attempt-Id, over all upstreams of a run."""
        super().__init__(instance, "s", runs=executions, capacity=12, keep_alive="timeout=5")
        self.ends_at: dict[str, float] = {}  # in seconds of the loop, by Attempt-Id

    async def _handle(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = message.get(b"attempt-id") or ""
        work_s = int(message.target.rpartition(b"/")[2]) / 1000.0
        loop = asyncio.get_running_loop()
        self.ends_at[attempt] = loop.time() + work_s
        await asyncio.sleep(work_s)
        return await super()._handle(message, reader, writer)
