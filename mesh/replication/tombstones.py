"""The record of collected tombstones, by which an older copy that returns is recognised as older. No I/O.

A tombstone may be collected once all members hold it on disk. A digest of its key and its version are kept,
ENTRIES_PER_BUCKET of them in each of BUCKETS buckets; beyond that the lowest version is evicted and raises
the watermark of the bucket. A copy of a recorded key is rejected by its entry. The watermark may be above
versions of keys that were never deleted, so it only says of a *write* for an otherwise unknown key that it
may be older than a deletion.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Any

import msgspec

from mesh.replication.items import Key

BUCKETS = 256
ENTRIES_PER_BUCKET = 32

BucketRow = tuple[int, dict[str, int]]  # watermark, and versions by key digest


class CollectedTombstones:
    """Versions of collected tombstones by key digest, in buckets with a watermark each."""

    def __init__(self) -> None:
        self._rows: dict[str, BucketRow] = {}  # by bucket, two hex digits

    def version(self, key: Key) -> int:
        """The highest recorded version of that key; -1 if none is."""
        digest = key_digest(key)
        return self._rows.get(digest[:2], (-1, {}))[1].get(digest, -1)

    def watermark(self, key: Key) -> int:
        """Versions of that key up to this may have been deleted and collected; -1 if none can have been."""
        return max(self.version(key), self._rows.get(key_digest(key)[:2], (-1, {}))[0])

    def add(self, key: Key, version: int) -> str:
        """Records a collected tombstone; returns its bucket."""
        digest = key_digest(key)
        self._merge(digest[:2], -1, {digest: version})
        return digest[:2]

    def row(self, bucket: str) -> BucketRow:
        """All of one bucket."""
        return self._rows.get(bucket, (-1, {}))

    def rows(self) -> dict[str, BucketRow]:
        """All rows by bucket."""
        return dict(self._rows)

    def merge(self, rows: Mapping[str, BucketRow]) -> list[str]:
        """Merges the rows of another process or of a disk; returns the buckets that changed. Commutative and
        idempotent: two processes that have exchanged rows hold the same."""
        return [
            bucket for bucket, (watermark, entries) in rows.items() if self._merge(bucket, watermark, entries)
        ]

    def root(self) -> str:
        """One digest of everything, "" if nothing is held."""
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
            kept = [entry for entry in kept if entry[0] > watermark]
        after = (watermark, {digest: version for version, digest in kept})
        self._rows[bucket] = after
        return after != before


def key_digest(key: Key) -> str:
    """The digest of a key: 16 hex digits."""
    return blake2b(msgspec.json.encode(key), digest_size=8).hexdigest()


def read_rows(value: Any) -> dict[str, BucketRow]:
    """Decodes a peer's rows. Raises ValueError for anything else."""
    if not isinstance(value, dict) or len(value) > BUCKETS:
        raise ValueError(f"expected rows of up to {BUCKETS} buckets")
    found: dict[str, BucketRow] = {}
    for bucket, row in value.items():
        watermark, entries = _row(row)
        if len(bucket) != 2 or any(digest[:2] != bucket for digest in entries):
            raise ValueError(f"{bucket[:8]!r} is not the bucket of its digests")
        found[bucket] = (watermark, entries)
    return found


def _row(value: Any) -> BucketRow:
    if not (isinstance(value, list | tuple) and len(value) == 2 and isinstance(value[0], int)):
        raise ValueError("a row must be a watermark and versions by digest")
    entries: Iterable[tuple[Any, Any]] = value[1].items() if isinstance(value[1], dict) else [("", None)]
    versions = dict(entries)
    if len(versions) > ENTRIES_PER_BUCKET or any(
        not isinstance(version, int) for version in versions.values()
    ):
        raise ValueError(f"expected up to {ENTRIES_PER_BUCKET} versions by digest")
    return value[0], versions
