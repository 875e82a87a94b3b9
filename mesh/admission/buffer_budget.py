"""How many bytes of messages a process may hold, all together, by what they are. No I/O.

Requests' bodies, upstreams' answers, heads and frames that are being read share one pool, of which a part is
kept for each. Whoever wants more than its own part takes of what is nobody's. So uploads never leave answers
without room, nor the other way round; whatever finds none is refused before it is read.

A body is in memory about twice while it goes on: as it came, and as it is written. What is kept free of long
ones is for the short ones, so that a few uploads do not shut out everybody else's requests.
"""

from __future__ import annotations

COPIES = 2  # of a body that is in hand
SHORT = 64 * 1024  # bytes of a body that may use all of the room
LONG_SHARE = 0.75  # of the room that longer ones may fill
# Of the pool, kept for each. The rest, a fifth, is nobody's.
KEPT_BODIES, KEPT_ANSWERS, KEPT_HEADS, KEPT_FRAMES = 0.3, 0.3, 0.1, 0.1


class Pool:
    """The memory that several holdings share, in bytes."""

    def __init__(self, room: int) -> None:
        """Nobody holds anything of ``room`` yet."""
        self.room = room
        self.holdings: list[Holding] = []

    def bears(self, holding: Holding, size: int) -> bool:
        """Whether that holding may have so many bytes of memory more."""
        others = sum(max(one.memory, one.kept) for one in self.holdings if one is not holding)
        return holding.memory + size + others <= self.room


class Holding:
    """Bytes of one kind. ``room`` is the memory for all of them, ``longest`` one's bound, both in bytes; each
    is there ``copies`` times. ``kept`` is the part of the ``pool`` that nobody else gets."""

    def __init__(
        self, room: int, longest: int, copies: int = COPIES, pool: Pool | None = None, kept: int = 0
    ) -> None:
        """Nothing is in hand yet."""
        self.most, self.longest = room // copies, longest
        self.copies, self.kept = copies, kept
        self.held = 0  # bytes in hand
        self._pool = pool
        if pool is not None:
            pool.holdings.append(self)

    @property
    def memory(self) -> int:
        """What all in hand take."""
        return self.held * self.copies

    def take(self, size: int, before: int = 0) -> bool:
        """Whether so many bytes more find room, and are held; ``before``: of the same body, held already."""
        whole = before + size
        most = self.most if whole <= SHORT else self.most * LONG_SHARE
        if whole > self.longest or self.held + size > most:
            return False
        # What is kept for this kind is there, whatever the others have: most calls need ask no further.
        if self._pool is not None and (self.held + size) * self.copies > self.kept:
            if not self._pool.bears(self, size * self.copies):
                return False
        self.held += size
        return True

    def charge(self, size: int) -> None:
        """So many are here already, and count against those to come."""
        self.held += size

    def give(self, size: int) -> None:
        """So many are in hand no more."""
        self.held -= size


class Reservation:
    """Room for one message that grows as it comes. It is given back once, at the latest when nothing refers
    to it any more."""

    __slots__ = ("_holding", "size")

    def __init__(self, holding: Holding) -> None:
        """Nothing of ``holding`` is taken yet."""
        self._holding = holding
        self.size = 0  # bytes

    def grow(self, size: int) -> bool:
        """Whether there is room for so many bytes more, which are then taken."""
        if not self._holding.take(size, self.size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Gives all of it back."""
        size, self.size = self.size, 0
        if size:
            self._holding.give(size)

    def __del__(self) -> None:
        """Nobody refers to its message any more."""
        self.release()


class BufferBudget:
    """All of a process: ``room`` is the memory for messages, in bytes."""

    def __init__(self, room: int) -> None:
        """Divides ``room`` among the kinds."""
        self.pool = Pool(room)
        free = room - int((KEPT_BODIES + KEPT_ANSWERS + KEPT_HEADS + KEPT_FRAMES) * room)

        def holding(share: float, copies: int) -> Holding:
            kept = int(share * room)
            most = kept + free
            return Holding(most, most // copies, copies, self.pool, kept)

        self.bodies = holding(KEPT_BODIES, COPIES)
        self.answers = holding(KEPT_ANSWERS, COPIES)
        self.heads = holding(KEPT_HEADS, 1)
        self.frames = holding(KEPT_FRAMES, 1)

    def told(self) -> dict[str, dict[str, int]]:
        """Bytes of memory of each kind: in hand, kept for it, and what it can have at the most."""
        kinds = {
            "bodies": self.bodies,
            "answers": self.answers,
            "heads": self.heads,
            "frames": self.frames,
        }
        return {
            name: {
                "held_bytes": one.memory,
                "kept_bytes": one.kept,
                "most_bytes": one.most * one.copies,
            }
            for name, one in kinds.items()
        }
