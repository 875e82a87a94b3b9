"""The encoding of the store's rows, and migrations from older layouts.

The caller's rows and the store's own head share one table: the caller's keys have the prefix ``r``, the head
is ``h``. A value begins with a checksum of key and value. The head has the layout, the transaction that wrote
it, and the count and sum of the rows: a stale page has valid checksums of its own, so only the sum reveals
it.
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
"""The layout that this version writes."""

Rows = dict[bytes, bytes]
Migration = Callable[[Rows], Rows]

MIGRATIONS: dict[int, Migration] = {1: lambda rows: _view_from_members(rows)}
"""By n: the pure function that migrates the caller's rows from layout n to n + 1, in one transaction."""

HEAD = b"h"
MAX_KEY_BYTES = 500
"""The length of a caller's key; lmdb allows 511 with the prefix."""

_CHECK_BYTES = 8
_ITEM = b"i"
_VOTE = b"a"
_HISTORY = b"p"
_VECTOR = b"vector"
_COMPLETE = b"whole"
_CEILING = b"ceiling"
_GENERATIONS = b"generations"
_INCARNATIONS = b"lives"
_COLLECTED = b"f"


class StorageError(Exception):
    """A stored row cannot be read, or does not belong to this layout; the store must not be used further."""


def checksum(key: bytes, value: bytes) -> bytes:
    """Eight bytes over a row. They cover the key's length as well, so that moving a byte from key to value is
    detected."""
    return blake2b(len(key).to_bytes(2, "big") + key + value, digest_size=_CHECK_BYTES).digest()


def seal(key: bytes, value: bytes) -> bytes:
    """The bytes stored for a row: its checksum, then its value."""
    return checksum(key, value) + value


def unseal(key: bytes, stored: bytes) -> bytes | None:
    """A stored row's value; None if the checksum does not match."""
    value = stored[_CHECK_BYTES:]
    return value if stored[:_CHECK_BYTES] == checksum(key, value) else None


def checksum_number(stored: bytes) -> int:
    """A stored row's contribution to the head's sum: its checksum as a number below 2**64."""
    return int.from_bytes(stored[:_CHECK_BYTES], "big")


class Head(msgspec.Struct, frozen=True):
    """The store's own row. ``transaction`` is lmdb's number of the transaction that wrote it; ``total`` is
    the sum of the rows' checksums modulo 2**64."""

    layout: int
    transaction: int
    count: int
    total: int

    def after_change(self, transaction: int, added: Iterable[bytes], removed: Iterable[bytes]) -> "Head":
        """The head after a transaction of this number that added and removed these stored rows."""
        count, total = self.count, self.total
        for stored in added:
            count, total = count + 1, total + checksum_number(stored)
        for stored in removed:
            count, total = count - 1, total - checksum_number(stored)
        return Head(layout=self.layout, transaction=transaction, count=count, total=total % 2**64)


def pack_head(head: Head) -> bytes:
    """The bytes stored under HEAD."""
    return seal(HEAD, msgspec.json.encode(head))


def unpack_head(stored: bytes | None) -> Head | str:
    """The head from the bytes under HEAD, or a description of the error."""
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
    """The digests of a key's decided versions below the current one, each with its /tag if it has one, and
    the /tag alone of the current one; ``unknown``: the version up to which the digests are lost, or -1."""

    key: Key
    unknown: int
    digests: dict[int, str]


class DiskState(Struct, frozen=True):
    """The state that the rows of a disk hold: the items, all decided; the vector (source to number); whether
    the disk is complete; and the acceptor's state: open votes, version histories, the ceiling of rounds, and
    how often each member's disk was lost."""

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
        """Adds open votes and version histories to an acceptor, where it has none yet."""
        for history in self.histories:
            for version, digest in history.digests.items():
                if digest.startswith("/"):
                    acceptor.tags.setdefault((*history.key, version), digest[1:])
                else:
                    acceptor.past_digests.setdefault(history.key, {}).setdefault(version, digest)
            if history.unknown >= 0:
                acceptor.unknown_up_to[history.key] = max(
                    history.unknown, acceptor.unknown_up_to.get(history.key, -1)
                )
        for number, vote in self.votes.items():
            if acceptor.state(number) is None:
                acceptor.votes[number] = vote


def pack_item(item: Item) -> tuple[bytes, bytes]:
    """An item's row. The key has a fixed length, regardless of kind and name; the value holds the whole
    item."""
    return item_key(item.key), msgspec.json.encode(item)


def item_key(key: Key) -> bytes:
    """The key of an item's row."""
    return _ITEM + _hashed(key)


def _hashed(parts: Iterable[str | int]) -> bytes:
    return blake2b(msgspec.json.encode(list(parts)), digest_size=16).digest()


def vote_key(number: Slot) -> bytes:
    """The key of the row of an open vote."""
    return _VOTE + _hashed(number)


