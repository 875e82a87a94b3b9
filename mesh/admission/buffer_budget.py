"""Budget of the memory that the messages of a process may take, by kind of message. No I/O.

Request bodies, upstream answers, heads and frames that are being read share one pool, with a reserved part
for each kind. A kind that needs more than its reserved part uses the unreserved rest. So uploads never leave
answers without memory, nor the reverse; a message without memory is refused before it is read.

A body is in memory about twice while it is forwarded: as received, and as written. Long bodies may fill only
a part of their quota, so that a few uploads do not block all other requests.
"""

from __future__ import annotations

BODY_COPIES = 2  # copies of a body while it is forwarded
SHORT_BODY_BYTES = 64 * 1024  # up to this size a body may use the whole quota
LONG_BODY_SHARE = 0.75  # of the quota, for longer bodies
# Reserved shares of the pool. The rest, a fifth, is shared by all kinds.
RESERVED_BODIES, RESERVED_ANSWERS, RESERVED_HEADS, RESERVED_FRAMES = 0.3, 0.3, 0.1, 0.1


class BufferPool:
    """The memory that several quotas share; ``capacity`` is in bytes."""

    def __init__(self, capacity: int) -> None:
        """Nothing is in use yet."""
        self.capacity = capacity
        self.quotas: list[BufferQuota] = []

    def has_room(self, quota: BufferQuota, size: int) -> bool:
        """Whether a quota may use ``size`` more bytes of memory."""
        others = sum(max(one.memory, one.reserved) for one in self.quotas if one is not quota)
        return quota.memory + size + others <= self.capacity


class BufferQuota:
    """The memory of one kind of message, in bytes. ``capacity`` bounds all messages together with their
    ``copies``, ``max_message_bytes`` a single one without them. ``reserved`` is the part of the ``pool`` that
    no other kind can use."""

    def __init__(
        self,
        capacity: int,
        max_message_bytes: int,
        copies: int = BODY_COPIES,
        pool: BufferPool | None = None,
        reserved: int = 0,
    ) -> None:
        """Nothing is in use yet."""
        self.max_bytes, self.max_message_bytes = capacity // copies, max_message_bytes
        self.copies, self.reserved = copies, reserved
        self.held_bytes = 0  # without copies
        self._pool = pool
        if pool is not None:
            pool.quotas.append(self)

    @property
    def memory(self) -> int:
        """Bytes of memory in use, with copies."""
        return self.held_bytes * self.copies

    def acquire(self, size: int, before: int = 0) -> bool:
        """Takes ``size`` bytes if there is room; ``before``: bytes held for the same message already."""
        total = before + size
        limit = self.max_bytes if total <= SHORT_BODY_BYTES else self.max_bytes * LONG_BODY_SHARE
        if total > self.max_message_bytes or self.held_bytes + size > limit:
            return False
        # The reserved part is available whatever the other kinds use, so most calls need not check the pool.
        if self._pool is not None and (self.held_bytes + size) * self.copies > self.reserved:
            if not self._pool.has_room(self, size * self.copies):
                return False
        self.held_bytes += size
        return True

    def charge(self, size: int) -> None:
        """Counts bytes that are in memory already, without a check."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Gives ``size`` bytes back."""
        self.held_bytes -= size


class Reservation:
    """The memory of one message, which grows while the message is received. It is released once, at the
    latest when the reservation is garbage-collected."""

    __slots__ = ("_quota", "size")

    def __init__(self, quota: BufferQuota) -> None:
        """Nothing of ``quota`` is taken yet."""
        self._quota = quota
        self.size = 0  # bytes

    def grow(self, size: int) -> bool:
        """Takes ``size`` more bytes if there is room for them."""
        if not self._quota.acquire(size, self.size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Gives all bytes back."""
        size, self.size = self.size, 0
        if size:
            self._quota.release(size)

    def __del__(self) -> None:
        """Releases what is still held."""
        self.release()


class BufferBudget:
    """The quotas of a process; ``capacity`` is the memory for all messages, in bytes."""

    def __init__(self, capacity: int) -> None:
        """Divides ``capacity`` among the kinds."""
        self.pool = BufferPool(capacity)
        free = capacity - int(
            (RESERVED_BODIES + RESERVED_ANSWERS + RESERVED_HEADS + RESERVED_FRAMES) * capacity
        )

        def quota(share: float, copies: int) -> BufferQuota:
            reserved = int(share * capacity)
            limit = reserved + free
            return BufferQuota(limit, limit // copies, copies, self.pool, reserved)

        self.bodies = quota(RESERVED_BODIES, BODY_COPIES)
        self.answers = quota(RESERVED_ANSWERS, BODY_COPIES)
        self.heads = quota(RESERVED_HEADS, 1)
        self.frames = quota(RESERVED_FRAMES, 1)

    def usage(self) -> dict[str, dict[str, int]]:
        """For each kind its bytes of memory: in use, reserved, and the maximum."""
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
