"""What is left of drops that are forgotten: so much that an older copy which comes back is known to be older.
No I/O.

A drop may be forgotten once all who count hold it on disk. What is left of it is a digest of its key and its
version, LEFT of them in each of BUCKETS buckets; beyond that the lowest version leaves, and raises the
bucket's watermark. A copy of the digests' own keys is refused by what is left; the watermark, which may be
above versions of keys that were never dropped, tells only of an *order* for a key that nothing is known of
that it may be older than a drop.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Any

import msgspec

from mesh.replication.items import Key

BUCKETS = 256
LEFT = 32

Row = tuple[int, dict[str, int]]  # watermark, and versions by key's digest


class Forgotten:
    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}  # by bucket, two hex digits

    def version(self, key: Key) -> int:
        """The highest forgotten version of that key, as far as it is left; -1 where none is."""
        digest = digest_of(key)
        return self._rows.get(digest[:2], (-1, {}))[1].get(digest, -1)

    def watermark(self, key: Key) -> int:
        """Versions of that key up to this may have been dropped and forgotten; -1 where that cannot be."""
        return max(self.version(key), self._rows.get(digest_of(key)[:2], (-1, {}))[0])

    def note(self, key: Key, version: int) -> str:
        """That drop is forgotten; its bucket."""
        digest = digest_of(key)
        self._merge(digest[:2], -1, {digest: version})
        return digest[:2]

    def row(self, bucket: str) -> Row:
        """All of one bucket."""
        return self._rows.get(bucket, (-1, {}))

    def rows(self) -> dict[str, Row]:
        """All, by bucket."""
        return dict(self._rows)

    def merge(self, rows: Mapping[str, Row]) -> list[str]:
        """What another holds, or a disk held; the buckets that changed. In any order, also doubled: two that
        have told each other hold the same."""
        return [bucket for bucket, (low, left) in rows.items() if self._merge(bucket, low, left)]

    def root(self) -> str:
        """One digest of all, "" where nothing is held."""
        if not self._rows:
            return ""
        told = {bucket: [low, left] for bucket, (low, left) in self._rows.items()}
        return blake2b(msgspec.json.encode(told, order="deterministic"), digest_size=8).hexdigest()

    def _merge(self, bucket: str, low: int, left: Mapping[str, int]) -> bool:
        before = self._rows.get(bucket, (-1, {}))
        low, known = max(low, before[0]), dict(before[1])
        for digest, version in left.items():
            known[digest] = max(version, known.get(digest, -1))
        by_version = sorted((version, digest) for digest, version in known.items() if version > low)
        gone, kept = by_version[:-LEFT], by_version[-LEFT:]
        if gone:
            low = gone[-1][0]
            kept = [one for one in kept if one[0] > low]
        after = (low, {digest: version for version, digest in kept})
        self._rows[bucket] = after
        return after != before


def digest_of(key: Key) -> str:
    """Of a key: 16 hex digits."""
    return blake2b(msgspec.json.encode(key), digest_size=8).hexdigest()


def read_rows(told: Any) -> dict[str, Row]:
    """A peer's rows. Raises ValueError for what are none."""
    if not isinstance(told, dict) or len(told) > BUCKETS:
        raise ValueError(f"rows of up to {BUCKETS} buckets")
    found: dict[str, Row] = {}
    for bucket, row in told.items():
        low, left = _row(row)
        if len(bucket) != 2 or any(digest[:2] != bucket for digest in left):
            raise ValueError(f"{bucket[:8]!r} is no bucket of its digests")
        found[bucket] = (low, left)
    return found


def _row(told: Any) -> Row:
    if not (isinstance(told, list | tuple) and len(told) == 2 and isinstance(told[0], int)):
        raise ValueError("a row is a watermark and versions by digest")
    left: Iterable[tuple[Any, Any]] = told[1].items() if isinstance(told[1], dict) else [("", None)]
    found = dict(left)
    if len(found) > LEFT or any(not isinstance(version, int) for version in found.values()):
        raise ValueError(f"up to {LEFT} versions by digest")
    return told[0], found
