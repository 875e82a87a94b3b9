"""The balancer with the settings that the mesh's proxies use, and the same with hedged requests: a second
attempt of a repeatable call while its first one is still in flight.

A hedge is sent once a call has taken longer than most recent first attempts of its class, but not before the
point where a typical attempt would still just meet the aim: until then the first attempt is more likely to be
in time, and much later a second one would be late as well. Hedges are limited to a share of the calls, and
none is sent while answers report a full upstream. `docs/design/calm_day.md` has the results.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from dataclasses import replace

from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import Outcome

HISTORY_SIZE, MIN_SAMPLES = 256, 64  # latencies kept of a class; fewer than the minimum give no estimate
SLOW_QUANTILE = 0.92  # an attempt that takes longer than this quantile counts as slow
TYPICAL_QUANTILE = 0.8  # a hedge is given the time within which this share of attempts end
MIN_SUCCESS_QUANTILE = 0.2  # no hedge unless this share of attempts would end within the rest of the aim
HEDGES_PER_CALL, MAX_HEDGE_CREDIT = 0.06, 5.0  # credit that each call adds, and its upper bound
PAUSE_AIMS = 4.0  # no hedges for this multiple of the aim after an upstream was full
MAX_ATTEMPTS = 4  # of a request, as for a route with two trials


class RecentLatencies:
    """Recent latencies of a class's first attempts in ms, and their quantiles."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._order: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, latency_ms: float) -> None:
        """Adds a sample, and drops the oldest beyond HISTORY_SIZE."""
        self._order.append(latency_ms)
        insort(self._sorted, latency_ms)
        if len(self._order) > HISTORY_SIZE:
            del self._sorted[bisect_left(self._sorted, self._order.popleft())]

    def quantile(self, share: float) -> float:
        """The latency that this share of the samples does not exceed. Raises IndexError without samples."""
        return self._sorted[min(int(share * len(self._sorted)), len(self._sorted) - 1)]

    def hedge_delay_ms(self, remaining_ms: float) -> float | None:
        """How long to wait for a first attempt before the hedge, given the time that remains of its aim;
        None for no hedge."""
        if len(self._sorted) < MIN_SAMPLES:
            return None
        delay_ms = max(self.quantile(SLOW_QUANTILE), remaining_ms - self.quantile(TYPICAL_QUANTILE))
        return delay_ms if delay_ms + self.quantile(MIN_SUCCESS_QUANTILE) <= remaining_ms else None


class ProxyBalancer(Balancer):
    """The balancer of the mesh's proxies: the queue is in front of each upstream, so calls are not paced at
    the caller."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """As `Balancer`."""
        limits = replace(settings.limits, paced=False, max_attempts=MAX_ATTEMPTS, may_cancel=True)
        super().__init__(replace(settings, limits=limits), seed)


class HedgingBalancer(ProxyBalancer):
    """With hedged requests. Timers of hedges have negative tokens, those of the balancer positive ones."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """As `Balancer`."""
        super().__init__(settings, seed)
        self.hedges = 0
        self._latencies: dict[str, RecentLatencies] = {}
        self._hedge_timers: dict[int, str] = {}  # request names by the token of the hedge timer
        self._last_token, self._credit, self._paused_until = 0, MAX_HEDGE_CREDIT, 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """As `Balancer.handle`, and sends the hedges that are due."""
        if isinstance(event, api.Timer) and event.token < 0:
            return self._send_hedge(now, event.token)
        if isinstance(event, api.AttemptEnded):
            self._observe(now, event)
        actions = super().handle(now, event)
        if isinstance(event, api.Request) and self.settings.limits.second_copies:
            actions += self._schedule_hedge(event)
        return actions

    def _schedule_hedge(self, event: api.Request) -> list[api.Action]:
        """The timer of the request's hedge, if there is to be one."""
        self._credit = min(self._credit + HEDGES_PER_CALL, MAX_HEDGE_CREDIT)
        pending, latencies = self.requests.get(event.request), self._latencies.get(event.klass)
        if (
            pending is None
            or not pending.inflight
            or latencies is None
            or pending.klass.effect is not api.Effect.SAFE
        ):
            return []
        delay_ms = latencies.hedge_delay_ms(pending.klass.aim_ms)
        if delay_ms is None:
            return []
        self._last_token -= 1
        self._hedge_timers[self._last_token] = event.request
        return [api.SetTimer(delay_ms, self._last_token)]

    def _send_hedge(self, now: float, token: int) -> list[api.Action]:
        """Sends a second attempt to another server if the first one is still in flight."""
        self.now, self.actions = now, []
        pending = self.requests.get(self._hedge_timers.pop(token))
        only_attempt_in_flight = (
            pending is not None and pending.open and pending.inflight == 1 and len(pending.attempts) == 1
        )
        if (
            pending is not None
            and only_attempt_in_flight
            and self._credit >= 1.0
            and now >= self._paused_until
        ):
            if len(self.working.set) > 1 and self.send(pending):
                self._credit -= 1.0
                self.hedges += 1
        return self.actions

    def _observe(self, now: float, event: api.AttemptEnded) -> None:
        """Records the latency of first attempts, and pauses hedges if an upstream was full."""
        pending = self.requests.get(event.request)
        if pending is None:
            return
        if event.attempt == 0 and event.outcome is Outcome.OK:
            self._latencies.setdefault(pending.klass.name, RecentLatencies()).add(event.latency_ms)
        if event.outcome is Outcome.FULL:
            self._paused_until = now + PAUSE_AIMS * pending.klass.aim_ms
