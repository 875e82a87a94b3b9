"""Runs the acceptor: a vote is on disk before it is sent, an epoch before anything is answered under it, a
ceiling before a round that needs it is promised. Decided items are applied to the configuration store
here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.write_batches import DiskWriter
from mesh.dissemination.peers import Channel
from mesh.dissemination.pull_exchange import unpack
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import (
    ROUND_BLOCK,
    Acceptor,
    Ballot,
    Decision,
    Forgotten,
    Promised,
    Refusal,
    Slot,
    SlotState,
    Value,
    Vote,
)
from mesh.replication.items import Item
from mesh.replication.membership_epochs import VIEW
from mesh.replication.store import Store
from mesh.replication.store_answers import StoreFull
from mesh.storage.layout import pack_ceiling, pack_generations
from mesh.transport.frames import Head

MAX_PROMISE_BYTES = 8 << 20  # of the states in one promise
ROW_OVERHEAD_BYTES = 200  # estimated bytes of a row beside its content
DISK_FULL = "disk: full; drop some items and wait until their tombstones are collected"
MAX_PAGED_WRITES = 8  # partly received writes that are kept; the oldest is discarded


class AcceptorHost:
    """One member's acceptor on the network. ``synced``: whether this member may vote for a view that is
    not joint; ``on_view_change`` is called when a new view is in force."""

    def __init__(
        self,
        acceptor: Acceptor,
        config_store: Store,
        disk_writer: DiskWriter,
        member_set: MemberSet,
        event_log: EventLog,
        on_change: Callable[[list[Item]], None],
    ) -> None:
        """``on_change`` is called with configuration items that changed here, and calls `items_changed`."""
        self._loop = asyncio.get_running_loop()
        self.acceptor, self._config_store, self._disk_writer = acceptor, config_store, disk_writer
        self._member_set, self._event_log, self._on_change = member_set, event_log, on_change
        self.synced: Callable[[], bool] = lambda: True
        self.on_view_change: Callable[[], None] = lambda: None
        self._durable_epoch = 0
        self._ceiling = acceptor.ceiling  # the highest that was passed to the disk
        self._pages: dict[tuple[str, Ballot], list[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # Answers to proposers

    async def check_epoch(self, epoch: int) -> Refusal | None:
        """Why nothing can be answered under that epoch; None if it can. Waits until the epoch is on disk."""
        while True:
            if not self._disk_writer.complete:
                return Refusal(0, "the member's disk has no vote")
            if self._member_set.view().epoch != epoch:
                return Refusal(0, f"the member has epoch {self._member_set.view().epoch}")
            if self._durable_epoch == epoch:
                return None
            await self._disk_writer.flush()
            if self._member_set.view().epoch == epoch:
                self._durable_epoch = epoch

    async def promise(self, epoch: int, ballot: Ballot, slots: Sequence[Slot]) -> Promised | Refusal:
        """Promises all slots or none, with a ceiling on disk that covers the ballot's round."""
        while True:
            refusal = await self.check_epoch(epoch)
            if refusal is not None:
                return refusal
            ceiling = self.acceptor.required_ceiling(ballot.round)
            if not ceiling:
                break
            await self.raise_ceiling(ceiling)
        next_ceiling = self.acceptor.required_ceiling(ballot.round + ROUND_BLOCK // 2)
        if next_ceiling > self._ceiling:
            self.spawn(self.raise_ceiling(next_ceiling))
        return self.acceptor.promise(ballot, slots)

    async def raise_ceiling(self, ceiling: int) -> None:
        """Returns once that ceiling is on disk."""
        self._ceiling = max(self._ceiling, ceiling)
        self._disk_writer.put_row(pack_ceiling(self._ceiling))
        await self._disk_writer.flush()
        self.acceptor.set_ceiling(ceiling)

    async def accept(
        self,
        epoch: int,
        ballot: Ballot,
        by: Mapping[str, int],
        writes: Mapping[Slot, Value],
        tags: Mapping[Slot, str],
    ) -> Refusal | None:
        """Accepts the writes; returns None once they are on disk."""
        refusal = await self.check_epoch(epoch)
        if refusal is not None:
            return refusal
        for (kind, _, _), value in writes.items():
            if kind == VIEW and value is not None and "before" not in value and not self.synced():
                return Refusal(0, "the member is not synced with the joint view")
        if not self.has_room(writes):
            return Refusal(0, DISK_FULL)
        changed = self.acceptor.accept(ballot, by, writes, tags)
        if isinstance(changed, Refusal):
            return changed
        self._disk_writer.mark_votes(changed)
        await self._disk_writer.flush()
        return None

    def has_room(self, writes: Mapping[Slot, Value]) -> bool:
        """Whether the disk has room for what a write sets; drops and views always fit."""
        sets = [value for (kind, _, _), value in writes.items() if value is not None and kind != VIEW]
        return not sets or self._disk_writer.has_room(
            ROW_OVERHEAD_BYTES * len(sets) + sum(map(_encoded_size, sets))
        )

    async def fence(self, round: int, member: str, generation: int) -> None:
        """Refuses lower ballots and older generations from now on; returns once that is on disk."""
        self.acceptor.fence(round, member, generation)
        self._disk_writer.put_row(pack_generations(self.acceptor.generations))
        await self.raise_ceiling(self.acceptor.ceiling)

    # Decided items

    def apply(self, items: Sequence[Item], vector: Mapping[str, int], complete: bool = False) -> None:
        """Merges decided items of any source. ``complete``: they are all the items of their write."""
        changed = self._config_store.merge(items, vector)
        if isinstance(changed, StoreFull):
            self._event_log.emit(events.STATE_FULL, reason=changed.reason)
            return
        # Items that are forgotten already are skipped.
        self._learn([item for item in items if item.key in self._config_store.items], complete)
        if changed:
            self._on_change(changed)

    def stamp_items(self, decided: Iterable[tuple[Slot, Value]]) -> tuple[list[Item], dict[str, int]]:
        """Items stamped by this store, in the order of their slots, and its vector that includes them."""
        source = self._config_store.source
        first = self._config_store.vector.get(source, 0) + 1
        items = [
            Item(*slot, value, source, first + index)
            for index, (slot, value) in enumerate(sorted(decided, key=lambda pair: pair[0]))
        ]
        return items, {source: first - 1 + len(items)}

    def items_changed(self, items: Sequence[Item]) -> None:
        """Configuration items have changed, from any source; all of them are decided."""
        self._learn(items, False)
        self._disk_writer.mark_items(items)
        if any(item.kind == VIEW for item in items):
            self.on_view_change()

    def learn_state(self, slot: Slot, state: Decision | Forgotten) -> None:
        """Records an outcome that another acceptor reported without its content."""
        if self.acceptor.learn_state(slot, state):
            self._disk_writer.mark_decided([slot])

    def _learn(self, items: Iterable[Item], complete: bool) -> None:
        slots = [((item.kind, item.name, item.version), item.value) for item in items]
        self._disk_writer.mark_decided(
            [slot for slot, value in slots if self.acceptor.learn(slot, value, complete)]
        )

    # Frames

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Handles a frame for the acceptor; returns whether it was one. Raises KeyError, TypeError or
        ValueError for a malformed frame."""
        kind = head["t"]
        if kind == "prepare":
            slots = [decode_slot(slot) for slot in head["k"]]
            self.spawn(self._handle_prepare(channel, head, decode_ballot(head["b"]), slots))
        elif kind == "accept":
            rows = self._collect_pages(channel, head)
            if rows is not None:
                writes = {decode_slot(row): row[3] for row in rows}
                tags = {decode_slot(row): str(row[4]) for row in rows if len(row) > 4}
                if any(not (value is None or isinstance(value, dict)) for value in writes.values()):
                    raise ValueError("an item's value must be an object, or null for a dropped item")
                self.spawn(self._handle_accept(channel, head, decode_ballot(head["b"]), writes, tags))
        elif kind == "decided":
            self._handle_decided(head)
        else:
            return False
        return True

    def _collect_pages(self, channel: Channel, head: Head) -> list[Any] | None:
        """All rows of a write once its last page has arrived; None before. Acknowledges each other page."""
        index, count, key = int(head["p"]), int(head["of"]), (address_of(channel), decode_ballot(head["b"]))
        if count == 1:
            return list(head["w"])
        pages = self._pages.pop(key, []) if index else []
        if index != len(pages):
            return None
        self._pages[key] = [*pages, head["w"]]
        while len(self._pages) > MAX_PAGED_WRITES:
            del self._pages[next(iter(self._pages))]
        if index + 1 < count:
            channel.link.send({"t": "accepted", "b": head["b"], "e": head["e"], "p": index})
            return None
        return [row for page in self._pages.pop(key) for row in page]

    def _handle_decided(self, head: Head) -> None:
        if "items" in head:
            self.apply([unpack(fields) for fields in head["items"]], {})
            return
        source, first = str(head["s"]), int(head["at"])
        decided = sorted(
            self.acceptor.votes_under(decode_ballot(head["b"])).items(), key=lambda pair: pair[0]
        )
        if len(decided) == head["of"]:
            items = [Item(*slot, value, source, first + at) for at, (slot, value) in enumerate(decided)]
            self.apply(
                items,
                self._config_store.contiguous_vector(source, first, len(items)),
                bool(head.get("whole")),
            )
        elif decided:  # the others were decided otherwise, before or meanwhile
            self.apply(*self.stamp_items(decided))

    async def _handle_prepare(self, channel: Channel, head: Head, ballot: Ballot, slots: list[Slot]) -> None:
        answer = await self.promise(int(head["e"]), ballot, slots)
        if isinstance(answer, Refusal):
            self._send_refusal(channel, head, answer)
            return
        indexes = {slot: index for index, slot in enumerate(slots)}
        full = bool(head.get("full"))
        rows = [[indexes[slot], *encode_state(state, full)] for slot, state in answer.states.items()]
        packed = msgspec.json.encode(rows)
        if len(packed) > MAX_PROMISE_BYTES:
            self._send_refusal(channel, head, Refusal(0, "too many open votes for one promise"))
            return
        message = {"t": "promise", "b": head["b"], "e": head["e"], "g": answer.generation}
        channel.link.send({**message, "s": msgspec.Raw(packed)})

    async def _handle_accept(
        self,
        channel: Channel,
        head: Head,
        ballot: Ballot,
        writes: Mapping[Slot, Value],
        tags: Mapping[Slot, str],
    ) -> None:
        by = {str(name): int(generation) for name, generation in head["by"].items()}
        refusal = await self.accept(int(head["e"]), ballot, by, writes, tags)
        if refusal is not None:
            self._send_refusal(channel, head, refusal)
        else:
            channel.link.send({"t": "accepted", "b": head["b"], "e": head["e"], "p": int(head["of"]) - 1})

    def _send_refusal(self, channel: Channel, head: Head, refusal: Refusal) -> None:
        epoch = self._member_set.view().epoch
        message = {"t": "refuse", "b": head["b"], "e": epoch, "r": refusal.round, "why": refusal.reason}
        if not refusal.contended:
            message["now"] = True
        if epoch > int(head["e"]):
            message["view"] = self._member_set.view_item()
        channel.link.send(message)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _encoded_size(value: Value) -> int:
    return len(msgspec.json.encode(value))


def encode_ballot(ballot: Ballot) -> list[Any]:
    return [ballot.round, ballot.proposer]


def decode_ballot(data: Any) -> Ballot:
    """Decodes a ballot; raises TypeError or ValueError if it is malformed."""
    round, proposer = data
    if not isinstance(round, int) or not isinstance(proposer, str):
        raise ValueError("a ballot must be a round and its proposer's incarnation")
    return Ballot(round, proposer)


def decode_slot(data: Any) -> Slot:
    """Decodes the first three fields; raises TypeError or ValueError if they are no slot."""
    kind, name, version = data[:3]
    if not (isinstance(kind, str) and isinstance(name, str) and isinstance(version, int)):
        raise ValueError("a slot must be kind, name and version")
    return kind, name, version


def encode_state(state: SlotState, full: bool) -> list[Any]:
    """Encodes a state. ``full``: with the content of an item that is in force."""
    if isinstance(state, Vote):
        return ["v", *encode_ballot(state.ballot), state.value, state.tag]
    if isinstance(state, Decision):
        row = ["d", state.digest, state.tag]
        return [*row, state.value] if full and state.has_value else row
    return ["f"]


def decode_state(data: Sequence[Any]) -> SlotState:
    """Decodes a state; raises TypeError or ValueError if it is malformed."""
    if data[0] == "v":
        return Vote(decode_ballot(data[1:3]), data[3], str(data[4]))
    if data[0] == "d":
        return Decision(str(data[1]), len(data) > 3, data[3] if len(data) > 3 else None, str(data[2]))
    if data[0] == "f":
        return Forgotten()
    raise ValueError(f"unknown state {data[0]!r}")
