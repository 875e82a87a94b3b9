"""Rendezvous hashing: whom each process knows and watches, and in which order a duty falls to them. No I/O.

Each pair of names has a weight of its own, the same wherever it is worked out; the heaviest few are named.
One that comes or goes changes the sets that it is in and no others.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(one: str, other: str) -> int:
    return int.from_bytes(blake2b(f"{one}\0{other}".encode(), digest_size=8).digest(), "big")


def rendezvous_order(me: str, names: Iterable[str]) -> list[str]:
    """All of them, the heaviest first."""
    return sorted(names, key=lambda name: (weight(me, name), name), reverse=True)


def select_top(me: str, names: Iterable[str], most: int) -> list[str]:
    """The heaviest ``most`` of them."""
    return rendezvous_order(me, names)[:most]
