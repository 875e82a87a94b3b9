"""In which order a sidecar takes servers into its working set, so that over the fleet each server is in
nearly as many sets as its size says, although no sidecar talks to another.

Each sidecar knows its number and how many there are. So many as there are parts share a round: in every
round all servers stand in one order, drawn by hash, cut into equal parts, and each of them begins at a part
of its own. What it needs beyond that part it takes from those that follow. With sets drawn by chance some
servers are in half again as many sets as others (200 sidecars with sets of 4 of 40: a coefficient of
variation of 0.21, here 0.00), and a bigger share of all traffic stays with them. The order is a function of
the list alone, however it came about; one server more or less moves the ends of a third of the parts by one
place. No I/O, no clock.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from zlib import crc32

SIDECARS_PER_SERVER = 20  # sidecars that share a server, as the working set's least size has it
SIZE_STEPS = 8  # steps in which the mean size is taken, to a factor of two: some copies come or go with each
ABSENT_SHARE = 0.25  # of the places, that those which are gone may keep
MAX_COPIES = 8  # places of one server, however large
MASK64 = (1 << 64) - 1


def hash64(text: str, turn: int) -> int:
    """Bits that differ everywhere between names and between turns (the finalizer of MurmurHash3)."""
    word = (crc32(text.encode()) + 0x9E3779B97F4A7C15 * (turn + 1)) & MASK64
    word = ((word ^ word >> 33) * 0xFF51AFD7ED558CCD) & MASK64
    word = ((word ^ word >> 33) * 0xC4CEB9FE1A85EC53) & MASK64
    return word ^ word >> 33


def part_count(peers: int) -> int:
    """Into how many parts a round is cut: by the sidecars alone, since a change would move every set."""
    return max(peers // SIDECARS_PER_SERVER, 1)


class Ring:
    """Servers in the order of this sidecar's round; with one part, or where it does not know its number, in
    an order of its own. One that takes nothing new keeps its place, so that a drain moves only the sets
    that it was in; so do some that are gone, since most of them come back."""

    def __init__(self, me: int, peers: int) -> None:
        """``me``: this sidecar's number, from 0; below 0: it is not known."""
        self.me, self.peers = me, peers
        self.parts, self.unit = part_count(peers) if me >= 0 else 1, 1.0
        self.sizes: dict[str, tuple[float, float]] = {}  # with the rank that each has in the own order
        self.listed: set[str] = set()
        self.absent: dict[str, None] = {}  # gone, the longest first
        self.total = 0.0
        self.keys: dict[str, list[float]] = {}
        self.items: list[tuple[float, str]] = []  # sorted; a large server may stand in it more than once

    def put(self, name: str, size: float, rank: float) -> None:
        """A server that may be sent to."""
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
        """A server that takes nothing new, for now or for good."""
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
        """Anew, where the mean size has changed much."""
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
            turn, part = self.me // self.parts * MAX_COPIES, size / self.unit
            copies = int(part) + (hash64(name, -2 - turn) / MASK64 < part - int(part))
            keys = [hash64(name, turn + at) / MASK64 for at in range(min(copies, MAX_COPIES))]
        self.keys[name] = keys
        for key in keys:
            insort(self.items, (key, name))

    def own_start(self) -> int:
        """The place at which this sidecar's own part begins."""
        return -(-(self.me % self.parts) * len(self.items) // self.parts) if self.parts > 1 else 0

    def own_count(self) -> int:
        """How many servers its own part has that are listed; 0 where there is but one part."""
        if self.parts == 1:
            return 0
        first, end = self.own_start(), -(-(self.me % self.parts + 1) * len(self.items) // self.parts)
        return len({name for _, name in self.items[first:end] if name in self.listed})
