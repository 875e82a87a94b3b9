"""Fault injection: schedules each trouble of a scenario on the clock before the run begins.

The servers, sidecars and links that a trouble affects are drawn in advance from the trouble's own random
stream, so they are the same under every policy.
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
from lab.links import affected_links
from lab.scenario_tables import Kind, Trouble
from lab.servers import DEAD, SILENT, UP, Server
from lab.sidecars import Sidecar
from lab.streams import Stream
from lab.versions import UpgradeHost


class TroublesHost(UpgradeHost, Protocol):
    """The parts of the simulation that troubles use.

    ``cut_zones``: zones that no message leaves or enters; ``loss_share``: share of attempts that are lost;
    ``removed_servers``: servers that do not return.
    """

    cut_zones: set[str]
    loss_share: float
    removed_servers: set[str]
    evenness: Evenness

    @property
    def clients(self) -> Clients:
        """The clients, whose load troubles change."""

    def add_server(self, kind: Kind) -> None:
        """Starts a new server."""


def plan(simulation: TroublesHost) -> None:
    """Schedules all troubles of the simulation's scenario."""
    for number, trouble in enumerate(simulation.scenario.troubles):
        scheduler = _TroubleScheduler(
            simulation, trouble, simulation.streams.of("trouble", number, trouble.kind)
        )
        getattr(scheduler, f"plan_{trouble.kind}")()


