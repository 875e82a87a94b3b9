"""The emulator's servers on real sockets: the model decides what becomes of a call, its listeners speak for
it."""

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

ANSWERS = {
    Outcome.OK: b"200 OK",
    Outcome.ERROR: b"500 Internal Server Error",
    Outcome.FULL: b"503 Service Unavailable\r\nx-unprocessed: 1",
}
BUSY = "busy"  # over MessagePack-RPC: it never ran
MOST_MESSAGE = 1 << 20
MOST_FACTS = 12


Shard = tuple[int, int]  # which of how many processes


class SocketServerHost(ServerHost, Protocol):
    """What servers on sockets need of the simulation that they are part of. ``peers``: all sidecars, by their
    numbers; ``noise_of``: by class, the spread of its work; ``relayed``: zones whose links may fail."""

    seed: int
    shard: Shard
    peers: list[Peer]
    noise_of: dict[str, float]
    relayed: tuple[str, ...]

    def is_dropped(self, sidecar: Any, server: Server) -> bool:
        """Whether nothing of an attempt arrives, nor anything comes back."""


class Peer:
    """A sidecar as servers see it, in whichever process it is spoken for."""

    def __init__(self, simulation: SocketServerHost, number: int, zone: str) -> None:
        self.simulation, self.number, self.zone = simulation, number, zone
        self._net = simulation.streams.of("net", "peer", number, simulation.shard[0])

    def delay(self, server: Server) -> float:
        net = self.simulation.scenario.network
        base = net.same_ms if server.zone == self.zone else net.cross_ms
        return base * (1.0 + net.jitter * self._net.random())


class SocketAttempt(Attempt):
    """An attempt as its server sees it, with the connection that it came on and its number there."""

    __slots__ = ("side", "msgid")

    side: Side
    msgid: int


class Side(asyncio.Protocol):
    """A connection of a sidecar to a server, whatever it speaks: what came on it and is not answered."""

    server: SocketServer
    epoch: int
    held: dict[int, SocketAttempt]
    transport: asyncio.Transport

    def opened(self, transport: asyncio.BaseTransport) -> None:
        server = self.server
        self.transport, self.epoch, self.held = cast(asyncio.Transport, transport), server.epoch, {}
        server.sides.add(self)
        server.connections += 1
        server.simulation.measures.bin().connects += 1
        if server.config.handshake_ms > 0 and server.state == UP:
            server.record_load(server.config.handshake_ms)

    def came(self, name: str, msgid: int, facts: str) -> None:
        """A whole request; ``facts`` are what its client says of the call (``facts_of``)."""
        simulation, server = cast(SocketServerHost, self.server.simulation), self.server
        told = read_facts(facts)
        sidecar: Any = simulation.peers[int(told["n"])]
        klass, server.count = told["c"], server.count + 1
        number = f"{server.number}.{server.count}"
        simulation.measures.bin().sent += 1
        simulation.checker.sent(sidecar.number, name, number, server.location(), simulation.clock.now)
        noise = golden_ratio_draw(told["h"], int(told["t"]) * 8 + server.number % 8)
        work = told["w"] * lognormal(noise, simulation.noise_of[klass])
        attempt = SocketAttempt(
            sidecar, name, number, server, simulation.clock.now, work, int(told["k"]), klass
        )
        attempt.side, attempt.epoch, attempt.msgid = self, self.epoch, msgid
        self.held[msgid] = attempt
        if simulation.is_dropped(sidecar, server):
            return
        if server.connections > server.config.connections:
            simulation.reply(attempt, Outcome.FULL)
        else:
            simulation.clock.schedule(sidecar.delay(server), server.arrive, attempt)

    def answer(self, attempt: SocketAttempt, outcome: Outcome) -> None:
        if self.held.pop(attempt.msgid, None) is not attempt or self.transport.is_closing():
            return
        attempt.open = False
        self.server.simulation.checker.ended(attempt.sidecar.number, attempt.request, attempt.number, outcome)
        if outcome in ANSWERS:
            self.transport.write(self.words(attempt, outcome))
        else:
            self.transport.abort()

    def words(self, attempt: SocketAttempt, outcome: Outcome) -> bytes:
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        server = self.server
        server.sides.discard(self)
        if server.epoch == self.epoch:
            server.connections -= 1
        held, self.held = self.held, {}
        for attempt in held.values():
            attempt.open = False
            server.cancel(attempt)
            server.simulation.checker.ended(
                attempt.sidecar.number, attempt.request, attempt.number, Outcome.TIMEOUT
            )


def facts_of(sidecar: int, klass: str, work: float, chance: float, key: int, tries: int) -> str:
    """What a server has to know of a call, as the protocol's X-Facts: it may be another process."""
    return f"n={sidecar},c={klass},w={work:.4f},h={chance:.8f},k={key},t={tries}"


