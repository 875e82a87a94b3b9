"""Virtual time: a queue of scheduled events, executed in the order of their instants.

Events of one instant are executed in the order in which they were scheduled. Nothing guarantees that order in
reality, so a run can also use the reverse order: a policy that depends on the order gives different results.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Literal

Ties = Literal["first", "last"]


class TooManyEvents(Exception):
    """The run exceeded its limit on events: a policy schedules events endlessly, or the limit is too low."""


class Clock:
    """The clock of a run, in milliseconds from its start."""

    __slots__ = ("now", "events", "_max_events", "_heap", "_count", "_step")

    def __init__(self, max_events: int, ties: Ties = "first") -> None:
        self.now = 0.0
        self.events = 0
        self._max_events, self._heap = max_events, list[tuple[float, int, Callable[..., object], Any]]()
        self._count, self._step = 0, 1 if ties == "first" else -1

    @property
    def due(self) -> float:
        """The instant for which the current event was scheduled. In virtual time that is ``now``."""
        return self.now

    def schedule(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Schedules ``callback(*args)`` after ``delay`` ms. If the delay is not positive, it runs at this
        instant, but after the current event."""
        self._count += self._step
        heappush(self._heap, (self.now + (delay if delay > 0.0 else 0.0), self._count, callback, args))

    def run(self, until: float) -> None:
        """Executes the events up to this instant. Raises TooManyEvents at the limit."""
        heap, pop, remaining = self._heap, heappop, self._max_events - self.events
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = pop(heap)
            callback(*args)
            remaining -= 1
            if remaining <= 0:
                self.events = self._max_events
                raise TooManyEvents(f"more than {self._max_events} events by {self.now:.0f} ms")
        self.events, self.now = self._max_events - remaining, until
