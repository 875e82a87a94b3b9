"""The simulation's servers on real sockets: the model decides what happens to a call, and listeners carry the
requests and answers.
"""

from __future__ import annotations

import asyncio
import math
import socket
from typing import Any, Protocol, cast

import msgpack

from hareloom.interface import Outcome
from lab.links import Link, ZonePair
from lab.servers import DEAD, UP, Attempt, Server, ServerHost
from lab.streams import golden_ratio_draw, lognormal
from rigs import fleet
from rigs.relay import Faults, FaultyListener, TcpRelay

STATUS_LINES = {
    Outcome.OK: b"200 OK",
    Outcome.ERROR: b"500 Internal Server Error",
    Outcome.FULL: b"503 Service Unavailable\r\nx-unprocessed: 1",
}
RPC_BUSY = "busy"  # MessagePack-RPC error of a request that was not run
MAX_MESSAGE_BYTES = 1 << 20
MAX_FACTS = 12

Shard = tuple[int, int]  # the index of a process, and the number of processes


class SocketServerHost(ServerHost, Protocol):
    """What servers on sockets need of their simulation.

    ``peers``: all sidecars, by their numbers; ``noise_by_class``: the spread of each class's work;
    ``relayed_zones``: zones of sidecars whose links may fail."""

    seed: int
    shard: Shard
    peers: list[SidecarPeer]
    noise_by_class: dict[str, float]
    relayed_zones: tuple[str, ...]

    def is_dropped(self, sidecar: Any, server: Server) -> bool:
        """Whether an attempt and its answer are lost on the network."""


class SidecarPeer:
    """A sidecar as servers see it, whichever process runs it."""

    def __init__(self, simulation: SocketServerHost, number: int, zone: str) -> None:
        self.simulation, self.number, self.zone = simulation, number, zone
        self._network_rng = simulation.streams.of("net", "peer", number, simulation.shard[0])

    def delay(self, server: Server) -> float:
        """A random one-way network delay in ms."""
        network = self.simulation.scenario.network
        base = network.same_ms if server.zone == self.zone else network.cross_ms
        return base * (1.0 + network.jitter * self._network_rng.random())


class SocketAttempt(Attempt):
    """An attempt at its server, with the connection that it arrived on and its message id there."""

    __slots__ = ("connection", "msgid")

    connection: ServerConnection
    msgid: int


