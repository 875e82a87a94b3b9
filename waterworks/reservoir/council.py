"""What the control processes do together: a write is kept by so many that no loss that is tolerated takes it,
and a read hears from so many that it misses nothing that was acknowledged. There is no leader and no log."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from waterworks.aquifer.items import Item
from waterworks.aquifer.quorum import Place, Tolerance, durable_in_views, overlaps
from waterworks.aquifer.store import Full, Store
from waterworks.gauge import events
from waterworks.gauge.log import Gauge
from waterworks.leat.channels import Channel, Channels
from waterworks.leat.exchange import pack, unpack
from waterworks.penstock.frames import Head
from waterworks.reservoir.ledger import Ledger

MEMBER = "member"  # the kind of the items that say whose disks count
JOINS, COUNTS = "joins", "counts"  # states of a member: writes must do with and without it; it counts
MOST_READ = 20_000  # items of one answer to a read
PENDING = 256  # writes, and reads, that wait for others at once; more are answered as busy

View = dict[str, Place]


@dataclass(frozen=True, slots=True)
class Held:
    """It is durable."""


@dataclass(frozen=True, slots=True)
class NotHeld:
    """It may be in force, and is not acknowledged."""

    reason: str


@dataclass(eq=False, slots=True)
class Pending:
    items: list[Item]
    have: set[str]
    views: list[View]
    done: asyncio.Future[None]


@dataclass(eq=False, slots=True)
class Reading:
    heard: set[str]
    done: asyncio.Future[None]
    asked: set[str] = field(default_factory=set)


class Council:
    def __init__(
        self,
        me: str,
        charter: Store,
        ledger: Ledger,
        channels: Channels,
        tolerance: Tolerance,
        gauge: Gauge,
    ) -> None:
        """``me``: the address by which this machine is known as a member."""
        self._loop = asyncio.get_running_loop()
        self.me, self._charter, self._ledger = me, charter, ledger
        self._channels, self._tolerance, self._gauge = channels, tolerance, gauge
        self._count = 0
        self._pending: dict[int, Pending] = {}
        self._readings: dict[int, Reading] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # Who counts

    def members(self) -> View:
        """Those whose disks count for reads."""
        return self._view(False)

    def views(self) -> list[View]:
        """What a write must be durable under: the members, and they with those that join."""
        return [self._view(False), self._view(True)]

    def _view(self, joining: bool) -> View:
        return {
            item.name: Place(str(item.value.get("zone", "")), str(item.value.get("region", "")))
            for item in self._charter.items.values()
            if item.kind == MEMBER
            and item.value is not None
            and item.value.get("counted", True)
            and (joining or item.value.get("state") == COUNTS)
        }

    # Writing

    async def hold(self, items: Sequence[Item], within_s: float) -> Held | NotHeld:
        """Until these items, which this store holds, are durable."""
        if len(self._pending) >= PENDING:
            return NotHeld(f"{PENDING} changes wait already")
        self._count += 1
        number = self._count
        pending = Pending(list(items), set(), self.views(), self._loop.create_future())
        self._pending[number] = pending
        try:
            for channel in list(self._channels.open):
                self._ask_keep(channel, number, pending)
            own = self._loop.create_task(self._keep_own(pending))
            self._tasks.add(own)
            own.add_done_callback(self._tasks.discard)
            async with asyncio.timeout(within_s):
                await pending.done
            return Held()
        except TimeoutError:
            have = ", ".join(sorted(pending.have)) or "none"
            return NotHeld(f"kept by {have} of {len(self.members())} within {within_s:g} s")
        finally:
            del self._pending[number]

    async def _keep_own(self, pending: Pending) -> None:
        await self._ledger.kept()
        self._has(pending, self.me, self.views())

    def _ask_keep(self, channel: Channel, number: int, pending: Pending) -> None:
        if channel.extra.get("role") == "reservoir" and channel.extra.get("ip") not in pending.have:
            channel.link.send({"t": "keep", "n": number, "items": [pack(item) for item in pending.items]})

    def _has(self, pending: Pending, address: str, views: list[View]) -> None:
        pending.have.add(address)
        pending.views += [view for view in views if view not in pending.views]
        if not pending.done.done() and durable_in_views(pending.have, pending.views, self._tolerance):
            pending.done.set_result(None)

    # Reading

    async def gather(self, within_s: float) -> bool:
        """Until this store has all that was acknowledged before now; False where not enough answer."""
        if len(self._readings) >= PENDING:
            return False
        self._count += 1
        number = self._count
        reading = Reading({self.me} if self._ledger.whole else set(), self._loop.create_future())
        self._readings[number] = reading
        try:
            self._check(reading)
            for channel in list(self._channels.open):
                self._ask_read(channel, number, reading)
            async with asyncio.timeout(within_s):
                await reading.done
            return True
        except TimeoutError:
            return False
        finally:
            del self._readings[number]

    def _ask_read(self, channel: Channel, number: int, reading: Reading) -> None:
        address = str(channel.extra.get("ip", ""))
        if channel.extra.get("role") == "reservoir" and address not in reading.asked:
            reading.asked.add(address)
            channel.link.send({"t": "read", "n": number, "v": self._charter.vector})

    def _check(self, reading: Reading) -> None:
        members = self.members()
        if members and overlaps(reading.heard, members, self._tolerance) and not reading.done.done():
            reading.done.set_result(None)

    # Links and frames

    def opened(self, channel: Channel) -> None:
        """A link to another control process is up: what waits is asked there as well."""
        if channel.extra.get("role") != "reservoir":
            return
        for number, pending in self._pending.items():
            self._ask_keep(channel, number, pending)
        for number, reading in self._readings.items():
            self._ask_read(channel, number, reading)

    def said_complete(self) -> None:
        """Tell the others that this disk counts now."""
        for channel in list(self._channels.open):
            if channel.extra.get("role") == "reservoir":
                channel.link.send({"t": "complete"})

    def frame(self, channel: Channel, head: Head) -> None:
        """Raises KeyError, TypeError or ValueError for what cannot be read."""
        kind, address = head["t"], str(channel.extra.get("ip", ""))
        if kind == "keep":
            task = self._loop.create_task(
                self._keep(channel, int(head["n"]), [unpack(f) for f in head["items"]])
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif kind == "kept":
            pending = self._pending.get(head["n"])
            if pending is not None:
                self._has(pending, address, [read_view(told) for told in head["views"]])
        elif kind == "read":
            lack = self._charter.lacking(head["v"], MOST_READ)
            channel.link.send(
                {
                    "t": "have",
                    "n": int(head["n"]),
                    "items": [pack(item) for item in lack.items],
                    "v": lack.vector,
                    "complete": self._ledger.whole and not lack.more,
                }
            )
        elif kind == "have":
            self._merge([unpack(fields) for fields in head["items"]], head["v"])
            reading = self._readings.get(head["n"])
            if reading is not None and head["complete"]:
                reading.heard.add(address)
                self._check(reading)

    async def _keep(self, channel: Channel, number: int, items: list[Item]) -> None:
        if not self._merge(items, {}):
            return
        await self._ledger.kept()
        channel.link.send({"t": "kept", "n": number, "views": [write_view(view) for view in self.views()]})

    def _merge(self, items: list[Item], vector: Mapping[str, int]) -> bool:
        changed = self._charter.merge(items, vector)
        if isinstance(changed, Full):
            self._gauge.tell(events.STATE_FULL, reason=changed.reason)
            return False
        if changed:
            self._channels.changed("charter", changed)
        return True


def write_view(view: View) -> dict[str, list[str]]:
    return {name: [place.zone, place.region] for name, place in view.items()}


def read_view(told: Mapping[str, Any]) -> View:
    return {str(name): Place(str(place[0]), str(place[1])) for name, place in told.items()}
