"""One hollow proxy: it says who it is and that its upstream beats, asks for news, holds the whole
membership, waits for first parts and reports what is in force, as a proxy does. It takes no calls."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field
from sys import intern
from typing import Any

from mesh.configuration.commands import ROUTE
from mesh.data_plane.membership import CONTROLLER, INSTANCE, NODE, PROXY, Membership
from mesh.data_plane.program import ASKED_BEYOND, MOST_CHARTER, MOST_ROLL, TICK_S
from mesh.data_plane.staged_routes import SAY_S, SAY_SOON_S
from mesh.dissemination.peers import Channel, Channels
from mesh.event_log.log import EventLog
from mesh.membership.failure_detection import above, dropped
from mesh.membership.instance_commands import SETTLED, Beat
from mesh.membership.instance_lifecycle import Publish, Upstream
from mesh.membership.tombstones import Tombs
from mesh.replication.items import Item, Key
from mesh.replication.store import PAGE
from mesh.rollout.change_kinds import ChangeKind
from mesh.rollout.report import MOST_NAMED, REPORT, REPORTS, RolloutReport, pack
from mesh.rollout.staged_activation import ItemActivation, StagedActivation, State
from mesh.transport.frames import Head
from mesh.transport.link import Address
from rigs.hollow.counting import Counts
from rigs.hollow.stores import HollowStore, Pool

DRAIN_S = 0.3  # from the word that it leaves to its end
MOST_TIMED = 200_000  # instants kept of one kind; a run that would pass it is too long


@dataclass
class Host:
    """What all hollow proxies of a process share."""

    seeds: dict[str, Address]
    zones: list[tuple[str, str]]  # zone and region, in turn by number
    services: int
    beat_s: float
    hold_s: float
    tolerated: int
    event_log: EventLog
    counts: Counts = field(default_factory=Counts)
    pool: Pool = field(default_factory=Pool)
    membership: Membership = field(default_factory=Membership)  # as the first of them knows it
    witness: str = ""
    known: dict[tuple[str, int], list[float]] = field(default_factory=lambda: defaultdict(list))
    forced: dict[tuple[str, int], list[float]] = field(default_factory=lambda: defaultdict(list))

    def first(self, node: str, name: str, version: int) -> bool:
        return node in self.membership.draw().first(ROUTE, name, version)

    def note(self, times: dict[tuple[str, int], list[float]], name: str, version: int, at: float) -> None:
        if len(times[name, version]) < MOST_TIMED:
            times[name, version].append(at)


class HollowChannels(Channels):
    """The shipped ones, with names shared and losses counted."""

    counts: Counts

    def frame(self, channel: Channel, head: Head, body: bytes) -> None:
        if head.get("t") == "pull":
            head["v"] = {
                name: {intern(source): number for source, number in vector.items()}
                for name, vector in head["v"].items()
            }
        super().frame(channel, head, body)

    def lost(self, channel: Channel, why: str) -> None:
        self.counts.lost[why] += 1
        super().lost(channel, why)


class Hollow:
    """``number`` gives it its node, its address, its zone and its service; `start` begins a life."""

    def __init__(self, host: Host, number: int) -> None:
        self.host, self.number = host, number
        self.loop = asyncio.get_running_loop()
        self.node = f"hollow-{number}"
        self.zone, self.region = host.zones[number % len(host.zones)]
        self.ip = f"10.{number // 62_500}.{number // 250 % 250}.{number % 250}"
        self.lives = 0
        self.up = False
        self.changed_at = 0.0  # when the membership changed here last
        self._node_version = 0

    # Lives

    def start(self) -> None:
        host = self.host
        self.lives += 1
        self.up = True
        self.life = f"{self.node}.{self.lives:08x}"
        self.charter = HollowStore(self.life, MOST_CHARTER, host.pool)
        self.roll = HollowStore(self.life, MOST_ROLL, host.pool)
        self.reports = HollowStore(self.life, 1, host.pool)
        self.upstream = Upstream(self.node, self.zone, host.beat_s * 1000.0, 2000.0)
        self.chamber, self.tombs = StagedActivation(host.hold_s), Tombs()
        self._controllers: dict[str, Address] = {}
        self._routes: set[Key] = set()
        self._beats, self._beat_at = 0, 0.0
        self._due: asyncio.TimerHandle | None = None
        self._saying: asyncio.TimerHandle | None = None
        self._said: dict[str, Any] | None = None
        self._said_vector: dict[str, int] = {}
        self._report_version = int(time.time() * 1000)
        hello = {"t": "hello", "node": self.node, "source": self.life, "ip": self.ip, "role": PROXY}
        self.channels = HollowChannels(
            self.node,
            hello,
            {"charter": self.charter, "roll": self.roll, REPORTS: self.reports},
            host.tolerated + ASKED_BEYOND,
            host.event_log,
            self._changed,
            up=(REPORTS,),
            ranks=True,
        )
        self.channels.counts = host.counts
        if not host.witness:
            host.witness = self.node
        self._say_node()
        self._know()
        self._tick(self.lives)

    def crash(self) -> None:
        """Its links end without a word."""
        self.up = False
        for timer in (self._due, self._saying):
            if timer is not None:
                timer.cancel()
        self.channels.know({})
        if self.host.witness == self.node:
            self.host.witness, self.host.membership = "", Membership()

    async def leave(self) -> None:
        """As a process that was told to end, beside an upstream that signs off."""
        self._publish(self.upstream.end(self.loop.time() * 1000.0))
        await asyncio.sleep(DRAIN_S)
        self._publish(self.upstream.leave(self.upstream.instance))
        await asyncio.sleep(DRAIN_S)
        self.crash()

    async def apart(self, seconds: float) -> None:
        """Cut off from all others, in the same life."""
        self.channels.know({})
        await asyncio.sleep(seconds)
        self._know()

    # Ticks

    def _tick(self, life: int) -> None:
        if not self.up or life != self.lives:
            return
        self.loop.call_later(TICK_S, self._tick, life)
        now = self.loop.time()
        self.channels.tick(now)
        for key in self.tombs.due(now):
            self.roll.forget(key)
        if now >= self._beat_at:
            self._beat_at = now + self.host.beat_s
            self._beat(now)
        if dropped(self.roll.items.get((NODE, self.node))):
            self._say_node()
            self._publish(self.upstream.republish(self.upstream.version))
        if self._said is not None and not self.chamber.held and self._vector() != self._said_vector:
            self._say_within(SAY_S)

    def _beat(self, now: float) -> None:
        self._beats += 1
        service = f"svc-{self.number % self.host.services}"
        address = (self.ip, 8080)
        instance = f"i-{self.number}-{self.lives}"
        beat = Beat(instance, service, address, self.zone, "v1", 17, SETTLED, 0.0, self._beats)
        self._publish(self.upstream.take(now * 1000.0, beat))

    # Items

    def _say_node(self) -> None:
        version = above(self.roll.items.get((NODE, self.node)), int(time.time() * 1000) + self._node_version)
        self._node_version += 1
        told = self.roll.take(
            NODE,
            self.node,
            version,
            {"address": f"{self.ip}:7000", "role": PROXY, "zone": self.zone, "region": self.region},
        )
        if isinstance(told, Item):
            self._changed("roll", [told])

    def _publish(self, told: list[Publish]) -> None:
        items = []
        for one in told:
            item = self.roll.take(INSTANCE, one.instance, one.version, one.value)
            if isinstance(item, Item):
                items.append(item)
        if items:
            self._changed("roll", items)

    def _know(self) -> None:
        self.channels.know({**self.host.seeds, **self._controllers})

    def _changed(self, name: str, items: list[Item]) -> None:
        now = self.loop.time()
        if name == "charter":
            for item in items:
                if item.kind == ROUTE:
                    self._route(now, item)
        else:
            self.changed_at = now
            self.tombs.note(now, items)
            if self.host.witness == self.node:
                self.host.membership.take(items)
            told = [one for one in items if one.kind == NODE and one.value is not None]
            for item in told:
                assert item.value is not None
                if item.value.get("role") == CONTROLLER:
                    ip, _, port = str(item.value["address"]).rpartition(":")
                    self._controllers[ip] = (ip, int(port))
                    self._know()
        self.channels.poke()

    def _route(self, now: float, item: Item) -> None:
        """Every new version of a route that is known goes in stages, as if it had moved."""
        self.host.note(self.host.known, item.name, item.version, now)
        moved = item.key in self._routes
        self._routes.add(item.key)
        first = moved and self.host.first(self.node, item.name, item.version)
        kind = ChangeKind.MOVED if moved else ChangeKind.ADDED
        one = self.chamber.know(now, item.key, item.version, kind, first, False)
        if one.state is State.IN_FORCE:
            self._in_force(now, one)
        self._arm()
        self._say_within(SAY_SOON_S if first else SAY_S)

    def _in_force(self, now: float, one: ItemActivation) -> None:
        self.host.note(self.host.forced, one.key[1], one.version, now)

    def _arm(self) -> None:
        due = self.chamber.next_due()
        if self._due is not None:
            self._due.cancel()
        self._due = self.loop.call_at(due, self._take_due) if due is not None else None

    def _take_due(self) -> None:
        self._due = None
        now = self.loop.time()
        for one in self.chamber.due(now):
            self._in_force(now, one)
        self._arm()
        self._say_within(SAY_S)

    # Reports

    def _vector(self) -> dict[str, int]:
        return {s: n for s, n in self.charter.vector.items() if not s.startswith(PAGE)}

    def _say_within(self, seconds: float) -> None:
        at = self.loop.time() + seconds
        if self._saying is not None:
            if self._saying.when() <= at:
                return
            self._saying.cancel()
        self._saying = self.loop.call_at(at, self._say)

    def _say(self) -> None:
        self._saying = None
        held: dict[Key, ItemActivation] = self.chamber.held
        self._said_vector = self._vector()
        named = {key: held[key].version for key in list(held)[:MOST_NAMED]}
        told = pack(RolloutReport(self._said_vector, named, len(held) - len(named), ()))
        if told == self._said:
            return
        self._said = told
        self._report_version += 1
        self.reports.take(REPORT, self.node, self._report_version, told)
        self.channels.poke()
