"""What must hold, whatever befalls the machines: said as lines in ``broken`` where it does not."""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING, Any

import msgspec
import simpy

from waterworks.aquifer.items import Item, Key, content
from waterworks.aquifer.quorum import overlaps
from waterworks.aquifer.store import Store
from waterworks.manifold.decode import Change, decode_change
from waterworks.penstock.desk import Answer
from waterworks.reservoir.council import MEMBER

if TYPE_CHECKING:
    from rigs.mesh_world.world import Life, Machine, World

CONTACT_S, SETTLE_S = 3.0, 2.0
LINKS_S = 2.0  # all links stand again by then
QUIET_FRAMES = 6  # of a second in which nothing changes: upstreams' beats make none
QUIET_TRIES = 8  # seconds of which one must be so: a duty may change hands


class Witness:
    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: list[str] = []
        self.sent: dict[Key, dict[int, set[bytes]]] = {}  # valid contents by version
        self.acked: dict[Key, tuple[int, float]] = {}  # the highest version acknowledged, and when
        self.reads = self.acks = 0

    def _say(self, line: str) -> None:
        line = f"{self.world.env.now:.3f} {line}"
        if len(self.broken) < 20:
            self.broken.append(line)

    def members(self) -> int:
        """How many count, as the fullest view has it."""
        return max((len(p.council.members()) for _, p in self.world.programs(core=True)), default=0)

    # What operators send and hear

    def sends(self, body: bytes, valid: bool) -> None:
        change = decode_change(body)
        if valid and isinstance(change, Change):
            for write in change.writes:
                told = content(Item(write.kind, write.name, write.version, write.value))
                self.sent.setdefault((write.kind, write.name), {}).setdefault(write.version, set()).add(told)

    def answered(
        self,
        machine: Machine,
        life: Life,
        method: bytes,
        body: bytes,
        answer: Answer,
        began: float,
        apart: bool,
    ) -> None:
        if answer.status == 200 and apart:
            self._say(f"{machine.name} is cut off from most and answers {method.decode()} with 200")
        if method == b"GET" and answer.status == 200:
            self.reads += 1
            self._read(machine, answer.body, began)
        elif method == b"PATCH" and answer.status == 200:
            self.acks += 1
            self._acknowledged(machine, body)

    def _acknowledged(self, machine: Machine, body: bytes) -> None:
        change = decode_change(body)
        if not isinstance(change, Change):
            self._say(f"{machine.name} acknowledged what cannot be read")
            return
        now = float(self.world.env.now)
        for write in change.writes:
            key = (write.kind, write.name)
            told = content(Item(write.kind, write.name, write.version, write.value))
            if told not in self.sent.get(key, {}).get(write.version, set()):
                self._say(f"{machine.name} acknowledged the invalid {key} r{write.version}")
            if write.version > self.acked.get(key, (-1, 0.0))[0]:
                self.acked[key] = (write.version, now)
        self._meets("at an acknowledgement")
        self.world.env.process(self._settles(now))

    def _read(self, machine: Machine, body: bytes, began: float) -> None:
        change = decode_change(b'{"apply":' + body + b"}")
        if not isinstance(change, Change):
            self._say(f"{machine.name}: its answer to GET cannot be read: {body[:80]!r}")
            return
        found = {(write.kind, write.name): write for write in change.writes}
        for key, (version, at) in self.acked.items():
            if at > began:
                continue
            read = found.get(key)
            if read is not None and read.version < version:
                self._say(f"{machine.name}: GET gives {key} r{read.version}, r{version} was acknowledged")
            elif read is None and not self._dropped(key, version):
                self._say(f"{machine.name}: GET lacks {key}, r{version} was acknowledged")
        for key, write in found.items():
            told = content(Item(write.kind, write.name, write.version, write.value))
            if told not in self.sent.get(key, {}).get(write.version, set()):
                self._say(f"{machine.name}: GET gives {key} r{write.version}, which nobody validly sent so")

    def _dropped(self, key: Key, least: int) -> bool:
        return any(v >= least and b"null" in told for v, told in self.sent.get(key, {}).items())

    # What processes hold

    def puts(self, put: Any) -> Any:
        """Wraps a store's only way to change an item."""

        def puts(store: Store, item: Item) -> Any:
            held = store.items.get(item.key)
            changed = put(store, item)
            if held is not None and store.items[item.key].version < held.version:
                self._say(f"{store.source}: {item.key} went back from {held.version} to {item.version}")
            return changed

        return puts

    def _meets(self, when: str) -> None:
        """No set of whole disks that would do for a read may lack what was acknowledged."""
        whole: dict[str, dict[Key, int]] = {}
        views = []
        for machine in self.world.reservoirs():
            program = machine.program
            if program is not None:
                items = program.charter.items.values()
                counts = program.ledger.whole
                views.append((machine.name, program.council.members()))
            else:
                kept = machine.disk.holds()
                items, counts = kept.items, kept.whole
            if counts:
                whole[machine.ip] = {item.key: item.version for item in items}
        for key, (version, _) in self.acked.items():
            lacking = [ip for ip, versions in whole.items() if versions.get(key, -1) < version]
            for name, view in views:
                if view and overlaps(lacking, view, self.world.tolerance):
                    self._say(f"{when}: {lacking} would do for a read by {name}, and lack {key} r{version}")

    def watch(self) -> Generator[simpy.Event, Any, None]:
        while True:
            yield self.world.env.timeout(0.05)
            self._meets("meanwhile")

    def _settles(self, acked_at: float) -> Generator[simpy.Event, Any, None]:
        yield self.world.env.timeout(SETTLE_S)
        if self.world.troubled_at > acked_at - CONTACT_S:
            return
        self.sidecars_know(acked_at)

    def sidecars_know(self, until: float) -> None:
        for machine, program in self.world.programs(core=False):
            for key, (version, at) in self.acked.items():
                held = program.charter.items.get(key)
                if at <= until and (held is None or held.version < version):
                    self._say(f"{machine.name} does not know {key} r{version}, acknowledged at {at:.3f}")

    # The end

    def finish(self, within_s: float = 12.0) -> Generator[simpy.Event, Any, None]:
        """The world is well again: everybody counts, answers, agrees, and falls silent."""
        world = self.world
        yield from world.joined([m for m in world.reservoirs() if m.counted], within_s)
        for machine in world.reservoirs():
            for _ in range(20):
                answer = yield from world.get(machine)
                if answer is not None and answer.status == 200:
                    break
                yield world.env.timeout(0.2)
            else:
                self._say(f"{machine.name} does not answer GET any more")
        yield world.env.timeout(0.5)
        self._meets("in the end")
        self.sidecars_know(float(world.env.now))
        for name in ("charter", "roll"):
            stores = [getattr(program, name) for core in (True, False) for _, program in world.programs(core)]
            if any(store.digests.at("") != stores[0].digests.at("") for store in stores):
                self._say(f"the copies of the {name} differ in the end: {_differ(stores)}")
        for machine in world.reservoirs():
            if machine.life is None or not machine.life.alive:
                self._say(f"{machine.name} does not run")
            for item in machine.disk.holds().items:
                if item.kind != MEMBER and content(item) not in self.sent[item.key].get(item.version, ()):
                    self._say(f"{machine.name}: disk has {item.key} r{item.version}, never validly sent")
            for key, (version, _) in self.acked.items():
                kept = {item.key: item.version for item in machine.disk.holds().items}
                if kept.get(key, -1) < version:
                    self._say(f"{machine.name}: disk lacks {key} r{version} in the end")
        yield world.env.timeout(LINKS_S)
        sent = 0
        for _ in range(QUIET_TRIES):
            before = world.wire.sent
            yield world.env.timeout(1.0)
            sent = world.wire.sent - before
            if sent <= QUIET_FRAMES:
                return
        self._say(f"{sent} frames in a second in which nothing changed")


def _differ(stores: list[Store]) -> str:
    keys = {key for store in stores for key in store.items}
    told = []
    for key in sorted(keys):
        versions = [store.items[key].version if key in store.items else None for store in stores]
        if len({msgspec.json.encode(v) for v in versions}) > 1:
            told.append(f"{key}: {versions}")
    return "; ".join(told[:3]) or "contents"
