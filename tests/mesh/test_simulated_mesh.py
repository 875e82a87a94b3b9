"""A whole control plane in virtual time: at numbered points of a script a process is disturbed, the world
recovers, and all that was acknowledged must be there. Then faults are seeded in the programs, which the same
checks must detect."""

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


def change(version: int, name: str = "r1", service: str = "p", known: bool = True, trials: int = 2) -> bytes:
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


def drop(version: int, name: str = "r1") -> bytes:
    return json.dumps({"remove": {"routes": [{"name": name, "epoch": f"r{version}"}]}}).encode()


def run_world(script: Play) -> list[str]:
    with World() as world:
        return world.run(script)


def is_detected(script: Play) -> bool:
    """Whether a rule was broken; a failed assertion of the script counts, too."""
    try:
        return bool(run_world(script))
    except AssertionError:
        return True


# Scripts with numbered points


def recover(world: World) -> Script:
    yield world.env.timeout(0.05)
    world.counting = False
    yield world.env.timeout(3.0)
    yield from world.witness.finish()


def one_change(world: World) -> Script:
    yield from world.boot(3, proxies=2)
    world.env.process(world.witness.watch())
    world.counting = True
    yield from world.commit(world.controllers(), change(1))
    yield from recover(world)


def first_start(world: World) -> Script:
    """Points are counted once each founder's disk records the first view: a cluster that loses all disks
    before starts again, with nothing acknowledged (docs/operate/mesh.md)."""
    world.env.process(world.witness.watch())
    world.founders = [world.add(f"c{n}", f"10.0.0.{n}") for n in range(1, 4)]
    for machine in [*world.founders, world.add("s1", "10.0.1.1", core=False)]:
        world.start(machine, cold=True)
    while not all(len(machine.disk.rows) for machine in world.founders):
        yield world.env.timeout(0.001)
    world.counting = True
    yield from world.commit(world.controllers(), change(1))
    yield world.env.timeout(0.3)
    yield from recover(world)


def two_join(world: World) -> Script:
    yield from world.boot(3, proxies=1)
    world.env.process(world.witness.watch())
    world.counting = True
    cores = world.controllers()
    for number in (4, 5):
        world.start(world.add(f"c{number}", f"10.0.0.{number}"))
    yield from world.commit(cores, change(1))
    yield world.env.timeout(0.1)
    yield from world.commit(cores[1:], change(2))
    yield world.env.timeout(0.3)
    yield from world.commit(world.controllers()[3:], drop(3))
    yield from recover(world)


SCRIPTS: dict[str, tuple[Play, int, int]] = {  # least number of points; points used for each fault
    "one change": (one_change, 59, 24),
    "first start": (first_start, 150, 7),
    "two join": (two_join, 400, 7),
}


def params() -> list[Any]:
    found = []
    for script in SCRIPTS:
        for fault in [*troubles.PROCESS, *troubles.FRAME, *troubles.DISK]:
            found.append((script, fault))
    return found


_undisturbed_points: dict[str, list[tuple[str, str]]] = {}


def points(name: str) -> list[tuple[str, str]]:
    if name not in _undisturbed_points:
        with World() as world:
            assert world.run(SCRIPTS[name][0]) == []
            _undisturbed_points[name] = world.points
    return _undisturbed_points[name]


@pytest.mark.parametrize("name", SCRIPTS)
def test_undisturbed_a_script_breaks_nothing_and_has_points_of_each_kind(name: str) -> None:
    assert len(points(name)) >= SCRIPTS[name][1]
    assert {kind for kind, _ in points(name)} == {"send", "sync", "synced", "merge"}


