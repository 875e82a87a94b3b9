"""Upstreams that write what they begin into the ledger, and now and then answer as they should not."""

from __future__ import annotations

import asyncio
import random
import time
import zlib

from anisestair.http import codec as http
from rigs.lost_links.callers import LARGE
from rigs.lost_links.ledger import Ledger, Run
from rigs.mesh_peers import Upstream

# How often what is done with a call; the rest is answered well. ``full`` and ``421`` do not run it.
WAYS = {
    "late": 0.004,  # one answer too many, in the place of the next
    "twice": 0.004,
    "stray": 0.004,  # an answer to another call first
    "ahead": 0.002,  # and one before anything was asked for
    "overlong": 0.004,  # bytes beyond the answer's length
    "cut": 0.004,  # in the body
    "reset": 0.004,
    "garbage": 0.002,
    "unsealed": 0.004,
    "unnamed": 0.002,
    "500": 0.004,
    "503": 0.004,  # its own, and it has run
    "429": 0.002,
    "full": 0.01,
}
SLOW, SLOW_S = 0.03, (0.2, 1.2)
WORK_S = (0.005, 0.03)
BODIES = (0, 100, 3_000, 40_000, 200_000)  # bytes of an answer beyond what names its call
BODY_WEIGHTS = (30, 40, 20, 8, 2)


class Witness(Upstream):
    """One life of an upstream at a node. Its body begins with the call's key and its own name."""

    def __init__(
        self,
        ledger: Ledger,
        node: str,
        instance: str,
        service: str,
        seed: int,
        capacity: int,
        broken: float,
        large: float,
    ) -> None:
        """``broken`` is what WAYS are multiplied by, ``large`` the share of bodies that are LARGE."""
        super().__init__(instance, service, capacity=capacity)
        self.ledger, self.node = ledger, node
        self.chance, self.large = random.Random(seed), large
        self._ways = ["ok", *WAYS]
        shares = [share * broken for share in WAYS.values()]
        self._weights = [1.0 - sum(shares), *shares]
        self._begun = 0

    def on_request(self, message: http.Message) -> None:
        """Nothing is kept: a run is long."""

    async def _handle(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        key = message.target.rpartition(b"/")[2].decode("latin-1")
        attempt = message.get(b"attempt-id") or ""
        if not message.target.startswith(b"/at-"):
            writer.write(self._encode_response(200, attempt, b""))
            return True
        if message.get(b"target-instance") not in (None, self.instance):
            writer.write(self._encode_response(421, attempt, b"", extra_headers=[(b"not-executed", b"1")]))
            return True
        (way,) = self.chance.choices(self._ways, self._weights)
        if way == "full":
            writer.write(self._encode_response(503, attempt, b"", extra_headers=[(b"not-executed", b"1")]))
            return True
        self._begun += 1
        run = Run(attempt, self.instance, self.service, self.node, time.monotonic())
        run.asked = zlib.crc32(message.body)
        self.ledger.runs[key].append(run)
        body = f"{key} {self.instance} ".encode()
        large = self.chance.random() < self.large
        body += b"x" * (LARGE if large else self.chance.choices(BODIES, BODY_WEIGHTS)[0])
        await asyncio.sleep(self.chance.uniform(*(SLOW_S if self.chance.random() < SLOW else WORK_S)))
        run.ended, run.told = time.monotonic(), "nobody there" if writer.is_closing() else way
        if way not in ("500", "503", "429", "unsealed", "unnamed", "reset", "garbage"):
            run.seal, run.sum = f"{self.instance}.{self._begun}", zlib.crc32(body)
        return await self._answer_as(way, run, attempt, body, writer)

    async def _answer_as(
        self, way: str, run: Run, attempt: str, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        good = self._encode_response(200, attempt, body, seal=run.seal)
        # Whole and sealed, but another's: whoever gets it is told so by its body.
        stray = self._encode_response(200, "f" * 16, b"nobody's " + self.instance.encode(), seal="stray")
        goes_on = True
        if way == "reset":
            return False
        if way == "garbage":
            writer.write(b"\x16\x03\x01 no answer\r\n\r\n")
        elif way == "cut":
            writer.write(good[: -max(len(body) // 2, 1)])
            goes_on = False
        elif way == "twice":
            writer.write(good + good)
        elif way == "late":
            writer.write(good)
            await writer.drain()
            writer.write(good)
        elif way == "stray":
            writer.write(stray + good)
        elif way == "ahead":
            writer.write(good)
            await writer.drain()
            await asyncio.sleep(self.chance.uniform(*WORK_S))
            writer.write(stray)
        elif way == "overlong":
            writer.write(good + b"more than was said")
        elif way == "unsealed":
            writer.write(self._encode_response(200, attempt, body))
        elif way == "unnamed":
            writer.write(self._encode_response(200, "", body, seal="unnamed"))
        elif way in ("500", "503", "429"):
            writer.write(self._encode_response(int(way), attempt, body))
        else:
            writer.write(good)
        await writer.drain()
        return goes_on
