"""Rendezvous hashing: selects the peers that each process connects to and the order in which processes take a
lease. No I/O.

Each pair of names has a fixed weight that every process computes alike; the names with the highest weights
are selected. A name that joins or leaves changes only the selections that it is part of.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(one: str, other: str) -> int:
    """The weight of a pair of names, a 64-bit hash."""
    return int.from_bytes(blake2b(f"{one}\0{other}".encode(), digest_size=8).digest(), "big")


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """All names by descending weight for ``key``."""
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)


def select_top(key: str, names: Iterable[str], count: int) -> list[str]:
    """The ``count`` names with the highest weights for ``key``."""
    return rendezvous_order(key, names)[:count]
