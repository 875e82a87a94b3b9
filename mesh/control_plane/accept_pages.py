"""Splits the contents of an accept into frames of bounded size."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from mesh.replication.acceptor import Slot, Value

PAGE_BYTES = 1 << 20  # of contents in one accept frame


def split_into_pages(writes: Mapping[Slot, Value], tags: Mapping[Slot, str]) -> list[list[Any]]:
    """Returns the rows of an accept in pages; each content is encoded once. A page has at least one row."""
    pages: list[list[Any]] = [[]]
    room = PAGE_BYTES
    for slot, value in sorted(writes.items(), key=lambda entry: entry[0]):
        packed = msgspec.Raw(msgspec.json.encode(value))
        room -= len(packed)
        if room < 0 and pages[-1]:
            pages.append([])
            room = PAGE_BYTES - len(packed)
        pages[-1].append([*slot, packed, tags[slot]] if slot in tags else [*slot, packed])
    return pages
