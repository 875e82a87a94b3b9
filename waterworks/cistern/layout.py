"""What a row of the store looks like, and how an older layout becomes the present one.

Rows of the caller's and the store's own head share one table: the caller's keys stand behind ``r``, the head
is ``h``. A value begins with a checksum of key and value. The head tells the layout, the transaction that
wrote it, and count and sum of the rows: a page that is older than its neighbours has good checksums of its
own, and only the sum finds it.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from waterworks.aquifer.items import Item

LAYOUT = 1
"""The layout that this program writes."""

Rows = dict[bytes, bytes]
Move = Callable[[Rows], Rows]

MOVES: dict[int, Move] = {}
"""From layout n to n + 1, under n: the caller's rows before, the caller's rows after. Pure; one transaction
each."""

HEAD = b"h"
MOST_KEY_BYTES = 500
"""A key of the caller's, in bytes; lmdb takes 511 with what stands before it."""

_CHECK_BYTES = 8
_ITEM = b"i"
_VECTOR = b"vector"
_WHOLE = b"whole"


class CisternError(Exception):
    """A row that was kept cannot be read back, or is none of this layout's; the store is not to be used
    further."""


def checksum(key: bytes, value: bytes) -> bytes:
    """Eight bytes over a row. The key's length goes in too, so that no byte can move from key to value
    unseen."""
    return blake2b(len(key).to_bytes(2, "big") + key + value, digest_size=_CHECK_BYTES).digest()


def seal(key: bytes, value: bytes) -> bytes:
    """The bytes stored for a row: its checksum, then its value."""
    return checksum(key, value) + value


def unseal(key: bytes, stored: bytes) -> bytes | None:
    """A stored row's value; None where the checksum is not that of key and value."""
    value = stored[_CHECK_BYTES:]
    return value if stored[:_CHECK_BYTES] == checksum(key, value) else None


def weight(stored: bytes) -> int:
    """A stored row's part in the head's sum: its checksum as a number below 2**64."""
    return int.from_bytes(stored[:_CHECK_BYTES], "big")


class Head(msgspec.Struct, frozen=True):
    """The store's own row. ``transaction`` is lmdb's number of the transaction that wrote it; ``total`` is
    the sum of the rows' weights modulo 2**64."""

    layout: int
    transaction: int
    count: int
    total: int

    def changed(self, transaction: int, came: Iterable[bytes], went: Iterable[bytes]) -> "Head":
        """The head after stored rows came and went in a transaction of that number."""
        count, total = self.count, self.total
        for stored in came:
            count, total = count + 1, total + weight(stored)
        for stored in went:
            count, total = count - 1, total - weight(stored)
        return Head(layout=self.layout, transaction=transaction, count=count, total=total % 2**64)


def pack_head(head: Head) -> bytes:
    """The bytes stored under HEAD."""
    return seal(HEAD, msgspec.json.encode(head))


def unpack_head(stored: bytes | None) -> Head | str:
    """The head from the bytes under HEAD; a string says what is wrong with them."""
    if stored is None:
        return "no head row"
    value = unseal(HEAD, stored)
    if value is None:
        return "head row: checksum differs"
    try:
        return msgspec.json.decode(value, type=Head)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return f"head row: {error}"


@dataclass(frozen=True, slots=True)
class Held:
    """What the rows of a disk say: the items, the vector (source to number), and whether the disk is
    complete."""

    items: tuple[Item, ...]
    vector: dict[str, int]
    whole: bool


def pack_item(item: Item) -> tuple[bytes, bytes]:
    """An item's row. The key is of one length, however long kind and name are; the value holds all of the
    item."""
    named = msgspec.json.encode([item.kind, item.name])
    return _ITEM + blake2b(named, digest_size=16).digest(), msgspec.json.encode(item)


def unpack_item(key: bytes, value: bytes) -> Item:
    """The item of a row. Raises CisternError where the value is no item, or one that belongs under another
    key."""
    try:
        item: Item = msgspec.json.decode(value, type=Item)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CisternError(f"item row {key.hex()}: {error}; start on an empty disk") from error
    if pack_item(item)[0] != key:
        raise CisternError(f"item row {key.hex()}: holds {item.kind} {item.name!r}; start on an empty disk")
    return item


def pack_vector(vector: Mapping[str, int]) -> tuple[bytes, bytes]:
    """The row of the vector: the newest number held of each source."""
    return _VECTOR, msgspec.json.encode(dict(vector))


def unpack_vector(value: bytes) -> dict[str, int]:
    """The vector of its row's value. Raises CisternError where the value is none."""
    try:
        return msgspec.json.decode(value, type=dict[str, int])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CisternError(f"vector row: {error}; start on an empty disk") from error


def pack_whole(whole: bool) -> tuple[bytes, bytes]:
    """The row that says whether this disk is complete: holds all that its process ever acknowledged."""
    return _WHOLE, b"true" if whole else b"false"


def held(rows: Mapping[bytes, bytes]) -> Held:
    """Items, vector and marker out of a store's rows. A disk without the marker is not complete. Raises
    CisternError on a row that is none of these."""
    items: list[Item] = []
    vector: dict[str, int] = {}
    whole = False
    for key, value in rows.items():
        if key == _VECTOR:
            vector = unpack_vector(value)
        elif key == _WHOLE:
            whole = value == b"true"
        elif key.startswith(_ITEM):
            items.append(unpack_item(key, value))
        else:
            raise CisternError(f"row {key.hex()}: of no kind known; start the program that wrote it")
    return Held(items=tuple(items), vector=vector, whole=whole)
