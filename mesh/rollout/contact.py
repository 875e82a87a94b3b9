"""Whether a sidecar hears the news as they come, or was behind. No I/O; instants in seconds.

Only who has heard the control processes without a break can say that an item is as new as it looks here. Who
was started, cut off or frozen within the time that the news may take knows no such thing, and takes all at
once: its bound may be near, or over.
"""

from __future__ import annotations

MAX_POLL_GAP_S = (
    0.4  # between two looks, which are a tenth of a second apart: more, and the process stood still
)


class UpdateContact:
    def __init__(self, news_s: float, gap_s: float = MAX_POLL_GAP_S) -> None:
        self.propagation_s, self.max_poll_gap_s = news_s, gap_s
        self._since: float | None = None  # in contact without a break since then
        self._polled_at = float("-inf")

    def poll(self, now: float, heard: bool) -> None:
        """Called several times a second. ``heard``: somebody who holds all that was acknowledged was heard
        just now."""
        if not heard:
            self._since = None
        elif self._since is None or now - self._polled_at > self.max_poll_gap_s:
            self._since = now
        self._polled_at = now

    def is_behind(self, now: float) -> bool:
        if self._since is None or now - self._polled_at > self.max_poll_gap_s:
            return True
        return now - self._since < self.propagation_s
