"""How two or more processes that are one sidecar split its descriptors. No I/O.

The youngest that is ready accepts. It has all but what each of the others says that it holds, and a reserve
with which a newcomer starts. A newcomer that is ready accepts at once, with no more than that reserve; the
older one goes on until it hears of it, then holds to what it has and says so, and what is left is the
newcomer's. So somebody accepts at each instant, however late word comes. The newcomer says yes to the
platform once each older one has left new connections to it, or has been silent for too long. What a process
that died had falls back as its lock is let go.
"""

from __future__ import annotations

from typing import NamedTuple

RESERVED_DESCRIPTORS = (
    48  # descriptors left free for a newcomer to start with: its loop, log, discovery, a few connections
)
NEWCOMER_DESCRIPTORS = 16  # and connections that it may have of these before anybody has told it anything
READY, ENDING = "ready", "ending"
SILENCE_TIMEOUT_MS = 1000.0  # an older process that says nothing for so long is paused, or of another version


class Member(NamedTuple):
    """One process, as its file tells."""

    born: int  # orders them by age; no two share one
    keeps: int  # descriptors that it holds to, all told
    seen: int  # the youngest that it leaves new connections to: ``born`` of that, 0 for none
    stage: str = "starting"


def others(me: int, members: list[Member]) -> tuple[list[Member], list[Member]]:
    """The older and the younger ones."""
    return [item for item in members if item.born < me], [item for item in members if item.born > me]


def share(me: int, total: int, members: list[Member], used: int, accepting: bool) -> int:
    """Descriptors that this process may hold, of ``total`` for all; ``members`` are the others alive, as
    they told when they were last heard, ``used`` is what it holds or may come to hold without accepting
    anything."""
    if not accepting:
        return max(used, NEWCOMER_DESCRIPTORS)
    return max(
        total - RESERVED_DESCRIPTORS - sum(_held_by(item, me, total) for item in members),
        NEWCOMER_DESCRIPTORS,
    )


def _held_by(one: Member, me: int, total: int) -> int:
    """What another may hold. An older one that has not told that it leaves new connections to this process
    may have begun to accept, and to hold all, since it told anything: also one that left them to a younger
    one, which has died."""
    if one.born > me or one.seen == me or one.stage == ENDING:
        return one.keeps
    return total - RESERVED_DESCRIPTORS


def accepts(me: int, members: list[Member], ready: bool) -> bool:
    """Whether this process takes new connections: it is ready, and has heard of no younger one that is."""
    return ready and not any(item.stage == READY for item in others(me, members)[1])


def has_room(me: int, members: list[Member], waited_ms: float) -> bool:
    """Whether the older ones leave new connections, and the descriptors for them, to this process.
    ``waited_ms`` is how long it has been ready."""
    older, _ = others(me, members)
    return waited_ms >= SILENCE_TIMEOUT_MS or all(item.seen == me or item.stage != READY for item in older)
