"""Work of many calls whose links are lost in one moment, a few at a time: their further tries, each within
the budget, do not come in one moment too."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

AT_ONCE, PACE_S = 8, 0.01  # done at once, and after each pause


class PacedTurns:
    """The work that waits for its turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Nothing waits yet; pauses are those of ``loop``."""
        self._loop = loop
        self._turns: deque[Callable[[], None]] = deque()
        self._questions: deque[Callable[[], None]] = deque()  # before those: their time to ask in is short
        self._free = AT_ONCE  # turns before the next pause
        self._pausing = False

    def __len__(self) -> int:
        """How much waits."""
        return len(self._turns) + len(self._questions)

    def take(self, work: Callable[[], None], question: bool = False) -> None:
        """Does it at once, or after those before it. A ``question`` waits behind other questions alone."""
        line = self._questions if question else self._turns
        if self._free and not (self._questions or (line is self._turns and self._turns)):
            self._free -= 1
            work()
        else:
            line.append(work)
        if not self._pausing:
            self._pausing = True
            self._loop.call_later(PACE_S, self._next_turns)

    def _next_turns(self) -> None:
        self._free = AT_ONCE
        while (line := self._questions or self._turns) and self._free:
            self._free -= 1
            line.popleft()()
        self._pausing = self._free < AT_ONCE
        if self._pausing:
            self._loop.call_later(PACE_S, self._next_turns)
