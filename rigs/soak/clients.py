"""Clients of a soak. They follow the protocol and reuse each connection until it or its process ends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from anisestair.http import codec as http
from rigs.mesh_peers import Address, Client
from rigs.soak.configuration_ledger import ConfigurationLedger, Request
from rigs.soak.request_ledger import End, RequestLedger, SentRequest

TIME_REMAINING_MS = 5000  # the deadline that a client sends with a request
RESPONSE_TIMEOUT_S = 9.0
DEFAULT_KEEP_ALIVE_S = 15.0  # of a connection whose process announces no other
LARGE_BODY_BYTES = 300_000
LARGE_BODY_SHARE = 0.02
RECONNECT_DELAY_S = 0.05
BEHAVIORS = ("ok", "slow", "long", "cut", "reset", "500", "full")  # of the upstream, as the path asks
BEHAVIOR_WEIGHTS = (88, 5, 1, 1, 1, 2, 2)


class ConnectionUse(Enum):
    """How a client uses its connections."""

    SEQUENTIAL = "one request at a time on a kept connection"
    PIPELINED = "further requests before the first is answered"
    SINGLE_REQUEST = "a connection for each request"
    SLOW_TO_SEND = "each request in two pieces"
    SLOW_TO_READ = "answers are left in the socket for a while"
    DISCONNECTS = "now and then it leaves before its answer"


class RouteTarget(Struct, frozen=True):
    """Where the next request goes: a prefix, and the properties of its route."""

    prefix: str
    effectful: bool
    added: bool


class ProxyNode(Protocol):
    """The node to which a client connects."""

    name: str
    incarnation: int  # how often its process has started
    ready: bool  # as this incarnation reports
    term_at: dict[int, float]  # time of SIGTERM, by incarnation

    @property
    def outbound(self) -> Address:
        """The address at which it accepts requests."""


class SoakClient:
    """One client of one node."""

    def __init__(
        self,
        node: ProxyNode,
        name: str,
        use: ConnectionUse,
        seed: int,
        max_pause_s: float,
        choose_target: Callable[[random.Random], RouteTarget],
        requests: RequestLedger,
        configuration: ConfigurationLedger,
    ) -> None:
        """``choose_target`` returns where the next request goes; ``max_pause_s``: the longest pause between
        two exchanges."""
        self._node, self._name, self._use, self._max_pause_s = node, name, use, max_pause_s
        self._rng, self._choose_target = random.Random(seed), choose_target
        self._requests, self._configuration = requests, configuration
        self._connection: Client | None = None
        self._incarnation, self._usable_until, self._count = 0, 0.0, 0
        self.stopped = False

    async def run(self) -> None:
        """Sends requests until the client is stopped."""
        loop = asyncio.get_running_loop()
        while not self.stopped:
            if self._connection is None or loop.time() > self._usable_until:
                self._disconnect()
                if not await self._connect():
                    await asyncio.sleep(RECONNECT_DELAY_S)
                    continue
            await self._exchange()
            await asyncio.sleep(self._rng.uniform(0.0, self._max_pause_s))
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _connect(self) -> bool:
        node = self._node
        if not node.ready:
            return False
        incarnation = node.incarnation
        try:
            connection = await Client.connect(node.outbound)
        except (OSError, TimeoutError):
            return False
        if node.incarnation != incarnation:  # it is unknown which of them accepted the connection
            connection.abort()
            return False
        self._connection, self._incarnation = connection, incarnation
        self._usable_until = asyncio.get_running_loop().time() + DEFAULT_KEEP_ALIVE_S
        return True

    async def _exchange(self) -> None:
        """Sends one request or several, and reads the responses."""
        count = self._rng.randint(2, 4) if self._use is ConnectionUse.PIPELINED else 1
        sent: list[SentRequest] = []
        for _ in range(count):
            sent.append(await self._send(first=not sent))
        if self._use is ConnectionUse.DISCONNECTS and self._rng.random() < 0.1:
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
            self._record_end(sent, End.LEFT)
            self._disconnect()
            return
        if self._use is ConnectionUse.SLOW_TO_READ:
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        if await self._read_responses(sent) or self._use is ConnectionUse.SINGLE_REQUEST:
            self._disconnect()

    async def _send(self, first: bool) -> SentRequest:
        target = self._choose_target(self._rng)
        while target.effectful and not (first and self._use is not ConnectionUse.PIPELINED):
            target = self._choose_target(self._rng)
        self._count += 1
        attempt = f"{self._name}.{self._count}"
        (behavior,) = self._rng.choices(BEHAVIORS, BEHAVIOR_WEIGHTS)
        path = f"{target.prefix}{behavior}/{attempt}"
        now = asyncio.get_running_loop().time()
        request = Request(attempt, path, self._node.name, self._incarnation, now)
        sent = SentRequest(request, target.effectful, first, target.added)
        self._requests.sent[attempt] = sent
        await self._write(attempt, path)
        return sent

    async def _write(self, attempt: str, path: str) -> None:
        head: http.Headers = [
            (b"host", b"h.example"),
            (b"attempt-id", attempt.encode()),
            (b"time-remaining", b"%d" % TIME_REMAINING_MS),
        ]
        body = bytes(LARGE_BODY_BYTES) if self._rng.random() < LARGE_BODY_SHARE else b""
        data = http.write_request(b"POST" if body else b"GET", path.encode(), head, body)
        assert self._connection is not None
        if self._use is ConnectionUse.SLOW_TO_SEND:
            self._connection.write(data[:20])
            await asyncio.sleep(self._rng.uniform(0.0, 0.4))
            data = data[20:]
        self._connection.write(data)

    async def _read_responses(self, sent: list[SentRequest]) -> bool:
        """Reads the responses in order; returns whether the connection can no longer be used."""
        assert self._connection is not None
        for at, one in enumerate(sent):
            try:
                response = await self._connection.read(timeout_s=RESPONSE_TIMEOUT_S)
            except TimeoutError:
                self._record_end(sent[at:], End.OPEN)
                return True
            except (ConnectionError, http.BadMessage):
                response = None
            if response is None:
                self._record_end(sent[at:], End.CUT)
                return True
            self._record_response(one, response)
            if response.get(b"connection") == "close":
                self._record_end(sent[at + 1 :], End.BEHIND)
                return True
        return False

    def _record_response(self, one: SentRequest, response: http.Message) -> None:
        now = asyncio.get_running_loop().time()
        one.outcome, one.ended_at = response.status, now
        if response.status == 200:
            named = response.get(b"attempt-id") == one.request.attempt
            one.complete = (
                named and bool(response.get(b"response-seal")) and one.request.path.encode() in response.body
            )
        elif response.status == 404:
            self._configuration.check_not_found(one.request, now)
        header = response.get(b"keep-alive") or ""
        keep_alive_s = (
            float(header.removeprefix("timeout=")) if header.startswith("timeout=") else DEFAULT_KEEP_ALIVE_S
        )
        self._usable_until = now + keep_alive_s

    def _record_end(self, requests: list[SentRequest], end: End) -> None:
        now = asyncio.get_running_loop().time()
        for one in requests:
            one.outcome, one.ended_at = end, now
            one.term_at = self._node.term_at.get(one.request.incarnation, 0.0)
