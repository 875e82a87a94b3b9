"""Returning members, outdated disks and collected tombstones: removed items stay away, copies catch up."""

import json
from collections.abc import Iterator
from unittest import mock

import pytest
import simpy

from anisestair.http import codec as http
from mesh.event_log import events
from mesh.event_log.events import Event
from mesh.replication.acceptor import Slot
from mesh.replication.items import Key
from mesh.replication.membership_epochs import MEMBERS, VIEW, View, write_view
from mesh.replication.proposer import Decided
from simulation.mesh import troubles
from simulation.mesh.world import Incarnation, Machine, Script, World
from tests.mesh.test_simulated_mesh import removal_body, write_body

RETENTION_S, RESYNC_S = 12.0, 6.0
MANY = 600
X: Key = ("route", "x")


class RecordingWorld(World):
    """``events_seen``: the events of all processes, with the name of the machine."""

    def __init__(self) -> None:
        super().__init__()
        self.events_seen: list[tuple[str, Event]] = []

    def instrument(self, incarnation: Incarnation) -> None:
        incarnation.program.event_log.emit = lambda event, /, **_: self.events_seen.append(
            (incarnation.machine.name, event)
        )

    def machines_logging(self, event: Event) -> set[str]:
        return {name for name, known in self.events_seen if known is event}


@pytest.fixture(autouse=True)
def short_retention() -> Iterator[None]:
    """Shortens the retention of tombstones to seconds, and all intervals that depend on it."""
    with (
        mock.patch("mesh.membership.tombstones.RETENTION_S", RETENTION_S),
        mock.patch("mesh.data_plane.program.RESYNC_AFTER_S", RESYNC_S),
        mock.patch("mesh.data_plane.configuration_resync.RESYNC_AFTER_S", RESYNC_S),
        mock.patch("mesh.control_plane.tombstone_collection.QUERY_INTERVAL_S", 0.5),
    ):
        yield


def stale_copies(world: World, key: Key = X) -> list[str]:
    """Machines and disks that still hold the item although it was removed."""
    found = []
    for controllers in (True, False):
        for machine, program in world.programs(controllers):
            item = program.config_store.items.get(key)
            if item is not None and item.value is not None:
                found.append(machine.name)
    for machine in world.controllers():
        if any(item.key == key and item.value is not None for item in machine.disk.state().items):
            found.append(f"{machine.name}'s disk")
    return found


def holders(world: World, key: Key = X) -> list[str]:
    """Machines that hold the item or its tombstone."""
    programs = [one for controllers in (True, False) for one in world.programs(controllers)]
    return [machine.name for machine, program in programs if key in program.config_store.items]


def remove_x(world: World) -> Script:
    """Removes X. The checker no longer requires it, since its tombstone may be collected."""
    answer = yield from world.commit(world.controllers()[:2], removal_body(2, "x"))
    assert answer is not None and answer.status == 200
    del world.checker.acknowledged[X]


def wait_until_collected(world: World, within_s: float = 2 * RETENTION_S) -> Script:
    def all_collected() -> bool:
        return not any(X in program.config_store.items for _, program in world.programs(controllers=True))

    yield from world.wait_until(all_collected, within_s, "the tombstone is collected")


def boot_with_routes(world: World, proxies: int = 1, spare: bool = False) -> Script:
    yield from world.boot(3, proxies)
    world.env.process(world.checker.watch())
    if spare:
        world.start(world.add("c4", "10.0.0.4", counted=False))
    for body in (write_body(1), write_body(1, "x"), write_body(1, "y")):
        answer = yield from world.commit(world.controllers()[:3], body)
        assert answer is not None and answer.status == 200
    yield world.env.timeout(1.0)


def check_end(world: World, gone: bool = True) -> Script:
    yield world.env.timeout(3.0)
    assert not gone or stale_copies(world) == []
    yield from world.checker.check_recovered()


def copy_rows(machine: Machine) -> dict[bytes, bytes]:
    return dict(machine.disk.rows)


