"""Links that fail: a relay on loopback between two addresses, for connections and for datagrams.

What a link does is a value that can change at any time: nothing passes one way or both, everything is late,
part of it is lost (over TCP that is lateness: what is lost is sent again), connections are reset, or stand
open with nobody behind them. While a link is cut a new connection neither succeeds nor fails. No
privileges, nothing of the kernel's: the relay is an ordinary pair of sockets. Draws come from a seed.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from typing import cast

HELD_MOST = 1 << 20  # bytes a cut connection holds each way; then its sender has to wait, as it would
AGAIN_MS = 200.0  # TCP sends again what was lost after so long, then twice that
DATAGRAMS_HELD = 4096  # under way through one relay; more are dropped, as a full queue would


@dataclass(slots=True)
class Faults:
    """What a link does now. Shares are of messages (datagrams, or what one read of a connection brings)."""

    there: bool = True  # whether anything passes from those who dial to the address behind the relay
    back: bool = True
    delay_ms: float = 0.0  # each way, beyond what loopback takes
    jitter_ms: float = 0.0  # and up to so much more, drawn for each message
    loss: float = 0.0
    reset: float = 0.0
    twice: float = 0.0  # datagrams that arrive twice; a connection's bytes never do
    bytes_s: float = 0.0  # what a connection carries each way in a second; 0: as much as comes


class Door:
    """A port that serves, refuses, or neither accepts nor refuses."""

    def __init__(
        self, accepted: Callable[[socket.socket], None], port: int = 0, host: str = "127.0.0.1"
    ) -> None:
        self._accepted, self._open, self.port, self.host = accepted, ExitStack(), port, host

    def serve(self) -> None:
        self.refuse()
        listener = self._open.enter_context(socket.create_server((self.host, self.port), backlog=512))
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        loop.add_reader(listener.fileno(), self._accept, listener)
        self._open.callback(loop.remove_reader, listener.fileno())

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                found, _ = listener.accept()
            except OSError:
                return
            found.setblocking(False)
            self._accepted(found)

    def refuse(self) -> None:
        self._open.close()

    def hang(self) -> None:
        """More wait there than the backlog holds: a connect neither succeeds nor fails."""
        self.refuse()
        full = self._open.enter_context(socket.create_server((self.host, self.port), backlog=0))
        for _ in range(4):
            filler = self._open.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())


class End(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, pair: Pair, dialled: bool) -> None:
        self.pair, self.dialled = pair, dialled
        self.transport: asyncio.Transport | None = None
        self.queue: deque[tuple[float, bytes | None]] = deque()  # to write here, and when; None: the end
        self.size = 0
        self.free_at = 0.0  # when what was pushed here has passed a narrow link
        self.alarm: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pair.up()

    def data_received(self, data: bytes) -> None:
        self.pair.pass_on(self, data)

    def eof_received(self) -> bool:
        self.pair.pass_on(self, None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.pair.lost(self, exc)

    def push(self, due: float, data: bytes | None) -> None:
        self.queue.append((max(due, self.queue[-1][0] if self.queue else 0.0), data))
        self.size += len(data or b"")
        self.flush()

    def widen(self) -> None:
        """The link is narrow no more: what waited for its turn goes now."""
        now = asyncio.get_running_loop().time()
        self.free_at = 0.0
        self.queue = deque((min(due, now), data) for due, data in self.queue)

    def flush(self) -> None:
        """Writes what is due, if the link lets it through."""
        if self.alarm is not None:
            self.alarm.cancel()
            self.alarm = None
        loop = asyncio.get_running_loop()
        if self.transport is None or not self.pair.passes(self):
            return
        while self.queue:
            due, data = self.queue[0]
            if due > loop.time():
                self.alarm = loop.call_at(due, self.flush)
                return
            self.queue.popleft()
            if self.transport.is_closing():
                continue
            if data is None:
                with suppress(OSError):  # it was reset, and the loop has not told so yet
                    if self.transport.can_write_eof():
                        self.transport.write_eof()
            else:
                self.size -= len(data)
                self.transport.write(data)
        self.pair.room(self)


class Pair:
    """A connection through the relay: the one that was dialled, and the one to the address behind."""

    def __init__(self, relay: TcpRelay) -> None:
        self.relay, self.dead = relay, False
        self.source = ""  # the host that dialled
        self.front, self.behind = End(self, True), End(self, False)

    @property
    def faults(self) -> Faults:
        """What this connection's link does now."""
        return self.relay.faults_of(self.source)

    def up(self) -> None:
        for end in (self.front, self.behind):
            if end.free_at and not self.faults.bytes_s:
                end.widen()
            if end.transport is not None:
                end.flush()

    def passes(self, end: End) -> bool:
        """Whether what is to be written at this end may be."""
        faults = self.faults
        return not self.dead and (faults.there if end is self.behind else faults.back)

    def pass_on(self, end: End, data: bytes | None) -> None:
        if self.dead:
            return  # half open: nobody is there to take it, and nobody to say so
        faults, chance, late = self.faults, self.relay.chance, 0.0
        if data is not None:
            if faults.reset and chance.random() < faults.reset:
                self.abort()
                return
            late = faults.delay_ms + faults.jitter_ms * chance.random()
            again = AGAIN_MS
            while faults.loss and again < 10_000.0 and chance.random() < faults.loss:
                late, again = late + again, 2.0 * again
        other = self.behind if end is self.front else self.front
        passes_at = asyncio.get_running_loop().time()
        if faults.bytes_s:
            passes_at = other.free_at = max(passes_at, other.free_at) + len(data or b"") / faults.bytes_s
        other.push(passes_at + late / 1000.0, data)
        if other.size > HELD_MOST and end.transport is not None:
            end.transport.pause_reading()

    def room(self, end: End) -> None:
        other = self.behind if end is self.front else self.front
        if other.transport is not None and not other.transport.is_closing():
            other.transport.resume_reading()

    def lost(self, end: End, exc: Exception | None) -> None:
        other = self.behind if end is self.front else self.front
        if other.alarm is not None:
            other.alarm.cancel()
        self.relay.pairs.discard(self)
        if other.transport is None or self.dead:
            return
        if exc is None and self.passes(other) and other.queue:
            other.flush()
        if exc is None and not other.queue:
            other.transport.close()
        elif self.passes(other):
            other.transport.abort()

    def abort(self) -> None:
        for end in (self.front, self.behind):
            if end.transport is not None:
                end.transport.abort()
        self.relay.pairs.discard(self)


