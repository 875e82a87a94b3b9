"""Real sidecars as the simulation's models meet them: a process each, its clients' connections, and the list
it is told."""

from __future__ import annotations

import asyncio
import json
import math
import signal
from contextlib import AsyncExitStack
from typing import Any, Literal, Protocol

from hareloom import interface as api
from hareloom.interface import ListKind
from lab.calls import Try
from lab.checker import Checker
from lab.clients import Clients
from lab.clock import Clock
from lab.discovery import Discovery
from lab.launch import Launcher, Program
from lab.scenario_tables import Scenario
from lab.servers import Server
from lab.socket_servers import BUSY, SocketServer, facts_of
from lab.streams import Streams
from rigs import fleet
from rigs.rpc_peer import RpcCaller

Speaks = Literal["http", "rpc"]


class SocketSidecarHost(Protocol):
    """What sidecars on sockets need of the simulation that they are part of. ``began_unix_ms``: the play's
    start in milliseconds since 1970."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    checker: Checker
    discovery: Discovery
    clients: Clients
    launcher: Launcher
    began_unix_ms: float

    def config(self, sidecar: SocketSidecar) -> str:
        """The platform's file for a sidecar."""

    def wire(self, name: str) -> SocketServer:
        """The server of that name."""

    def heard(self, held: Try) -> None:
        """A try was served; its latency counts."""


class _ClientSide(fleet.HttpMessageProtocol):
    """A client's connection to its sidecar: one request at a time."""

    def __init__(self, sidecar: SocketSidecar) -> None:
        super().__init__()
        self.sidecar = sidecar
        self.held: Try | None = None

    def ask(self, held: Try, life: float) -> None:
        self.held = held
        klass = held.call.klass
        method, body = ("GET", b"") if klass.effect == "safe" else ("POST", b"b" * 64)
        key = f"idempotency-key: key-{held.name}\r\n" if klass.effect == "keyed" else ""
        mark = "x-repeat: 1\r\n" if held.marked else ""
        self.transport.write(
            f"{method} /api HTTP/1.1\r\nhost: api.internal\r\nx-correlation-id: {held.name}\r\n"
            f"x-service-class: {klass.name}\r\nx-time-left-ms: {round(life)}\r\n{key}{mark}"
            f"x-facts: {self.sidecar.facts(held)}\r\n"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def message(self, head: bytes, body: bytes) -> None:
        held, self.held = self.held, None
        if fleet.header_value(head, b"connection").lower() == b"close":
            self.transport.close()
        else:
            self.sidecar.idle.append(self)
        if held is None:
            return
        status = int(head[9:12])
        what = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        if what == "served" and body != b"done:" + held.name.encode():
            self.sidecar.simulation.checker.breach("lost", f"{held.name} got another call's answer")
        advice = fleet.header_value(head, b"retry-after") or b"0"
        self.sidecar.answered(held, what, float(advice) * 1000.0)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.sidecar.idle:
            self.sidecar.idle.remove(self)
        held, self.held = self.held, None
        if held is not None:
            self.sidecar.cut(held)


class _Agent(fleet.HttpMessageProtocol):
    """Discovery as one sidecar meets it: a watch is held until there is something new."""

    def __init__(self, sidecar: SocketSidecar) -> None:
        super().__init__()
        self.sidecar = sidecar
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.sidecar.agents.add(self)

    def message(self, head: bytes, body: bytes) -> None:
        self.sidecar.list_calls += 1
        after = head.partition(b"after=")[2][:18].partition(b"&")[0].partition(b" ")[0]
        wait = head.partition(b"wait_ms=")[2][:8].partition(b"&")[0].partition(b" ")[0]
        if self.sidecar.simulation.discovery.is_down:
            if self.sidecar.simulation.scenario.discovery.mode == "ask":
                self.transport.abort()
            return
        if not after.isdigit() or int(after) < self.sidecar.list_version + 1 or not wait.isdigit():
            self.send()
        else:
            delay = min(int(wait), 60_000) / 1000.0
            self.timer = asyncio.get_running_loop().call_later(delay, self.send)

    def send(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not self.transport.is_closing():
            data = json.dumps(self.sidecar.list_told()).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(data), data))

    def connection_lost(self, exc: Exception | None) -> None:
        self.sidecar.agents.discard(self)
        if self.timer is not None:
            self.timer.cancel()


