"""Injects network faults: a relay on loopback between two addresses, for connections and for datagrams.

The faults of a link can change at any time: one or both directions are cut, all data is delayed, part of
it is lost (over TCP that means late: what is lost is retransmitted), connections are reset, or are half-open
without a peer. While a link is cut, a new connection neither succeeds nor fails. The relay consists of
ordinary sockets and needs no privileges and no kernel support. Random draws come from a seed.
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

MAX_BUFFERED_BYTES = 1 << 20  # per direction of a cut connection; beyond that its sender has to wait
RETRANSMIT_MS = 200.0  # TCP retransmits lost data after this time, then after twice that
MAX_QUEUED_DATAGRAMS = 4096  # through one relay; more are dropped, as by a full queue


@dataclass(slots=True)
class Faults:
    """The current faults of a link. Probabilities are per message (a datagram, or the data of one read of a
    connection)."""

    to_target: bool = True  # whether data passes from the client to the target
    to_client: bool = True  # whether data passes from the target to the client
    delay_ms: float = 0.0  # in each direction, in addition to loopback's own
    jitter_ms: float = 0.0  # maximum additional delay, drawn for each message
    loss: float = 0.0
    reset: float = 0.0
    duplicate: float = 0.0  # of datagrams only
    bytes_s: float = 0.0  # maximum bytes per second of a connection in each direction; 0: unlimited


class FaultyListener:
    """A port that accepts connections, refuses them, or leaves them pending."""

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
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setblocking(False)
            self._accepted(connection)

    def refuse(self) -> None:
        self._open.close()

    def hang(self) -> None:
        """Fills the backlog, so that a connection attempt neither succeeds nor fails."""
        self.refuse()
        full = self._open.enter_context(socket.create_server((self.host, self.port), backlog=0))
        for _ in range(4):
            filler = self._open.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())


class RelayEndpoint(asyncio.Protocol):
    """One side of a relayed connection, with the data that waits to be written to it."""

    def __init__(self, connection: RelayedConnection, is_client: bool) -> None:
        self.connection, self.is_client = connection, is_client
        self.transport: asyncio.Transport | None = None
        self.queue: deque[tuple[float, bytes | None]] = deque()  # due times and data; None: end of stream
        self.queued_bytes = 0
        self.link_free_at = 0.0  # when all data queued here has passed a link of limited bandwidth
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connection.on_faults_changed()

    def data_received(self, data: bytes) -> None:
        self.connection.forward(self, data)

    def eof_received(self) -> bool:
        self.connection.forward(self, None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.connection.on_lost(self, exc)

    def enqueue(self, due: float, data: bytes | None) -> None:
        self.queue.append((max(due, self.queue[-1][0] if self.queue else 0.0), data))
        self.queued_bytes += len(data or b"")
        self.flush()

    def lift_bandwidth_limit(self) -> None:
        """Makes all queued data due now."""
        now = asyncio.get_running_loop().time()
        self.link_free_at = 0.0
        self.queue = deque((min(due, now), data) for due, data in self.queue)

    def flush(self) -> None:
        """Writes the data that is due, unless the link is cut."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        loop = asyncio.get_running_loop()
        if self.transport is None or not self.connection.passes(self):
            return
        while self.queue:
            due, data = self.queue[0]
            if due > loop.time():
                self.timer = loop.call_at(due, self.flush)
                return
            self.queue.popleft()
            if self.transport.is_closing():
                continue
            if data is None:
                with suppress(OSError):  # the socket was reset, and the loop has not reported it yet
                    if self.transport.can_write_eof():
                        self.transport.write_eof()
            else:
                self.queued_bytes -= len(data)
                self.transport.write(data)
        self.connection.resume_sender(self)


