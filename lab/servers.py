"""A server as the simulation sees it: workers, a queue, a cold start, falls, slow states, pauses and silence.

A call's speed is that of the moment in which a worker takes it: what changes while it runs counts from the
next.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from hareloom import interface as api
from hareloom.interface import Outcome
from lab.checker import Checker
from lab.clock import Clock
from lab.evenness import Evenness
from lab.measures import Measures
from lab.scenario_tables import Kind, Scenario
from lab.streams import Streams

UP, DEAD, SILENT = "up", "dead", "silent"


class AttemptSidecar(Protocol):
    """What an attempt needs of the sidecar that sent it."""

    number: int
    zone: str

    def delay(self, server: Server) -> float:
        """The time of one message to a server, one way, in ms."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """The attempt has come to this end, as the sidecar sees it."""


class ServerEvents(Protocol):
    """Who notices that servers start and end."""

    def server_started(self, server: Server) -> None:
        """A server is up."""

    def server_stopped(self, server: Server, silent: bool) -> None:
        """A server has stopped, with its connections open where ``silent``."""


class ServerHost(Protocol):
    """What a server needs of the simulation that it is part of."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    measures: Measures
    checker: Checker
    evenness: Evenness

    @property
    def discovery(self) -> ServerEvents:
        """Who is told of starts and ends."""

    def server_fell(self, server: Server) -> None:
        """A server was pushed over."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt's answer, or its end, leaves the server."""


class Attempt:
    """One attempt on its way, from the send to what comes of it."""

    __slots__ = (
        "sidecar",
        "request",
        "number",
        "server",
        "sent",
        "work",
        "key",
        "klass",
        "open",
        "epoch",
        "state",
        "ends",
        "opened",
    )

    def __init__(
        self,
        sidecar: AttemptSidecar,
        request: str,
        number: int | str,
        server: Server,
        sent: float,
        work: float,
        key: int,
        klass: str,
    ) -> None:
        self.sidecar, self.request, self.number, self.server = sidecar, request, number, server
        self.sent, self.work, self.key, self.klass = sent, work, key, klass
        self.open = True  # its sidecar still waits for it
        self.epoch = -1  # the server's life to which its connection goes; -1: it has none
        self.state = ""  # at the server: "waiting", "running", or neither
        self.ends = 0.0  # when it is done, once it runs
        self.opened = 0.0  # when its connection was


