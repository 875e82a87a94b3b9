"""Clients of a soak, who keep to the protocol and use each connection until it or its process is gone."""

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
from rigs.soak.request_ledger import End, RequestLedger, Sent

LEFT_MS = 5000  # how long a client waits for an answer
ANSWER_S = 9.0  # beyond that a request has no end
USUAL_REST_S = 15.0  # of a connection whose process tells no other
LONG_BODY = 300_000
LONG_BODY_SHARE = 0.02
AGAIN_S = 0.05  # before another connection is tried
WAYS = ("ok", "slow", "long", "cut", "reset", "500", "full")
WAY_WEIGHTS = (88, 5, 1, 1, 1, 2, 2)


class Use(Enum):
    """How a client uses its connections."""

    PLAIN = "one request at a time on a kept connection"
    AHEAD = "further requests before the first is answered"
    ONCE = "a connection for each request"
    SLOW_TO_SEND = "each request in two pieces"
    SLOW_TO_READ = "answers are left in the socket for a while"
    LEAVES = "now and then it leaves before its answer"


class Picked(Struct, frozen=True):
    """Where the next request goes: a prefix, and what its route is."""

    prefix: str
    effectful: bool
    added: bool


class Door(Protocol):
    """The node whose client it is."""

    name: str
    life: int  # how often its process has started
    ready: bool  # this life has said so
    term_at: dict[int, float]  # SIGTERM, by life

    @property
    def outbound(self) -> Address:
        """Where it takes requests."""


class SoakClient:
    """One client of one node."""

    def __init__(
        self,
        door: Door,
        name: str,
        use: Use,
        seed: int,
        pause_s: float,
        pick: Callable[[random.Random], Picked],
        requests: RequestLedger,
        configuration: ConfigurationLedger,
    ) -> None:
        """``pick`` gives the next request's route; ``pause_s``: the longest rest between two turns."""
        self._door, self._name, self._use, self._pause_s = door, name, use, pause_s
        self._choose, self._pick = random.Random(seed), pick
        self._requests, self._configuration = requests, configuration
        self._connection: Client | None = None
        self._life, self._usable_until, self._count = 0, 0.0, 0
        self.stopped = False

    async def run(self) -> None:
        """Turn after turn, until it is stopped."""
        loop = asyncio.get_running_loop()
        while not self.stopped:
            if self._connection is None or loop.time() > self._usable_until:
                self._leave()
                if not await self._connect():
                    await asyncio.sleep(AGAIN_S)
                    continue
            await self._turn()
            await asyncio.sleep(self._choose.uniform(0.0, self._pause_s))
        self._leave()

    def _leave(self) -> None:
        if self._connection is not None:
            self._connection.leave()
            self._connection = None

    async def _connect(self) -> bool:
        door = self._door
        if not door.ready:
            return False
        life = door.life
        try:
            connection = await Client.to(door.outbound)
        except (OSError, TimeoutError):
            return False
        if door.life != life:  # which of them took it is not known
            connection.leave()
            return False
        self._connection, self._life = connection, life
        self._usable_until = asyncio.get_running_loop().time() + USUAL_REST_S
        return True

    async def _turn(self) -> None:
        """Sends one request, or a few, and takes the answers."""
        count = self._choose.randint(2, 4) if self._use is Use.AHEAD else 1
        sent: list[Sent] = []
        for _ in range(count):
            sent.append(await self._send(first=not sent))
        if self._use is Use.LEAVES and self._choose.random() < 0.1:
            await asyncio.sleep(self._choose.uniform(0.0, 0.05))
            self._end(sent, End.LEFT)
            self._leave()
            return
        if self._use is Use.SLOW_TO_READ:
            await asyncio.sleep(self._choose.uniform(0.0, 0.3))
        if await self._take(sent) or self._use is Use.ONCE:
            self._leave()

    async def _send(self, first: bool) -> Sent:
        picked = self._pick(self._choose)
        while picked.effectful and not (first and self._use is not Use.AHEAD):
            picked = self._pick(self._choose)
        self._count += 1
        attempt = f"{self._name}.{self._count}"
        (way,) = self._choose.choices(WAYS, WAY_WEIGHTS)
        path = f"{picked.prefix}{way}/{attempt}"
        now = asyncio.get_running_loop().time()
        request = Request(attempt, path, self._door.name, self._life, now)
        sent = Sent(request, picked.effectful, first, picked.added)
        self._requests.sent[attempt] = sent
        await self._write(attempt, path)
        return sent

    async def _write(self, attempt: str, path: str) -> None:
        head: http.Headers = [
            (b"host", b"h.example"),
            (b"attempt-id", attempt.encode()),
            (b"time-remaining", b"%d" % LEFT_MS),
        ]
        body = bytes(LONG_BODY) if self._choose.random() < LONG_BODY_SHARE else b""
        data = http.write_request(b"POST" if body else b"GET", path.encode(), head, body)
        assert self._connection is not None
        if self._use is Use.SLOW_TO_SEND:
            self._connection.write(data[:20])
            await asyncio.sleep(self._choose.uniform(0.0, 0.4))
            data = data[20:]
        self._connection.write(data)

    async def _take(self, sent: list[Sent]) -> bool:
        """The answers in their order; whether the connection is over."""
        assert self._connection is not None
        for at, one in enumerate(sent):
            try:
                answer = await self._connection.read(within_s=ANSWER_S)
            except TimeoutError:
                self._end(sent[at:], End.OPEN)
                return True
            except (ConnectionError, http.BadMessage):
                answer = None
            if answer is None:
                self._end(sent[at:], End.CUT)
                return True
            self._answered(one, answer)
            if answer.get(b"connection") == "close":
                self._end(sent[at + 1 :], End.BEHIND)
                return True
        return False

    def _answered(self, one: Sent, answer: http.Message) -> None:
        now = asyncio.get_running_loop().time()
        one.outcome, one.at = answer.status, now
        if answer.status == 200:
            named = answer.get(b"attempt-id") == one.request.attempt
            one.whole = (
                named and bool(answer.get(b"response-seal")) and one.request.path.encode() in answer.body
            )
        elif answer.status == 404:
            self._configuration.not_found(one.request, now)
        told = answer.get(b"keep-alive") or ""
        rest_s = float(told.removeprefix("timeout=")) if told.startswith("timeout=") else USUAL_REST_S
        self._usable_until = now + rest_s

    def _end(self, requests: list[Sent], how: End) -> None:
        now = asyncio.get_running_loop().time()
        for one in requests:
            one.outcome, one.at = how, now
            one.term_at = self._door.term_at.get(one.request.life, 0.0)
