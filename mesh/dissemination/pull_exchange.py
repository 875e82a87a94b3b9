"""What two processes tell each other over a link: each asks with its vectors, and is answered when there is
something that it lacks. No I/O, no clock: frames in, frames out.

A question stands until it is answered, so that news travels at once and a quiet link carries nothing. A
question names only the entries that have changed since the last one on this link; whatever a peer stamped
itself it never lacks.

Where an asker lacks most of a store and says that it takes snapshots, the pages are those of one
(`replication.snapshot`).

A store that goes one way (``up``) is told only to a peer that says it takes it: what each sidecar says of
itself goes to the control processes and never to all other sidecars.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from mesh.replication.items import Item
from mesh.replication.snapshot import SNAPSHOTS_FEATURE
from mesh.replication.store import Store
from mesh.replication.store_answers import DigestMismatch, StoreFull
from mesh.transport.frames import Head

PAGE_ITEMS = 500  # items of one answer
ABOVE_ANY_NUMBER = 1 << 62  # more than any source can count to


def pack(item: Item) -> list[Any]:
    return [item.kind, item.name, item.version, item.value, item.source, item.number]


def unpack(fields: list[Any]) -> Item:
    """Raises ValueError for what is no item."""
    kind, name, version, value, source, number = fields
    if not (isinstance(kind, str) and isinstance(name, str) and isinstance(source, str)):
        raise ValueError("an item's kind, name and source are text")
    if not (isinstance(version, int) and isinstance(number, int)):
        raise ValueError("an item's version and number are whole numbers")
    if not (value is None or isinstance(value, dict)):
        raise ValueError("an item's value is an object, or null where it was dropped")
    return Item(kind, name, version, value, source, number)


class Exchange:
    """One end of a link. ``stores`` by the name that both ends give them; ``up``: those that go one way;
    ``takes``: those of them that this end wants."""

    def __init__(
        self, stores: Mapping[str, Store], one_way: Collection[str] = (), takes: Collection[str] = ()
    ) -> None:
        self._stores, self._one_way, self._takes = stores, one_way, takes
        self._peer, self._peer_takes = "", frozenset[str]()
        self._sent_vectors: dict[str, dict[str, int]] = {
            name: {} for name in stores
        }  # of our vectors, to the peer
        self._peer_vectors: dict[str, dict[str, int]] | None = (
            None  # the peer's vectors; None: it has not asked
        )
        self._pull_open = False  # its question has not been answered
        self.pull_complete = False  # we have had one whole answer
        self.store_error = ""  # why the last answer could not be taken whole

    def set_peer(self, peer: str, takes: Collection[str]) -> None:
        """The peer has said who it is (its source), and what it takes."""
        self._peer, self._peer_takes = peer, frozenset(takes)

    def peer_number(self, name: str, source: str) -> int:
        """The highest number of that source that the peer has said it holds; 0 before it says so."""
        return (self._peer_vectors or {}).get(name, {}).get(source, 0)

    def _vector_for_peer(self, name: str, store: Store) -> Mapping[str, int]:
        """What this end tells the peer of its vector. One that takes nothing of a store that goes one way
        holds there what it stamped itself, so only that is worth its bytes."""
        if name not in self._one_way or name in self._peer_takes:
            return store.vector
        return {self._peer: store.vector[self._peer]} if self._peer in store.vector else {}

    def pull_request(self) -> Head:
        """What this end asks, at the start and after every answer."""
        changed: dict[str, dict[str, int]] = {}
        for name, store in self._stores.items():
            if name in self._one_way and name not in self._takes:
                continue
            told, vector = self._sent_vectors[name], self._vector_for_peer(name, store)
            if told == vector:
                continue  # the usual case, and far cheaper to see so than entry by entry
            news = {source: number for source, number in vector.items() if told.get(source) != number}
            told.update(news)
            if len(told) > len(vector):
                for source in [source for source in told if source not in vector]:
                    del told[source]
                    news[source] = 0  # a paging that has ended, or an entry that no item bears any more
            if news:
                changed[name] = news
        return {"t": "pull", "v": changed}

    def renewed_pull(self) -> Head | None:
        """The open question once more where this end holds more by now, so that it is not told it again."""
        head = self.pull_request()
        return head if head["v"] else None

    def peer_lacks_updates(self, among: Collection[str] | None = None) -> bool:
        """Whether the peer has an open question, and lacks something that is here, as far as it has said.
        ``among``: only these stores are looked at."""
        if not self._pull_open or self._peer_vectors is None:
            return False
        return any(
            store.has_updates(self._peer_vectors[name])
            for name, store in self._stores.items()
            if (among is None or name in among) and (name not in self._one_way or name in self._peer_takes)
        )

    def record_pull(self, head: Head, peer_source: str) -> set[str]:
        """The peer's question has come. Gives the stores of which it may lack more than it did before: all
        at first, then those of which it has forgotten something. What it holds besides it lacks no more."""
        lower = set[str]()
        if self._peer_vectors is None:
            self._peer_vectors = {name: {peer_source: ABOVE_ANY_NUMBER} for name in self._stores}
            lower.update(self._stores)
        for name, vector in head["v"].items():
            if name in self._peer_vectors:
                known = self._peer_vectors[name]
                for source, number in vector.items():
                    if number:
                        known[source] = max(number, known.get(source, 0))
                    elif source != peer_source:
                        known.pop(source, None)
                        lower.add(name)
        self._pull_open = True
        return lower

    def answer(self, whole: bool, among: Collection[str] | None = None) -> Head | None:
        """The answer to an open question, if there is anything to say. ``whole``: this end holds all that was
        acknowledged, as far as can be known now. ``among``: only these stores are looked at, for the others
        had nothing that was lacked and have not changed since."""
        if not self._pull_open or self._peer_vectors is None:
            return None
        told: dict[str, Any] = {}
        more = False
        for name, store in self._stores.items():
            if among is not None and name not in among:
                continue
            if name in self._one_way and name not in self._peer_takes:
                continue
            asked = self._peer_vectors[name]
            if store.has_updates(asked):
                lack = store.delta_for(asked, PAGE_ITEMS, snapshots=SNAPSHOTS_FEATURE in self._peer_takes)
                told[name] = {"items": [pack(item) for item in lack.items], "v": lack.vector}
                more = more or lack.more
        if not told:
            return None
        return self._close_pull(told, more, whole)

    def empty_answer(self, whole: bool) -> Head:
        """An answer that says that nothing is lacked: how the first question of a link ends, and how
        ``whole`` is told where it has changed."""
        return self._close_pull({}, False, whole)

    def _close_pull(self, told: dict[str, Any], more: bool, whole: bool) -> Head:
        self._pull_open = False
        return {"t": "news", "n": told, "more": more, "whole": whole}

    def merge_answer(self, head: Head) -> dict[str, list[Item]]:
        """Takes an answer in; gives what has changed here, by store. Raises KeyError, TypeError or ValueError
        for what cannot be read, and nothing is taken then. A store that has no room says so in ``full``."""
        told = {
            name: ([unpack(item) for item in part["items"]], dict(part["v"]))
            for name, part in head["n"].items()
            if name in self._stores and (name not in self._one_way or name in self._takes)
        }
        changed: dict[str, list[Item]] = {}
        for name, (items, vector) in told.items():
            taken = self._stores[name].merge_answer(items, vector)
            if isinstance(taken, StoreFull | DigestMismatch):
                self.store_error = taken.reason
            else:
                changed[name] = taken
        if not head["more"] and not self.store_error:
            self.pull_complete = True
        return changed

    @property
    def pull_open(self) -> bool:
        return self._pull_open