def pack_vote(number: Slot, vote: Vote) -> tuple[bytes, bytes]:
    """The row of an open vote: number, ballot and content."""
    fields = [*number, vote.ballot.round, vote.ballot.proposer, vote.value, vote.tag]
    return vote_key(number), msgspec.json.encode(fields)


def history_key(key: Key) -> bytes:
    """The key of the row of a version history."""
    return _HISTORY + _hashed(key)


def pack_history(history: VersionHistory) -> tuple[bytes, bytes]:
    """The row of a version history."""
    return history_key(history.key), msgspec.json.encode([*history.key, history.unknown, history.digests])


def pack_ceiling(ceiling: int) -> tuple[bytes, bytes]:
    """The row of the round up to which the next incarnation rejects all ballots."""
    return _CEILING, b"%d" % ceiling


def pack_generations(generations: Mapping[str, int]) -> tuple[bytes, bytes]:
    """The row with the number of known disk losses of each member."""
    return _GENERATIONS, msgspec.json.encode(dict(generations))


def pack_incarnations(incarnations: Mapping[str, tuple[int, str]]) -> tuple[bytes, bytes]:
    """The row with the known number of starts and the latest incarnation of each machine."""
    return _INCARNATIONS, msgspec.json.encode(dict(incarnations))


def pack_collected(bucket: str, row: BucketRow) -> tuple[bytes, bytes]:
    """The row of the collected tombstones of one bucket."""
    return _COLLECTED + bucket.encode(), msgspec.json.encode(row)


def unpack_item(key: bytes, value: bytes) -> Item:
    """The item of a row. Raises StorageError if the value is malformed or belongs to another key."""
    try:
        item: Item = msgspec.json.decode(value, type=Item)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StorageError(f"item row {key.hex()}: {error}; start on an empty disk") from error
    if pack_item(item)[0] != key:
        raise StorageError(f"item row {key.hex()}: holds {item.kind} {item.name!r}; start on an empty disk")
    return item


def pack_vector(vector: Mapping[str, int]) -> tuple[bytes, bytes]:
    """The row of the vector: the highest number of each source."""
    return _VECTOR, msgspec.json.encode(dict(vector))


def unpack_vector(value: bytes) -> dict[str, int]:
    """The vector of its row. Raises StorageError if the value is malformed."""
    try:
        return msgspec.json.decode(value, type=dict[str, int])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StorageError(f"vector row: {error}; start on an empty disk") from error


def pack_complete(complete: bool) -> tuple[bytes, bytes]:
    """The row that marks whether this disk is complete: holds all writes that its process acknowledged."""
    return _COMPLETE, b"true" if complete else b"false"


def read_state(rows: Mapping[bytes, bytes]) -> DiskState:
    """The state of a store's rows. A disk without the marker is not complete. Raises StorageError for a row
    of an unknown kind, or one that cannot be read."""
    items: list[Item] = []
    votes: dict[Slot, Vote] = {}
    histories: list[VersionHistory] = []
    collected: dict[str, BucketRow] = {}
    for key, value in rows.items():
        if key.startswith(_ITEM):
            items.append(unpack_item(key, value))
        elif key in (_VECTOR, _COMPLETE, _CEILING, _GENERATIONS, _INCARNATIONS):
            continue
        elif key.startswith(_COLLECTED):
            collected[key[len(_COLLECTED) :].decode()] = _read(key, value, _CollectedRow)
        elif key.startswith(_VOTE):
            kind, name, version, round, proposer, content, tag = _read(key, value, _VoteRow)
            votes[kind, name, version] = Vote(Ballot(round, proposer), content, tag)
        elif key.startswith(_HISTORY):
            kind, name, unknown, digests = _read(key, value, _HistoryRow)
            histories.append(VersionHistory((kind, name), unknown, digests))
        else:
            raise StorageError(f"row {key.hex()}: unknown kind; start the program that wrote it")
    return DiskState(
        items=tuple(items),
        vector=unpack_vector(rows[_VECTOR]) if _VECTOR in rows else {},
        complete=rows.get(_COMPLETE) == b"true",
        votes=votes,
        histories=tuple(histories),
        ceiling=_read(_CEILING, rows.get(_CEILING, b"0"), int),
        generations=_read(_GENERATIONS, rows.get(_GENERATIONS, b"{}"), dict[str, int]),
        incarnations=_read(_INCARNATIONS, rows.get(_INCARNATIONS, b"{}"), dict[str, tuple[int, str]]),
        collected=collected,
    )


_VoteRow = tuple[str, str, int, int, str, dict[str, Any] | None, str]
_CollectedRow = tuple[int, dict[str, int]]
_HistoryRow = tuple[str, str, int, dict[int, str]]


def _read(key: bytes, value: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StorageError(f"row {key.hex()}: {error}; start on an empty disk") from error


def _view_from_members(rows: Rows) -> Rows:
    """Layout 1 had an item for each member. Members whose disks count form the view of epoch 1. That layout
    had no votes, so all items on the disk are treated as decided."""
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
