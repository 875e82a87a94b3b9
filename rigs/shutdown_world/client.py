"""Simulated clients that follow the protocol: they close a connection when they are told to, and treat
requests that they sent after an answer that closes the connection as not read."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from msgspec import Struct

from anisestair.http import codec as http
from rigs.mesh_peers import Client
from rigs.shutdown_world.plan import MAX_WORK_S, ClientPlan, Kind

# In place of a status:
CONNECTION_LOST = 0  # the connection ended without the answer
AFTER_CLOSE = -1  # the request was sent after an answer that closed the connection
CLIENT_DEADLINE_MS = 5000
EFFECTFUL_SHARE, LONG_WORK_SHARE = 0.3, 0.05  # of requests
USUAL_WORK_S = 0.3


class SentRequest(Struct):
    """A request as its client knows it; ``sent_at`` in seconds of the loop. ``first``: no earlier request was
    open on its connection when it was sent."""

    attempt: str
    effectful: bool
    sent_at: float
    first: bool
    status: int | None = None  # None: no outcome yet


class Target(Protocol):
    """The sidecar that the clients use."""

    delay_s: float  # in each direction
    requests: list[SentRequest]  # of all its clients
    clients_stop_at: float  # seconds of the loop
    exited: bool

    async def connect(self) -> Client:
        """Opens a connection. Raises OSError."""


class SimulatedClient:
    """One client, from the start of a run until the sidecar exits or the client stops."""

    def __init__(self, target: Target, name: str, plan: ClientPlan, seed: int) -> None:
        """``seed``: of its requests and pauses."""
        self._target, self._name, self._plan = target, name, plan
        self._random = random.Random(seed)
        self._count = 0
        self._connection: Client | None = None
        self._usable_until = 0.0

    async def run(self) -> None:
        """Sends batches of requests."""
        target, loop = self._target, asyncio.get_running_loop()
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        while loop.time() < target.clients_stop_at and not target.exited:
            if self._connection is None or loop.time() > self._usable_until:
                self._disconnect()
                if not await self._connect():
                    await asyncio.sleep(0.1)
                    continue
            await self._send_batch()
            await asyncio.sleep(self._random.uniform(0.0, self._plan.pause_s))
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _connect(self) -> bool:
        await self._delay()
        try:
            self._connection = await self._target.connect()
        except OSError:
            return False
        await self._delay()
        self._usable_until = asyncio.get_running_loop().time() + 60.0
        return True

    async def _delay(self) -> None:
        await asyncio.sleep(self._target.delay_s)

    async def _send_batch(self) -> None:
        """Sends one request or several, and reads the answers."""
        count = self._random.randint(1, self._plan.ahead) if self._plan.kind is Kind.AHEAD else 1
        requests: list[SentRequest] = []
        sending = asyncio.ensure_future(self._send_requests(count, requests))
        closed = await self._read_answers(count, requests)
        sending.cancel()
        if closed or self._plan.kind is Kind.ONCE:
            self._disconnect()

    async def _send_requests(self, count: int, requests: list[SentRequest]) -> None:
        for _ in range(count):
            request = self._new_request(first=all(earlier.status is not None for earlier in requests))
            requests.append(request)
            await self._delay()
            assert self._connection is not None
            await self._write_request(request)
            await asyncio.sleep(self._random.choice((0.0, 0.005, 0.1)))

    def _new_request(self, first: bool) -> SentRequest:
        self._count += 1
        effectful = first and self._random.random() < EFFECTFUL_SHARE
        request = SentRequest(
            f"{self._name}-{self._count}", effectful, asyncio.get_running_loop().time(), first
        )
        self._target.requests.append(request)
        return request

    async def _write_request(self, request: SentRequest) -> None:
        long_work = self._random.random() < LONG_WORK_SHARE
        work_ms = int(self._random.uniform(0.001, MAX_WORK_S if long_work else USUAL_WORK_S) * 1000)
        path = f"/{'pay' if request.effectful else 'read'}/{work_ms}"
        head: http.Headers = [
            (b"host", b"h.example"),
            (b"attempt-id", request.attempt.encode()),
            (b"time-remaining", b"%d" % CLIENT_DEADLINE_MS),
        ]
        data = http.write_request(b"GET", path.encode(), head)
        assert self._connection is not None
        if self._plan.kind is Kind.SLOW:
            self._connection.write(data[:20])
            await asyncio.sleep(self._random.uniform(0.0, 0.4))
            data = data[20:]
        self._connection.write(data)

    async def _read_answers(self, count: int, requests: list[SentRequest]) -> bool:
        """Reads the answers in order; returns whether the connection has ended."""
        assert self._connection is not None
        loop = asyncio.get_running_loop()
        for index in range(count):
            try:
                answer = await self._connection.read(timeout_s=60.0)
            except (ConnectionError, http.BadMessage):
                answer = None
            await self._delay()
            if answer is None:
                self._set_status(requests[index:], CONNECTION_LOST)
                return True
            requests[index].status = answer.status
            self._usable_until = loop.time() + self._keep_alive_s(answer)
            if answer.get(b"connection") == "close":
                self._set_status(requests[index + 1 :], AFTER_CLOSE)
                return True
        return False

    @staticmethod
    def _keep_alive_s(answer: http.Message) -> float:
        value = answer.get(b"keep-alive") or ""
        return float(value.removeprefix("timeout=")) if value.startswith("timeout=") else 15.0

    @staticmethod
    def _set_status(requests: list[SentRequest], status: int) -> None:
        for request in requests:
            request.status = status
