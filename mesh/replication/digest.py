"""Digests over ranges of keys, by which two copies find their differences in three steps."""

from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from mesh.replication.items import Item, Key

DEPTH = 3  # hex digits of a leaf's prefix: 4,096 leaves
HEX = "0123456789abcdef"


class DigestTree:
    """A tree of fan-out 16 over the hashes of keys; a node's digest is the xor of its items' 64-bit hashes.

    With xor, one item changes in three steps without reading its neighbours. Stamps are excluded: copies that
    reached two stores on different paths are equal. A node without items is absent.
    """

    def __init__(self) -> None:
        self._sums: dict[str, int] = {}
        self._leaves: dict[str, set[Key]] = {}

    def update(self, old: Item | None, new: Item | None) -> None:
        """Replaces ``old`` (None: there was none) by ``new`` (None: removed) of the same key."""
        if old is not None:
            self._toggle(_leaf_prefix(old.key), item_hash(old))
        if new is not None:
            self._toggle(_leaf_prefix(new.key), item_hash(new))
            self._leaves.setdefault(_leaf_prefix(new.key), set()).add(new.key)
        elif old is not None:
            leaf = self._leaves[_leaf_prefix(old.key)]
            leaf.discard(old.key)
            if not leaf:
                del self._leaves[_leaf_prefix(old.key)]

    def children(self, prefix: str) -> dict[str, str]:
        """Digests (16 hex digits) of the up to 16 children of ``prefix`` ("" to 2 hex digits), by child
        prefix.

        Empty if nothing lies below, and for a prefix that is no inner node.
        """
        return {
            prefix + digit: f"{self._sums[prefix + digit]:016x}"
            for digit in HEX
            if prefix + digit in self._sums
        }

    def root(self) -> str:
        """One digest (16 hex digits) of the whole store; equal stores have equal digests."""
        total = 0
        for digest in self.children("").values():
            total ^= int(digest, 16)
        return f"{total:016x}"

    def keys(self, prefix: str) -> list[Key]:
        """The keys under a leaf's prefix (3 hex digits), sorted."""
        return sorted(self._leaves.get(prefix, ()))

    def _toggle(self, leaf: str, item_bits: int) -> None:
        for length in range(1, DEPTH + 1):
            node = leaf[:length]
            remaining = self._sums.get(node, 0) ^ item_bits
            if remaining:
                self._sums[node] = remaining
            else:
                del self._sums[node]


def differing_prefixes(mine: Mapping[str, str], theirs: Mapping[str, str]) -> list[str]:
    """The child prefixes, sorted, whose digests differ or that only one side has."""
    return sorted(child for child in mine.keys() | theirs.keys() if mine.get(child) != theirs.get(child))


def _leaf_prefix(key: Key) -> str:
    return blake2b(msgspec.json.encode(key), digest_size=2).hexdigest()[:DEPTH]


def item_hash(item: Item) -> int:
    """A 64-bit hash of an item without its stamp."""
    encoded = msgspec.json.encode([item.kind, item.name, item.version, item.value], order="deterministic")
    return int.from_bytes(blake2b(encoded, digest_size=8).digest())
