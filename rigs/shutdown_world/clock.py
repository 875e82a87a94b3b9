"""An event loop on real sockets in virtual time: its clock skips every wait and does not move otherwise. Runs
are nearly reproducible, and take only the time of their computations."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

POLLS = 3  # of the sockets before the clock moves: loopback delivers at once, but not in the same call
START_S = 1000.0
ITERATION_S = 0.00002  # by which each iteration of the loop advances the clock


class _SkippingSelector(selectors.DefaultSelector):
    """A selector that does not wait: it advances ``now`` by the timeout, in seconds."""

    now = START_S

    def select(self, timeout: float | None = None) -> Any:
        """Returns the events that are ready, or advances the clock and returns none."""
        self.now += ITERATION_S
        for _ in range(POLLS):
            events = super().select(0)
            if events:
                return sorted(events, key=lambda event: event[0].fd)
        if timeout is None:
            raise RuntimeError("no timer is set and no socket is ready: the loop would block for ever")
        self.now += max(timeout, 0.0)
        return []


class SkippingLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock."""

    def __init__(self) -> None:
        """Starts the clock at START_S."""
        self._skipping_selector = _SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._skipping_selector.now