class _TroubleScheduler:
    """One trouble, with a ``plan_`` method for each kind. It affects only servers and sidecars that exist at
    the start of the run."""

    def __init__(self, simulation: TroublesHost, trouble: Trouble, rng: Stream) -> None:
        self.simulation, self.trouble, self.rng = simulation, trouble, rng
        self.clock = simulation.clock
        self.start, self.end = trouble.at_ms, trouble.at_ms + trouble.for_ms

    def affected_servers(self) -> list[Server]:
        """Draws the servers that the trouble affects."""
        servers = self.simulation.servers
        count = min(math.ceil(self.trouble.share * len(servers)), len(servers))
        return [servers[index] for index in sorted(self.rng.permutation(len(servers))[:count])]

    def affected_sidecars(self) -> list[Sidecar]:
        """Draws the sidecars that the trouble affects."""
        sidecars = self.simulation.sidecars
        count = min(math.ceil(self.trouble.share * len(sidecars)), len(sidecars))
        return [sidecars[index] for index in sorted(self.rng.permutation(len(sidecars))[:count])]

    def _schedule_span(self, begin: Callable[[], object], end: Callable[[], object]) -> None:
        self.clock.schedule(self.start, begin)
        self.clock.schedule(self.end, end)

    # Servers

    def _plan_stops(self, state: str) -> None:
        for server in self.affected_servers():
            delay = self.rng.uniform(0.0, self.trouble.spread_ms)
            for index in range(self.trouble.times):
                begin = self.start + 2.0 * index * self.trouble.for_ms
                self.clock.schedule(begin, self._stop, server, state)
                self.clock.schedule(begin + self.trouble.for_ms + delay, server.start)

    @staticmethod
    def _stop(server: Server, state: str) -> None:
        if server.state == UP:
            server.stop(state)

    def plan_silent(self) -> None:
        self._plan_stops(SILENT)

    def plan_dead(self) -> None:
        self._plan_stops(DEAD)

    plan_flapping = plan_dead

    def plan_none(self) -> None:
        for server in self.simulation.servers:
            self._schedule_span(partial(self._stop, server, DEAD), server.start)

    def plan_slow(self) -> None:
        for server in self.affected_servers():
            self._schedule_span(
                partial(self._degrade, server, "slow", self.trouble.size),
                partial(self._degrade, server, "slow", 1.0, False),
            )

    def plan_errors(self) -> None:
        default = self.simulation.scenario.servers.error_share
        for server in self.affected_servers():
            self._schedule_span(
                partial(self._degrade, server, "errors", min(self.trouble.size, 1.0)),
                partial(self._degrade, server, "errors", default, False),
            )

    def _degrade(self, server: Server, attribute: str, value: float, unhealthy: bool = True) -> None:
        setattr(server, attribute, value)
        server.mark(attribute, unhealthy)

    def plan_replaced(self) -> None:
        """Stops each affected server at a time of its own, and starts a new one under another name."""
        for server in self.affected_servers():
            self.clock.schedule(
                self.start + self.rng.uniform(0.0, self.trouble.for_ms), self._replace, server
            )

    def _replace(self, server: Server) -> None:
        self._stop(server, DEAD)
        self.simulation.removed_servers.add(server.name)
        self.simulation.add_server(server.kind)

    def plan_drain(self) -> None:
        """Drains one server after the other: each stops once its calls must be done, and restarts cold."""
        affected = self.affected_servers()
        for index, server in enumerate(affected):
            begin = self.start + index * self.trouble.for_ms / max(len(affected), 1)
            self.clock.schedule(begin, self._drain, server)

    def _drain(self, server: Server) -> None:
        longest_deadline = max(item.deadline_ms for item in self.simulation.scenario.classes)
        wait = self.simulation.scenario.allow.drain_grace_ms + longest_deadline
        self.simulation.discovery.update_entry(server, ServerState.DRAINING)
        self.clock.schedule(wait, self._stop, server, DEAD)
        self.clock.schedule(wait + 500.0, server.start)

    def plan_shrink(self) -> None:
        """Reduces the fleet permanently, and the load in proportion."""
        affected = self.affected_servers()
        for index, server in enumerate(affected):
            self.clock.schedule(
                self.start + index * self.trouble.for_ms / len(affected), self._remove, server
            )
        self.clock.schedule(
            self.start, setattr, self.simulation.clients, "load_factor", 1.0 - self.trouble.share
        )

    def _remove(self, server: Server) -> None:
        longest_deadline = max(item.deadline_ms for item in self.simulation.scenario.classes)
        self.simulation.removed_servers.add(server.name)
        self.simulation.discovery.update_entry(server, ServerState.DRAINING)
        self.clock.schedule(
            self.simulation.scenario.allow.drain_grace_ms + longest_deadline, self._stop, server, DEAD
        )

    # Network

    def plan_partition(self) -> None:
        zones = self.simulation.scenario.network.zones
        if len(zones) > 1:
            self._schedule_span(
                lambda: self.simulation.cut_zones.add(zones[-1]),
                lambda: self.simulation.cut_zones.discard(zones[-1]),
            )

    def plan_loss(self) -> None:
        self._schedule_span(
            partial(setattr, self.simulation, "loss_share", min(self.trouble.size, 1.0)),
            partial(setattr, self.simulation, "loss_share", 0.0),
        )

    def _plan_links(self) -> None:
        links = self.simulation.links
        for zones in affected_links(self.simulation.scenario.network.zones, self.trouble, self.rng):
            cuts_requests = self.rng.random() < 0.5
            self._schedule_span(
                partial(links.begin, zones, self.trouble, cuts_requests), partial(links.end, zones)
            )

    plan_cut = plan_one_way = plan_far = plan_lossy = plan_resets = plan_half_open = _plan_links

    # Discovery

    def plan_disagree(self) -> None:
        delays = self.simulation.discovery.extra_delay_by_sidecar
        affected = {sidecar.number: self.trouble.size for sidecar in self.affected_sidecars()}
        self._schedule_span(lambda: delays.update(affected), delays.clear)

    def plan_away(self) -> None:
        self._schedule_span(self.simulation.discovery.begin_outage, self.simulation.discovery.end_outage)

    def plan_late(self) -> None:
        discovery = self.simulation.discovery
        self._schedule_span(
            partial(setattr, discovery, "extra_delay_ms", self.trouble.size),
            partial(setattr, discovery, "extra_delay_ms", 0.0),
        )

    def plan_wrong(self) -> None:
        affected = self.affected_servers()
        self._schedule_span(
            lambda: self.simulation.discovery.report_gone(affected),
            lambda: self.simulation.discovery.report_ready(affected),
        )

    # Clients

    def plan_burst(self) -> None:
        clients = self.simulation.clients
        self._schedule_span(
            partial(setattr, clients, "load_factor", self.trouble.size),
            partial(setattr, clients, "load_factor", 1.0),
        )
        self.clock.schedule(self.start, lambda: self.simulation.evenness.cause(self.clock.now, "burst"))

    def plan_hot(self) -> None:
        factors = self.simulation.clients.sidecar_factors
        affected = {sidecar.number: self.trouble.size for sidecar in self.affected_sidecars()}
        self._schedule_span(lambda: factors.update(affected), factors.clear)

    def plan_loud(self) -> None:
        names = [item.name for item in self.simulation.scenario.members]
        factors, member = self.simulation.clients.member_factors, names.index(self.trouble.member)
        self._schedule_span(
            lambda: factors.update({member: self.trouble.size}), lambda: factors.pop(member, None)
        )

    # Sidecars

    def plan_die(self) -> None:
        for sidecar in self.affected_sidecars():
            delay = self.rng.uniform(0.0, self.trouble.spread_ms)
            self.clock.schedule(self.start, sidecar.crash)
            self.clock.schedule(self.end + delay, self._restart, sidecar)

    @staticmethod
    def _restart(sidecar: Sidecar) -> None:
        if not sidecar.up:
            sidecar.start()

    def plan_pause(self) -> None:
        for sidecar in self.affected_sidecars():
            self._schedule_span(sidecar.pause, sidecar.resume)
        self.clock.schedule(self.end, lambda: self.simulation.evenness.cause(self.clock.now, "resumed"))

    def plan_upgrade(self) -> None:
        for sidecar in self.affected_sidecars():
            begin = self.start + self.rng.uniform(0.0, self.trouble.for_ms)
            for index in range(self.trouble.times):
                instant = begin + index * (self.trouble.for_ms + self.trouble.spread_ms)
                self.clock.schedule(instant, self._upgrade, sidecar.number)

    def _upgrade(self, number: int) -> None:
        simulation = self.simulation
        if number not in simulation.upgrades and simulation.sidecars[number].up:
            versions.SidecarUpgrade(simulation, number, self.trouble.size).begin()
