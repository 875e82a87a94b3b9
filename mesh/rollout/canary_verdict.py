"""Verdict on a new version of a route from few calls: worse, sound, or undecided. No I/O; times in seconds.

The calls and failures of the new version are compared with those of the old version at the same sidecars (or
with all their other calls, if they know too little of the old version). The new version is worse if at least
as many failures would fall to it with a probability below ALPHA if both versions were equal (one-sided
Fisher's exact test). The test runs only at 8, 16, 32 and 64 calls, which limits the number of false
positives; fewer than 8 calls decide nothing. The new version is sound from 16 calls on if its share of
failures exceeds that of the old version by at most a twentieth.
"""

from __future__ import annotations

from math import comb

from msgspec import Struct

CHECKPOINTS = (8, 16, 32, 64)
MIN_SOUND_CALLS, SOUND_MARGIN = 16, 0.05
ALPHA = 1e-4
MAX_TALLY_CALLS = 256  # a running tally is halved here, so that recent calls count most
MAX_ROUTES = 1024  # routes with a tally of their own; others count only among all calls
MAX_WATCHED, WATCH_S = 64, 10.0  # new versions that are watched, and for how long


class Tally(Struct):
    """Calls, and how many of them failed."""

    calls: int = 0
    failures: int = 0

    def add(self, failed: bool) -> None:
        """Counts a call."""
        self.calls += 1
        self.failures += failed
        if self.calls >= MAX_TALLY_CALLS:
            self.calls, self.failures = self.calls // 2, self.failures // 2


def is_worse(new: Tally, old: Tally) -> bool:
    """Whether the new version is worse; False if either version has fewer than CHECKPOINTS[0] calls."""
    if min(new.calls, old.calls) < CHECKPOINTS[0] or new.failures * old.calls <= old.failures * new.calls:
        return False
    total, failures = new.calls + old.calls, new.failures + old.failures
    ways = sum(
        comb(failures, b) * comb(total - failures, new.calls - b)
        for b in range(new.failures, min(failures, new.calls) + 1)
    )
    return ways / comb(total, new.calls) < ALPHA


def is_sound(new: Tally, old: Tally) -> bool:
    """Whether the new version is sound; False if either version has too few calls."""
    if new.calls < MIN_SOUND_CALLS or old.calls < CHECKPOINTS[0]:
        return False
    return new.failures / new.calls <= old.failures / old.calls + SOUND_MARGIN


class CanaryRoute(Struct):
    """A new version of a route since it came into force here."""

    name: str
    version: int
    aim_ms: float  # the longer aim of both versions, so that a shortened aim does not look like a failure
    old: Tally
    new: Tally
    until: float
    reported_worse: bool = False


class CanaryMonitor:
    """Counts a sidecar's own calls by route, and watches new versions."""

    def __init__(self) -> None:
        self._routes: dict[str, tuple[int, Tally]] = {}
        self._all = Tally()
        self.watched: dict[str, CanaryRoute] = {}

    def start(self, now: float, name: str, version: int, aim_ms: float) -> None:
        """Starts to watch a version that has come into force. Beyond MAX_WATCHED the oldest watch ends."""
        _, old = self._routes.get(name, (0, Tally()))
        base = old if old.calls >= CHECKPOINTS[0] else self._all
        self.watched.pop(name, None)
        self.watched[name] = CanaryRoute(
            name, version, aim_ms, Tally(base.calls, base.failures), Tally(), now + WATCH_S
        )
        if len(self.watched) > MAX_WATCHED:
            del self.watched[next(iter(self.watched))]

    def record(
        self, now: float, name: str, version: int, failed: bool, took_ms: float, aim_ms: float
    ) -> CanaryRoute | None:
        """Counts a finished call of a version of a route. Returns the watched version at a checkpoint."""
        watched = self.watched.get(name)
        if watched is not None and watched.version != version:
            watched = None
        is_failure = failed or took_ms > (watched.aim_ms if watched is not None else aim_ms)
        self._all.add(is_failure)
        known = self._routes.get(name)
        if known is None or known[0] < version:
            if known is None and len(self._routes) >= MAX_ROUTES:
                return None
            known = self._routes[name] = (version, Tally())
        if known[0] == version:
            known[1].add(is_failure)
        if watched is None:
            return None
        if now > watched.until:
            del self.watched[name]
            return None
        watched.new.calls += 1
        watched.new.failures += is_failure
        return watched if watched.new.calls in CHECKPOINTS else None
