"""A simulated market on loopback: order servers for both protocols, discovery, and open-loop callers.

It records which calls ran and reports whether a sidecar between callers and servers kept the rules. What a
server does with a call is drawn from a seed; the test decides when servers fail, drain or restart.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import time
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from rigs import fleet
from rigs.rpc_peer import RpcCaller, RpcServer

DRAIN_LIMIT_S = 2.05  # the limit of 2 s, plus 50 ms for delays on sockets
NOTICE_LIMIT_S = 6.0  # after this time a drain counts as published, even if discovery did not send it
DEADLINE_SLACK_S = 0.25  # after the deadline, before a response counts as late on a busy machine
OVERLOAD_WINDOW_S = 0.5  # a starting server fails if it is overloaded for this long
OVERLOAD_FACTOR = 2.0  # overload: this multiple of its current capacity
MIN_OVERLOAD_CALLS = 5  # fewer calls in the window may be a random burst


@dataclass(frozen=True, slots=True)
class CallKind:
    """One kind of call, as the application makes it and the servers handle it."""

    name: str
    repeat: str  # "never", "keyed" or "free"
    rate: float  # calls per second
    given_up_ms: float
    burst: int = 1  # calls that start together
    size: int = 64  # bytes of the body
    remembers_ms: float = 8000.0
    remembered_by: str = "cell"
    method: str = ""  # of MessagePack-RPC; empty: HTTP
    alternates_protocols: bool = False  # every second call uses HTTP although the kind has a method
    key: tuple[int | str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerBehavior:
    """The probability of each outcome of a call at a server (the rest is served), and its delays."""

    reset: float = 0.0  # runs the call, then breaks the connection
    error: float = 0.0  # runs the call, and responds with an error
    turned_away: float = 0.0  # truthfully responds that the call did not run
    min_delay_ms: float = 1.0
    max_delay_ms: float = 5.0
    idle_close_ms: float = 0.0  # a connection idle for longer breaks with its next call; 0: never


class Ledger:
    """Counts the runs of each call on all servers together."""

    def __init__(self, kinds: Sequence[CallKind]) -> None:
        self.kinds = {kind.name: kind for kind in kinds}
        self.methods = {kind.method: kind for kind in kinds if kind.method}
        self.runs: dict[str, Counter[str]] = {kind.name: Counter() for kind in kinds}
        self._keys: dict[tuple[str, str, str], float] = {}

    def run_call(self, server: Server, kind: CallKind, call: str, key: str) -> None:
        """Runs a call, unless a server that shares its keys with this one remembers the key."""
        if kind.repeat == "keyed":
            scope = {"cell": f"{server.zone}/{server.cell}", "zone": server.zone, "all": ""}[
                kind.remembered_by
            ]
            now = time.monotonic()
            first_run_at = self._keys.get((kind.name, scope, key))
            if first_run_at is not None and (now - first_run_at) * 1000.0 < kind.remembers_ms:
                return
            self._keys[kind.name, scope, key] = now
        self.runs[kind.name][call] += 1

    def count_duplicates(self) -> int:
        """Returns the number of calls that ran more than once although their kind does not allow it."""
        return sum(
            count > 1
            for name, runs_by_call in self.runs.items()
            if self.kinds[name].repeat != "free"
            for count in runs_by_call.values()
        )


class Server:
    """One order server with a listener for each protocol."""

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        behavior: ServerBehavior,
        rng: random.Random,
        zone: str,
        cell: int,
        capacity: float,
    ) -> None:
        self.name, self.ledger, self.behavior, self.rng = name, ledger, behavior, rng
        self.zone, self.cell, self.capacity = zone, cell, capacity
        self.health, self.started_ms, self.dial, self.dial_rpc = "up", 0.0, "", ""
        self.cold_share, self.warm_up_s, self.started_at = 1.0, 0.0, 0.0
        self.drained_at = self.listed_at = -1.0  # start of its drain, and its publication by discovery
        self.calls_received, self.late_calls, self.max_overload = 0, 0, 0.0
        self.connections: set[asyncio.Transport] = set()
        self._recent: deque[float] = deque()
        self._rpc: RpcServer | None = None
        self._http: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._http = await loop.create_server(lambda: _HttpConnection(self), "127.0.0.1", 0)
        self.dial = f"127.0.0.1:{self._http.sockets[0].getsockname()[1]}"
        self._rpc = _RpcListener(self)
        await self._rpc.start()
        self.dial_rpc = self._rpc.dial

    def kill(self) -> None:
        """Simulates the death of the process: breaks open connections and refuses new ones."""
        if self._http is not None:
            self._http.close()
        for transport in list(self.connections):
            transport.abort()
        if self._rpc is not None:
            self._rpc.close()

    async def restart(self, cold_share: float, warm_up_s: float) -> None:
        """Starts again cold: with ``cold_share`` of its capacity, and all of it after ``warm_up_s``."""
        await self.start()
        self.health, self.started_ms, self.started_at = "up", time.time() * 1000.0, time.monotonic()
        self.cold_share, self.warm_up_s = cold_share, warm_up_s
        self._recent.clear()

    def entry(self) -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": self.dial,
            "dial_rpc": self.dial_rpc,
            "site": self.zone,
            "class": "std",
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": round(self.started_ms),
        }

    def receive_call(self) -> str:
        """Checks the rules for a call that arrived, and returns its outcome."""
        now = time.monotonic()
        self.calls_received += 1
        if (
            self.drained_at >= 0
            and now
            > (self.listed_at if self.listed_at >= 0 else self.drained_at + NOTICE_LIMIT_S) + DRAIN_LIMIT_S
        ):
            self.late_calls += 1
        if self.warm_up_s > 0 and now < self.started_at + self.warm_up_s:
            self._recent.append(now)
            while self._recent[0] < now - OVERLOAD_WINDOW_S:
                self._recent.popleft()
            warm_share = (now - self.started_at) / self.warm_up_s
            sustainable = (
                self.capacity * (self.cold_share + (1.0 - self.cold_share) * warm_share) * OVERLOAD_WINDOW_S
            )
            if len(self._recent) >= MIN_OVERLOAD_CALLS:
                self.max_overload = max(self.max_overload, len(self._recent) / max(sustainable, 1e-9))
        drawn = self.rng.random()
        for outcome in ("reset", "error", "turned_away"):
            drawn -= getattr(self.behavior, outcome)
            if drawn < 0:
                return outcome
        return "ok"

    def delay_s(self) -> float:
        return self.rng.uniform(self.behavior.min_delay_ms, self.behavior.max_delay_ms) / 1000.0


class _HttpConnection(fleet.OrderServer):
    def __init__(self, server: Server) -> None:
        super().__init__()
        self.server, self.last_used_at = server, time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.connections.add(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self.transport)

    def message(self, head: bytes, body: bytes) -> None:
        server = self.server
        idle_s, self.last_used_at = time.monotonic() - self.last_used_at, time.monotonic()
        outcome = server.receive_call()
        if server.behavior.idle_close_ms and idle_s * 1000.0 > server.behavior.idle_close_ms:
            self.transport.abort()  # the server has already timed this connection out
            return
        if outcome == "turned_away":
            self._respond(b"503 Service Unavailable\r\nx-unprocessed: 1", b"")
            return
        call = fleet.header_value(head, b"x-correlation-id").decode()
        kind = server.ledger.kinds.get(fleet.header_value(head, b"x-service-class").decode())
        if kind is None:
            name = call.partition(" ")[0].partition("~")[0]  # only the id header is certain to arrive
            kind = server.ledger.kinds[name]
        server.ledger.run_call(server, kind, call, fleet.header_value(head, b"idempotency-key").decode())
        if outcome == "reset":
            self.transport.abort()
        elif outcome == "error":
            self._respond(b"500 Internal Server Error", b"")
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(server.delay_s(), self._respond, b"200 OK", b"done:" + call.encode())

    def _respond(self, status: bytes, body: bytes) -> None:
        self.last_used_at = time.monotonic()
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n" % (status, len(body)) + body)


class _RpcListener(RpcServer):
    RPC_ACTIONS = {"reset": "drop-run", "error": "error", "turned_away": "busy", "ok": "ok"}

    def __init__(self, server: Server) -> None:
        super().__init__(lambda _: self.RPC_ACTIONS[server.receive_call()], Counter(), set())
        self.owner = server

    def parse_params(self, method: str, params: list[Any]) -> dict[str, Any]:
        kind = self.owner.ledger.methods[method]
        call = next(item["id"] for item in params if isinstance(item, dict) and "id" in item)
        return {"id": call, "key": _value_at(params, kind.key) if kind.key else "", "kind": kind}

    async def simulate_work(self) -> None:
        await asyncio.sleep(self.owner.delay_s())

    def execute(self, call: dict[str, Any]) -> None:
        self.owner.ledger.run_call(self.owner, call["kind"], call["id"], str(call["key"]))


def _value_at(params: Any, path: Sequence[int | str]) -> Any:
    for step in path:
        params = params[step]
    return params


def params_of(kind: CallKind, call: str, key: str) -> list[Any]:
    """Returns the params of a call, with the key at the path of its kind and the id in a map."""
    params: list[Any] = []
    if kind.key:
        value: Any = key
        for step in reversed(kind.key[1:]):
            value = {step: value} if isinstance(step, str) else [""] * step + [value]
        params = [{}] * int(kind.key[0]) + [value]
    if params and isinstance(params[0], dict):
        params[0] = params[0] | {"id": call}
    else:
        params.append({"id": call})
    return params


class Market:
    """The servers, discovery, and the results that callers saw."""

    def __init__(
        self,
        kinds: Sequence[CallKind],
        servers: int,
        seed: int,
        behavior: ServerBehavior | None = None,
        zone: str = "a",
        capacity: float = 1e9,
    ) -> None:
        self.kinds, self.seed = list(kinds), seed
        self.ledger = Ledger(kinds)
        self.servers = [
            Server(
                f"s-{n}",
                self.ledger,
                behavior or ServerBehavior(),
                random.Random(f"{seed}/{n}"),
                zone,
                n // 2,
                capacity,
            )
            for n in range(servers)
        ]
        self.listed = list(self.servers)
        self.seq = 1
        self.watches: set[_Discovery] = set()
        self.tallies = {kind.name: Tally() for kind in kinds}
        self.discovery = ""
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Market:
        for server in self.servers:
            await server.start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Discovery(self), "127.0.0.1", 0)
        self.discovery = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        for server in self.servers:
            server.kill()
        assert self._server is not None
        self._server.close()
        for connection in list(self.watches):
            connection.transport.abort()

    def hosts(self) -> list[dict[str, Any]]:
        return [server.entry() for server in self.listed]

    def publish(self) -> None:
        """Sends the current list of hosts to all watches."""
        self.seq += 1
        for connection in list(self.watches):
            connection.send()

    def drain(self, server: Server) -> None:
        server.health, server.drained_at = "draining", time.monotonic()
        self.publish()

    def remove(self, server: Server) -> None:
        server.kill()
        self.listed = [item for item in self.listed if item is not server]
        self.publish()

    # Results

    def attempts(self) -> int:
        return sum(server.calls_received for server in self.servers)

    def late_sends(self) -> int:
        return sum(server.late_calls for server in self.servers)

    def overloaded_starts(self) -> int:
        return sum(server.max_overload > OVERLOAD_FACTOR for server in self.servers)

    def lost(self) -> int:
        return sum(tally.lost for tally in self.tallies.values())

    def violations(self) -> dict[str, int]:
        """Returns the nonzero counts of violations of the four rules, by name."""
        found = {
            "calls lost": self.lost(),
            "calls that ran twice": self.ledger.count_duplicates(),
            "sends to a draining server after 2 s": self.late_sends(),
            "starting servers overloaded": self.overloaded_starts(),
        }
        return {name: count for name, count in found.items() if count}


class _Discovery(fleet.OrderServer):
    """One connection to discovery. A watch is held until a change or the end of its wait time."""

    def __init__(self, market: Market) -> None:
        super().__init__()
        self.market, self.timer = market, None

    timer: asyncio.TimerHandle | None

    def message(self, head: bytes, body: bytes) -> None:
        after_seq, wait = re.search(rb"after=(\d+)", head), re.search(rb"wait_ms=(\d+)", head)
        if after_seq is None or wait is None or int(after_seq[1]) < self.market.seq:
            self.send()
            return
        self.market.watches.add(self)
        delay = min(int(wait[1]), 60_000) / 1000.0
        self.timer = asyncio.get_running_loop().call_later(delay, self.send)

    def send(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.market.watches.discard(self)
        if self.transport.is_closing():
            return
        for server in self.market.listed:
            if server.drained_at >= 0 and server.listed_at < 0:
                server.listed_at = time.monotonic()
        body = json.dumps({"seq": self.market.seq, "whole": True, "hosts": self.market.hosts()}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.market.watches.discard(self)
        if self.timer is not None:
            self.timer.cancel()


# Callers


@dataclass
class Tally:
    """What callers of one kind saw, with the latencies of served calls in seconds."""

    calls: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0  # no complete response in time, or the response of another call
    latencies: list[float] = field(default_factory=list)

    def percentile_ms(self, share: float) -> float:
        ranked = sorted(self.latencies)
        return ranked[min(int(share * len(ranked)), len(ranked) - 1)] * 1000.0 if ranked else 0.0


class Callers:
    """The application, in an open loop: calls start at their rates, independently of earlier calls."""

    def __init__(self, market: Market, http_port: int, rpc_port: int) -> None:
        self._market, self._http_port, self._rpc_port = market, http_port, rpc_port
        self._idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._rpc: RpcCaller | None = None
        self._rpc_connecting = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.calls_started = 0

    async def run(self, seconds: float) -> None:
        """Starts calls for this long, and waits for the last outcome."""
        async with asyncio.timeout(seconds + 120.0):
            await asyncio.gather(*(self._send_calls(kind, seconds) for kind in self._market.kinds))
            await asyncio.gather(*self._tasks)
        for _, writer in self._idle_connections:
            writer.transport.abort()
        if self._rpc is not None:
            self._rpc.close()

    async def _send_calls(self, kind: CallKind, seconds: float) -> None:
        if kind.rate <= 0:
            return
        rng = random.Random(f"{self._market.seed}/{kind.name}")
        loop = asyncio.get_running_loop()
        start, at, number = loop.time(), 0.0, 0
        while (at := at + rng.expovariate(kind.rate / kind.burst)) < seconds:
            await asyncio.sleep(max(start + at - loop.time(), 0.0))
            for _ in range(kind.burst):
                number += 1
                self.calls_started += 1
                task = asyncio.create_task(self._send_call(kind, f"{kind.name}~{number}"))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send_call(self, kind: CallKind, call: str) -> None:
        tally = self._market.tallies[kind.name]
        tally.calls += 1
        rpc = bool(kind.method) and not (kind.alternates_protocols and tally.calls % 2)
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(kind.given_up_ms / 1000.0 + DEADLINE_SLACK_S):
                outcome = await (self._call_rpc if rpc else self._call_http)(kind, call)
        except (OSError, EOFError, TimeoutError):
            outcome = "lost"
        setattr(tally, outcome, getattr(tally, outcome) + 1)
        if outcome == "served":
            tally.latencies.append(time.monotonic() - started_at)

    async def _call_http(self, kind: CallKind, call: str) -> str:
        reused = bool(self._idle_connections)
        reader, writer = (
            self._idle_connections.pop()
            if reused
            else await asyncio.open_connection("127.0.0.1", self._http_port)
        )
        try:
            return await self._exchange(reader, writer, kind, call)
        except (ConnectionError, asyncio.IncompleteReadError) as fault:
            writer.transport.abort()
            # The sidecar may close an idle connection while a request is on its way: the protocol has the
            # client send that request once more.
            if not reused or isinstance(fault, asyncio.IncompleteReadError) and fault.partial:
                raise
        reader, writer = await asyncio.open_connection("127.0.0.1", self._http_port)
        return await self._exchange(reader, writer, kind, call)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: CallKind, call: str
    ) -> str:
        method = "GET" if kind.repeat == "free" else "POST"
        body = b"" if method == "GET" else b"b" * kind.size
        key = f"idempotency-key: key-{call}\r\n" if kind.repeat == "keyed" else ""
        writer.write(
            f"{method} /api HTTP/1.1\r\nhost: api.internal\r\nx-correlation-id: {call}\r\n"
            f"x-service-class: {kind.name}\r\nx-time-left-ms: {round(kind.given_up_ms)}\r\n{key}"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(fleet.header_value(head, b"content-length") or b"0")
        response = await reader.readexactly(length)
        if fleet.header_value(head, b"connection").lower() == b"close":
            writer.close()
        else:
            self._idle_connections.append((reader, writer))
        status = int(head[9:12])
        if status == 200:
            return "served" if response == b"done:" + call.encode() else "lost"
        return "refused" if status in (429, 503) else "failed"

    async def _call_rpc(self, kind: CallKind, call: str) -> str:
        async with self._rpc_connecting:  # calls of a burst share one connection
            if self._rpc is None or self._rpc.writer.is_closing():
                self._rpc = await RpcCaller.connect(self._rpc_port)
        error, result = await self._rpc.send(kind.method, *params_of(kind, call, f"key-{call}"))
        if error is None:
            return "served" if result and result[0] == call else "lost"
        return "refused" if isinstance(error, dict) and error.get("code") == "refused" else "failed"
