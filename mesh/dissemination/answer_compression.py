"""Compression of long answers of the pull exchange. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import Any

import msgspec

COMPRESS_FROM_ITEMS = 24  # an answer with as many items is compressed; routes resemble each other
COMPRESSION_LEVEL = 1  # of zlib: the fastest
MAX_DECOMPRESSED_BYTES = 32 * 1024 * 1024  # of one answer
COMPRESSED_CACHE_SIZE = 4  # most recent answers; many peers lack the same items

Parts = Mapping[str, Any]  # of an answer, by store: its items and vector


class AnswerCompressor:
    """Compresses the parts of answers, and keeps the latest results for further peers."""

    def __init__(self) -> None:
        """Keeps nothing yet."""
        self._compressed: dict[tuple[object, ...], bytes] = {}

    def compress(self, parts: Parts) -> bytes | None:
        """The compressed parts; None for a short answer, which is sent as it is."""
        if sum(len(part["items"]) for part in parts.values()) < COMPRESS_FROM_ITEMS:
            return None
        key = _stamps(parts)
        packed = self._compressed.pop(key, None)
        if packed is None:
            packed = zlib.compress(msgspec.json.encode(parts), COMPRESSION_LEVEL)
        self._compressed[key] = packed
        while len(self._compressed) > COMPRESSED_CACHE_SIZE:
            del self._compressed[next(iter(self._compressed))]
        return packed


def _stamps(parts: Parts) -> tuple[object, ...]:
    """The stamps of the items and the vectors, which identify an answer."""
    return tuple(
        (name, tuple((fields[4], fields[5]) for fields in part["items"]), tuple(sorted(part["v"].items())))
        for name, part in parts.items()
    )


def decompress_parts(body: bytes) -> dict[str, Any]:
    """Decompresses the stores' parts of an answer. Raises ValueError for malformed or oversized data."""
    inflate = zlib.decompressobj()
    try:
        text = inflate.decompress(body, MAX_DECOMPRESSED_BYTES)
        if not inflate.eof:
            raise ValueError("compressed answer is truncated or too long")
        parts: dict[str, Any] = msgspec.json.decode(text, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
    return parts
