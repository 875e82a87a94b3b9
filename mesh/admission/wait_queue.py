"""Queue of the calls that wait at the second hop for a slot of its upstream. No I/O; times in milliseconds.

The next free slot goes to the call of the highest rank, and among equal ranks to the last one that arrived:
in an overload the served calls are then served soon, and the others are rejected within their longest wait.
The queue is at the second hop and not at the first hops, because only there all calls for an upstream are
known and a free slot is used at once.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Collection, Hashable, Sequence
from heapq import heappop, heappush
from operator import itemgetter

QueuePosition = tuple[float, int]  # rank, and order of arrival


RANK_PERIOD_MS = 10_000.0  # period over which the lowest rank is determined


class LowestRank:
    """The lowest rank that arrived recently."""

    def __init__(self) -> None:
        self._rank, self._since = math.inf, -math.inf
        self._next = math.inf

    def is_above(self, now: float, rank: float) -> bool:
        """Records a call; returns whether its rank is above the lowest one."""
        if now - self._since > RANK_PERIOD_MS:
            self._rank, self._next, self._since = min(self._next, rank), rank, now
        self._next = min(self._next, rank)
        self._rank = min(self._rank, rank)
        return rank > self._rank


class WaitQueue:
    """Waiting calls by rank, each with the time when its wait ends."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, Hashable]] = []  # in ascending order: the next call is the last
        self._positions: dict[Hashable, QueuePosition] = {}
        self._expiries: list[tuple[float, int, Hashable]] = []  # heap of the times when waits end
        self._count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(
        self, call: Hashable, rank: float, until: float, limit: int, spared: Collection[float] = ()
    ) -> Hashable | None:
        """Adds a call that waits until ``until`` at the longest. Returns None, or, if there are more than
        ``limit`` calls, removes and returns the oldest one of the lowest rank; ranks in ``spared`` are
        passed over unless all calls have such ranks."""
        self._count += 1
        insort(self._waiting, (rank, self._count, call))
        self._positions[call] = (rank, self._count)
        heappush(self._expiries, (until, self._count, call))
        if len(self._waiting) <= max(limit, 0):
            return None
        least = next((entry[2] for entry in self._waiting if entry[0] not in spared), self._waiting[0][2])
        self.remove(least)
        return least

    def pop_next(self, first: Sequence[float] = ()) -> Hashable | None:
        """Removes and returns the next call; ranks in ``first`` have precedence, in their order."""
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
        """Removes a call; False if it is not waiting."""
        position = self._positions.pop(call, None)
        if position is None:
            return False
        self._waiting.remove((*position, call))
        return True

    def pop_expired(self, now: float) -> list[Hashable]:
        """Removes and returns the calls whose wait has ended."""
        found = []
        while self._expiries and (self._expiries[0][0] <= now or not self._is_waiting(self._expiries[0])):
            entry = heappop(self._expiries)
            if self._is_waiting(entry):
                self.remove(entry[2])
                found.append(entry[2])
        return found

    def _is_waiting(self, entry: tuple[float, int, Hashable]) -> bool:
        position = self._positions.get(entry[2])
        return position is not None and position[1] == entry[1]

    def next_expiry(self) -> float | None:
        """When the next wait ends; None if no call waits."""
        while self._expiries and not self._is_waiting(self._expiries[0]):
            heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def clear(self) -> list[Hashable]:
        """Removes and returns all calls, the next one first."""
        found = [call for _, _, call in reversed(self._waiting)]
        self._waiting.clear()
        self._positions.clear()
        self._expiries.clear()
        return found
