"""A loop on real sockets whose clock skips what would be waited for: an hour takes as long as its work."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

LOOKS = 3  # at the sockets, before the clock moves: loopback delivers at once, but not in the same call


class _Skipping(selectors.DefaultSelector):
    """Does not wait: what would have been waited for is added to ``skipped``, in seconds."""

    skipped = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """The events that are there now, or none and the clock has moved on."""
        for _ in range(LOOKS):
            events = super().select(0)
            if events:
                return events
        if timeout is None:
            raise RuntimeError("nothing is due and nothing can come")
        self.skipped += max(timeout, 0.0)
        return []


class SkippingLoop(asyncio.SelectorEventLoop):
    """Its clock goes on by the work that is done, and by what would be waited for."""

    def __init__(self) -> None:
        """Begins at the time of the real clock."""
        self._skipping = _Skipping()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Seconds, steady."""
        return super().time() + self._skipping.skipped
