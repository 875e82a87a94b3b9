"""What befalls a divided service in drawn plays: upstreams, proxies and control processes end, freeze, are
cut off, drain and come back, alone and at once. Deterministic by the seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from simulation.mesh.key_servers import OwnersWorld
from simulation.mesh.world import Machine, Script

Trouble = Callable[[OwnersWorld, random.Random], Script]
DRAIN_S, BACK_S = 2.5, 1.5
LONG_CUT_S = 14.0  # others have taken the keys over by then


def _side(world: OwnersWorld, draw: random.Random) -> Machine:
    return draw.choice([machine for machine in world.machines.values() if not machine.core])


def _core(world: OwnersWorld, draw: random.Random) -> Machine:
    return draw.choice(world.controllers())


def _named_for_a_while(world: OwnersWorld, names: set[str], draw: random.Random) -> Script:
    machine = _side(world, draw)
    names.add(machine.name)
    yield world.env.timeout(draw.uniform(1.0, 8.0))
    names.discard(machine.name)


def _cut_for_a_while(
    world: OwnersWorld, ones: Sequence[Machine], others: Sequence[Machine], seconds: float
) -> Script:
    world.cut(ones, others)
    yield world.env.timeout(seconds)
    world.heal()


def upstream_crashes(world: OwnersWorld, draw: random.Random) -> Script:
    """Without a word; another life begins there."""
    machine = _side(world, draw)
    world.end_server(machine)
    yield world.env.timeout(draw.choice((0.05, BACK_S)))
    world.start_server(machine)


def upstream_drains(world: OwnersWorld, draw: random.Random) -> Script:
    """It says that it leaves, serves on and ends; another one comes there later."""
    machine = _side(world, draw)
    server = world.servers.get(machine.name)
    if server is None:
        return
    server.state = "decaying"
    yield world.env.timeout(DRAIN_S)
    if world.servers.get(machine.name) is server:
        world.end_server(machine)
        yield world.env.timeout(0.5)
        world.start_server(machine)


def upstream_unheard(world: OwnersWorld, draw: random.Random) -> Script:
    """Its beats are not answered for a while; it goes on."""
    yield from _named_for_a_while(world, world.deaf, draw)


def answers_lost(world: OwnersWorld, draw: random.Random) -> Script:
    """The proxy has its upstream's beats, and its answers are lost."""
    yield from _named_for_a_while(world, world.mute, draw)


def proxy_killed(world: OwnersWorld, draw: random.Random) -> Script:
    """Its upstream goes on."""
    machine = _side(world, draw)
    world.kill(machine)
    world.restart(machine)
    yield world.env.timeout(0.0)


def proxy_frozen(world: OwnersWorld, draw: random.Random) -> Script:
    """And wakes as if nothing had passed."""
    world.freeze(_side(world, draw), draw.uniform(0.5, 7.0))
    yield world.env.timeout(0.0)


def proxy_cut_off(world: OwnersWorld, draw: random.Random) -> Script:
    """From all control processes, not from its upstream."""
    one = _side(world, draw)
    yield from _cut_for_a_while(world, [one], world.controllers(), draw.uniform(0.5, LONG_CUT_S))


def island(world: OwnersWorld, draw: random.Random) -> Script:
    """A proxy reaches one control process, and that one no other."""
    machine, one = _side(world, draw), _core(world, draw)
    others = [other for other in world.controllers() if other is not one]
    yield from _cut_for_a_while(world, [machine, one], others, draw.uniform(3.0, LONG_CUT_S))


def machine_dark(world: OwnersWorld, draw: random.Random) -> Script:
    """Proxy and upstream lose power together."""
    machine = _side(world, draw)
    world.end_server(machine)
    world.power_off(machine)
    yield world.env.timeout(draw.uniform(0.5, 6.0))
    world.restart(machine, 0.0)
    yield world.env.timeout(0.2)
    world.start_server(machine)


def controller_killed(world: OwnersWorld, draw: random.Random) -> Script:
    """Its disk stays."""
    machine = _core(world, draw)
    world.kill(machine)
    world.restart(machine)
    yield world.env.timeout(0.0)


def controller_frozen(world: OwnersWorld, draw: random.Random) -> Script:
    """Whoever it is, also the one that proposes."""
    world.freeze(_core(world, draw), draw.uniform(0.5, 7.0))
    yield world.env.timeout(0.0)


def controllers_halved(world: OwnersWorld, draw: random.Random) -> Script:
    """One is cut off from the others, and reaches the proxies still."""
    one = _core(world, draw)
    others = [other for other in world.controllers() if other is not one]
    yield from _cut_for_a_while(world, [one], others, draw.uniform(0.5, 6.0))


def all_controllers_killed(world: OwnersWorld, draw: random.Random) -> Script:
    """At one moment; their disks stay."""
    for machine in world.controllers():
        world.kill(machine)
        world.restart(machine, draw.uniform(0.1, 0.9))
    yield world.env.timeout(0.0)


def long_island(world: OwnersWorld) -> Script:
    """For longer than it takes until others have the keys of its proxy."""
    machine, one = world.machines["s1"], world.controllers()[0]
    world.cut([machine, one], [other for other in world.controllers() if other is not one])
    yield world.env.timeout(LONG_CUT_S)


def map_withheld(world: OwnersWorld) -> Script:
    """A proxy is told which map holds, and does not get it; its upstream drains and hears no answer."""
    program = world.machines["s1"].program
    program.key_holds.apply_item = lambda _: None
    world.servers["s1"].state = "decaying"
    yield world.env.timeout(LONG_CUT_S)


def restart_while_unheard(world: OwnersWorld) -> Script:
    """An upstream that drains gets no answers, and goes on by its last one; its proxy starts over."""
    world.mute.add("s1")
    world.servers["s1"].state = "decaying"
    yield world.env.timeout(0.7)
    world.kill(world.machines["s1"])
    world.restart(world.machines["s1"])
    yield world.env.timeout(6.0)


SCENES: tuple[Callable[[OwnersWorld], Script], ...] = (long_island, map_withheld, restart_while_unheard)
"""Plays of one trouble each, for clauses that drawn ones seldom need."""

TROUBLES: tuple[Trouble, ...] = (
    upstream_crashes,
    upstream_drains,
    upstream_unheard,
    proxy_killed,
    proxy_frozen,
    proxy_cut_off,
    island,
    answers_lost,
    machine_dark,
    controller_killed,
    controller_frozen,
    controllers_halved,
    all_controllers_killed,
)


def drawn(world: OwnersWorld, seed: int, count: int = 5) -> Script:
    """So many troubles, some of them at one moment, others while those before last."""
    draw = random.Random(seed)
    for _ in range(count):
        for _ in range(draw.choice((1, 1, 2, 3))):
            world.env.process(draw.choice(TROUBLES)(world, draw))
        yield world.env.timeout(draw.choice((0.02, 0.3, 2.0, 5.0)))


def traffic(world: OwnersWorld, seed: int, per_s: float = 40.0) -> Script:
    """Requests that first hops count, most of them on a few keys that lie together; their place moves."""
    draw = random.Random(seed)
    hot = draw.randrange(65536)
    while True:
        yield world.env.timeout(0.25)
        if draw.random() < 0.02:
            hot = draw.randrange(65536)
        for _, program in world.programs(core=False):
            for _ in range(int(per_s * 0.25)):
                near = int(draw.paretovariate(0.6)) - 1
                program.balancers.keys.count("p", (hot + near) % 65536)
