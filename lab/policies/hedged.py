"""The module as the mesh's proxies host it, and the same with hedges: a second try of a call that may be
repeated while its first is still at work.

A hedge goes out once a call has been out for longer than most of its class's recent tries, and no earlier
than leaves a usual try its time within the aim: before that the first try is the better bet, and after that
a second one comes too late as well. What they take is bounded as a share of the calls, and none goes out
while answers say that the service is at its limit. `docs/design/calm_day.md` has what they came to.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from dataclasses import replace

from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import Outcome

KEPT, LEAST = 256, 64  # recent times of a class; before so many nothing is said
SLOW = 0.92  # quantile of the times from which on a try counts as slow
USUAL = 0.8  # a second try is given the time that so many take
WORTH_IT = 0.2  # what is left of the aim must be enough for so many of the second tries
SHARE, SAVED = 0.06, 5.0  # hedges a call, saved up to so many
PAUSE_AIMS = 4.0  # after an upstream had no room, in aims
ATTEMPTS = 4  # of a request at the most, as a route with two trials has


class RecentTimes:
    """The last times of a class's tries, ms, and their quantiles."""

    def __init__(self) -> None:
        """Nothing is known yet."""
        self._order: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, took_ms: float) -> None:
        """Notes one; beyond KEPT the oldest is forgotten."""
        self._order.append(took_ms)
        insort(self._sorted, took_ms)
        if len(self._order) > KEPT:
            del self._sorted[bisect_left(self._sorted, self._order.popleft())]

    def quantile(self, part: float) -> float:
        """The time that this part of them does not exceed. Raises IndexError where there are none."""
        return self._sorted[min(int(part * len(self._sorted)), len(self._sorted) - 1)]

    def wait_ms(self, left_ms: float) -> float | None:
        """How long a first try is waited for, with so much of its aim left; None: there is to be no
        second."""
        if len(self._sorted) < LEAST:
            return None
        wait_ms = max(self.quantile(SLOW), left_ms - self.quantile(USUAL))
        return wait_ms if wait_ms + self.quantile(WORTH_IT) <= left_ms else None


class Mesh(Balancer):
    """With a queue before each upstream, so that nothing is held back at the caller's side."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """As `Balancer`."""
        limits = replace(settings.limits, paced=False, max_attempts=ATTEMPTS, may_cancel=True)
        super().__init__(replace(settings, limits=limits), seed)


class Hedged(Mesh):
    """Its own timers have tokens below 0."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """As `Balancer`."""
        super().__init__(settings, seed)
        self.hedges = 0
        self._times: dict[str, RecentTimes] = {}
        self._waiting: dict[int, str] = {}  # requests by the token of their timer
        self._tokens, self._saved, self._paused_until = 0, SAVED, 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """As `Balancer.handle`, with the hedges that are due."""
        if isinstance(event, api.Timer) and event.token < 0:
            return self._hedge(now, event.token)
        if isinstance(event, api.AttemptEnded):
            self._note(now, event)
        actions = super().handle(now, event)
        if isinstance(event, api.Request) and self.settings.limits.second_copies:
            actions += self._plan(event)
        return actions

    def _plan(self, event: api.Request) -> list[api.Action]:
        """The timer of a hedge, where there is to be one."""
        self._saved = min(self._saved + SHARE, SAVED)
        held, times = self.requests.get(event.request), self._times.get(event.klass)
        if held is None or not held.inflight or times is None or held.klass.effect is not api.Effect.SAFE:
            return []
        wait_ms = times.wait_ms(held.klass.aim_ms)
        if wait_ms is None:
            return []
        self._tokens -= 1
        self._waiting[self._tokens] = event.request
        return [api.SetTimer(wait_ms, self._tokens)]

    def _hedge(self, now: float, token: int) -> list[api.Action]:
        """A second try of what is still out, elsewhere."""
        self.now, self.actions = now, []
        held = self.requests.get(self._waiting.pop(token))
        alone = held is not None and held.open and held.inflight == 1 and len(held.attempts) == 1
        if held is not None and alone and self._saved >= 1.0 and now >= self._paused_until:
            if len(self.working.set) > 1 and self.send(held):
                self._saved -= 1.0
                self.hedges += 1
        return self.actions

    def _note(self, now: float, event: api.AttemptEnded) -> None:
        held = self.requests.get(event.request)
        if held is None:
            return
        if event.attempt == 0 and event.outcome is Outcome.OK:
            self._times.setdefault(held.klass.name, RecentTimes()).add(event.latency_ms)
        if event.outcome is Outcome.FULL:
            self._paused_until = now + PAUSE_AIMS * held.klass.aim_ms
