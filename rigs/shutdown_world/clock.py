"""A loop on real sockets in virtual time: its clock skips what would be waited for, and nothing else moves
it. A play goes much the same way each time, and as fast as its work."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

LOOKS = 3  # at the sockets, before the clock moves: loopback delivers at once, but not in the same call
BEGINS_S = 1000.0
ROUND_S = 0.00002  # what a round of the loop takes


class _Skipping(selectors.DefaultSelector):
    """Does not wait: ``now`` moves on by what would have been waited for, in seconds."""

    now = BEGINS_S

    def select(self, timeout: float | None = None) -> Any:
        """The events that are there now, or none and the clock has moved on."""
        self.now += ROUND_S
        for _ in range(LOOKS):
            events = super().select(0)
            if events:
                return sorted(events, key=lambda event: event[0].fd)
        if timeout is None:
            raise RuntimeError("nothing is due and nothing can come")
        self.now += max(timeout, 0.0)
        return []


class SkippingLoop(asyncio.SelectorEventLoop):
    """Its clock is virtual."""

    def __init__(self) -> None:
        """Begins at BEGINS_S."""
        self._skipping = _Skipping()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Seconds, steady."""
        return self._skipping.now
