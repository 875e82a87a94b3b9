"""Promises of the operators' pages in virtual time: a first start in any order, before anyone listens; later
starts with seeds that changed, are cut off or down; many writes over a long day."""

import itertools
import json
from typing import Any

import pytest

from mesh.runtime.settings import Settings
from simulation.mesh.world import Machine, Script, World

MAX_START_SPREAD_S = 0.3  # all start within this time
ACK_S = 4.0


def write_body(version: int, name: str = "r1") -> bytes:
    rule = {
        "name": name,
        "kind": "idempotent",
        "epoch": f"r{version}",
        "predicate": {"prefix": f"/{name}/"},
        "response": {"plant": "p", "horizon_ms": 800, "trials": 2},
    }
    plant = {"name": "p", "epoch": f"r{version}"}
    apply = {"input_ports": [{"host": "h", "control_law": [rule]}], "plant_groups": [plant]}
    return json.dumps({"apply": apply}).encode()


def in_force(world: World, version: int) -> bool:
    programs = [program for _, program in world.programs(controllers=False)]
    routes = [program.routes.get("r1") for program in programs]
    return all(route is not None and route.version == version for route in routes)


ORDERS = [order for at, order in enumerate(itertools.permutations(range(5))) if at % 12 == 0]


@pytest.mark.parametrize("order", ORDERS, ids=str)
def test_the_first_start_goes_in_any_order_with_no_seed_listening_yet(order: tuple[int, ...]) -> None:
    """Three founders, a fourth controller and a proxy, started as far apart as allowed."""

    def first(world: World) -> Script:
        world.founders = [world.add(f"c{n}", f"10.0.0.{n}") for n in range(1, 4)]
        machines = [
            *world.founders,
            world.add("c4", "10.0.0.4"),
            world.add("s1", "10.0.1.1", controller=False),
        ]
        began = world.env.now
        for at in order:
            world.start(machines[at], cold=True)
            yield world.env.timeout(MAX_START_SPREAD_S / (len(order) - 1))
        answer = yield from world.commit(world.controllers(), write_body(1))
        assert answer.status == 200 and world.env.now - began < ACK_S
        yield from world.wait_until(lambda: in_force(world, 1), 2.0, "the route is in force")
        yield from world.wait_for_members(world.controllers())
        programs = [program for _, program in world.programs(controllers=True)]
        assert all(len(program.member_set.members()) == 4 for program in programs)
        yield from world.checker.check_recovered()

    with World() as world:
        assert world.run(first) == []


class ReseededWorld(World):
    """A world in which later starts have other seeds."""

    seeds: tuple[str, ...] = ()

    def settings(self, machine: Machine, cold: bool) -> Settings:
        settings = super().settings(machine, cold)
        if cold or not self.seeds:
            return settings
        fields: dict[str, Any] = {name: getattr(settings, name) for name in Settings.__struct_fields__}
        return Settings(**{**fields, "seeds": tuple((host, 8146) for host in self.seeds)})


def test_a_later_start_goes_by_one_seed_that_can_be_had_and_others_by_what_they_know() -> None:
    def later(world: World) -> Script:
        assert isinstance(world, ReseededWorld)
        yield from world.boot(5, proxies=2)
        yield from world.commit(world.controllers(), write_body(1))
        machines = world.machines
        # One goes away, one never existed, one joined later.
        world.seeds = ("10.0.0.1", "10.0.9.8", "10.0.0.5")
        for _, program in world.programs(controllers=True) + world.programs(controllers=False):
            program.apply_settings(world.settings(machines[program.settings.node], False))
        world.power_off(machines["c1"])
        for name in ("s1", "c3"):
            world.kill(machines[name])
            world.restart(machines[name])
        yield world.env.timeout(2.0)
        answer = yield from world.commit([machines["c3"]], write_body(2))
        assert answer.status == 200
        yield from world.wait_until(lambda: in_force(world, 2), 3.0, "the route is in force")
        assert machines["s1"].program.configured()
        # A running process needs none of its seeds: it uses the addresses that it knows.
        world.seeds = ("10.0.9.7", "10.0.9.8", "10.0.9.9")
        for _, program in world.programs(controllers=True) + world.programs(controllers=False):
            program.apply_settings(world.settings(machines[program.settings.node], False))
        yield from world.commit([machines["c4"]], write_body(3))
        yield from world.wait_until(lambda: in_force(world, 3), 3.0, "the route is in force")
        # Nor does a controller that starts, since the others connect to it.
        world.kill(machines["c3"])
        world.restart(machines["c3"])
        yield world.env.timeout(3.0)
        assert (yield from world.commit([machines["c3"]], write_body(4))).status == 200

    with ReseededWorld() as world:
        assert world.run(later) == []


def test_a_sidecar_that_can_have_none_of_its_seeds_goes_by_what_the_others_tell_it() -> None:
    def later(world: World) -> Script:
        assert isinstance(world, ReseededWorld)
        yield from world.boot(3, proxies=2)
        yield from world.commit(world.controllers(), write_body(1))
        one, two = world.machines["s1"], world.machines["s2"]
        yield from world.wait_until(
            lambda: two.program.membership.address("s1") is not None, 3.0, "it is known"
        )
        world.seeds = ("10.0.9.7", "10.0.9.8", "10.0.9.9")
        world.kill(one)
        world.restart(one)
        yield world.env.timeout(2.0)
        assert not one.program.channels.open
        peer_links = two.program.peer_links
        # As its calls would do.
        two.incarnation.context.run(peer_links.open_early, "s1", passage_address(two))
        yield from world.wait_until(lambda: in_force(world, 1), 3.0, "the route is in force")

    with ReseededWorld() as world:
        assert world.run(later) == []


def passage_address(machine: Machine) -> Any:
    return machine.program.membership.address("s1")


AT_ONCE, ROUNDS = 8, 40


def test_eight_orders_at_once_and_hundreds_a_day_are_each_acknowledged_in_time() -> None:
    """Each is sent to any of the controllers, and repeated as after a lost answer."""

    def day(world: World) -> Script:
        yield from world.boot(3, proxies=2)
        controllers, left, late = world.controllers(), [0], []

        def order(version: int, name: str, first: int) -> Script:
            began = world.env.now
            for at in (first, first + 1):
                answer = yield from world.commit(
                    controllers[at % 3 :] + controllers[: at % 3], write_body(version, name)
                )
                assert answer.status == 200
            if world.env.now - began >= 2 * ACK_S:
                late.append((version, name))
            left[0] -= 1

        for number in range(1, ROUNDS + 1):
            left[0] = AT_ONCE
            for at in range(AT_ONCE):
                world.env.process(order(number, f"r{at + 1}", at))
            while left[0]:
                yield world.env.timeout(0.05)
        assert not late
        yield from world.wait_until(
            lambda: in_force(world, ROUNDS), 3.0, "the last version of each is in force"
        )
        for _, program in world.programs(controllers=True) + world.programs(controllers=False):
            held = [key for key in program.config_store.items if key[0] == "route"]
            # Old versions leave nothing behind.
            assert len(held) == AT_ONCE and len(program.config_store.vector) < 10
        for _, program in world.programs(controllers=True):
            proposer_host = program.proposer_host
            assert not (
                proposer_host._pending_writes
                or proposer_host._ballots
                or proposer_host.reads.pending_count
                or proposer_host.acceptor_host.acceptor.votes
            )
        yield from world.checker.check_recovered()

    with World() as world:
        assert world.run(day) == []
