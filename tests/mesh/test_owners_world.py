"""Key ownership of a sharded service in virtual time: keys are assigned, renewed, moved and taken over, and
an external check detects when two upstreams hold one key."""

import random
from collections.abc import Callable
from typing import Any

import numpy as np
import pytest

from simulation.mesh import key_seeds, key_troubles
from simulation.mesh.key_servers import KEY_COUNT, KeyOwnershipWorld, sharded_service_body
from simulation.mesh.world import Script

ASSIGNMENT_S = 8.0  # all keys are held this long after the first configuration
TAKEOVER_S = 12.0  # and this long after the last fault
MAX_PLAYS = 40  # in which a seeded fault must be detected


def start_mesh(world: KeyOwnershipWorld, controllers: int = 3, proxies: int = 4) -> Script:
    """A running mesh in which all keys are held."""
    yield from world.boot(controllers, proxies)
    answer = yield from world.commit(world.controllers(), sharded_service_body(1))
    assert answer.status == 200
    yield from wait_until_all_held(world, ASSIGNMENT_S)


def wait_until_all_held(world: KeyOwnershipWorld, within_s: float) -> Script:
    yield from world.wait_until(
        lambda: bool(np.all(world.holder_counts() == 1)), within_s, "each key has one holder"
    )


def run_play(scenario: Callable[[KeyOwnershipWorld], Script]) -> list[str]:
    def script(world: KeyOwnershipWorld) -> Script:
        yield from start_mesh(world)
        yield from scenario(world)

    with KeyOwnershipWorld() as world:
        return world.run(script)  # type: ignore[arg-type]


def test_each_key_of_a_divided_service_comes_to_be_held_by_one_upstream_and_stays_so() -> None:
    def scenario(world: KeyOwnershipWorld) -> Script:
        for _ in range(40):
            yield world.env.timeout(0.25)
            assert np.all(world.holder_counts() == 1)

    assert run_play(scenario) == []


def test_holds_outlast_the_restart_of_a_proxy_and_of_all_control_processes() -> None:
    def scenario(world: KeyOwnershipWorld) -> Script:
        world.kill(world.machines["s1"])
        world.restart(world.machines["s1"])
        yield world.env.timeout(1.0)
        for machine in world.controllers():
            world.kill(machine)
            world.restart(machine)
        for _ in range(24):
            yield world.env.timeout(0.25)
            assert np.all(world.holder_counts() == 1)

    assert run_play(scenario) == []


def test_keys_of_a_draining_upstream_have_no_holder_only_briefly() -> None:
    def scenario(world: KeyOwnershipWorld) -> Script:
        instance = world.instances["s2"]
        instance.state = "decaying"
        without = np.zeros(KEY_COUNT)
        for _ in range(100):
            yield world.env.timeout(0.05)
            without += 0.05 * (world.holder_counts() == 0)
        assert not instance.rows and without.max() <= 1.5

    assert run_play(scenario) == []


@pytest.mark.parametrize("fault", key_troubles.FAULTS, ids=lambda one: one.__name__)
def test_after_each_trouble_alone_all_keys_are_held_again(fault: key_troubles.FaultScript) -> None:
    def scenario(world: KeyOwnershipWorld) -> Script:
        yield from fault(world, random.Random(4))
        yield world.env.timeout(0.5)
        yield from wait_until_all_held(world, TAKEOVER_S + 7.0)  # a freeze lasts up to 7 s

    assert run_play(scenario) == []


@pytest.mark.parametrize("seed", range(8))
def test_whatever_befalls_no_key_is_held_twice_and_all_are_held_in_the_end(seed: int) -> None:
    def scenario(world: KeyOwnershipWorld) -> Script:
        world.env.process(key_troubles.traffic(world, seed))
        yield from key_troubles.inject_random_faults(world, seed)
        yield world.env.timeout(8.0)
        world.heal()
        yield from wait_until_all_held(world, TAKEOVER_S)

    assert run_play(scenario) == []


def test_a_hot_key_range_is_spread_over_all_upstreams() -> None:
    def scenario(world: KeyOwnershipWorld) -> Script:
        rng = random.Random(3)

        def requests() -> Script:
            while True:
                yield world.env.timeout(0.25)
                for _, program in world.programs(controllers=False):
                    for _ in range(20):
                        program.balancers.keys.count("p", int(2048 * rng.random()))

        world.env.process(requests())
        yield world.env.timeout(14.0)
        held = [np.count_nonzero(one.held_until[:2048] > world.env.now) for one in world.instances.values()]
        assert sum(held) == 2048 and max(held) < 0.4 * 2048

    assert run_play(scenario) == []


@pytest.mark.parametrize("seed_fault", key_seeds.SEEDED_FAULTS, ids=lambda one: one.__name__)
def test_a_clause_of_the_argument_that_is_taken_out_is_seen(seed_fault: Callable[[], Any]) -> None:
    """At least one of the plays must detect it."""

    def scenario(number: int) -> Callable[[KeyOwnershipWorld], Script]:
        def script(world: KeyOwnershipWorld) -> Script:
            world.env.process(key_troubles.traffic(world, number))
            yield from key_troubles.inject_random_faults(world, number, count=7)
            yield world.env.timeout(6.0)

        return script

    for play in [*key_troubles.SCENES, *(scenario(number) for number in range(MAX_PLAYS))]:
        with seed_fault():
            if any("OWNER" in line for line in run_play(play)):
                return
    pytest.fail(f"not detected in {MAX_PLAYS} plays")


@pytest.mark.parametrize("scene", key_troubles.SCENES, ids=lambda one: one.__name__)
def test_scenarios_for_single_clauses_violate_nothing(scene: Callable[[KeyOwnershipWorld], Script]) -> None:
    assert not any("OWNER" in line for line in run_play(scene))


def test_after_all_upstreams_restart_keys_are_held_again_without_waiting_for_leases() -> None:
    """No lease needs to expire if the proxy beside a holder knows that its incarnation has ended."""

    def scenario(world: KeyOwnershipWorld) -> Script:
        machines = list(world.machines.values())
        for machine in machines:
            world.stop_instance(machine)
            world.power_off(machine)
        yield world.env.timeout(1.0)
        for machine in machines:
            world.restart(machine, 0.1)
        yield world.env.timeout(0.3)
        for machine in machines:
            if not machine.is_controller:
                world.start_instance(machine)
        yield from wait_until_all_held(world, 7.0)

    assert run_play(scenario) == []
