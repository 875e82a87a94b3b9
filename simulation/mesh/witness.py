"""What must hold, whatever befalls the machines: said as lines in ``broken`` where it does not.

The witness knows all contents that were ever acknowledged, by number, and all writes that were refused for a
rival. Each read, each change of each process's configuration, each disk and each sidecar is compared with
them for ever after.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import simpy

from mesh.configuration.commands import INPUT_LIMITS, PLANT, ROUTE, ConfigurationWrite, decode_change
from mesh.replication.acceptor import Decision, Slot, Vote, digest_of
from mesh.replication.items import Item, Key, canonical_content
from mesh.replication.membership_epochs import View
from mesh.replication.store import Store
from mesh.transport.http_calls import Answer

if TYPE_CHECKING:
    from simulation.mesh.world import Life, Machine, World

ORDERED = frozenset({ROUTE, PLANT, INPUT_LIMITS})  # kinds that operators send
CONTACT_S, SETTLE_S = 3.0, 2.0
LINKS_S = 2.0  # all links stand again by then
QUIET_FRAMES = 6  # of a second in which nothing changes: upstreams' beats make none
ON_ITS_WAY_S = 0.2  # a lease may be claimed at any moment, and its claim propagates like any update
QUIET_TRIES = 8  # seconds of which one must be so: a lease may change hands


@dataclass(frozen=True, slots=True)
class HeldDisk:
    """What a machine whose disk counts holds, and the epoch under which it would answer."""

    ip: str
    epoch: int
    items: Mapping[Key, Item]
    votes: Mapping[Slot, Vote]


class Witness:
    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: list[str] = []
        self.sent: dict[Key, dict[int, set[bytes]]] = {}  # valid contents by version
        self.acked: dict[Key, tuple[int, float]] = {}  # the highest version acknowledged, and when
        self.contents: dict[Slot, bytes] = {}  # acknowledged
        self.bodies: dict[Slot, dict[bytes, set[bytes]]] = {}  # bodies that had each content, by number
        self.acked_orders: set[bytes] = set()
        self.rivalled: set[bytes] = set()  # bodies that were answered 409
        self.reads = self.acks = 0

    def _say(self, line: str) -> None:
        line = f"{self.world.env.now:.3f} {line}"
        if len(self.broken) < 20:
            self.broken.append(line)

    def members(self) -> int:
        """How many count, as the fullest view has it."""
        return max((len(p.member_set.view().names) for _, p in self.world.programs(core=True)), default=0)

    # What operators send and hear

    def sends(self, body: bytes, valid: bool) -> None:
        change = decode_change(body)
        if valid and isinstance(change, ConfigurationWrite):
            for write in change.writes:
                told = canonical_content(Item(write.kind, write.name, write.version, write.value))
                key = (write.kind, write.name)
                self.sent.setdefault(key, {}).setdefault(write.version, set()).add(told)
                number = (*key, write.version)
                self.bodies.setdefault(number, {}).setdefault(told, set()).add(body)

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
        elif method == b"PATCH" and 400 <= answer.status < 500:
            self._turned(machine, body, answer.status)

    def _acknowledged(self, machine: Machine, body: bytes) -> None:
        change = decode_change(body)
        if not isinstance(change, ConfigurationWrite):
            self._say(f"{machine.name} acknowledged what cannot be read")
            return
        now = float(self.world.env.now)
        for write in change.writes:
            key = (write.kind, write.name)
            told = canonical_content(Item(write.kind, write.name, write.version, write.value))
            if told not in self.sent.get(key, {}).get(write.version, set()):
                self._say(f"{machine.name} acknowledged the invalid {key} r{write.version}")
            if write.version > self.acked.get(key, (-1, 0.0))[0]:
                self.acked[key] = (write.version, now)
            if self.contents.setdefault((*key, write.version), told) != told:
                self._say(f"{machine.name} acknowledged a second content of {(*key, write.version)}")
        self._stand({(write.kind, write.name) for write in change.writes})
        self.acked_orders.add(body)
        if body in self.rivalled:
            self._say(f"{machine.name} acknowledged what was refused for a rival")
        self._meets("at an acknowledgement")
        self.world.env.process(self._settles(now))

    def _stand(self, keys: Collection[Key]) -> None:
        """They are acknowledged: nobody may hold anything else under their numbers, now or ever. Each disk is
        read once for all of them: a write may have a thousand."""
        for core in (True, False):
            for other, program in self.world.programs(core):
                for key in keys:
                    item = program.config_store.items.get(key)
                    if item is not None:
                        self._compare(other.name, item)
        for other in self.world.controllers():
            for item in other.disk.holds().items:
                if item.key in keys:
                    self._compare(f"{other.name}'s disk", item)

    def _compare(self, who: str, item: Item) -> None:
        """One item in force, as somebody has it."""
        if item.kind not in ORDERED:
            return
        number, told = (item.kind, item.name, item.version), canonical_content(item)
        if self.contents.get(number, told) != told:
            self._say(f"{who} has another content of {number} than was acknowledged")
        bodies = self.bodies.get(number, {}).get(told)
        if bodies and bodies <= self.rivalled:
            self._say(f"{who} has {number} as it was refused for a rival")

    def _turned(self, machine: Machine, body: bytes, status: int) -> None:
        """A clear no: for a rival only where one is, and never to what was acknowledged."""
        if body in self.acked_orders:
            self._say(f"{machine.name} answers {status} to an order that was acknowledged")
        if status != 409:
            return
        self.rivalled.add(body)
        change = decode_change(body)
        writes = change.writes if isinstance(change, ConfigurationWrite) else ()
        numbers = {(write.kind, write.name, write.version): write.value for write in writes}
        if not any(self._decided_otherwise(number, value) for number, value in numbers.items()):
            self._say(f"{machine.name} answers 409, and no number is decided otherwise")
        for core in (True, False):
            for other, program in self.world.programs(core):
                for number in numbers:
                    item = program.config_store.items.get(number[:2])
                    if item is not None and item.version == number[2]:
                        self._compare(other.name, item)

    def _decided_otherwise(self, number: Slot, value: Any) -> bool:
        """By the word of any disk or process; one that proposes knows it before them."""
        digest = digest_of(value)
        for _, program in self.world.programs(core=True):
            state = program.acceptor.state(number)
            if isinstance(state, Decision) and state.digest != digest:
                return True
        for machine in self.world.controllers():
            for item in machine.disk.holds().items:
                if (item.kind, item.name, item.version) == number and digest_of(item.value) != digest:
                    return True
        return False

    def _read(self, machine: Machine, body: bytes, began: float) -> None:
        change = decode_change(b'{"apply":' + body + b"}")
        if not isinstance(change, ConfigurationWrite):
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
            told = canonical_content(Item(write.kind, write.name, write.version, write.value))
            if told not in self.sent.get(key, {}).get(write.version, set()):
                self._say(f"{machine.name}: GET gives {key} r{write.version}, which nobody validly sent so")
            self._compare(f"{machine.name}: GET", Item(*key, write.version, write.value))

    def _dropped(self, key: Key, least: int) -> bool:
        return any(v >= least and b"null" in told for v, told in self.sent.get(key, {}).items())

    # What processes hold

    def puts(self, put: Any) -> Any:
        """Wraps a store's only way to change an item."""

        def puts(store: Store, item: Item) -> Any:
            held = store.items.get(item.key)
            changed = put(store, item)
            now = store.items.get(item.key)
            if now is None:  # older than a drop that is forgotten
                return changed
            if held is not None and now.version < held.version:
                self._say(f"{store.source}: {item.key} went back from {held.version} to {item.version}")
            if item.kind in ORDERED and now is item:
                if (
                    held is not None
                    and held.version == now.version
                    and canonical_content(held) != canonical_content(now)
                ):
                    self._say(f"{store.source}: {item.key} r{now.version} was turned over")
                self._compare(store.source, now)
            return changed

        return puts

    def _meets(self, when: str) -> None:
        """No set of whole disks that would do for a read may lack what was acknowledged. A reader counts no
        answer of a later epoch than its own (`QuorumReads`), so machines that know one do not count here."""
        held: list[HeldDisk] = []
        views: list[tuple[str, View]] = []
        for machine in self.world.controllers():
            program = machine.program
            if program is not None:
                view = program.member_set.view()
                views.append((machine.name, view))
                counts, epoch = program.disk_writer.complete, view.epoch
                items, votes = program.config_store.items, program.acceptor.votes
            else:
                kept = machine.disk.holds()
                counts, epoch = kept.complete, 0  # of the disk's view: as if it could answer whoever asks
                items, votes = {item.key: item for item in kept.items}, kept.votes
            if counts:
                held.append(HeldDisk(machine.ip, epoch, items, votes))
        for key, (version, _) in self.acked.items():
            number = (*key, version)
            lacking = [one for one in held if not self._holds(number, one.items, one.votes)]
            for name, view in views:
                would = [one.ip for one in lacking if one.epoch <= view.epoch]
                if view.epoch and view.overlaps(would, self.world.tolerance):
                    self._say(f"{when}: {would} would do for a read by {name}, and lack {key} r{version}")

    def _holds(self, number: Slot, items: Mapping[Key, Item], votes: Mapping[Slot, Vote]) -> bool:
        """In force, overtaken, or as an open vote, which every read brings to its decision."""
        item, vote = items.get(number[:2]), votes.get(number)
        if item is not None and item.version >= number[2]:
            return True
        return vote is not None and canonical_content(Item(*number, vote.value)) == self.contents[number]

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
                held = program.config_store.items.get(key)
                if at <= until and (held is None or held.version < version):
                    self._say(f"{machine.name} does not know {key} r{version}, acknowledged at {at:.3f}")

    # The end

    def _stores(self, name: str) -> list[Store]:
        return [getattr(program, name) for core in (True, False) for _, program in self.world.programs(core)]

    def finish(self, within_s: float = 12.0) -> Generator[simpy.Event, Any, None]:
        """The world is well again: everybody counts, answers, agrees, and falls silent."""
        world = self.world
        yield from world.joined([m for m in world.controllers() if m.counted], within_s)
        for machine in world.controllers():
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
        for name in ("config_store", "membership_store"):
            until = world.env.now + (ON_ITS_WAY_S if name == "membership_store" else 0.0)
            while not _level(stores := self._stores(name)) and world.env.now < until:
                yield world.env.timeout(0.01)
            if not _level(stores):
                self._say(f"the copies of the {name} differ in the end: {_differ(stores)}")
        for machine in world.controllers():
            if machine.life is None or not machine.life.alive:
                self._say(f"{machine.name} does not run")
            for item in machine.disk.holds().items:
                self._compare(f"{machine.name}'s disk", item)
                if item.kind in ORDERED and canonical_content(item) not in self.sent[item.key].get(
                    item.version, ()
                ):
                    self._say(f"{machine.name}: disk has {item.key} r{item.version}, never validly sent")
            for key, (version, _) in self.acked.items():
                kept = {item.key: item.version for item in machine.disk.holds().items}
                if kept.get(key, -1) < version:
                    self._say(f"{machine.name}: disk lacks {key} r{version} in the end")
            if machine.program is not None and machine.program.acceptor.votes:
                self._say(f"{machine.name}: votes are open in the end")
        yield world.env.timeout(LINKS_S)
        sent = 0
        for _ in range(QUIET_TRIES):
            before = world.wire.sent
            yield world.env.timeout(1.0)
            sent = world.wire.sent - before
            if sent <= QUIET_FRAMES:
                return
        self._say(f"{sent} frames in a second in which nothing changed")


def _level(stores: list[Store]) -> bool:
    return all(store.digests.children("") == stores[0].digests.children("") for store in stores)


def _differ(stores: list[Store]) -> str:
    keys = {key for store in stores for key in store.items}
    told = []
    for key in sorted(keys):
        versions = [store.items[key].version if key in store.items else None for store in stores]
        if len({msgspec.json.encode(v) for v in versions}) > 1:
            told.append(f"{key}: {versions}")
    return "; ".join(told[:3]) or "contents"
