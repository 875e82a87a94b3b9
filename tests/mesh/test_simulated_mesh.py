"""Controllers and proxies in virtual time. A fault is injected at a numbered point of a script, the mesh
recovers, and everything acknowledged must still be there. The same checks must detect faults seeded into the
programs."""

import json
from collections.abc import Callable
from typing import Any

import pytest

from anisestair.http import codec as http
from mesh.control_plane.anti_entropy import COMPARE_INTERVAL_S
from mesh.membership.tombstones import RESYNC_AFTER_S
from mesh.replication.acceptor import Ballot
from simulation.mesh import seeds, troubles
from simulation.mesh.world import Script, World

Play = Callable[[World], Script]


def write_body(
    version: int, name: str = "r1", service: str = "p", known: bool = True, trials: int = 2
) -> bytes:
    rule = {
        "name": name,
        "kind": "idempotent",
        "epoch": f"r{version}",
        "predicate": {"prefix": f"/{name}/"},
        "response": {"plant": service, "horizon_ms": 800, "trials": trials},
    }
    plants = [{"name": service, "epoch": f"r{version}"}] if known else []
    return json.dumps(
        {"apply": {"input_ports": [{"host": "h", "control_law": [rule]}], "plant_groups": plants}}
    ).encode()


def removal_body(version: int, name: str = "r1") -> bytes:
    return json.dumps({"remove": {"routes": [{"name": name, "epoch": f"r{version}"}]}}).encode()


def run_world(script: Play) -> list[str]:
    with World() as world:
        return world.run(script)


def is_detected(script: Play) -> bool:
    """Whether a rule is violated; a failed assertion of the script counts as well."""
    try:
        return bool(run_world(script))
    except AssertionError:
        return True


# Scripts with numbered fault points


def recover(world: World) -> Script:
    yield world.env.timeout(0.05)
    world.recording_points = False
    yield world.env.timeout(3.0)
    yield from world.checker.check_recovered()


def one_change(world: World) -> Script:
    yield from world.boot(3, proxies=2)
    world.env.process(world.checker.watch())
    world.recording_points = True
    yield from world.commit(world.controllers(), write_body(1))
    yield from recover(world)


def first_start(world: World) -> Script:
    """Points are counted once each founder's disk records the first view: a mesh that loses all disks before
    that starts again with nothing acknowledged (docs/operate/mesh.md)."""
    world.env.process(world.checker.watch())
    world.founders = [world.add(f"c{n}", f"10.0.0.{n}") for n in range(1, 4)]
    for machine in [*world.founders, world.add("s1", "10.0.1.1", controller=False)]:
        world.start(machine, cold=True)
    while not all(len(machine.disk.rows) for machine in world.founders):
        yield world.env.timeout(0.001)
    world.recording_points = True
    yield from world.commit(world.controllers(), write_body(1))
    yield world.env.timeout(0.3)
    yield from recover(world)


def two_join(world: World) -> Script:
    yield from world.boot(3, proxies=1)
    world.env.process(world.checker.watch())
    world.recording_points = True
    controllers = world.controllers()
    for number in (4, 5):
        world.start(world.add(f"c{number}", f"10.0.0.{number}"))
    yield from world.commit(controllers, write_body(1))
    yield world.env.timeout(0.1)
    yield from world.commit(controllers[1:], write_body(2))
    yield world.env.timeout(0.3)
    yield from world.commit(world.controllers()[3:], removal_body(3))
    yield from recover(world)


SCRIPTS: dict[str, tuple[Play, int, int]] = {  # minimum number of points; points used for each fault
    "one change": (one_change, 59, 24),
    "first start": (first_start, 150, 7),
    "two join": (two_join, 400, 7),
}


def params() -> list[Any]:
    found = []
    for script in SCRIPTS:
        for fault in [*troubles.PROCESS_FAULTS, *troubles.FRAME_FAULTS, *troubles.DISK_FAULTS]:
            found.append((script, fault))
    return found


