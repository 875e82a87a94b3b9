"""Clients of one machine: requests alone and several behind one another, with bodies of several sizes, some
with an Attempt-Id that another has out too. What each got is written into the ledger."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import zlib
from collections import deque
from dataclasses import dataclass

from anisestair.http import codec as http
from rigs.lost_links import ledger as told
from rigs.lost_links.ledger import Call, Ledger
from rigs.mesh_peers import Address, Client

LEFT_MS = (400, 1000, 2500)
LONGEST_FREEZE_S = 5.0
SILENT_S = LONGEST_FREEZE_S + 7.0  # beyond the deadline; its own sidecar may stand still, and start over
AGAIN_S = 0.1  # after a connection that could not be had
MOST_BEHIND = 6
SECOND_ID, LEAVES, NEW_CONNECTION = 0.03, 0.004, 0.03  # shares of batches
CHUNKED = 0.3  # of the bodies
BODIES = (0, 200, 5_000, 60_000, 300_000)
BODY_WEIGHTS = (60, 25, 10, 4, 1)
LARGE = 5 * 1024 * 1024  # beyond what a link holds unsent for frames that are not long


@dataclass(frozen=True, slots=True)
class Route:
    prefix: str
    service: str
    effectful: bool


class Callers:
    """All clients. Each connection sends its next batch when the last has its end, after a pause."""

    def __init__(self, ledger: Ledger, routes: list[Route], seed: int, pause_s: float, large: float) -> None:
        """``large``: the share of bodies that are LARGE."""
        self.ledger, self.routes, self.pause_s, self.large = ledger, routes, pause_s, large
        self._seed = seed
        self._keys, self._doors = itertools.count(1), itertools.count(1)
        self._ids: deque[str] = deque(maxlen=16)  # of the last calls, anywhere
        self._tasks: set[asyncio.Task[None]] = set()
        self.ending = False

    def add(self, place: int, address: Address, connections: int) -> None:
        for _ in range(connections):
            self._seed += 1
            work = self._connection(place, address, random.Random(self._seed))
            self._tasks.add(asyncio.get_running_loop().create_task(work))

    async def end(self) -> None:
        """Every call that is out gets its end, or is said to have none."""
        self.ending = True
        await asyncio.gather(*self._tasks)

    async def _connection(self, place: int, address: Address, chance: random.Random) -> None:
        client: Client | None = None
        door = 0
        while not self.ending:
            if client is not None and chance.random() < NEW_CONNECTION:
                client.abort()
                client = None
            if client is None:
                door = next(self._doors)
                try:
                    client = await Client.connect(address)
                except (OSError, TimeoutError):
                    await asyncio.sleep(AGAIN_S)
                    continue
            batch = self._send(client, place, door, chance)
            if chance.random() < LEAVES:
                await asyncio.sleep(chance.uniform(0.0, 0.05))
                client.abort()
                self._all(batch, told.LEFT)
                client = None
            elif not await self._read(client, batch):
                client.abort()
                client = None
            await asyncio.sleep(chance.expovariate(1.0 / self.pause_s))
        if client is not None:
            client.abort()

    def _send(self, client: Client, place: int, door: int, chance: random.Random) -> list[str]:
        """A batch; gives its keys in order."""
        keys = []
        for _ in range(1 if chance.random() < 0.6 else chance.randint(2, MOST_BEHIND)):
            key, route = f"k{next(self._keys)}", chance.choice(self.routes)
            attempt = f"{chance.getrandbits(64):016x}"
            if self._ids and chance.random() < SECOND_ID:
                attempt = chance.choice(self._ids)
            self._ids.append(attempt)
            left_ms = chance.choice(LEFT_MS)
            size = LARGE if chance.random() < self.large else chance.choices(BODIES, BODY_WEIGHTS)[0]
            body = b"b" * size
            self.ledger.calls[key] = Call(
                attempt,
                place,
                door,
                route.effectful,
                route.service,
                time.monotonic(),
                left_ms / 1000.0,
                asked=zlib.crc32(body),
            )
            chunks = [body[: len(body) // 2], body[len(body) // 2 :]] if chance.random() < CHUNKED else []
            client.send(
                attempt,
                f"{route.prefix}{key}",
                left_ms,
                body=body,
                chunks=chunks if len(body) > 1 else (),
            )
            keys.append(key)
        return keys

    async def _read(self, client: Client, batch: list[str]) -> bool:
        """Whether the connection goes on."""
        for at, key in enumerate(batch):
            call = self.ledger.calls[key]
            within_s = call.sent + call.left_s + SILENT_S - time.monotonic()
            try:
                answer = await client.read(max(within_s, 0.1))
            except TimeoutError:
                self._all(batch[at:], told.SILENT)
                return False
            except (OSError, http.BadMessage):
                answer = None
            if answer is None:
                self._all(batch[at:], told.CLOSED)
                return False
            self._note(call, answer)
            if not answer.keep_alive:
                self._all(batch[at + 1 :], told.UNREAD)
                return False
        return True

    def _note(self, call: Call, answer: http.Message) -> None:
        call.status, call.at = answer.status, time.monotonic()
        call.named = answer.body.partition(b" ")[0].decode("latin-1")
        call.seal = answer.get(b"response-seal") or ""
        call.sum = zlib.crc32(answer.body)

    def _all(self, keys: list[str], end: str) -> None:
        now = time.monotonic()
        for key in keys:
            call = self.ledger.calls[key]
            call.end, call.at = end, now