class TcpRelay:
    """Connections to its port go on to an address, as its ``faults`` let them. ``at``: where it listens."""

    pair = Pair

    def __init__(self, host: str, port: int, seed: int, at: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self._target, self.chance = (host, port), random.Random(seed)
        self.faults = Faults()
        self._by_source: dict[str, Faults] = {}
        self.pairs: set[Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._door = Door(self._accepted, at[1], at[0])
        self._door.serve()
        self.port = self._door.port

    def set(self, faults: Faults) -> None:
        """From now on. While nothing passes there, no connection comes up either."""
        before, self.faults = self.faults, faults
        if before.there != faults.there:
            (self._door.serve if faults.there else self._door.hang)()
        for pair in list(self.pairs):
            pair.up()

    def faults_of(self, source: str) -> Faults:
        """What the link from that host does now."""
        return self._by_source.get(source, self.faults)

    def set_from(self, source: str, faults: Faults | None) -> None:
        """From now on, for connections from that host alone; None: as for all others."""
        if faults is None:
            self._by_source.pop(source, None)
        else:
            self._by_source[source] = faults
        for pair in list(self.pairs):
            pair.up()

    def half_open(self) -> None:
        """Those behind are gone for all connections that are open now, and nothing says so."""
        for pair in self.pairs:
            pair.dead = True

    def _accepted(self, found: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(found))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, found: socket.socket) -> None:
        loop, pair = asyncio.get_running_loop(), self.pair(self)
        try:
            pair.source = found.getpeername()[0]
            await loop.create_connection(lambda: pair.behind, *self._target)
        except OSError:  # refused behind: the one that dialled is reset
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            found.close()
            return
        self.pairs.add(pair)
        await loop.connect_accepted_socket(lambda: pair.front, found)

    def close(self) -> None:
        self._door.refuse()
        for task in list(self._tasks):
            task.cancel()
        for pair in list(self.pairs):
            pair.abort()


class UdpRelay(asyncio.DatagramProtocol):
    """Datagrams between two members: what one sends to its port goes on to the other from a port that
    stands for the sender, as its ``faults`` let them. One relay is one direction of a pair."""

    def __init__(self, target: tuple[str, int], seed: int) -> None:
        self._target, self.chance, self.faults = target, random.Random(seed), Faults()
        self._under_way = 0
        self.dropped = 0
        self.transport: asyncio.DatagramTransport

    @classmethod
    async def begin(cls, target: tuple[str, int], seed: int) -> UdpRelay:
        loop = asyncio.get_running_loop()
        _, made = await loop.create_datagram_endpoint(lambda: cls(target, seed), ("127.0.0.1", 0))
        return made

    @property
    def port(self) -> int:
        return int(self.transport.get_extra_info("sockname")[1])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: object) -> None:
        faults, chance = self.faults, self.chance
        for _ in range(1 + (faults.twice > 0.0 and chance.random() < faults.twice)):
            late = faults.delay_ms + faults.jitter_ms * chance.random()
            if not faults.there or chance.random() < faults.loss or self._under_way >= DATAGRAMS_HELD:
                self.dropped += 1
                continue
            self._under_way += 1
            asyncio.get_running_loop().call_later(late / 1000.0, self._send, data)

    def _send(self, data: bytes) -> None:
        self._under_way -= 1
        if not self.transport.is_closing():
            self.transport.sendto(data, self._target)
