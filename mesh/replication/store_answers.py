"""The results of a store: what a peer lacks, and why something was refused. No I/O."""

from __future__ import annotations

from msgspec import Struct

from mesh.replication.items import Item


class StoreFull(Struct, frozen=True):
    """Nothing was applied because the store would exceed its capacity; ``reason`` is one line."""

    reason: str


class DigestMismatch(Struct, frozen=True):
    """The items of a snapshot do not match its root digest; its vector was not merged."""

    reason: str


class Delta(Struct, frozen=True):
    """What a peer lacks: items in order of arrival here, and the vector entries to merge with them.

    With ``more`` this is a page: the vector holds only the page's own entry, and the peer has to ask again.
    """

    items: list[Item]
    vector: dict[str, int]
    more: bool
