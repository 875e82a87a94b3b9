"""Model of service discovery: when it notices a change of a server, and when each sidecar receives it."""

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
    """The parts of the simulation that discovery uses."""

    scenario: Scenario
    clock: Clock
    streams: Streams
    evenness: Evenness
    removed_servers: set[str]

    def processes(self) -> list[Sidecar]:
        """Returns all sidecar processes that receive the server list."""


class Discovery:
    """The current server list and its changes by version."""

    def __init__(self, simulation: DiscoveryHost) -> None:
        self.simulation, self.config, self.clock = simulation, simulation.scenario.discovery, simulation.clock
        self.rng = simulation.streams.of("discovery")
        self.entries: dict[str, api.ServerEntry] = {}
        self.changes: list[api.ServerEntry] = []  # the change at index n made version n + 1
        self.is_down, self.extra_delay_ms = False, 0.0
        self.extra_delay_by_sidecar: dict[int, float] = {}  # added delay of a sidecar's updates, by number
        self.wrong: set[str] = set()
        self.free_at = 0.0  # in the mode "ask": when the next call can be served, one after the other

    def initial_list(self, servers: list[Server]) -> tuple[api.ServerEntry, ...]:
        """Returns the list at the start, which every sidecar has."""
        for server in servers:
            self.entries[server.name] = server.entry(ServerState.READY)
        return tuple(self.entries.values())

    # Detection of changes

    def server_stopped(self, server: Server, silent: bool) -> None:
        """Called when a server stops; it is reported as gone after the detection delay."""
        low, high = self.config.silent_notice_ms if silent else self.config.notice_ms
        self.clock.schedule(self.rng.uniform(low, high), self._detect_stop, server, server.epoch)

    def _detect_stop(self, server: Server, epoch: int) -> None:
        if server.epoch == epoch:
            self.update_entry(server, ServerState.GONE)

    def server_started(self, server: Server) -> None:
        """Called when a server starts; it is reported as ready after the registration delay."""
        if server.name not in self.entries:
            self.simulation.evenness.mark(self.clock.now, server.number, "unlisted", True)
        self.clock.schedule(self.rng.uniform(*self.config.add_ms), self._detect_start, server, server.epoch)

    def _detect_start(self, server: Server, epoch: int) -> None:
        if server.epoch == epoch:
            self.update_entry(server, ServerState.READY)

    def update_entry(self, server: Server, state: ServerState) -> None:
        """Changes a server's entry in the list; each subscribed sidecar receives it after its own delay."""
        entry = server.entry(state)
        if self.entries.get(server.name) == entry:
            return
        if state is ServerState.GONE:
            self.entries.pop(server.name, None)
        else:
            self.entries[server.name] = entry
        evenness, now = self.simulation.evenness, self.clock.now
        evenness.mark(now, server.number, "unlisted", state is not ServerState.READY)
        if state is ServerState.READY:
            evenness.cause(now, "listed", (server.number,))
        self.changes.append(entry)
        if self.is_down:
            return
        for sidecar in self.simulation.processes():
            if sidecar.subscribed:
                self.schedule_push(sidecar)

    # Delivery to sidecars

    def schedule_push(self, sidecar: Sidecar) -> None:
        """Schedules the delivery of all changes so far to a sidecar."""
        delay = sidecar.list_delay_rng.uniform(*self.config.lag_ms)  # drawn from the sidecar's own stream
        delay += self.extra_delay_ms + self.extra_delay_by_sidecar.get(sidecar.number, 0.0)
        self.clock.schedule(delay, self._deliver, sidecar, sidecar.incarnation, len(self.changes))

    def _deliver(self, sidecar: Sidecar, incarnation: int, version: int) -> None:
        """Delivers all changes up to a version in their order, without those already delivered."""
        if sidecar.incarnation != incarnation or sidecar.list_version >= version:
            return
        entries = tuple(self.changes[sidecar.list_version : version])
        sidecar.list_version = version
        sidecar.handle_event(api.ServerList(ListKind.DELTA, version, entries))

    def subscribe(self, sidecar: Sidecar) -> None:
        """Handles a sidecar's call for the list and its later changes, in the mode "ask". Calls are served
        one after the other; a call fails if it waits too long or discovery is down."""
        wait = max(self.free_at - self.clock.now, 0.0)
        if self.is_down or wait > self.config.timeout_ms:
            self.clock.schedule(self.config.timeout_ms, self._fail_call, sidecar, sidecar.incarnation)
            return
        self.free_at = self.clock.now + wait + self.config.call_ms
        self.clock.schedule(wait + self.config.call_ms, self._answer_call, sidecar, sidecar.incarnation)

    def _fail_call(self, sidecar: Sidecar, incarnation: int) -> None:
        if sidecar.incarnation == incarnation:
            sidecar.subscribed = False
            sidecar.handle_event(api.ServerList(ListKind.LOST))

    def _answer_call(self, sidecar: Sidecar, incarnation: int) -> None:
        if sidecar.incarnation != incarnation:
            return
        if self.is_down:
            self._fail_call(sidecar, incarnation)
            return
        sidecar.subscribed = True
        sidecar.list_version = len(self.changes)
        sidecar.handle_event(
            api.ServerList(ListKind.FULL, sidecar.list_version, tuple(self.entries.values()))
        )

    def begin_outage(self) -> None:
        """Takes discovery down. Nothing is delivered; in the mode "ask", open calls fail."""
        self.is_down = True
        if self.config.mode == "ask":
            for sidecar in self.simulation.processes():
                if sidecar.subscribed:
                    self._fail_call(sidecar, sidecar.incarnation)

    def end_outage(self) -> None:
        """Brings discovery back. In the mode "push", every sidecar receives the missed changes."""
        self.is_down = False
        self.simulation.evenness.cause(self.clock.now, "discovery restored")
        if self.config.mode == "push":
            for sidecar in self.simulation.processes():
                if sidecar.is_local:
                    self.schedule_push(sidecar)

    def report_gone(self, servers: list[Server]) -> None:
        """Reports servers as gone although they are up."""
        for server in servers:
            self.update_entry(server, ServerState.GONE)

    def report_ready(self, servers: list[Server]) -> None:
        """Reports those of the servers as ready that are up and were not removed."""
        for server in servers:
            if server.state == "up" and server.name not in self.simulation.removed_servers:
                self.update_entry(server, ServerState.READY)
