"""Virtual time: what is due, in order of its instant; at one instant, first planned first done.

That order is the stated one. Nothing in the world promises it, so a play can be made with the other: at one
instant last planned, first done. A policy whose results hang on it is told apart by playing both.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Literal

Ties = Literal["first", "last"]


class TooManyEvents(Exception):
    """More happened than a play may hold: a policy that feeds itself events, or a bound set too low."""


class Clock:
    """Milliseconds from the play's start."""

    __slots__ = ("now", "events", "_most", "_heap", "_count", "_step")

    def __init__(self, most_events: int, ties: Ties = "first") -> None:
        self.now = 0.0
        self.events = 0
        self._most, self._heap = most_events, list[tuple[float, int, Callable[..., object], Any]]()
        self._count, self._step = 0, 1 if ties == "first" else -1

    @property
    def due(self) -> float:
        """The instant for which what runs now was planned: in virtual time that is now."""
        return self.now

    def schedule(self, delay: float, what: Callable[..., object], *args: object) -> None:
        """``what(*args)`` after ``delay`` ms; at once, but after what is being done now, where that is not
        above 0."""
        self._count += self._step
        heappush(self._heap, (self.now + (delay if delay > 0.0 else 0.0), self._count, what, args))

    def run(self, until: float) -> None:
        """Raises TooManyEvents where more happens than the bound allows."""
        heap, pop, left = self._heap, heappop, self._most - self.events
        while heap and heap[0][0] <= until:
            self.now, _, what, args = pop(heap)
            what(*args)
            left -= 1
            if left <= 0:
                self.events = self._most
                raise TooManyEvents(f"more than {self._most} events by {self.now:.0f} ms")
        self.events, self.now = self._most - left, until
