"""Keys of a divided service, in virtual time on the shipped programs: given, renewed, moved, taken over, with
a ledger outside that knows every moment at which two upstreams hold one key."""

import random
from collections.abc import Callable
from typing import Any

import numpy as np
import pytest

from simulation.mesh import key_seeds, key_troubles
from simulation.mesh.key_servers import KEYS, OwnersWorld, divided
from simulation.mesh.world import Script

GIVEN_S = 8.0  # after the first configuration all keys are held
TAKEN_OVER_S = 12.0  # after the last trouble, too
PLAYS_MOST = 40  # in which a seeded fault must be seen


def start(world: OwnersWorld, cores: int = 3, proxies: int = 4) -> Script:
    """A mesh in service, all of whose keys are held."""
    yield from world.boot(cores, proxies)
    answer = yield from world.commit(world.controllers(), divided(1))
    assert answer.status == 200
    yield from all_held(world, GIVEN_S)


def all_held(world: OwnersWorld, within_s: float) -> Script:
    yield from world.until(lambda: bool(np.all(world.holders() == 1)), within_s, "each key has one holder")


def played(day: Callable[[OwnersWorld], Script]) -> list[str]:
    def script(world: OwnersWorld) -> Script:
        yield from start(world)
        yield from day(world)

    with OwnersWorld() as world:
        return world.run(script)  # type: ignore[arg-type]


def test_each_key_of_a_divided_service_comes_to_be_held_by_one_upstream_and_stays_so() -> None:
    def day(world: OwnersWorld) -> Script:
        for _ in range(40):
            yield world.env.timeout(0.25)
            assert np.all(world.holders() == 1)

    assert played(day) == []


def test_holds_outlast_the_restart_of_a_proxy_and_of_all_control_processes() -> None:
    def day(world: OwnersWorld) -> Script:
        world.kill(world.machines["s1"])
        world.restart(world.machines["s1"])
        yield world.env.timeout(1.0)
        for machine in world.controllers():
            world.kill(machine)
            world.restart(machine)
        for _ in range(24):
            yield world.env.timeout(0.25)
            assert np.all(world.holders() == 1)

    assert played(day) == []


def test_keys_of_one_that_drains_are_without_a_holder_for_a_moment_only() -> None:
    def day(world: OwnersWorld) -> Script:
        server = world.servers["s2"]
        server.state = "decaying"
        without = np.zeros(KEYS)
        for _ in range(100):
            yield world.env.timeout(0.05)
            without += 0.05 * (world.holders() == 0)
        assert not server.rows and without.max() <= 1.5

    assert played(day) == []


@pytest.mark.parametrize("trouble", key_troubles.TROUBLES, ids=lambda one: one.__name__)
def test_after_each_trouble_alone_all_keys_are_held_again(trouble: key_troubles.Trouble) -> None:
    def day(world: OwnersWorld) -> Script:
        yield from trouble(world, random.Random(4))
        yield world.env.timeout(0.5)
        yield from all_held(world, TAKEN_OVER_S + 7.0)  # a freeze lasts up to 7 s

    assert played(day) == []


@pytest.mark.parametrize("seed", range(8))
def test_whatever_befalls_no_key_is_held_twice_and_all_are_held_in_the_end(seed: int) -> None:
    def day(world: OwnersWorld) -> Script:
        world.env.process(key_troubles.traffic(world, seed))
        yield from key_troubles.drawn(world, seed)
        yield world.env.timeout(8.0)
        world.heal()
        yield from all_held(world, TAKEN_OVER_S)

    assert played(day) == []


def test_one_busy_part_of_the_keys_is_spread_over_all_upstreams() -> None:
    def day(world: OwnersWorld) -> Script:
        draw = random.Random(3)

        def requests() -> Script:
            while True:
                yield world.env.timeout(0.25)
                for _, program in world.programs(core=False):
                    for _ in range(20):
                        program.balancers.keys.count("p", int(2048 * draw.random()))

        world.env.process(requests())
        yield world.env.timeout(14.0)
        held = [np.count_nonzero(one.until[:2048] > world.env.now) for one in world.servers.values()]
        assert sum(held) == 2048 and max(held) < 0.4 * 2048

    assert played(day) == []


@pytest.mark.parametrize("seed", key_seeds.SEEDS, ids=lambda one: one.__name__)
def test_a_clause_of_the_argument_that_is_taken_out_is_seen(seed: Callable[[], Any]) -> None:
    """In one of some drawn plays, by the ledger."""

    def day(number: int) -> Callable[[OwnersWorld], Script]:
        def script(world: OwnersWorld) -> Script:
            world.env.process(key_troubles.traffic(world, number))
            yield from key_troubles.drawn(world, number, count=7)
            yield world.env.timeout(6.0)

        return script

    for play in [*key_troubles.SCENES, *(day(number) for number in range(PLAYS_MOST))]:
        with seed():
            if any("OWNER" in line for line in played(play)):
                return
    pytest.fail(f"not seen in {PLAYS_MOST} plays")


@pytest.mark.parametrize("scene", key_troubles.SCENES, ids=lambda one: one.__name__)
def test_scenes_that_need_one_clause_each_break_nothing(scene: Callable[[OwnersWorld], Script]) -> None:
    assert not any("OWNER" in line for line in played(scene))


def test_after_a_loss_of_all_keys_are_held_again_by_the_next_lives_words() -> None:
    """No lease is waited for where the proxy beside it knows that the last holder is over."""

    def day(world: OwnersWorld) -> Script:
        machines = list(world.machines.values())
        for machine in machines:
            world.end_server(machine)
            world.power_off(machine)
        yield world.env.timeout(1.0)
        for machine in machines:
            world.restart(machine, 0.1)
        yield world.env.timeout(0.3)
        for machine in machines:
            if not machine.core:
                world.start_server(machine)
        yield from all_held(world, 7.0)

    assert played(day) == []
