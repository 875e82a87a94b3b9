"""What a row of the store looks like, and how an older layout becomes the present one.

Rows of the caller's and the store's own head share one table: the caller's keys stand behind ``r``, the head
is ``h``. A value begins with a checksum of key and value. The head tells the layout, the transaction that
wrote it, and count and sum of the rows: a page that is older than its neighbours has good checksums of its
own, and only the sum finds it.
"""

from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from typing import Any

import msgspec
from msgspec import Struct, field

from mesh.replication.acceptor import Acceptor, Ballot, Slot, Vote
from mesh.replication.items import Item, Key
from mesh.replication.membership_epochs import MEMBERS, VIEW, View, write_view
from mesh.replication.quorum import Place
from mesh.replication.tombstones import BucketRow

LAYOUT = 2
"""The layout that this program writes."""

Rows = dict[bytes, bytes]
Migration = Callable[[Rows], Rows]

MIGRATIONS: dict[int, Migration] = {1: lambda rows: _view_of_members(rows)}
"""From layout n to n + 1, under n: the caller's rows before, the caller's rows after. Pure; one transaction
each."""

HEAD = b"h"
MAX_KEY_BYTES = 500
"""A key of the caller's, in bytes; lmdb takes 511 with what stands before it."""

_CHECK_BYTES = 8
_ITEM = b"i"
_VOTE = b"a"
_PAST = b"p"
_VECTOR = b"vector"
_WHOLE = b"whole"
_CEILING = b"ceiling"
_GENERATIONS = b"generations"
_LIVES = b"lives"
_FORGOTTEN = b"f"


class StorageError(Exception):
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


def checksum_number(stored: bytes) -> int:
    """A stored row's part in the head's sum: its checksum as a number below 2**64."""
    return int.from_bytes(stored[:_CHECK_BYTES], "big")


class Head(msgspec.Struct, frozen=True):
    """The store's own row. ``transaction`` is lmdb's number of the transaction that wrote it; ``total`` is
    the sum of the rows' weights modulo 2**64."""

    layout: int
    transaction: int
    count: int
    total: int

    def after_change(self, transaction: int, came: Iterable[bytes], went: Iterable[bytes]) -> "Head":
        """The head after stored rows came and went in a transaction of that number."""
        count, total = self.count, self.total
        for stored in came:
            count, total = count + 1, total + checksum_number(stored)
        for stored in went:
            count, total = count - 1, total - checksum_number(stored)
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


class VersionHistory(Struct, frozen=True):
    """Of one key: digests of decided versions below the one that stands, with /tag where they have one, and
    of that one its /tag alone; and the version up to which nobody can know, or -1."""

    key: Key
    unknown: int
    digests: dict[int, str]


class DiskState(Struct, frozen=True):
    """What the rows of a disk say: the items, all decided; the vector (source to number); whether the disk is
    complete; and the acceptor's part: votes that are open, what is past, the ceiling of rounds, and how often
    whose disk was lost."""

    items: tuple[Item, ...] = ()
    vector: dict[str, int] = field(default_factory=dict)
    complete: bool = False
    votes: dict[Slot, Vote] = field(default_factory=dict)
    histories: tuple[VersionHistory, ...] = ()
    ceiling: int = 0
    generations: dict[str, int] = field(default_factory=dict)
    incarnations: dict[str, tuple[int, str]] = field(default_factory=dict)
    collected: dict[str, BucketRow] = field(default_factory=dict)

    def load_acceptor(self, acceptor: Acceptor) -> None:
        """What was accepted or is past, where it knows nothing of it yet."""
        for past in self.histories:
            for version, digest in past.digests.items():
                if digest.startswith("/"):
                    acceptor.tags.setdefault((*past.key, version), digest[1:])
                else:
                    acceptor.past_digests.setdefault(past.key, {}).setdefault(version, digest)
            if past.unknown >= 0:
                acceptor.unknown_up_to[past.key] = max(past.unknown, acceptor.unknown_up_to.get(past.key, -1))
        for number, vote in self.votes.items():
            if acceptor.state(number) is None:
                acceptor.votes[number] = vote


def pack_item(item: Item) -> tuple[bytes, bytes]:
    """An item's row. The key is of one length, however long kind and name are; the value holds all of the
    item."""
    return item_key(item.key), msgspec.json.encode(item)


def item_key(key: Key) -> bytes:
    """Of the row of the item that stands under that key."""
    return _ITEM + _hashed(key)


def _hashed(parts: Iterable[str | int]) -> bytes:
    return blake2b(msgspec.json.encode(list(parts)), digest_size=16).digest()


def vote_key(number: Slot) -> bytes:
    """Of the row of an open vote."""
    return _VOTE + _hashed(number)


def pack_vote(number: Slot, vote: Vote) -> tuple[bytes, bytes]:
    """The row of an open vote: number, ballot and content."""
    told = [*number, vote.ballot.round, vote.ballot.proposer, vote.value, vote.tag]
    return vote_key(number), msgspec.json.encode(told)


def history_key(key: Key) -> bytes:
    """Of the row of a key's overtaken versions."""
    return _PAST + _hashed(key)


