"""Real time for the simulation's models: events run when they are due on the machine's clock."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from lab.clock import TooManyEvents


class WallClock:
    """A clock in milliseconds since the start.

    ``due`` is the time for which the running event was scheduled. What that event schedules counts from
    then, so a busy machine delays events but does not lower their rate."""

    def __init__(self, max_events: int) -> None:
        """``max_events``: a run that needs more raises TooManyEvents."""
        self.events, self._max_events = 0, max_events
        self._loop = asyncio.get_running_loop()
        self._start = time.monotonic()
        self._heap: list[tuple[float, int, Callable[..., object], Any]] = []
        self._sequence, self._due = 0, -1.0
        self._timer: asyncio.TimerHandle | None = None
        self._until = 0.0
        self._finished: asyncio.Future[None] = self._loop.create_future()
        self.max_delay_ms = 0.0  # the longest that any event ran after it was due

    def restart(self, at: float | None = None) -> None:
        """Sets time 0 to now, or to an instant of the machine's monotonic clock; what ran before was
        setup."""
        self._start = time.monotonic() if at is None else at

    @property
    def now(self) -> float:
        """The current time."""
        return (time.monotonic() - self._start) * 1000.0

    @property
    def due(self) -> float:
        """The time that the running event was scheduled for; outside of events, the current time."""
        return self._due if self._due >= 0.0 else self.now

    def schedule(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Calls back after a delay in ms."""
        self._sequence += 1
        due_at = self.due + (delay if delay > 0.0 else 0.0)
        heappush(self._heap, (due_at, self._sequence, callback, args))
        if self._due < 0.0 and self._heap[0][1] == self._sequence:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        when = min(self._heap[0][0], self._until) if self._heap else self._until
        self._timer = self._loop.call_later(max((when - self.now) / 1000.0, 0.0), self._run_due_events)

    def _run_due_events(self) -> None:
        heap, now = self._heap, self.now
        try:
            while heap and heap[0][0] <= min(now, self._until):
                self._due, _, callback, args = heappop(heap)
                self.max_delay_ms = max(self.max_delay_ms, now - self._due)
                self.events += 1
                if self.events > self._max_events:
                    raise TooManyEvents(f"more than {self._max_events} events by {now:.0f} ms")
                callback(*args)
        except Exception as fault:
            if not self._finished.done():
                self._finished.set_exception(fault)
            return
        finally:
            self._due = -1.0
        if now >= self._until:
            if not self._finished.done():
                self._finished.set_result(None)
            return
        self._set_timer()

    async def run_until(self, until: float) -> None:
        """Runs events up to this time. Raises TooManyEvents, and any exception of an event."""
        self._until = until
        self._set_timer()
        try:
            await self._finished
        finally:
            if self._timer is not None:
                self._timer.cancel()