class SocketSidecar:
    """A real sidecar as a process, as the simulation's models meet it."""

    is_local = True  # its process is this one's child

    def __init__(self, simulation: SocketSidecarHost, number: int, speaks: Speaks) -> None:
        self.simulation, self.number, self.speaks = simulation, number, speaks
        zones = simulation.scenario.network.zones
        self.zone = zones[number % len(zones)]
        self.network_rng, self.list_delay_rng = (
            simulation.streams.of("net", number),
            simulation.streams.of("lag", number),
        )
        self.up, self.paused, self.incarnation, self.list_version, self.subscribed = False, False, 0, 0, True
        self.generation, self.resumed_at, self.list_calls = 0, -1.0, 0
        self.known: dict[str, api.ServerEntry] = {}
        self.idle: list[_ClientSide] = []
        self.busy: dict[str, _ClientSide] = {}
        self.agents: set[_Agent] = set()
        self.running: Program | None = None
        self.rpc_port = 0
        self.rpc: RpcCaller | None = None
        self._opening = asyncio.Lock()
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    def facts(self, held: Try) -> str:
        call = held.call
        return facts_of(self.number, call.klass.name, call.work, call.draw, call.key, call.tries)

    def delay(self, server: Server) -> float:
        net = self.simulation.scenario.network
        base = net.same_ms if server.zone == self.zone else net.cross_ms
        return base * (1.0 + net.jitter * self.network_rng.random())

    def _do(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def begin(self, entries: tuple[api.ServerEntry, ...]) -> None:
        self.known = {entry.server: entry for entry in entries}
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _Agent(self), "127.0.0.1", 0)
        self._stack.callback(server.close)
        self.agent_port = server.sockets[0].getsockname()[1]
        await self._run()

    async def _run(self) -> None:
        operator = self._operator() if self.speaks == "rpc" else ""
        self.running = await self.simulation.launcher.program(self.simulation.config(self), operator)
        if operator:
            self.rpc_port = await self.running.next_listener_port()
            self.running.read_on()
        self.up, self.incarnation = True, self.incarnation + 1
        self.simulation.checker.started(self.number)
        told = api.ServerList(ListKind.FULL, self.list_version, tuple(self.known.values()))
        self.simulation.checker.listed(self.number, self.simulation.clock.now, told)

    def _operator(self) -> str:
        """The operator's file: each class a method of its name."""
        lines = ["[rpc]", 'listen = "127.0.0.1:0"', f'turned_away = ["{BUSY}"]']
        for item in self.simulation.scenario.classes:
            lines += ["[[rpc.methods]]", f'pattern = "{item.name}"', f'class = "{item.name}"']
            lines += ['id = [0, "id"]', 'deadline = [0, "left_ms"]']
            if item.effect == "keyed":
                lines.append('key = [0, "key"]')
        return "\n".join(lines)

    async def close(self) -> None:
        self.up = False  # what ends from here on is ended by the play's end
        if self.rpc is not None:
            self.rpc.close()
        for task in list(self._tasks):
            task.cancel()
        for side in [*self.idle, *self.busy.values(), *self.agents]:
            side.transport.abort()
        await self._stack.aclose()

    # What befalls it

    def start(self, entries: Any = None) -> None:
        self._do(self._run())

    def crash(self) -> None:
        if self.up and self.running is not None:
            self.up, self.incarnation = False, self.incarnation + 1
            self.running.process.kill()

    def pause(self) -> None:
        if self.up and self.running is not None:
            self.paused = True
            self.running.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        if self.paused and self.running is not None:
            self.paused, self.resumed_at = False, self.simulation.clock.now
            self.running.process.send_signal(signal.SIGCONT)

    # The list

    def handle_event(self, event: api.ServerList) -> None:
        if event.kind is ListKind.LOST:
            self.subscribed = True
            for agent in list(self.agents):
                agent.transport.abort()
            return
        for entry in event.entries:
            self.known[entry.server] = entry
        self.simulation.checker.listed(self.number, self.simulation.clock.now, event)
        for agent in [agent for agent in self.agents if agent.timer is not None]:
            agent.send()
        self.known = {k: e for k, e in self.known.items() if e.state is not api.ServerState.GONE}

    def list_told(self) -> dict[str, Any]:
        simulation = self.simulation
        if simulation.scenario.discovery.mode == "ask":
            self.list_version = len(simulation.discovery.changes)
            self.known = dict(simulation.discovery.entries)
        reached = {name: simulation.wire(name).dials() for name in self.known}
        dials = {name: found.get(self.zone, found[""]) for name, found in reached.items()}
        hosts = [
            {
                "host": entry.server,
                "dial": dials[entry.server][0],
                "dial_rpc": dials[entry.server][1],
                "site": entry.zone,
                "class": entry.kind,
                "block": entry.cell,
                "health": "up" if entry.state is api.ServerState.READY else "draining",
                "share": entry.size,
                "born_ms": 0
                if entry.started_at is None
                else round(simulation.began_unix_ms + entry.started_at),
            }
            for entry in self.known.values()
            if entry.state is not api.ServerState.GONE
        ]
        return {"seq": self.list_version + 1, "whole": True, "hosts": hosts}

    # Calls

    def handle_request(self, held: Try, until: float) -> None:
        self._do(self._ask(held, until))

    async def _ask(self, held: Try, until: float) -> None:
        if self.speaks == "rpc":
            await self._call(held, until)
            return
        try:
            if self.idle:
                side = self.idle.pop()
            else:
                assert self.running is not None
                loop = asyncio.get_running_loop()
                _, side = await loop.create_connection(
                    lambda: _ClientSide(self), "127.0.0.1", self.running.port
                )
        except OSError:
            self.cut(held)
            return
        if not held.open:
            self.idle.append(side)
            return
        self.busy[held.name] = side
        self.simulation.checker.asked(self.number, held.name, held.call.klass.name, until)
        side.ask(held, until - self.simulation.clock.now)

    async def _call(self, held: Try, until: float) -> None:
        """Over MessagePack-RPC: all calls on one connection, which nothing but its end gives up."""
        try:
            async with self._opening:
                if self.rpc is None or self.rpc.writer.is_closing():
                    self.rpc = await RpcCaller.connect(self.rpc_port)
            # A sidecar is told the class's deadline here, and not when this try's client gives up.
            self.simulation.checker.asked(self.number, held.name, held.call.klass.name, math.inf)
            left = round(until - self.simulation.clock.now)
            params = {"id": held.name, "key": f"key-{held.name}", "left_ms": left}
            params["facts"] = self.facts(held)
            error, result = await self.rpc.send(held.call.klass.name, params)
        except OSError:
            self.cut(held)
            return
        code = error.get("code") if isinstance(error, dict) else None
        what = "served" if error is None else "refused" if code == "refused" else "failed"
        if error is None and result != [held.name]:
            self.simulation.checker.breach("lost", f"{held.name} got another call's answer")
        self.answered(held, what, float(error.get("retry_after_ms", 0.0)) if code == "refused" else 0.0)

    def answered(self, held: Try, what: str, advice_ms: float) -> None:
        self.busy.pop(held.name, None)
        if held.open:
            self.simulation.checker.final(self.number, held.name, what, self.simulation.clock.now)
            if what == "served":
                self.simulation.heard(held)
        self.simulation.clients.try_ended(held, what, advice_ms)

    def cut(self, held: Try) -> None:
        """The connection ended without an answer."""
        self.busy.pop(held.name, None)
        if held.open and self.up and held.incarnation == self.incarnation:
            self.simulation.checker.breach("lost", f"{held.name} was cut off by a running sidecar")
        self.simulation.clients.try_ended(held, "cut", 0.0)

    def client_gone(self, held: Try) -> None:
        side = self.busy.pop(held.name, None)
        if self.speaks == "rpc":
            return  # nothing tells the sidecar; what it was told of the time left does
        self.simulation.checker.left(self.number, held.name, self.simulation.clock.now)
        if side is not None:
            side.held = None
            side.transport.abort()


class Absent:
    """A sidecar of another process of the rig: nothing of it is here but its place."""

    is_local = False
    up, paused, incarnation, list_version, generation, subscribed = True, False, 0, 0, 0, False
    resumed_at = -1.0

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone

    def start(self, entries: Any = None) -> None:
        pass

    def crash(self) -> None:
        pass

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass
