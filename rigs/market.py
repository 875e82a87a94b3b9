"""A small market on loopback: order servers of both protocols with a ledger of what ran, discovery that tells
of them, and callers in an open loop. It says whether a sidecar between them kept the rules.

What a server does with a call is drawn from a seed; what happens to servers is the caller's script.
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

DRAIN_S = 2.05  # the rule, and the 50 ms more that sockets are given
NOTICE_S = 6.0  # what discovery has to tell counts as told after this, whether or not it arrived
SLACK_S = 0.25  # an answer this much after its caller's deadline is late; the machine may be busy
PUSH_S = 0.5  # a starting server falls over when it is sent too much for so long
PUSH_MULTIPLE = 2.0  # too much: so many times what it can do
PUSH_LEAST = 5  # calls in that time, below which chance alone is seen


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of call, as the application makes it and the servers take it."""

    name: str
    repeat: str  # "never", "keyed" or "free"
    rate: float  # calls a second
    given_up_ms: float
    burst: int = 1  # calls that begin together
    size: int = 64  # bytes of the body
    remembers_ms: float = 8000.0
    remembered_by: str = "cell"
    method: str = ""  # called over MessagePack-RPC; empty: over HTTP
    by_turns: bool = False  # every second call over HTTP all the same
    key: tuple[int | str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ways:
    """How often a server does what with a call; the rest is served."""

    reset: float = 0.0  # runs it, then the connection breaks
    error: float = 0.0  # runs it, and answers with an error
    turned_away: float = 0.0  # answers that it never ran, which is so
    least_ms: float = 1.0
    most_ms: float = 5.0
    idle_ms: float = 0.0  # a connection that was idle so long breaks with its next call; 0: none does


class Ledger:
    """What ran, on all servers together."""

    def __init__(self, kinds: Sequence[Kind]) -> None:
        self.kinds = {kind.name: kind for kind in kinds}
        self.methods = {kind.method: kind for kind in kinds if kind.method}
        self.runs: dict[str, Counter[str]] = {kind.name: Counter() for kind in kinds}
        self._keys: dict[tuple[str, str, str], float] = {}

    def run(self, server: Server, kind: Kind, call: str, key: str) -> None:
        """Run a call, unless its key is remembered where this server would know it."""
        if kind.repeat == "keyed":
            scope = {"cell": f"{server.zone}/{server.cell}", "zone": server.zone, "all": ""}[
                kind.remembered_by
            ]
            now = time.monotonic()
            since = self._keys.get((kind.name, scope, key))
            if since is not None and (now - since) * 1000.0 < kind.remembers_ms:
                return
            self._keys[kind.name, scope, key] = now
        self.runs[kind.name][call] += 1

    def twice(self) -> int:
        """Calls that ran more than once, though their kind does not allow it."""
        return sum(
            count > 1
            for name, counted in self.runs.items()
            if self.kinds[name].repeat != "free"
            for count in counted.values()
        )


class Server:
    """One order server, with a listener for each protocol."""

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        ways: Ways,
        chance: random.Random,
        zone: str,
        cell: int,
        capacity: float,
    ) -> None:
        self.name, self.ledger, self.ways, self.chance = name, ledger, ways, chance
        self.zone, self.cell, self.capacity = zone, cell, capacity
        self.health, self.born_ms, self.dial, self.dial_rpc = "up", 0.0, "", ""
        self.cold_share, self.warm_up_s, self.started = 1.0, 0.0, 0.0
        self.drained = self.told = -1.0  # when its drain began, and when discovery wrote of it
        self.arrived, self.late, self.most_pushed = 0, 0, 0.0
        self.connections: set[asyncio.Transport] = set()
        self._recent: deque[float] = deque()
        self._rpc: RpcServer | None = None
        self._http: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._http = await loop.create_server(lambda: _HttpSide(self), "127.0.0.1", 0)
        self.dial = f"127.0.0.1:{self._http.sockets[0].getsockname()[1]}"
        self._rpc = _RpcSide(self)
        await self._rpc.start()
        self.dial_rpc = self._rpc.dial

    def kill(self) -> None:
        """Its process dies: what is open breaks, and what is new is refused."""
        if self._http is not None:
            self._http.close()
        for transport in list(self.connections):
            transport.abort()
        if self._rpc is not None:
            self._rpc.close()

    async def restart(self, cold_share: float, warm_up_s: float) -> None:
        """Up again, with nothing warm; ``cold_share`` of its capacity at first, all after ``warm_up_s``."""
        await self.start()
        self.health, self.born_ms, self.started = "up", time.time() * 1000.0, time.monotonic()
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
            "born_ms": round(self.born_ms),
        }

    def arrive(self) -> str:
        """A call has come: count it against the rules, and say what is done with it."""
        now = time.monotonic()
        self.arrived += 1
        if self.drained >= 0 and now > (self.told if self.told >= 0 else self.drained + NOTICE_S) + DRAIN_S:
            self.late += 1
        if self.warm_up_s > 0 and now < self.started + self.warm_up_s:
            self._recent.append(now)
            while self._recent[0] < now - PUSH_S:
                self._recent.popleft()
            part = (now - self.started) / self.warm_up_s
            can = self.capacity * (self.cold_share + (1.0 - self.cold_share) * part) * PUSH_S
            if len(self._recent) >= PUSH_LEAST:
                self.most_pushed = max(self.most_pushed, len(self._recent) / max(can, 1e-9))
        drawn = self.chance.random()
        for way in ("reset", "error", "turned_away"):
            drawn -= getattr(self.ways, way)
            if drawn < 0:
                return way
        return "ok"

    def delay_s(self) -> float:
        return self.chance.uniform(self.ways.least_ms, self.ways.most_ms) / 1000.0