def run_play(script, kind: type[World] = RecordingWorld) -> list[str]:  # type: ignore[no-untyped-def]
    with kind() as world:
        return world.run(script)


def unlimited_names(world: World) -> Script:
    """Names that are added and removed once each: ten times as many over time as a store may hold."""
    yield from boot_with_routes(world)
    for number in range(120):
        for body in (write_body(1, f"n{number}"), removal_body(2, f"n{number}")):
            answer = yield from world.commit(world.controllers()[:2], body, tries=200)
            assert answer is not None and answer.status == 200, (number, answer)
            del world.checker.acknowledged["route", f"n{number}"]
        yield world.env.timeout(0.5)
    yield world.env.timeout(2.5 * RETENTION_S)
    for machine, program in world.programs(controllers=True):
        assert len(program.config_store.items) < 10, machine.name
        # At most one row for each bucket of the digest tree.
        assert len(machine.disk.rows) < 10 + 120, machine.name
    yield from world.checker.check_recovered()


def test_names_that_come_and_go_are_taken_without_end() -> None:
    with (
        mock.patch("mesh.control_plane.program.MAX_CONFIG_ITEMS", 60),
        mock.patch("mesh.data_plane.program.MAX_CONFIG_ITEMS", 60),
    ):
        assert run_play(unlimited_names) == []


def test_without_tombstone_collection_the_store_stays_full() -> None:
    with (
        mock.patch("mesh.control_plane.program.MAX_CONFIG_ITEMS", 60),
        mock.patch("mesh.control_plane.tombstone_collection.TombstoneCollection.tick"),
        pytest.raises(AssertionError, match=r", None\)"),
    ):
        run_play(unlimited_names)


