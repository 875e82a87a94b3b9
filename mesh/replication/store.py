"""One node's copy of the control state: the items it holds, and what a peer with some vector lacks."""

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

MAX_UNREFERENCED_SOURCES = (
    64  # entries of the vector that no item bears; each costs its bytes in every question
)
MAX_PAGED_ANSWERS = 16  # answers that may be under way in pages at once
PAGE_BYTES = 1 << 20  # of one answer as JSON, about; a single item may have more
PAGE_PREFIX = "page:"  # before a source's name: an entry that counts pages of that source's answer, see Store


class Store:
    """Items by key, and a vector by source.

    Invariant P: for each source s and each n <= vector[s], the store holds an item of the key that was
    stamped (s, n), at that item's rank or higher; tombstones that were forgotten excepted. So a peer that
    asks with its vector needs only the items whose stamps lie above it, and merging a whole answer raises the
    vector safely. An item may bear a stamp above the vector (it came in a page, or by repair): it is
    answered, not claimed.

    Pages. A number that no item bears was replaced by an item whose stamp may lie anywhere, of the same
    source or another. A page that raised entries of sources would thus claim what comes only in later pages;
    if its sender were lost in between, the asker would never ask anyone for it again. So a page is cut by the
    order in which the items came to its sender, and bears a single entry, "page:" and the sender's source:
    the asker holds whatever the sender still holds of its first n arrivals. An item replaced meanwhile
    arrives anew, past the page. Only the sender heeds that entry, the last page ends it, and nobody passes it
    on.

    Where a peer lacks most of what is held, and takes them, the pages are those of a snapshot instead
    (`replication.snapshot`): its entry is heeded by whoever holds the same, and ends with the last page too.
    """

    def __init__(self, source: str, max_items: int, decided: bool = False) -> None:
        """``source`` names this life of this process; writes fill up to ``most`` items, with tombstones.
        ``decided``: what comes has been agreed on, so of one version there is one content, and one that is
        held is never turned over for another.

        Raises ValueError for a source that is empty or looks like a page's entry.
        """
        if not source or is_page_entry(source):
            raise ValueError(
                f"source {source!r}: the name must not begin with {PAGE_PREFIX!r} or {SNAPSHOT_PREFIX!r}"
            )
        self.source = source
        self.max_items, self._decided = max_items, decided
        self.items: dict[Key, Item] = {}
        self.vector: dict[str, int] = {}
        self.digests = DigestTree()
        self.collected_tombstones = (
            CollectedTombstones()
        )  # of drops that all who count have held; empty where drops go by time
        self._outgoing, self._incoming = OutgoingSnapshots(), IncomingSnapshots()
        self._stamped: dict[str, list[tuple[int, Key]]] = {}  # by source: its items by number
        self._arrived: dict[Key, int] = {}
        self._arrivals = 0
        self._unconfirmed: set[Key] = set()  # what is to be told anew
        self._unreferenced: dict[str, None] = {}  # sources in the vector that no item bears, oldest first

    def write(
        self, kind: str, name: str, version: int, value: Mapping[str, Any] | None
    ) -> Item | StoreFull | None:
        """A write at this node, stamped with its source; None where the held item is not outranked."""
        taken = self.write_all([(kind, name, version, value)])
        if isinstance(taken, StoreFull):
            return taken
        return taken[0] if taken else None

    def write_all(self, writes: Sequence[Write]) -> list[Item] | StoreFull:
        """Writes in their order, all or (past the bound) none; the items that changed something."""
        if (
            full := self._check_capacity({(kind, name) for kind, name, _, _ in writes}, self.max_items)
        ) is not None:
            return full
        taken = []
        for write in writes:
            item = Item(*write, self.source, self.vector.get(self.source, 0) + 1)
            if self._put(item):
                self.vector[self.source] = item.number
                taken.append(item)
        return taken

    def merge(self, items: Iterable[Item], vector: Mapping[str, int]) -> list[Item] | StoreFull:
        """As `hear`, for what is no page of a snapshot."""
        changed = self.merge_answer(items, vector)
        assert not isinstance(changed, DigestMismatch)
        return changed

    def merge_answer(
        self, items: Iterable[Item], vector: Mapping[str, int]
    ) -> list[Item] | StoreFull | DigestMismatch:
        """A peer's answer, whole or a page, to a question that this store asked; the items that changed it.

        Items from elsewhere (repair) come with an empty vector. An item of equal content keeps the stamp it
        has here. Merges may fill the store to twice ``most``, since nodes apart from each other take writes
        up to ``most`` each; past that nothing of the answer is merged.
        """
        told = list(items)
        if (full := self._check_capacity({item.key for item in told}, 2 * self.max_items)) is not None:
            return full
        self._unconfirmed.difference_update(item.key for item in told)
        changed = {item.key: item for item in told if self._put(item)}
        for entry, place in vector.items():
            if entry.startswith(SNAPSHOT_PREFIX) and place:
                return self._merge_snapshot_page(entry, place, told, vector) or list(changed.values())
        self._raise_vector(vector)
        if any(source != self.source and not is_page_entry(source) for source in vector):
            self._end_snapshots()  # a whole answer: nothing is lacking that a snapshot has
        return list(changed.values())

    def _merge_snapshot_page(
        self, entry: str, place: int, told: Sequence[Item], vector: Mapping[str, int]
    ) -> DigestMismatch | None:
        """A page of one has come; the last one (its place is told below 0) has more in its vector."""
        root = entry.removeprefix(SNAPSHOT_PREFIX)
        if place > 0:
            reached = self._incoming.add_page(root, place, told)
            if reached:
                self.vector[entry] = reached
            for old in [old for old in self.vector if old.startswith(SNAPSHOT_PREFIX)]:
                if not self._incoming.has_begun(old.removeprefix(SNAPSHOT_PREFIX)):
                    del self.vector[old]
            return None
        ends = self._incoming.finish(root, -place, told)
        if ends is None:
            return None
        self.vector.pop(entry, None)
        if not ends:
            return DigestMismatch(f"snapshot {root}: what came has another digest")
        self._raise_vector({source: number for source, number in vector.items() if source != entry})
        self._end_snapshots()
        return None

    def _end_snapshots(self) -> None:
        for entry in [entry for entry in self.vector if entry.startswith(SNAPSHOT_PREFIX)]:
            del self.vector[entry]
        self._incoming.clear()

    def repair(self, items: Iterable[Item]) -> list[Item] | StoreFull:
        """Merges copies that repair found to be newer elsewhere. What changed by them is stamped anew, as
        this store's own: its stamp may be within this vector already, and it would be news to nobody."""
        changed = self.merge(items, {})
        return changed if isinstance(changed, StoreFull) else [self._restamp(item.key) for item in changed]

    def restamp_above_vector(self, source: str | None = None) -> list[Item]:
        """Stamps anew, as this store's own, what it holds above its vector: of that source, or of any.

        Such items came by a write's own way or in a page, and whoever stamped them may be gone before its
        vector was told: unclaimed they would be news to nobody. Content is unchanged; the items as they are.
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
        """The vector that may be raised with ``count`` items which that source stamped from ``first`` on:
        they follow what this store claims of it already, or nothing may be claimed by them.

        Without this who holds a large order would be told all of it once more, for its vector's sake."""
        return {source: first + count - 1} if self.vector.get(source, 0) >= first - 1 else {}

    def clear_remote_items(self) -> list[Item]:
        """Forgets all that others stamped, so that it is asked for anew; what has gone, as tombstones. For a
        process that was out of touch for so long that tombstones it never heard of may be forgotten."""
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
        """What a peer with this vector lacks: at most ``most`` (>= 1) items and so many bytes, one item at
        least, then ``more``. ``snapshots``: it takes them.

        hear(lack.items, lack.vector) is right for pages and whole answers alike, also late or doubled. The
        cost is that of all that is lacking and of the sources, not of the store, but where a snapshot is
        begun.
        """
        if snapshots:
            for entry, place in vector.items():
                moment = (
                    self._find_snapshot(entry.removeprefix(SNAPSHOT_PREFIX))
                    if entry.startswith(SNAPSHOT_PREFIX)
                    else None
                )
                if moment is not None and 0 < place < len(moment.items):
                    return self._snapshot_page(moment, place, vector, max_items, max_bytes)
        page = PAGE_PREFIX + self.source
        after = vector.get(page, 0)
        found = []
        for source, stamped in self._stamped.items():
            for _, key in stamped[bisect_right(stamped, vector.get(source, 0), key=itemgetter(0)) :]:
                if self._arrived[key] > after:
                    found.append((self._arrived[key], key))
        if snapshots and len(found) > max_items and SNAPSHOT_DIVISOR * len(found) > len(self.items):
            moment = self._useful_snapshot([key for _, key in found], max_items)
            if moment is not None:
                return self._snapshot_page(moment, 0, vector, max_items, max_bytes)
        first = nsmallest(max_items, found)
        items = limit_bytes((self.items[key] for _, key in first), max_bytes)
        if len(found) > len(items):
            return Delta(items, {page: first[len(items) - 1][0]}, True)
        risen = {source: self.vector[source] for source in self._advanced_sources(vector)}
        return Delta(items, risen | ({page: 0} if page in vector else {}), False)

    def _useful_snapshot(self, lacked: Sequence[Key], most: int) -> Snapshot | None:
        """A moment after which its taker lacks no more than ``most`` of these. A moment holds items above
        its vector, too: whoever took it would lack them as before, and be told it again for ever."""
        for moment in (self._outgoing.latest(self._arrivals, most), None):
            moment = moment or self._take_snapshot()
            vector = moment.vector
            items = (self.items[key] for key in lacked)
            if sum(item.number > vector.get(item.source, 0) for item in items) <= most:
                return moment
        return None

    def _find_snapshot(self, root: str) -> Snapshot | None:
        """A moment with that root: one that is kept, or now."""
        return self._outgoing.find(root) or (self._take_snapshot() if root == self.digests.root() else None)

    def _take_snapshot(self) -> Snapshot:
        vector = {
            source: number
            for source, number in self.vector.items()
            if source == self.source or source in self._stamped
        }
        items = tuple(self.items[key] for key in sorted(self.items))
        moment = Snapshot(self.digests.root(), items, vector, self._arrivals)
        self._outgoing.add(moment)
        return moment

    def _snapshot_page(
        self, moment: Snapshot, place: int, vector: Mapping[str, int], most: int, most_bytes: int
    ) -> Delta:
        items, entry = moment.page(place, most, most_bytes), SNAPSHOT_PREFIX + moment.root
        place += len(items)
        if place < len(moment.items):
            return Delta(items, {entry: place}, True)
        risen = {source: number for source, number in moment.vector.items() if number > vector.get(source, 0)}
        # What came since is asked for next.
        return Delta(items, {entry: -place, **risen}, self.has_updates({**vector, **risen}))

    def replaces(self, item: Item, held: Item) -> bool:
        """Whether the one takes the place of the other, of the same key."""
        return item.version > held.version if self._decided else outranks(item, held)

    def has_updates(self, vector: Mapping[str, int]) -> bool:
        """Whether an answer to this vector would raise it, by the cost of the sources.

        Items above this store's own vector go out with any answer but are no news: the asker's vector would
        not rise by them and it would be sent them for ever. Alone, they spread with the next answer or by
        repair.
        """
        return next(self._advanced_sources(vector), None) is not None

    def remove_tombstone(self, key: Key) -> None:
        """Drops a tombstone whose time is over: no store that may come back holds an older copy of it.

        Nothing happens where the key is absent or has been set again. Entries of sources that no item bears
        any more stay in the vector up to SPARE_SOURCES of them, the oldest leave first: an entry that left at
        once would let peers that have not yet forgotten bring the tombstone back.
        """
        held = self.items.get(key)
        if held is None or held.value is not None:
            return
        self._remove(held)

    def collect_tombstones(self, drops: Iterable[tuple[Key, int]]) -> tuple[list[str], list[Key]]:
        """As `forget_all`, of these keys and versions."""
        buckets, stale = set(), []
        for key, version in drops:
            buckets.add(self.collected_tombstones.add(key, version))
            held = self.items.get(key)
            if held is not None and held.version <= version:
                self._remove(held)
                stale.append(key)
        return sorted(buckets), stale

    def mark_unconfirmed(self) -> None:
        """What others stamped is to be told anew, and stands until `settle`. For a process that was out of
        touch for so long that drops it never heard of may be forgotten."""
        self._unconfirmed = {key for key, item in self.items.items() if item.source != self.source}
        self.vector = {self.source: self.vector[self.source]} if self.source in self.vector else {}
        self._unreferenced.clear()
        self._incoming.clear()

    def remove_unconfirmed(self) -> list[Item]:
        """A whole answer has come since: what nobody told anew is gone with this, and given as drops."""
        doubted, self._unconfirmed = sorted(self._unconfirmed), set()
        gone = [self.items[key] for key in doubted if key in self.items]
        for item in gone:
            self._remove(item)
        return [Item(item.kind, item.name, item.version, None) for item in gone]

    def merge_collected(self, rows: Mapping[str, BucketRow]) -> tuple[list[str], list[Key]]:
        """Drops that are forgotten (`forgotten.Forgotten`): the buckets that changed, and the keys of what
        was held of them here, or of older copies, and is gone with this."""
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
        """Forgets all that it holds, this store's own too, and its record of drops; the keys that are gone.
        For a process that is told that its copy counts for nothing.

        It goes on as ``source``, never used before: what it stamped until now it lacks like all else, and
        under the old name its vector would have to claim it, or its peers would take it for held."""
        gone = list(self.items.values())
        for item in gone:
            self._remove(item)
        self.source, self.vector = source, {}
        self._unreferenced.clear()
        self._incoming.clear()
        self.collected_tombstones = CollectedTombstones()
        return [item.key for item in gone]

    def restore(self, items: Iterable[Item], vector: Mapping[str, int]) -> None:
        """What an earlier life of this process kept on disk, items and vector of one moment; stamps are kept.

        No bound: what was acknowledged is held, and a lowered ``most`` refuses but new writes. Pages under
        way are begun anew.
        """
        for item in items:
            self._put(item)
        self._raise_vector({source: number for source, number in vector.items() if not is_page_entry(source)})

    def _check_capacity(self, keys: set[Key], most: int) -> StoreFull | None:
        count = len(self.items) + sum(key not in self.items for key in keys)
        if count <= most or count == len(self.items):  # what is held may change at the bound, too
            return None
        return StoreFull(
            f"state: {count} items with these, at most {most}: drop some and wait till they are forgotten"
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
        pagings = [entry for entry in self.vector if entry.startswith(PAGE_PREFIX)]
        for oldest in pagings[:-MAX_PAGED_ANSWERS]:
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
        """Sources whose entries here exceed ``vector``'s and are worth telling.

        An entry that no item bears is told only to those who know the source, and by the source itself, who
        may wait for it to be confirmed: otherwise sources long dead would go round for ever.
        """
        for source, number in self.vector.items():
            if number > vector.get(source, 0) and not is_page_entry(source):
                if source == self.source or source in self._stamped or source in vector:
                    yield source


def is_page_entry(entry: str) -> bool:
    """Whether that entry of a vector counts pages, of whatever kind."""
    return entry.startswith((PAGE_PREFIX, SNAPSHOT_PREFIX))
