"""Fixed and random plays in which controllers join, stop, are lost for good and return. After each play the
remaining members must acknowledge writes."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable

from mesh.runtime.settings import Bounds
from simulation.mesh import troubles
from simulation.mesh.world import Machine, Script, World

Play = Callable[[World], Script]
BOUNDS = Bounds()
CONVERGENCE_S = BOUNDS.convergence_s
JOIN_S = 10.0
ACK_S = BOUNDS.ack_ms / 1000.0


def write_body(version: int) -> bytes:
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


def start_successor(world: World, number: int) -> Machine:
    """Starts a new controller with three running ones as seeds."""
    machine = world.add(f"c{number}", f"10.0.0.{number}")
    running = [one for one, _ in world.programs(controllers=True)]
    world.founders = (running or world.controllers())[-3:]
    world.start(machine)
    return machine


def stop_machine(world: World, machine: Machine) -> Script:
    """Sends SIGTERM: the process ends by itself or is killed after the grace period."""
    incarnation = machine.incarnation
    if incarnation is None or not incarnation.alive or incarnation.program is None:
        return
    done = world.env.event()

    async def stop() -> None:
        await incarnation.program.stop()
        if not done.triggered:
            done.succeed()

    incarnation.context.run(world.loop.create_task, stop())
    yield done | world.env.timeout(BOUNDS.grace_s)
    if machine.incarnation is incarnation:
        world.kill(machine)


def remove_machine(world: World, machine: Machine) -> None:
    """The machine is lost for good, with its disk."""
    world.power_off(machine)
    machine.disk.wipe()
    world.machines.pop(machine.name, None)


def are_members(world: World, machines: Iterable[Machine]) -> Callable[[], bool]:
    """A predicate: all of these machines agree that they, and no others, are the members."""
    wanted = {machine.ip for machine in machines}

    def holds() -> bool:
        views = [machine.program.member_set.view() for machine in machines if machine.program is not None]
        return len(views) == len(wanted) and all(
            not view.joint and set(view.members) == wanted for view in views
        )

    return holds


def confirm_write(world: World, version: int, within_s: float = ACK_S) -> Script:
    """Running controllers acknowledge a write in time."""
    began = world.env.now
    running = [machine for machine, _ in world.programs(controllers=True)]
    answer = yield from world.commit(running, write_body(version))
    elapsed_s = world.env.now - began
    if answer is None or answer.status != 200 or elapsed_s > within_s:
        world.checker.violations.append(
            f"write r{version}: {answer and answer.status} after {elapsed_s:.1f} s"
        )


# Fixed plays


def replace_in_turn(world: World) -> Script:
    """Replaces three controllers, starting each successor before the old one stops."""
    for number, old in enumerate(list(world.controllers())):
        yield from confirm_write(world, 3 * number + 1)
        new = start_successor(world, 11 + number)
        yield from world.wait_for_members([new], JOIN_S)
        yield from confirm_write(world, 3 * number + 2)
        yield from stop_machine(world, old)
        remove_machine(world, old)
        yield from confirm_write(world, 3 * number + 3)
    yield from world.wait_until(
        are_members(world, world.controllers()), CONVERGENCE_S, "three new machines are members"
    )
    yield from confirm_write(world, 20)


def replace_after_stop(world: World) -> Script:
    """Stops each machine before its successor starts."""
    for number, old in enumerate(list(world.controllers())):
        yield from stop_machine(world, old)
        remove_machine(world, old)
        yield from confirm_write(world, 2 * number + 1)
        start_successor(world, 11 + number)
        yield from world.wait_until(
            are_members(world, world.controllers()),
            JOIN_S,
            f"the successor of {old.name} is a member in its place",
        )
        yield from confirm_write(world, 2 * number + 2)


def lose_and_replace_repeatedly(world: World) -> Script:
    """Loses a controller for good and replaces it, three times; writes succeed after each loss."""
    for number in (11, 12, 13):
        remove_machine(world, world.controllers()[0])
        yield from confirm_write(world, 2 * number)
        yield world.env.timeout(1.0)
        new = start_successor(world, number)
        yield from world.wait_for_members([new], JOIN_S)
        yield world.env.timeout(CONVERGENCE_S)
        yield from confirm_write(world, 2 * number + 1)


def wipe_in_turn(world: World) -> Script:
    """Wipes a disk right after an acknowledgement, four times, each `convergence_s` after the last
    recovery."""
    for number in range(4):
        yield from confirm_write(world, number + 1)
        victim = world.controllers()[number % len(world.controllers())]
        incarnation = victim.incarnation
        assert incarnation is not None
        troubles.wiped(world, incarnation, None)
        yield world.env.timeout(1.0 + CONVERGENCE_S + 0.1)
        yield from world.wait_for_members([victim], 0.1)


def wipe_while_replacing(world: World) -> Script:
    """Wipes disks while all controllers are replaced."""
    for number, old in enumerate(list(world.controllers())):
        yield from confirm_write(world, number + 1)
        victim = world.controllers()[1]
        incarnation = victim.incarnation
        assert incarnation is not None
        troubles.wiped(world, incarnation, None)
        new = start_successor(world, 11 + number)
        yield world.env.timeout(1.0 + CONVERGENCE_S)
        yield from world.wait_for_members([new, victim], 1.0)
        yield from stop_machine(world, old)
        remove_machine(world, old)
        yield world.env.timeout(CONVERGENCE_S)
    yield from confirm_write(world, 9)


def two_members_leave(world: World) -> Script:
    """Two members stop at the same time, including the one that acknowledged last."""
    first, second = world.controllers()[:2]
    yield from world.commit([first], write_body(1))
    one, other = world.env.process(stop_machine(world, first)), world.env.process(stop_machine(world, second))
    yield one & other
    for machine in (first, second):
        remove_machine(world, machine)
    left = world.controllers()
    if len(left) >= 3:
        yield from world.wait_until(
            are_members(world, left), CONVERGENCE_S, "the remaining machines are the only members"
        )
        yield from confirm_write(world, 2)


def removed_machine_returns(world: World) -> Script:
    """A removed machine returns with its disk, after changes that it has not seen."""
    old = world.controllers()[0]
    yield from confirm_write(world, 1)
    new = start_successor(world, 9)
    yield from world.wait_for_members([new], JOIN_S)
    yield from stop_machine(world, old)
    world.power_off(old)
    del world.machines[old.name]
    yield world.env.timeout(1.0)
    for version in range(2, 8):
        yield from confirm_write(world, version)
    world.machines[old.name] = old
    world.network.power_on(old.ip)
    world.start(old)
    yield from world.wait_for_members([old], JOIN_S)
    yield from confirm_write(world, 8)


def power_loss_after_member_change(world: World) -> Script:
    """All machines lose power right after a change of members, and one loses its disk."""
    new = start_successor(world, 9)
    first = world.controllers()[0]
    epoch = first.program.member_set.view().epoch
    yield from world.wait_until(
        lambda: first.program.member_set.view().epoch > epoch, JOIN_S, "a change of members begins"
    )
    incarnation = new.incarnation
    assert incarnation is not None
    troubles.other_wiped(world, incarnation, None)
    yield world.env.timeout(6.0)
    yield from confirm_write(world, 1)


def remove_across_partition(world: World) -> Script:
    """Neither half removes the other, because of silence or on an operator's request."""
    controllers = world.controllers()
    half = controllers[: len(controllers) // 2]
    world.partition(half, [machine for machine in world.machines.values() if machine not in half])
    yield world.env.timeout(40.0)
    before = {machine.name: machine.program.member_set.view().epoch for machine in controllers}
    for machine, gone in ((controllers[0], controllers[-1]), (controllers[-1], controllers[0])):
        answers: list[object] = []

        async def remove(
            one: Machine = machine, other: Machine = gone, answers: list[object] = answers
        ) -> None:
            answers.append(await one.program.member_changes.remove({"node": other.name}))

        assert machine.incarnation is not None
        machine.incarnation.context.run(world.loop.create_task, remove())
        yield world.env.timeout(6.0)
        if not answers or isinstance(answers[0], dict):
            world.checker.violations.append(f"{machine.name}: a request removed {gone.name}: {answers}")
    for machine in controllers:
        if machine.program.member_set.view().epoch != before[machine.name]:
            world.checker.violations.append(f"{machine.name}: members changed during the partition")
    world.heal()
    yield world.env.timeout(3.0)
    yield from confirm_write(world, 1)


def killed_before_first_batch(world: World) -> Script:
    """On a first start all processes are killed before their first batch is on disk."""
    for machine in world.founders:
        world.kill(machine)
        machine.disk.initialized, machine.disk.rows = True, {}
    yield world.env.timeout(0.5)
    for machine in world.founders:
        world.start(machine)
    yield from world.wait_for_members(world.founders, JOIN_S)
    yield from confirm_write(world, 1)


# Random plays


def draw_play(seed: int) -> tuple[int, Play]:
    """A random number of controllers and a play in which no more is lost at once than tolerated, and each
    loss comes `convergence_s` after the end of the one before."""
    rng = random.Random(seed)
    controllers = rng.choice((3, 3, 3, 4, 5))

    def play(world: World) -> Script:
        version, number = 0, 10
        for _ in range(rng.randrange(2, 5)):
            version += 1
            yield from world.commit([m for m, _ in world.programs(controllers=True)], write_body(version))
            fault = rng.choice(("wipe", "crash", "power", "replace", "lose", "end", "back", "all", "cut"))
            target = rng.choice(world.controllers())
            incarnation = target.incarnation
            assert incarnation is not None
            if fault in ("wipe", "crash", "power"):
                {"wipe": troubles.wiped, "crash": troubles.crash, "power": troubles.power}[fault](
                    world, incarnation, None
                )
                yield world.env.timeout(rng.uniform(1.0, 2.0))
            elif fault == "replace":
                number += 1
                new = start_successor(world, number)
                yield world.env.timeout(rng.uniform(0.0, 3.0))
                yield from world.wait_for_members([new], JOIN_S)
                yield from stop_machine(world, target)
                remove_machine(world, target)
            elif fault == "lose":
                number += 1
                remove_machine(world, target)
                yield world.env.timeout(rng.uniform(0.0, 2.0))
                new = start_successor(world, number)
                yield from world.wait_for_members([new], JOIN_S)
            elif fault == "end":
                yield from stop_machine(world, target)
                world.restart(target, rng.uniform(0.1, 2.0))
                yield world.env.timeout(2.0)
            elif fault == "back":
                others = [machine for machine in world.machines.values() if machine is not target]
                world.partition([target], others)
                yield world.env.timeout(rng.choice((1.0, 6.0, 25.0)))
                world.heal()
            elif fault == "all":
                troubles.all_killed(world, incarnation, None)
                yield world.env.timeout(1.0)
            else:
                others = [machine for machine in world.machines.values() if machine is not target]
                world.partition([target], others, both_ways=False)
                yield world.env.timeout(rng.uniform(0.5, 5.0))
                world.heal()
            version += 1
            yield from world.commit([m for m, _ in world.programs(controllers=True)], write_body(version))
            yield world.env.timeout(CONVERGENCE_S + rng.uniform(0.0, 1.0))
            yield from world.wait_for_members([m for m in world.controllers()], JOIN_S)
            yield from confirm_write(world, version := version + 1)

    return controllers, play


def run_play(controllers: int, play: Play, proxies: int = 1) -> list[str]:
    """Runs one play in a new world and returns the violations."""

    def script(world: World) -> Script:
        yield from world.boot(controllers, proxies)
        world.env.process(world.checker.watch())
        yield from play(world)
        world.heal()
        yield world.env.timeout(3.0)
        yield from world.checker.check_recovered()

    with World() as world:
        return world.run(script)
