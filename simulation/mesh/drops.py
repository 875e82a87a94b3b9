"""A simulated mesh that checks which nodes the controllers remove from membership, and under which epoch."""

from __future__ import annotations

from collections.abc import Generator, Mapping
from typing import Any

import simpy

from mesh.data_plane.membership import INSTANCE, NODE
from mesh.event_log import events
from mesh.event_log.events import Event
from mesh.membership.lease import LEASE, REAPING
from mesh.replication.items import Key
from simulation.mesh.world import Incarnation, Machine, World

RECENTLY_HEARD_S = 5.0  # a node may not be removed if a reachable controller heard it within this time
SAME_LOSS_WINDOW_S = 60.0  # removals of one zone within this time are counted together


class ReapingWorld(World):
    """``zones_by_machine`` assigns zones; other machines are in zone z. ``logged_events`` holds the events of
    all processes, ``removed_nodes`` the removed nodes with the time and the machine that removed them."""

    def __init__(self, zones: Mapping[str, str] | None = None) -> None:
        super().__init__()
        self.zones_by_machine = dict(zones or {})
        self.logged_events: list[tuple[float, str, Event, dict[str, Any]]] = []
        self.removed_nodes: list[tuple[float, str, str]] = []

    def zone(self, machine: Machine) -> str:
        return self.zones_by_machine.get(machine.name, "z")

    def instrument(self, incarnation: Incarnation) -> None:
        def record_event(event: Event, /, **values: Any) -> None:
            now = float(self.env.now)
            self.logged_events.append((now, incarnation.machine.name, event, values))
            if event is events.NODE_DROPPED:
                self.removed_nodes.append((now, incarnation.machine.name, values["peer"]))
                self._check_removal(incarnation.machine, values["peer"])

        incarnation.program.event_log.emit = record_event

    def events_of(self, event: Event) -> list[tuple[float, str, dict[str, Any]]]:
        return [(at, name, values) for at, name, known, values in self.logged_events if known is event]

    def _report(self, line: str) -> None:
        self.checker.violations.append(f"{self.env.now:.3f} {line}")

    def _check_removal(self, by: Machine, node: str) -> None:
        """No controller that the removing one reaches may have heard the node recently or know a higher
        epoch; the removing one must reach a majority; and it may not remove most of a zone."""
        now, node_reaper = float(self.env.now), by.program.node_reaper
        for machine, program in self.programs(controllers=True):
            if machine is not by and self.network.is_partitioned(by.ip, machine.ip):
                continue
            for channel in program.channels.open:
                if channel.node == node and now - channel.link.last_received_at < RECENTLY_HEARD_S:
                    self._report(f"{by.name} removes {node}, which {machine.name} hears")
            newest = program.node_reaper.lease.latest
            if machine is not by and node_reaper._held_epoch < newest.epoch:
                self._report(
                    f"{by.name} removes under epoch {node_reaper._held_epoch}, {machine.name} knows {newest}"
                )
        if 2 * self.count_reachable_members(by) <= self.checker.member_count():
            self._report(f"{by.name} removes {node} without a majority")
        zone = self.zone(self.machines[node])
        zone_machines = [machine for machine in self.machines.values() if self.zone(machine) == zone]
        gone = {name for at, _, name in self.removed_nodes if now - at < SAME_LOSS_WINDOW_S} & {
            m.name for m in zone_machines
        }
        if 2 * len(gone) > len(zone_machines):
            self._report(f"{by.name} removes most of zone {zone}: {sorted(gone)}")

    # What each process knows

    def machines_knowing(self, node: str) -> set[str]:
        """The machines whose process knows that node and its upstream."""
        keys: list[Key] = [(NODE, node), (INSTANCE, f"i-{node}")]
        found = set()
        for controllers in (True, False):
            for machine, program in self.programs(controllers):
                items = [program.membership_store.items.get(key) for key in keys]
                if all(item is not None and item.value is not None for item in items):
                    found.add(machine.name)
        return found

    def running_machines(self) -> set[str]:
        return {name for name, machine in self.machines.items() if machine.program is not None}

    def lease_holders(self) -> set[str]:
        """Controllers that currently act under the lease."""
        return {
            machine.name
            for machine, program in self.programs(controllers=True)
            if program.node_reaper._held_epoch
        }

    def agreed_lease(self) -> tuple[int, str]:
        """Epoch and holder of the lease if all controllers have the same, else (0, "")."""
        found = set()
        for _, program in self.programs(controllers=True):
            item = program.membership_store.items.get((LEASE, REAPING))
            found.add((item.version, item.value["holder"]) if item is not None else (0, ""))
        return next(iter(found)) if len(found) == 1 else (0, "")

    def wait_until_settled(self, within_s: float = 40.0) -> Generator[simpy.Event, Any, None]:
        """Until there is one lease holder and all processes know exactly the running proxies."""

        def settled() -> bool:
            proxies = {name for name, machine in self.machines.items() if not machine.is_controller}
            running = self.running_machines()
            return (
                len(self.lease_holders()) == 1
                and self.agreed_lease()[1] in self.lease_holders()
                and all(
                    self.machines_knowing(name) == (running if name in running else set()) for name in proxies
                )
            )

        yield from self.wait_until(
            settled, within_s, "one lease holder, and all processes know exactly the running proxies"
        )
