"""Stores of many hollow proxies in one process: the shipped ones, whose items and names are shared.

What each proxy holds, asks and answers is the shipped code's. Only the memory differs: one copy of an item
serves all proxies of the process, and no digests are kept, which only an operator's question wants.
"""

from __future__ import annotations

from collections.abc import Mapping
from sys import intern

from mesh.replication.digest import Digests
from mesh.replication.items import Item, Key
from mesh.replication.store import Store

MOST_SHARED = 500_000  # items; then the pool is begun anew


class Shared(Item, frozen=True):
    """One copy of an item, with its key made once."""

    key_made: Key = ("", "")

    @property
    def key(self) -> Key:
        return self.key_made


class Pool:
    def __init__(self) -> None:
        self._items: dict[tuple[str, int, str, str], Shared] = {}

    def shared(self, item: Item) -> Shared:
        if isinstance(item, Shared):
            return item
        at = (item.source, item.number, item.kind, item.name)
        known = self._items.get(at)
        if known is not None and known.version == item.version:
            return known
        if len(self._items) >= MOST_SHARED:
            self._items.clear()
        key = (item.kind, item.name)
        one = Shared(*key, item.version, item.value, intern(item.source), item.number, key)
        self._items[at] = one
        return one


class _None(Digests):
    def note(self, old: Item | None, new: Item | None) -> None:
        pass


class HollowStore(Store):
    def __init__(self, source: str, most: int, pool: Pool) -> None:
        super().__init__(source, most)
        self._pool = pool
        self.digests = _None()

    def _put(self, item: Item) -> bool:
        return super()._put(self._pool.shared(item))

    def _raise(self, vector: Mapping[str, int]) -> None:
        super()._raise({intern(source): number for source, number in vector.items()})
