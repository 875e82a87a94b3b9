"""How many bytes of bodies a process may hold, all together. No I/O.

A body is in memory about twice while it goes on: as it came, and as it is written. What is kept free of long
ones is for the short ones, so that a few uploads do not shut out everybody else's requests.
"""

from __future__ import annotations

COPIES = 2  # of a body that is in hand
SHORT = 64 * 1024  # bytes of a body that may use all of the room
LONG_SHARE = 0.75  # of the room that longer ones may fill


class Holding:
    """``room`` is the memory for all of them, ``longest`` one body's bound, both in bytes."""

    def __init__(self, room: int, longest: int) -> None:
        self.most, self.longest = room // COPIES, longest
        self.held = 0  # bytes of bodies in hand

    def take(self, size: int, before: int = 0) -> bool:
        """Whether so many bytes more find room, and are held; ``before``: of the same body, held already."""
        whole = before + size
        most = self.most if whole <= SHORT else self.most * LONG_SHARE
        if whole > self.longest or self.held + size > most:
            return False
        self.held += size
        return True

    def give(self, size: int) -> None:
        """So many are in hand no more."""
        self.held -= size