def pack_history(past: VersionHistory) -> tuple[bytes, bytes]:
    """The row of a key's overtaken versions."""
    return history_key(past.key), msgspec.json.encode([*past.key, past.unknown, past.digests])


def pack_ceiling(ceiling: int) -> tuple[bytes, bytes]:
    """The row of the round up to which the next life refuses all."""
    return _CEILING, b"%d" % ceiling


def pack_generations(generations: Mapping[str, int]) -> tuple[bytes, bytes]:
    """The row of how often each member's disk was lost, as far as is known."""
    return _GENERATIONS, msgspec.json.encode(dict(generations))


def pack_incarnations(lives: Mapping[str, tuple[int, str]]) -> tuple[bytes, bytes]:
    """The row of how often each machine has started, and the life of its last start, as far as is known."""
    return _LIVES, msgspec.json.encode(dict(lives))


def pack_collected(bucket: str, row: BucketRow) -> tuple[bytes, bytes]:
    """The row of what is left of forgotten drops in one bucket."""
    return _FORGOTTEN + bucket.encode(), msgspec.json.encode(row)


def unpack_item(key: bytes, value: bytes) -> Item:
    """The item of a row. Raises StorageError where the value is no item, or one that belongs under another
    key."""
    try:
        item: Item = msgspec.json.decode(value, type=Item)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StorageError(f"item row {key.hex()}: {error}; start on an empty disk") from error
    if pack_item(item)[0] != key:
        raise StorageError(f"item row {key.hex()}: holds {item.kind} {item.name!r}; start on an empty disk")
    return item


def pack_vector(vector: Mapping[str, int]) -> tuple[bytes, bytes]:
    """The row of the vector: the newest number held of each source."""
    return _VECTOR, msgspec.json.encode(dict(vector))


def unpack_vector(value: bytes) -> dict[str, int]:
    """The vector of its row's value. Raises StorageError where the value is none."""
    try:
        return msgspec.json.decode(value, type=dict[str, int])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StorageError(f"vector row: {error}; start on an empty disk") from error


def pack_complete(whole: bool) -> tuple[bytes, bytes]:
    """The row that says whether this disk is complete: holds all that its process ever acknowledged."""
    return _WHOLE, b"true" if whole else b"false"


def read_state(rows: Mapping[bytes, bytes]) -> DiskState:
    """What a store's rows say. A disk without the marker is not complete. Raises StorageError on a row that
    is of no kind known, or cannot be read."""
    items: list[Item] = []
    votes: dict[Slot, Vote] = {}
    histories: list[VersionHistory] = []
    collected: dict[str, BucketRow] = {}
    for key, value in rows.items():
        if key.startswith(_ITEM):
            items.append(unpack_item(key, value))
        elif key in (_VECTOR, _WHOLE, _CEILING, _GENERATIONS, _LIVES):
            continue
        elif key.startswith(_FORGOTTEN):
            collected[key[len(_FORGOTTEN) :].decode()] = _read(key, value, _ForgottenRow)
        elif key.startswith(_VOTE):
            kind, name, version, round, proposer, content, tag = _read(key, value, _VoteRow)
            votes[kind, name, version] = Vote(Ballot(round, proposer), content, tag)
        elif key.startswith(_PAST):
            kind, name, unknown, digests = _read(key, value, _PastRow)
            histories.append(VersionHistory((kind, name), unknown, digests))
        else:
            raise StorageError(f"row {key.hex()}: of no kind known; start the program that wrote it")
    return DiskState(
        items=tuple(items),
        vector=unpack_vector(rows[_VECTOR]) if _VECTOR in rows else {},
        complete=rows.get(_WHOLE) == b"true",
        votes=votes,
        histories=tuple(histories),
        ceiling=_read(_CEILING, rows.get(_CEILING, b"0"), int),
        generations=_read(_GENERATIONS, rows.get(_GENERATIONS, b"{}"), dict[str, int]),
        incarnations=_read(_LIVES, rows.get(_LIVES, b"{}"), dict[str, tuple[int, str]]),
        collected=collected,
    )


_VoteRow = tuple[str, str, int, int, str, dict[str, Any] | None, str]
_ForgottenRow = tuple[int, dict[str, int]]
_PastRow = tuple[str, str, int, dict[int, str]]


def _read(key: bytes, value: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StorageError(f"row {key.hex()}: {error}; start on an empty disk") from error


def _view_of_members(rows: Rows) -> Rows:
    """Layout 1 had an item for each member. Those whose disks count are the view of epoch 1; there was no
    vote then, so what a disk held is taken as decided."""
    found: Rows = {}
    members: dict[str, Place] = {}
    for key, value in rows.items():
        item = unpack_item(key, value) if key.startswith(_ITEM) else None
        if item is None or item.kind != "member":
            found[key] = value
        elif (
            item.value is not None and item.value.get("state") == "counts" and item.value.get("counted", True)
        ):
            places = (str(item.value.get("zone", "")), str(item.value.get("region", "")))
            members[item.name] = Place(*places)
    if members:
        row = pack_item(Item(VIEW, MEMBERS, 1, write_view(View(1, members))))
        found[row[0]] = row[1]
    return found