class ServerConnection(asyncio.Protocol):
    """A sidecar's connection to a server in either protocol, with the requests that are not answered yet."""

    server: SocketServer
    epoch: int
    attempts: dict[int, SocketAttempt]
    transport: asyncio.Transport

    def connection_opened(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with its server."""
        server = self.server
        self.transport, self.epoch, self.attempts = cast(asyncio.Transport, transport), server.epoch, {}
        server.open_connections.add(self)
        server.connections += 1
        server.simulation.measures.bin().connects += 1
        if server.config.handshake_ms > 0 and server.state == UP:
            server.record_load(server.config.handshake_ms)

    def request_received(self, name: str, msgid: int, facts: str) -> None:
        """Handles a complete request; ``facts`` describe the call (``encode_facts``)."""
        simulation, server = cast(SocketServerHost, self.server.simulation), self.server
        call = parse_facts(facts)
        sidecar: Any = simulation.peers[int(call["n"])]
        klass, server.request_count = call["c"], server.request_count + 1
        number = f"{server.number}.{server.request_count}"
        simulation.measures.bin().sent += 1
        simulation.checker.sent(sidecar.number, name, number, server.location(), simulation.clock.now)
        noise = golden_ratio_draw(call["h"], int(call["t"]) * 8 + server.number % 8)
        work = call["w"] * lognormal(noise, simulation.noise_by_class[klass])
        attempt = SocketAttempt(
            sidecar, name, number, server, simulation.clock.now, work, int(call["k"]), klass
        )
        attempt.connection, attempt.epoch, attempt.msgid = self, self.epoch, msgid
        self.attempts[msgid] = attempt
        if simulation.is_dropped(sidecar, server):
            return
        if server.connections > server.config.connections:
            simulation.reply(attempt, Outcome.FULL)
        else:
            simulation.clock.schedule(sidecar.delay(server), server.arrive, attempt)

    def send_answer(self, attempt: SocketAttempt, outcome: Outcome) -> None:
        """Sends the answer of an attempt, or resets the connection if the outcome has none."""
        if self.attempts.pop(attempt.msgid, None) is not attempt or self.transport.is_closing():
            return
        attempt.open = False
        self.server.simulation.checker.ended(attempt.sidecar.number, attempt.request, attempt.number, outcome)
        if outcome in STATUS_LINES:
            self.transport.write(self.encode_answer(attempt, outcome))
        else:
            self.transport.abort()

    def encode_answer(self, attempt: SocketAttempt, outcome: Outcome) -> bytes:
        """The answer in the connection's protocol."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        server = self.server
        server.open_connections.discard(self)
        if server.epoch == self.epoch:
            server.connections -= 1
        attempts, self.attempts = self.attempts, {}
        for attempt in attempts.values():
            attempt.open = False
            server.cancel(attempt)
            server.simulation.checker.ended(
                attempt.sidecar.number, attempt.request, attempt.number, Outcome.TIMEOUT
            )


def encode_facts(sidecar: int, klass: str, work: float, chance: float, key: int, tries: int) -> str:
    """What a server, possibly in another process, has to know of a call; sent as the X-Facts header."""
    return f"n={sidecar},c={klass},w={work:.4f},h={chance:.8f},k={key},t={tries}"


def parse_facts(text: str) -> dict[str, Any]:
    """Parses the output of ``encode_facts``. Raises ValueError or KeyError for any other text."""
    facts: dict[str, Any] = dict(item.split("=", 1) for item in text.split(",", MAX_FACTS))
    for name in ("n", "w", "h", "k", "t"):
        facts[name] = float(facts[name])
        if not math.isfinite(facts[name]):
            raise ValueError(text)
    return facts


class HttpServerConnection(ServerConnection, fleet.HttpMessageProtocol):
    """A connection that speaks HTTP/1.1, one request at a time."""

    def __init__(self, server: SocketServer) -> None:
        fleet.HttpMessageProtocol.__init__(self)
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.connection_opened(transport)

    def message(self, head: bytes, body: bytes) -> None:
        name = fleet.header_value(head, b"x-correlation-id").decode(errors="replace")
        self.request_received(name, 0, fleet.header_value(head, b"x-facts").decode(errors="replace"))

    def encode_answer(self, attempt: SocketAttempt, outcome: Outcome) -> bytes:
        body = b"done:" + attempt.request.encode() if outcome is Outcome.OK else b""
        return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (STATUS_LINES[outcome], len(body), body)


class RpcServerConnection(ServerConnection):
    """A connection that speaks MessagePack-RPC; answers are sent in any order."""

    def __init__(self, server: SocketServer) -> None:
        self.server = server
        self.unpacker = msgpack.Unpacker(raw=False, strict_map_key=False, max_buffer_size=MAX_MESSAGE_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.connection_opened(transport)

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for _, msgid, _, params in self.unpacker:
            self.request_received(params[0]["id"], msgid, params[0]["facts"])

    def encode_answer(self, attempt: SocketAttempt, outcome: Outcome) -> bytes:
        error = {Outcome.FULL: RPC_BUSY, Outcome.ERROR: {"why": "an error"}}.get(outcome)
        result = None if error else [attempt.request]
        return cast(bytes, msgpack.packb([1, attempt.msgid, error, result]))


class SocketServer(Server):
    """The server model with a listener for each protocol, and a relay in front of it for each link that
    may fail."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.open_connections: set[ServerConnection] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.request_count = 0  # attempts received
        self.listeners = tuple(
            FaultyListener(lambda accepted, connection_class=kind: self._accept(accepted, connection_class))  # type: ignore[misc]
            for kind in CONNECTION_CLASSES
        )
        for listener in self.listeners:
            listener.serve()
        simulation = cast(SocketServerHost, self.simulation)
        self.relays: dict[str, list[TcpRelay]] = {}  # by zone of the sidecars: one relay per protocol
        for zone in simulation.relayed_zones:
            seed = simulation.seed * 1009 + self.number
            self.relays[zone] = [TcpRelay("127.0.0.1", listener.port, seed) for listener in self.listeners]

    def _accept(
        self,
        accepted: socket.socket,
        connection_class: type[HttpServerConnection] | type[RpcServerConnection],
    ) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.connect_accepted_socket(lambda: connection_class(self), accepted))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def addresses(self) -> dict[str, tuple[str, str]]:
        """The HTTP and MessagePack-RPC addresses by zone of the sidecar; the empty zone is the default."""
        ports = {zone: [relay.port for relay in relays] for zone, relays in self.relays.items()}
        ports[""] = [listener.port for listener in self.listeners]
        return {zone: (f"127.0.0.1:{pair[0]}", f"127.0.0.1:{pair[1]}") for zone, pair in ports.items()}

    def apply_link(self, zones: ZonePair, link: Link) -> None:
        """Sets the faults of the link from a zone of sidecars."""
        if zones[1] != self.zone:
            return
        for relay in self.relays.get(zones[0], ()):
            faults = Faults(
                link.requests_arrive,
                link.answers_arrive,
                link.delay_ms,
                0.0,
                link.loss_share,
                link.reset_share,
            )
            relay.set_faults(faults)
            if link.half_open_before >= self.clock.now - 1.0 and link.half_open_before >= 0.0:
                relay.make_half_open()

    def _abort_connections(self) -> None:
        for connection in list(self.open_connections):
            connection.transport.abort()

    def stop(self, state: str) -> None:
        super().stop(state)
        for listener in self.listeners:
            if state == DEAD:
                listener.refuse()
            else:
                listener.hang()
        if state == DEAD:
            self._abort_connections()

    def start(self) -> None:
        if self.state != UP:
            self._abort_connections()  # connections of the previous run are reset when the server restarts
            for listener in self.listeners:
                listener.serve()
        super().start()

    def close(self) -> None:
        for listener in self.listeners:
            listener.refuse()
        for relays in self.relays.values():
            for relay in relays:
                relay.close()
        self._abort_connections()


CONNECTION_CLASSES = (HttpServerConnection, RpcServerConnection)


class RemoteServer(Server):
    """A placeholder for a server of another driver: its troubles are scheduled here too, but the other driver
    records what it does."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.addresses_by_zone: dict[str, tuple[str, str]] = {"": ("127.0.0.1:1", "127.0.0.1:1")}

    def addresses(self) -> dict[str, tuple[str, str]]:
        return self.addresses_by_zone

    def apply_link(self, zones: ZonePair, link: Link) -> None:
        """Done by the driver that runs the server."""

    def _report_load(self) -> None:
        pass

    def mark(self, reason: str, unhealthy: bool) -> None:
        pass

    def fell(self) -> None:
        """The server failed in its own driver."""
        if self.state == UP:
            self.stop(DEAD)
            self.clock.schedule(self.config.down_ms, self.start)

    def close(self) -> None:
        pass
