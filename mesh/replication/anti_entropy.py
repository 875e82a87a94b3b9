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

from mesh.replication.digest import DEPTH, HEX, Digests, differing
from mesh.replication.items import Item, content
from mesh.replication.store import Store

MOST_RANGES = 16  # prefixes of one level that are gone into
MOST_LEAVES = 64
MOST_ITEMS = 2000  # that a peer may send at once; more is no answer to what it was told


class Deeper(Struct, frozen=True):
    """Digests of the children of each prefix that differs, to be told to the other side."""

    ranges: dict[str, dict[str, str]]


class Leaves(Struct, frozen=True):
    """Leaves that differ, with this side's digest of each ("" where it holds nothing there)."""

    digests: dict[str, str]


class Mending(Struct, frozen=True):
    """``take``: newer at the other side; ``give``: newer here, or not there at all; ``split``: of those,
    items whose versions are equal and contents are not. ``odd``: leaves whose items are alike on both sides
    and whose digests are not: one side's tree is wrong."""

    take: list[Item]
    give: list[Item]
    split: list[Item]
    odd: list[str]


def compare(digests: Digests, told: Mapping[str, Mapping[str, str]], turn: int) -> Deeper | Leaves | None:
    """The other side's digests by prefix against this side's; None where nothing differs (any more).
    ``turn``: any number; where not all can be gone into, other ones are with another number."""
    found = [child for prefix in sorted(told) for child in differing(digests.at(prefix), told[prefix])]
    if not found:
        return None
    if len(found[0]) < DEPTH:
        return Deeper({child: digests.at(child) for child in _some(found, MOST_RANGES, turn)})
    leaves = _some(found, MOST_LEAVES, turn)
    return Leaves({leaf: digest(digests, leaf) for leaf in leaves})


def _some(found: list[str], most: int, turn: int) -> list[str]:
    if len(found) <= most:
        return found
    at = turn * most % len(found)
    return (found[at:] + found[:at])[:most]


def under(store: Store, leaves: Iterable[str]) -> list[Item]:
    """All that lies there, dropped items too."""
    return [store.items[key] for leaf in leaves for key in store.digests.keys(leaf)]


def mend(store: Store, leaves: Mapping[str, str], items: Iterable[Item], forgets: bool) -> Mending:
    """``leaves``: the other side's digests; ``items``: all that it holds there. ``forgets``: drops of this
    store are forgotten in time, each process by its own clock, so one that only one side still has is neither
    given nor taken: they would bring it back to each other for ever."""
    theirs = {item.key: item for item in items}
    take, give, split = [], [], []
    lone = False  # a drop that only one side still has
    for item in theirs.values():
        held = store.items.get(item.key)
        if held is None and (
            (forgets and item.value is None) or item.version <= store.forgotten.version(item.key)
        ):
            lone = True
        elif held is None or store.replaces(item, held):
            take.append(item)
        elif store.replaces(held, item):
            give.append(held)
        if held is not None and held.version == item.version and content(held) != content(item):
            split.append(item)
    for item in under(store, leaves):
        if item.key not in theirs and forgets and item.value is None:
            lone = True
        elif item.key not in theirs:
            give.append(item)
    odd = []
    if not (take or give or lone):
        odd = [leaf for leaf, told in leaves.items() if digest(store.digests, leaf) != told]
    return Mending(take, give, split, odd)


def digest(digests: Digests, leaf: str) -> str:
    """Of one leaf; "" where nothing lies there."""
    return digests.at(leaf[:-1]).get(leaf, "")


def read_ranges(told: Any) -> dict[str, dict[str, str]]:
    """A peer's digests by prefix. Raises ValueError for what is none."""
    if not isinstance(told, dict) or not 0 < len(told) <= MOST_RANGES:
        raise ValueError(f"digests of 1 to {MOST_RANGES} prefixes")
    for prefix, children in told.items():
        if len(prefix) >= DEPTH or set(prefix) - set(HEX) or not isinstance(children, dict):
            raise ValueError(f"{prefix[:8]!r} is no prefix of a range")
        if any(child[:-1] != prefix or child[-1:] not in HEX or not child for child in children):
            raise ValueError(f"digests under {prefix!r} that lie elsewhere")
    if len({len(prefix) for prefix in told}) > 1:
        raise ValueError("prefixes of several levels")
    return told


def read_leaves(told: Any) -> dict[str, str]:
    """A peer's leaves. Raises ValueError for what are none."""
    if not isinstance(told, dict) or len(told) > MOST_LEAVES:
        raise ValueError(f"at most {MOST_LEAVES} leaves")
    if any(len(leaf) != DEPTH or set(leaf) - set(HEX) for leaf in told):
        raise ValueError("a leaf's prefix has three hex digits")
    return told
