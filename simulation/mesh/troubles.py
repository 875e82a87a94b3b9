"""Faults that can be injected at a numbered fault point. Each is one loss that the mesh must tolerate."""

from __future__ import annotations

from simulation.mesh.wire import ConnectionEnd
from simulation.mesh.world import POWER_S, RESTART_S, Fault, Incarnation, Machine, World

FRAME_DELAY_S = 0.7
PARTITION_S = 2.5
DISK_FAULT_S = 1.5


def crash(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """Kills the process and restarts it."""
    world.kill(incarnation.machine)
    world.restart(incarnation.machine)
    return None


def power(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """The machine loses power, without a reset of its connections."""
    world.power_off(incarnation.machine)
    world.restart(incarnation.machine, POWER_S)
    return None


def wiped(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """The machine loses power and returns with an empty disk."""
    world.power_off(incarnation.machine)
    incarnation.machine.disk.wipe()
    world.restart(incarnation.machine, POWER_S)
    return None


def all_killed(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """Kills the processes of all controllers; their disks survive."""
    for number, machine in enumerate(world.controllers()):
        world.kill(machine)
        world.restart(machine, RESTART_S + 0.05 * number)
    return None


def all_power_one_wiped(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """All machines lose power, and this controller (or the first one) loses its disk."""
    victim = incarnation.machine if incarnation.machine.is_controller else world.controllers()[0]
    for machine in world.machines.values():
        world.power_off(machine)
        world.restart(machine, POWER_S)
    victim.disk.wipe()
    return None


def other_wiped(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """All machines lose power, and the next controller loses its disk."""
    controllers = world.controllers()
    at = controllers.index(incarnation.machine) + 1 if incarnation.machine in controllers else 0
    victim = controllers[at % len(controllers)]
    for machine in world.machines.values():
        world.power_off(machine)
        world.restart(machine, POWER_S)
    victim.disk.wipe()
    return None


def frame_lost(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """The frame is lost with its connection."""
    if end is None:
        return 0.0
    world.network.break_connection(end)
    return None


def frame_duplicated(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """The frame arrives, its connection is lost, and the frame arrives again on the next connection."""
    if end is None:
        return 0.0
    world.loop.call_later(0.01, world.network.break_connection, end)
    data = end.last_frame
    world.network.duplicates[(end.incarnation, end.other.incarnation)] = data
    return 0.0


def frame_delayed(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """Delays the frame and all frames behind it."""
    return FRAME_DELAY_S if end is not None else 0.0


def one_way(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """From this frame on nothing from here reaches the receiver, for a while."""
    if end is None:
        return 0.0
    world.partition([incarnation.machine], [end.other.incarnation.machine], both_ways=False)
    world.loop.call_later(PARTITION_S, world.heal)
    return 0.0


def alone(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """This machine is cut off from all others, for a while."""
    others: list[Machine] = [one for one in world.machines.values() if one is not incarnation.machine]
    world.partition([incarnation.machine], others)
    world.loop.call_later(PARTITION_S, world.heal)
    return 0.0


def refuses(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """Writes to the disk fail, for a while."""
    incarnation.machine.disk.fails_until = world.env.now + DISK_FAULT_S
    return 0.0


def hangs(world: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
    """Writes to the disk hang, and complete later."""
    incarnation.machine.disk.hangs_until = world.env.now + DISK_FAULT_S
    return 0.0


PROCESS_FAULTS: dict[str, Fault] = {
    fault.__name__: fault for fault in (crash, power, wiped, all_killed, all_power_one_wiped, other_wiped)
}
DISK_LOSSES = frozenset({wiped, all_power_one_wiped, other_wiped})
FRAME_FAULTS: dict[str, Fault] = {
    fault.__name__: fault for fault in (frame_lost, frame_duplicated, frame_delayed, one_way, alone)
}
DISK_FAULTS: dict[str, Fault] = {fault.__name__: fault for fault in (refuses, hangs)}


def applicable(kind: str, controller: bool) -> dict[str, Fault]:
    """The faults that have an effect at a point of that kind."""
    if not controller:
        return {"crash": crash, **(FRAME_FAULTS if kind == "send" else {})}
    found = dict(PROCESS_FAULTS)
    if kind == "send":
        found |= FRAME_FAULTS
    if kind in ("sync", "synced", "merge"):
        found |= DISK_FAULTS
    return found
