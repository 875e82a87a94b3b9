"""Snapshots of a store: what it held at one moment, in pages by key order. No I/O.

A page is news like any other: its items, and a vector whose only entry, "snap:" and the moment's root
digest, says how many items of that order are held with it. Copies that are equal have one order, so whoever
holds, or held of late, a copy with that root goes on where another's link was lost. Who takes one merges each
page as it comes and keeps a running digest of eight bytes; the vector rises with the last page, and only
where that digest is the root.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec
from msgspec import Struct

from mesh.replication.digest import item_hash
from mesh.replication.items import Item

SNAPSHOT_PREFIX = (
    "snap:"  # before a root: an entry of a vector that counts items of that moment, in the order of keys
)
SNAPSHOTS_FEATURE = "snapshots"  # what a process says that takes them
SNAPSHOT_DIVISOR = (
    2  # a snapshot is told instead of news where more than one in so many of all items is lacking
)
MAX_OUTGOING_SNAPSHOTS = 3  # that a store keeps for others; the one longest unasked makes room
MAX_INCOMING_SNAPSHOTS = 4  # that a store takes at once


class Snapshot(Struct, frozen=True):
    """``items`` by key; ``vector``: what it may rise to who holds all of them; ``arrivals``: of its store
    then. Costs the references, and what was replaced since."""

    root: str
    items: tuple[Item, ...]
    vector: Mapping[str, int]
    arrivals: int

    def page(self, start: int, max_items: int, max_bytes: int) -> list[Item]:
        """From that place on, one item at least."""
        return limit_bytes(self.items[start : start + max_items], max_bytes)


def limit_bytes(items: Iterable[Item], max_bytes: int) -> list[Item]:
    """The first of these, one at least, that are so many bytes as JSON, about."""
    page: list[Item] = []
    for item in items:
        max_bytes -= len(msgspec.json.encode(item.value)) + len(item.name) + 60
        if page and max_bytes < 0:
            break
        page.append(item)
    return page


class OutgoingSnapshots:
    """The moments that a store keeps for those who take them."""

    def __init__(self) -> None:
        self._by_root: dict[str, Snapshot] = {}  # by root, the one longest unasked first

    def find(self, root: str) -> Snapshot | None:
        snapshot = self._by_root.pop(root, None)
        if snapshot is not None:
            self._by_root[root] = snapshot
        return snapshot

    def latest(self, arrivals: int, max_since: int) -> Snapshot | None:
        """The newest one, unless more than so many items have come to the store since: what a snapshot is
        short of comes as news after it."""
        newest = max(self._by_root.values(), key=lambda snapshot: snapshot.arrivals, default=None)
        if newest is None or arrivals - newest.arrivals > max_since:
            return None
        return self.find(newest.root)

    def add(self, snapshot: Snapshot) -> None:
        self._by_root[snapshot.root] = snapshot
        while len(self._by_root) > MAX_OUTGOING_SNAPSHOTS:
            del self._by_root[next(iter(self._by_root))]

    def roots(self) -> list[str]:
        return list(self._by_root)


class IncomingSnapshots:
    """The snapshots that a store is taking: by root, how many items it has, and their digest."""

    def __init__(self) -> None:
        self._progress: dict[str, tuple[int, int]] = {}

    def add_page(self, root: str, end: int, items: Iterable[Item]) -> int:
        """A page has come that ends at that place; the place from which on items are lacking. A page that was
        had before, or that does not follow, changes nothing."""
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
        """The last page has come. Whether all of them have that root; None where it does not follow."""
        page = list(items)
        start, digest = self._progress.get(root, (0, 0))
        if end - len(page) != start:
            return None
        self._progress.pop(root, None)
        return f"{_add_digests(digest, page):016x}" == root

    def has_begun(self, root: str) -> bool:
        return root in self._progress

    def clear(self) -> None:
        self._progress.clear()


def _add_digests(digest: int, items: Iterable[Item]) -> int:
    for item in items:
        digest ^= item_hash(item)
    return digest
