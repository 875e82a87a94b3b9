"""A process of hollow proxies: `python -m rigs.hollow`, with commands as lines of JSON on its standard input
and one line of JSON in answer to each. It ends with its input.

The first line says who they are with: seeds, zones, services, beat_s, hold_s, tolerated, silent_s. Then
``do``: start, restart, crash, apart (``numbers``, ``over_s``: spread over so long; apart: ``seconds``),
state, counts, reach (``name``, ``version``).

The garbage collector is off: its rounds over the items of so many proxies would hold them all up at once, for
longer than a link may be silent.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop

from mesh.event_log.events import Level
from mesh.event_log.log import EventLog
from mesh.transport import link
from rigs.hollow.proxy import Hollow, Host

Told = dict[str, Any]
LOOK_S = 0.05


class Process:
    def __init__(self, host: Host) -> None:
        self.host = host
        self.hollows: dict[int, Hollow] = {}
        self._lag_s = 0.0
        self._look(asyncio.get_running_loop().time())

    def _look(self, due: float) -> None:
        """How far this process is behind its own clock: what it measures is worth no more than that."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._lag_s = max(self._lag_s, now - due)
        loop.call_at(now + LOOK_S, self._look, now + LOOK_S)

    async def answer(self, told: Told) -> Told:
        handlers: dict[str, Callable[[Told], Awaitable[Told]]] = {
            "start": self._start,
            "restart": self._restart,
            "crash": self._crash,
            "apart": self._apart,
            "state": self._state,
            "counts": self._counts,
            "reach": self._reach,
        }
        return await handlers[told["do"]](told)

    async def _spread(self, told: Told, work: Callable[[Hollow], Awaitable[None]]) -> Told:
        """Each begins at its part of ``over_s``; done when all are."""
        loop = asyncio.get_running_loop()
        numbers, over_s, began = told["numbers"], float(told.get("over_s", 0.0)), loop.time()
        tasks = []
        for at, number in enumerate(numbers):
            wait_s = began + over_s * at / len(numbers) - loop.time()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            hollow = self.hollows.setdefault(number, Hollow(self.host, number))
            tasks.append(loop.create_task(_done(work(hollow))))
        for task in tasks:
            await task
        return {"began": began, "ended": loop.time()}

    async def _start(self, told: Told) -> Told:
        async def starts(hollow: Hollow) -> None:
            hollow.start()

        return await self._spread(told, starts)

    async def _restart(self, told: Told) -> Told:
        async def restarts(hollow: Hollow) -> None:
            if hollow.up:
                await hollow.leave()
            hollow.start()

        return await self._spread(told, restarts)

    async def _crash(self, told: Told) -> Told:
        async def crashes(hollow: Hollow) -> None:
            hollow.crash()

        ended = await self._spread(told, crashes)
        if not any(hollow.up for hollow in self.hollows.values()):
            gc.collect()  # what earlier lives held; nobody is held up by it now
        return ended

    async def _apart(self, told: Told) -> Told:
        return await self._spread(told, lambda hollow: hollow.apart(float(told["seconds"])))

    async def _state(self, told: Told) -> Told:
        up = [hollow for hollow in self.hollows.values() if hollow.up]
        items = [len(hollow.roll.items) for hollow in up]
        return {
            "now": asyncio.get_running_loop().time(),
            "up": len(up),
            "least": min(items, default=0),
            "most": max(items, default=0),
            "configured": sum(len(hollow.charter.items) > 0 for hollow in up),
            "linked": sum(len(hollow.channels.open) for hollow in up),
            "changed_at": max((hollow.changed_at for hollow in up), default=0.0),
        }

    async def _counts(self, told: Told) -> Told:
        lag_s, self._lag_s = self._lag_s, 0.0
        return {**self.host.counts.told(), "lag_s": lag_s}

    async def _reach(self, told: Told) -> Told:
        at = (str(told["name"]), int(told["version"]))
        return {"known": self.host.known.get(at, []), "forced": self.host.forced.get(at, [])}


async def _done(work: Awaitable[None]) -> None:
    await work


async def main() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = json.loads(await reader.readline())
    host = Host(
        {ip: (ip, int(port)) for ip, port in first["seeds"]},
        [(str(zone), str(region)) for zone, region in first["zones"]],
        int(first["services"]),
        float(first["beat_s"]),
        float(first["hold_s"]),
        int(first["tolerated"]),
        EventLog("hollow", sys.stderr, Level.ERROR),
    )
    link.SILENT_S = float(first["silent_s"])
    process = Process(host)
    with host.counts.counting():
        print(json.dumps({}), flush=True)
        while line := await reader.readline():
            print(json.dumps(await process.answer(json.loads(line))), flush=True)


if __name__ == "__main__":
    gc.disable()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
