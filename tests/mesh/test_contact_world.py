"""Controllers partitioned for 20 s in virtual time: a starting process gets no outdated configuration, and a
controller that is cut off neither acknowledges nor refuses writes. The same checks must detect seeded
faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from mesh.event_log import events
from mesh.replication.quorum_contact import PROBE_INTERVAL_SHARE, ContactLevel
from simulation.mesh import contact_seeds as seeds
from simulation.mesh.cuts import (
    CATCH_UP_S,
    CONTACT_BOUND_S,
    PARTITIONS,
    PartitionWorld,
    other_controllers,
    patch_body,
    run_play,
)
from simulation.mesh.world import Machine, Script, World

CONTROLLERS = {"halves": 4}
_clean_runs: dict[tuple[str, int], list[str]] = {}


def violations_without_fault(name: str, number: int = -1) -> list[str]:
    if (name, number) not in _clean_runs:
        violations, world = run_play(name, CONTROLLERS.get(name, 3), random.Random(f"{name}/0"), number)
        _clean_runs[name, number] = violations
        if name != "frozen":
            assert world.answers_by_status and set(world.answers_by_status) <= {503, 307}
    return _clean_runs[name, number]


@pytest.mark.parametrize("name", PARTITIONS)
def test_a_partition_after_the_last_acknowledgement_violates_nothing(name: str) -> None:
    assert violations_without_fault(name) == []


@pytest.mark.parametrize("number", [7, 61, 150])
@pytest.mark.parametrize("name", ["one", "restart"])
def test_a_partition_at_a_numbered_point_violates_nothing(name: str, number: int) -> None:
    assert violations_without_fault(name, number) == []


SEEDED: list[tuple[Callable[[seeds.Patch], None], str]] = [
    (seeds.open_links_count_as_contact, "halves"),
    (seeds.open_links_count_as_contact, "frozen"),
    (seeds.replies_never_expire, "frozen"),
    (seeds.half_accepts_writes, "halves"),
    (seeds.writes_accepted_without_contact, "one"),
    (seeds.ready_after_any_answer, "zone"),
    (seeds.ready_without_confirmation, "zone"),
    (seeds.open_votes_are_ignored, "halves"),
    (seeds.leases_are_kept_without_contact, "one"),
]


@pytest.mark.parametrize(
    ("seed_fault", "name"), SEEDED, ids=[f"{seed_fault.__name__}-{name}" for seed_fault, name in SEEDED]
)
def test_a_seeded_fault_is_seen(
    seed_fault: Callable[[seeds.Patch], None], name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert violations_without_fault(name) == []
    seed_fault(monkeypatch)
    assert run_play(name, CONTROLLERS.get(name, 3), random.Random(f"{name}/0"))[0]


@pytest.mark.parametrize("play_seed", [3, 5, 11])
def test_a_failed_recovery_does_not_restart_the_age_of_an_open_vote(
    play_seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_play("halves", 4, random.Random(f"halves/{play_seed}"))[0] == []
    seeds.open_vote_age_restarts(monkeypatch)
    assert run_play("halves", 4, random.Random(f"halves/{play_seed}"))[0]


# Single rules


def run_world(
    script: Callable[[PartitionWorld], Script], controllers: int = 3, proxies: int = 1
) -> list[str]:
    def whole(world: World) -> Script:
        assert isinstance(world, PartitionWorld)
        yield from world.boot(controllers, proxies)
        world.env.process(world.monitor())
        yield from world.commit(world.controllers(), patch_body("last", 1, 800))
        yield world.env.timeout(1.0)
        yield from script(world)

    with PartitionWorld() as world:
        return world.run(whole)


def isolate(world: PartitionWorld, *inside: Machine) -> None:
    world.isolate(list(inside))


def logged_events(world: PartitionWorld, name: str, *numbers: int) -> list[int]:
    return [
        event.number for _, who, event, _ in world.logged_events if who == name and event.number in numbers
    ]


def test_a_proxy_that_reaches_only_an_isolated_controller_logs_it_once_and_catches_up_later() -> None:
    def script(world: PartitionWorld) -> Script:
        proxy, at = world.machines["s1"], world.controllers()[0]
        isolate(world, at, proxy)
        yield from world.commit(other_controllers(world, at), patch_body("last", 2, 700))
        yield world.env.timeout(20.0)
        program = proxy.program
        assert program.configured() and program.config_store.items["route", "last"].version == 1
        shown = program.control_contact.status(world.env.now)
        assert 18_000 < shown["without_ms"] < 20_100 and 0 < shown["behind_ms"] - shown["without_ms"] <= 1100
        assert logged_events(world, "s1", 222, 223) == [events.CONTROL_LOST.number]
        world.heal()
        yield from world.wait_for_catch_up()
        assert 0.0 < world.max_catch_up_s <= CATCH_UP_S
        yield world.env.timeout(1.0)
        assert logged_events(world, "s1", 222, 223) == [
            events.CONTROL_LOST.number,
            events.CONTROL_REGAINED.number,
        ]
        assert program.control_contact.status(world.env.now)["without_ms"] is None

    assert run_world(script) == []


def test_a_starting_proxy_is_not_ready_by_a_controller_without_contact_and_tries_the_next() -> None:
    def script(world: PartitionWorld) -> Script:
        at = world.controllers()[0]
        isolate(world, at)
        yield world.env.timeout(CONTACT_BOUND_S + 0.2)
        yield from world.commit(other_controllers(world, at), patch_body("last", 2, 700))
        new = world.add("n1", "10.0.2.1", controller=False)
        world.seeds_by_machine["n1"] = [at]
        world.partition([new], other_controllers(world, at))
        world.start(new)
        yield world.env.timeout(5.0)
        assert new.program.config_store.items["route", "last"].version == 1 and not new.program.configured()
        world.network.blocked_paths = {path for path in world.network.blocked_paths if new.ip not in path}
        yield from world.wait_until(
            new.program.configured, CATCH_UP_S, "n1 becomes ready by another controller than its seed"
        )
        assert new.program.config_store.items["route", "last"].version == 2

    assert run_world(script) == []


def test_a_controller_without_contact_redirects_to_one_with_contact() -> None:
    def script(world: PartitionWorld) -> Script:
        controllers = world.controllers()
        at, near = controllers[0], controllers[1]
        world.partition([at], controllers[2:])
        yield world.env.timeout(CONTACT_BOUND_S + 0.5)
        assert at.program.contact_probes.level() is ContactLevel.NONE
        for method, body in ((b"GET", b""), (b"PATCH", patch_body("last", 2, 700))):
            answer = yield from world.operator_call(at, method, body)
            assert (answer.status, answer.location) == (307, f"http://{near.ip}:8146/configuration")
        world.checker.record_sent(patch_body("last", 2, 700), True)
        answer = yield from world.commit([at], patch_body("last", 2, 700))
        assert answer.status == 200

    assert run_world(script, controllers=5) == []


def test_a_frozen_controller_serves_nothing_from_its_old_state() -> None:
    """When it resumes, its sockets hold a write, a read and the first request of a proxy."""

    def script(world: PartitionWorld) -> Script:
        at = world.controllers()[0]
        world.freeze(at, 20.0)
        yield world.env.timeout(1.0)
        yield from world.commit(other_controllers(world, at), patch_body("last", 2, 700))
        yield world.env.timeout(18.7)
        new = world.add("n1", "10.0.2.1", controller=False)
        world.seeds_by_machine["n1"] = [at]
        world.start(new)
        asked = [world.env.process(world.operator_call(at, method, body)) for method, body in calls]
        yield asked[0] & asked[1]
        assert [process.value.status for process in asked] == [503, 503]
        yield from world.wait_until(new.program.configured, CATCH_UP_S, "n1 is ready")
        assert new.program.config_store.items["route", "last"].version == 2

    calls = [(b"GET", b""), (b"PATCH", patch_body("last", 3, 600))]
    assert run_world(script) == []


def test_a_step_of_the_wall_clock_costs_one_round_of_probes() -> None:
    def script(world: PartitionWorld) -> Script:
        at = world.controllers()[0]
        for step_s in (3600.0, -7200.0):
            world.clock_steps[at.name] = world.clock_steps.get(at.name, 0.0) + step_s
            yield world.env.timeout(0.5)
            assert at.program.contact_probes.level() is ContactLevel.WRITES
            answer = yield from world.operator_call(at, b"GET")
            assert answer.status == 200

    assert run_world(script) == []


def test_contact_probes_are_few_and_short() -> None:
    """Two controllers exchange four frames per eighth of contact_ms, of at most 40 bytes each."""

    def script(world: PartitionWorld) -> Script:
        began, size = world.network.probe_frames, world.network.probe_bytes
        yield world.env.timeout(30.0)
        most = 30.0 / (3.0 * PROBE_INTERVAL_SHARE) * 5 * 4 * 2
        assert 0.8 * most <= world.network.probe_frames - began <= most
        assert (world.network.probe_bytes - size) / (world.network.probe_frames - began) <= 50

    assert run_world(script, controllers=5) == []


@pytest.mark.parametrize("contact", [True, False])
def test_an_approval_without_contact_is_ignored(contact: bool) -> None:
    def script(world: PartitionWorld) -> Script:
        stages: Any = world.machines["s1"].program.staged_routes
        taken: list[Any] = []
        stages.activation.approve = lambda *args: taken.append(args)
        stages.handle_frame({"t": "go", "items": [["route", "last", 2]]}, contact)
        assert bool(taken) is contact
        yield world.env.timeout(0.0)

    assert run_world(script) == []
