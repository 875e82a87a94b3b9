"""Anti-entropy between control processes: every few seconds each compares its stores with those of one other,
and differing items are replaced by the newer version. The disk is verified now and then, and rewritten if it
is damaged."""

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
from mesh.storage.lmdb_store import Durable
from mesh.transport.frames import Head

COMPARE_INTERVAL_S = (4.0, 8.0)  # range of the time between two comparisons by one process
CHECK_INTERVAL_S = 0.5  # stores that changed within it are compared later: updates may be in transit
MAX_POSTPONED = 10  # checks; constant changes must not prevent comparisons
RETRY_S = 0.5  # after a repair: there may be more differences
MAX_SKIPPED = 10  # comparisons that skip a difference which could not be repaired
DISK_CHECK_INTERVAL_S = (3600.0, 7200.0)  # range of the time between two checks of the disk
CONFIG_STORE, MEMBERSHIP_STORE = "charter", "roll"  # stores that are compared
FRAMES = frozenset({"digest", "range", "mend", "mended"})


class UnresolvedDifference(Struct):
    """A difference that could not be repaired: the two root digests, and the comparisons since."""

    roots: tuple[str, str]
    since: int = 0


class AntiEntropy:
    """Compares the stores of this process with those of others, and repairs differences."""

    def __init__(
        self,
        seed: int,
        stores: Mapping[str, Store],
        channels: Channels,
        disk_writer: DiskWriter,
        event_log: EventLog,
        on_change: Callable[[str, list[Item]], None],
    ) -> None:
        """``stores``: those to compare, by name; ``on_change`` is called with items repaired here."""
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(seed)
        self._stores, self._channels, self._disk_writer = stores, channels, disk_writer
        self._event_log, self._on_change = event_log, on_change
        now = self._loop.time()
        self._next_check_at = now
        self._next_comparison_at = now + self._random.uniform(*COMPARE_INTERVAL_S)
        self._next_disk_check_at = now + self._random.uniform(*DISK_CHECK_INTERVAL_S)
        self._disk_check: asyncio.Task[None] | None = None
        self._last_roots = self._roots()
        self._postponed = self._count = 0
        self._peer_roots: dict[tuple[str, str], str] = {}  # root digests of peers, by peer and store
        self._unresolved: dict[tuple[str, str], UnresolvedDifference] = {}

    def _roots(self) -> dict[str, str]:
        return {name: store.digests.root() for name, store in self._stores.items()}

    def tick(self, now: float) -> None:
        """Starts comparisons and disk checks that are due; called several times a second."""
        if now >= self._next_disk_check_at and self._disk_check is None:
            self._next_disk_check_at = now + self._random.uniform(*DISK_CHECK_INTERVAL_S)
            self._disk_check = self._loop.create_task(self._check_disk())
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        roots = self._roots()
        changed, self._last_roots = roots != self._last_roots, roots
        if now < self._next_comparison_at:
            return
        if changed and self._postponed < MAX_POSTPONED:
            self._postponed += 1
            return
        self._postponed, self._next_comparison_at = 0, now + self._random.uniform(*COMPARE_INTERVAL_S)
        peers = sorted(
            (
                channel
                for channel in self._channels.open
                if channel.peer_hello.get("role") == CONTROLLER and channel.link.up
            ),
            key=lambda channel: (channel.node, channel.opened_here),
        )
        if peers:
            self._count += 1
            self._random.choice(peers).link.send({"t": "digest", "roots": roots})

    def link_closed(self, channel: Channel) -> None:
        """Drops what is known of that peer's stores."""
        for name in self._stores:
            self._peer_roots.pop((channel.node, name), None)
            self._unresolved.pop((channel.node, name), None)

    # Comparing

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a frame of repair. Raises KeyError, TypeError or ValueError if it is malformed."""
        kind = head["t"]
        if kind not in FRAMES or channel.peer_hello.get("role") != CONTROLLER:
            return False
        if kind == "digest":
            self._count += 1
            for name, peer_root in head["roots"].items():
                if name in self._stores:
                    self._compare(channel, name, str(peer_root))
            return True
        name = head["s"]
        if name not in self._stores:
            return True  # a store of a later release
        if kind == "range":
            self._descend(channel, name, read_ranges(head["at"]))
        elif kind == "mend":
            self._handle_mend(channel, name, read_leaves(head["leaves"]), _decode_items(head["items"]))
        else:
            self._apply(channel, name, _decode_items(head["items"]))
        return True

    def _compare(self, channel: Channel, name: str, peer_root: str) -> None:
        own_root, key = self._stores[name].digests.root(), (channel.node, name)
        if own_root == peer_root:
            self._unresolved.pop(key, None)
            return
        left = self._unresolved.get(key)
        if left is not None and left.roots == (own_root, peer_root) and left.since < MAX_SKIPPED:
            left.since += 1
            return
        self._peer_roots[key] = peer_root
        channel.link.send({"t": "range", "s": name, "at": {"": self._stores[name].digests.children("")}})

    def _descend(self, channel: Channel, name: str, ranges: dict[str, dict[str, str]]) -> None:
        store = self._stores[name]
        found = compare(store.digests, ranges, self._count)
        if isinstance(found, DifferingRanges):
            channel.link.send({"t": "range", "s": name, "at": found.ranges})
        elif found is not None:
            self._event_log.emit(events.REPAIR_STARTED, peer=channel.node, buckets=len(found.digests))
            items = [pack(item) for item in items_under(store, found.digests)]
            channel.link.send(
                {"t": "mend", "s": name, "leaves": found.digests, "items": items[:MAX_REPAIR_ITEMS]}
            )

    def _handle_mend(self, channel: Channel, name: str, leaves: dict[str, str], items: list[Item]) -> None:
        found = plan_repair(self._stores[name], leaves, items, name == MEMBERSHIP_STORE)
        for item in found.conflicting:
            self._event_log.emit(
                events.COPIES_DIFFERED,
                peer=channel.node,
                kind=item.kind,
                name=item.name,
                version=item.version,
            )
        if found.fetch:
            self._apply(channel, name, found.fetch)
        if found.send:
            channel.link.send(
                {"t": "mended", "s": name, "items": [pack(item) for item in found.send[:MAX_REPAIR_ITEMS]]}
            )
        if found.inconsistent_leaves:
            self._event_log.emit(
                events.REPAIR_INCOMPLETE, peer=channel.node, buckets=len(found.inconsistent_leaves)
            )
        if not (found.fetch or found.send):
            key = (channel.node, name)
            self._unresolved[key] = UnresolvedDifference(
                (self._stores[name].digests.root(), self._peer_roots.get(key, ""))
            )

    def _apply(self, channel: Channel, name: str, items: list[Item]) -> None:
        repaired = self._stores[name].repair(items)
        if isinstance(repaired, StoreFull):
            self._event_log.emit(events.STATE_FULL, reason=repaired.reason)
        elif repaired:
            self._event_log.emit(events.REPAIR_DONE, peer=channel.node, items=len(repaired))
            self._on_change(name, repaired)
            self._push_to_proxies(name, repaired)
            self._next_comparison_at = self._loop.time() + RETRY_S

    def _push_to_proxies(self, name: str, items: list[Item]) -> None:
        """Sends repaired items to the sidecars linked here, which may hold what was wrong here. Their vectors
        show nothing missing: another process may have sent them the new stamp as one of an item that they
        have."""
        update = {name: {"items": [pack(item) for item in items], "v": {}}}
        for channel in list(self._channels.open):
            if channel.peer_hello.get("role") == PROXY and channel.sent_complete is not None:
                channel.link.send({"t": "news", "n": update, "more": True, "whole": channel.sent_complete})

    # The disk

    def check_disk(self) -> None:
        """Checks and repairs the disk soon, since an operator's check found damage."""
        self._next_disk_check_at = self._loop.time()

    async def _check_disk(self) -> None:
        try:
            findings = await self._disk_writer.run_between_batches(lambda disk_store: disk_store.verify())
            if not findings:
                return
            items = len(self._stores[CONFIG_STORE].items)
            outcome = await self._disk_writer.rewrite()
            if isinstance(outcome, Durable):
                self._event_log.emit(
                    events.DISK_REPAIRED, items=items, findings=len(findings), first=findings[0]
                )
            else:
                self._event_log.emit(events.DISK_WRITE_REFUSED, reason=outcome.reason)
        finally:
            self._disk_check = None


def _decode_items(data: object) -> list[Item]:
    """Decodes the items of a frame. Raises ValueError or TypeError if they are malformed or too many."""
    if not isinstance(data, list) or len(data) > MAX_REPAIR_ITEMS:
        raise ValueError(f"at most {MAX_REPAIR_ITEMS} items")
    return [unpack(fields) for fields in data]
