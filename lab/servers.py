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

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """The attempt has come to this end, as the sidecar sees it."""


class ServerEvents(Protocol):
    """Who notices that servers start and end."""

    def started(self, server: Server) -> None:
        """A server is up."""

    def ended(self, server: Server, silent: bool) -> None:
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

    def fell(self, server: Server) -> None:
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
        self.simulation, self.clock, self.made, self.kind = simulation, simulation.clock, made, kind
        self.number, self.name = number, name
        self.zone = simulation.scenario.network.zones[number % len(simulation.scenario.network.zones)]
        self.cell = number // made.cell
        chance = simulation.streams.of("server", name)
        spread = made.speed_cv * math.sqrt(3.0)  # an even draw of that coefficient of variation
        self.speed = max(kind.speed * chance.uniform(1.0 - spread, 1.0 + spread), 0.05)
        self.chokes = chance.random() < made.choke.share
        self.chance = chance
        self.room = kind.workers * made.queue
        self.state, self.epoch = UP, 0
        self.started = self.clock.now if cold else -math.inf
        self.born: float | None = self.clock.now if cold else None
        self.running, self.waiting = 0, deque[Attempt]()
        self.held: set[Attempt] = set()
        self.connections = 0
        self.slow, self.errors = 1.0, made.error_share
        self.choked, self.choked_at, self.crowded_at, self.idle_at = False, 0.0, math.inf, math.inf
        self.paused_until = 0.0
        self.recent, self.recent_work = deque[tuple[float, float]](), 0.0
        self.peak, self.falls = 0.0, 0
        self.met: dict[int, float] = {}
        if made.pause_every_ms > 0:
            self.clock.at(chance.exponential(made.pause_every_ms), self._pause)
        simulation.evenness.joins(number, kind.workers * self.speed)
        self._has()
        if cold:
            self._warming()

    def _has(self) -> None:
        """Tells what it has in hand."""
        workers = self.kind.workers if self.state == UP else 0
        self.simulation.evenness.moved(self.clock.now, self.number, workers, self.running, len(self.waiting))

    def _warming(self) -> None:
        self.mark("cold", True)
        self.clock.at(self.made.warm_up_ms, self._warm, self.epoch)

    def _warm(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.mark("cold", False)

    def mark(self, why: str, unsound: bool) -> None:
        """From now on it is not to be counted on, for this reason, or no longer for it."""
        self.simulation.evenness.mark(self.clock.now, self.number, why, unsound)

    def place(self) -> tuple[str, str, int]:
        """Its name, zone and cell."""
        return self.name, self.zone, self.cell

    def entry(self, state: api.ServerState) -> api.ServerEntry:
        return api.ServerEntry(
            self.name, state, self.zone, self.cell, self.kind.name, self._size(), self.born
        )

    def _size(self) -> float:
        """As registered: workers beside those of the first kind; true speeds are not told."""
        return self.kind.workers / self.made.kinds[0].workers

    def warmth(self) -> float:
        """The share of its capacity that it has."""
        age = self.clock.now - self.started
        if age >= self.made.warm_up_ms:
            return 1.0
        return self.made.cold_share + (1.0 - self.made.cold_share) * age / self.made.warm_up_ms

    # What comes

    def arrive(self, attempt: Attempt) -> None:
        """The last byte of a request is here."""
        if self.state != UP or attempt.epoch != self.epoch:
            if self.state != SILENT:
                self.simulation.reply(attempt, Outcome.RESET)
            return
        self.simulation.evenness.came(self.clock.now, self.number)
        work = self._work(attempt)
        self.take(work)
        if self.state != UP:
            return  # it fell over by this one; what it held was reset
        if self.errors > 0 and self.chance.random() < self.errors:
            self.simulation.reply(attempt, Outcome.ERROR)
        elif self.running < self.kind.workers:
            self._begin(attempt, work)
        elif len(self.waiting) < self.room:
            attempt.state, attempt.work = "waiting", work
            self.waiting.append(attempt)
            self.held.add(attempt)
            if self.chokes:
                self._crowd()
            self._has()
        else:
            self.simulation.reply(attempt, Outcome.FULL)

    def take(self, work: float) -> None:
        """Counts work that came: too much for too long, and a starting server falls."""
        made, now = self.made, self.clock.now
        self.recent.append((now, work))
        self.recent_work += work
        while self.recent[0][0] < now - made.fall_ms:
            self.recent_work -= self.recent.popleft()[1]
        warmth = self.warmth()
        part = self.recent_work / (self.kind.workers * self.speed * made.fall_ms * warmth)
        self.simulation.measures.loaded(self.number, part)
        if warmth < 1.0 and part > self.peak:
            self.peak = part
        if part > made.fall_multiple and (warmth < 1.0 or made.falls_warm):
            self.falls += 1
            self.simulation.measures.fell(warmth < 1.0)
            self.simulation.fell(self)
            self.stop(DEAD)
            self.clock.at(made.down_ms, self.start)

    def _work(self, attempt: Attempt) -> float:
        keys, now = self.simulation.scenario.load.keys, self.clock.now
        if attempt.key < 0 or keys.gain <= 0:
            return attempt.work
        known = now - self.met.pop(attempt.key, -math.inf) <= keys.kept_ms
        self.met[attempt.key] = now
        if len(self.met) > keys.kept:
            del self.met[next(iter(self.met))]  # the one met longest ago
        return attempt.work * (1.0 - keys.gain if known else 1.0)

    # Work

    def _begin(self, attempt: Attempt, work: float) -> None:
        made, waiting = self.made, len(self.waiting)
        self.running += 1
        attempt.state = "running"
        self.held.add(attempt)
        slower = self.slow * (made.choke.slower if self.choked else 1.0)
        if waiting:
            slower *= 1.0 + made.thrash * waiting / self.room
        if self.chokes:
            self._crowd()
        self._has()
        span = work * slower / (self.speed * self.warmth())
        attempt.ends = self.clock.now + span
        self.clock.at(span, self._done, attempt, self.epoch)

    def _done(self, attempt: Attempt, epoch: int) -> None:
        if epoch != self.epoch or attempt.state != "running":
            return
        if self.clock.now < self.paused_until:
            self.clock.at(self.paused_until - self.clock.now, self._done, attempt, epoch)
            return
        attempt.state = ""
        self.held.discard(attempt)
        self.running -= 1
        self.simulation.checker.ran(attempt.request, attempt.klass)
        if self.state == UP:
            if not attempt.open:
                self.simulation.measures.wasted += 1
            self.simulation.reply(attempt, Outcome.OK)
        self._next()
        self._has()

    def _next(self) -> None:
        while self.waiting and self.running < self.kind.workers:
            following = self.waiting.popleft()
            if following.state == "waiting":
                self._begin(following, following.work)
        if self.chokes:
            self._crowd()

    def cancel(self, attempt: Attempt) -> None:
        """Its sidecar has closed the connection; what that stops hangs on the server."""
        if attempt.state == "waiting" and self.made.cancels != "none":
            self.waiting.remove(attempt)
        elif attempt.state == "running" and self.made.cancels == "all":
            self.running -= 1
        else:
            return
        attempt.state = ""
        self.held.discard(attempt)
        self._next()
        self._has()

    def _crowd(self) -> None:
        """The slow state: in after a queue that stood, out after rest."""
        choke, now, workers = self.made.choke, self.clock.now, self.kind.workers
        if not self.choked:
            if len(self.waiting) <= choke.waiting * workers:
                self.crowded_at = math.inf
            elif self.crowded_at == math.inf:
                self.crowded_at = now
            elif now - self.crowded_at > choke.over_ms:
                self.choked, self.choked_at, self.idle_at = True, now, math.inf
                self.simulation.measures.choked += 1
            return
        if self.running + len(self.waiting) >= choke.idle * workers:
            self.idle_at = math.inf
        elif self.idle_at == math.inf:
            self.idle_at = now
        if now - self.idle_at > choke.idle_ms or now - self.choked_at > choke.most_ms:
            self.choked, self.crowded_at = False, math.inf

    def _pause(self) -> None:
        made = self.made
        self.paused_until = self.clock.now + self.chance.exponential(made.pause_ms)
        self.clock.at(self.chance.exponential(made.pause_every_ms) + made.pause_ms, self._pause)

    # Life

    def stop(self, state: str) -> None:
        """Dead: what is open is reset. Silent: it is not. The list is told by whoever notices, later."""
        self.state, self.epoch = state, self.epoch + 1
        held, self.held, self.running = self.held, set(), 0
        self.waiting.clear()
        self.recent.clear()
        self.recent_work, self.connections, self.choked = 0.0, 0, False
        self.crowded_at = self.idle_at = math.inf
        self.met.clear()
        self._has()
        self.mark("down", True)
        for attempt in sorted(held, key=lambda item: (item.sent, item.sidecar.number, item.request)):
            attempt.state = ""
            if state == DEAD:
                self.simulation.reply(attempt, Outcome.RESET)
        self.simulation.discovery.ended(self, state == SILENT)

    def start(self) -> None:
        """Up again, cold, under the same name and with another birth."""
        if self.state == UP:
            return
        self.state, self.epoch = UP, self.epoch + 1
        self.started = self.born = self.clock.now
        self._has()
        self._warming()
        self.mark("down", False)
        self.simulation.discovery.started(self)
