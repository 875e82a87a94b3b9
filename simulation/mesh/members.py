"""What befalls the members of a core: machines that come, are told to end, go for good and come back. Plays
of them, by hand and drawn; what is played through ends in a core that confirms writes."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable

from mesh.runtime.settings import Bounds
from simulation.mesh import troubles
from simulation.mesh.world import Machine, Script, World

Play = Callable[[World], Script]
BOUNDS = Bounds()
SETTLES_S = BOUNDS.convergence_s
JOINS_S = 10.0
ACK_S = BOUNDS.ack_ms / 1000.0


def change(version: int) -> bytes:
    rule = {
        "name": "r1",
        "kind": "idempotent",
        "epoch": f"r{version}",
        "predicate": {"prefix": "/r1/"},
        "response": {"plant": "p", "horizon_ms": 800, "trials": 2},
    }
    ports = [{"host": "h", "control_law": [rule]}]
    plants = [{"name": "p", "epoch": f"r{version}"}]
    return json.dumps({"apply": {"input_ports": ports, "plant_groups": plants}}).encode()


def begin(world: World, number: int) -> Machine:
    """A new machine, told of three that run as its seeds."""
    machine = world.add(f"c{number}", f"10.0.0.{number}")
    running = [one for one, _ in world.programs(core=True)]
    world.founders = (running or world.controllers())[-3:]
    world.start(machine)
    return machine


def end(world: World, machine: Machine) -> Script:
    """SIGTERM: the process ends by itself, or is killed after its grace."""
    life = machine.life
    if life is None or not life.alive or life.program is None:
        return
    done = world.env.event()

    async def stop() -> None:
        await life.program.stop()
        if not done.triggered:
            done.succeed()

    life.context.run(world.loop.create_task, stop())
    yield done | world.env.timeout(BOUNDS.grace_s)
    if machine.life is life:
        world.kill(machine)


def go(world: World, machine: Machine) -> None:
    """For good, with its disk."""
    world.power_off(machine)
    machine.disk.wipe()
    world.machines.pop(machine.name, None)


def counts(world: World, machines: Iterable[Machine]) -> Callable[[], bool]:
    """Whether these and no others count, by all of them."""
    wanted = {machine.ip for machine in machines}

    def holds() -> bool:
        views = [machine.program.member_set.view() for machine in machines if machine.program is not None]
        return len(views) == len(wanted) and all(
            not view.joint and set(view.members) == wanted for view in views
        )

    return holds


def confirms(world: World, version: int, within_s: float = ACK_S) -> Script:
    """A write is acknowledged in time by those that run."""
    began = world.env.now
    running = [machine for machine, _ in world.programs(core=True)]
    answer = yield from world.commit(running, change(version))
    took = world.env.now - began
    if answer is None or answer.status != 200 or took > within_s:
        world.witness.broken.append(f"order r{version}: {answer and answer.status} after {took:.1f} s")


# By hand


def replaced_in_turn(world: World) -> Script:
    """As a release of machines does it: three that run end as three others; each successor first."""
    for number, old in enumerate(list(world.controllers())):
        yield from confirms(world, 3 * number + 1)
        new = begin(world, 11 + number)
        yield from world.joined([new], JOINS_S)
        yield from confirms(world, 3 * number + 2)
        yield from end(world, old)
        go(world, old)
        yield from confirms(world, 3 * number + 3)
    yield from world.until(counts(world, world.controllers()), SETTLES_S, "three new machines count")
    yield from confirms(world, 20)


def replaced_end_first(world: World) -> Script:
    """The machine is taken away, and its successor begins after it."""
    for number, old in enumerate(list(world.controllers())):
        yield from end(world, old)
        go(world, old)
        yield from confirms(world, 2 * number + 1)
        begin(world, 11 + number)
        yield from world.until(
            counts(world, world.controllers()), JOINS_S, f"the successor of {old.name} counts in its place"
        )
        yield from confirms(world, 2 * number + 2)


def lost_replaced_and_lost(world: World) -> Script:
    """One is gone for good, its successor counts; after a further loss writes still succeed, and so again."""
    for number in (11, 12, 13):
        go(world, world.controllers()[0])
        yield from confirms(world, 2 * number)
        yield world.env.timeout(1.0)
        new = begin(world, number)
        yield from world.joined([new], JOINS_S)
        yield world.env.timeout(SETTLES_S)
        yield from confirms(world, 2 * number + 1)


def wiped_in_turn(world: World) -> Script:
    """Four times right after an acknowledgement, each a little over `convergence_s` after the return."""
    for number in range(4):
        yield from confirms(world, number + 1)
        unlucky = world.controllers()[number % len(world.controllers())]
        life = unlucky.life
        assert life is not None
        troubles.wiped(world, life, None)
        yield world.env.timeout(1.0 + SETTLES_S + 0.1)
        yield from world.joined([unlucky], 0.1)


def wiped_while_replaced(world: World) -> Script:
    """The same while the core is replaced machine by machine."""
    for number, old in enumerate(list(world.controllers())):
        yield from confirms(world, number + 1)
        unlucky = world.controllers()[1]
        life = unlucky.life
        assert life is not None
        troubles.wiped(world, life, None)
        new = begin(world, 11 + number)
        yield world.env.timeout(1.0 + SETTLES_S)
        yield from world.joined([new, unlucky], 1.0)
        yield from end(world, old)
        go(world, old)
        yield world.env.timeout(SETTLES_S)
    yield from confirms(world, 9)


def two_leave(world: World) -> Script:
    """Two at once, the one that acknowledged last among them."""
    first, second = world.controllers()[:2]
    yield from world.commit([first], change(1))
    one, other = world.env.process(end(world, first)), world.env.process(end(world, second))
    yield one & other
    for machine in (first, second):
        go(world, machine)
    left = world.controllers()
    if len(left) >= 3:
        yield from world.until(counts(world, left), SETTLES_S, "those that stay count alone")
        yield from confirms(world, 2)


def comes_back(world: World) -> Script:
    """A machine that was taken out comes back with its disk, after changes that it never heard of."""
    old = world.controllers()[0]
    yield from confirms(world, 1)
    new = begin(world, 9)
    yield from world.joined([new], JOINS_S)
    yield from end(world, old)
    world.power_off(old)
    del world.machines[old.name]
    yield world.env.timeout(1.0)
    for version in range(2, 8):
        yield from confirms(world, version)
    world.machines[old.name] = old
    world.wire.back(old.ip)
    world.start(old)
    yield from world.joined([old], JOINS_S)
    yield from confirms(world, 8)


def power_after_a_change(world: World) -> Script:
    """All lose power right after a change of members, and one its disk."""
    new = begin(world, 9)
    first = world.controllers()[0]
    epoch = first.program.member_set.view().epoch
    yield from world.until(
        lambda: first.program.member_set.view().epoch > epoch, JOINS_S, "a change of members begins"
    )
    life = new.life
    assert life is not None
    troubles.other_wiped(world, life, None)
    yield world.env.timeout(6.0)
    yield from confirms(world, 1)


def half_removed_while_cut(world: World) -> Script:
    """Neither half takes the other out, by silence or by a word."""
    cores = world.controllers()
    half = cores[: len(cores) // 2]
    world.cut(half, [machine for machine in world.machines.values() if machine not in half])
    yield world.env.timeout(40.0)
    before = {machine.name: machine.program.member_set.view().epoch for machine in cores}
    for machine, gone in ((cores[0], cores[-1]), (cores[-1], cores[0])):
        told: list[object] = []

        async def remove(one: Machine = machine, other: Machine = gone, told: list[object] = told) -> None:
            told.append(await one.program.member_changes.remove({"node": other.name}))

        assert machine.life is not None
        machine.life.context.run(world.loop.create_task, remove())
        yield world.env.timeout(6.0)
        if not told or isinstance(told[0], dict):
            world.witness.broken.append(f"{machine.name}: a word removed {gone.name}: {told}")
    for machine in cores:
        if machine.program.member_set.view().epoch != before[machine.name]:
            world.witness.broken.append(f"{machine.name}: members changed while halves were cut")
    world.heal()
    yield world.env.timeout(3.0)
    yield from confirms(world, 1)


def killed_before_anything(world: World) -> Script:
    """Of a first start: all processes are killed before their first batch is on disk."""
    for machine in world.founders:
        world.kill(machine)
        machine.disk.begun, machine.disk.rows = True, {}
    yield world.env.timeout(0.5)
    for machine in world.founders:
        world.start(machine)
    yield from world.joined(world.founders, JOINS_S)
    yield from confirms(world, 1)


# Drawn


def drawn(seed: int) -> tuple[int, Play]:
    """A core of three to five, and what befalls it: never more is lost at once than is borne, and the next
    loss comes `convergence_s` after the end of the one before."""
    dice = random.Random(seed)
    cores = dice.choice((3, 3, 3, 4, 5))

    def play(world: World) -> Script:
        version, number = 0, 10
        for _ in range(dice.randrange(2, 5)):
            version += 1
            yield from world.commit([m for m, _ in world.programs(core=True)], change(version))
            what = dice.choice(("wipe", "crash", "power", "replace", "lose", "end", "back", "all", "cut"))
            one = dice.choice(world.controllers())
            life = one.life
            assert life is not None
            if what in ("wipe", "crash", "power"):
                {"wipe": troubles.wiped, "crash": troubles.crash, "power": troubles.power}[what](
                    world, life, None
                )
                yield world.env.timeout(dice.uniform(1.0, 2.0))
            elif what == "replace":
                number += 1
                new = begin(world, number)
                yield world.env.timeout(dice.uniform(0.0, 3.0))
                yield from world.joined([new], JOINS_S)
                yield from end(world, one)
                go(world, one)
            elif what == "lose":
                number += 1
                go(world, one)
                yield world.env.timeout(dice.uniform(0.0, 2.0))
                new = begin(world, number)
                yield from world.joined([new], JOINS_S)
            elif what == "end":
                yield from end(world, one)
                world.restart(one, dice.uniform(0.1, 2.0))
                yield world.env.timeout(2.0)
            elif what == "back":
                others = [machine for machine in world.machines.values() if machine is not one]
                world.cut([one], others)
                yield world.env.timeout(dice.choice((1.0, 6.0, 25.0)))
                world.heal()
            elif what == "all":
                troubles.all_killed(world, life, None)
                yield world.env.timeout(1.0)
            else:
                others = [machine for machine in world.machines.values() if machine is not one]
                world.cut([one], others, both=False)
                yield world.env.timeout(dice.uniform(0.5, 5.0))
                world.heal()
            version += 1
            yield from world.commit([m for m, _ in world.programs(core=True)], change(version))
            yield world.env.timeout(SETTLES_S + dice.uniform(0.0, 1.0))
            yield from world.joined([m for m in world.controllers()], JOINS_S)
            yield from confirms(world, version := version + 1)

    return cores, play


def played(cores: int, play: Play, proxies: int = 1) -> list[str]:
    """One play in a world of its own; what was broken, a line each."""

    def script(world: World) -> Script:
        yield from world.boot(cores, proxies)
        world.env.process(world.witness.watch())
        yield from play(world)
        world.heal()
        yield world.env.timeout(3.0)
        yield from world.witness.finish()

    with World() as world:
        return world.run(script)
