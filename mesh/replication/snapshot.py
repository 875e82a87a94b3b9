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

from mesh.replication.digest import hash_of
from mesh.replication.items import Item

SNAP = "snap:"  # before a root: an entry of a vector that counts items of that moment, in the order of keys
SNAPSHOTS = "snapshots"  # what a process says that takes them
PART = 2  # a snapshot is told instead of news where more than one in so many of all items is lacking
MOMENTS = 3  # that a store keeps for others; the one longest unasked makes room
TAKINGS = 4  # that a store takes at once


class Moment(Struct, frozen=True):
    """``items`` by key; ``vector``: what it may rise to who holds all of them; ``arrivals``: of its store
    then. Costs the references, and what was replaced since."""

    root: str
    items: tuple[Item, ...]
    vector: Mapping[str, int]
    arrivals: int

    def page(self, place: int, most: int, most_bytes: int) -> list[Item]:
        """From that place on, one item at least."""
        return cut(self.items[place : place + most], most_bytes)


def cut(items: Iterable[Item], most_bytes: int) -> list[Item]:
    """The first of these, one at least, that are so many bytes as JSON, about."""
    found: list[Item] = []
    for item in items:
        most_bytes -= len(msgspec.json.encode(item.value)) + len(item.name) + 60
        if found and most_bytes < 0:
            break
        found.append(item)
    return found


class Giving:
    """The moments that a store keeps for those who take them."""

    def __init__(self) -> None:
        self._held: dict[str, Moment] = {}  # by root, the one longest unasked first

    def find(self, root: str) -> Moment | None:
        moment = self._held.pop(root, None)
        if moment is not None:
            self._held[root] = moment
        return moment

    def latest(self, arrivals: int, most_since: int) -> Moment | None:
        """The newest one, unless more than so many items have come to the store since: what a snapshot is
        short of comes as news after it."""
        newest = max(self._held.values(), key=lambda moment: moment.arrivals, default=None)
        if newest is None or arrivals - newest.arrivals > most_since:
            return None
        return self.find(newest.root)

    def keep(self, moment: Moment) -> None:
        self._held[moment.root] = moment
        while len(self._held) > MOMENTS:
            del self._held[next(iter(self._held))]

    def roots(self) -> list[str]:
        return list(self._held)


class Taking:
    """The snapshots that a store is taking: by root, how many items it has, and their digest."""

    def __init__(self) -> None:
        self._taken: dict[str, tuple[int, int]] = {}

    def took(self, root: str, place: int, items: Iterable[Item]) -> int:
        """A page has come that ends at that place; the place from which on items are lacking. A page that was
        had before, or that does not follow, changes nothing."""
        told = list(items)
        begins, digest = self._taken.get(root, (0, 0))
        if place - len(told) != begins:
            return begins
        self._taken.pop(root, None)
        self._taken[root] = (place, _sum(digest, told))
        while len(self._taken) > TAKINGS:
            del self._taken[next(iter(self._taken))]
        return place

    def ends(self, root: str, place: int, items: Iterable[Item]) -> bool | None:
        """The last page has come. Whether all of them have that root; None where it does not follow."""
        told = list(items)
        begins, digest = self._taken.get(root, (0, 0))
        if place - len(told) != begins:
            return None
        self._taken.pop(root, None)
        return f"{_sum(digest, told):016x}" == root

    def begun(self, root: str) -> bool:
        return root in self._taken

    def clear(self) -> None:
        self._taken.clear()


def _sum(digest: int, items: Iterable[Item]) -> int:
    for item in items:
        digest ^= hash_of(item)
    return digest
