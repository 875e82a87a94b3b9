"""Retry budget of a service, shared by all sidecars without coordination. No I/O.

The rule: in any window, arrivals at a service beyond the first of each request stay below ``ratio`` times the
requests for it plus ``slack``, over all sidecars. Each sidecar keeps to ``ratio`` times its own requests plus
its part of the slack, so the sum satisfies the rule. Half of both stays unused: calls made on behalf of a
repeat count as repeats where they arrive and are recognised only by their deadline
(`mesh.admission.repeat_runs`), and a restarted sidecar has lost its count of spent retries.
"""

from __future__ import annotations

from collections import deque

USED_SHARE = 0.5  # of the budget that the rule allows
WINDOW_SLOTS = 20  # parts in which the window is counted


class RetryBudget:
    """The retry budget of one service at one sidecar. Times are milliseconds."""

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        """Nothing has been requested or spent."""
        self._ratio, self._window, self._slack = ratio, max(window_ms, 1.0), slack
        self._slots: deque[list[float]] = deque(maxlen=WINDOW_SLOTS + 1)  # [index, requests, retries]
        self.spent = self.denied = self.charged = 0

    def tune(self, now: float, ratio: float, window_ms: float, slack: float) -> None:
        """Changes the rule. What was counted before counts as of now, so that no spent retry is forgotten."""
        requests = sum(item[1] for item in self._slots)
        retries = sum(item[2] for item in self._slots)
        self._ratio, self._window, self._slack = ratio, max(window_ms, 1.0), slack
        self._slots.clear()
        slot = self._slot(now)
        slot[1], slot[2] = requests, retries

    def _slot(self, now: float) -> list[float]:
        index = now // (self._window / WINDOW_SLOTS)
        if not self._slots or self._slots[-1][0] != index:
            self._slots.append([index, 0.0, 0.0])
        while self._slots[0][0] < index - WINDOW_SLOTS:
            self._slots.popleft()
        return self._slots[-1]

    def record_request(self, now: float) -> None:
        """Counts a client's request for this service."""
        self._slot(now)[1] += 1.0

    def withdraw_request(self, now: float) -> None:
        """Takes a counted request back: it is routed again, and counted for the service that it goes to."""
        self._slot(now)[1] -= 1.0

    def try_spend(self, now: float, sidecars: int) -> bool:
        """Spends one retry if the budget allows it. ``sidecars``: how many are known to share the budget."""
        slot = self._slot(now)
        requests = sum(item[1] for item in self._slots)
        retries = sum(item[2] for item in self._slots)
        limit = USED_SHARE * (self._ratio * requests + self._slack / max(sidecars, 1))
        if retries + 1.0 > limit:
            self.denied += 1
            return False
        slot[2] += 1.0
        self.spent += 1
        return True

    def charge(self, now: float) -> None:
        """Counts a first arrival as a retry: it is not refused, but leaves less for others."""
        self._slot(now)[2] += 1.0
        self.charged += 1
