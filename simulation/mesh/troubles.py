"""What may befall a process at a numbered point. Each is one loss that the deployment must bear."""

from __future__ import annotations

from simulation.mesh.wire import End
from simulation.mesh.world import POWER_S, RESTART_S, Fault, Life, Machine, World

LATE_S = 0.7
CUT_S = 2.5
DISK_S = 1.5


def crash(world: World, life: Life, end: End | None) -> float | None:
    """The process is killed here, and started again."""
    world.kill(life.machine)
    world.restart(life.machine)
    return None


def power(world: World, life: Life, end: End | None) -> float | None:
    """The machine loses power here: nobody is told."""
    world.power_off(life.machine)
    world.restart(life.machine, POWER_S)
    return None


def wiped(world: World, life: Life, end: End | None) -> float | None:
    """The machine comes back with an empty disk."""
    world.power_off(life.machine)
    life.machine.disk.wipe()
    world.restart(life.machine, POWER_S)
    return None


def all_killed(world: World, life: Life, end: End | None) -> float | None:
    """Every process of the core is killed; their disks stay."""
    for number, machine in enumerate(world.controllers()):
        world.kill(machine)
        world.restart(machine, RESTART_S + 0.05 * number)
    return None


def all_power_one_wiped(world: World, life: Life, end: End | None) -> float | None:
    """All machines lose power, and one its disk: the one here, or the first where it has none."""
    unlucky = life.machine if life.machine.core else world.controllers()[0]
    for machine in world.machines.values():
        world.power_off(machine)
        world.restart(machine, POWER_S)
    unlucky.disk.wipe()
    return None


def other_wiped(world: World, life: Life, end: End | None) -> float | None:
    """As above, and the disk that is lost is the next machine's."""
    cores = world.controllers()
    at = cores.index(life.machine) + 1 if life.machine in cores else 0
    unlucky = cores[at % len(cores)]
    for machine in world.machines.values():
        world.power_off(machine)
        world.restart(machine, POWER_S)
    unlucky.disk.wipe()
    return None


def lost(world: World, life: Life, end: End | None) -> float | None:
    """The frame is lost, and its connection."""
    if end is None:
        return 0.0
    world.wire.break_off(end)
    return None


def doubled(world: World, life: Life, end: End | None) -> float | None:
    """The frame arrives; the connection is lost, and the frame arrives once more on the next one."""
    if end is None:
        return 0.0
    world.loop.call_later(0.01, world.wire.break_off, end)
    data = end.written
    world.wire.again[(end.life, end.other.life)] = data
    return 0.0


def late(world: World, life: Life, end: End | None) -> float | None:
    """The frame, and all behind it, is late."""
    return LATE_S if end is not None else 0.0


def one_way(world: World, life: Life, end: End | None) -> float | None:
    """From this frame on nothing gets from here to its receiver, for a while."""
    if end is None:
        return 0.0
    world.cut([life.machine], [end.other.life.machine], both=False)
    world.loop.call_later(CUT_S, world.heal)
    return 0.0


def alone(world: World, life: Life, end: End | None) -> float | None:
    """This machine is cut off from all others, for a while."""
    others: list[Machine] = [one for one in world.machines.values() if one is not life.machine]
    world.cut([life.machine], others)
    world.loop.call_later(CUT_S, world.heal)
    return 0.0


def refuses(world: World, life: Life, end: End | None) -> float | None:
    """The disk refuses what it is given, for a while."""
    life.machine.disk.refuses_until = world.env.now + DISK_S
    return 0.0


def hangs(world: World, life: Life, end: End | None) -> float | None:
    """The disk hangs, and goes on."""
    life.machine.disk.hangs_until = world.env.now + DISK_S
    return 0.0


PROCESS: dict[str, Fault] = {
    fault.__name__: fault for fault in (crash, power, wiped, all_killed, all_power_one_wiped, other_wiped)
}
DISK_LOSSES = frozenset({wiped, all_power_one_wiped, other_wiped})
FRAME: dict[str, Fault] = {fault.__name__: fault for fault in (lost, doubled, late, one_way, alone)}
DISK: dict[str, Fault] = {fault.__name__: fault for fault in (refuses, hangs)}


def fitting(kind: str, core: bool) -> dict[str, Fault]:
    """Those that make a difference at a point of that kind."""
    if not core:
        return {"crash": crash, **(FRAME if kind == "send" else {})}
    found = dict(PROCESS)
    if kind == "send":
        found |= FRAME
    if kind in ("sync", "synced", "merge"):
        found |= DISK
    return found
