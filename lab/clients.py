"""Model of the clients: an open-loop load of calls, the timeouts of their tries, and their retries."""

from __future__ import annotations

import math
from itertools import accumulate
from typing import Protocol

import numpy as np

from lab.calls import Call, Try
from lab.checker import Checker
from lab.clock import Clock
from lab.measures import Measures
from lab.scenario_tables import Scenario
from lab.sidecars import Sidecar
from lab.streams import Stream, Streams, lognormal

OVER_SHARE_WORTH = 0.1  # factor on the worth of a call beyond its member's entitlement


class ClientsHost(Protocol):
    """The parts of the simulation that clients use."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    measures: Measures
    checker: Checker
    sidecars: list[Sidecar]

    def serving_process(self, number: int) -> Sidecar:
        """Returns the process that receives the next request for this sidecar."""


class Clients:
    """All clients. ``load_factor``, ``sidecar_factors`` and ``member_factors`` multiply the usual load: in
    total, by sidecar and by member. Troubles set them."""

    def __init__(self, simulation: ClientsHost) -> None:
        self.simulation, self.clock, scenario = simulation, simulation.clock, simulation.scenario
        self.config, self.load, self.scenario = scenario.clients, scenario.load, scenario
        self.class_bounds = list(accumulate(item.share for item in scenario.classes))
        self.shares = [item.share for item in scenario.members]
        self.member_bounds = list(accumulate(self.shares))
        self.load_factor = 1.0
        self.sidecar_factors: dict[int, float] = {}
        self.member_factors: dict[int, float] = {}
        count = scenario.load.keys.count
        ranks = np.arange(1, count + 1, dtype=np.float64) ** -scenario.load.keys.zipf
        self.key_bounds: list[float] = np.cumsum(ranks).tolist()
        # Over sockets, each process of a run has its own prefix.
        self.tries_started, self.try_name_prefix = 0, ""
        # Token buckets by member: calls left at full worth, and the instant of the last refill.
        capacity = scenario.capacity_per_s() / 1000.0
        self.entitled = [item.entitled * capacity for item in scenario.members]
        self.tokens = [(1000.0 * rate, 0.0) for rate in self.entitled]

    def begin(self) -> None:
        """Schedules the first calls of each sidecar's clients."""
        sidecars = self.simulation.sidecars
        uneven, rng = self.scenario.sidecars.uneven, self.simulation.streams.of("uneven")
        parts = [lognormal(rng.random(), uneven) for _ in sidecars]
        rate = self.scenario.capacity_per_s() * self.load.share / 1000.0
        for sidecar, part in zip(sidecars, parts, strict=True):
            sidecar_rate = rate * part / sum(parts)
            if sidecar_rate > 0 and sidecar.is_local:
                stream = self.simulation.streams.of("calls", sidecar.number)
                first = stream.exponential(self.load.burst / sidecar_rate)
                self.clock.schedule(first, self._arrive, sidecar.number, sidecar_rate, stream)

    def _current_load_factor(self, number: int) -> float:
        """Returns the present load of a sidecar as a multiple of the usual."""
        load, part = self.load, self.clock.now / self.load.period_ms
        factor = self.load_factor * self.sidecar_factors.get(number, 1.0)
        if load.shape == "wave":
            factor *= 1.0 + load.swing * math.sin(2.0 * math.pi * part)
        elif load.shape == "ramp":
            factor *= 1.0 - load.swing + 2.0 * load.swing * self.clock.now / (1000.0 * self.scenario.seconds)
        if self.member_factors:
            mean_factor = sum(
                share * self.member_factors.get(member, 1.0) for member, share in enumerate(self.shares)
            )
            factor *= mean_factor / self.member_bounds[-1]
        return max(factor, 1e-6)

    def _arrive(self, number: int, rate: float, stream: Stream) -> None:
        gap = stream.exponential(self.load.burst / (rate * self._current_load_factor(number)))
        self.clock.schedule(gap, self._arrive, number, rate, stream)
        for _ in range(self.load.burst):
            self._start_call(number, stream)

    def _start_call(self, number: int, stream: Stream) -> None:
        """Starts a call. Each call takes the same number of draws, so that a changed share shifts no other
        draw."""
        klass = self.scenario.classes[stream.pick_index(self.class_bounds)]
        bounds = self.member_bounds
        if self.member_factors:
            bounds = list(accumulate(s * self.member_factors.get(m, 1.0) for m, s in enumerate(self.shares)))
        member = stream.pick_index(bounds)
        work_draw = stream.random()
        key = stream.pick_index(self.key_bounds) if self.key_bounds else -1
        work_factor = -math.log(1.0 - work_draw) if klass.dist == "exp" else lognormal(work_draw, klass.cv)
        call = Call(klass, member, self.clock.due, klass.worth, klass.work_ms * work_factor, key)
        call.draw = stream.random()
        call.ignores_retry_after = stream.random() < self.config.ignoring
        call.impatient = stream.random() < self.config.impatient
        if not self._within_entitlement(member):
            call.worth *= OVER_SHARE_WORTH
        self.simulation.measures.call_started(call)
        self._start_try(number, call)

    def _within_entitlement(self, member: int) -> bool:
        """Whether a call is within its member's entitlement: a token bucket that holds one second of it."""
        (tokens, at), rate, now = self.tokens[member], self.entitled[member], self.clock.now
        tokens = min(tokens + (now - at) * rate, 1000.0 * rate)
        within = tokens >= 1.0
        self.tokens[member] = (tokens - within, now)
        return within

    def _start_try(self, number: int, call: Call) -> None:
        """Sends a try, as the platform's clients do: a try times out before its call does, except that the
        last try has all the remaining time."""
        now, config, sidecar = self.clock.now, self.config, self.simulation.serving_process(number)
        call.tries += 1
        self.tries_started += 1
        client_try = Try(
            f"c{self.try_name_prefix}{self.tries_started}", call, sidecar, config.marked and call.tries > 1
        )
        self.simulation.measures.bin().offered += 1
        if not sidecar.up:
            client_try.open = False
            self._schedule_retry(client_try, "cut", 0.0)
            return
        remaining = call.started_at + call.klass.deadline_ms - now
        timeout = (
            min(call.klass.deadline_ms * config.try_share, remaining)
            if call.tries < config.tries
            else remaining
        )
        waits = (
            timeout / 3.0
            if call.impatient and call.tries == 1
            else timeout + self.scenario.allow.answer_slack_ms
        )
        self.clock.schedule(waits, self._give_up, client_try, not call.impatient or call.tries > 1)
        sidecar.handle_request(client_try, now + timeout)

    def _give_up(self, client_try: Try, overdue: bool) -> None:
        if not client_try.open:
            return
        sidecar, deadline = client_try.sidecar, self.clock.now - self.scenario.allow.answer_slack_ms
        was_paused = sidecar.paused or deadline <= sidecar.resumed_at  # when the try's deadline passed
        if overdue and sidecar.up and not was_paused and client_try.incarnation == sidecar.incarnation:
            self.simulation.checker.overdue(sidecar.number, client_try.name)
        sidecar.client_gone(client_try)
        self.try_ended(client_try, "lost", 0.0)

    def try_ended(self, client_try: Try, outcome: str, advice_ms: float) -> None:
        """Called with the outcome of a try as its client sees it; later calls are ignored."""
        if not client_try.open:
            return
        client_try.open = False
        call, measures = client_try.call, self.simulation.measures
        latency_ms = self.clock.now - call.started_at
        measures.record_outcome(outcome)
        if outcome == "served":
            measures.record_served(call, latency_ms)
        else:
            self._schedule_retry(client_try, outcome, advice_ms)

    def _schedule_retry(self, client_try: Try, outcome: str, advice_ms: float) -> None:
        call, config = client_try.call, self.config
        # A failed try may have run: a client repeats it only if that is safe, or if it was refused or never
        # accepted.
        may_repeat = outcome in ("refused", "cut") or call.klass.effect != "unsafe"
        jitter = 0.5 + ((call.draw * 7.0 + call.tries * 0.618) % 1.0)
        wait = config.backoff_ms * jitter * (2.0 ** (call.tries - 1) if config.growing else 1.0)
        if call.ignores_retry_after:
            wait = config.backoff_ms * 0.5 * (1.0 + jitter / 3.0)
        elif outcome == "refused" and advice_ms > 0 and config.max_retry_after_ms > 0:
            wait = min(advice_ms, config.max_retry_after_ms)
        remaining = call.started_at + call.klass.deadline_ms - self.clock.now
        if may_repeat and call.tries < config.tries and wait < remaining:
            self.clock.schedule(wait, self._start_try, client_try.sidecar.number, call)