_undisturbed_points: dict[str, list[tuple[str, str]]] = {}


def points(name: str) -> list[tuple[str, str]]:
    if name not in _undisturbed_points:
        with World() as world:
            assert world.run(SCRIPTS[name][0]) == []
            _undisturbed_points[name] = world.fault_points
    return _undisturbed_points[name]


@pytest.mark.parametrize("name", SCRIPTS)
def test_a_script_without_faults_violates_nothing_and_has_points_of_each_kind(name: str) -> None:
    assert len(points(name)) >= SCRIPTS[name][1]
    assert {kind for kind, _ in points(name)} == {"send", "sync", "synced", "merge"}


@pytest.mark.parametrize(("name", "fault"), params())
def test_whatever_befalls_at_a_point_what_was_acknowledged_is_there(name: str, fault: str) -> None:
    script, _, most = SCRIPTS[name]
    applicable = [
        (at, kind, found)
        for at, (kind, machine) in enumerate(points(name))
        if (found := troubles.applicable(kind, machine.startswith("c")).get(fault)) is not None
    ]
    tried, violations_at = 0, {}
    for at, kind, found in applicable[:: -(-len(applicable) // most)]:
        tried += 1
        with World() as world:
            world.fault_index, world.fault = at, found
            violations = world.run(script)
        if violations:
            violations_at[at, kind] = violations[:2]
            break  # one failure is enough
    assert tried and not violations_at


# Scripts without fault points


def after_boot(controllers: int, play: Play, proxies: int = 1) -> Play:
    def script(world: World) -> Script:
        yield from world.boot(controllers, proxies)
        world.env.process(world.checker.watch())
        yield from play(world)
        world.heal()
        yield world.env.timeout(3.0)
        yield from world.checker.check_recovered()

    return script


def isolate_controller(world: World) -> Script:
    controllers = world.controllers()
    yield from world.commit(controllers, write_body(1))
    world.partition(
        controllers[:1], [machine for machine in world.machines.values() if machine is not controllers[0]]
    )
    answer: Any = None
    for _ in range(4):
        alone = yield from world.patch(controllers[0], write_body(2))
        read = yield from world.get(controllers[0])
        assert alone is None or alone.status == 503
        assert read is None or read.status == 503
    answer = yield from world.commit(controllers[1:], write_body(3))
    assert answer.status == 200


def refused_calls(world: World) -> Script:
    controllers = world.controllers()
    yield from world.commit(controllers, write_body(1))
    invalid = [
        write_body(2, service="nowhere", known=False),
        write_body(2, trials=0),
        write_body(2)[:-9],
        write_body(2).replace(b'"r2"', b'"2"'),
        json.dumps(json.loads(removal_body(2)) | json.loads(write_body(2, trials=-1))).encode(),
    ]
    for machine in controllers:
        for body in invalid:
            answer = yield from world.patch(machine, body, valid=False)
            assert answer.status == 400
        answer = yield from world.get(machine)
        assert answer.status == 200 and b'"r1"' in answer.body and b'"r2"' not in answer.body
    assert world.checker.acknowledgements == 1 and world.checker.reads == len(controllers)


def two_operators(world: World) -> Script:
    """Two operators at two controllers write the same names with version gaps; older versions are sent
    again."""
    controllers = world.controllers()
    for version in (3, 9, 10, 30):
        one: Any = world.env.process(world.commit(controllers, write_body(version, trials=1 + version % 3)))
        other: Any = world.env.process(world.commit(controllers[1:], write_body(version - 1, "r2")))
        again: Any = world.env.process(world.commit(controllers[2:], write_body(max(version - 5, 1))))
        yield one & other & again
        assert {process.value.status for process in (one, other, again)} == {200}
    yield from world.commit(controllers, removal_body(31))
    yield from world.commit(controllers[1:], write_body(30))
    answer = yield from world.get(controllers[2])
    assert b'"r1"' not in answer.body and b'"r29"' in answer.body


def lose_disks_in_turn(world: World) -> Script:
    """One disk after the other is lost between writes, each once the one before is complete again."""
    for number, machine in enumerate(world.controllers()):
        yield from world.commit(world.controllers(), write_body(number + 1))
        troubles.wiped(world, machine.incarnation, None)  # type: ignore[arg-type]
        yield world.env.timeout(1.2)
        yield from world.wait_for_members([machine])
    for machine in world.controllers():
        answer = yield from world.get(machine)
        assert answer.status == 200


def power_loss_and_lost_disk(world: World) -> Script:
    yield from world.commit(world.controllers(), write_body(1))
    troubles.all_power_one_wiped(world, world.controllers()[1].incarnation, None)  # type: ignore[arg-type]
    yield world.env.timeout(3.0)


@pytest.mark.parametrize("controllers", [3, 5])
@pytest.mark.parametrize(
    "play", [isolate_controller, refused_calls, two_operators, lose_disks_in_turn, power_loss_and_lost_disk]
)
def test_a_script_of_trouble_breaks_nothing(play: Play, controllers: int) -> None:
    assert run_world(after_boot(controllers, play)) == []


def test_neither_half_of_an_even_number_acknowledges() -> None:
    """Half of the members is enough for a read: every write was durable on more than half."""

    def halves(world: World) -> Script:
        controllers = world.controllers()
        yield from world.commit(controllers, write_body(1))
        world.partition(controllers[:2], [*controllers[2:], world.machines["s1"]])
        yield world.env.timeout(3.5)
        for side in (controllers[0], controllers[2]):
            answer = yield from world.patch(side, write_body(2))
            assert answer is None or answer.status == 503
        yield from world.get(controllers[0])
        yield from world.get(controllers[2])

    assert run_world(after_boot(4, halves)) == []


def test_what_was_taken_from_one_that_died_reaches_the_sidecars_once_it_is_acknowledged() -> None:
    def dies(world: World) -> Script:
        first, *others = world.controllers()
        world.partition([first], [others[1], *(m for m in world.machines.values() if not m.is_controller)])
        yield world.env.timeout(0.01)
        world.env.process(world.patch(first, write_body(1)))
        yield world.env.timeout(0.004)
        world.kill(first)
        world.heal()
        yield world.env.timeout(0.5)
        answer = yield from world.commit(others, write_body(1))
        assert answer.status == 200
        yield world.env.timeout(5.0)
        world.checker.check_proxies_know(world.loop.time())
        world.start(first)

    assert run_world(after_boot(3, dies, proxies=2)) == []


def test_a_proxy_cut_off_for_longer_than_the_tombstone_retention_learns_of_removals() -> None:
    def away(world: World) -> Script:
        one, ends = world.machines["s1"], world.machines["s2"]
        yield world.env.timeout(1.0)
        assert "i-s2" in one.program.membership.instances
        world.partition([one], [machine for machine in world.machines.values() if machine is not one])
        yield world.env.timeout(2.0)
        incarnation = ends.incarnation
        assert incarnation is not None
        removal = http.Message(method=b"DELETE", target=b"/instances/i-s2")
        yield world.send_request(incarnation, incarnation.program.registry.handle, removal)
        yield world.env.timeout(0.1)
        world.kill(ends)
        yield world.env.timeout(RESYNC_AFTER_S + 5.0)
        world.heal()
        yield world.env.timeout(8.0)
        assert "i-s2" not in world.controllers()[0].program.membership.instances
        assert "i-s2" not in one.program.membership.instances

    assert run_world(after_boot(3, away, proxies=2)) == []


def test_a_disk_may_be_lost_while_two_join() -> None:
    def lost(world: World) -> Script:
        controllers = world.controllers()
        joiners = [world.add(f"c{number}", f"10.0.0.{number}") for number in (4, 5)]
        for machine in world.controllers():
            machine.disk.sync_duration_s = 0.05
        for machine in joiners:
            world.start(machine)
        yield world.env.timeout(0.01)
        while any(len(machine.program.member_set.view().names) < 5 for machine in world.controllers()):
            yield world.env.timeout(0.001)
        assert any(machine.program.member_set.view().joint for machine in world.controllers())
        troubles.wiped(world, controllers[2].incarnation, None)  # type: ignore[arg-type]
        yield world.env.timeout(2.0)

    assert run_world(after_boot(3, lost)) == []


def test_all_may_be_killed_right_after_the_first_acknowledgement() -> None:
    def killed(world: World) -> Script:
        world.founders = [world.add(f"c{n}", f"10.0.0.{n}") for n in range(1, 4)]
        for machine in world.founders:
            world.start(machine, cold=True)
        answer = yield from world.commit(world.founders, write_body(1))
        assert answer.status == 200
        troubles.all_killed(world, world.founders[0].incarnation, None)  # type: ignore[arg-type]
        yield world.env.timeout(3.0)
        yield from world.checker.check_recovered()

    assert run_world(killed) == []


# Seeded faults: the checks above must detect each


def power_loss_after_acknowledgement(at_sync: str, unlucky: int) -> Play:
    """All machines lose power right after an acknowledgement, and one also loses its disk."""

    def play(world: World) -> Script:
        controllers = world.controllers()
        slow = [machine for machine in controllers if machine.name in at_sync]
        for machine in slow:
            machine.disk.sync_duration_s = 0.3
        yield from world.commit(controllers, write_body(1))
        yield from world.commit(controllers, write_body(2))
        troubles.all_power_one_wiped(world, controllers[unlucky].incarnation, None)  # type: ignore[arg-type]
        yield world.env.timeout(3.0)

    return play


def remove_and_resend_older(world: World) -> Script:
    controllers = world.controllers()
    for version in (1, 2):
        yield from world.commit(controllers, write_body(version))
    yield from world.commit(controllers, removal_body(3))
    yield from world.commit(controllers[1:], write_body(2))
    yield from world.get(controllers[0])


def wiped_beside_outdated(world: World) -> Script:
    """A wiped machine restarts and reaches only one that was cut off from the last write."""
    controllers = world.controllers()
    side = world.machines["s1"]
    world.kill(side)  # it would pass the write on
    yield from world.commit(controllers, write_body(1))
    others = [machine for machine in world.machines.values() if machine is not controllers[2]]
    world.partition([controllers[2]], others)
    yield from world.commit(controllers, write_body(2))
    world.power_off(controllers[0])
    controllers[0].disk.wipe()
    world.network.heal()
    world.partition([controllers[1]], [m for m in world.machines.values() if m is not controllers[1]])
    world.restart(controllers[0], 0.5)
    yield world.env.timeout(2.5)
    yield from world.get(controllers[2])
    yield from world.get(controllers[0])
    world.restart(side)


def disk_write_fails(world: World) -> Script:
    controllers = world.controllers()
    for machine in controllers[:2]:
        machine.disk.fails_until = world.env.now + 0.9
    yield from world.commit(controllers, write_body(1))
    troubles.all_power_one_wiped(world, controllers[2].incarnation, None)  # type: ignore[arg-type]
    yield world.env.timeout(3.0)


def conflicting_writes(world: World) -> Script:
    controllers = world.controllers()
    one = world.env.process(world.patch(controllers[0], write_body(1, trials=1)))
    other = world.env.process(world.patch(controllers[1], write_body(1, trials=2)))
    yield one & other


def conflicting_writes_across_partition(world: World) -> Script:
    """The isolated controller receives the content with the greater bytes, the others the lesser one."""
    controllers = world.controllers()
    yield from world.commit(controllers, write_body(1))
    others = [machine for machine in world.machines.values() if machine is not controllers[0]]
    world.partition(controllers[:1], others)
    greater = world.env.process(world.patch(controllers[0], write_body(5, trials=9)))
    yield from world.commit(controllers[1:], write_body(5, trials=2))
    yield greater
    yield world.env.timeout(1.0)
    world.heal()
    yield world.env.timeout(3 * COMPARE_INTERVAL_S[1])


def miss_one_decision(world: World) -> Script:
    """A controller refuses the first of two writes because of a higher promise, and receives only the second
    decision. The proposer is then killed before it sends its updates."""
    controllers = world.controllers()
    yield from world.commit(controllers, write_body(1))
    yield world.env.timeout(0.1)
    world.partition(controllers[1:2], controllers[2:], both_ways=False)
    controllers[2].program.acceptor.promise(Ballot(999, "x"), [("route", "lost", 1)])
    world.env.process(world.patch(controllers[0], write_body(1, "lost")))
    yield world.env.timeout(0.001)
    yield from world.patch(controllers[0], write_body(2))
    yield world.env.timeout(0.003)
    world.kill(controllers[0])
    yield world.env.timeout(0.7)
    world.network.heal()
    yield world.env.timeout(1.0)
    yield from world.get(controllers[2])
    world.start(controllers[0])


def join_behind_a_writer(world: World) -> Script:
    """A proposer's frames are delayed while a machine joins, then reach a member that knows the new view. The
    proposer does not hold the lease `members`, since its silence would be noticed first."""
    controllers = world.controllers()
    yield from world.wait_until(
        lambda: controllers[0].program.member_changes.lease.latest.epoch, 3.0, "the lease is taken"
    )
    holder = controllers[0].program.member_changes.lease.latest.holder
    writer = next(machine for machine in controllers if machine.name != holder)
    other = next(machine for machine in controllers if machine is not writer)
    joiner = world.add("c4", "10.0.0.4")
    world.partition([writer], [m for m in world.machines.values() if m is not writer], both_ways=False)
    writing = world.env.process(world.patch(writer, write_body(1)))
    world.partition([writer], [joiner])
    world.start(joiner)

    def joiner_is_member() -> bool:
        view = other.program.member_set.view()
        return joiner.ip in view.members and not view.joint

    yield from world.wait_until(joiner_is_member, 0.9, "the machine joins")
    paths = set(world.network.blocked_paths)
    world.heal()
    world.network.blocked_paths |= paths - {(writer.ip, other.ip)}
    yield writing


SEEDED: list[tuple[Callable[[seeds.Patch], None], Play]] = [
    (seeds.ack_after_one_disk, power_loss_after_acknowledgement("c2 c3", 0)),
    (seeds.ack_without_disk, power_loss_after_acknowledgement("c1 c2 c3", 0)),
    (seeds.own_vote_counts_before_sync, power_loss_after_acknowledgement("c1 c3", 1)),
    (seeds.half_is_a_quorum, power_loss_after_acknowledgement("c2 c3", 0)),
    (seeds.reads_without_quorum, isolate_controller),
    (seeds.wiped_disk_counts_at_once, wiped_beside_outdated),
    (seeds.complete_before_catch_up, wiped_beside_outdated),
    (seeds.conflicting_writes_are_both_confirmed, conflicting_writes),
    (seeds.applied_before_decision, conflicting_writes_across_partition),
    (seeds.lower_version_overwrites, two_operators),
    (seeds.epochs_are_not_checked, join_behind_a_writer),
    (seeds.unknown_service_is_accepted, refused_calls),
    (seeds.tombstone_is_removed_at_once, remove_and_resend_older),
    (seeds.failed_write_counts_as_durable, disk_write_fails),
    (seeds.pulls_are_not_repeated, remove_and_resend_older),
    (seeds.vector_skips_gaps, miss_one_decision),
    (seeds.always_has_updates, remove_and_resend_older),
]


@pytest.mark.parametrize(
    ("seed_fault", "play"), SEEDED, ids=[seed_fault.__name__ for seed_fault, _ in SEEDED]
)
def test_a_seeded_fault_is_seen(
    seed_fault: Callable[[seeds.Patch], None], play: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_world(after_boot(3, play)) == []
    seed_fault(monkeypatch)
    assert is_detected(after_boot(3, play))
