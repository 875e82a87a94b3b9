"""Random faults of a sharded service: upstreams, proxies and controllers crash, freeze, drain, are
partitioned and recover, some at the same time. Deterministic for each seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from simulation.mesh.key_servers import KeyOwnershipWorld
from simulation.mesh.world import Machine, Script

FaultScript = Callable[[KeyOwnershipWorld, random.Random], Script]
DRAIN_S, RESTART_DELAY_S = 2.5, 1.5
LONG_PARTITION_S = 14.0  # long enough for other instances to take the keys over


def _draw_proxy(world: KeyOwnershipWorld, rng: random.Random) -> Machine:
    return rng.choice([machine for machine in world.machines.values() if not machine.is_controller])


def _draw_controller(world: KeyOwnershipWorld, rng: random.Random) -> Machine:
    return rng.choice(world.controllers())


def _mark_for_a_while(world: KeyOwnershipWorld, names: set[str], rng: random.Random) -> Script:
    machine = _draw_proxy(world, rng)
    names.add(machine.name)
    yield world.env.timeout(rng.uniform(1.0, 8.0))
    names.discard(machine.name)


def _partition_for_a_while(
    world: KeyOwnershipWorld, group: Sequence[Machine], others: Sequence[Machine], seconds: float
) -> Script:
    world.partition(group, others)
    yield world.env.timeout(seconds)
    world.heal()


def upstream_crash(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """The upstream ends without notice and is started again."""
    machine = _draw_proxy(world, rng)
    world.stop_instance(machine)
    yield world.env.timeout(rng.choice((0.05, RESTART_DELAY_S)))
    world.start_instance(machine)


def upstream_drain(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """The upstream announces that it drains, serves on and ends; another one starts there later."""
    machine = _draw_proxy(world, rng)
    instance = world.instances.get(machine.name)
    if instance is None:
        return
    instance.state = "decaying"
    yield world.env.timeout(DRAIN_S)
    if world.instances.get(machine.name) is instance:
        world.stop_instance(machine)
        yield world.env.timeout(0.5)
        world.start_instance(machine)


def heartbeats_lost(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """The proxy does not receive its upstream's heartbeats for a while."""
    yield from _mark_for_a_while(world, world.lost_heartbeats, rng)


def answers_lost(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """The proxy receives heartbeats, but its answers are lost for a while."""
    yield from _mark_for_a_while(world, world.lost_answers, rng)


def proxy_killed(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """Restarts the proxy; its upstream keeps running."""
    machine = _draw_proxy(world, rng)
    world.kill(machine)
    world.restart(machine)
    yield world.env.timeout(0.0)


def proxy_frozen(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """The proxy is frozen and continues without noticing."""
    world.freeze(_draw_proxy(world, rng), rng.uniform(0.5, 7.0))
    yield world.env.timeout(0.0)


def proxy_partitioned(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """Cuts the proxy off from all controllers, but not from its upstream."""
    proxy = _draw_proxy(world, rng)
    yield from _partition_for_a_while(world, [proxy], world.controllers(), rng.uniform(0.5, LONG_PARTITION_S))


def proxy_with_isolated_controller(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """A proxy and one controller reach each other, but not the other controllers."""
    proxy, controller = _draw_proxy(world, rng), _draw_controller(world, rng)
    others = [other for other in world.controllers() if other is not controller]
    yield from _partition_for_a_while(world, [proxy, controller], others, rng.uniform(3.0, LONG_PARTITION_S))


def machine_power_loss(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """Proxy and upstream lose power together."""
    machine = _draw_proxy(world, rng)
    world.stop_instance(machine)
    world.power_off(machine)
    yield world.env.timeout(rng.uniform(0.5, 6.0))
    world.restart(machine, 0.0)
    yield world.env.timeout(0.2)
    world.start_instance(machine)


def controller_killed(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """Restarts a controller; its disk survives."""
    machine = _draw_controller(world, rng)
    world.kill(machine)
    world.restart(machine)
    yield world.env.timeout(0.0)


def controller_frozen(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """Any controller, including the current proposer."""
    world.freeze(_draw_controller(world, rng), rng.uniform(0.5, 7.0))
    yield world.env.timeout(0.0)


def controller_isolated(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """One controller is cut off from the others, but not from the proxies."""
    controller = _draw_controller(world, rng)
    others = [other for other in world.controllers() if other is not controller]
    yield from _partition_for_a_while(world, [controller], others, rng.uniform(0.5, 6.0))


def all_controllers_killed(world: KeyOwnershipWorld, rng: random.Random) -> Script:
    """All controllers at once; their disks survive."""
    for machine in world.controllers():
        world.kill(machine)
        world.restart(machine, rng.uniform(0.1, 0.9))
    yield world.env.timeout(0.0)


def long_isolation(world: KeyOwnershipWorld) -> Script:
    """A proxy with an isolated controller, for longer than it takes to reassign the proxy's keys."""
    proxy, controller = world.machines["s1"], world.controllers()[0]
    world.partition([proxy, controller], [other for other in world.controllers() if other is not controller])
    yield world.env.timeout(LONG_PARTITION_S)


def map_withheld(world: KeyOwnershipWorld) -> Script:
    """A proxy learns the current map version but does not receive the map, while its upstream drains."""
    program = world.machines["s1"].program
    program.key_holds.apply_item = lambda _: None
    world.instances["s1"].state = "decaying"
    yield world.env.timeout(LONG_PARTITION_S)


def restart_while_unheard(world: KeyOwnershipWorld) -> Script:
    """A draining upstream receives no answers and continues by its last one, while its proxy restarts."""
    world.lost_answers.add("s1")
    world.instances["s1"].state = "decaying"
    yield world.env.timeout(0.7)
    world.kill(world.machines["s1"])
    world.restart(world.machines["s1"])
    yield world.env.timeout(6.0)


SCENES: tuple[Callable[[KeyOwnershipWorld], Script], ...] = (
    long_isolation,
    map_withheld,
    restart_while_unheard,
)
"""Scenarios for clauses that random plays seldom exercise."""

FAULTS: tuple[FaultScript, ...] = (
    upstream_crash,
    upstream_drain,
    heartbeats_lost,
    proxy_killed,
    proxy_frozen,
    proxy_partitioned,
    proxy_with_isolated_controller,
    answers_lost,
    machine_power_loss,
    controller_killed,
    controller_frozen,
    controller_isolated,
    all_controllers_killed,
)


def inject_random_faults(world: KeyOwnershipWorld, seed: int, count: int = 5) -> Script:
    """Injects ``count`` rounds of random faults: some at the same moment, some while earlier group last."""
    rng = random.Random(seed)
    for _ in range(count):
        for _ in range(rng.choice((1, 1, 2, 3))):
            world.env.process(rng.choice(FAULTS)(world, rng))
        yield world.env.timeout(rng.choice((0.02, 0.3, 2.0, 5.0)))


def traffic(world: KeyOwnershipWorld, seed: int, per_s: float = 40.0) -> Script:
    """Requests counted by the first hops, most of them for a few neighbouring keys; the hot range moves."""
    rng = random.Random(seed)
    hot = rng.randrange(65536)
    while True:
        yield world.env.timeout(0.25)
        if rng.random() < 0.02:
            hot = rng.randrange(65536)
        for _, program in world.programs(controllers=False):
            for _ in range(int(per_s * 0.25)):
                near = int(rng.paretovariate(0.6)) - 1
                program.balancers.keys.count("p", (hot + near) % 65536)
