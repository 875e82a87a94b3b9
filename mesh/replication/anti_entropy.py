"""How two copies find where they differ, and who gives what to whom. No I/O.

One side tells its roots; where they differ the other answers with the digests of the tree's first level, and
each answers the next level of what differs, until the leaves: there one side tells its items, takes what the
other has newer, and the other takes what is newer here. With DEPTH 3 that is six messages, three round trips.
What differs beyond MOST_RANGES prefixes of a level, or MOST_LEAVES leaves, is left to the next comparison.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from msgspec import Struct

from mesh.replication.digest import DEPTH, HEX, DigestTree, differing_prefixes
from mesh.replication.items import Item, canonical_content
from mesh.replication.store import Store

MAX_RANGES = 16  # prefixes of one level that are gone into
MAX_LEAVES = 64
MAX_REPAIR_ITEMS = 2000  # that a peer may send at once; more is no answer to what it was told


class DifferingRanges(Struct, frozen=True):
    """Digests of the children of each prefix that differs, to be told to the other side."""

    ranges: dict[str, dict[str, str]]


class DifferingLeaves(Struct, frozen=True):
    """Leaves that differ, with this side's digest of each ("" where it holds nothing there)."""

    digests: dict[str, str]


class RepairPlan(Struct, frozen=True):
    """``take``: newer at the other side; ``give``: newer here, or not there at all; ``split``: of those,
    items whose versions are equal and contents are not. ``odd``: leaves whose items are alike on both sides
    and whose digests are not: one side's tree is wrong."""

    fetch: list[Item]
    send: list[Item]
    conflicting: list[Item]
    inconsistent_leaves: list[str]


def compare(
    digests: DigestTree, ranges: Mapping[str, Mapping[str, str]], turn: int
) -> DifferingRanges | DifferingLeaves | None:
    """The other side's digests by prefix against this side's; None where nothing differs (any more).
    ``turn``: any number; where not all can be gone into, other ones are with another number."""
    found = [
        child
        for prefix in sorted(ranges)
        for child in differing_prefixes(digests.children(prefix), ranges[prefix])
    ]
    if not found:
        return None
    if len(found[0]) < DEPTH:
        return DifferingRanges({child: digests.children(child) for child in _select(found, MAX_RANGES, turn)})
    leaves = _select(found, MAX_LEAVES, turn)
    return DifferingLeaves({leaf: leaf_digest(digests, leaf) for leaf in leaves})


def _select(found: list[str], limit: int, turn: int) -> list[str]:
    if len(found) <= limit:
        return found
    start = turn * limit % len(found)
    return (found[start:] + found[:start])[:limit]


def items_under(store: Store, leaves: Iterable[str]) -> list[Item]:
    """All that lies there, dropped items too."""
    return [store.items[key] for leaf in leaves for key in store.digests.keys(leaf)]


def plan_repair(
    store: Store, leaves: Mapping[str, str], items: Iterable[Item], tombstones_expire: bool
) -> RepairPlan:
    """``leaves``: the other side's digests; ``items``: all that it holds there. ``forgets``: drops of this
    store are forgotten in time, each process by its own clock, so one that only one side still has is neither
    given nor taken: they would bring it back to each other for ever."""
    theirs = {item.key: item for item in items}
    fetch, send, conflicting = [], [], []
    unpaired_tombstone = False  # a drop that only one side still has
    for item in theirs.values():
        held = store.items.get(item.key)
        if held is None and (
            (tombstones_expire and item.value is None)
            or item.version <= store.collected_tombstones.version(item.key)
        ):
            unpaired_tombstone = True
        elif held is None or store.replaces(item, held):
            fetch.append(item)
        elif store.replaces(held, item):
            send.append(held)
        if (
            held is not None
            and held.version == item.version
            and canonical_content(held) != canonical_content(item)
        ):
            conflicting.append(item)
    for item in items_under(store, leaves):
        if item.key not in theirs and tombstones_expire and item.value is None:
            unpaired_tombstone = True
        elif item.key not in theirs:
            send.append(item)
    inconsistent = []
    if not (fetch or send or unpaired_tombstone):
        inconsistent = [leaf for leaf, digest in leaves.items() if leaf_digest(store.digests, leaf) != digest]
    return RepairPlan(fetch, send, conflicting, inconsistent)


def leaf_digest(digests: DigestTree, leaf: str) -> str:
    """Of one leaf; "" where nothing lies there."""
    return digests.children(leaf[:-1]).get(leaf, "")


def read_ranges(value: Any) -> dict[str, dict[str, str]]:
    """A peer's digests by prefix. Raises ValueError for what is none."""
    if not isinstance(value, dict) or not 0 < len(value) <= MAX_RANGES:
        raise ValueError(f"digests of 1 to {MAX_RANGES} prefixes")
    for prefix, children in value.items():
        if len(prefix) >= DEPTH or set(prefix) - set(HEX) or not isinstance(children, dict):
            raise ValueError(f"{prefix[:8]!r} is no prefix of a range")
        if any(child[:-1] != prefix or child[-1:] not in HEX or not child for child in children):
            raise ValueError(f"digests under {prefix!r} that lie elsewhere")
    if len({len(prefix) for prefix in value}) > 1:
        raise ValueError("prefixes of several levels")
    return value


def read_leaves(value: Any) -> dict[str, str]:
    """A peer's leaves. Raises ValueError for what are none."""
    if not isinstance(value, dict) or len(value) > MAX_LEAVES:
        raise ValueError(f"at most {MAX_LEAVES} leaves")
    if any(len(leaf) != DEPTH or set(leaf) - set(HEX) for leaf in value):
        raise ValueError("a leaf's prefix has three hex digits")
    return value