def test_a_disk_that_is_nearly_full_takes_drops_and_then_again_what_is_set() -> None:
    def script(world: World) -> Script:
        yield from boot_with_routes(world)
        for machine in world.controllers():
            machine.disk.max_bytes = 120_000
        count = 0
        while True:
            answer = yield from world.patch(world.controllers()[0], write_body(1, f"n{count}"))
            if answer is None or answer.status != 200:
                break
            count += 1
        assert answer is not None and answer.status == 503 and b"disk" in answer.body and 20 < count < 200
        for number in range(count):
            answer = yield from world.commit(world.controllers()[:2], removal_body(2, f"n{number}"))
            assert answer is not None and answer.status == 200
            del world.checker.acknowledged["route", f"n{number}"]
        yield world.env.timeout(3 * RETENTION_S)
        for number in range(count // 2):
            answer = yield from world.commit(world.controllers()[:2], write_body(3, f"n{number}"))
            assert answer is not None and answer.status == 200
        yield from world.checker.check_recovered()

    assert run_play(script) == []


def test_a_tombstone_is_collected_only_once_all_members_have_it() -> None:
    def script(world: World) -> Script:
        yield from boot_with_routes(world)
        away = world.controllers()[2]
        world.kill(away)
        yield from remove_x(world)
        yield world.env.timeout(3 * RETENTION_S)
        assert {"c1", "c2"} <= set(holders(world))
        world.start(away)
        yield from wait_until_collected(world)
        assert world.machines_logging(events.TOMBSTONES_COLLECTED)
        yield from check_end(world)

    assert run_play(script) == []


def test_a_member_whose_disk_is_an_older_copy_starts_over() -> None:
    def script(world: World) -> Script:
        yield from boot_with_routes(world)
        one = world.controllers()[2]
        old = copy_rows(one)
        world.kill(one)
        world.start(one)
        yield from world.wait_for_members([one])
        yield from remove_x(world)
        yield from wait_until_collected(world)
        world.kill(one)
        one.disk.rows = old
        yield world.env.timeout(0.5)
        world.start(one)
        yield from world.wait_for_members([one])
        assert world.machines_logging(events.DISK_OUTDATED) == {"c3"}
        yield from check_end(world)

    assert run_play(script) == []


def test_a_reader_that_comes_back_with_its_disk_starts_over() -> None:
    def script(world: World) -> Script:
        yield from boot_with_routes(world, spare=True)
        spare = world.controllers()[3]
        assert X in spare.program.config_store.items
        world.kill(spare)
        yield from remove_x(world)
        yield from wait_until_collected(world)
        world.start(spare)
        yield world.env.timeout(3.0)
        assert world.machines_logging(events.DISK_OUTDATED) == {"c4"}
        assert (
            spare.program.config_store.digests.root()
            == world.controllers()[0].program.config_store.digests.root()
        )
        yield from check_end(world)

    assert run_play(script) == []


def remove_member(world: World, who: Machine) -> Script:
    """Decides the two views of a change of members."""
    program = world.controllers()[0].program
    view = program.member_set.view()
    rest = {ip: place for ip, place in view.members.items() if ip != who.ip}
    for next_view in (View(view.epoch + 1, rest, view.members), View(view.epoch + 2, rest)):
        number = (VIEW, MEMBERS, next_view.epoch)
        done = world.env.event()

        async def decide(number: Slot = number, proposed: View = next_view, done: simpy.Event = done) -> None:
            done.succeed(await program.proposer_host.decide({number: write_view(proposed)}, 2.0))

        world.controllers()[0].incarnation.context.run(world.loop.create_task, decide())
        assert isinstance((yield done), Decided)
        yield world.env.timeout(0.3)


def test_a_machine_that_was_taken_out_counts_only_with_all_that_the_others_hold() -> None:
    """Answers to queries sent before it starts over come from the old store and must not count as held."""

    def script(world: World) -> Script:
        yield from boot_with_routes(world)
        one = world.controllers()[2]
        world.kill(one)
        yield from remove_member(world, one)
        world.start(one)
        while one.program is None or (VIEW, MEMBERS) not in one.program.config_store.items:
            yield world.env.timeout(0.001)
        while one.program.disk_writer.complete and not world.machines_logging(events.DISK_OUTDATED):
            yield world.env.timeout(0.001)
        while not one.program.disk_writer.complete:
            yield world.env.timeout(0.001)
        held = {item.key for item in one.program.config_store.items.values()}
        assert held >= world.checker.acknowledged.keys()
        assert world.machines_logging(events.DISK_OUTDATED) == {"c3"}
        yield from world.wait_for_members([one])
        yield from check_end(world, gone=False)

    assert run_play(script) == []


@pytest.mark.parametrize("own", [True, False])
def test_one_that_was_taken_out_while_it_ran_counts_only_with_what_it_decided_itself(own: bool) -> None:
    """It starts over while it runs. Items that it decided itself carry its own name as source, and the others
    must not assume that it still holds them (docs/incidents/started-over-without-its-own.md)."""

    def script(world: World) -> Script:
        yield from boot_with_routes(world)
        one, others = world.controllers()[2], world.controllers()[:2]
        yield from world.patch(one if own else others[0], write_body(2))
        yield world.env.timeout(0.5)
        world.partition([one], [machine for machine in world.machines.values() if machine is not one])
        yield world.env.timeout(1.0)
        yield from remove_member(world, one)
        world.heal()
        while not world.machines_logging(events.DISK_OUTDATED):
            yield world.env.timeout(0.001)
        assert not one.program.disk_writer.complete
        while not one.program.disk_writer.complete:
            yield world.env.timeout(0.001)
        held = {item.key: item.version for item in one.program.config_store.items.values()}
        assert {key: held.get(key) for key in world.checker.acknowledged} == {
            key: version for key, (version, _) in world.checker.acknowledged.items()
        }
        yield from world.wait_for_members([one])
        yield from check_end(world, gone=False)

    assert run_play(script) == []


@pytest.mark.parametrize("seconds", [0.7 * RESYNC_S, 4 * RETENTION_S])
def test_a_sidecar_that_was_cut_off_lets_go_what_was_dropped_and_forgotten(seconds: float) -> None:
    def script(world: World) -> Script:
        yield from boot_with_routes(world, proxies=2)
        proxy = next(machine for machine, _ in world.programs(controllers=False))
        world.partition([proxy], [one for one in world.machines.values() if one is not proxy])
        yield world.env.timeout(2.0)
        yield from remove_x(world)
        yield world.env.timeout(seconds)
        assert proxy.program.config_store.items[X].value is not None  # it keeps using what it has
        if seconds > RETENTION_S:
            assert "c1" not in holders(world)
        world.heal()
        yield world.env.timeout(4.0)
        assert X not in proxy.program.config_store.items or proxy.program.config_store.items[X].value is None
        yield from check_end(world)

    assert run_play(script) == []


@pytest.mark.parametrize("fault", ["doubts", "starts over"])
def test_the_checks_detect_removed_items_that_return(fault: str) -> None:
    if fault == "doubts":
        with (
            mock.patch("mesh.data_plane.configuration_resync.ConfigurationResync.tick"),
            pytest.raises(AssertionError, match="'x'"),
        ):
            test_a_sidecar_that_was_cut_off_lets_go_what_was_dropped_and_forgotten(4 * RETENTION_S)
        return
    with (
        mock.patch("mesh.control_plane.catch_up.CatchUp._start_over"),
        mock.patch("mesh.replication.tombstones.CollectedTombstones.version", lambda *_: -1),
        pytest.raises(AssertionError),
    ):
        test_a_reader_that_comes_back_with_its_disk_starts_over()


def send_unchecked(world: World, body: bytes) -> Script:
    """A write that the checker does not examine in detail, which takes quadratic time."""
    world.checker.record_sent(body, True)
    incarnation = world.controllers()[0].incarnation
    message = http.Message(method=b"PATCH", target=b"/configuration", body=body)
    answer = yield world.send_request(incarnation, incarnation.program.operator_api.handle, message)
    assert answer.status == 200
    yield world.env.timeout(1.0)


def large_body(count: int, version: int) -> bytes:
    law = json.loads(write_body(version))["apply"]["input_ports"][0]["control_law"][0]
    laws = [{**law, "name": f"n{n}", "predicate": {"prefix": f"/n{n}/"}} for n in range(count)]
    body = {"input_ports": [{"host": "h", "control_law": laws}]}
    return json.dumps({"apply": {**body, "plant_groups": [{"name": "p", "epoch": f"r{version}"}]}}).encode()


@pytest.mark.parametrize("fault", ["nothing", "source killed", "target killed", "slow disk", "link lost"])
def test_an_emptied_disk_is_whole_again_whatever_befalls_meanwhile(fault: str) -> None:
    def script(world: World) -> Script:
        yield from boot_with_routes(world)
        yield from send_unchecked(world, large_body(MANY, 2))
        source, _, target = world.controllers()
        world.kill(target)
        target.disk.wipe()
        world.start(target)
        if fault == "slow disk":
            target.disk.sync_duration_s = 0.4
        while target.program is None or len(target.program.config_store.items) < MANY // 3:
            yield world.env.timeout(0.001)
        assert len(target.program.config_store.items) < MANY
        if fault in ("source killed", "target killed"):
            one = source if fault == "source killed" else target
            world.kill(one)
            world.restart(one)
        elif fault == "link lost":
            for end in [
                e for e in world.network.ends if e.incarnation is target.incarnation and not e.closed
            ]:
                world.network.break_connection(end)
        yield from world.wait_for_members([target])
        yield from check_end(world, gone=False)

    with mock.patch("mesh.dissemination.pull_exchange.PAGE_ITEMS", 50):
        assert run_play(script) == []


@pytest.mark.parametrize("at", range(0, 60, 6))
def test_a_kill_at_any_point_of_a_catch_up_is_harmless(at: int) -> None:
    """Kills whichever process is at that point."""

    def script(world: World) -> Script:
        yield from boot_with_routes(world)
        target = world.controllers()[2]
        world.kill(target)
        target.disk.wipe()
        world.recording_points, world.fault_index, world.fault = True, at, troubles.crash
        world.start(target)
        yield world.env.timeout(1.5)
        assert len(world.fault_points) > at
        world.recording_points = False
        yield from world.wait_for_members(world.controllers())
        yield from check_end(world, gone=False)

    assert run_play(script) == []
