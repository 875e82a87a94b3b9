"""Calls that wait at the second hop for a place at its upstream. No I/O; instants in milliseconds.

The place that is free next goes to the call of most worth for its work, and among equals to the last that
came: in an overload those that are served are then served soon, and those that are not are told within their
patience. The queue stands here and not at the first hops, since here alone all that comes for an upstream is
seen, and a free place is used at once.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Collection, Hashable, Sequence
from heapq import heappop, heappush
from operator import itemgetter

QueuePosition = tuple[float, int]  # rank, and how late it came


RANK_PERIOD_MS = 10_000.0  # the lowest rank of this time is what others are held against


class LowestRank:
    """The lowest rank that has come of late."""

    def __init__(self) -> None:
        self._rank, self._since = math.inf, -math.inf
        self._next = math.inf

    def is_above(self, now: float, rank: float) -> bool:
        """Notes a call; whether it is above the lowest."""
        if now - self._since > RANK_PERIOD_MS:
            self._rank, self._next, self._since = min(self._next, rank), rank, now
        self._next = min(self._next, rank)
        self._rank = min(self._rank, rank)
        return rank > self._rank


class WaitQueue:
    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, Hashable]] = []  # the next one last
        self._positions: dict[Hashable, QueuePosition] = {}
        self._expiries: list[tuple[float, int, Hashable]] = []  # when patience ends, the first on top
        self._count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(
        self, call: Hashable, rank: float, until: float, most: int, spared: Collection[float] = ()
    ) -> Hashable | None:
        """``call`` waits until that instant at the longest. Gives the one that finds no room among ``most``:
        the least in rank, the longest there, of those whose rank is not ``spared``; None where all have."""
        self._count += 1
        insort(self._waiting, (rank, self._count, call))
        self._positions[call] = (rank, self._count)
        heappush(self._expiries, (until, self._count, call))
        if len(self._waiting) <= max(most, 0):
            return None
        least = next((entry[2] for entry in self._waiting if entry[0] not in spared), self._waiting[0][2])
        self.remove(least)
        return least

    def pop_next(self, first: Sequence[float] = ()) -> Hashable | None:
        """Takes the one whose turn it is out of the line; those of the ranks in ``first`` go before all."""
        if not self._waiting:
            return None
        at = len(self._waiting) - 1
        for rank in first:
            found = bisect_right(self._waiting, rank, key=itemgetter(0)) - 1
            if found >= 0 and self._waiting[found][0] == rank:
                at = found
                break
        _, _, call = self._waiting.pop(at)
        del self._positions[call]
        return call

    def remove(self, call: Hashable) -> bool:
        """Takes that one out; False where it is not there."""
        place = self._positions.pop(call, None)
        if place is None:
            return False
        self._waiting.remove((*place, call))
        return True

    def pop_expired(self, now: float) -> list[Hashable]:
        """Takes out those whose patience has ended."""
        found = []
        while self._expiries and (self._expiries[0][0] <= now or not self._is_waiting(self._expiries[0])):
            entry = heappop(self._expiries)
            if self._is_waiting(entry):
                self.remove(entry[2])
                found.append(entry[2])
        return found

    def _is_waiting(self, entry: tuple[float, int, Hashable]) -> bool:
        place = self._positions.get(entry[2])
        return place is not None and place[1] == entry[1]

    def next_expiry(self) -> float | None:
        """When the next patience ends."""
        while self._expiries and not self._is_waiting(self._expiries[0]):
            heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def clear(self) -> list[Hashable]:
        """All of them, the first in turn first."""
        found = [call for _, _, call in reversed(self._waiting)]
        self._waiting.clear()
        self._positions.clear()
        self._expiries.clear()
        return found
