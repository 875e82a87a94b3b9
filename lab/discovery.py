"""The list of servers: what is noticed, when, and how each sidecar hears of it."""

from __future__ import annotations

from typing import Protocol

from hareloom import interface as api
from hareloom.interface import ListKind, ServerState
from lab.clock import Clock
from lab.evenness import Evenness
from lab.scenario_tables import Scenario
from lab.servers import Server
from lab.sidecars import Sidecar
from lab.streams import Streams


class DiscoveryHost(Protocol):
    """What discovery needs of the simulation that it is part of."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    evenness: Evenness
    removed_servers: set[str]

    def processes(self) -> list[Sidecar]:
        """All that hear of the list."""


class Discovery:
    """The list as it stands, its changes by version, and those who are told."""

    def __init__(self, simulation: DiscoveryHost) -> None:
        self.simulation, self.config, self.clock = simulation, simulation.scenario.discovery, simulation.clock
        self.rng = simulation.streams.of("discovery")
        self.entries: dict[str, api.ServerEntry] = {}
        self.changes: list[api.ServerEntry] = []  # the n-th made version n + 1
        self.is_down, self.extra_delay_ms = False, 0.0
        self.extra_delay_by_sidecar: dict[int, float] = {}  # by sidecar, how much later it hears than others
        self.wrong: set[str] = set()
        self.free_at = 0.0  # asked: calls are served in turn

    def initial_list(self, servers: list[Server]) -> tuple[api.ServerEntry, ...]:
        """The list at the start, which every sidecar has."""
        for server in servers:
            self.entries[server.name] = server.entry(ServerState.READY)
        return tuple(self.entries.values())

    # What is noticed

    def server_stopped(self, server: Server, silent: bool) -> None:
        low, high = self.config.silent_notice_ms if silent else self.config.notice_ms
        self.clock.schedule(self.rng.uniform(low, high), self._gone, server, server.epoch)

    def _gone(self, server: Server, epoch: int) -> None:
        if server.epoch == epoch:
            self.update_entry(server, ServerState.GONE)

    def server_started(self, server: Server) -> None:
        if server.name not in self.entries:
            self.simulation.evenness.mark(self.clock.now, server.number, "unlisted", True)
        self.clock.schedule(self.rng.uniform(*self.config.add_ms), self._added, server, server.epoch)

    def _added(self, server: Server, epoch: int) -> None:
        if server.epoch == epoch:
            self.update_entry(server, ServerState.READY)

    def update_entry(self, server: Server, state: ServerState) -> None:
        """A change of the list; all who are told of changes hear of it, each after its own lag."""
        entry = server.entry(state)
        if self.entries.get(server.name) == entry:
            return
        if state is ServerState.GONE:
            self.entries.pop(server.name, None)
        else:
            self.entries[server.name] = entry
        even, now = self.simulation.evenness, self.clock.now
        even.mark(now, server.number, "unlisted", state is not ServerState.READY)
        if state is ServerState.READY:
            even.cause(now, "listed", (server.number,))
        self.changes.append(entry)
        if self.is_down:
            return
        for sidecar in self.simulation.processes():
            if sidecar.subscribed:
                self.schedule_push(sidecar)

    # How a sidecar hears

    def schedule_push(self, sidecar: Sidecar) -> None:
        lag = sidecar.list_delay_rng.uniform(*self.config.lag_ms)  # its own draws, whatever the others hear
        lag += self.extra_delay_ms + self.extra_delay_by_sidecar.get(sidecar.number, 0.0)
        self.clock.schedule(lag, self._deliver, sidecar, sidecar.incarnation, len(self.changes))

    def _deliver(self, sidecar: Sidecar, incarnation: int, version: int) -> None:
        """All changes up to a version, in their order; one that came by an earlier message is not told
        again."""
        if sidecar.incarnation != incarnation or sidecar.list_version >= version:
            return
        entries = tuple(self.changes[sidecar.list_version : version])
        sidecar.list_version = version
        sidecar.handle_event(api.ServerList(ListKind.DELTA, version, entries))

    def subscribe(self, sidecar: Sidecar) -> None:
        """A call for the changes from here on, where the list is asked for. Calls wait in turn, and fail
        where they wait too long or nobody is there."""
        wait = max(self.free_at - self.clock.now, 0.0)
        if self.is_down or wait > self.config.timeout_ms:
            self.clock.schedule(self.config.timeout_ms, self._failed, sidecar, sidecar.incarnation)
            return
        self.free_at = self.clock.now + wait + self.config.call_ms
        self.clock.schedule(wait + self.config.call_ms, self._answered, sidecar, sidecar.incarnation)

    def _failed(self, sidecar: Sidecar, incarnation: int) -> None:
        if sidecar.incarnation == incarnation:
            sidecar.subscribed = False
            sidecar.handle_event(api.ServerList(ListKind.LOST))

    def _answered(self, sidecar: Sidecar, incarnation: int) -> None:
        if sidecar.incarnation != incarnation:
            return
        if self.is_down:
            self._failed(sidecar, incarnation)
            return
        sidecar.subscribed = True
        sidecar.list_version = len(self.changes)
        sidecar.handle_event(
            api.ServerList(ListKind.FULL, sidecar.list_version, tuple(self.entries.values()))
        )

    def begin_outage(self) -> None:
        """Pushed: nothing comes. Asked: the calls that wait end."""
        self.is_down = True
        if self.config.mode == "ask":
            for sidecar in self.simulation.processes():
                if sidecar.subscribed:
                    self._failed(sidecar, sidecar.incarnation)

    def end_outage(self) -> None:
        self.is_down = False
        self.simulation.evenness.cause(self.clock.now, "discovery is back")
        if self.config.mode == "push":
            for sidecar in self.simulation.processes():
                if sidecar.is_local:
                    self.schedule_push(sidecar)

    def report_gone(self, servers: list[Server]) -> None:
        """Servers that answer are called gone."""
        for server in servers:
            self.update_entry(server, ServerState.GONE)

    def report_ready(self, servers: list[Server]) -> None:
        for server in servers:
            if server.state == "up" and server.name not in self.simulation.removed_servers:
                self.update_entry(server, ServerState.READY)