@pytest.mark.parametrize(("name", "fault"), params())
def test_whatever_befalls_at_a_point_what_was_acknowledged_is_there(name: str, fault: str) -> None:
    script, _, most = SCRIPTS[name]
    fitting = [
        (at, kind, found)
        for at, (kind, machine) in enumerate(points(name))
        if (found := troubles.fitting(kind, machine.startswith("c")).get(fault)) is not None
    ]
    tried, violations_at = 0, {}
    for at, kind, found in fitting[:: -(-len(fitting) // most)]:
        tried += 1
        with World() as world:
            world.at, world.fault = at, found
            violations = world.run(script)
        if violations:
            violations_at[at, kind] = violations[:2]
            break  # one failure is enough
    assert tried and not violations_at


# Scripts without points


def booted(cores: int, then: Play, proxies: int = 1) -> Play:
    def script(world: World) -> Script:
        yield from world.boot(cores, proxies)
        world.env.process(world.witness.watch())
        yield from then(world)
        world.heal()
        yield world.env.timeout(3.0)
        yield from world.witness.finish()

    return script


def cut_off(world: World) -> Script:
    cores = world.controllers()
    yield from world.commit(cores, change(1))
    world.cut(cores[:1], [machine for machine in world.machines.values() if machine is not cores[0]])
    answer: Any = None
    for _ in range(4):
        alone = yield from world.patch(cores[0], change(2))
        read = yield from world.get(cores[0])
        assert alone is None or alone.status == 503
        assert read is None or read.status == 503
    answer = yield from world.commit(cores[1:], change(3))
    assert answer.status == 200


def calls_that_are_refused(world: World) -> Script:
    cores = world.controllers()
    yield from world.commit(cores, change(1))
    invalid = [
        change(2, service="nowhere", known=False),
        change(2, trials=0),
        change(2)[:-9],
        change(2).replace(b'"r2"', b'"2"'),
        json.dumps(json.loads(drop(2)) | json.loads(change(2, trials=-1))).encode(),
    ]
    for machine in cores:
        for body in invalid:
            answer = yield from world.patch(machine, body, valid=False)
            assert answer.status == 400
        answer = yield from world.get(machine)
        assert answer.status == 200 and b'"r1"' in answer.body and b'"r2"' not in answer.body
    assert world.witness.acks == 1 and world.witness.reads == len(cores)


def two_operators(world: World) -> Script:
    """Two operators at two machines change the same names by uneven steps; older versions are sent again."""
    cores = world.controllers()
    for version in (3, 9, 10, 30):
        one: Any = world.env.process(world.commit(cores, change(version, trials=1 + version % 3)))
        other: Any = world.env.process(world.commit(cores[1:], change(version - 1, "r2")))
        again: Any = world.env.process(world.commit(cores[2:], change(max(version - 5, 1))))
        yield one & other & again
        assert {process.value.status for process in (one, other, again)} == {200}
    yield from world.commit(cores, drop(31))
    yield from world.commit(cores[1:], change(30))
    answer = yield from world.get(cores[2])
    assert b'"r1"' not in answer.body and b'"r29"' in answer.body


def a_disk_is_lost(world: World) -> Script:
    """One disk after the other is lost between changes, each once the one before is complete again."""
    for number, machine in enumerate(world.controllers()):
        yield from world.commit(world.controllers(), change(number + 1))
        troubles.wiped(world, machine.life, None)  # type: ignore[arg-type]
        yield world.env.timeout(1.2)
        yield from world.joined([machine])
    for machine in world.controllers():
        answer = yield from world.get(machine)
        assert answer.status == 200


def a_closing_fault(world: World) -> Script:
    yield from world.commit(world.controllers(), change(1))
    troubles.all_power_one_wiped(world, world.controllers()[1].life, None)  # type: ignore[arg-type]
    yield world.env.timeout(3.0)


@pytest.mark.parametrize("cores", [3, 5])
@pytest.mark.parametrize(
    "then", [cut_off, calls_that_are_refused, two_operators, a_disk_is_lost, a_closing_fault]
)
def test_a_script_of_trouble_breaks_nothing(then: Play, cores: int) -> None:
    assert run_world(booted(cores, then)) == []


def test_neither_half_of_an_even_number_acknowledges() -> None:
    """Half of the members is enough for a read: every write was durable on more than half."""

    def halves(world: World) -> Script:
        cores = world.controllers()
        yield from world.commit(cores, change(1))
        world.cut(cores[:2], [*cores[2:], world.machines["s1"]])
        yield world.env.timeout(3.5)
        for side in (cores[0], cores[2]):
            answer = yield from world.patch(side, change(2))
            assert answer is None or answer.status == 503
        yield from world.get(cores[0])
        yield from world.get(cores[2])

    assert run_world(booted(4, halves)) == []


def test_what_was_taken_from_one_that_died_reaches_the_sidecars_once_it_is_acknowledged() -> None:
    def dies(world: World) -> Script:
        first, *others = world.controllers()
        world.cut([first], [others[1], *(m for m in world.machines.values() if not m.core)])
        yield world.env.timeout(0.01)
        world.env.process(world.patch(first, change(1)))
        yield world.env.timeout(0.004)
        world.kill(first)
        world.heal()
        yield world.env.timeout(0.5)
        answer = yield from world.commit(others, change(1))
        assert answer.status == 200
        yield world.env.timeout(5.0)
        world.witness.sidecars_know(world.loop.time())
        world.start(first)

    assert run_world(booted(3, dies, proxies=2)) == []


def test_who_was_out_of_touch_for_longer_than_tombstones_are_kept_hears_of_the_ends() -> None:
    def away(world: World) -> Script:
        one, ends = world.machines["s1"], world.machines["s2"]
        yield world.env.timeout(1.0)
        assert "i-s2" in one.program.membership.instances
        world.cut([one], [machine for machine in world.machines.values() if machine is not one])
        yield world.env.timeout(2.0)
        life = ends.life
        assert life is not None
        bye = http.Message(method=b"DELETE", target=b"/instances/i-s2")
        yield world.ask(life, life.program.registry.handle, bye)
        yield world.env.timeout(0.1)
        world.kill(ends)
        yield world.env.timeout(RESYNC_AFTER_S + 5.0)
        world.heal()
        yield world.env.timeout(8.0)
        assert "i-s2" not in world.controllers()[0].program.membership.instances
        assert "i-s2" not in one.program.membership.instances

    assert run_world(booted(3, away, proxies=2)) == []


def test_a_disk_may_be_lost_while_two_join() -> None:
    def lost(world: World) -> Script:
        cores = world.controllers()
        joiners = [world.add(f"c{number}", f"10.0.0.{number}") for number in (4, 5)]
        for machine in world.controllers():
            machine.disk.takes_s = 0.05
        for machine in joiners:
            world.start(machine)
        yield world.env.timeout(0.01)
        while any(len(machine.program.member_set.view().names) < 5 for machine in world.controllers()):
            yield world.env.timeout(0.001)
        assert any(machine.program.member_set.view().joint for machine in world.controllers())
        troubles.wiped(world, cores[2].life, None)  # type: ignore[arg-type]
        yield world.env.timeout(2.0)

    assert run_world(booted(3, lost)) == []


def test_all_may_be_killed_right_after_the_first_acknowledgement() -> None:
    def killed(world: World) -> Script:
        world.founders = [world.add(f"c{n}", f"10.0.0.{n}") for n in range(1, 4)]
        for machine in world.founders:
            world.start(machine, cold=True)
        answer = yield from world.commit(world.founders, change(1))
        assert answer.status == 200
        troubles.all_killed(world, world.founders[0].life, None)  # type: ignore[arg-type]
        yield world.env.timeout(3.0)
        yield from world.witness.finish()

    assert run_world(killed) == []


# Seeded faults: the checks above must detect each


def power_loss_after_acknowledgement(at_sync: str, unlucky: int) -> Play:
    """All machines lose power right after an acknowledgement, and one also its disk."""

    def then(world: World) -> Script:
        cores = world.controllers()
        slow = [machine for machine in cores if machine.name in at_sync]
        for machine in slow:
            machine.disk.takes_s = 0.3
        yield from world.commit(cores, change(1))
        yield from world.commit(cores, change(2))
        troubles.all_power_one_wiped(world, cores[unlucky].life, None)  # type: ignore[arg-type]
        yield world.env.timeout(3.0)

    return then


def drops_and_old_ones_again(world: World) -> Script:
    cores = world.controllers()
    for version in (1, 2):
        yield from world.commit(cores, change(version))
    yield from world.commit(cores, drop(3))
    yield from world.commit(cores[1:], change(2))
    yield from world.get(cores[0])


def lost_and_cut(world: World) -> Script:
    """A wiped machine restarts while it reaches only one that was cut off from the last change."""
    cores = world.controllers()
    side = world.machines["s1"]
    world.kill(side)  # it would pass on what it knows
    yield from world.commit(cores, change(1))
    others = [machine for machine in world.machines.values() if machine is not cores[2]]
    world.cut([cores[2]], others)
    yield from world.commit(cores, change(2))
    world.power_off(cores[0])
    cores[0].disk.wipe()
    world.wire.heal()
    world.cut([cores[1]], [m for m in world.machines.values() if m is not cores[1]])
    world.restart(cores[0], 0.5)
    yield world.env.timeout(2.5)
    yield from world.get(cores[2])
    yield from world.get(cores[0])
    world.restart(side)


def disk_refuses(world: World) -> Script:
    cores = world.controllers()
    for machine in cores[:2]:
        machine.disk.refuses_until = world.env.now + 0.9
    yield from world.commit(cores, change(1))
    troubles.all_power_one_wiped(world, cores[2].life, None)  # type: ignore[arg-type]
    yield world.env.timeout(3.0)


def same_version_twice(world: World) -> Script:
    cores = world.controllers()
    one = world.env.process(world.patch(cores[0], change(1, trials=1)))
    other = world.env.process(world.patch(cores[1], change(1, trials=2)))
    yield one & other


def equal_versions_on_both_sides_of_a_cut(world: World) -> Script:
    """The isolated machine is sent the content with the greater bytes, the others the lesser one."""
    cores = world.controllers()
    yield from world.commit(cores, change(1))
    others = [machine for machine in world.machines.values() if machine is not cores[0]]
    world.cut(cores[:1], others)
    greater = world.env.process(world.patch(cores[0], change(5, trials=9)))
    yield from world.commit(cores[1:], change(5, trials=2))
    yield greater
    yield world.env.timeout(1.0)
    world.heal()
    yield world.env.timeout(3 * COMPARE_INTERVAL_S[1])


def a_decision_is_not_heard_and_the_next_one_is(world: World) -> Script:
    """A machine refuses the first of two orders because of a higher promise, and receives the second
    decision. Their source is then killed before it sends its updates."""
    cores = world.controllers()
    yield from world.commit(cores, change(1))
    yield world.env.timeout(0.1)
    world.cut(cores[1:2], cores[2:], both=False)
    cores[2].program.acceptor.promise(Ballot(999, "x"), [("route", "lost", 1)])
    world.env.process(world.patch(cores[0], change(1, "lost")))
    yield world.env.timeout(0.001)
    yield from world.patch(cores[0], change(2))
    yield world.env.timeout(0.003)
    world.kill(cores[0])
    yield world.env.timeout(0.7)
    world.wire.heal()
    yield world.env.timeout(1.0)
    yield from world.get(cores[2])
    world.start(cores[0])


def one_joins_behind_a_writer(world: World) -> Script:
    """Messages of a writer are delayed while a machine joins; then they reach one that knows the new view.
    The writer is not the holder of the duty `members`, whose silence would be noticed first."""
    cores = world.controllers()
    yield from world.until(
        lambda: cores[0].program.member_changes.lease.latest.epoch, 3.0, "the duty is taken"
    )
    holder = cores[0].program.member_changes.lease.latest.holder
    writer = next(machine for machine in cores if machine.name != holder)
    other = next(machine for machine in cores if machine is not writer)
    joiner = world.add("c4", "10.0.0.4")
    world.cut([writer], [m for m in world.machines.values() if m is not writer], both=False)
    writing = world.env.process(world.patch(writer, change(1)))
    world.cut([writer], [joiner])
    world.start(joiner)

    def counts() -> bool:
        view = other.program.member_set.view()
        return joiner.ip in view.members and not view.joint

    yield from world.until(counts, 0.9, "one joins")
    paths = set(world.wire.cut)
    world.heal()
    world.wire.cut |= paths - {(writer.ip, other.ip)}
    yield writing


SEEDED: list[tuple[Callable[[seeds.Patch], None], Play]] = [
    (seeds.ack_after_one_disk, power_loss_after_acknowledgement("c2 c3", 0)),
    (seeds.ack_without_a_disk, power_loss_after_acknowledgement("c1 c2 c3", 0)),
    (seeds.own_counts_before_sync, power_loss_after_acknowledgement("c1 c3", 1)),
    (seeds.half_is_enough, power_loss_after_acknowledgement("c2 c3", 0)),
    (seeds.reads_answered_without_asking, cut_off),
    (seeds.wiped_counts_at_once, lost_and_cut),
    (seeds.whole_before_it_heard_all, lost_and_cut),
    (seeds.both_are_confirmed, same_version_twice),
    (seeds.in_force_before_it_is_decided, equal_versions_on_both_sides_of_a_cut),
    (seeds.lower_version_overwrites, two_operators),
    (seeds.views_of_answerers_are_ignored, one_joins_behind_a_writer),
    (seeds.unknown_service_is_taken, calls_that_are_refused),
    (seeds.tombstone_is_forgotten_at_once, drops_and_old_ones_again),
    (seeds.refused_counts_as_kept, disk_refuses),
    (seeds.questions_are_not_asked_again, drops_and_old_ones_again),
    (seeds.a_gap_is_counted, a_decision_is_not_heard_and_the_next_one_is),
    (seeds.always_something_to_say, drops_and_old_ones_again),
]


@pytest.mark.parametrize(("seed", "then"), SEEDED, ids=[seed.__name__ for seed, _ in SEEDED])
def test_a_seeded_fault_is_seen(
    seed: Callable[[seeds.Patch], None], then: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_world(booted(3, then)) == []
    seed(monkeypatch)
    assert is_detected(booted(3, then))
