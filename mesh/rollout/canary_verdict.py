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

LOOKS = (8, 16, 32, 64)
GOOD_LEAST, GOOD_MARGIN = 16, 0.05
ALPHA = 1e-4
MOST_COUNTED = 256  # of a running tally; then it is halved, so that it is of late
MOST_ROUTES = 1024  # with a tally of their own; more are counted among all calls alone
MOST_WATCHED, WATCH_S = 64, 10.0  # new ways under watch, and for how long


class Tally(Struct):
    n: int = 0
    bad: int = 0

    def add(self, bad: bool) -> None:
        self.n += 1
        self.bad += bad
        if self.n >= MOST_COUNTED:
            self.n, self.bad = self.n // 2, self.bad // 2


def worse(new: Tally, old: Tally) -> bool:
    """Whether the new way is worse, by the rule above. False where either has fewer than LOOKS[0] calls."""
    if min(new.n, old.n) < LOOKS[0] or new.bad * old.n <= old.bad * new.n:
        return False
    both, failed = new.n + old.n, new.bad + old.bad
    ways = sum(
        comb(failed, b) * comb(both - failed, new.n - b) for b in range(new.bad, min(failed, new.n) + 1)
    )
    return ways / comb(both, new.n) < ALPHA


def sound(new: Tally, old: Tally) -> bool:
    if new.n < GOOD_LEAST or old.n < LOOKS[0]:
        return False
    return new.bad / new.n <= old.bad / old.n + GOOD_MARGIN


class CanaryRoute(Struct):
    """A new way since it came into force here."""

    name: str
    version: int
    aim_ms: float  # the longer of both ways': an aim that was shortened makes nobody worse
    old: Tally
    new: Tally
    until: float
    told_worse: bool = False


class CanaryMonitor:
    """A sidecar's own calls, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, tuple[int, Tally]] = {}
        self._all = Tally()
        self.watched: dict[str, CanaryRoute] = {}

    def begin(self, now: float, name: str, version: int, aim_ms: float) -> None:
        """That version of that route is in force from now on; its calls are watched. Past MOST_WATCHED the
        oldest watch ends."""
        _, old = self._routes.get(name, (0, Tally()))
        base = old if old.n >= LOOKS[0] else self._all
        self.watched.pop(name, None)
        self.watched[name] = CanaryRoute(
            name, version, aim_ms, Tally(base.n, base.bad), Tally(), now + WATCH_S
        )
        if len(self.watched) > MOST_WATCHED:
            del self.watched[next(iter(self.watched))]

    def ended(
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
            if known is None and len(self._routes) >= MOST_ROUTES:
                return None
            known = self._routes[name] = (version, Tally())
        if known[0] == version:
            known[1].add(bad)
        if watched is None:
            return None
        if now > watched.until:
            del self.watched[name]
            return None
        watched.new.n += 1
        watched.new.bad += bad
        return watched if watched.new.n in LOOKS else None
