"""Paces the work for many calls whose links are lost at once, so that their retries, each within the budget,
do not come all at once."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

BATCH_SIZE, PAUSE_S = 8, 0.01  # work items at once and after each pause; seconds


class PacedTurns:
    """Queue of work that is done in batches."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Starts empty; pauses use the time of ``loop``."""
        self._loop = loop
        self._turns: deque[Callable[[], None]] = deque()
        self._queries: deque[Callable[[], None]] = deque()  # done first, because their time is short
        self._left_in_batch = BATCH_SIZE  # items that may still be done before the next pause
        self._pausing = False

    def __len__(self) -> int:
        """The number of waiting items."""
        return len(self._turns) + len(self._queries)

    def submit(self, work: Callable[[], None], query: bool = False) -> None:
        """Does the work now, or after the items before it. A ``query`` waits behind other queries only."""
        queue = self._queries if query else self._turns
        if self._left_in_batch and not (self._queries or (queue is self._turns and self._turns)):
            self._left_in_batch -= 1
            work()
        else:
            queue.append(work)
        if not self._pausing:
            self._pausing = True
            self._loop.call_later(PAUSE_S, self._next_turns)

    def _next_turns(self) -> None:
        self._left_in_batch = BATCH_SIZE
        while (queue := self._queries or self._turns) and self._left_in_batch:
            self._left_in_batch -= 1
            queue.popleft()()
        self._pausing = self._left_in_batch < BATCH_SIZE
        if self._pausing:
            self._loop.call_later(PAUSE_S, self._next_turns)
