"""How many bytes of messages a process may hold, all together, by what they are. No I/O.

Requests' bodies, upstreams' answers, heads and frames that are being read share one pool, of which a part is
kept for each. Whoever wants more than its own part takes of what is nobody's. So uploads never leave answers
without room, nor the other way round; whatever finds none is refused before it is read.

A body is in memory about twice while it goes on: as it came, and as it is written. What is kept free of long
ones is for the short ones, so that a few uploads do not shut out everybody else's requests.
"""

from __future__ import annotations

BODY_COPIES = 2  # of a body that is in hand
SHORT_BODY_BYTES = 64 * 1024  # bytes of a body that may use all of the room
LONG_BODY_SHARE = 0.75  # of the room that longer ones may fill
# Of the pool, kept for each. The rest, a fifth, is nobody's.
RESERVED_BODIES, RESERVED_ANSWERS, RESERVED_HEADS, RESERVED_FRAMES = 0.3, 0.3, 0.1, 0.1


class BufferPool:
    """The memory that several holdings share, in bytes."""

    def __init__(self, room: int) -> None:
        """Nobody holds anything of ``room`` yet."""
        self.capacity = room
        self.quotas: list[BufferQuota] = []

    def has_room(self, holding: BufferQuota, size: int) -> bool:
        """Whether that holding may have so many bytes of memory more."""
        others = sum(max(one.memory, one.reserved) for one in self.quotas if one is not holding)
        return holding.memory + size + others <= self.capacity


class BufferQuota:
    """Bytes of one kind. ``room`` is the memory for all of them, ``longest`` one's bound, both in bytes; each
    is there ``copies`` times. ``kept`` is the part of the ``pool`` that nobody else gets."""

    def __init__(
        self,
        room: int,
        longest: int,
        copies: int = BODY_COPIES,
        pool: BufferPool | None = None,
        kept: int = 0,
    ) -> None:
        """Nothing is in hand yet."""
        self.max_bytes, self.max_message_bytes = room // copies, longest
        self.copies, self.reserved = copies, kept
        self.held_bytes = 0  # bytes in hand
        self._pool = pool
        if pool is not None:
            pool.quotas.append(self)

    @property
    def memory(self) -> int:
        """What all in hand take."""
        return self.held_bytes * self.copies

    def acquire(self, size: int, before: int = 0) -> bool:
        """Whether so many bytes more find room, and are held; ``before``: of the same body, held already."""
        whole = before + size
        most = self.max_bytes if whole <= SHORT_BODY_BYTES else self.max_bytes * LONG_BODY_SHARE
        if whole > self.max_message_bytes or self.held_bytes + size > most:
            return False
        # What is kept for this kind is there, whatever the others have: most calls need ask no further.
        if self._pool is not None and (self.held_bytes + size) * self.copies > self.reserved:
            if not self._pool.has_room(self, size * self.copies):
                return False
        self.held_bytes += size
        return True

    def charge(self, size: int) -> None:
        """So many are here already, and count against those to come."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """So many are in hand no more."""
        self.held_bytes -= size


class Reservation:
    """Room for one message that grows as it comes. It is given back once, at the latest when nothing refers
    to it any more."""

    __slots__ = ("_quota", "size")

    def __init__(self, holding: BufferQuota) -> None:
        """Nothing of ``holding`` is taken yet."""
        self._quota = holding
        self.size = 0  # bytes

    def grow(self, size: int) -> bool:
        """Whether there is room for so many bytes more, which are then taken."""
        if not self._quota.acquire(size, self.size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Gives all of it back."""
        size, self.size = self.size, 0
        if size:
            self._quota.release(size)

    def __del__(self) -> None:
        """Nobody refers to its message any more."""
        self.release()


class BufferBudget:
    """All of a process: ``room`` is the memory for messages, in bytes."""

    def __init__(self, room: int) -> None:
        """Divides ``room`` among the kinds."""
        self.pool = BufferPool(room)
        free = room - int((RESERVED_BODIES + RESERVED_ANSWERS + RESERVED_HEADS + RESERVED_FRAMES) * room)

        def holding(share: float, copies: int) -> BufferQuota:
            kept = int(share * room)
            most = kept + free
            return BufferQuota(most, most // copies, copies, self.pool, kept)

        self.bodies = holding(RESERVED_BODIES, BODY_COPIES)
        self.answers = holding(RESERVED_ANSWERS, BODY_COPIES)
        self.heads = holding(RESERVED_HEADS, 1)
        self.frames = holding(RESERVED_FRAMES, 1)

    def usage(self) -> dict[str, dict[str, int]]:
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
                "kept_bytes": one.reserved,
                "most_bytes": one.max_bytes * one.copies,
            }
            for name, one in kinds.items()
        }