class _HttpSide(fleet.OrderServer):
    def __init__(self, server: Server) -> None:
        super().__init__()
        self.server, self.last = server, time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.connections.add(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self.transport)

    def message(self, head: bytes, body: bytes) -> None:
        server = self.server
        idle, self.last = time.monotonic() - self.last, time.monotonic()
        way = server.arrive()
        if server.ways.idle_ms and idle * 1000.0 > server.ways.idle_ms:
            self.transport.abort()  # closed long ago, as far as the server is concerned
            return
        if way == "turned_away":
            self._answer(b"503 Service Unavailable\r\nx-unprocessed: 1", b"")
            return
        call = fleet.header_value(head, b"x-correlation-id").decode()
        kind = server.ledger.kinds.get(fleet.header_value(head, b"x-service-class").decode())
        if kind is None:
            name = call.partition(" ")[0].partition("~")[0]  # headers but the id are free to go
            kind = server.ledger.kinds[name]
        server.ledger.run(server, kind, call, fleet.header_value(head, b"idempotency-key").decode())
        if way == "reset":
            self.transport.abort()
        elif way == "error":
            self._answer(b"500 Internal Server Error", b"")
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(server.delay_s(), self._answer, b"200 OK", b"done:" + call.encode())

    def _answer(self, status: bytes, body: bytes) -> None:
        self.last = time.monotonic()
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n" % (status, len(body)) + body)


class _RpcSide(RpcServer):
    WAYS = {"reset": "drop-run", "error": "error", "turned_away": "busy", "ok": "ok"}

    def __init__(self, server: Server) -> None:
        super().__init__(lambda _: self.WAYS[server.arrive()], Counter(), set())
        self.owner = server

    def read(self, method: str, params: list[Any]) -> dict[str, Any]:
        kind = self.owner.ledger.methods[method]
        call = next(item["id"] for item in params if isinstance(item, dict) and "id" in item)
        return {"id": call, "key": _at(params, kind.key) if kind.key else "", "kind": kind}

    async def work(self) -> None:
        await asyncio.sleep(self.owner.delay_s())

    def run(self, call: dict[str, Any]) -> None:
        self.owner.ledger.run(self.owner, call["kind"], call["id"], str(call["key"]))


def _at(params: Any, path: Sequence[int | str]) -> Any:
    for step in path:
        params = params[step]
    return params


def params_of(kind: Kind, call: str, key: str) -> list[Any]:
    """Params of a call with its key at the kind's path; the id stands in a map after it."""
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
    """The servers, discovery, and what callers saw."""

    def __init__(
        self,
        kinds: Sequence[Kind],
        servers: int,
        seed: int,
        ways: Ways | None = None,
        zone: str = "a",
        capacity: float = 1e9,
    ) -> None:
        self.kinds, self.seed = list(kinds), seed
        self.ledger = Ledger(kinds)
        self.servers = [
            Server(
                f"s-{n}", self.ledger, ways or Ways(), random.Random(f"{seed}/{n}"), zone, n // 2, capacity
            )
            for n in range(servers)
        ]
        self.listed = list(self.servers)
        self.seq = 1
        self.waiting: set[_Discovery] = set()
        self.tally = {kind.name: Tally() for kind in kinds}
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
        for connection in list(self.waiting):
            connection.transport.abort()

    def hosts(self) -> list[dict[str, Any]]:
        return [server.entry() for server in self.listed]

    def tell(self) -> None:
        """Discovery has something new: all watches are answered."""
        self.seq += 1
        for connection in list(self.waiting):
            connection.send()

    def drain(self, server: Server) -> None:
        server.health, server.drained = "draining", time.monotonic()
        self.tell()

    def remove(self, server: Server) -> None:
        server.kill()
        self.listed = [item for item in self.listed if item is not server]
        self.tell()

    # What it came to

    def attempts(self) -> int:
        return sum(server.arrived for server in self.servers)

    def late_sends(self) -> int:
        return sum(server.late for server in self.servers)

    def pushed_over(self) -> int:
        return sum(server.most_pushed > PUSH_MULTIPLE for server in self.servers)

    def lost(self) -> int:
        return sum(tally.lost for tally in self.tally.values())

    def broken(self) -> dict[str, int]:
        """Breaches of the four rules by name; none: an empty table."""
        found = {
            "calls lost": self.lost(),
            "calls that ran twice": self.ledger.twice(),
            "sends to a draining server after 2 s": self.late_sends(),
            "starting servers pushed over": self.pushed_over(),
        }
        return {name: count for name, count in found.items() if count}


