"""Upstreams that record their executions in the ledger, and sometimes answer incorrectly."""

from __future__ import annotations

import asyncio
import random
import time
import zlib

from anisestair.http import codec as http
from rigs.lost_links.callers import LARGE_BODY_BYTES
from rigs.lost_links.ledger import Execution, Ledger
from rigs.mesh_peers import Upstream

# Shares of calls that are handled in each way; the rest is answered correctly. Only ``full`` is not executed.
BEHAVIOR_SHARES = {
    "late": 0.004,  # a duplicate answer where the next one is expected
    "twice": 0.004,
    "stray": 0.004,  # first an answer to another call
    "ahead": 0.002,  # an answer before the next call was sent
    "overlong": 0.004,  # more bytes than the answer's length
    "cut": 0.004,  # within the body
    "reset": 0.004,
    "garbage": 0.002,
    "unsealed": 0.004,
    "unnamed": 0.002,
    "500": 0.004,
    "503": 0.004,  # although the call was executed
    "429": 0.002,
    "full": 0.01,
}
SLOW_SHARE, SLOW_WORK_S = 0.03, (0.2, 1.2)
WORK_S = (0.005, 0.03)
BODY_SIZES = (0, 100, 3_000, 40_000, 200_000)  # bytes of an answer after the call's key
BODY_WEIGHTS = (30, 40, 20, 8, 2)


class RecordingUpstream(Upstream):
    """One incarnation of an upstream at a node. Answers start with the call's key and the instance."""

    def __init__(
        self,
        ledger: Ledger,
        node: str,
        instance: str,
        service: str,
        seed: int,
        capacity: int,
        misbehavior: float,
        large_share: float,
    ) -> None:
        """``misbehavior``: the factor of BEHAVIOR_SHARES; ``large_share``: of bodies of LARGE_BODY_BYTES."""
        super().__init__(instance, service, capacity=capacity)
        self.ledger, self.node = ledger, node
        self.rng, self.large_share = random.Random(seed), large_share
        self._behaviors = ["ok", *BEHAVIOR_SHARES]
        shares = [share * misbehavior for share in BEHAVIOR_SHARES.values()]
        self._weights = [1.0 - sum(shares), *shares]
        self._execution_count = 0

    def on_request(self, message: http.Message) -> None:
        """Keeps no messages, because a run is long."""

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
        (behavior,) = self.rng.choices(self._behaviors, self._weights)
        if behavior == "full":
            writer.write(self._encode_response(503, attempt, b"", extra_headers=[(b"not-executed", b"1")]))
            return True
        self._execution_count += 1
        execution = Execution(attempt, self.instance, self.service, self.node, time.monotonic())
        execution.request_crc = zlib.crc32(message.body)
        self.ledger.executions[key].append(execution)
        body = f"{key} {self.instance} ".encode()
        large = self.rng.random() < self.large_share
        body += b"x" * (LARGE_BODY_BYTES if large else self.rng.choices(BODY_SIZES, BODY_WEIGHTS)[0])
        await asyncio.sleep(self.rng.uniform(*(SLOW_WORK_S if self.rng.random() < SLOW_SHARE else WORK_S)))
        execution.ended_at, execution.outcome = (
            time.monotonic(),
            "nobody there" if writer.is_closing() else behavior,
        )
        if behavior not in ("500", "503", "429", "unsealed", "unnamed", "reset", "garbage"):
            execution.seal, execution.response_crc = (
                f"{self.instance}.{self._execution_count}",
                zlib.crc32(body),
            )
        return await self._write_answer(behavior, execution, attempt, body, writer)

    async def _write_answer(
        self, behavior: str, execution: Execution, attempt: str, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        answer = self._encode_response(200, attempt, body, seal=execution.seal)
        # Complete and sealed, but for another call, as its body shows.
        stray = self._encode_response(200, "f" * 16, b"nobody's " + self.instance.encode(), seal="stray")
        keep_open = True
        if behavior == "reset":
            return False
        if behavior == "garbage":
            writer.write(b"\x16\x03\x01 no answer\r\n\r\n")
        elif behavior == "cut":
            writer.write(answer[: -max(len(body) // 2, 1)])
            keep_open = False
        elif behavior == "twice":
            writer.write(answer + answer)
        elif behavior == "late":
            writer.write(answer)
            await writer.drain()
            writer.write(answer)
        elif behavior == "stray":
            writer.write(stray + answer)
        elif behavior == "ahead":
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(*WORK_S))
            writer.write(stray)
        elif behavior == "overlong":
            writer.write(answer + b"more than was said")
        elif behavior == "unsealed":
            writer.write(self._encode_response(200, attempt, body))
        elif behavior == "unnamed":
            writer.write(self._encode_response(200, "", body, seal="unnamed"))
        elif behavior in ("500", "503", "429"):
            writer.write(self._encode_response(int(behavior), attempt, body))
        else:
            writer.write(answer)
        await writer.drain()
        return keep_open
