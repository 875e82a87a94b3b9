"""A driver: one of several processes that together run a scenario over real sockets.

It emulates a part of the servers and of the sidecars' clients, starts its part of the sidecars, and reports
what it saw at the end. Messages on standard input and output are framed as a worker's (lab/worker.py), in
this order: the job; the addresses of its servers; the addresses of all servers; that its sidecars are up; the
start time of the play; server failures as they happen, in both directions; the report.
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
from lab.socket_sidecars import CallProtocol
from lab.socket_simulation import SocketSimulation
from lab.worker import MAX_FRAME_BYTES, write_frame


class DriverJob(msgspec.Struct, frozen=True, kw_only=True):
    """The job of a driver."""

    source: Source
    seed: int
    shard: Shard
    protocol: CallProtocol = msgspec.field(default="http", name="speaks")


async def read_message(reader: asyncio.StreamReader) -> Any:
    """The next message. Raises EOFError if the other process has ended."""
    try:
        size = int.from_bytes(await reader.readexactly(4), "big")
        if size > MAX_FRAME_BYTES:
            raise EOFError
        return msgspec.msgpack.decode(await reader.readexactly(size))
    except asyncio.IncompleteReadError:
        raise EOFError from None


async def run_driver(sink: IO[bytes]) -> None:
    """Runs the job that arrives on standard input."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=MAX_FRAME_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    def send(content: Any) -> None:
        write_frame(sink, msgspec.msgpack.encode(content))

    job = msgspec.convert(await read_message(reader), DriverJob)
    simulation = SocketSimulation(job.source.scenario_for(job.seed), job.seed, job.protocol, job.shard)
    simulation.on_server_fall = lambda number: send({"fell": number})
    try:
        send({"reached": await simulation.start_servers()})
        addresses = (await read_message(reader))["reached"]
        send(
            {
                "up_s": await simulation.start_sidecars(
                    {int(number): by_zone for number, by_zone in addresses.items()}
                )
            }
        )
        start = (await read_message(reader))["start"]

        async def receive_failures() -> None:
            while True:
                simulation.apply_remote_fall((await read_message(reader))["fell"])

        receiving = asyncio.ensure_future(receive_failures())
        playing = asyncio.ensure_future(simulation.run_play(start))
        await asyncio.wait([receiving, playing], return_when=asyncio.FIRST_COMPLETED)
        if not playing.done():  # the parent process has ended
            playing.cancel()
            return
        receiving.cancel()
        await asyncio.wait([receiving])
        await playing
        send({"report": simulation.report()})
        while "over" not in await read_message(reader):  # other drivers may still use the servers of this one
            pass
    finally:
        await simulation.close()


def main() -> None:
    """Runs one job and ends; ends without a report if the parent process ends first."""
    gc.set_threshold(200_000, 20, 50)
    sink, sys.stdout = sys.stdout.buffer, sys.stderr  # nothing else may write to the message stream
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(run_driver(sink))
        except EOFError:
            return


if __name__ == "__main__":
    main()
