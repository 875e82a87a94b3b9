"""Work of many calls whose links are lost in one moment, a few at a time: their further tries, each within
the budget, do not come in one moment too."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

BATCH_SIZE, PAUSE_S = 8, 0.01  # done at once, and after each pause


class PacedTurns:
    """The work that waits for its turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Nothing waits yet; pauses are those of ``loop``."""
        self._loop = loop
        self._turns: deque[Callable[[], None]] = deque()
        self._queries: deque[Callable[[], None]] = deque()  # before those: their time to ask in is short
        self._left_in_batch = BATCH_SIZE  # turns before the next pause
        self._pausing = False

    def __len__(self) -> int:
        """How much waits."""
        return len(self._turns) + len(self._queries)

    def submit(self, work: Callable[[], None], question: bool = False) -> None:
        """Does it at once, or after those before it. A ``question`` waits behind other questions alone."""
        line = self._queries if question else self._turns
        if self._left_in_batch and not (self._queries or (line is self._turns and self._turns)):
            self._left_in_batch -= 1
            work()
        else:
            line.append(work)
        if not self._pausing:
            self._pausing = True
            self._loop.call_later(PAUSE_S, self._next_turns)

    def _next_turns(self) -> None:
        self._left_in_batch = BATCH_SIZE
        while (line := self._queries or self._turns) and self._left_in_batch:
            self._left_in_batch -= 1
            line.popleft()()
        self._pausing = self._left_in_batch < BATCH_SIZE
        if self._pausing:
            self._loop.call_later(PAUSE_S, self._next_turns)
