"""Tracks whether a sidecar receives updates without delay. No I/O; times in seconds.

Only a sidecar in uninterrupted contact with the control processes knows how recent an update is. One that was
started, disconnected or suspended within the propagation time does not, and activates every update at once,
because the deadline of the update may be near or past.
"""

from __future__ import annotations

MAX_POLL_GAP_S = 0.4  # polls are 0.1 s apart; a longer gap means that the process was suspended


class UpdateContact:
    """The contact of a sidecar with control processes that hold all acknowledged items."""

    def __init__(self, propagation_s: float, max_poll_gap_s: float = MAX_POLL_GAP_S) -> None:
        self.propagation_s, self.max_poll_gap_s = propagation_s, max_poll_gap_s
        self._since: float | None = None  # start of the uninterrupted contact
        self._polled_at = float("-inf")

    def poll(self, now: float, in_contact: bool) -> None:
        """Called several times a second. ``in_contact``: a process that holds all acknowledged items
        has just sent a message."""
        if not in_contact:
            self._since = None
        elif self._since is None or now - self._polled_at > self.max_poll_gap_s:
            self._since = now
        self._polled_at = now

    def is_behind(self, now: float) -> bool:
        """Whether contact is lost, or has lasted for less than the propagation time."""
        if self._since is None or now - self._polled_at > self.max_poll_gap_s:
            return True
        return now - self._since < self.propagation_s
