"""The pull exchange of two processes over a link: each sends its version vectors in a pull request, and the
other answers once it holds items that the requester lacks. No I/O, no clock: frames in, frames out.

A pull request stays open until it is answered, so that updates are sent at once and an idle link carries
nothing. A request names only the vector entries that have changed since the last one on this link; a peer
never lacks items of its own source.

Where a peer lacks most of a store and supports snapshots, the pages are those of a snapshot
(`replication.snapshot`).

A one-way store is sent only to a peer that subscribes to it: the reports of each sidecar go to the control
processes and never to all other sidecars.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from mesh.replication.items import Item
from mesh.replication.snapshot import SNAPSHOTS_FEATURE
from mesh.replication.store import Store
from mesh.replication.store_answers import DigestMismatch, StoreFull
from mesh.transport.frames import Head

PAGE_ITEMS = 500  # per answer
ABOVE_ANY_NUMBER = 1 << 62  # greater than any number that a source can reach


def pack(item: Item) -> list[Any]:
    """The fields of an item as they are sent."""
    return [item.kind, item.name, item.version, item.value, item.source, item.number]


def unpack(fields: list[Any]) -> Item:
    """The item of these fields. Raises ValueError for malformed ones."""
    kind, name, version, value, source, number = fields
    if not (isinstance(kind, str) and isinstance(name, str) and isinstance(source, str)):
        raise ValueError("an item's kind, name and source must be strings")
    if not (isinstance(version, int) and isinstance(number, int)):
        raise ValueError("an item's version and number must be integers")
    if not (value is None or isinstance(value, dict)):
        raise ValueError("an item's value must be an object, or null for a tombstone")
    return Item(kind, name, version, value, source, number)


class Exchange:
    """One end of a link. ``stores`` by the name that both ends use; ``one_way``: the one-way stores;
    ``takes``: those of them that this end subscribes to."""

    def __init__(
        self, stores: Mapping[str, Store], one_way: Collection[str] = (), takes: Collection[str] = ()
    ) -> None:
        self._stores, self._one_way, self._takes = stores, one_way, takes
        self._peer, self._peer_takes = "", frozenset[str]()
        self._sent_vectors: dict[str, dict[str, int]] = {name: {} for name in stores}  # by pull requests
        self._peer_vectors: dict[str, dict[str, int]] | None = None  # None: no pull request received yet
        self._pull_open = False  # the peer's pull request has not been answered
        self.pull_complete = False  # all pages of an answer have been received
        self.store_error = ""  # why a store rejected an answer

    def set_peer(self, peer: str, takes: Collection[str]) -> None:
        """Sets the peer's source, and the stores and features that it accepts, from its hello."""
        self._peer, self._peer_takes = peer, frozenset(takes)

    def peer_number(self, name: str, source: str) -> int:
        """The highest number of that source that the peer has reported to hold; 0 before it reports one."""
        return (self._peer_vectors or {}).get(name, {}).get(source, 0)

    def _vector_for_peer(self, name: str, store: Store) -> Mapping[str, int]:
        """The part of this end's vector that is sent to the peer. A peer that does not subscribe to a one-way
        store holds only items of its own source there, so only that entry is sent."""
        if name not in self._one_way or name in self._peer_takes:
            return store.vector
        return {self._peer: store.vector[self._peer]} if self._peer in store.vector else {}

    def pull_request(self) -> Head:
        """The pull request that is sent at the start and after every answer."""
        changed: dict[str, dict[str, int]] = {}
        for name, store in self._stores.items():
            if name in self._one_way and name not in self._takes:
                continue
            sent, vector = self._sent_vectors[name], self._vector_for_peer(name, store)
            if sent == vector:
                continue  # the usual case, and far cheaper than comparing entry by entry
            changes = {source: number for source, number in vector.items() if sent.get(source) != number}
            sent.update(changes)
            if len(sent) > len(vector):
                for source in [source for source in sent if source not in vector]:
                    del sent[source]
                    changes[source] = 0  # a finished snapshot paging, or a source without items
            if changes:
                changed[name] = changes
        return {"t": "pull", "v": changed}

    def renewed_pull(self) -> Head | None:
        """A renewed pull request where this end holds more by now, so that the peer does not resend it."""
        head = self.pull_request()
        return head if head["v"] else None

    def peer_lacks_updates(self, checked: Collection[str] | None = None) -> bool:
        """Whether the peer has an open pull request and lacks items of this end, by its reported vectors.
        ``checked``: limits the check to these stores."""
        if not self._pull_open or self._peer_vectors is None:
            return False
        return any(
            store.has_updates(self._peer_vectors[name])
            for name, store in self._stores.items()
            if (checked is None or name in checked)
            and (name not in self._one_way or name in self._peer_takes)
        )

    def record_pull(self, head: Head, peer_source: str) -> set[str]:
        """Records the peer's pull request. Returns the stores of which the peer may lack more than before:
        all at first, then those whose vector entries it has removed. Whatever else its vector covers, it no
        longer lacks."""
        regressed = set[str]()
        if self._peer_vectors is None:
            self._peer_vectors = {name: {peer_source: ABOVE_ANY_NUMBER} for name in self._stores}
            regressed.update(self._stores)
        for name, vector in head["v"].items():
            if name in self._peer_vectors:
                known = self._peer_vectors[name]
                for source, number in vector.items():
                    if number:
                        known[source] = max(number, known.get(source, 0))
                    elif source != peer_source:
                        known.pop(source, None)
                        regressed.add(name)
        self._pull_open = True
        return regressed

    def answer(self, complete: bool, checked: Collection[str] | None = None) -> Head | None:
        """The answer to an open pull request, or None if the peer lacks nothing. ``complete``: this end holds
        every acknowledged write, as far as it can know now. ``checked``: limits the check to these stores;
        the peer lacked nothing of the others, and they have not changed since."""
        if not self._pull_open or self._peer_vectors is None:
            return None
        parts: dict[str, Any] = {}
        more = False
        for name, store in self._stores.items():
            if checked is not None and name not in checked:
                continue
            if name in self._one_way and name not in self._peer_takes:
                continue
            peer_vector = self._peer_vectors[name]
            if store.has_updates(peer_vector):
                delta = store.delta_for(
                    peer_vector, PAGE_ITEMS, snapshots=SNAPSHOTS_FEATURE in self._peer_takes
                )
                parts[name] = {"items": [pack(item) for item in delta.items], "v": delta.vector}
                more = more or delta.more
        if not parts:
            return None
        return self._close_pull(parts, more, complete)

    def empty_answer(self, complete: bool) -> Head:
        """An answer without items: it closes the first pull request of a link, and reports a change of
        ``complete``."""
        return self._close_pull({}, False, complete)

    def _close_pull(self, parts: dict[str, Any], more: bool, complete: bool) -> Head:
        self._pull_open = False
        return {"t": "news", "n": parts, "more": more, "whole": complete}

    def merge_answer(self, head: Head) -> dict[str, list[Item]]:
        """Merges an answer into the stores; returns the changed items by store. Raises KeyError, TypeError or
        ValueError for a malformed answer, and merges nothing then. Sets ``store_error`` where a store rejects
        its part."""
        parts = {
            name: ([unpack(item) for item in part["items"]], dict(part["v"]))
            for name, part in head["n"].items()
            if name in self._stores and (name not in self._one_way or name in self._takes)
        }
        changed: dict[str, list[Item]] = {}
        for name, (items, vector) in parts.items():
            merged = self._stores[name].merge_answer(items, vector)
            if isinstance(merged, StoreFull | DigestMismatch):
                self.store_error = merged.reason
            else:
                changed[name] = merged
        if not head["more"] and not self.store_error:
            self.pull_complete = True
        return changed

    @property
    def pull_open(self) -> bool:
        """Whether the peer's pull request has not been answered."""
        return self._pull_open