def read_facts(text: str) -> dict[str, Any]:
    """Raises ValueError, KeyError for what is not such."""
    found: dict[str, Any] = dict(item.split("=", 1) for item in text.split(",", MOST_FACTS))
    for name in ("n", "w", "h", "k", "t"):
        found[name] = float(found[name])
        if not math.isfinite(found[name]):
            raise ValueError(text)
    return found


class HttpSide(Side, fleet.HttpMessageProtocol):
    """HTTP/1.1, one request at a time."""

    def __init__(self, server: SocketServer) -> None:
        fleet.HttpMessageProtocol.__init__(self)
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.opened(transport)

    def message(self, head: bytes, body: bytes) -> None:
        name = fleet.header_value(head, b"x-correlation-id").decode(errors="replace")
        self.came(name, 0, fleet.header_value(head, b"x-facts").decode(errors="replace"))

    def words(self, attempt: SocketAttempt, outcome: Outcome) -> bytes:
        body = b"done:" + attempt.request.encode() if outcome is Outcome.OK else b""
        return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (ANSWERS[outcome], len(body), body)


class RpcSide(Side):
    """MessagePack-RPC, answered in any order."""

    def __init__(self, server: SocketServer) -> None:
        self.server = server
        self.unpacker = msgpack.Unpacker(raw=False, strict_map_key=False, max_buffer_size=MOST_MESSAGE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.opened(transport)

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for _, msgid, _, params in self.unpacker:
            self.came(params[0]["id"], msgid, params[0]["facts"])

    def words(self, attempt: SocketAttempt, outcome: Outcome) -> bytes:
        error = {Outcome.FULL: BUSY, Outcome.ERROR: {"why": "an error"}}.get(outcome)
        result = None if error else [attempt.request]
        return cast(bytes, msgpack.packb([1, attempt.msgid, error, result]))


class SocketServer(Server):
    """The model with a listener for each protocol, and a relay before each for those links that may fail."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.sides: set[Side] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.count = 0  # attempts that came
        self.doors = tuple(
            FaultyListener(lambda found, speaks=kind: self._accept(found, speaks))  # type: ignore[misc]
            for kind in SIDES
        )
        for door in self.doors:
            door.serve()
        simulation = cast(SocketServerHost, self.simulation)
        self.relays: dict[str, list[TcpRelay]] = {}  # by zone of the sidecars, a relay for each protocol
        for zone in simulation.relayed:
            seed = simulation.seed * 1009 + self.number
            self.relays[zone] = [TcpRelay("127.0.0.1", door.port, seed) for door in self.doors]

    def _accept(self, found: socket.socket, speaks: type[HttpSide] | type[RpcSide]) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.connect_accepted_socket(lambda: speaks(self), found))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def dials(self) -> dict[str, tuple[str, str]]:
        """Where it is reached, over HTTP and over MessagePack-RPC, by zone of who asks; the empty one is
        all."""
        found = {zone: [relay.port for relay in relays] for zone, relays in self.relays.items()}
        found[""] = [door.port for door in self.doors]
        return {zone: (f"127.0.0.1:{at[0]}", f"127.0.0.1:{at[1]}") for zone, at in found.items()}

    def fault(self, place: ZonePair, link: Link) -> None:
        """What a link from a zone of sidecars does from now on."""
        if place[1] != self.zone:
            return
        for relay in self.relays.get(place[0], ()):
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

    def _cut(self) -> None:
        for side in list(self.sides):
            side.transport.abort()

    def stop(self, state: str) -> None:
        super().stop(state)
        for door in self.doors:
            if state == DEAD:
                door.refuse()
            else:
                door.hang()
        if state == DEAD:
            self._cut()

    def start(self) -> None:
        if self.state != UP:
            self._cut()  # of the life before: reset when the machine is back
            for door in self.doors:
                door.serve()
        super().start()

    def close(self) -> None:
        for door in self.doors:
            door.refuse()
        for relays in self.relays.values():
            for relay in relays:
                relay.close()
        self._cut()


SIDES = (HttpSide, RpcSide)


class Elsewhere(Server):
    """A server of another process of the rig: what befalls it is planned here too, what it does is told
    there."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.reached: dict[str, tuple[str, str]] = {"": ("127.0.0.1:1", "127.0.0.1:1")}

    def dials(self) -> dict[str, tuple[str, str]]:
        return self.reached

    def fault(self, place: ZonePair, link: Link) -> None:
        """Its own process sees to that."""

    def _report_load(self) -> None:
        pass

    def mark(self, why: str, unsound: bool) -> None:
        pass

    def fell(self) -> None:
        """It was pushed over, where it is."""
        if self.state == UP:
            self.stop(DEAD)
            self.clock.schedule(self.config.down_ms, self.start)

    def close(self) -> None:
        pass
