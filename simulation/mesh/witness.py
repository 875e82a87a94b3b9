"""Invariants of a simulated mesh, checked during a run; each violation is a line in ``violations``.

The checker records all acknowledged contents by version and all writes refused because of a conflict. Each
read, each item that a process applies, each disk and each proxy is compared with them until the end of the
run.
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
    from simulation.mesh.world import Incarnation, Machine, World

OPERATOR_KINDS = frozenset({ROUTE, PLANT, INPUT_LIMITS})  # kinds that operators write
CONTACT_S, SETTLE_S = 3.0, 2.0
LINK_RECOVERY_S = 2.0  # all links are open again after this time
MAX_IDLE_FRAMES = 6  # a second in an idle mesh; heartbeats of upstreams cause none
LEASE_PROPAGATION_S = 0.2  # a lease may be claimed at any time; its claim propagates like any update
MAX_IDLE_CHECKS = 8  # number of seconds checked, one of which must be idle: a lease may change hands


@dataclass(frozen=True, slots=True)
class DiskContents:
    """Items and votes of a machine with a complete disk, and the epoch under which it answers."""

    ip: str
    epoch: int
    items: Mapping[Key, Item]
    votes: Mapping[Slot, Vote]


class InvariantChecker:
    """Collects violations; ``world`` calls it for each operator call and each change of a store."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.violations: list[str] = []
        self.sent_contents: dict[Key, dict[int, set[bytes]]] = {}  # valid contents by version
        self.acknowledged: dict[Key, tuple[int, float]] = {}  # the highest acknowledged version, and when
        self.acknowledged_contents: dict[Slot, bytes] = {}  # of acknowledged writes
        self.bodies_by_content: dict[Slot, dict[bytes, set[bytes]]] = {}  # the bodies sent with each content
        self.acknowledged_bodies: set[bytes] = set()
        self.conflicting_bodies: set[bytes] = set()  # bodies answered with 409
        self.reads = self.acknowledgements = 0

    def _report(self, line: str) -> None:
        line = f"{self.world.env.now:.3f} {line}"
        if len(self.violations) < 20:
            self.violations.append(line)

    def member_count(self) -> int:
        """The number of members in the largest view."""
        return max(
            (len(p.member_set.view().names) for _, p in self.world.programs(controllers=True)), default=0
        )

    # Operator calls

    def record_sent(self, body: bytes, valid: bool) -> None:
        change = decode_change(body)
        if valid and isinstance(change, ConfigurationWrite):
            for write in change.writes:
                content = canonical_content(Item(write.kind, write.name, write.version, write.value))
                key = (write.kind, write.name)
                self.sent_contents.setdefault(key, {}).setdefault(write.version, set()).add(content)
                slot = (*key, write.version)
                self.bodies_by_content.setdefault(slot, {}).setdefault(content, set()).add(body)

    def check_answer(
        self,
        machine: Machine,
        incarnation: Incarnation,
        method: bytes,
        body: bytes,
        answer: Answer,
        started_at: float,
        lacks_majority: bool,
    ) -> None:
        if answer.status == 200 and lacks_majority:
            self._report(f"{machine.name} has no majority and answers {method.decode()} with 200")
        if method == b"GET" and answer.status == 200:
            self.reads += 1
            self._check_read(machine, answer.body, started_at)
        elif method == b"PATCH" and answer.status == 200:
            self.acknowledgements += 1
            self._check_acknowledgement(machine, body)
        elif method == b"PATCH" and 400 <= answer.status < 500:
            self._check_refusal(machine, body, answer.status)

    def _check_acknowledgement(self, machine: Machine, body: bytes) -> None:
        change = decode_change(body)
        if not isinstance(change, ConfigurationWrite):
            self._report(f"{machine.name} acknowledged a body that cannot be decoded")
            return
        now = float(self.world.env.now)
        for write in change.writes:
            key = (write.kind, write.name)
            content = canonical_content(Item(write.kind, write.name, write.version, write.value))
            if content not in self.sent_contents.get(key, {}).get(write.version, set()):
                self._report(f"{machine.name} acknowledged the invalid {key} r{write.version}")
            if write.version > self.acknowledged.get(key, (-1, 0.0))[0]:
                self.acknowledged[key] = (write.version, now)
            if self.acknowledged_contents.setdefault((*key, write.version), content) != content:
                self._report(f"{machine.name} acknowledged a second content of {(*key, write.version)}")
        self._check_acknowledged_items({(write.kind, write.name) for write in change.writes})
        self.acknowledged_bodies.add(body)
        if body in self.conflicting_bodies:
            self._report(f"{machine.name} acknowledged a write that was refused as a conflict")
        self._check_quorums("at an acknowledgement")
        self.world.env.process(self._check_propagation(now))

    def _check_acknowledged_items(self, keys: Collection[Key]) -> None:
        """After an acknowledgement no process or disk may ever hold another content of these versions. Each
        disk is read once for all keys, since a write may have a thousand."""
        for controllers in (True, False):
            for other, program in self.world.programs(controllers):
                for key in keys:
                    item = program.config_store.items.get(key)
                    if item is not None:
                        self._check_item(other.name, item)
        for other in self.world.controllers():
            for item in other.disk.state().items:
                if item.key in keys:
                    self._check_item(f"{other.name}'s disk", item)

    def _check_item(self, who: str, item: Item) -> None:
        """Checks one item in force, as held by a process or a disk."""
        if item.kind not in OPERATOR_KINDS:
            return
        slot, content = (item.kind, item.name, item.version), canonical_content(item)
        if self.acknowledged_contents.get(slot, content) != content:
            self._report(f"{who} has another content of {slot} than was acknowledged")
        bodies = self.bodies_by_content.get(slot, {}).get(content)
        if bodies and bodies <= self.conflicting_bodies:
            self._report(f"{who} has {slot} with a content that was refused as a conflict")

    def _check_refusal(self, machine: Machine, body: bytes, status: int) -> None:
        """A final refusal: 409 requires a conflicting decision, and an acknowledged write is never
        refused."""
        if body in self.acknowledged_bodies:
            self._report(f"{machine.name} answers {status} to a write that was acknowledged")
        if status != 409:
            return
        self.conflicting_bodies.add(body)
        change = decode_change(body)
        writes = change.writes if isinstance(change, ConfigurationWrite) else ()
        slots = {(write.kind, write.name, write.version): write.value for write in writes}
        if not any(self._has_conflicting_decision(slot, value) for slot, value in slots.items()):
            self._report(f"{machine.name} answers 409, and no item has a conflicting decision")
        for controllers in (True, False):
            for other, program in self.world.programs(controllers):
                for slot in slots:
                    item = program.config_store.items.get(slot[:2])
                    if item is not None and item.version == slot[2]:
                        self._check_item(other.name, item)

    def _has_conflicting_decision(self, slot: Slot, value: Any) -> bool:
        """Whether a process or a disk has another decision; the proposer knows it before them."""
        digest = digest_of(value)
        for _, program in self.world.programs(controllers=True):
            state = program.acceptor.state(slot)
            if isinstance(state, Decision) and state.digest != digest:
                return True
        for machine in self.world.controllers():
            for item in machine.disk.state().items:
                if (item.kind, item.name, item.version) == slot and digest_of(item.value) != digest:
                    return True
        return False

    def _check_read(self, machine: Machine, body: bytes, started_at: float) -> None:
        change = decode_change(b'{"apply":' + body + b"}")
        if not isinstance(change, ConfigurationWrite):
            self._report(f"{machine.name}: answer to GET cannot be decoded: {body[:80]!r}")
            return
        found = {(write.kind, write.name): write for write in change.writes}
        for key, (version, at) in self.acknowledged.items():
            if at > started_at:
                continue
            read = found.get(key)
            if read is not None and read.version < version:
                self._report(f"{machine.name}: GET gives {key} r{read.version}, r{version} was acknowledged")
            elif read is None and not self._was_removed(key, version):
                self._report(f"{machine.name}: GET lacks {key}, r{version} was acknowledged")
        for key, write in found.items():
            content = canonical_content(Item(write.kind, write.name, write.version, write.value))
            if content not in self.sent_contents.get(key, {}).get(write.version, set()):
                self._report(
                    f"{machine.name}: GET gives {key} r{write.version} with a content that was never sent"
                )
            self._check_item(f"{machine.name}: GET", Item(*key, write.version, write.value))

    def _was_removed(self, key: Key, min_version: int) -> bool:
        return any(
            v >= min_version and b"null" in content for v, content in self.sent_contents.get(key, {}).items()
        )

    # Contents of processes

    def wrap_put(self, put: Any) -> Any:
        """Wraps the only method that changes an item of a store."""

        def put_and_check(store: Store, item: Item) -> Any:
            held = store.items.get(item.key)
            changed = put(store, item)
            now = store.items.get(item.key)
            if now is None:  # older than a tombstone that was collected
                return changed
            if held is not None and now.version < held.version:
                self._report(f"{store.source}: {item.key} went back from {held.version} to {item.version}")
            if item.kind in OPERATOR_KINDS and now is item:
                if (
                    held is not None
                    and held.version == now.version
                    and canonical_content(held) != canonical_content(now)
                ):
                    self._report(f"{store.source}: {item.key} r{now.version} changed its content")
                self._check_item(store.source, now)
            return changed

        return put_and_check

    def _check_quorums(self, when: str) -> None:
        """Every set of complete disks that is a read quorum must include what was acknowledged. A reader
        ignores answers of a later epoch than its own (`QuorumReads`), so machines that know one are left
        out."""
        held: list[DiskContents] = []
        views: list[tuple[str, View]] = []
        for machine in self.world.controllers():
            program = machine.program
            if program is not None:
                view = program.member_set.view()
                views.append((machine.name, view))
                complete, epoch = program.disk_writer.complete, view.epoch
                items, votes = program.config_store.items, program.acceptor.votes
            else:
                kept = machine.disk.state()
                complete, epoch = kept.complete, 0  # not running: as if it could answer a reader of any epoch
                items, votes = {item.key: item for item in kept.items}, kept.votes
            if complete:
                held.append(DiskContents(machine.ip, epoch, items, votes))
        for key, (version, _) in self.acknowledged.items():
            slot = (*key, version)
            lacking = [disk for disk in held if not self._is_known(slot, disk.items, disk.votes)]
            for name, view in views:
                quorum = [disk.ip for disk in lacking if disk.epoch <= view.epoch]
                if view.epoch and view.overlaps(quorum, self.world.tolerance):
                    self._report(f"{when}: {quorum} are a read quorum for {name}, and lack {key} r{version}")

    def _is_known(self, slot: Slot, items: Mapping[Key, Item], votes: Mapping[Slot, Vote]) -> bool:
        """In force, superseded, or an open vote, which every read brings to its decision."""
        item, vote = items.get(slot[:2]), votes.get(slot)
        if item is not None and item.version >= slot[2]:
            return True
        return (
            vote is not None
            and canonical_content(Item(*slot, vote.value)) == self.acknowledged_contents[slot]
        )

    def watch(self) -> Generator[simpy.Event, Any, None]:
        while True:
            yield self.world.env.timeout(0.05)
            self._check_quorums("meanwhile")

    def _check_propagation(self, acked_at: float) -> Generator[simpy.Event, Any, None]:
        yield self.world.env.timeout(SETTLE_S)
        if self.world.last_disturbance_at > acked_at - CONTACT_S:
            return
        self.check_proxies_know(acked_at)

    def check_proxies_know(self, deadline: float) -> None:
        for machine, program in self.world.programs(controllers=False):
            for key, (version, at) in self.acknowledged.items():
                held = program.config_store.items.get(key)
                if at <= deadline and (held is None or held.version < version):
                    self._report(f"{machine.name} does not know {key} r{version}, acknowledged at {at:.3f}")

    # The end of a run

    def _stores(self, name: str) -> list[Store]:
        return [
            getattr(program, name)
            for controllers in (True, False)
            for _, program in self.world.programs(controllers)
        ]

    def check_recovered(self, within_s: float = 12.0) -> Generator[simpy.Event, Any, None]:
        """After recovery: all controllers are members, answer, hold the same items and stop exchanging
        frames."""
        world = self.world
        yield from world.wait_for_members([m for m in world.controllers() if m.counted], within_s)
        for machine in world.controllers():
            for _ in range(20):
                answer = yield from world.get(machine)
                if answer is not None and answer.status == 200:
                    break
                yield world.env.timeout(0.2)
            else:
                self._report(f"{machine.name} no longer answers GET")
        yield world.env.timeout(0.5)
        self._check_quorums("in the end")
        self.check_proxies_know(float(world.env.now))
        for name in ("config_store", "membership_store"):
            deadline = world.env.now + (LEASE_PROPAGATION_S if name == "membership_store" else 0.0)
            while not _copies_agree(stores := self._stores(name)) and world.env.now < deadline:
                yield world.env.timeout(0.01)
            if not _copies_agree(stores):
                self._report(f"the copies of the {name} differ in the end: {_describe_differences(stores)}")
        for machine in world.controllers():
            if machine.incarnation is None or not machine.incarnation.alive:
                self._report(f"{machine.name} does not run")
            for item in machine.disk.state().items:
                self._check_item(f"{machine.name}'s disk", item)
                if item.kind in OPERATOR_KINDS and canonical_content(item) not in self.sent_contents[
                    item.key
                ].get(item.version, ()):
                    self._report(
                        f"{machine.name}: disk has {item.key} r{item.version} with a content never sent"
                    )
            for key, (version, _) in self.acknowledged.items():
                kept = {item.key: item.version for item in machine.disk.state().items}
                if kept.get(key, -1) < version:
                    self._report(f"{machine.name}: disk lacks {key} r{version} in the end")
            if machine.program is not None and machine.program.acceptor.votes:
                self._report(f"{machine.name}: votes are open in the end")
        yield world.env.timeout(LINK_RECOVERY_S)
        frames = 0
        for _ in range(MAX_IDLE_CHECKS):
            before = world.network.sent_frames
            yield world.env.timeout(1.0)
            frames = world.network.sent_frames - before
            if frames <= MAX_IDLE_FRAMES:
                return
        self._report(f"{frames} frames in a second of an idle mesh")


def _copies_agree(stores: list[Store]) -> bool:
    return all(store.digests.children("") == stores[0].digests.children("") for store in stores)


def _describe_differences(stores: list[Store]) -> str:
    keys = {key for store in stores for key in store.items}
    differences = []
    for key in sorted(keys):
        versions = [store.items[key].version if key in store.items else None for store in stores]
        if len({msgspec.json.encode(v) for v in versions}) > 1:
            differences.append(f"{key}: {versions}")
    return "; ".join(differences[:3]) or "contents"
