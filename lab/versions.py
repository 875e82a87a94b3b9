"""Upgrades: a sidecar that is two processes for a while, as when its version is replaced under load.

The new process starts with the server list of the old one, asks for the old one's measurements, which
have aged by the time they arrive, and takes new connections once it is ready. Calls on connections that
clients keep open still go to the old process for a while; it finishes what it has and ends. On a slow disk
that both share, the two processes are stalled in turn.
"""

from __future__ import annotations

from typing import Protocol

from hareloom import Balancer
from hareloom import interface as api
from lab.discovery import Discovery
from lab.sidecars import Sidecar, SidecarHost

# From the start until the old process is asked for its measurements, and again until they arrive.
REQUEST_DELAY_MS = 100.0
READY_AFTER_MS = 400.0  # from the start until the new process is ready
CONNECTION_DRAIN_MS = 2000.0  # over which clients stop using their connections to the old process
EXIT_MARGIN_MS = 700.0  # after the longest deadline, before the platform ends the old process


class UpgradeHost(SidecarHost, Protocol):
    """What an upgrade needs of its simulation."""

    sidecars: list[Sidecar]
    upgrades: dict[int, SidecarUpgrade]

    @property
    def discovery(self) -> Discovery:
        """The list of servers, which new processes subscribe to."""


class SidecarUpgrade:
    """The upgrade of a sidecar. ``stall_ms``: how long each process is stalled in turn; 0 for no stalls."""

    def __init__(self, simulation: UpgradeHost, number: int, stall_ms: float) -> None:
        """Creates the new process; ``begin`` starts it."""
        self.simulation, self.clock, self.number, self.stall_ms = (
            simulation,
            simulation.clock,
            number,
            stall_ms,
        )
        self.old = simulation.sidecars[number]
        self.new = type(self.old)(
            simulation, number, self.old.policy, self.old.watch_storms, self.old.generation + 1
        )
        self.rng = simulation.streams.of("change", number, self.new.generation)
        self.ready_at = -1.0

    def begin(self) -> None:
        """Starts the new process and schedules the steps of the upgrade."""
        simulation, old, new = self.simulation, self.old, self.new
        simulation.upgrades[self.number] = self
        new.known = dict(old.known)
        new.list_version = old.list_version
        new.start()
        if new.subscribed:
            # A new subscription gets all changes, including those that have not reached the old process yet.
            simulation.discovery.schedule_push(new)
        deadline = max(item.deadline_ms for item in simulation.scenario.classes)
        self.clock.schedule(REQUEST_DELAY_MS, self._request_learned)
        self.clock.schedule(READY_AFTER_MS, self._become_ready)
        self.clock.schedule(READY_AFTER_MS + max(deadline, CONNECTION_DRAIN_MS) + EXIT_MARGIN_MS, self._end)
        if self.stall_ms > 0:
            self.clock.schedule(0.0, self._stall_in_turn, new, old)

    def other_processes(self) -> list[Sidecar]:
        """The process of the two that is not in the simulation's list of sidecars."""
        return [self.new] if self.ready_at < 0.0 else [self.old]

    def serving_process(self) -> Sidecar:
        """The process that receives the next request."""
        if self.ready_at < 0.0:
            return self.old
        old_share = 1.0 - (self.clock.now - self.ready_at) / CONNECTION_DRAIN_MS
        return self.old if self.old.up and self.rng.random() < old_share else self.new

    def _request_learned(self) -> None:
        balancer = self.old.balancer
        if isinstance(balancer, Balancer):
            learnt = balancer.learnt(self.clock.now)
            self.clock.schedule(REQUEST_DELAY_MS, self._apply_learned, learnt, self.clock.now)

    def _apply_learned(self, learnt: api.Learnt, requested_at: float) -> None:
        from anisestair.recovery import beliefs  # missing when an older revision's decisions are played

        balancer, now = self.new.balancer, self.clock.now
        if isinstance(balancer, Balancer) and self.new.up:
            server_start_times = {name: server.entry.started_at for name, server in balancer.servers.items()}
            balancer.believe(
                now, beliefs.faded(learnt, now - requested_at, balancer.mean_aim, server_start_times)
            )

    def _become_ready(self) -> None:
        self.ready_at = self.clock.now
        self.simulation.sidecars[self.number] = self.new

    def _stall_in_turn(self, stalled: Sidecar, next_stalled: Sidecar) -> None:
        if self.simulation.upgrades.get(self.number) is not self:
            return
        stalled.pause()
        self.clock.schedule(self.stall_ms, stalled.resume)
        self.clock.schedule(self.stall_ms, self._stall_in_turn, next_stalled, stalled)

    def _end(self) -> None:
        """Ends the old process; calls that it still has are cut off."""
        self.old.resume()
        self.old.crash()
        if self.simulation.upgrades.get(self.number) is self:
            del self.simulation.upgrades[self.number]
