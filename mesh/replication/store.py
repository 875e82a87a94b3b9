"""One node's copy of the control state, and the computation of what a peer with a given vector lacks."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable, Iterator, Mapping, Sequence
from heapq import nsmallest
from operator import itemgetter
from typing import Any

from mesh.replication.digest import DigestTree
from mesh.replication.items import Item, Key, outranks
from mesh.replication.snapshot import (
    SNAPSHOT_DIVISOR,
    SNAPSHOT_PREFIX,
    IncomingSnapshots,
    OutgoingSnapshots,
    Snapshot,
    limit_bytes,
)
from mesh.replication.store_answers import Delta, DigestMismatch, StoreFull
from mesh.replication.tombstones import BucketRow, CollectedTombstones, key_digest

Write = tuple[str, str, int, Mapping[str, Any] | None]  # kind, name, version, value

MAX_UNREFERENCED_SOURCES = 64  # vector entries without items; each is sent with every request
MAX_PAGED_ANSWERS = 16  # paged answers in progress at once
PAGE_BYTES = 1 << 20  # approximate JSON size of one answer; a single larger item is sent alone
PAGE_PREFIX = "page:"  # marks a vector entry that counts the pages of a source's answer, see Store


class Store:
    """Items by key, and a version vector by source.

    Invariant P: for each source s and each n <= vector[s], the store holds an item of the key that was
    stamped (s, n), at the rank of that item or higher, except for collected tombstones. A peer that sends its
    vector thus needs only items stamped above it, and merging a complete answer may raise the vector. An item
    stamped above the vector (from a page or repair) is sent to peers, but not covered by the vector.

    Pages: an item that replaced a missing number may be stamped by any source. A page that raised the entries
    of sources would claim items of later pages, and if the sender were lost in between, they would never be
    requested again. Pages are instead cut by the order of arrival at the sender and carry one entry, "page:"
    and the sender's source: the receiver holds whatever the sender still holds of its first n arrivals. An
    item replaced meanwhile arrives again, after the page. Only the sender uses that entry, the last page
    removes it, and it is never forwarded.

    A peer that lacks most items and supports snapshots gets the pages of a snapshot instead
    (`replication.snapshot`): any holder of the same state can continue it, and its last page removes the
    entry.
    """

    def __init__(self, source: str, max_items: int, decided: bool = False) -> None:
        """``source`` names this incarnation of this process; writes fill the store up to ``max_items``,
        tombstones included. ``decided``: received items were agreed on, so one version has one content and a
        held item is never replaced by another of the same version.

        Raises ValueError for a source that is empty or looks like a page entry.
        """
        if not source or is_page_entry(source):
            raise ValueError(
                f"source {source!r}: empty, or begins with {PAGE_PREFIX!r} or {SNAPSHOT_PREFIX!r}"
            )

        self.source = source
        self.max_items, self._decided = max_items, decided
        self.items: dict[Key, Item] = {}
        self.vector: dict[str, int] = {}
        self.digests = DigestTree()
        # Tombstones that all members have held; empty where tombstones expire by time.
        self.collected_tombstones = CollectedTombstones()
        self._outgoing, self._incoming = OutgoingSnapshots(), IncomingSnapshots()
        self._stamped: dict[str, list[tuple[int, Key]]] = {}  # by source: its items by number
        self._arrived: dict[Key, int] = {}
        self._arrivals = 0
        self._unconfirmed: set[Key] = set()  # items that a peer has to send again
        self._unreferenced: dict[str, None] = {}  # sources in the vector without items, oldest first

    def write(
        self, kind: str, name: str, version: int, value: Mapping[str, Any] | None
    ) -> Item | StoreFull | None:
        """Applies a local write, stamped with this source; None if the held item is not outranked."""
        applied = self.write_all([(kind, name, version, value)])
        if isinstance(applied, StoreFull):
            return applied
        return applied[0] if applied else None

    def write_all(self, writes: Sequence[Write]) -> list[Item] | StoreFull:
        """Applies writes in order, all or (beyond the capacity) none; returns the items that were changed."""
        if (full := self._full({(kind, name) for kind, name, _, _ in writes}, self.max_items)) is not None:
            return full
        applied = []
        for write in writes:
            item = Item(*write, self.source, self.vector.get(self.source, 0) + 1)
            if self._put(item):
                self.vector[self.source] = item.number
                applied.append(item)
        return applied

    def merge(self, items: Iterable[Item], vector: Mapping[str, int]) -> list[Item] | StoreFull:
        """As `merge_answer`, for answers that are not snapshot pages."""
        changed = self.merge_answer(items, vector)
        assert not isinstance(changed, DigestMismatch)
        return changed

    def merge_answer(
        self, items: Iterable[Item], vector: Mapping[str, int]
    ) -> list[Item] | StoreFull | DigestMismatch:
        """Merges a peer's answer to this store's request, complete or one page; returns the changed items.

        Items from repair come with an empty vector. An item of equal content keeps its local stamp. Merging
        may fill the store to twice ``max_items``, because partitioned nodes each accept writes up to that;
        beyond it nothing of the answer is merged.
        """
        received = list(items)
        if (full := self._full({item.key for item in received}, 2 * self.max_items)) is not None:
            return full
        self._unconfirmed.difference_update(item.key for item in received)
        changed = {item.key: item for item in received if self._put(item)}
        for entry, position in vector.items():
            if entry.startswith(SNAPSHOT_PREFIX) and position:
                return self._merge_snapshot_page(entry, position, received, vector) or list(changed.values())
        self._raise_vector(vector)
        if any(source != self.source and not is_page_entry(source) for source in vector):
            self._end_snapshots()  # a complete answer contains everything that a snapshot has
        return list(changed.values())

    def _merge_snapshot_page(
        self, entry: str, position: int, page: Sequence[Item], vector: Mapping[str, int]
    ) -> DigestMismatch | None:
        """Handles a snapshot page; the last one has a negative position and further vector entries."""
        root = entry.removeprefix(SNAPSHOT_PREFIX)
        if position > 0:
            reached = self._incoming.add_page(root, position, page)
            if reached:
                self.vector[entry] = reached
            for old in [old for old in self.vector if old.startswith(SNAPSHOT_PREFIX)]:
                if not self._incoming.has_begun(old.removeprefix(SNAPSHOT_PREFIX)):
                    del self.vector[old]
            return None
        matches = self._incoming.finish(root, -position, page)
        if matches is None:
            return None
        self.vector.pop(entry, None)
        if not matches:
            return DigestMismatch(f"snapshot {root}: the received items have another digest")
        self._raise_vector({source: number for source, number in vector.items() if source != entry})
        self._end_snapshots()
        return None

    def _end_snapshots(self) -> None:
        for entry in [entry for entry in self.vector if entry.startswith(SNAPSHOT_PREFIX)]:
            del self.vector[entry]
        self._incoming.clear()

    def repair(self, items: Iterable[Item]) -> list[Item] | StoreFull:
        """Merges newer copies that repair found. What changed is stamped again by this store: the original
        stamp may lie within this vector already, so peers would never receive the item as an update."""
        changed = self.merge(items, {})
        return changed if isinstance(changed, StoreFull) else [self._restamp(item.key) for item in changed]

    def restamp_above_vector(self, source: str | None = None) -> list[Item]:
        """Stamps again, as this store's own, the items above its vector: of ``source``, or of any source.

        Such items came with a write or in a page, and the process that stamped them may be gone before it
        sent its vector, so no peer would receive them as updates. Content is unchanged; returns the items.
        """
        keys = []
        for stamped_by in [source] if source is not None else list(self._stamped):
            if stamped_by == self.source:
                continue
            stamped = self._stamped.get(stamped_by, [])
            above = stamped[bisect_right(stamped, self.vector.get(stamped_by, 0), key=itemgetter(0)) :]
            keys += [key for _, key in above]
        return [self._restamp(key) for key in keys]

    def contiguous_vector(self, source: str, first: int, count: int) -> dict[str, int]:
        """The vector to merge with ``count`` items that ``source`` stamped from ``first`` on; empty if they
        do not follow the entry held here. Without it a large batch would be sent again to its holders."""
        return {source: first + count - 1} if self.vector.get(source, 0) >= first - 1 else {}

    def clear_remote_items(self) -> list[Item]:
        """Removes all items that other sources stamped, so that they are requested again, and returns them as
        tombstones. For a process that was out of contact for longer than tombstones are kept."""
        gone = [item for item in self.items.values() if item.source != self.source]
        for item in gone:
            self._remove(item)
        self.vector = {self.source: self.vector[self.source]} if self.source in self.vector else {}
        self._unreferenced.clear()
        self._incoming.clear()
        return [Item(item.kind, item.name, item.version, None) for item in gone]

    def delta_for(
        self, vector: Mapping[str, int], max_items: int, max_bytes: int = PAGE_BYTES, snapshots: bool = False
    ) -> Delta:
        """What a peer with this vector lacks: at most ``max_items`` (>= 1) items and about ``max_bytes``, at
        least one item, then ``more`` is set. ``snapshots``: the peer supports them.

        merge_answer(delta.items, delta.vector) is correct for all answers, also late or duplicated. The cost
        grows with missing items and sources, not with the store, unless a snapshot is started.
        """
        if snapshots:
            for entry, position in vector.items():
                snapshot = (
                    self._find_snapshot(entry.removeprefix(SNAPSHOT_PREFIX))
                    if entry.startswith(SNAPSHOT_PREFIX)
                    else None
                )
                if snapshot is not None and 0 < position < len(snapshot.items):
                    return self._snapshot_page(snapshot, position, vector, max_items, max_bytes)
        page = PAGE_PREFIX + self.source
        after = vector.get(page, 0)
        missing = []
        for source, stamped in self._stamped.items():
            for _, key in stamped[bisect_right(stamped, vector.get(source, 0), key=itemgetter(0)) :]:
                if self._arrived[key] > after:
                    missing.append((self._arrived[key], key))
        if snapshots and len(missing) > max_items and SNAPSHOT_DIVISOR * len(missing) > len(self.items):
            snapshot = self._useful_snapshot([key for _, key in missing], max_items)
            if snapshot is not None:
                return self._snapshot_page(snapshot, 0, vector, max_items, max_bytes)
        first = nsmallest(max_items, missing)
        items = limit_bytes((self.items[key] for _, key in first), max_bytes)
        if len(missing) > len(items):
            return Delta(items, {page: first[len(items) - 1][0]}, True)
        advanced = {source: self.vector[source] for source in self._advanced_sources(vector)}
        return Delta(items, advanced | ({page: 0} if page in vector else {}), False)

    def _useful_snapshot(self, missing: Sequence[Key], max_items: int) -> Snapshot | None:
        """A snapshot after which the peer lacks at most ``max_items`` of these items, else None: a snapshot
        may hold items above its vector, which the peer would lack as before and be sent forever."""
        for snapshot in (self._outgoing.latest(self._arrivals, max_items), None):
            snapshot = snapshot or self._take_snapshot()
            vector = snapshot.vector
            items = (self.items[key] for key in missing)
            if sum(item.number > vector.get(item.source, 0) for item in items) <= max_items:
                return snapshot
        return None

    def _find_snapshot(self, root: str) -> Snapshot | None:
        """The snapshot with that root digest: one that is kept, or the current state."""
        return self._outgoing.find(root) or (self._take_snapshot() if root == self.digests.root() else None)

    def _take_snapshot(self) -> Snapshot:
        vector = {
            source: number
            for source, number in self.vector.items()
            if source == self.source or source in self._stamped
        }
        items = tuple(self.items[key] for key in sorted(self.items))
        snapshot = Snapshot(self.digests.root(), items, vector, self._arrivals)
        self._outgoing.add(snapshot)
        return snapshot

    def _snapshot_page(
        self, snapshot: Snapshot, position: int, vector: Mapping[str, int], max_items: int, max_bytes: int
    ) -> Delta:
        items, entry = snapshot.page(position, max_items, max_bytes), SNAPSHOT_PREFIX + snapshot.root
        position += len(items)
        if position < len(snapshot.items):
            return Delta(items, {entry: position}, True)
        advanced = {
            source: number for source, number in snapshot.vector.items() if number > vector.get(source, 0)
        }
        # Later arrivals are requested next.
        return Delta(items, {entry: -position, **advanced}, self.has_updates({**vector, **advanced}))

    def replaces(self, item: Item, held: Item) -> bool:
        """Whether ``item`` replaces ``held`` of the same key."""
        return item.version > held.version if self._decided else outranks(item, held)

    def has_updates(self, vector: Mapping[str, int]) -> bool:
        """Whether an answer would raise this vector; costs the number of sources.

        Items above this store's own vector are included in any answer but are not updates: the peer's vector
        would not rise by them and they would be sent forever. They spread with the next answer or by repair.
        """
        return next(self._advanced_sources(vector), None) is not None

    def remove_tombstone(self, key: Key) -> None:
        """Removes an expired tombstone: no store that may return holds an older copy of the item.

        Nothing happens if the key is absent or set again. Vector entries of sources without items are kept up
        to MAX_UNREFERENCED_SOURCES, the oldest are removed first: if an entry were removed at once, peers
        that still hold the tombstone would send it back.
        """
        held = self.items.get(key)
        if held is None or held.value is not None:
            return
        self._remove(held)

    def collect_tombstones(self, drops: Iterable[tuple[Key, int]]) -> tuple[list[str], list[Key]]:
        """As `merge_collected`, for these keys and versions."""
        buckets, stale = set(), []
        for key, version in drops:
            buckets.add(self.collected_tombstones.add(key, version))
            held = self.items.get(key)
            if held is not None and held.version <= version:
                self._remove(held)
                stale.append(key)
        return sorted(buckets), stale

    def mark_unconfirmed(self) -> None:
        """Requests all items stamped by others again and keeps them until `remove_unconfirmed`. For a process
        that was out of contact for so long that deletions it never received may have been collected."""
        self._unconfirmed = {key for key, item in self.items.items() if item.source != self.source}
        self.vector = {self.source: self.vector[self.source]} if self.source in self.vector else {}
        self._unreferenced.clear()
        self._incoming.clear()

    def remove_unconfirmed(self) -> list[Item]:
        """After a complete answer, removes the items that no peer sent again; returns them as tombstones."""
        unconfirmed, self._unconfirmed = sorted(self._unconfirmed), set()
        gone = [self.items[key] for key in unconfirmed if key in self.items]
        for item in gone:
            self._remove(item)
        return [Item(item.kind, item.name, item.version, None) for item in gone]

    def merge_collected(self, rows: Mapping[str, BucketRow]) -> tuple[list[str], list[Key]]:
        """Merges collected tombstones (`CollectedTombstones`); returns the buckets that changed, and the keys
        of the tombstones and older copies that were removed here."""
        buckets = self.collected_tombstones.merge(rows)
        changed = set(buckets)
        stale = []
        for item in self.items.values():
            if key_digest(item.key)[:2] in changed and item.version <= self.collected_tombstones.version(
                item.key
            ):
                stale.append(item)
        for item in stale:
            self._remove(item)
        return buckets, [item.key for item in stale]

    def reset(self, source: str) -> list[Key]:
        """Removes all items, its own too, and the collected tombstones; returns the removed keys. For a
        process whose copy is no longer valid.

        It continues as ``source``, a name never used before: it lacks its earlier items as well, and under
        the old name its vector would have to claim them, or its peers would assume that it holds them.
        """
        gone = list(self.items.values())
        for item in gone:
            self._remove(item)
        self.source, self.vector = source, {}
        self._unreferenced.clear()
        self._incoming.clear()
        self.collected_tombstones = CollectedTombstones()
        return [item.key for item in gone]

    def restore(self, items: Iterable[Item], vector: Mapping[str, int]) -> None:
        """Loads items and vector that an earlier incarnation kept on disk at one moment; stamps are kept.

        No capacity check: acknowledged items are kept, and a lowered ``max_items`` refuses only new writes.
        Paged answers in progress start again.
        """
        for item in items:
            self._put(item)
        self._raise_vector({source: number for source, number in vector.items() if not is_page_entry(source)})

    def _full(self, keys: set[Key], limit: int) -> StoreFull | None:
        count = len(self.items) + sum(key not in self.items for key in keys)
        if count <= limit or count == len(self.items):  # held items may change at the bound
            return None
        return StoreFull(
            f"state: {count} items with these, at most {limit}: drop some and wait till they are forgotten"
        )

    def _remove(self, held: Item) -> None:
        del self.items[held.key]
        del self._arrived[held.key]
        self.digests.update(held, None)
        self._unstamp(held)

    def _put(self, item: Item) -> bool:
        held = self.items.get(item.key)
        if held is not None and not self.replaces(item, held):
            return False
        if held is None and item.version <= self.collected_tombstones.version(item.key):
            return False
        self.items[item.key] = item
        self._arrivals += 1
        self._arrived[item.key] = self._arrivals
        self.digests.update(held, item)
        insort(self._stamped.setdefault(item.source, []), (item.number, item.key))
        self._unreferenced.pop(item.source, None)
        if held is not None:
            self._unstamp(held)
        return True

    def _restamp(self, key: Key) -> Item:
        held = self.items[key]
        number = self.vector.get(self.source, 0) + 1
        item = Item(held.kind, held.name, held.version, held.value, self.source, number)
        self.items[key] = item
        self._arrivals += 1
        self._arrived[key] = self._arrivals
        self.vector[self.source] = number
        insort(self._stamped.setdefault(self.source, []), (number, key))
        self._unstamp(held)
        return item

    def _unstamp(self, item: Item) -> None:
        stamped = self._stamped[item.source]
        del stamped[bisect_left(stamped, (item.number, item.key))]
        if not stamped:
            del self._stamped[item.source]
            self._note_unreferenced(item.source)

    def _raise_vector(self, vector: Mapping[str, int]) -> None:
        for source, number in vector.items():
            if source.startswith(PAGE_PREFIX):
                self._set_page_entry(source, number)
            elif source.startswith(SNAPSHOT_PREFIX):
                continue
            elif number > self.vector.get(source, 0):
                self.vector[source] = number
                if source not in self._stamped:
                    self._note_unreferenced(source)

    def _set_page_entry(self, entry: str, number: int) -> None:
        held = self.vector.pop(entry, 0)
        if number == 0:
            return
        self.vector[entry] = max(held, number)  # at the end, as the latest in use
        page_entries = [entry for entry in self.vector if entry.startswith(PAGE_PREFIX)]
        for oldest in page_entries[:-MAX_PAGED_ANSWERS]:
            del self.vector[oldest]

    def _note_unreferenced(self, source: str) -> None:
        if source == self.source or source not in self.vector:
            return
        self._unreferenced[source] = None
        while len(self._unreferenced) > MAX_UNREFERENCED_SOURCES:
            oldest = next(iter(self._unreferenced))
            del self._unreferenced[oldest]
            del self.vector[oldest]

    def _advanced_sources(self, vector: Mapping[str, int]) -> Iterator[str]:
        """Sources whose entries here exceed those of ``vector`` and are worth sending.

        An entry without items is sent only to peers that know the source, and by the source itself, which may
        wait for it to be confirmed; otherwise entries of ended sources would circulate forever.
        """
        for source, number in self.vector.items():
            if number > vector.get(source, 0) and not is_page_entry(source):
                if source == self.source or source in self._stamped or source in vector:
                    yield source


def is_page_entry(entry: str) -> bool:
    """Whether that entry of a vector counts pages, of a paged answer or of a snapshot."""
    return entry.startswith((PAGE_PREFIX, SNAPSHOT_PREFIX))
