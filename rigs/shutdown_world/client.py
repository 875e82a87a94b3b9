"""Clients of a play, who keep to the protocol: what they are told of a connection's end they obey, and what
they sent behind an answer that closes they take as not read."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from msgspec import Struct

from anisestair.http import codec as http
from rigs.mesh_peers import Client
from rigs.shutdown_world.plan import LATEST_WORK_S, ClientPlan, Kind

CUT = 0  # in the place of a status: the connection ended without the answer
BEHIND = -1  # it was sent behind an answer that closed the connection
LEFT_MS = 5000  # how long a client waits for an answer
EFFECTFUL_SHARE, SLOW_SHARE = 0.3, 0.05  # of requests; the second is of those that upstreams are long at
USUAL_WORK_S = 0.3


class Sent(Struct):
    """A request as its client has it; instants are seconds of the loop. ``first``: nothing stood before it on
    its connection when it was sent."""

    attempt: str
    effectful: bool
    at: float
    first: bool
    status: int | None = None  # None: no outcome yet


class Target(Protocol):
    """The sidecar whose client it is."""

    delay_s: float  # on the way there, and back
    sent: list[Sent]  # of all its clients
    clients_stop_at: float  # seconds of the loop
    ended: bool  # its process is over

    async def connect(self) -> Client:
        """A connection to it. Raises OSError."""


class PlayedClient:
    """One client, from the start of a play until nothing more is taken or wanted."""

    def __init__(self, target: Target, name: str, plan: ClientPlan, seed: int) -> None:
        """``seed`` draws its requests and rests."""
        self._target, self._name, self._plan = target, name, plan
        self._choose = random.Random(seed)
        self._count = 0
        self._connection: Client | None = None
        self._usable_until = 0.0

    async def run(self) -> None:
        """Turn after turn."""
        target, loop = self._target, asyncio.get_running_loop()
        await asyncio.sleep(self._choose.uniform(0.0, 0.3))
        while loop.time() < target.clients_stop_at and not target.ended:
            if self._connection is None or loop.time() > self._usable_until:
                self._leave()
                if not await self._connect():
                    await asyncio.sleep(0.1)
                    continue
            await self._turn()
            await asyncio.sleep(self._choose.uniform(0.0, self._plan.pause_s))
        self._leave()

    def _leave(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _connect(self) -> bool:
        await self._way()
        try:
            self._connection = await self._target.connect()
        except OSError:
            return False
        await self._way()
        self._usable_until = asyncio.get_running_loop().time() + 60.0
        return True

    async def _way(self) -> None:
        await asyncio.sleep(self._target.delay_s)

    async def _turn(self) -> None:
        """Sends one request, or a few, and takes the answers."""
        count = self._choose.randint(1, self._plan.ahead) if self._plan.kind is Kind.AHEAD else 1
        sent: list[Sent] = []
        sending = asyncio.ensure_future(self._send_all(count, sent))
        closed = await self._take_all(count, sent)
        sending.cancel()
        if closed or self._plan.kind is Kind.ONCE:
            self._leave()

    async def _send_all(self, count: int, sent: list[Sent]) -> None:
        for _ in range(count):
            request = self._new(first=all(one.status is not None for one in sent))
            sent.append(request)
            await self._way()
            assert self._connection is not None
            await self._write(request)
            await asyncio.sleep(self._choose.choice((0.0, 0.005, 0.1)))

    def _new(self, first: bool) -> Sent:
        self._count += 1
        effectful = first and self._choose.random() < EFFECTFUL_SHARE
        request = Sent(f"{self._name}-{self._count}", effectful, asyncio.get_running_loop().time(), first)
        self._target.sent.append(request)
        return request

    async def _write(self, request: Sent) -> None:
        long = self._choose.random() < SLOW_SHARE
        work_ms = int(self._choose.uniform(0.001, LATEST_WORK_S if long else USUAL_WORK_S) * 1000)
        path = f"/{'pay' if request.effectful else 'read'}/{work_ms}"
        head: http.Headers = [
            (b"host", b"h.example"),
            (b"attempt-id", request.attempt.encode()),
            (b"time-remaining", b"%d" % LEFT_MS),
        ]
        data = http.write_request(b"GET", path.encode(), head)
        assert self._connection is not None
        if self._plan.kind is Kind.SLOW:
            self._connection.write(data[:20])
            await asyncio.sleep(self._choose.uniform(0.0, 0.4))
            data = data[20:]
        self._connection.write(data)

    async def _take_all(self, count: int, sent: list[Sent]) -> bool:
        """The answers in their order; whether the connection has ended."""
        assert self._connection is not None
        loop = asyncio.get_running_loop()
        for at in range(count):
            try:
                answer = await self._connection.read(timeout_s=60.0)
            except (ConnectionError, http.BadMessage):
                answer = None
            await self._way()
            if answer is None:
                self._end(sent[at:], CUT)
                return True
            sent[at].status = answer.status
            self._usable_until = loop.time() + self._told_rest(answer)
            if answer.get(b"connection") == "close":
                self._end(sent[at + 1 :], BEHIND)
                return True
        return False

    @staticmethod
    def _told_rest(answer: http.Message) -> float:
        told = answer.get(b"keep-alive") or ""
        return float(told.removeprefix("timeout=")) if told.startswith("timeout=") else 15.0

    @staticmethod
    def _end(requests: list[Sent], status: int) -> None:
        for one in requests:
            one.status = status
