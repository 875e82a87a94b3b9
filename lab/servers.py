"""Model of a server: workers, a queue, cold starts, overload crashes ("falls"), slow states, pauses, outages.

The speed of a call is fixed when a worker starts it: a later change of the server's speed affects only calls
that start after the change.
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
    """The parts of the sending sidecar that an attempt uses."""

    number: int
    zone: str

    def delay(self, server: Server) -> float:
        """Returns the one-way delay in ms of one message to a server."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Notifies the sidecar of the outcome of an attempt."""


class ServerEvents(Protocol):
    """Receives the starts and stops of servers."""

    def server_started(self, server: Server) -> None:
        """Called when a server has started."""

    def server_stopped(self, server: Server, silent: bool) -> None:
        """Called when a server has stopped; if ``silent``, its connections were not closed."""


class ServerHost(Protocol):
    """The parts of the simulation that a server uses."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    measures: Measures
    checker: Checker
    evenness: Evenness

    @property
    def discovery(self) -> ServerEvents:
        """Receives the starts and stops of servers."""

    def server_crashed(self, server: Server) -> None:
        """Called when a server has crashed from overload."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Sends the outcome of an attempt back to its sidecar."""


class Attempt:
    """One attempt at a request, from the send to its outcome."""

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
        self.open = True  # the sidecar still waits for the outcome
        self.epoch = -1  # epoch of the server that its connection belongs to; -1: no connection
        self.state = ""  # at the server: "waiting", "running" or empty
        self.ends = 0.0  # when its work is done, once it runs
        self.opened = 0.0  # when its connection was opened


