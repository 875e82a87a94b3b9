"""The budget of further tries, one for all sidecars, kept without talk. No I/O.

The rule: in any window, arrivals at a service beyond the first of each request stay under ``ratio`` times the
requests for it plus ``slack``, over all sidecars. Each keeps to ``ratio`` of its own requests and to its part
of the slack, so the sum keeps to the whole. Half of both is left free: calls that a repeated run makes count
as repeats where they arrive, and are known by their deadline alone (`mesh.admission.repeat_runs`); and one
that starts anew has forgotten what it spent.
"""

from __future__ import annotations

from collections import deque

USED_SHARE = 0.5  # of what the rule gives is used here
WINDOW_SLOTS = 20  # the window is counted in so many parts


class RetryBudget:
    """Of one service at one sidecar. Instants in milliseconds."""

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        """Nothing has been asked for, and nothing spent."""
        self._ratio, self._window, self._slack = ratio, max(window_ms, 1.0), slack
        self._slots: deque[list[float]] = deque(maxlen=WINDOW_SLOTS + 1)  # [index, requests, further]
        self.spent = self.denied = self.charged = 0

    def tune(self, now: float, ratio: float, window_ms: float, slack: float) -> None:
        """The rule is another from now on. What counted by the one before counts as if it were of this
        moment: nothing that was spent is forgotten."""
        requests = sum(item[1] for item in self._slots)
        further = sum(item[2] for item in self._slots)
        self._ratio, self._window, self._slack = ratio, max(window_ms, 1.0), slack
        self._slots.clear()
        slot = self._slot(now)
        slot[1], slot[2] = requests, further

    def _slot(self, now: float) -> list[float]:
        index = now // (self._window / WINDOW_SLOTS)
        if not self._slots or self._slots[-1][0] != index:
            self._slots.append([index, 0.0, 0.0])
        while self._slots[0][0] < index - WINDOW_SLOTS:
            self._slots.popleft()
        return self._slots[-1]

    def record_request(self, now: float) -> None:
        """A client's request for this service."""
        self._slot(now)[1] += 1.0

    def withdraw_request(self, now: float) -> None:
        """One of those requests is taken anew, and counted anew where it goes then."""
        self._slot(now)[1] -= 1.0

    def try_spend(self, now: float, sidecars: int) -> bool:
        """Whether one more arrival beyond the first may be caused now; if so it is counted. ``sidecars``: how
        many share the budget, as far as is known."""
        slot = self._slot(now)
        requests = sum(item[1] for item in self._slots)
        further = sum(item[2] for item in self._slots)
        most = USED_SHARE * (self._ratio * requests + self._slack / max(sidecars, 1))
        if further + 1.0 > most:
            self.denied += 1
            return False
        slot[2] += 1.0
        self.spent += 1
        return True

    def charge(self, now: float) -> None:
        """A first arrival that counts as one beyond it: it is not refused, and leaves less to others."""
        self._slot(now)[2] += 1.0
        self.charged += 1
