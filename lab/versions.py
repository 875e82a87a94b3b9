"""A sidecar that is two processes for a while, as at a change of versions under load.

The new one begins with the list that the old one has, is given what that has learnt once it asks, with its
age, and takes new connections when it is ready. Calls on connections that their clients keep go on coming
to the old one for a while; it serves what it has and ends. Where both meet on a disk that keeps them
waiting, they stand still by turns.
"""

from __future__ import annotations

from typing import Protocol

from hareloom import Balancer
from hareloom import interface as api
from lab.discovery import Discovery
from lab.sidecars import Sidecar, SidecarHost

ASKED_MS = 100.0  # from a start to what the old process has learnt; its age is as much again
READY_MS = 400.0  # from a start to its yes
FADE_MS = 2000.0  # over which clients use up the connections that they have to the old one
END_MS = 700.0  # beyond the longest deadline, after which the platform ends the old one


class ChangeHost(SidecarHost, Protocol):
    """What a change of versions needs of the simulation that it is part of."""

    sidecars: list[Sidecar]
    changes: dict[int, Change]

    @property
    def discovery(self) -> Discovery:
        """The list of servers, which new processes are told."""


class Change:
    """One change of one sidecar. ``still_ms``: how long each process stands still, by turns; 0: neither."""

    def __init__(self, simulation: ChangeHost, number: int, still_ms: float) -> None:
        self.simulation, self.clock, self.number, self.still_ms = (
            simulation,
            simulation.clock,
            number,
            still_ms,
        )
        self.old = simulation.sidecars[number]
        self.new = type(self.old)(
            simulation, number, self.old.policy, self.old.watch_storms, self.old.generation + 1
        )
        self.chance = simulation.streams.of("change", number, self.new.generation)
        self.ready_at = -1.0

    def begin(self) -> None:
        simulation, old, new = self.simulation, self.old, self.new
        simulation.changes[self.number] = self
        new.known = dict(old.known)
        new.list_version = old.list_version
        new.start()
        if new.subscribed:
            # A watch that begins is told what has changed, also what is still on its way to the old process.
            simulation.discovery.schedule_push(new)
        deadline = max(item.deadline_ms for item in simulation.scenario.classes)
        self.clock.schedule(ASKED_MS, self._ask)
        self.clock.schedule(READY_MS, self._ready)
        self.clock.schedule(READY_MS + max(deadline, FADE_MS) + END_MS, self._end)
        if self.still_ms > 0:
            self.clock.schedule(0.0, self._stand_still, new, old)

    def beside(self) -> list[Sidecar]:
        """The process that is not the sidecar's own in the simulation's list."""
        return [self.new] if self.ready_at < 0.0 else [self.old]

    def reached(self) -> Sidecar:
        if self.ready_at < 0.0:
            return self.old
        kept = 1.0 - (self.clock.now - self.ready_at) / FADE_MS
        return self.old if self.old.up and self.chance.random() < kept else self.new

    def _ask(self) -> None:
        balancer = self.old.balancer
        if isinstance(balancer, Balancer):
            learnt = balancer.learnt(self.clock.now)
            self.clock.schedule(ASKED_MS, self._believe, learnt, self.clock.now)

    def _believe(self, learnt: api.Learnt, asked_at: float) -> None:
        from anisestair.recovery import beliefs  # not there where an older revision's decisions are played

        balancer, now = self.new.balancer, self.clock.now
        if isinstance(balancer, Balancer) and self.new.up:
            born = {name: server.entry.started_at for name, server in balancer.servers.items()}
            balancer.believe(now, beliefs.faded(learnt, now - asked_at, balancer.mean_aim, born))

    def _ready(self) -> None:
        self.ready_at = self.clock.now
        self.simulation.sidecars[self.number] = self.new

    def _stand_still(self, one: Sidecar, other: Sidecar) -> None:
        if self.simulation.changes.get(self.number) is not self:
            return
        one.pause()
        self.clock.schedule(self.still_ms, one.resume)
        self.clock.schedule(self.still_ms, self._stand_still, other, one)

    def _end(self) -> None:
        """What the old one still has is cut off; it had its time."""
        self.old.resume()
        self.old.crash()
        if self.simulation.changes.get(self.number) is self:
            del self.simulation.changes[self.number]
