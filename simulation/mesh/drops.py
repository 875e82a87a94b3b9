"""A world with zones that watches whom the control processes give up, and under which epoch."""

from __future__ import annotations

from collections.abc import Generator, Mapping
from typing import Any

import simpy

from mesh.data_plane.membership import INSTANCE, NODE
from mesh.event_log import events
from mesh.event_log.events import Event
from mesh.membership.lease import LEASE, REAPING
from mesh.replication.items import Key
from simulation.mesh.world import Life, Machine, World

HEARD_S = 5.0  # a node heard within it by one whom the dropping process reaches is not gone
TOGETHER_S = 60.0  # drops of one zone within it count as one


class Drops(World):
    """``zones`` by machine; the others are in zone z. ``told`` has all events of all processes, ``dropped``
    the nodes that were given up with the instant and the machine that did."""

    def __init__(self, zones: Mapping[str, str] | None = None) -> None:
        super().__init__()
        self.zones = dict(zones or {})
        self.told: list[tuple[float, str, Event, dict[str, Any]]] = []
        self.dropped: list[tuple[float, str, str]] = []

    def zone(self, machine: Machine) -> str:
        return self.zones.get(machine.name, "z")

    def dress(self, life: Life) -> None:
        def record_event(event: Event, /, **values: Any) -> None:
            now = float(self.env.now)
            self.told.append((now, life.machine.name, event, values))
            if event is events.NODE_DROPPED:
                self.dropped.append((now, life.machine.name, values["peer"]))
                self._judge(life.machine, values["peer"])

        life.program.event_log.emit = record_event

    def events(self, event: Event) -> list[tuple[float, str, dict[str, Any]]]:
        return [(at, name, values) for at, name, known, values in self.told if known is event]

    def _say(self, line: str) -> None:
        self.witness.broken.append(f"{self.env.now:.3f} {line}")

    def _judge(self, by: Machine, node: str) -> None:
        """No process that the dropping one reaches may have heard the node of late, or know a higher epoch;
        it reaches more than half of the members; and no zone goes all at once."""
        now, node_reaper = float(self.env.now), by.program.node_reaper
        for machine, program in self.programs(core=True):
            if machine is not by and self.wire.parted(by.ip, machine.ip):
                continue
            for channel in program.channels.open:
                if channel.node == node and now - channel.link.last_received_at < HEARD_S:
                    self._say(f"{by.name} drops {node}, which {machine.name} hears")
            newest = program.node_reaper.lease.latest
            if machine is not by and node_reaper._held_epoch < newest.epoch:
                self._say(f"{by.name} drops under {node_reaper._held_epoch}, {machine.name} knows {newest}")
        if 2 * self.reaches(by) <= self.witness.members():
            self._say(f"{by.name} drops {node} and is cut off from most")
        zone = self.zone(self.machines[node])
        there = [machine for machine in self.machines.values() if self.zone(machine) == zone]
        gone = {name for at, _, name in self.dropped if now - at < TOGETHER_S} & {m.name for m in there}
        if 2 * len(gone) > len(there):
            self._say(f"{by.name} drops most of zone {zone}: {sorted(gone)}")

    # What each process knows

    def know(self, node: str) -> set[str]:
        """The processes that know that node and its upstream."""
        keys: list[Key] = [(NODE, node), (INSTANCE, f"i-{node}")]
        found = set()
        for core in (True, False):
            for machine, program in self.programs(core):
                items = [program.membership_store.items.get(key) for key in keys]
                if all(item is not None and item.value is not None for item in items):
                    found.add(machine.name)
        return found

    def running(self) -> set[str]:
        return {name for name, machine in self.machines.items() if machine.program is not None}

    def holders(self) -> set[str]:
        """Control processes that act under the lease now."""
        return {
            machine.name for machine, program in self.programs(core=True) if program.node_reaper._held_epoch
        }

    def standing(self) -> tuple[int, str]:
        """The claim in the membership store where all control processes have the same one, else (0, "")."""
        found = set()
        for _, program in self.programs(core=True):
            item = program.membership_store.items.get((LEASE, REAPING))
            found.add((item.version, item.value["holder"]) if item is not None else (0, ""))
        return next(iter(found)) if len(found) == 1 else (0, "")

    def settles(self, within_s: float = 40.0) -> Generator[simpy.Event, Any, None]:
        """The world is well again: one holder, and all know the sidecars that run and no others."""

        def well() -> bool:
            sides = {name for name, machine in self.machines.items() if not machine.core}
            running = self.running()
            return (
                len(self.holders()) == 1
                and self.standing()[1] in self.holders()
                and all(self.know(name) == (running if name in running else set()) for name in sides)
            )

        yield from self.until(well, within_s, "one holder, and all know those that run and no others")
