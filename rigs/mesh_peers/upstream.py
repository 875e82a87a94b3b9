"""An upstream of the protocol page that does with its requests what it is told."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable

import httptools

from anisestair.http import codec as http
from rigs.mesh_peers.client import call
from rigs.mesh_peers.messages import MOST_BODY, Address, read_message

# What an upstream may do with a request. Those of NOT_RUN do not begin work on it.
GOOD = frozenset({"ok", "hold", "twice", "late", "stray", "strays"})  # the right answer is there
BROKEN = frozenset({"cut", "reset", "garbage"})
OWN = frozenset({"500", "503", "429"})  # answers of its own that are no success
WAYS = GOOD | BROKEN | OWN | {"unsealed", "unnamed", "full", "421"}
NOT_RUN = frozenset({"full", "421"})
STRAYS = 6  # answers to others of one call that gets so many


class Upstream:
    """One life of an upstream. ``way`` says what it does with a request (one of WAYS); ``runs`` counts by
    Attempt-Id what it began to work on, over all that share it. Requests that are held go on at ``release``.
    """

    def __init__(
        self,
        instance: str = "i-1",
        service: str = "s",
        way: Callable[[http.Message], str] = lambda _: "ok",
        runs: Counter[str] | None = None,
        capacity: int = 8,
        keep_alive: str = "",
    ) -> None:
        self.instance, self.service, self.way, self.capacity = instance, service, way, capacity
        self.runs: Counter[str] = Counter() if runs is None else runs
        self.keep_alive = keep_alive  # the header's value, where it has one
        self.seen: list[http.Message] = []
        self.comes: asyncio.Queue[http.Message] = asyncio.Queue()  # each request, as it comes
        self.release = asyncio.Event()
        self.opened = 0  # connections so far
        self.address: Address = ("", 0)
        self.samples = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._connected, ip, port)
        self.address = (ip, self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        self._server.close()
        self.drop_all()

    def drop_all(self) -> None:
        """Every connection breaks."""
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def open(self) -> int:
        """Connections that are open now."""
        return len(self._writers)

    def say(self, data: bytes) -> None:
        """Bytes that nobody asked for, on every connection."""
        for writer in self._writers:
            writer.write(data)

    # Its calls to the sidecar beside it

    def beat(self, state: str = "settled") -> bytes:
        """The body of the next beat."""
        self.samples += 1
        told = {
            "plant": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z",
            "epoch": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmup_left_ms": 0,
            "sample_count": self.samples,
        }
        return json.dumps(told).encode()

    async def tell(self, control: Address, state: str = "settled") -> int:
        """One beat; gives the answer's status, 0 where none comes."""
        return (await call(control, b"PUT", b"/instances/" + self.instance.encode(), self.beat(state)))[0]

    # Requests

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self._writers.add(writer)
        messages = http.Reader(httptools.HttpRequestParser, MOST_BODY)
        messages.max_head = MOST_BODY
        try:
            while (message := await read_message(messages, reader)) is not None:
                self.came(message)
                if not await self._serve(message, reader, writer):
                    break
        except (OSError, http.BadMessage, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def came(self, message: http.Message) -> None:
        """A whole request, before anything is done with it."""
        self.seen.append(message)
        self.comes.put_nowait(message)

    async def _released(self, reader: asyncio.StreamReader) -> bool:
        """Whether it came to that; False where the connection ended first, and the request with it."""
        ends = asyncio.ensure_future(reader.read(1))
        free = asyncio.ensure_future(self.release.wait())
        await asyncio.wait({ends, free}, return_when=asyncio.FIRST_COMPLETED)
        released = free.done()
        ends.cancel()
        free.cancel()
        await asyncio.wait({ends, free})
        return released

    async def _serve(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Whether the connection goes on."""
        way, attempt = self.way(message), message.get(b"attempt-id") or ""
        assert way in WAYS, way
        named = message.get(b"target-instance")
        if named not in (None, self.instance):
            way = "421"
        if way not in NOT_RUN:
            self.runs[attempt] += 1
        if way == "reset" or way == "hold" and not await self._released(reader):
            return False
        good = self.answer(message)
        if way == "garbage":
            writer.write(b"\x16\x03\x01 no answer\r\n\r\n")
        elif way == "cut":
            writer.write(good[:-1])
            await writer.drain()
            writer.write_eof()
            return False
        elif way == "twice":
            writer.write(good + good)
        elif way == "late":  # one answer too many, in the place of the next one
            writer.write(good)
            await writer.drain()
            writer.write(good)
        elif way in ("stray", "strays"):
            other = self.answer(message, attempt="f" * 16)
            writer.write(other * (STRAYS if way == "strays" else 1) + good)
        else:
            writer.write(self._plain(way, message, attempt) if way not in ("ok", "hold") else good)
        await writer.drain()
        return True

    def answer(self, message: http.Message, attempt: str | None = None) -> bytes:
        """The good one, whole; a body of the request's own and this upstream's name."""
        told = (message.get(b"attempt-id") or "") if attempt is None else attempt
        return self._write(200, told, self.body(message), seal="3e1b.07")

    def body(self, message: http.Message) -> bytes:
        return self.instance.encode() + b":" + message.target + b":" + message.body

    def _plain(self, way: str, message: http.Message, attempt: str) -> bytes:
        if way == "unsealed":
            return self._write(200, attempt, self.body(message))
        if way == "unnamed":
            return self._write(200, "", self.body(message), seal="3e1b.07")
        if way == "full":
            return self._write(503, attempt, b"", marks=[(b"not-executed", b"1")])
        return self._write(int(way), attempt, b"own words")

    def _write(
        self, status: int, attempt: str, body: bytes, seal: str = "", marks: http.Headers | None = None
    ) -> bytes:
        headers: http.Headers = list(marks or [])
        if attempt:
            headers.append((b"attempt-id", attempt.encode()))
        if seal:
            headers.append((b"response-seal", seal.encode()))
        if self.keep_alive:
            headers.append((b"keep-alive", self.keep_alive.encode()))
        headers.append((b"plant-load", b"1,0,%d" % self.capacity))
        return http.write_response(status, headers, body, close=False)
