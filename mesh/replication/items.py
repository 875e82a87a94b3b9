"""One item of control state, its canonical bytes and the law by which two copies of it merge."""

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct

Key = tuple[str, str]  # kind, name


class Item(Struct, frozen=True):
    """What a store holds under ``(kind, name)``: a mapping of JSON values, or None where it was dropped.

    A dropped item stays as a tombstone, since only its version outlives the older copies of the set one.
    ``(source, number)`` is the stamp: this was the ``number``-th item (from 1) that ``source``, one life of
    one process, took. It says where copies are to be looked for and counts neither in rank nor in content.
    """

    kind: str
    name: str
    version: int
    value: Mapping[str, Any] | None
    source: str = ""
    number: int = 0

    @property
    def key(self) -> Key:
        return (self.kind, self.name)


def canonical_content(item: Item) -> bytes:
    """The value as JSON with sorted keys, the same bytes in every process; ``null`` for a dropped item.

    Raises TypeError where the value holds what JSON cannot say.
    """
    return msgspec.json.encode(item.value, order="deterministic")


def same_content(a: Item, b: Item) -> bool:
    """Whether version and value are equal, whatever the stamps.

    Values are compared as canonical bytes, as ``outranks`` does: Python takes 1, 1.0 and True for equal.
    """
    return a.version == b.version and canonical_content(a) == canonical_content(b)


def outranks(a: Item, b: Item) -> bool:
    """Whether ``a`` replaces ``b`` (of the same key) where both are known: a total order on version and
    content.

    The higher version wins; at the same version a dropped item wins over a set one, then the greater
    canonical bytes. False for equal content.
    """
    if a.version != b.version:
        return a.version > b.version
    if (a.value is None) != (b.value is None):
        return a.value is None
    return canonical_content(a) > canonical_content(b)
