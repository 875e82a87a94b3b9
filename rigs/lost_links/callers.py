"""Clients that send single and pipelined requests with bodies of several sizes, some with an Attempt-Id that
another open request has, too. What each of them got is recorded in the ledger."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import zlib
from collections import deque
from dataclasses import dataclass

from anisestair.http import codec as http
from rigs.lost_links.ledger import CLIENT_LEFT, CONNECTION_CLOSED, NO_RESPONSE, UNREAD, Call, Ledger
from rigs.mesh_peers import Address, Client

CLIENT_DEADLINES_MS = (400, 1000, 2500)
MAX_FREEZE_S = 5.0
RESPONSE_TIMEOUT_S = MAX_FREEZE_S + 7.0  # after the deadline; the sidecar may be frozen and restarted
RECONNECT_DELAY_S = 0.1  # after a failed connection attempt
MAX_PIPELINED = 6
REPEATED_ID_SHARE, DISCONNECT_SHARE, NEW_CONNECTION_SHARE = 0.03, 0.004, 0.03  # shares of batches
CHUNKED_SHARE = 0.3  # of the bodies
BODY_SIZES = (0, 200, 5_000, 60_000, 300_000)
BODY_WEIGHTS = (60, 25, 10, 4, 1)
LARGE_BODY_BYTES = 5 * 1024 * 1024  # more than a link buffers for frames that are sent whole


@dataclass(frozen=True, slots=True)
class Route:
    prefix: str
    service: str
    effectful: bool


class Clients:
    """All clients. Each connection sends its next batch a pause after the last one has ended."""

    def __init__(
        self, ledger: Ledger, routes: list[Route], seed: int, pause_s: float, large_share: float
    ) -> None:
        """``large_share``: the share of bodies of LARGE_BODY_BYTES."""
        self.ledger, self.routes, self.pause_s, self.large_share = ledger, routes, pause_s, large_share
        self._seed = seed
        self._keys, self._connection_ids = itertools.count(1), itertools.count(1)
        self._recent_ids: deque[str] = deque(maxlen=16)  # of the last calls on any connection
        self._tasks: set[asyncio.Task[None]] = set()
        self.stopping = False

    def add(self, machine: int, address: Address, connections: int) -> None:
        for _ in range(connections):
            self._seed += 1
            work = self._run_connection(machine, address, random.Random(self._seed))
            self._tasks.add(asyncio.get_running_loop().create_task(work))

    async def end(self) -> None:
        """Stops after every open call has ended, or was recorded as not answered."""
        self.stopping = True
        await asyncio.gather(*self._tasks)

    async def _run_connection(self, machine: int, address: Address, rng: random.Random) -> None:
        client: Client | None = None
        connection = 0
        while not self.stopping:
            if client is not None and rng.random() < NEW_CONNECTION_SHARE:
                client.abort()
                client = None
            if client is None:
                connection = next(self._connection_ids)
                try:
                    client = await Client.connect(address)
                except (OSError, TimeoutError):
                    await asyncio.sleep(RECONNECT_DELAY_S)
                    continue
            batch = self._send(client, machine, connection, rng)
            if rng.random() < DISCONNECT_SHARE:
                await asyncio.sleep(rng.uniform(0.0, 0.05))
                client.abort()
                self._end_all(batch, CLIENT_LEFT)
                client = None
            elif not await self._read(client, batch):
                client.abort()
                client = None
            await asyncio.sleep(rng.expovariate(1.0 / self.pause_s))
        if client is not None:
            client.abort()

    def _send(self, client: Client, machine: int, connection: int, rng: random.Random) -> list[str]:
        """Sends a batch; returns its keys in order."""
        keys = []
        for _ in range(1 if rng.random() < 0.6 else rng.randint(2, MAX_PIPELINED)):
            key, route = f"k{next(self._keys)}", rng.choice(self.routes)
            attempt = f"{rng.getrandbits(64):016x}"
            if self._recent_ids and rng.random() < REPEATED_ID_SHARE:
                attempt = rng.choice(self._recent_ids)
            self._recent_ids.append(attempt)
            left_ms = rng.choice(CLIENT_DEADLINES_MS)
            size = (
                LARGE_BODY_BYTES
                if rng.random() < self.large_share
                else rng.choices(BODY_SIZES, BODY_WEIGHTS)[0]
            )
            body = b"b" * size
            self.ledger.calls[key] = Call(
                attempt,
                machine,
                connection,
                route.effectful,
                route.service,
                time.monotonic(),
                left_ms / 1000.0,
                request_crc=zlib.crc32(body),
            )
            chunks = [body[: len(body) // 2], body[len(body) // 2 :]] if rng.random() < CHUNKED_SHARE else []
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
        """Reads the answers; returns whether the connection stays open."""
        for at, key in enumerate(batch):
            call = self.ledger.calls[key]
            timeout_s = call.sent_at + call.time_left_s + RESPONSE_TIMEOUT_S - time.monotonic()
            try:
                answer = await client.read(max(timeout_s, 0.1))
            except TimeoutError:
                self._end_all(batch[at:], NO_RESPONSE)
                return False
            except (OSError, http.BadMessage):
                answer = None
            if answer is None:
                self._end_all(batch[at:], CONNECTION_CLOSED)
                return False
            self._record(call, answer)
            if not answer.keep_alive:
                self._end_all(batch[at + 1 :], UNREAD)
                return False
        return True

    def _record(self, call: Call, answer: http.Message) -> None:
        call.status, call.ended_at = answer.status, time.monotonic()
        call.response_key = answer.body.partition(b" ")[0].decode("latin-1")
        call.seal = answer.get(b"response-seal") or ""
        call.response_crc = zlib.crc32(answer.body)

    def _end_all(self, keys: list[str], end: str) -> None:
        now = time.monotonic()
        for key in keys:
            call = self.ledger.calls[key]
            call.end, call.ended_at = end, now
