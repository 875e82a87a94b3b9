"""The order in which a sidecar takes servers into its working set: deterministic subsetting, so that each
server is in nearly as many sets as its size demands, without communication between sidecars.

Each sidecar knows its index and the number of sidecars. As many sidecars as there are parts form a round: a
hash that depends on the round orders the servers, the order is cut into equal parts, and each sidecar starts
at its own part and goes on with those that follow. With random sets some servers are in half again as many
sets as others (200 sidecars with sets of 4 of 40: a coefficient of variation of 0.21, here 0.00) and keep a
larger share of the traffic. The order depends on the list alone, not on its history; one server more or less
moves the ends of a third of the parts by one place. No I/O, no clock.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from zlib import crc32

SIDECARS_PER_SERVER = 20  # sidecars that share a server at the least size of the working sets
SIZE_STEPS = 8  # steps of the mean size per factor of two; a step changes some copies
ABSENT_SHARE = 0.25  # share of the places that gone servers may keep
MAX_COPIES = 8  # most places of one server
MASK64 = (1 << 64) - 1


def hash64(text: str, seed: int) -> int:
    """Returns a 64-bit hash of a name and a seed (the finalizer of MurmurHash3)."""
    value = (crc32(text.encode()) + 0x9E3779B97F4A7C15 * (seed + 1)) & MASK64
    value = ((value ^ value >> 33) * 0xFF51AFD7ED558CCD) & MASK64
    value = ((value ^ value >> 33) * 0xC4CEB9FE1A85EC53) & MASK64
    return value ^ value >> 33


def part_count(peers: int) -> int:
    """Returns the number of parts of a round: by the sidecars alone, since a change would move every set."""
    return max(peers // SIDECARS_PER_SERVER, 1)


class Ring:
    """Servers in the order of this sidecar's round; with one part or an unknown index, in a random order. A
    draining server keeps its place, so that a drain changes only the sets that it was in; so do some gone
    servers, since most of them return."""

    def __init__(self, me: int, peers: int) -> None:
        """``me``: index of this sidecar, from 0; below 0: unknown."""
        self.me, self.peers = me, peers
        self.parts, self.unit = part_count(peers) if me >= 0 else 1, 1.0
        self.sizes: dict[str, tuple[float, float]] = {}  # size and rank by server
        self.listed: set[str] = set()
        self.absent: dict[str, None] = {}  # gone servers, oldest first
        self.total = 0.0
        self.keys: dict[str, list[float]] = {}
        self.items: list[tuple[float, str]] = []  # sorted; a large server may have several places

    def put(self, name: str, size: float, rank: float) -> None:
        """Adds or updates a listed server."""
        self.listed.add(name)
        self.absent.pop(name, None)
        if self.sizes.get(name) == (size, rank):
            return
        self.remove(name)
        self.listed.add(name)
        self.sizes[name] = (size, rank)
        self.total += size
        if not self.rescale():
            self.place(name)

    def withdraw(self, name: str, gone: bool) -> None:
        """Marks a server as draining or gone."""
        self.listed.discard(name)
        if gone and name in self.sizes:
            self.absent[name] = None
            while len(self.absent) > ABSENT_SHARE * len(self.sizes):
                self.remove(next(iter(self.absent)))

    def remove(self, name: str) -> None:
        self.listed.discard(name)
        self.absent.pop(name, None)
        known = self.sizes.pop(name, None)
        if known is not None:
            self.total -= known[0]
            for key in self.keys.pop(name):
                del self.items[bisect_left(self.items, (key, name))]
            self.rescale()

    def rescale(self) -> bool:
        """Recomputes all places if the mean size has changed by a step; returns whether it has."""
        mean = self.total / len(self.sizes) if self.sizes else 1.0
        steps = round(SIZE_STEPS * math.log2(mean if mean > 1e-6 else 1e-6))
        unit = 2.0 ** (steps / SIZE_STEPS) if self.parts > 1 else 1.0
        if unit == self.unit:
            return False
        self.unit, self.items, self.keys = unit, [], {}
        for name in self.sizes:
            self.place(name)
        return True

    def place(self, name: str) -> None:
        size, rank = self.sizes[name]
        keys = [rank]
        if self.parts > 1:
            seed, part = self.me // self.parts * MAX_COPIES, size / self.unit
            copies = int(part) + (hash64(name, -2 - seed) / MASK64 < part - int(part))
            keys = [hash64(name, seed + copy) / MASK64 for copy in range(min(copies, MAX_COPIES))]
        self.keys[name] = keys
        for key in keys:
            insort(self.items, (key, name))

    def own_start(self) -> int:
        """Returns the index in ``items`` at which this sidecar's part starts."""
        return -(-(self.me % self.parts) * len(self.items) // self.parts) if self.parts > 1 else 0

    def own_count(self) -> int:
        """Returns the number of listed servers in this sidecar's part; 0 if there is only one part."""
        if self.parts == 1:
            return 0
        start, end = self.own_start(), -(-(self.me % self.parts + 1) * len(self.items) // self.parts)
        return len({name for _, name in self.items[start:end] if name in self.listed})
