"""The replicated item, its canonical encoding and the total order by which copies are merged."""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct

Key = tuple[str, str]  # kind, name


class Item(Struct, frozen=True):
    """The value stored under ``(kind, name)``: a mapping of JSON values, or None for a tombstone.

    A deleted item is kept as a tombstone because its version must outrank older copies of the item.
    ``(source, number)`` is the stamp: the item was the ``number``-th (from 1) that ``source``, one
    incarnation of one process, accepted. The stamp locates copies and is ignored when items are ordered or
    compared.
    """

    kind: str
    name: str
    version: int
    value: Mapping[str, Any] | None
    source: str = ""
    number: int = 0

    @property
    def key(self) -> Key:
        """The key of the item: its kind and name."""
        return (self.kind, self.name)


def canonical_content(item: Item) -> bytes:
    """Encodes the value as JSON with sorted keys, identical in every process; ``null`` for a tombstone.

    Raises TypeError for a value that JSON cannot represent.
    """
    return msgspec.json.encode(item.value, order="deterministic")


def same_content(a: Item, b: Item) -> bool:
    """Whether version and value are equal, ignoring the stamps.

    Values are compared by their canonical encoding, as in ``outranks``, because Python treats 1, 1.0 and True
    as equal.
    """
    return a.version == b.version and canonical_content(a) == canonical_content(b)


def outranks(a: Item, b: Item) -> bool:
    """Whether ``a`` replaces ``b`` of the same key; a total order on version and content.

    The higher version wins; at equal versions a tombstone wins over a value, then the greater canonical
    encoding. False for equal content.
    """
    if a.version != b.version:
        return a.version > b.version
    if (a.value is None) != (b.value is None):
        return a.value is None
    return canonical_content(a) > canonical_content(b)
