"""Clients: calls that arrive whatever becomes of those before, tries that are given up, and who comes back
when."""

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

OVER_SHARE_WORTH = 0.1  # of a call beyond what its member is entitled to


class ClientsHost(Protocol):
    """What clients need of the simulation that they are part of."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    measures: Measures
    checker: Checker
    sidecars: list[Sidecar]

    def serving_process(self, number: int) -> Sidecar:
        """The process that a call of this sidecar's application comes to."""


class Clients:
    """``hot`` and ``loud`` hold the troubles of the moment: how many times its part a sidecar or member
    sends."""

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
        self.tries_started, self.try_name_prefix = (
            0,
            "",
        )  # one of several processes that play has names of its own
        # What a member may still have at full worth, and since when that is so.
        capacity = scenario.rate() / 1000.0
        self.entitled = [item.entitled * capacity for item in scenario.members]
        self.saved = [(1000.0 * rate, 0.0) for rate in self.entitled]

    def begin(self) -> None:
        sidecars = self.simulation.sidecars
        uneven, rng = self.scenario.sidecars.uneven, self.simulation.streams.of("uneven")
        parts = [lognormal(rng.random(), uneven) for _ in sidecars]
        rate = self.scenario.rate() * self.load.share / 1000.0
        for sidecar, part in zip(sidecars, parts, strict=True):
            own = rate * part / sum(parts)
            if own > 0 and sidecar.is_local:
                stream = self.simulation.streams.of("calls", sidecar.number)
                first = stream.exponential(self.load.burst / own)
                self.clock.schedule(first, self._arrive, sidecar.number, own, stream)

    def _current_load_factor(self, number: int) -> float:
        """The load of the moment, as a multiple of the usual."""
        load, part = self.load, self.clock.now / self.load.period_ms
        times = self.load_factor * self.sidecar_factors.get(number, 1.0)
        if load.shape == "wave":
            times *= 1.0 + load.swing * math.sin(2.0 * math.pi * part)
        elif load.shape == "ramp":
            times *= 1.0 - load.swing + 2.0 * load.swing * self.clock.now / (1000.0 * self.scenario.seconds)
        if self.member_factors:
            loud = sum(
                share * self.member_factors.get(member, 1.0) for member, share in enumerate(self.shares)
            )
            times *= loud / self.member_bounds[-1]
        return max(times, 1e-6)

    def _arrive(self, number: int, rate: float, stream: Stream) -> None:
        gap = stream.exponential(self.load.burst / (rate * self._current_load_factor(number)))
        self.clock.schedule(gap, self._arrive, number, rate, stream)
        for _ in range(self.load.burst):
            self._start_call(number, stream)

    def _start_call(self, number: int, stream: Stream) -> None:
        """The same number of draws for every call, so that a change of one share moves no other draw."""
        klass = self.scenario.classes[stream.pick_index(self.class_bounds)]
        bounds = self.member_bounds
        if self.member_factors:
            bounds = list(accumulate(s * self.member_factors.get(m, 1.0) for m, s in enumerate(self.shares)))
        member = stream.pick_index(bounds)
        drawn = stream.random()
        key = stream.pick_index(self.key_bounds) if self.key_bounds else -1
        part = -math.log(1.0 - drawn) if klass.dist == "exp" else lognormal(drawn, klass.cv)
        call = Call(klass, member, self.clock.due, klass.worth, klass.work_ms * part, key)
        call.draw = stream.random()
        call.ignores_retry_after = stream.random() < self.config.ignoring
        call.impatient = stream.random() < self.config.impatient
        if not self._within_entitlement(member):
            call.worth *= OVER_SHARE_WORTH
        self.simulation.measures.call_started(call)
        self._start_try(number, call)

    def _within_entitlement(self, member: int) -> bool:
        """Whether a call is within what its member is entitled to: a bucket that holds one second's worth."""
        (saved, at), rate, now = self.saved[member], self.entitled[member], self.clock.now
        saved = min(saved + (now - at) * rate, 1000.0 * rate)
        within = saved >= 1.0
        self.saved[member] = (saved - within, now)
        return within

    def _start_try(self, number: int, call: Call) -> None:
        """As clients of the platform do: a try is given up before the call is; the last has what is left."""
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
        left = call.started_at + call.klass.deadline_ms - now
        life = min(call.klass.deadline_ms * config.try_share, left) if call.tries < config.tries else left
        waits = (
            life / 3.0 if call.impatient and call.tries == 1 else life + self.scenario.allow.answer_slack_ms
        )
        self.clock.schedule(waits, self._give_up, client_try, not call.impatient or call.tries > 1)
        sidecar.handle_request(client_try, now + life)

    def _give_up(self, client_try: Try, overdue: bool) -> None:
        if not client_try.open:
            return
        sidecar, deadline = client_try.sidecar, self.clock.now - self.scenario.allow.answer_slack_ms
        stood = sidecar.paused or deadline <= sidecar.resumed_at  # still, when its time was over
        if overdue and sidecar.up and not stood and client_try.incarnation == sidecar.incarnation:
            self.simulation.checker.overdue(sidecar.number, client_try.name)
        sidecar.client_gone(client_try)
        self.try_ended(client_try, "lost", 0.0)

    def try_ended(self, client_try: Try, what: str, advice_ms: float) -> None:
        """The one outcome of a try, as its client sees it."""
        if not client_try.open:
            return
        client_try.open = False
        call, measures = client_try.call, self.simulation.measures
        spent = self.clock.now - call.started_at
        measures.record_outcome(what)
        if what == "served":
            measures.record_served(call, spent)
        else:
            self._schedule_retry(client_try, what, advice_ms)

    def _schedule_retry(self, client_try: Try, what: str, advice_ms: float) -> None:
        call, config = client_try.call, self.config
        # What failed may have run: a client repeats only what is harmless, and what was refused or never
        # taken.
        harmless = what in ("refused", "cut") or call.klass.effect != "unsafe"
        turn = 0.5 + ((call.draw * 7.0 + call.tries * 0.618) % 1.0)
        wait = config.backoff_ms * turn * (2.0 ** (call.tries - 1) if config.growing else 1.0)
        if call.ignores_retry_after:
            wait = config.backoff_ms * 0.5 * (1.0 + turn / 3.0)
        elif what == "refused" and advice_ms > 0 and config.max_retry_after_ms > 0:
            wait = min(advice_ms, config.max_retry_after_ms)
        left = call.started_at + call.klass.deadline_ms - self.clock.now
        if harmless and call.tries < config.tries and wait < left:
            self.clock.schedule(wait, self._start_try, client_try.sidecar.number, call)
