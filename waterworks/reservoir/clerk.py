"""The operator's calls: decoded into commands here, and run here; what holds and what is durable is the
council's."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from anisestair.http import codec as http
from waterworks.aquifer.contact import Proof
from waterworks.aquifer.items import Item
from waterworks.aquifer.store import Full, Store
from waterworks.gauge import events
from waterworks.gauge.log import Gauge
from waterworks.manifold.check import check
from waterworks.manifold.decode import Change, Invalid, decode_change
from waterworks.manifold.render import render
from waterworks.penstock.desk import Answer
from waterworks.reservoir.contact import Probing
from waterworks.reservoir.council import MEMBER, Council, Held
from waterworks.reservoir.rollouts import Rollouts

HOLD_S = 0.85  # a caller goes elsewhere after a second of silence
HOLD_BYTE_S = 2e-6  # and waits longer for a large body
READ_S = 0.4
BUSY_S = 0.2  # after which a caller may come back
PATH = b"/configuration"


@dataclass(frozen=True, slots=True)
class ReadAll:
    """The newest configuration, whole."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """No call of ours."""

    status: int


Command = Change | ReadAll | Invalid | Unknown


def decode(message: http.Message) -> Command:
    if message.target.partition(b"?")[0] != PATH:
        return Unknown(404)
    if message.method == b"GET":
        return ReadAll()
    if message.method == b"PATCH":
        return decode_change(message.body)
    return Unknown(405)


def error(line: str) -> bytes:
    return msgspec.json.encode({"error": line})


class Clerk:
    def __init__(
        self,
        charter: Store,
        council: Council,
        gauge: Gauge,
        taken: Callable[[list[Item]], None],
        rollouts: Rollouts,
        probing: Probing,
    ) -> None:
        """``taken`` is told of items that were written here, before they are durable."""
        self._probing = probing
        self._charter, self._council, self._gauge, self._taken = charter, council, gauge, taken
        self._rollouts, self._loop = rollouts, asyncio.get_running_loop()

    async def handle(self, message: http.Message) -> Answer:
        command = decode(message)
        if isinstance(command, Unknown):
            return Answer(command.status, error("path: this address takes GET and PATCH of /configuration"))
        wanted = Proof.READS if isinstance(command, ReadAll) else Proof.ORDERS
        if self._probing.proof() < wanted:
            return self._without_contact()
        if isinstance(command, Invalid):
            return self._refused(command)
        if isinstance(command, ReadAll):
            return await self._read()
        return await self._change(command, HOLD_S + HOLD_BYTE_S * len(message.body))

    def _without_contact(self) -> Answer:
        """At once: who is cut off knows neither what stands nor what is refused elsewhere, so neither 200 nor
        4xx is its to give."""
        elsewhere = self._probing.elsewhere()
        if elsewhere:
            return Answer(307, location=f"http://{elsewhere}{PATH.decode()}")
        line = "no contact with most control processes here; another one may have it"
        return Answer(503, error(line), retry_after_s=BUSY_S)

    async def _read(self) -> Answer:
        if not await self._council.gather(READ_S):
            return Answer(
                503, error("too few control processes answer to know the newest"), retry_after_s=BUSY_S
            )
        return Answer(200, self._rendered())

    def _rendered(self) -> bytes:
        return render(
            (item.kind, item.name, item.version, dict(item.value))
            for item in self._charter.items.values()
            if item.value is not None and item.kind != MEMBER
        )

    async def _change(self, change: Change, within_s: float) -> Answer:
        invalid = check(change, self._standing)
        if invalid is not None:
            # What this copy does not know another may: nothing proper is refused for that.
            if not await self._council.gather(READ_S):
                return Answer(503, error("too few control processes answer"), retry_after_s=BUSY_S)
            invalid = check(change, self._standing)
        if invalid is not None:
            return self._refused(invalid)
        hurting = self._rollouts.hurting(change.writes, self._standing)
        until = self._loop.time() + within_s
        taken = self._charter.take_all([(w.kind, w.name, w.version, w.value) for w in change.writes])
        if isinstance(taken, Full):
            return Answer(503, error(taken.reason), retry_after_s=BUSY_S)
        if taken:
            self._taken(taken)
            self._gauge.tell(events.CHANGE_TAKEN, items=len(taken), of=len(change.writes))
        keys = {(w.kind, w.name) for w in change.writes}
        standing = [self._charter.items[key] for key in sorted(keys) if key in self._charter.items]
        outcome = await self._council.hold(standing, within_s)
        if isinstance(outcome, Held):
            if hurting:
                await self._rollouts.first_part(hurting, until - self._loop.time())
            return Answer(200, b"{}")
        self._gauge.tell(events.NOT_ACKNOWLEDGED, reason=outcome.reason)
        return Answer(503, error(outcome.reason), retry_after_s=BUSY_S)

    def _refused(self, invalid: Invalid) -> Answer:
        self._gauge.tell(events.CHANGE_REFUSED, reason=invalid.line())
        return Answer(400, error(invalid.line()))

    def _standing(self, kind: str, name: str) -> tuple[int, dict[str, object] | None] | None:
        item = self._charter.items.get((kind, name))
        if item is None:
            return None
        return item.version, dict(item.value) if item.value is not None else None
