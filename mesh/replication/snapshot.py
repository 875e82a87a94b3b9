"""Snapshots of a store: its state at one moment, in pages by key order. No I/O.

A page is sent like any update: its items, and a vector whose only entry, "snap:" and the snapshot's root
digest, counts the items received in that order. Equal copies have the same order, so a process that holds or
recently held a copy with that root can continue where another's link was lost. The receiver merges each page
as it arrives and keeps a running digest of eight bytes; its vector rises with the last page, and only if that
digest equals the root.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec
from msgspec import Struct

from mesh.replication.digest import item_hash
from mesh.replication.items import Item

SNAPSHOT_PREFIX = "snap:"  # before a root: a vector entry that counts the items of that snapshot
SNAPSHOTS_FEATURE = "snapshots"  # announced by a process that supports them
SNAPSHOT_DIVISOR = 2  # a snapshot is sent when more than one in this many of all items is missing
MAX_OUTGOING_SNAPSHOTS = 3  # kept for peers; the least recently requested is evicted
MAX_INCOMING_SNAPSHOTS = 4  # received at once


class Snapshot(Struct, frozen=True):
    """``items`` by key; ``vector``: what the vector of a receiver of all of them rises to; ``arrivals``: the
    arrival count of its store then. It costs the references and the items replaced since."""

    root: str
    items: tuple[Item, ...]
    vector: Mapping[str, int]
    arrivals: int

    def page(self, start: int, max_items: int, max_bytes: int) -> list[Item]:
        """The items from that position on, at least one."""
        return limit_bytes(self.items[start : start + max_items], max_bytes)


def limit_bytes(items: Iterable[Item], max_bytes: int) -> list[Item]:
    """The first items whose JSON size is about ``max_bytes``, at least one."""
    page: list[Item] = []
    for item in items:
        max_bytes -= len(msgspec.json.encode(item.value)) + len(item.name) + 60
        if page and max_bytes < 0:
            break
        page.append(item)
    return page


class OutgoingSnapshots:
    """The snapshots that a store keeps for peers."""

    def __init__(self) -> None:
        self._by_root: dict[str, Snapshot] = {}  # the least recently requested first

    def find(self, root: str) -> Snapshot | None:
        """The snapshot with that root, now the most recently requested."""
        snapshot = self._by_root.pop(root, None)
        if snapshot is not None:
            self._by_root[root] = snapshot
        return snapshot

    def latest(self, arrivals: int, max_since: int) -> Snapshot | None:
        """The newest snapshot, unless more than ``max_since`` items have arrived since; those follow as
        updates."""
        newest = max(self._by_root.values(), key=lambda snapshot: snapshot.arrivals, default=None)
        if newest is None or arrivals - newest.arrivals > max_since:
            return None
        return self.find(newest.root)

    def add(self, snapshot: Snapshot) -> None:
        """Keeps a snapshot and evicts the least recently requested ones."""
        self._by_root[snapshot.root] = snapshot
        while len(self._by_root) > MAX_OUTGOING_SNAPSHOTS:
            del self._by_root[next(iter(self._by_root))]

    def roots(self) -> list[str]:
        """The roots of the kept snapshots."""
        return list(self._by_root)


class IncomingSnapshots:
    """The snapshots that a store is receiving: by root, the number of items and their digest."""

    def __init__(self) -> None:
        self._progress: dict[str, tuple[int, int]] = {}

    def add_page(self, root: str, end: int, items: Iterable[Item]) -> int:
        """Adds a page that ends at that position; returns the position of the next missing item. A page
        received before, or one that does not follow, changes nothing."""
        page = list(items)
        start, digest = self._progress.get(root, (0, 0))
        if end - len(page) != start:
            return start
        self._progress.pop(root, None)
        self._progress[root] = (end, _add_digests(digest, page))
        while len(self._progress) > MAX_INCOMING_SNAPSHOTS:
            del self._progress[next(iter(self._progress))]
        return end

    def finish(self, root: str, end: int, items: Iterable[Item]) -> bool | None:
        """Adds the last page; returns whether the digest of all pages equals the root, None if it does not
        follow."""
        page = list(items)
        start, digest = self._progress.get(root, (0, 0))
        if end - len(page) != start:
            return None
        self._progress.pop(root, None)
        return f"{_add_digests(digest, page):016x}" == root

    def has_begun(self, root: str) -> bool:
        """Whether a page of that snapshot has been received."""
        return root in self._progress

    def clear(self) -> None:
        """Discards all progress."""
        self._progress.clear()


def _add_digests(digest: int, items: Iterable[Item]) -> int:
    for item in items:
        digest ^= item_hash(item)
    return digest
