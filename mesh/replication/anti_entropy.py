"""How two copies find their differences, and which side sends which items. No I/O.

One side sends its root digests; where they differ the other answers with the digests of the first level of
the tree, and each answers with the next level of the differing ranges, down to the leaves. There one side
sends its items, the other takes those that are newer and returns those that are newer at its own side. With
DEPTH 3 that is six messages, three round trips. Differences beyond MAX_RANGES prefixes of a level, or
MAX_LEAVES leaves, are left to the next comparison.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from msgspec import Struct

from mesh.replication.digest import DEPTH, HEX, DigestTree, differing_prefixes
from mesh.replication.items import Item, canonical_content
from mesh.replication.store import Store

MAX_RANGES = 16  # prefixes of one level that are compared further
MAX_LEAVES = 64
MAX_REPAIR_ITEMS = 2000  # in one message of a peer; more cannot be an answer to this side's request


class DifferingRanges(Struct, frozen=True):
    """Digests of the children of each prefix that differs, to be sent to the other side."""

    ranges: dict[str, dict[str, str]]


class DifferingLeaves(Struct, frozen=True):
    """Leaves that differ, with this side's digest of each ("" for an empty one)."""

    digests: dict[str, str]


class RepairPlan(Struct, frozen=True):
    """``fetch``: newer at the other side; ``send``: newer here, or missing there; ``conflicting``: items of
    equal version and different content. ``inconsistent_leaves``: leaves with equal items and different
    digests, so that one side's tree is wrong."""

    fetch: list[Item]
    send: list[Item]
    conflicting: list[Item]
    inconsistent_leaves: list[str]


def compare(
    digests: DigestTree, ranges: Mapping[str, Mapping[str, str]], turn: int
) -> DifferingRanges | DifferingLeaves | None:
    """Compares the other side's digests by prefix with this side's; None if nothing differs. ``turn``: any
    number; selects other ranges each time when not all can be compared."""
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
    """All items under these leaves, tombstones included."""
    return [store.items[key] for leaf in leaves for key in store.digests.keys(leaf)]


def plan_repair(
    store: Store, leaves: Mapping[str, str], items: Iterable[Item], tombstones_expire: bool
) -> RepairPlan:
    """``leaves``: the other side's digests; ``items``: all that it holds there. ``tombstones_expire``: each
    process removes tombstones by its own clock, so one that only one side still has is neither sent nor
    taken: otherwise both would return it to each other forever."""
    theirs = {item.key: item for item in items}
    fetch, send, conflicting = [], [], []
    unpaired_tombstone = False  # a tombstone that only one side still has
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
    """The digest of one leaf; "" for an empty one."""
    return digests.children(leaf[:-1]).get(leaf, "")


def read_ranges(value: Any) -> dict[str, dict[str, str]]:
    """Decodes a peer's digests by prefix. Raises ValueError for anything else."""
    if not isinstance(value, dict) or not 0 < len(value) <= MAX_RANGES:
        raise ValueError(f"expected digests of 1 to {MAX_RANGES} prefixes")
    for prefix, children in value.items():
        if len(prefix) >= DEPTH or set(prefix) - set(HEX) or not isinstance(children, dict):
            raise ValueError(f"{prefix[:8]!r} is not the prefix of a range")
        if any(child[:-1] != prefix or child[-1:] not in HEX or not child for child in children):
            raise ValueError(f"digests under {prefix!r} have other prefixes")
    if len({len(prefix) for prefix in value}) > 1:
        raise ValueError("the prefixes are of several levels")
    return value


def read_leaves(value: Any) -> dict[str, str]:
    """Decodes a peer's leaves. Raises ValueError for anything else."""
    if not isinstance(value, dict) or len(value) > MAX_LEAVES:
        raise ValueError(f"at most {MAX_LEAVES} leaves")
    if any(len(leaf) != DEPTH or set(leaf) - set(HEX) for leaf in value):
        raise ValueError("a leaf's prefix must have three hex digits")
    return value