class Server:
    """``work`` and spans in ms; ``peak`` is the most that came, as a multiple of what it could do."""

    def __init__(
        self, simulation: ServerHost, number: int, kind: Kind, name: str, cold: bool = False
    ) -> None:
        made = simulation.scenario.servers
        self.simulation, self.clock, self.config, self.kind = simulation, simulation.clock, made, kind
        self.number, self.name = number, name
        self.zone = simulation.scenario.network.zones[number % len(simulation.scenario.network.zones)]
        self.cell = number // made.cell
        rng = simulation.streams.of("server", name)
        spread = made.speed_cv * math.sqrt(3.0)  # an even draw of that coefficient of variation
        self.speed = max(kind.speed * rng.uniform(1.0 - spread, 1.0 + spread), 0.05)
        self.can_choke = rng.random() < made.choke.share
        self.rng = rng
        self.queue_capacity = kind.workers * made.queue
        self.state, self.epoch = UP, 0
        self.started_at = self.clock.now if cold else -math.inf
        self.reported_start: float | None = self.clock.now if cold else None
        self.running, self.waiting = 0, deque[Attempt]()
        self.open_attempts: set[Attempt] = set()
        self.connections = 0
        self.slow, self.errors = 1.0, made.error_share
        self.is_choked, self.choked_since, self.crowded_since, self.idle_since = (
            False,
            0.0,
            math.inf,
            math.inf,
        )
        self.paused_until = 0.0
        self.recent_arrivals, self.recent_work = deque[tuple[float, float]](), 0.0
        self.peak, self.falls = 0.0, 0
        self.cached_keys: dict[int, float] = {}
        if made.pause_every_ms > 0:
            self.clock.schedule(rng.exponential(made.pause_every_ms), self._pause)
        simulation.evenness.joins(number, kind.workers * self.speed)
        self._report_load()
        if cold:
            self._start_warm_up()

    def _report_load(self) -> None:
        """Tells what it has in hand."""
        workers = self.kind.workers if self.state == UP else 0
        self.simulation.evenness.moved(self.clock.now, self.number, workers, self.running, len(self.waiting))

    def _start_warm_up(self) -> None:
        self.mark("cold", True)
        self.clock.schedule(self.config.warm_up_ms, self._warm_up_done, self.epoch)

    def _warm_up_done(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.mark("cold", False)

    def mark(self, reason: str, unhealthy: bool) -> None:
        """From now on it is not to be counted on, for this reason, or no longer for it."""
        self.simulation.evenness.mark(self.clock.now, self.number, reason, unhealthy)

    def location(self) -> tuple[str, str, int]:
        """Its name, zone and cell."""
        return self.name, self.zone, self.cell

    def entry(self, state: api.ServerState) -> api.ServerEntry:
        return api.ServerEntry(
            self.name, state, self.zone, self.cell, self.kind.name, self._size(), self.reported_start
        )

    def _size(self) -> float:
        """As registered: workers beside those of the first kind; true speeds are not told."""
        return self.kind.workers / self.config.kinds[0].workers

    def warm_fraction(self) -> float:
        """The share of its capacity that it has."""
        age = self.clock.now - self.started_at
        if age >= self.config.warm_up_ms:
            return 1.0
        return self.config.cold_share + (1.0 - self.config.cold_share) * age / self.config.warm_up_ms

    # What comes

    def arrive(self, attempt: Attempt) -> None:
        """The last byte of a request is here."""
        if self.state != UP or attempt.epoch != self.epoch:
            if self.state != SILENT:
                self.simulation.reply(attempt, Outcome.RESET)
            return
        self.simulation.evenness.came(self.clock.now, self.number)
        work = self._work_with_cache(attempt)
        self.record_load(work)
        if self.state != UP:
            return  # it fell over by this one; what it held was reset
        if self.errors > 0 and self.rng.random() < self.errors:
            self.simulation.reply(attempt, Outcome.ERROR)
        elif self.running < self.kind.workers:
            self._start_work(attempt, work)
        elif len(self.waiting) < self.queue_capacity:
            attempt.state, attempt.work = "waiting", work
            self.waiting.append(attempt)
            self.open_attempts.add(attempt)
            if self.can_choke:
                self._update_choke()
            self._report_load()
        else:
            self.simulation.reply(attempt, Outcome.FULL)

    def record_load(self, work: float) -> None:
        """Counts work that came: too much for too long, and a starting server falls."""
        made, now = self.config, self.clock.now
        self.recent_arrivals.append((now, work))
        self.recent_work += work
        while self.recent_arrivals[0][0] < now - made.fall_ms:
            self.recent_work -= self.recent_arrivals.popleft()[1]
        warm_fraction = self.warm_fraction()
        part = self.recent_work / (self.kind.workers * self.speed * made.fall_ms * warm_fraction)
        self.simulation.measures.record_load(self.number, part)
        if warm_fraction < 1.0 and part > self.peak:
            self.peak = part
        if part > made.fall_multiple and (warm_fraction < 1.0 or made.falls_warm):
            self.falls += 1
            self.simulation.measures.record_fall(warm_fraction < 1.0)
            self.simulation.server_fell(self)
            self.stop(DEAD)
            self.clock.schedule(made.down_ms, self.start)

    def _work_with_cache(self, attempt: Attempt) -> float:
        keys, now = self.simulation.scenario.load.keys, self.clock.now
        if attempt.key < 0 or keys.gain <= 0:
            return attempt.work
        known = now - self.cached_keys.pop(attempt.key, -math.inf) <= keys.kept_ms
        self.cached_keys[attempt.key] = now
        if len(self.cached_keys) > keys.kept:
            del self.cached_keys[next(iter(self.cached_keys))]  # the one met longest ago
        return attempt.work * (1.0 - keys.gain if known else 1.0)

    # Work

    def _start_work(self, attempt: Attempt, work: float) -> None:
        made, waiting = self.config, len(self.waiting)
        self.running += 1
        attempt.state = "running"
        self.open_attempts.add(attempt)
        slower = self.slow * (made.choke.slower if self.is_choked else 1.0)
        if waiting:
            slower *= 1.0 + made.thrash * waiting / self.queue_capacity
        if self.can_choke:
            self._update_choke()
        self._report_load()
        span = work * slower / (self.speed * self.warm_fraction())
        attempt.ends = self.clock.now + span
        self.clock.schedule(span, self._done, attempt, self.epoch)

    def _done(self, attempt: Attempt, epoch: int) -> None:
        if epoch != self.epoch or attempt.state != "running":
            return
        if self.clock.now < self.paused_until:
            self.clock.schedule(self.paused_until - self.clock.now, self._done, attempt, epoch)
            return
        attempt.state = ""
        self.open_attempts.discard(attempt)
        self.running -= 1
        self.simulation.checker.ran(attempt.request, attempt.klass)
        if self.state == UP:
            if not attempt.open:
                self.simulation.measures.wasted += 1
            self.simulation.reply(attempt, Outcome.OK)
        self._start_waiting()
        self._report_load()

    def _start_waiting(self) -> None:
        while self.waiting and self.running < self.kind.workers:
            following = self.waiting.popleft()
            if following.state == "waiting":
                self._start_work(following, following.work)
        if self.can_choke:
            self._update_choke()

    def cancel(self, attempt: Attempt) -> None:
        """Its sidecar has closed the connection; what that stops hangs on the server."""
        if attempt.state == "waiting" and self.config.cancels != "none":
            self.waiting.remove(attempt)
        elif attempt.state == "running" and self.config.cancels == "all":
            self.running -= 1
        else:
            return
        attempt.state = ""
        self.open_attempts.discard(attempt)
        self._start_waiting()
        self._report_load()

    def _update_choke(self) -> None:
        """The slow state: in after a queue that stood, out after rest."""
        choke, now, workers = self.config.choke, self.clock.now, self.kind.workers
        if not self.is_choked:
            if len(self.waiting) <= choke.waiting * workers:
                self.crowded_since = math.inf
            elif self.crowded_since == math.inf:
                self.crowded_since = now
            elif now - self.crowded_since > choke.over_ms:
                self.is_choked, self.choked_since, self.idle_since = True, now, math.inf
                self.simulation.measures.chokes += 1
            return
        if self.running + len(self.waiting) >= choke.idle * workers:
            self.idle_since = math.inf
        elif self.idle_since == math.inf:
            self.idle_since = now
        if now - self.idle_since > choke.idle_ms or now - self.choked_since > choke.most_ms:
            self.is_choked, self.crowded_since = False, math.inf

    def _pause(self) -> None:
        made = self.config
        self.paused_until = self.clock.now + self.rng.exponential(made.pause_ms)
        self.clock.schedule(self.rng.exponential(made.pause_every_ms) + made.pause_ms, self._pause)

    # Life

    def stop(self, state: str) -> None:
        """Dead: what is open is reset. Silent: it is not. The list is told by whoever notices, later."""
        self.state, self.epoch = state, self.epoch + 1
        held, self.open_attempts, self.running = self.open_attempts, set(), 0
        self.waiting.clear()
        self.recent_arrivals.clear()
        self.recent_work, self.connections, self.is_choked = 0.0, 0, False
        self.crowded_since = self.idle_since = math.inf
        self.cached_keys.clear()
        self._report_load()
        self.mark("down", True)
        for attempt in sorted(held, key=lambda item: (item.sent, item.sidecar.number, item.request)):
            attempt.state = ""
            if state == DEAD:
                self.simulation.reply(attempt, Outcome.RESET)
        self.simulation.discovery.server_stopped(self, state == SILENT)

    def start(self) -> None:
        """Up again, cold, under the same name and with another birth."""
        if self.state == UP:
            return
        self.state, self.epoch = UP, self.epoch + 1
        self.started_at = self.reported_start = self.clock.now
        self._report_load()
        self._start_warm_up()
        self.mark("down", False)
        self.simulation.discovery.server_started(self)
