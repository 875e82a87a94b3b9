"""Repair between control processes: every few seconds each compares its copies with one other's, and what
differs is mended from the newer. Now and then the disk is read through, and written anew where it is damaged.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from msgspec import Struct

from mesh.control_plane.write_batches import DiskWriter
from mesh.data_plane.membership import CONTROLLER, PROXY
from mesh.dissemination.peers import Channel, Channels
from mesh.dissemination.pull_exchange import pack, unpack
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.anti_entropy import (
    MAX_REPAIR_ITEMS,
    DifferingRanges,
    compare,
    items_under,
    plan_repair,
    read_leaves,
    read_ranges,
)
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.replication.store_answers import StoreFull
from mesh.storage.lmdb_store import Kept
from mesh.transport.frames import Head

COMPARE_INTERVAL_S = (4.0, 8.0)  # between two comparisons of one process
CHECK_INTERVAL_S = 0.5  # copies that changed within it are compared later: news may be under way
MAX_POSTPONED = 10  # looks; changes without an end must not keep copies from being compared
RETRY_S = 0.5  # after a comparison that mended something: there may be more
MAX_SKIPPED = 10  # comparisons for which a difference that could not be mended is left alone
DISK_CHECK_INTERVAL_S = (3600.0, 7200.0)  # between two checks of the disk
CHARTER, ROLL = "charter", "roll"  # stores that are compared
FRAMES = frozenset({"digest", "range", "mend", "mended"})


class UnresolvedDifference(Struct):
    """A difference that could not be mended: the two roots, and comparisons since."""

    roots: tuple[str, str]
    since: int = 0


class AntiEntropy:
    def __init__(
        self,
        seed: int,
        stores: Mapping[str, Store],
        channels: Channels,
        disk_writer: DiskWriter,
        event_log: EventLog,
        changed: Callable[[str, list[Item]], None],
    ) -> None:
        """``stores``: those that are compared, by name; ``changed`` is told what was mended here."""
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(seed)
        self._stores, self._channels, self._disk_writer = stores, channels, disk_writer
        self._event_log, self._on_change = event_log, changed
        now = self._loop.time()
        self._next_check_at = now
        self._next_comparison_at = now + self._random.uniform(*COMPARE_INTERVAL_S)
        self._next_disk_check_at = now + self._random.uniform(*DISK_CHECK_INTERVAL_S)
        self._disk_check: asyncio.Task[None] | None = None
        self._last_roots = self._roots()
        self._postponed = self._count = 0
        self._peer_roots: dict[tuple[str, str], str] = {}  # roots of peers, by peer and store
        self._unresolved: dict[tuple[str, str], UnresolvedDifference] = {}

    def _roots(self) -> dict[str, str]:
        return {name: store.digests.root() for name, store in self._stores.items()}

    def tick(self, now: float) -> None:
        """Called several times a second."""
        if now >= self._next_disk_check_at and self._disk_check is None:
            self._next_disk_check_at = now + self._random.uniform(*DISK_CHECK_INTERVAL_S)
            self._disk_check = self._loop.create_task(self._check_disk())
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        roots = self._roots()
        moved, self._last_roots = roots != self._last_roots, roots
        if now < self._next_comparison_at:
            return
        if moved and self._postponed < MAX_POSTPONED:
            self._postponed += 1
            return
        self._postponed, self._next_comparison_at = 0, now + self._random.uniform(*COMPARE_INTERVAL_S)
        peers = sorted(
            (one for one in self._channels.open if one.extra.get("role") == CONTROLLER and one.link.up),
            key=lambda one: (one.node, one.opened_here),
        )
        if peers:
            self._count += 1
            self._random.choice(peers).link.send({"t": "digest", "roots": roots})

    def link_closed(self, channel: Channel) -> None:
        for name in self._stores:
            self._peer_roots.pop((channel.node, name), None)
            self._unresolved.pop((channel.node, name), None)

    # Comparing

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of repair. Raises KeyError, TypeError or ValueError for what cannot be read."""
        kind = head["t"]
        if kind not in FRAMES or channel.extra.get("role") != CONTROLLER:
            return False
        if kind == "digest":
            self._count += 1
            for name, theirs in head["roots"].items():
                if name in self._stores:
                    self._compare(channel, name, str(theirs))
            return True
        name = head["s"]
        if name not in self._stores:
            return True  # of a newer program
        if kind == "range":
            self._descend(channel, name, read_ranges(head["at"]))
        elif kind == "mend":
            self._handle_mend(channel, name, read_leaves(head["leaves"]), _decode_items(head["items"]))
        else:
            self._apply(channel, name, _decode_items(head["items"]))
        return True

    def _compare(self, channel: Channel, name: str, theirs: str) -> None:
        mine, where = self._stores[name].digests.root(), (channel.node, name)
        if mine == theirs:
            self._unresolved.pop(where, None)
            return
        left = self._unresolved.get(where)
        if left is not None and left.roots == (mine, theirs) and left.since < MAX_SKIPPED:
            left.since += 1
            return
        self._peer_roots[where] = theirs
        channel.link.send({"t": "range", "s": name, "at": {"": self._stores[name].digests.children("")}})

    def _descend(self, channel: Channel, name: str, told: dict[str, dict[str, str]]) -> None:
        store = self._stores[name]
        found = compare(store.digests, told, self._count)
        if isinstance(found, DifferingRanges):
            channel.link.send({"t": "range", "s": name, "at": found.ranges})
        elif found is not None:
            self._event_log.tell(events.REPAIR_BEGUN, peer=channel.node, buckets=len(found.digests))
            items = [pack(item) for item in items_under(store, found.digests)]
            channel.link.send(
                {"t": "mend", "s": name, "leaves": found.digests, "items": items[:MAX_REPAIR_ITEMS]}
            )

    def _handle_mend(self, channel: Channel, name: str, leaves: dict[str, str], items: list[Item]) -> None:
        found = plan_repair(self._stores[name], leaves, items, name == ROLL)
        for item in found.conflicting:
            self._event_log.tell(
                events.COPIES_SPLIT, peer=channel.node, kind=item.kind, name=item.name, version=item.version
            )
        if found.fetch:
            self._apply(channel, name, found.fetch)
        if found.send:
            channel.link.send(
                {"t": "mended", "s": name, "items": [pack(item) for item in found.send[:MAX_REPAIR_ITEMS]]}
            )
        if found.inconsistent_leaves:
            self._event_log.tell(
                events.REPAIR_DIFFERS, peer=channel.node, buckets=len(found.inconsistent_leaves)
            )
        if not (found.fetch or found.send):
            where = (channel.node, name)
            self._unresolved[where] = UnresolvedDifference(
                (self._stores[name].digests.root(), self._peer_roots.get(where, ""))
            )

    def _apply(self, channel: Channel, name: str, items: list[Item]) -> None:
        taken = self._stores[name].repair(items)
        if isinstance(taken, StoreFull):
            self._event_log.tell(events.STATE_FULL, reason=taken.reason)
        elif taken:
            self._event_log.tell(events.REPAIR_DONE, peer=channel.node, items=len(taken))
            self._on_change(name, taken)
            self._push_to_proxies(name, taken)
            self._next_comparison_at = self._loop.time() + RETRY_S

    def _push_to_proxies(self, name: str, items: list[Item]) -> None:
        """Sidecars that asked here may hold what was wrong here. By the vectors they lack nothing: a process
        that had it right may tell them of the new stamp first, as one of an item that they have."""
        part = {name: {"items": [pack(item) for item in items], "v": {}}}
        for channel in list(self._channels.open):
            if channel.extra.get("role") == PROXY and channel.said_whole is not None:
                channel.link.send({"t": "news", "n": part, "more": True, "whole": channel.said_whole})

    # The disk

    def check_disk(self) -> None:
        """An operator's question found damage: it is looked for here as well, and mended."""
        self._next_disk_check_at = self._loop.time()

    async def _check_disk(self) -> None:
        try:
            findings = await self._disk_writer.run_between_batches(lambda keeper: keeper.verify())
            if not findings:
                return
            items = len(self._stores[CHARTER].items)
            outcome = await self._disk_writer.rewrite()
            if isinstance(outcome, Kept):
                self._event_log.tell(
                    events.DISK_MENDED, items=items, findings=len(findings), first=findings[0]
                )
            else:
                self._event_log.tell(events.DISK_REFUSED, reason=outcome.reason)
        finally:
            self._disk_check = None


def _decode_items(told: object) -> list[Item]:
    """Items of a frame. Raises ValueError or TypeError for what are none, or too many."""
    if not isinstance(told, list) or len(told) > MAX_REPAIR_ITEMS:
        raise ValueError(f"at most {MAX_REPAIR_ITEMS} items")
    return [unpack(fields) for fields in told]
