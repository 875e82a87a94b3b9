"""Stand-in MessagePack-RPC order servers and clients, from the published specification, on `msgpack` alone.

A server answers each call as its script says; what it ran it counts by the id that the call carries.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgpack

# What a server may do with a call. The share of each in a seeded run is the caller's.
WAYS = ("ok", "late", "error", "busy", "twice", "drop", "drop-run", "cut", "garbage", "never", "stray")


class RpcServer:
    """Serves calls whose params are [{"id": ..., "key": ...}, ...]; ``way`` decides on each.

    ``executed`` counts runs by id, over all servers that share it. A repeat under a key that ``keys`` has is
    dropped and answered again, as by order servers of one cell.
    """

    def __init__(self, way: Callable[[str], str], executed: Counter[str], keys: set[str]) -> None:
        self.way, self.executed, self.keys = way, executed, keys
        self.calls: asyncio.Queue[str] = asyncio.Queue()
        self.seen: list[str] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.opened = 0
        self.dial = ""
        self.release = asyncio.Event()  # what "late" waits for

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.dial = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        self.opened += 1
        unpacker = msgpack.Unpacker(raw=False, strict_map_key=False)
        tasks = []
        try:
            while data := await reader.read(65536):
                unpacker.feed(data)
                for kind, msgid, method, params in unpacker:
                    assert kind == 0
                    tasks.append(asyncio.create_task(self._call(writer, msgid, method, params)))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def work(self) -> None:
        """How long a call takes; none, unless a server of another kind says otherwise."""

    def read(self, method: str, params: list[Any]) -> dict[str, Any]:
        """A call's id, and its key where it has one."""
        found: dict[str, Any] = params[0]
        return found

    def run(self, call: dict[str, Any]) -> None:
        key = call.get("key")
        if key is not None:
            if key in self.keys:
                return
            self.keys.add(key)
        self.executed[call["id"]] += 1

    async def _call(self, writer: asyncio.StreamWriter, msgid: int, method: str, params: list[Any]) -> None:
        call = self.read(method, params)
        self.seen.append(call["id"])
        self.calls.put_nowait(call["id"])
        way = self.way(call["id"])
        if way in ("drop", "busy", "never"):
            if way == "drop":
                writer.transport.abort()
            elif way == "busy":
                writer.write(msgpack.packb([1, msgid, "busy", None]))
            return
        self.run(call)
        if way == "late":
            await self.release.wait()
        await self.work()
        if writer.transport.is_closing():
            return  # dropped by another call meanwhile
        answer = msgpack.packb([1, msgid, None, [call["id"], params[1:]]])
        if way == "error":
            writer.write(msgpack.packb([1, msgid, {"why": "sold out", "id": call["id"]}, None]))
        elif way == "drop-run":
            writer.transport.abort()
        elif way == "cut":
            writer.write(answer[: 1 + len(call["id"]) % (len(answer) - 1)])
            writer.close()
        elif way == "garbage":
            writer.write(b"\xc1\xc1 what no one can read")
        elif way == "stray":
            writer.write(msgpack.packb([1, (msgid + 7777) % 2**32, None, "nobody's"]) + answer)
        else:
            writer.write(answer * (2 if way == "twice" else 1))


def seeded(chance: random.Random, weights: dict[str, float]) -> Callable[[str], str]:
    """A way for each call by these weights, the same for the same order of calls."""
    return lambda call: chance.choices(list(weights), list(weights.values()))[0]


class RpcCaller:
    """One connection of an application: calls pipelined, responses by msgid."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._msgid = 0
        self.open: dict[int, asyncio.Future[tuple[Any, Any]]] = {}
        self.strange: list[Any] = []  # responses to nothing that is open
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, port: int) -> RpcCaller:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, method: str, *params: Any) -> asyncio.Future[tuple[Any, Any]]:
        """The (error, result) of a call; a ConnectionError where the connection ends before."""
        self._msgid += 1
        future = self.open[self._msgid] = asyncio.get_running_loop().create_future()
        self.writer.write(msgpack.packb([0, self._msgid, method, params]))
        return future

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker(raw=False, strict_map_key=False)
        try:
            while data := await self._reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    future = self.open.pop(message[1], None)
                    if message[0] != 1 or future is None:
                        self.strange.append(message)
                    elif not future.done():
                        future.set_result((message[2], message[3]))
        except ConnectionError:
            pass
        for future in self.open.values():
            if not future.done():
                future.set_exception(ConnectionResetError("the connection ended"))

    def close(self) -> None:
        self._task.cancel()
        self.writer.transport.abort()
