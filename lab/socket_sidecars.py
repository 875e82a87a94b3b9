"""Real sidecar processes as the simulation's models see them: the process, the connections of its clients,
and the list of servers that it gets from discovery.
"""

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
from lab.launch import Launcher, SidecarProcess
from lab.scenario_tables import Scenario
from lab.servers import Server
from lab.socket_servers import RPC_BUSY, SocketServer, encode_facts
from lab.streams import Streams
from rigs import fleet
from rigs.rpc_peer import RpcCaller

CallProtocol = Literal["http", "rpc"]  # HTTP/1.1 or MessagePack-RPC


class SocketSidecarHost(Protocol):
    """What sidecars on sockets need of their simulation.

    ``began_unix_ms``: the start of the play in milliseconds since 1970."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    checker: Checker
    discovery: Discovery
    clients: Clients
    launcher: Launcher
    began_unix_ms: float

    def config(self, sidecar: SocketSidecar) -> str:
        """The platform's configuration file for a sidecar, as JSON."""

    def socket_server(self, name: str) -> SocketServer:
        """The server of this name."""

    def record_latency(self, client_try: Try) -> None:
        """Records the latency of a served try."""


class _ClientConnection(fleet.HttpMessageProtocol):
    """A client's HTTP/1.1 connection to its sidecar: one request at a time."""

    def __init__(self, sidecar: SocketSidecar) -> None:
        super().__init__()
        self.sidecar = sidecar
        self.client_try: Try | None = None

    def send_request(self, client_try: Try, remaining_ms: float) -> None:
        """Sends the request of a try."""
        self.client_try = client_try
        klass = client_try.call.klass
        method, body = ("GET", b"") if klass.effect == "safe" else ("POST", b"b" * 64)
        key_header = f"idempotency-key: key-{client_try.name}\r\n" if klass.effect == "keyed" else ""
        repeat_header = "x-repeat: 1\r\n" if client_try.marked else ""
        self.transport.write(
            f"{method} /api HTTP/1.1\r\nhost: api.internal\r\nx-correlation-id: {client_try.name}\r\n"
            f"x-service-class: {klass.name}\r\nx-time-left-ms: {round(remaining_ms)}\r\n{key_header}"
            f"{repeat_header}x-facts: {self.sidecar.call_facts(client_try)}\r\n"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def message(self, head: bytes, body: bytes) -> None:
        client_try, self.client_try = self.client_try, None
        if fleet.header_value(head, b"connection").lower() == b"close":
            self.transport.close()
        else:
            self.sidecar.idle.append(self)
        if client_try is None:
            return
        status = int(head[9:12])
        outcome = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        if outcome == "served" and body != b"done:" + client_try.name.encode():
            self.sidecar.simulation.checker.breach("lost", f"{client_try.name} got another call's answer")
        retry_after = fleet.header_value(head, b"retry-after") or b"0"
        self.sidecar.try_answered(client_try, outcome, float(retry_after) * 1000.0)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.sidecar.idle:
            self.sidecar.idle.remove(self)
        client_try, self.client_try = self.client_try, None
        if client_try is not None:
            self.sidecar.try_cut_off(client_try)


class _DiscoveryConnection(fleet.HttpMessageProtocol):
    """A sidecar's connection to discovery: a long poll is answered when the list changes or its wait ends."""

    def __init__(self, sidecar: SocketSidecar) -> None:
        super().__init__()
        self.sidecar = sidecar
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.sidecar.discovery_connections.add(self)

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
        """Answers with the current list."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not self.transport.is_closing():
            data = json.dumps(self.sidecar.discovery_answer()).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(data), data))

    def connection_lost(self, exc: Exception | None) -> None:
        self.sidecar.discovery_connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()


class SocketSidecar:
    """A real sidecar process, with the interface that the simulation's models expect of a sidecar."""

    is_local = True  # its process is a child of this one

    def __init__(self, simulation: SocketSidecarHost, number: int, protocol: CallProtocol) -> None:
        self.simulation, self.number, self.protocol = simulation, number, protocol
        zones = simulation.scenario.network.zones
        self.zone = zones[number % len(zones)]
        self.network_rng, self.list_delay_rng = (
            simulation.streams.of("net", number),
            simulation.streams.of("lag", number),
        )
        self.up, self.paused, self.incarnation, self.list_version, self.subscribed = False, False, 0, 0, True
        self.generation, self.resumed_at, self.list_calls = 0, -1.0, 0
        self.known: dict[str, api.ServerEntry] = {}
        self.idle: list[_ClientConnection] = []
        self.busy: dict[str, _ClientConnection] = {}
        self.discovery_connections: set[_DiscoveryConnection] = set()
        self.process: SidecarProcess | None = None
        self.rpc_port = 0
        self.rpc_caller: RpcCaller | None = None
        self._opening = asyncio.Lock()
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    def call_facts(self, client_try: Try) -> str:
        """What the server has to know of the call, as text."""
        call = client_try.call
        return encode_facts(self.number, call.klass.name, call.work, call.draw, call.key, call.tries)

    def delay(self, server: Server) -> float:
        """A random one-way network delay in ms."""
        network = self.simulation.scenario.network
        base = network.same_ms if server.zone == self.zone else network.cross_ms
        return base * (1.0 + network.jitter * self.network_rng.random())

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def launch(self, entries: tuple[api.ServerEntry, ...]) -> None:
        """Starts the discovery endpoint with this list, and then the process."""
        self.known = {entry.server: entry for entry in entries}
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _DiscoveryConnection(self), "127.0.0.1", 0)
        self._stack.callback(server.close)
        self.discovery_port = server.sockets[0].getsockname()[1]
        await self._start_process()

    async def _start_process(self) -> None:
        operator = self._operator_file() if self.protocol == "rpc" else ""
        self.process = await self.simulation.launcher.start_sidecar(self.simulation.config(self), operator)
        if operator:
            self.rpc_port = await self.process.next_listener_port()
            self.process.drain_log()
        self.up, self.incarnation = True, self.incarnation + 1
        self.simulation.checker.started(self.number)
        server_list = api.ServerList(ListKind.FULL, self.list_version, tuple(self.known.values()))
        self.simulation.checker.listed(self.number, self.simulation.clock.now, server_list)

    def _operator_file(self) -> str:
        """The operator's configuration file, in which each class is an RPC method of the same name."""
        lines = ["[rpc]", 'listen = "127.0.0.1:0"', f'turned_away = ["{RPC_BUSY}"]']
        for item in self.simulation.scenario.classes:
            lines += ["[[rpc.methods]]", f'pattern = "{item.name}"', f'class = "{item.name}"']
            lines += ['id = [0, "id"]', 'deadline = [0, "left_ms"]']
            if item.effect == "keyed":
                lines.append('key = [0, "key"]')
        return "\n".join(lines)

    async def close(self) -> None:
        """Ends all connections and tasks."""
        self.up = False  # connections that end from now on do not break a rule
        if self.rpc_caller is not None:
            self.rpc_caller.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in [*self.idle, *self.busy.values(), *self.discovery_connections]:
            connection.transport.abort()
        await self._stack.aclose()

    # Faults

    def start(self, entries: Any = None) -> None:
        """Starts the process again."""
        self._start_task(self._start_process())

    def crash(self) -> None:
        """Kills the process."""
        if self.up and self.process is not None:
            self.up, self.incarnation = False, self.incarnation + 1
            self.process.forked.kill()

    def pause(self) -> None:
        """Suspends the process."""
        if self.up and self.process is not None:
            self.paused = True
            self.process.forked.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        if self.paused and self.process is not None:
            self.paused, self.resumed_at = False, self.simulation.clock.now
            self.process.forked.send_signal(signal.SIGCONT)

    # The list of servers

    def handle_event(self, event: api.ServerList) -> None:
        """Passes a change of the list on to the process, or drops its discovery connections."""
        if event.kind is ListKind.LOST:
            self.subscribed = True
            for connection in list(self.discovery_connections):
                connection.transport.abort()
            return
        for entry in event.entries:
            self.known[entry.server] = entry
        self.simulation.checker.listed(self.number, self.simulation.clock.now, event)
        for connection in [
            connection for connection in self.discovery_connections if connection.timer is not None
        ]:
            connection.send()
        self.known = {k: e for k, e in self.known.items() if e.state is not api.ServerState.GONE}

    def discovery_answer(self) -> dict[str, Any]:
        """The list of servers as the discovery service sends it."""
        simulation = self.simulation
        if simulation.scenario.discovery.mode == "ask":
            self.list_version = len(simulation.discovery.changes)
            self.known = dict(simulation.discovery.entries)
        addresses = {name: simulation.socket_server(name).addresses() for name in self.known}
        own_addresses = {name: by_zone.get(self.zone, by_zone[""]) for name, by_zone in addresses.items()}
        hosts = [
            {
                "host": entry.server,
                "dial": own_addresses[entry.server][0],
                "dial_rpc": own_addresses[entry.server][1],
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

    def handle_request(self, client_try: Try, deadline: float) -> None:
        """Sends a try to the sidecar."""
        self._start_task(self._send(client_try, deadline))

    async def _send(self, client_try: Try, deadline: float) -> None:
        if self.protocol == "rpc":
            await self._send_rpc(client_try, deadline)
            return
        try:
            if self.idle:
                connection = self.idle.pop()
            else:
                assert self.process is not None
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: _ClientConnection(self), "127.0.0.1", self.process.port
                )
        except OSError:
            self.try_cut_off(client_try)
            return
        if not client_try.open:
            self.idle.append(connection)
            return
        self.busy[client_try.name] = connection
        self.simulation.checker.asked(self.number, client_try.name, client_try.call.klass.name, deadline)
        connection.send_request(client_try, deadline - self.simulation.clock.now)

    async def _send_rpc(self, client_try: Try, deadline: float) -> None:
        """Sends a try over MessagePack-RPC: all calls share one connection, which is kept until it ends."""
        try:
            async with self._opening:
                if self.rpc_caller is None or self.rpc_caller.writer.is_closing():
                    self.rpc_caller = await RpcCaller.connect(self.rpc_port)
            # Over RPC the sidecar is not told when the client gives up, so the checker gets no deadline.
            self.simulation.checker.asked(self.number, client_try.name, client_try.call.klass.name, math.inf)
            left_ms = round(deadline - self.simulation.clock.now)
            params = {"id": client_try.name, "key": f"key-{client_try.name}", "left_ms": left_ms}
            params["facts"] = self.call_facts(client_try)
            error, result = await self.rpc_caller.send(client_try.call.klass.name, params)
        except OSError:
            self.try_cut_off(client_try)
            return
        code = error.get("code") if isinstance(error, dict) else None
        outcome = "served" if error is None else "refused" if code == "refused" else "failed"
        if error is None and result != [client_try.name]:
            self.simulation.checker.breach("lost", f"{client_try.name} got another call's answer")
        self.try_answered(
            client_try, outcome, float(error.get("retry_after_ms", 0.0)) if code == "refused" else 0.0
        )

    def try_answered(self, client_try: Try, outcome: str, retry_after_ms: float) -> None:
        """A try was answered."""
        self.busy.pop(client_try.name, None)
        if client_try.open:
            self.simulation.checker.final(self.number, client_try.name, outcome, self.simulation.clock.now)
            if outcome == "served":
                self.simulation.record_latency(client_try)
        self.simulation.clients.try_ended(client_try, outcome, retry_after_ms)

    def try_cut_off(self, client_try: Try) -> None:
        """The connection ended without an answer."""
        self.busy.pop(client_try.name, None)
        if client_try.open and self.up and client_try.incarnation == self.incarnation:
            self.simulation.checker.breach("lost", f"{client_try.name} was cut off by a running sidecar")
        self.simulation.clients.try_ended(client_try, "cut", 0.0)

    def client_gone(self, client_try: Try) -> None:
        """The client of a try has given up."""
        connection = self.busy.pop(client_try.name, None)
        if self.protocol == "rpc":
            return  # the sidecar is not notified: it only has the deadline that was sent with the call
        self.simulation.checker.left(self.number, client_try.name, self.simulation.clock.now)
        if connection is not None:
            connection.client_try = None
            connection.transport.abort()


class RemoteSidecar:
    """A placeholder for a sidecar of another driver; only its number and zone are known here."""

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
