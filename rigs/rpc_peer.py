"""Simulated MessagePack-RPC order servers and clients, written from the published specification with only
`msgpack`.

A server performs a chosen action for each call and counts its runs by the id in the call.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgpack

# What a server may do with a call. The test chooses the weight of each in a random run.
ACTIONS = ("ok", "late", "error", "busy", "twice", "drop", "drop-run", "cut", "garbage", "never", "stray")


class RpcServer:
    """Serves calls whose params are [{"id": ..., "key": ...}, ...]; ``choose_action`` decides on each.

    ``run_counts`` counts runs by id over all servers that share it. A call with a key in ``keys`` is a
    repeat: it gets a response without another run, as from order servers of one cell.
    """

    def __init__(self, choose_action: Callable[[str], str], run_counts: Counter[str], keys: set[str]) -> None:
        self.choose_action, self.run_counts, self.keys = choose_action, run_counts, keys
        self.received: asyncio.Queue[str] = asyncio.Queue()
        self.received_ids: list[str] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.connections_opened = 0
        self.dial = ""
        self.release = asyncio.Event()  # responses of action "late" wait for this

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.dial = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        self.connections_opened += 1
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

    async def simulate_work(self) -> None:
        """Waits as long as a call takes; overridden by servers whose calls take time."""

    def parse_params(self, method: str, params: list[Any]) -> dict[str, Any]:
        """Returns the id of a call and its key, if it has one."""
        call: dict[str, Any] = params[0]
        return call

    def execute(self, call: dict[str, Any]) -> None:
        key = call.get("key")
        if key is not None:
            if key in self.keys:
                return
            self.keys.add(key)
        self.run_counts[call["id"]] += 1

    async def _call(self, writer: asyncio.StreamWriter, msgid: int, method: str, params: list[Any]) -> None:
        call = self.parse_params(method, params)
        self.received_ids.append(call["id"])
        self.received.put_nowait(call["id"])
        action = self.choose_action(call["id"])
        if action in ("drop", "busy", "never"):
            if action == "drop":
                writer.transport.abort()
            elif action == "busy":
                writer.write(msgpack.packb([1, msgid, "busy", None]))
            return
        self.execute(call)
        if action == "late":
            await self.release.wait()
        await self.simulate_work()
        if writer.transport.is_closing():
            return  # another call has closed the connection meanwhile
        response = msgpack.packb([1, msgid, None, [call["id"], params[1:]]])
        if action == "error":
            writer.write(msgpack.packb([1, msgid, {"why": "sold out", "id": call["id"]}, None]))
        elif action == "drop-run":
            writer.transport.abort()
        elif action == "cut":
            writer.write(response[: 1 + len(call["id"]) % (len(response) - 1)])
            writer.close()
        elif action == "garbage":
            writer.write(b"\xc1\xc1 what no one can read")
        elif action == "stray":
            writer.write(msgpack.packb([1, (msgid + 7777) % 2**32, None, "nobody's"]) + response)
        else:
            writer.write(response * (2 if action == "twice" else 1))


def weighted_actions(rng: random.Random, weights: dict[str, float]) -> Callable[[str], str]:
    """Returns a function that draws a weighted action for each call, reproducible for one order of calls."""
    return lambda call: rng.choices(list(weights), list(weights.values()))[0]


class RpcCaller:
    """One connection of an application: pipelines calls and matches responses by msgid."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._msgid = 0
        self.pending: dict[int, asyncio.Future[tuple[Any, Any]]] = {}
        self.unexpected: list[Any] = []  # responses without a pending call
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, port: int) -> RpcCaller:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, method: str, *params: Any) -> asyncio.Future[tuple[Any, Any]]:
        """Sends a call. The future gets its (error, result), or a ConnectionError if it is lost."""
        self._msgid += 1
        future = self.pending[self._msgid] = asyncio.get_running_loop().create_future()
        self.writer.write(msgpack.packb([0, self._msgid, method, params]))
        return future

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker(raw=False, strict_map_key=False)
        try:
            while data := await self._reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    future = self.pending.pop(message[1], None)
                    if message[0] != 1 or future is None:
                        self.unexpected.append(message)
                    elif not future.done():
                        future.set_result((message[2], message[3]))
        except ConnectionError:
            pass
        for future in self.pending.values():
            if not future.done():
                future.set_exception(ConnectionResetError("the connection was closed"))

    def close(self) -> None:
        self._task.cancel()
        self.writer.transport.abort()