class _Discovery(fleet.OrderServer):
    """A watch is held until there is something new, or its wait is over."""

    def __init__(self, market: Market) -> None:
        super().__init__()
        self.market, self.timer = market, None

    timer: asyncio.TimerHandle | None

    def message(self, head: bytes, body: bytes) -> None:
        after, wait = re.search(rb"after=(\d+)", head), re.search(rb"wait_ms=(\d+)", head)
        if after is None or wait is None or int(after[1]) < self.market.seq:
            self.send()
            return
        self.market.waiting.add(self)
        delay = min(int(wait[1]), 60_000) / 1000.0
        self.timer = asyncio.get_running_loop().call_later(delay, self.send)

    def send(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.market.waiting.discard(self)
        if self.transport.is_closing():
            return
        for server in self.market.listed:
            if server.drained >= 0 and server.told < 0:
                server.told = time.monotonic()
        body = json.dumps({"seq": self.market.seq, "whole": True, "hosts": self.market.hosts()}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.market.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()


# Callers


@dataclass
class Tally:
    """What callers of one kind saw; latencies of served calls in seconds."""

    calls: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0  # no whole answer in time, or another call's
    latencies: list[float] = field(default_factory=list)

    def percentile_ms(self, share: float) -> float:
        ranked = sorted(self.latencies)
        return ranked[min(int(share * len(ranked)), len(ranked) - 1)] * 1000.0 if ranked else 0.0


class Callers:
    """The application: calls begin by their rates, whatever becomes of those before (an open loop)."""

    def __init__(self, market: Market, http: int, rpc: int) -> None:
        self._market, self._http, self._rpc_port = market, http, rpc
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._rpc: RpcCaller | None = None
        self._opening = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.begun = 0

    async def run(self, seconds: float) -> None:
        """Begin calls for so long, and wait for the last outcome."""
        async with asyncio.timeout(seconds + 120.0):
            await asyncio.gather(*(self._kind(kind, seconds) for kind in self._market.kinds))
            await asyncio.gather(*self._tasks)
        for _, writer in self._idle:
            writer.transport.abort()
        if self._rpc is not None:
            self._rpc.close()

    async def _kind(self, kind: Kind, seconds: float) -> None:
        if kind.rate <= 0:
            return
        chance = random.Random(f"{self._market.seed}/{kind.name}")
        loop = asyncio.get_running_loop()
        start, at, number = loop.time(), 0.0, 0
        while (at := at + chance.expovariate(kind.rate / kind.burst)) < seconds:
            await asyncio.sleep(max(start + at - loop.time(), 0.0))
            for _ in range(kind.burst):
                number += 1
                self.begun += 1
                task = asyncio.create_task(self._call(kind, f"{kind.name}~{number}"))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _call(self, kind: Kind, call: str) -> None:
        tally = self._market.tally[kind.name]
        tally.calls += 1
        rpc = bool(kind.method) and not (kind.by_turns and tally.calls % 2)
        begun = time.monotonic()
        try:
            async with asyncio.timeout(kind.given_up_ms / 1000.0 + SLACK_S):
                outcome = await (self._over_rpc if rpc else self._over_http)(kind, call)
        except (OSError, EOFError, TimeoutError):
            outcome = "lost"
        setattr(tally, outcome, getattr(tally, outcome) + 1)
        if outcome == "served":
            tally.latencies.append(time.monotonic() - begun)

    async def _over_http(self, kind: Kind, call: str) -> str:
        kept = bool(self._idle)
        reader, writer = self._idle.pop() if kept else await asyncio.open_connection("127.0.0.1", self._http)
        try:
            return await self._ask(reader, writer, kind, call)
        except (ConnectionError, asyncio.IncompleteReadError) as fault:
            writer.transport.abort()
            # A sidecar may close between requests; one that crossed that goes out once more (protocol).
            if not kept or isinstance(fault, asyncio.IncompleteReadError) and fault.partial:
                raise
        reader, writer = await asyncio.open_connection("127.0.0.1", self._http)
        return await self._ask(reader, writer, kind, call)

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: Kind, call: str
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
        answer = await reader.readexactly(length)
        if fleet.header_value(head, b"connection").lower() == b"close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        status = int(head[9:12])
        if status == 200:
            return "served" if answer == b"done:" + call.encode() else "lost"
        return "refused" if status in (429, 503) else "failed"

    async def _over_rpc(self, kind: Kind, call: str) -> str:
        async with self._opening:  # calls of a burst share the one connection
            if self._rpc is None or self._rpc.writer.is_closing():
                self._rpc = await RpcCaller.connect(self._rpc_port)
        error, result = await self._rpc.send(kind.method, *params_of(kind, call, f"key-{call}"))
        if error is None:
            return "served" if result and result[0] == call else "lost"
        return "refused" if isinstance(error, dict) and error.get("code") == "refused" else "failed"
