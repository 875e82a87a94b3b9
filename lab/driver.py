"""One process of a rig that plays a scenario over sockets with others: it speaks for a part of the servers
and of the sidecars' clients, starts its part of the sidecars, and tells at the end what it saw.

Frames on standard input and output as a worker's (lab/worker.py): the job; where its servers are reached;
where all are; that its sidecars are up; the instant at which the play begins; falls, as they happen, both
ways; the report.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from typing import IO, Any

import msgspec
import uvloop

from lab.scenario import Source
from lab.socket_servers import Shard
from lab.socket_sidecars import Speaks
from lab.socket_simulation import SocketSimulation
from lab.worker import MOST_FRAME, write_frame


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """A driver's job."""

    source: Source
    seed: int
    shard: Shard
    speaks: Speaks = "http"


async def read(reader: asyncio.StreamReader) -> Any:
    """The next frame. Raises EOFError once whoever gave the job is gone."""
    try:
        size = int.from_bytes(await reader.readexactly(4), "big")
        if size > MOST_FRAME:
            raise EOFError
        return msgspec.msgpack.decode(await reader.readexactly(size))
    except asyncio.IncompleteReadError:
        raise EOFError from None


async def drive(sink: IO[bytes]) -> None:
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=MOST_FRAME)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    def tell(what: Any) -> None:
        write_frame(sink, msgspec.msgpack.encode(what))

    job = msgspec.convert(await read(reader), Part)
    simulation = SocketSimulation(job.source.scenario_for(job.seed), job.seed, job.speaks, job.shard)
    simulation.told_of_falls = lambda number: tell({"fell": number})
    try:
        tell({"reached": await simulation.open()})
        reached = (await read(reader))["reached"]
        tell({"up_s": await simulation.ready({int(number): dials for number, dials in reached.items()})})
        start = (await read(reader))["start"]

        async def hear() -> None:
            while True:
                simulation.heard_of_fall((await read(reader))["fell"])

        hearing = asyncio.ensure_future(hear())
        playing = asyncio.ensure_future(simulation.take_place(start))
        await asyncio.wait([hearing, playing], return_when=asyncio.FIRST_COMPLETED)
        if not playing.done():  # nobody is there to be told
            playing.cancel()
            return
        hearing.cancel()
        await asyncio.wait([hearing])
        await playing
        tell({"report": simulation.report()})
        while "over" not in await read(reader):  # what others still have here is served until all are done
            pass
    finally:
        await simulation.close()


def main() -> None:
    gc.set_threshold(200_000, 20, 50)
    sink, sys.stdout = sys.stdout.buffer, sys.stderr  # nothing else may write there
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(drive(sink))
        except EOFError:
            return


if __name__ == "__main__":
    main()
