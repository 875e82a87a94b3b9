"""What befalls the simulation, when: each trouble of a scenario planned on the clock before the play begins.

Who is hit is drawn from a stream of the trouble's own, before anything has happened: the same under every
policy.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import Protocol

from hareloom.interface import ServerState
from lab import versions
from lab.clients import Clients
from lab.evenness import Evenness
from lab.links import hit as hit_links
from lab.scenario_tables import Kind, Trouble
from lab.servers import DEAD, SILENT, UP, Server
from lab.sidecars import Sidecar
from lab.streams import Stream
from lab.versions import ChangeHost


class TroublesHost(ChangeHost, Protocol):
    """What troubles need of the simulation that they befall. ``cut``: zones that no message leaves or enters;
    ``loss``: share of attempts that are swallowed; ``leaving``: servers that do not come back."""

    cut: set[str]
    loss: float
    leaving: set[str]
    evenness: Evenness

    @property
    def clients(self) -> Clients:
        """The callers, whose load troubles change."""

    def add_server(self, kind: Kind) -> None:
        """Start a machine that has not been there."""


def plan(simulation: TroublesHost) -> None:
    for number, trouble in enumerate(simulation.scenario.troubles):
        made = _Planned(simulation, trouble, simulation.streams.of("trouble", number, trouble.kind))
        getattr(made, f"plan_{trouble.kind}")()


class _Planned:
    """One trouble; a method a kind. What it hits is among the servers and sidecars of the play's start."""

    def __init__(self, simulation: TroublesHost, trouble: Trouble, chance: Stream) -> None:
        self.simulation, self.made, self.chance = simulation, trouble, chance
        self.clock = simulation.clock
        self.start, self.end = trouble.at_ms, trouble.at_ms + trouble.for_ms

    def hit(self) -> list[Server]:
        servers = self.simulation.servers
        count = min(math.ceil(self.made.share * len(servers)), len(servers))
        return [servers[at] for at in sorted(self.chance.shuffled(len(servers))[:count])]

    def hit_sidecars(self) -> list[Sidecar]:
        sidecars = self.simulation.sidecars
        count = min(math.ceil(self.made.share * len(sidecars)), len(sidecars))
        return [sidecars[at] for at in sorted(self.chance.shuffled(len(sidecars))[:count])]

    def during(self, begin: Callable[[], object], end: Callable[[], object]) -> None:
        self.clock.at(self.start, begin)
        self.clock.at(self.end, end)

    # Servers

    def _down(self, state: str) -> None:
        for server in self.hit():
            later = self.chance.uniform(0.0, self.made.spread_ms)
            for turn in range(self.made.times):
                begin = self.start + 2.0 * turn * self.made.for_ms
                self.clock.at(begin, self._stop, server, state)
                self.clock.at(begin + self.made.for_ms + later, server.start)

    @staticmethod
    def _stop(server: Server, state: str) -> None:
        if server.state == UP:
            server.stop(state)

    def plan_silent(self) -> None:
        self._down(SILENT)

    def plan_dead(self) -> None:
        self._down(DEAD)

    plan_flapping = plan_dead

    def plan_none(self) -> None:
        for server in self.simulation.servers:
            self.during(partial(self._stop, server, DEAD), server.start)

    def plan_slow(self) -> None:
        for server in self.hit():
            self.during(
                partial(self._spoil, server, "slow", self.made.size),
                partial(self._spoil, server, "slow", 1.0, False),
            )

    def plan_errors(self) -> None:
        usual = self.simulation.scenario.servers.error_share
        for server in self.hit():
            self.during(
                partial(self._spoil, server, "errors", min(self.made.size, 1.0)),
                partial(self._spoil, server, "errors", usual, False),
            )

    def _spoil(self, server: Server, how: str, value: float, unsound: bool = True) -> None:
        setattr(server, how, value)
        server.mark(how, unsound)

    def plan_replaced(self) -> None:
        """Each hit server ends at a time of its own; a new one, of another name, takes its place."""
        for server in self.hit():
            self.clock.at(self.start + self.chance.uniform(0.0, self.made.for_ms), self._replace, server)

    def _replace(self, server: Server) -> None:
        self._stop(server, DEAD)
        self.simulation.leaving.add(server.name)
        self.simulation.add_server(server.kind)

    def plan_drain(self) -> None:
        """One after the other: told to finish, ended when its calls are done at the latest, and back cold."""
        hit = self.hit()
        for turn, server in enumerate(hit):
            begin = self.start + turn * self.made.for_ms / max(len(hit), 1)
            self.clock.at(begin, self._drain, server)

    def _drain(self, server: Server) -> None:
        most = max(item.deadline_ms for item in self.simulation.scenario.classes)
        wait = self.simulation.scenario.allow.drain_grace_ms + most
        self.simulation.discovery.tell(server, ServerState.DRAINING)
        self.clock.at(wait, self._stop, server, DEAD)
        self.clock.at(wait + 500.0, server.start)

    def plan_shrink(self) -> None:
        """The fleet gets smaller for good, and the load with it."""
        hit = self.hit()
        for turn, server in enumerate(hit):
            self.clock.at(self.start + turn * self.made.for_ms / len(hit), self._leave, server)
        self.clock.at(self.start, setattr, self.simulation.clients, "burst", 1.0 - self.made.share)

    def _leave(self, server: Server) -> None:
        most = max(item.deadline_ms for item in self.simulation.scenario.classes)
        self.simulation.leaving.add(server.name)
        self.simulation.discovery.tell(server, ServerState.DRAINING)
        self.clock.at(self.simulation.scenario.allow.drain_grace_ms + most, self._stop, server, DEAD)

    # The network

    def plan_partition(self) -> None:
        zones = self.simulation.scenario.network.zones
        if len(zones) > 1:
            self.during(
                lambda: self.simulation.cut.add(zones[-1]), lambda: self.simulation.cut.discard(zones[-1])
            )

    def plan_loss(self) -> None:
        self.during(
            partial(setattr, self.simulation, "loss", min(self.made.size, 1.0)),
            partial(setattr, self.simulation, "loss", 0.0),
        )

    def _plan_links(self) -> None:
        links = self.simulation.links
        for place in hit_links(self.simulation.scenario.network.zones, self.made, self.chance):
            there = self.chance.random() < 0.5
            self.during(partial(links.begin, place, self.made, there), partial(links.end, place))

    plan_cut = plan_one_way = plan_far = plan_lossy = plan_resets = plan_half_open = _plan_links

    # Discovery

    def plan_disagree(self) -> None:
        late = self.simulation.discovery.late_by
        hit = {sidecar.number: self.made.size for sidecar in self.hit_sidecars()}
        self.during(lambda: late.update(hit), late.clear)

    def plan_away(self) -> None:
        self.during(self.simulation.discovery.go_away, self.simulation.discovery.come_back)

    def plan_late(self) -> None:
        found = self.simulation.discovery
        self.during(
            partial(setattr, found, "late_ms", self.made.size), partial(setattr, found, "late_ms", 0.0)
        )

    def plan_wrong(self) -> None:
        hit = self.hit()
        self.during(
            lambda: self.simulation.discovery.mistake(hit), lambda: self.simulation.discovery.mend(hit)
        )

    # Clients

    def plan_burst(self) -> None:
        clients = self.simulation.clients
        self.during(
            partial(setattr, clients, "burst", self.made.size), partial(setattr, clients, "burst", 1.0)
        )
        self.clock.at(self.start, lambda: self.simulation.evenness.cause(self.clock.now, "burst"))

    def plan_hot(self) -> None:
        hot = self.simulation.clients.hot
        hit = {sidecar.number: self.made.size for sidecar in self.hit_sidecars()}
        self.during(lambda: hot.update(hit), hot.clear)

    def plan_loud(self) -> None:
        names = [item.name for item in self.simulation.scenario.members]
        loud, member = self.simulation.clients.loud, names.index(self.made.member)
        self.during(lambda: loud.update({member: self.made.size}), lambda: loud.pop(member, None))

    # Sidecars

    def plan_die(self) -> None:
        for sidecar in self.hit_sidecars():
            later = self.chance.uniform(0.0, self.made.spread_ms)
            self.clock.at(self.start, sidecar.die)
            self.clock.at(self.end + later, self._restart, sidecar)

    @staticmethod
    def _restart(sidecar: Sidecar) -> None:
        if not sidecar.up:
            sidecar.start()

    def plan_pause(self) -> None:
        for sidecar in self.hit_sidecars():
            self.during(sidecar.pause, sidecar.resume)
        self.clock.at(self.end, lambda: self.simulation.evenness.cause(self.clock.now, "go on"))

    def plan_upgrade(self) -> None:
        for sidecar in self.hit_sidecars():
            begin = self.start + self.chance.uniform(0.0, self.made.for_ms)
            for turn in range(self.made.times):
                later = begin + turn * (self.made.for_ms + self.made.spread_ms)
                self.clock.at(later, self._change, sidecar.number)

    def _change(self, number: int) -> None:
        simulation = self.simulation
        if number not in simulation.changes and simulation.sidecars[number].up:
            versions.Change(simulation, number, self.made.size).begin()
