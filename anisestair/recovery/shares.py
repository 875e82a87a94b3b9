"""Division of file descriptors between the processes of one sidecar. No I/O.

The youngest ready process accepts connections. Its share is the total less what each other process reports
to hold, and less a reserve with which a new process starts. A new process accepts as soon as it is ready,
limited to that reserve; the older one accepts until it reads the new record, then keeps what it holds and
reports that, and the rest belongs to the new one. So some process accepts at every instant, however late a
record is read. The new process reports readiness to the platform once each older one leaves new connections
to it, or has not done so within a timeout. Descriptors of an ended process are free once its lock is
released.
"""

from __future__ import annotations

from typing import NamedTuple

RESERVED_DESCRIPTORS = 48  # left free for a new process: its loop, log, discovery, a few connections
NEWCOMER_DESCRIPTORS = 16  # of these, for connections before it has read any record
READY, ENDING = "ready", "ending"
SILENCE_TIMEOUT_MS = 1000.0  # an older process that yields no sooner is paused, or of another version


class Member(NamedTuple):
    """One process, as its record describes it."""

    born: int  # orders them by age; no two share one
    keeps: int  # descriptors that it limits itself to
    seen: int  # ``born`` of the youngest process that it leaves new connections to; 0: none
    stage: str = "starting"


def others(me: int, members: list[Member]) -> tuple[list[Member], list[Member]]:
    """Return the older and the younger processes."""
    return [item for item in members if item.born < me], [item for item in members if item.born > me]


def share(me: int, total: int, members: list[Member], used: int, accepting: bool) -> int:
    """Return the descriptors that this process may hold, of ``total`` for all. ``members`` are the other
    live processes as last read; ``used`` is what it holds, or may need without accepting connections."""
    if not accepting:
        return max(used, NEWCOMER_DESCRIPTORS)
    return max(
        total - RESERVED_DESCRIPTORS - sum(_held_by(item, me, total) for item in members),
        NEWCOMER_DESCRIPTORS,
    )


def _held_by(one: Member, me: int, total: int) -> int:
    """Return the descriptors that another process may hold. An older one that has not yielded to this process
    may have started to accept and to hold the full share since its last record, also if it had yielded to a
    younger process that has ended."""
    if one.born > me or one.seen == me or one.stage == ENDING:
        return one.keeps
    return total - RESERVED_DESCRIPTORS


def accepts(me: int, members: list[Member], ready: bool) -> bool:
    """Return whether this process accepts connections: it is ready, and knows of no younger ready one."""
    return ready and not any(item.stage == READY for item in others(me, members)[1])


def has_room(me: int, members: list[Member], waited_ms: float) -> bool:
    """Return whether the older processes leave new connections, and descriptors for them, to this process.
    ``waited_ms`` is the time since it became ready."""
    older, _ = others(me, members)
    return waited_ms >= SILENCE_TIMEOUT_MS or all(item.seen == me or item.stage != READY for item in older)