class RelayedConnection:
    """A connection through the relay: one side to the client that connected, one to the target."""

    def __init__(self, relay: TcpRelay) -> None:
        self.relay, self.half_open = relay, False
        self.source = ""  # the host that connected
        self.client_side, self.target_side = RelayEndpoint(self, True), RelayEndpoint(self, False)

    @property
    def faults(self) -> Faults:
        """The current faults of this connection's link."""
        return self.relay.faults_of(self.source)

    def on_faults_changed(self) -> None:
        for endpoint in (self.client_side, self.target_side):
            if endpoint.link_free_at and not self.faults.bytes_s:
                endpoint.lift_bandwidth_limit()
            if endpoint.transport is not None:
                endpoint.flush()

    def passes(self, endpoint: RelayEndpoint) -> bool:
        """Whether data may be written to this endpoint."""
        faults = self.faults
        return not self.half_open and (faults.to_target if endpoint is self.target_side else faults.to_client)

    def forward(self, endpoint: RelayEndpoint, data: bytes | None) -> None:
        if self.half_open:
            return  # the peer is gone without notice: the data is discarded silently
        faults, rng, delay_ms = self.faults, self.relay.rng, 0.0
        if data is not None:
            if faults.reset and rng.random() < faults.reset:
                self.abort()
                return
            delay_ms = faults.delay_ms + faults.jitter_ms * rng.random()
            retransmit_ms = RETRANSMIT_MS
            while faults.loss and retransmit_ms < 10_000.0 and rng.random() < faults.loss:
                delay_ms, retransmit_ms = delay_ms + retransmit_ms, 2.0 * retransmit_ms
        other = self.target_side if endpoint is self.client_side else self.client_side
        passes_at = asyncio.get_running_loop().time()
        if faults.bytes_s:
            passes_at = other.link_free_at = (
                max(passes_at, other.link_free_at) + len(data or b"") / faults.bytes_s
            )
        other.enqueue(passes_at + delay_ms / 1000.0, data)
        if other.queued_bytes > MAX_BUFFERED_BYTES and endpoint.transport is not None:
            endpoint.transport.pause_reading()

    def resume_sender(self, endpoint: RelayEndpoint) -> None:
        """Resumes reading from the side that sends to this endpoint."""
        other = self.target_side if endpoint is self.client_side else self.client_side
        if other.transport is not None and not other.transport.is_closing():
            other.transport.resume_reading()

    def on_lost(self, endpoint: RelayEndpoint, exc: Exception | None) -> None:
        other = self.target_side if endpoint is self.client_side else self.client_side
        if other.timer is not None:
            other.timer.cancel()
        self.relay.connections.discard(self)
        if other.transport is None or self.half_open:
            return
        if exc is None and self.passes(other) and other.queue:
            other.flush()
        if exc is None and not other.queue:
            other.transport.close()
        elif self.passes(other):
            other.transport.abort()

    def abort(self) -> None:
        for endpoint in (self.client_side, self.target_side):
            if endpoint.transport is not None:
                endpoint.transport.abort()
        self.relay.connections.discard(self)


class TcpRelay:
    """Relays connections from its own port to a target address, subject to its ``faults``. ``at``: the
    address at which it listens."""

    connection_type = RelayedConnection

    def __init__(self, host: str, port: int, seed: int, at: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self._target, self.rng = (host, port), random.Random(seed)
        self.faults = Faults()
        self._faults_by_source: dict[str, Faults] = {}
        self.connections: set[RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = FaultyListener(self._accepted, at[1], at[0])
        self._listener.serve()
        self.port = self._listener.port

    def set_faults(self, faults: Faults) -> None:
        """Sets the faults from now on. While nothing passes to the target, new connections stay pending."""
        before, self.faults = self.faults, faults
        if before.to_target != faults.to_target:
            (self._listener.serve if faults.to_target else self._listener.hang)()
        for connection in list(self.connections):
            connection.on_faults_changed()

    def faults_of(self, source: str) -> Faults:
        """Returns the current faults of the link from that host."""
        return self._faults_by_source.get(source, self.faults)

    def set_faults_from(self, source: str, faults: Faults | None) -> None:
        """Sets the faults of connections from that host; None: as for all others."""
        if faults is None:
            self._faults_by_source.pop(source, None)
        else:
            self._faults_by_source[source] = faults
        for connection in list(self.connections):
            connection.on_faults_changed()

    def make_half_open(self) -> None:
        """Makes all open connections half-open: the target is gone without notice."""
        for connection in self.connections:
            connection.half_open = True

    def _accepted(self, accepted: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        loop, connection = asyncio.get_running_loop(), self.connection_type(self)
        try:
            connection.source = accepted.getpeername()[0]
            await loop.create_connection(lambda: connection.target_side, *self._target)
        except OSError:  # the target refused the connection: reset the client
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            accepted.close()
            return
        self.connections.add(connection)
        await loop.connect_accepted_socket(lambda: connection.client_side, accepted)

    def close(self) -> None:
        self._listener.refuse()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.abort()


class UdpRelay(asyncio.DatagramProtocol):
    """Relays datagrams between two members: those sent to its port go on to the target from a port that
    represents the sender, subject to its ``faults``. One relay serves one direction."""

    def __init__(self, target: tuple[str, int], seed: int) -> None:
        self._target, self.rng, self.faults = target, random.Random(seed), Faults()
        self._in_flight = 0
        self.dropped = 0
        self.transport: asyncio.DatagramTransport

    @classmethod
    async def start(cls, target: tuple[str, int], seed: int) -> UdpRelay:
        loop = asyncio.get_running_loop()
        _, relay = await loop.create_datagram_endpoint(lambda: cls(target, seed), ("127.0.0.1", 0))
        return relay

    @property
    def port(self) -> int:
        return int(self.transport.get_extra_info("sockname")[1])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: object) -> None:
        faults, rng = self.faults, self.rng
        for _ in range(1 + (faults.duplicate > 0.0 and rng.random() < faults.duplicate)):
            delay_ms = faults.delay_ms + faults.jitter_ms * rng.random()
            if not faults.to_target or rng.random() < faults.loss or self._in_flight >= MAX_QUEUED_DATAGRAMS:
                self.dropped += 1
                continue
            self._in_flight += 1
            asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._send, data)

    def _send(self, data: bytes) -> None:
        self._in_flight -= 1
        if not self.transport.is_closing():
            self.transport.sendto(data, self._target)
