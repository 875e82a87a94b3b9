"""What few calls say of a new way: worse, sound, or nothing. No I/O; instants in seconds.

The rule for few calls. A new way that was taken n times and failed b times is held against the old way of the
same sidecars (or, where they knew too little of it, against all their other calls). It is worse where so many
failures or more would fall to it with a chance below ALPHA if both ways were alike (Fisher's exact test, one
side). One looks only when n is 8, 16, 32, 64, so there are few looks to be wrong at; fewer than 8 calls say
nothing. It is sound where n is at least 16 and its share of failures is not above the old one's by more than
a twentieth.
"""

from __future__ import annotations

from math import comb

from msgspec import Struct

CHECKPOINTS = (8, 16, 32, 64)
MIN_SOUND_CALLS, SOUND_MARGIN = 16, 0.05
ALPHA = 1e-4
MAX_TALLY_CALLS = 256  # of a running tally; then it is halved, so that it is of late
MAX_ROUTES = 1024  # with a tally of their own; more are counted among all calls alone
MAX_WATCHED, WATCH_S = 64, 10.0  # new ways under watch, and for how long


class Tally(Struct):
    calls: int = 0
    failures: int = 0

    def add(self, bad: bool) -> None:
        self.calls += 1
        self.failures += bad
        if self.calls >= MAX_TALLY_CALLS:
            self.calls, self.failures = self.calls // 2, self.failures // 2


def is_worse(new: Tally, old: Tally) -> bool:
    """Whether the new way is worse, by the rule above. False where either has fewer than LOOKS[0] calls."""
    if min(new.calls, old.calls) < CHECKPOINTS[0] or new.failures * old.calls <= old.failures * new.calls:
        return False
    both, failed = new.calls + old.calls, new.failures + old.failures
    ways = sum(
        comb(failed, b) * comb(both - failed, new.calls - b)
        for b in range(new.failures, min(failed, new.calls) + 1)
    )
    return ways / comb(both, new.calls) < ALPHA


def is_sound(new: Tally, old: Tally) -> bool:
    if new.calls < MIN_SOUND_CALLS or old.calls < CHECKPOINTS[0]:
        return False
    return new.failures / new.calls <= old.failures / old.calls + SOUND_MARGIN


class CanaryRoute(Struct):
    """A new way since it came into force here."""

    name: str
    version: int
    aim_ms: float  # the longer of both ways': an aim that was shortened makes nobody worse
    old: Tally
    new: Tally
    until: float
    reported_worse: bool = False


class CanaryMonitor:
    """A sidecar's own calls, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, tuple[int, Tally]] = {}
        self._all = Tally()
        self.watched: dict[str, CanaryRoute] = {}

    def start(self, now: float, name: str, version: int, aim_ms: float) -> None:
        """That version of that route is in force from now on; its calls are watched. Past MOST_WATCHED the
        oldest watch ends."""
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
        """A call by that version of that route is over. Gives the watch where it is time to look."""
        watched = self.watched.get(name)
        if watched is not None and watched.version != version:
            watched = None
        bad = failed or took_ms > (watched.aim_ms if watched is not None else aim_ms)
        self._all.add(bad)
        known = self._routes.get(name)
        if known is None or known[0] < version:
            if known is None and len(self._routes) >= MAX_ROUTES:
                return None
            known = self._routes[name] = (version, Tally())
        if known[0] == version:
            known[1].add(bad)
        if watched is None:
            return None
        if now > watched.until:
            del self.watched[name]
            return None
        watched.new.calls += 1
        watched.new.failures += bad
        return watched if watched.new.calls in CHECKPOINTS else None
