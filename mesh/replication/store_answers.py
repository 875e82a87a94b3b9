"""What a store answers: what a peer lacks of it, and why something was not taken. No I/O."""

from __future__ import annotations

from msgspec import Struct

from mesh.replication.items import Item


class StoreFull(Struct, frozen=True):
    """Nothing was taken, for the store would pass its bound; ``reason`` is one line."""

    reason: str


class DigestMismatch(Struct, frozen=True):
    """A snapshot's items do not have the digest that it was told with: its vector was not taken."""

    reason: str


class Delta(Struct, frozen=True):
    """What a peer lacks: items in the order of their arrival here, and what its vector may rise to with them.

    With ``more`` this is a page: the vector holds but the page's own entry, and the peer is to ask again.
    """

    items: list[Item]
    vector: dict[str, int]
    more: bool