class Server:
    """One server. Work and times are in ms.

    ``epoch`` counts its starts and stops. ``peak`` is the highest load that it received while cold, as a
    multiple of its capacity at that time. ``slow`` divides its speed and ``errors`` is the share of calls
    that fail; troubles set both by name.
    """

    def __init__(
        self, simulation: ServerHost, number: int, kind: Kind, name: str, cold: bool = False
    ) -> None:
        config = simulation.scenario.servers
        self.simulation, self.clock, self.config, self.kind = simulation, simulation.clock, config, kind
        self.number, self.name = number, name
        self.zone = simulation.scenario.network.zones[number % len(simulation.scenario.network.zones)]
        self.cell = number // config.cell
        rng = simulation.streams.of("server", name)
        # Half the width of the uniform distribution with this coefficient of variation.
        spread = config.speed_cv * math.sqrt(3.0)
        self.speed = max(kind.speed * rng.uniform(1.0 - spread, 1.0 + spread), 0.05)
        self.can_choke = rng.random() < config.choke.share
        self.rng = rng
        self.queue_capacity = kind.workers * config.queue
        self.state, self.epoch = UP, 0
        self.started_at = self.clock.now if cold else -math.inf
        self.reported_start: float | None = self.clock.now if cold else None
        self.running, self.waiting = 0, deque[Attempt]()
        self.open_attempts: set[Attempt] = set()
        self.connections = 0
        self.slow, self.errors = 1.0, config.error_share
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
        if config.pause_every_ms > 0:
            self.clock.schedule(rng.exponential(config.pause_every_ms), self._pause)
        simulation.evenness.joins(number, kind.workers * self.speed)
        self._report_load()
        if cold:
            self._start_warm_up()

    def _report_load(self) -> None:
        """Reports its workers, running calls and queued calls to the evenness measure."""
        workers = self.kind.workers if self.state == UP else 0
        self.simulation.evenness.moved(self.clock.now, self.number, workers, self.running, len(self.waiting))

    def _start_warm_up(self) -> None:
        self.mark("cold", True)
        self.clock.schedule(self.config.warm_up_ms, self._warm_up_done, self.epoch)

    def _warm_up_done(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.mark("cold", False)

    def mark(self, reason: str, unhealthy: bool) -> None:
        """Marks the server as unhealthy for a reason from now on, or as no longer so for that reason."""
        self.simulation.evenness.mark(self.clock.now, self.number, reason, unhealthy)

    def location(self) -> tuple[str, str, int]:
        """Returns its name, zone and cell."""
        return self.name, self.zone, self.cell

    def entry(self, state: api.ServerState) -> api.ServerEntry:
        """Returns its entry in the server list, with this state."""
        return api.ServerEntry(
            self.name, state, self.zone, self.cell, self.kind.name, self._size(), self.reported_start
        )

    def _size(self) -> float:
        """Returns its registered size: workers relative to the first kind. True speeds are not reported."""
        return self.kind.workers / self.config.kinds[0].workers

    def warm_fraction(self) -> float:
        """Returns the share of its full capacity that it has reached since its start."""
        age = self.clock.now - self.started_at
        if age >= self.config.warm_up_ms:
            return 1.0
        return self.config.cold_share + (1.0 - self.config.cold_share) * age / self.config.warm_up_ms

    # Arrivals

    def arrive(self, attempt: Attempt) -> None:
        """Called when a request has arrived completely."""
        if self.state != UP or attempt.epoch != self.epoch:
            if self.state != SILENT:
                self.simulation.reply(attempt, Outcome.RESET)
            return
        self.simulation.evenness.came(self.clock.now, self.number)
        work = self._work_with_cache(attempt)
        self.record_load(work)
        if self.state != UP:
            return  # this request made it crash; its open attempts were reset
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
        """Records work that arrived. A cold server crashes if it receives too much for too long."""
        config, now = self.config, self.clock.now
        self.recent_arrivals.append((now, work))
        self.recent_work += work
        while self.recent_arrivals[0][0] < now - config.fall_ms:
            self.recent_work -= self.recent_arrivals.popleft()[1]
        warm_fraction = self.warm_fraction()
        load_ratio = self.recent_work / (self.kind.workers * self.speed * config.fall_ms * warm_fraction)
        self.simulation.measures.record_load(self.number, load_ratio)
        if warm_fraction < 1.0 and load_ratio > self.peak:
            self.peak = load_ratio
        if load_ratio > config.fall_multiple and (warm_fraction < 1.0 or config.falls_warm):
            self.falls += 1
            self.simulation.measures.record_fall(warm_fraction < 1.0)
            self.simulation.server_crashed(self)
            self.stop(DEAD)
            self.clock.schedule(config.down_ms, self.start)

    def _work_with_cache(self, attempt: Attempt) -> float:
        """Returns the work of an attempt, which is less if the server has seen its key recently."""
        keys, now = self.simulation.scenario.load.keys, self.clock.now
        if attempt.key < 0 or keys.gain <= 0:
            return attempt.work
        is_cached = now - self.cached_keys.pop(attempt.key, -math.inf) <= keys.kept_ms
        self.cached_keys[attempt.key] = now
        if len(self.cached_keys) > keys.kept:
            del self.cached_keys[next(iter(self.cached_keys))]  # the least recently seen one
        return attempt.work * (1.0 - keys.gain if is_cached else 1.0)

    # Work

    def _start_work(self, attempt: Attempt, work: float) -> None:
        config, waiting = self.config, len(self.waiting)
        self.running += 1
        attempt.state = "running"
        self.open_attempts.add(attempt)
        slowdown = self.slow * (config.choke.slower if self.is_choked else 1.0)
        if waiting:
            slowdown *= 1.0 + config.thrash * waiting / self.queue_capacity
        if self.can_choke:
            self._update_choke()
        self._report_load()
        duration = work * slowdown / (self.speed * self.warm_fraction())
        attempt.ends = self.clock.now + duration
        self.clock.schedule(duration, self._finish_work, attempt, self.epoch)

    def _finish_work(self, attempt: Attempt, epoch: int) -> None:
        if epoch != self.epoch or attempt.state != "running":
            return
        if self.clock.now < self.paused_until:
            self.clock.schedule(self.paused_until - self.clock.now, self._finish_work, attempt, epoch)
            return
        attempt.state = ""
        self.open_attempts.discard(attempt)
        self.running -= 1
        self.simulation.checker.ran(attempt.request, attempt.klass)
        if self.state == UP:
            if not attempt.open:
                self.simulation.measures.wasted += 1
            self.simulation.reply(attempt, Outcome.OK)
        self._start_queued_calls()
        self._report_load()

    def _start_queued_calls(self) -> None:
        while self.waiting and self.running < self.kind.workers:
            attempt = self.waiting.popleft()
            if attempt.state == "waiting":
                self._start_work(attempt, attempt.work)
        if self.can_choke:
            self._update_choke()

    def cancel(self, attempt: Attempt) -> None:
        """Called when the sidecar has closed the connection. The scenario says which attempts that stops."""
        if attempt.state == "waiting" and self.config.cancels != "none":
            self.waiting.remove(attempt)
        elif attempt.state == "running" and self.config.cancels == "all":
            self.running -= 1
        else:
            return
        attempt.state = ""
        self.open_attempts.discard(attempt)
        self._start_queued_calls()
        self._report_load()

    def _update_choke(self) -> None:
        """Enters the slow state after a long queue has persisted, and leaves it after a time of low load."""
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
        config = self.config
        self.paused_until = self.clock.now + self.rng.exponential(config.pause_ms)
        self.clock.schedule(self.rng.exponential(config.pause_every_ms) + config.pause_ms, self._pause)

    # Start and stop

    def stop(self, state: str) -> None:
        """Stops the server. DEAD: its open connections are reset; SILENT: they are not.

        Discovery notices the stop and updates the server list later.
        """
        self.state, self.epoch = state, self.epoch + 1
        lost, self.open_attempts, self.running = self.open_attempts, set(), 0
        self.waiting.clear()
        self.recent_arrivals.clear()
        self.recent_work, self.connections, self.is_choked = 0.0, 0, False
        self.crowded_since = self.idle_since = math.inf
        self.cached_keys.clear()
        self._report_load()
        self.mark("down", True)
        for attempt in sorted(lost, key=lambda item: (item.sent, item.sidecar.number, item.request)):
            attempt.state = ""
            if state == DEAD:
                self.simulation.reply(attempt, Outcome.RESET)
        self.simulation.discovery.server_stopped(self, state == SILENT)

    def start(self) -> None:
        """Starts the server again, cold, with the same name and a new start time."""
        if self.state == UP:
            return
        self.state, self.epoch = UP, self.epoch + 1
        self.started_at = self.reported_start = self.clock.now
        self._report_load()
        self._start_warm_up()
        self.mark("down", False)
        self.simulation.discovery.server_started(self)
