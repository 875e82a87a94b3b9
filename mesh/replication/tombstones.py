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
ENTRIES_PER_BUCKET = 32

BucketRow = tuple[int, dict[str, int]]  # watermark, and versions by key's digest


class CollectedTombstones:
    def __init__(self) -> None:
        self._rows: dict[str, BucketRow] = {}  # by bucket, two hex digits

    def version(self, key: Key) -> int:
        """The highest forgotten version of that key, as far as it is left; -1 where none is."""
        digest = key_digest(key)
        return self._rows.get(digest[:2], (-1, {}))[1].get(digest, -1)

    def watermark(self, key: Key) -> int:
        """Versions of that key up to this may have been dropped and forgotten; -1 where that cannot be."""
        return max(self.version(key), self._rows.get(key_digest(key)[:2], (-1, {}))[0])

    def add(self, key: Key, version: int) -> str:
        """That drop is forgotten; its bucket."""
        digest = key_digest(key)
        self._merge(digest[:2], -1, {digest: version})
        return digest[:2]

    def row(self, bucket: str) -> BucketRow:
        """All of one bucket."""
        return self._rows.get(bucket, (-1, {}))

    def rows(self) -> dict[str, BucketRow]:
        """All, by bucket."""
        return dict(self._rows)

    def merge(self, rows: Mapping[str, BucketRow]) -> list[str]:
        """What another holds, or a disk held; the buckets that changed. In any order, also doubled: two that
        have told each other hold the same."""
        return [
            bucket for bucket, (watermark, entries) in rows.items() if self._merge(bucket, watermark, entries)
        ]

    def root(self) -> str:
        """One digest of all, "" where nothing is held."""
        if not self._rows:
            return ""
        rows = {bucket: [watermark, entries] for bucket, (watermark, entries) in self._rows.items()}
        return blake2b(msgspec.json.encode(rows, order="deterministic"), digest_size=8).hexdigest()

    def _merge(self, bucket: str, watermark: int, entries: Mapping[str, int]) -> bool:
        before = self._rows.get(bucket, (-1, {}))
        watermark, known = max(watermark, before[0]), dict(before[1])
        for digest, version in entries.items():
            known[digest] = max(version, known.get(digest, -1))
        by_version = sorted((version, digest) for digest, version in known.items() if version > watermark)
        evicted, kept = by_version[:-ENTRIES_PER_BUCKET], by_version[-ENTRIES_PER_BUCKET:]
        if evicted:
            watermark = evicted[-1][0]
            kept = [one for one in kept if one[0] > watermark]
        after = (watermark, {digest: version for version, digest in kept})
        self._rows[bucket] = after
        return after != before


def key_digest(key: Key) -> str:
    """Of a key: 16 hex digits."""
    return blake2b(msgspec.json.encode(key), digest_size=8).hexdigest()


def read_rows(value: Any) -> dict[str, BucketRow]:
    """A peer's rows. Raises ValueError for what are none."""
    if not isinstance(value, dict) or len(value) > BUCKETS:
        raise ValueError(f"rows of up to {BUCKETS} buckets")
    found: dict[str, BucketRow] = {}
    for bucket, row in value.items():
        watermark, entries = _row(row)
        if len(bucket) != 2 or any(digest[:2] != bucket for digest in entries):
            raise ValueError(f"{bucket[:8]!r} is no bucket of its digests")
        found[bucket] = (watermark, entries)
    return found


def _row(value: Any) -> BucketRow:
    if not (isinstance(value, list | tuple) and len(value) == 2 and isinstance(value[0], int)):
        raise ValueError("a row is a watermark and versions by digest")
    entries: Iterable[tuple[Any, Any]] = value[1].items() if isinstance(value[1], dict) else [("", None)]
    versions = dict(entries)
    if len(versions) > ENTRIES_PER_BUCKET or any(
        not isinstance(version, int) for version in versions.values()
    ):
        raise ValueError(f"up to {ENTRIES_PER_BUCKET} versions by digest")
    return value[0], versions
