"""Real time for the simulation's models: the same plans as in virtual time, carried out when they are due."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from lab.clock import TooManyEvents


class WallClock:
    """Milliseconds since the start. ``due`` is the instant for which what runs now was planned: what it
    plans in turn counts from there, so that a busy machine delays things but does not thin them out."""

    def __init__(self, most_events: int) -> None:
        self.events, self._most = 0, most_events
        self._loop = asyncio.get_running_loop()
        self._start = time.monotonic()
        self._heap: list[tuple[float, int, Callable[..., object], Any]] = []
        self._count, self._due = 0, -1.0
        self._alarm: asyncio.TimerHandle | None = None
        self._until = 0.0
        self._ended: asyncio.Future[None] = self._loop.create_future()
        self.most_late_ms = 0.0  # the latest that anything was

    def restart(self, at: float | None = None) -> None:
        """0 is now, or that instant of the machine's monotonic clock: what took place before was setting
        up."""
        self._start = time.monotonic() if at is None else at

    @property
    def now(self) -> float:
        return (time.monotonic() - self._start) * 1000.0

    @property
    def due(self) -> float:
        return self._due if self._due >= 0.0 else self.now

    def schedule(self, delay: float, what: Callable[..., object], *args: object) -> None:
        self._count += 1
        instant = self.due + (delay if delay > 0.0 else 0.0)
        heappush(self._heap, (instant, self._count, what, args))
        if self._due < 0.0 and self._heap[0][1] == self._count:
            self._arm()

    def _arm(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        when = min(self._heap[0][0], self._until) if self._heap else self._until
        self._alarm = self._loop.call_later(max((when - self.now) / 1000.0, 0.0), self._ring)

    def _ring(self) -> None:
        heap, now = self._heap, self.now
        try:
            while heap and heap[0][0] <= min(now, self._until):
                self._due, _, what, args = heappop(heap)
                self.most_late_ms = max(self.most_late_ms, now - self._due)
                self.events += 1
                if self.events > self._most:
                    raise TooManyEvents(f"more than {self._most} events by {now:.0f} ms")
                what(*args)
        except Exception as fault:
            if not self._ended.done():
                self._ended.set_exception(fault)
            return
        finally:
            self._due = -1.0
        if now >= self._until:
            if not self._ended.done():
                self._ended.set_result(None)
            return
        self._arm()

    async def run_until(self, until: float) -> None:
        """Raises TooManyEvents, and whatever a plan raised."""
        self._until = until
        self._arm()
        try:
            await self._ended
        finally:
            if self._alarm is not None:
                self._alarm.cancel()
