"""Members that were away, old disks, and drops that are forgotten, in virtual time: nothing that was dropped
comes back, no older disk leads, and who lacks much is level again by itself."""

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
from simulation.mesh.world import Life, Machine, Script, World
from tests.mesh.test_simulated_mesh import change, drop

KEPT_S, ANEW_S = 12.0, 6.0
MANY = 600
X: Key = ("route", "x")


class Told(World):
    """``told``: the events of all processes, by name of the machine."""

    def __init__(self) -> None:
        super().__init__()
        self.told: list[tuple[str, Event]] = []

    def dress(self, life: Life) -> None:
        life.program.event_log.emit = lambda event, /, **_: self.told.append((life.machine.name, event))

    def tellers(self, event: Event) -> set[str]:
        return {name for name, known in self.told if known is event}


@pytest.fixture(autouse=True)
def short() -> Iterator[None]:
    """Drops are kept for seconds here, and all that goes by it is as much shorter."""
    with (
        mock.patch("mesh.membership.tombstones.RETENTION_S", KEPT_S),
        mock.patch("mesh.data_plane.program.RESYNC_AFTER_S", ANEW_S),
        mock.patch("mesh.control_plane.tombstone_collection.QUERY_INTERVAL_S", 0.5),
    ):
        yield


def stale(world: World, key: Key = X) -> list[str]:
    """Who holds an older set copy of what was dropped, in memory or on disk."""
    found = []
    for core in (True, False):
        for machine, program in world.programs(core):
            item = program.config_store.items.get(key)
            if item is not None and item.value is not None:
                found.append(machine.name)
    for machine in world.controllers():
        if any(item.key == key and item.value is not None for item in machine.disk.holds().items):
            found.append(f"{machine.name}'s disk")
    return found


def holders(world: World, key: Key = X) -> list[str]:
    """Who holds anything of it."""
    programs = [one for core in (True, False) for one in world.programs(core)]
    return [machine.name for machine, program in programs if key in program.config_store.items]


def dropped(world: World) -> Script:
    """X is set, and dropped; its version 2 is acknowledged. It may be forgotten from here on."""
    answer = yield from world.commit(world.controllers()[:2], drop(2, "x"))
    assert answer is not None and answer.status == 200
    del world.witness.acked[X]


def forgotten(world: World, within_s: float = 2 * KEPT_S) -> Script:
    def all_forgot() -> bool:
        return not any(X in program.config_store.items for _, program in world.programs(core=True))

    yield from world.until(all_forgot, within_s, "the drop is forgotten")


def begun(world: World, proxies: int = 1, spare: bool = False) -> Script:
    yield from world.boot(3, proxies)
    world.env.process(world.witness.watch())
    if spare:
        world.start(world.add("c4", "10.0.0.4", counted=False))
    for body in (change(1), change(1, "x"), change(1, "y")):
        answer = yield from world.commit(world.controllers()[:3], body)
        assert answer is not None and answer.status == 200
    yield world.env.timeout(1.0)


def ends(world: World, gone: bool = True) -> Script:
    yield world.env.timeout(3.0)
    assert not gone or stale(world) == []
    yield from world.witness.finish()


def copy(machine: Machine) -> dict[bytes, bytes]:
    return dict(machine.disk.rows)


def played(script, kind: type[World] = Told) -> list[str]:  # type: ignore[no-untyped-def]
    with kind() as world:
        return world.run(script)


def names_without_end(world: World) -> Script:
    """Names that come and go, each once: ten times as many as a store may hold, over time."""
    yield from begun(world)
    for number in range(120):
        for body in (change(1, f"n{number}"), drop(2, f"n{number}")):
            answer = yield from world.commit(world.controllers()[:2], body, tries=200)
            assert answer is not None and answer.status == 200, (number, answer)
            del world.witness.acked["route", f"n{number}"]
        yield world.env.timeout(0.5)
    yield world.env.timeout(2.5 * KEPT_S)
    for machine, program in world.programs(core=True):
        assert len(program.config_store.items) < 10, machine.name
        assert len(machine.disk.rows) < 10 + 120, machine.name  # a row a bucket of what is left, at most
    yield from world.witness.finish()


def test_names_that_come_and_go_are_taken_without_end() -> None:
    with (
        mock.patch("mesh.control_plane.program.MAX_CONFIG_ITEMS", 60),
        mock.patch("mesh.data_plane.program.MAX_CONFIG_ITEMS", 60),
    ):
        assert played(names_without_end) == []


def test_without_forgetting_the_store_is_full_for_good() -> None:
    with (
        mock.patch("mesh.control_plane.program.MAX_CONFIG_ITEMS", 60),
        mock.patch("mesh.control_plane.tombstone_collection.TombstoneCollection.tick"),
        pytest.raises(AssertionError, match=r", None\)"),
    ):
        played(names_without_end)


def test_a_disk_that_is_nearly_full_takes_drops_and_then_again_what_is_set() -> None:
    def script(world: World) -> Script:
        yield from begun(world)
        for machine in world.controllers():
            machine.disk.most_bytes = 120_000
        count = 0
        while True:
            answer = yield from world.patch(world.controllers()[0], change(1, f"n{count}"))
            if answer is None or answer.status != 200:
                break
            count += 1
        assert answer is not None and answer.status == 503 and b"disk" in answer.body and 20 < count < 200
        for number in range(count):
            answer = yield from world.commit(world.controllers()[:2], drop(2, f"n{number}"))
            assert answer is not None and answer.status == 200
            del world.witness.acked["route", f"n{number}"]
        yield world.env.timeout(3 * KEPT_S)
        for number in range(count // 2):
            answer = yield from world.commit(world.controllers()[:2], change(3, f"n{number}"))
            assert answer is not None and answer.status == 200
        yield from world.witness.finish()

    assert played(script) == []


def test_a_drop_is_forgotten_only_once_all_members_have_it() -> None:
    def script(world: World) -> Script:
        yield from begun(world)
        away = world.controllers()[2]
        world.kill(away)
        yield from dropped(world)
        yield world.env.timeout(3 * KEPT_S)
        assert {"c1", "c2"} <= set(holders(world))
        world.start(away)
        yield from forgotten(world)
        assert world.tellers(events.TOMBSTONES_COLLECTED)
        yield from ends(world)

    assert played(script) == []


def test_a_member_whose_disk_is_an_older_copy_starts_over() -> None:
    def script(world: World) -> Script:
        yield from begun(world)
        one = world.controllers()[2]
        old = copy(one)
        world.kill(one)
        world.start(one)
        yield from world.joined([one])
        yield from dropped(world)
        yield from forgotten(world)
        world.kill(one)
        one.disk.rows = old
        yield world.env.timeout(0.5)
        world.start(one)
        yield from world.joined([one])
        assert world.tellers(events.DISK_OUTDATED) == {"c3"}
        yield from ends(world)

    assert played(script) == []


def test_a_reader_that_comes_back_with_its_disk_starts_over() -> None:
    def script(world: World) -> Script:
        yield from begun(world, spare=True)
        spare = world.controllers()[3]
        assert X in spare.program.config_store.items
        world.kill(spare)
        yield from dropped(world)
        yield from forgotten(world)
        world.start(spare)
        yield world.env.timeout(3.0)
        assert world.tellers(events.DISK_OUTDATED) == {"c4"}
        assert (
            spare.program.config_store.digests.root()
            == world.controllers()[0].program.config_store.digests.root()
        )
        yield from ends(world)

    assert played(script) == []


def taken_out(world: World, who: Machine) -> Script:
    """By the two numbers of a change, as they are agreed on."""
    program = world.controllers()[0].program
    view = program.member_set.view()
    rest = {ip: place for ip, place in view.members.items() if ip != who.ip}
    for next_one in (View(view.epoch + 1, rest, view.members), View(view.epoch + 2, rest)):
        number = (VIEW, MEMBERS, next_one.epoch)
        done = world.env.event()

        async def decide(number: Slot = number, told: View = next_one, done: simpy.Event = done) -> None:
            done.succeed(await program.proposer_host.decide({number: write_view(told)}, 2.0))

        world.controllers()[0].life.context.run(world.loop.create_task, decide())
        assert isinstance((yield done), Decided)
        yield world.env.timeout(0.3)


def test_a_machine_that_was_taken_out_counts_only_with_all_that_the_others_hold() -> None:
    """What was asked before it started over is answered by what it held then: it must not count as held."""

    def script(world: World) -> Script:
        yield from begun(world)
        one = world.controllers()[2]
        world.kill(one)
        yield from taken_out(world, one)
        world.start(one)
        while one.program is None or (VIEW, MEMBERS) not in one.program.config_store.items:
            yield world.env.timeout(0.001)
        while one.program.disk_writer.complete and not world.tellers(events.DISK_OUTDATED):
            yield world.env.timeout(0.001)
        while not one.program.disk_writer.complete:
            yield world.env.timeout(0.001)
        held = {item.key for item in one.program.config_store.items.values()}
        assert held >= world.witness.acked.keys()
        assert world.tellers(events.DISK_OUTDATED) == {"c3"}
        yield from world.joined([one])
        yield from ends(world, gone=False)

    assert played(script) == []


@pytest.mark.parametrize("own", [True, False])
def test_one_that_was_taken_out_while_it_ran_counts_only_with_what_it_decided_itself(own: bool) -> None:
    """It starts over within its life. What it had decided and told bears its own name, by which the others
    must not take it for held (docs/incidents/started-over-without-its-own.md)."""

    def script(world: World) -> Script:
        yield from begun(world)
        one, others = world.controllers()[2], world.controllers()[:2]
        yield from world.patch(one if own else others[0], change(2))
        yield world.env.timeout(0.5)
        world.cut([one], [machine for machine in world.machines.values() if machine is not one])
        yield world.env.timeout(1.0)
        yield from taken_out(world, one)
        world.heal()
        while not world.tellers(events.DISK_OUTDATED):
            yield world.env.timeout(0.001)
        assert not one.program.disk_writer.complete
        while not one.program.disk_writer.complete:
            yield world.env.timeout(0.001)
        held = {item.key: item.version for item in one.program.config_store.items.values()}
        assert {key: held.get(key) for key in world.witness.acked} == {
            key: version for key, (version, _) in world.witness.acked.items()
        }
        yield from world.joined([one])
        yield from ends(world, gone=False)

    assert played(script) == []


@pytest.mark.parametrize("seconds", [0.7 * ANEW_S, 4 * KEPT_S])
def test_a_sidecar_that_was_cut_off_lets_go_what_was_dropped_and_forgotten(seconds: float) -> None:
    def script(world: World) -> Script:
        yield from begun(world, proxies=2)
        side = next(machine for machine, _ in world.programs(core=False))
        world.cut([side], [one for one in world.machines.values() if one is not side])
        yield world.env.timeout(2.0)
        yield from dropped(world)
        yield world.env.timeout(seconds)
        assert side.program.config_store.items[X].value is not None  # it goes on with what it has
        if seconds > KEPT_S:
            assert "c1" not in holders(world)
        world.heal()
        yield world.env.timeout(4.0)
        assert X not in side.program.config_store.items or side.program.config_store.items[X].value is None
        yield from ends(world)

    assert played(script) == []


@pytest.mark.parametrize("fault", ["doubts", "starts over"])
def test_the_checks_see_what_comes_back(fault: str) -> None:
    if fault == "doubts":
        with (
            mock.patch("mesh.data_plane.program.Proxy._check_unconfirmed"),
            pytest.raises(AssertionError, match="'x'"),
        ):
            test_a_sidecar_that_was_cut_off_lets_go_what_was_dropped_and_forgotten(4 * KEPT_S)
        return
    with (
        mock.patch("mesh.control_plane.catch_up.CatchUp._start_over"),
        mock.patch("mesh.replication.tombstones.CollectedTombstones.version", lambda *_: -1),
        pytest.raises(AssertionError),
    ):
        test_a_reader_that_comes_back_with_its_disk_starts_over()


def unwatched(world: World, body: bytes) -> Script:
    """An order that the witness does not look at in detail, which costs the square of its items."""
    world.witness.sends(body, True)
    life = world.controllers()[0].life
    message = http.Message(method=b"PATCH", target=b"/configuration", body=body)
    answer = yield world.ask(life, life.program.operator_api.handle, message)
    assert answer.status == 200
    yield world.env.timeout(1.0)


def large(count: int, version: int) -> bytes:
    law = json.loads(change(version))["apply"]["input_ports"][0]["control_law"][0]
    laws = [{**law, "name": f"n{n}", "predicate": {"prefix": f"/n{n}/"}} for n in range(count)]
    body = {"input_ports": [{"host": "h", "control_law": laws}]}
    return json.dumps({"apply": {**body, "plant_groups": [{"name": "p", "epoch": f"r{version}"}]}}).encode()


@pytest.mark.parametrize("befalls", ["nothing", "giver killed", "taker killed", "slow disk", "link lost"])
def test_an_emptied_disk_is_whole_again_whatever_befalls_meanwhile(befalls: str) -> None:
    def script(world: World) -> Script:
        yield from begun(world)
        yield from unwatched(world, large(MANY, 2))
        giver, _, taker = world.controllers()
        world.kill(taker)
        taker.disk.wipe()
        world.start(taker)
        if befalls == "slow disk":
            taker.disk.takes_s = 0.4
        while taker.program is None or len(taker.program.config_store.items) < MANY // 3:
            yield world.env.timeout(0.001)
        assert len(taker.program.config_store.items) < MANY
        if befalls in ("giver killed", "taker killed"):
            one = giver if befalls == "giver killed" else taker
            world.kill(one)
            world.restart(one)
        elif befalls == "link lost":
            for end in [end for end in world.wire.ends if end.life is taker.life and not end.closed]:
                world.wire.break_off(end)
        yield from world.joined([taker])
        yield from ends(world, gone=False)

    with mock.patch("mesh.dissemination.pull_exchange.PAGE_ITEMS", 50):
        assert played(script) == []


@pytest.mark.parametrize("at", range(0, 60, 6))
def test_a_kill_at_any_point_of_it_does_not_matter(at: int) -> None:
    """Of whichever process is at that point."""

    def script(world: World) -> Script:
        yield from begun(world)
        taker = world.controllers()[2]
        world.kill(taker)
        taker.disk.wipe()
        world.counting, world.at, world.fault = True, at, troubles.crash
        world.start(taker)
        yield world.env.timeout(1.5)
        assert len(world.points) > at
        world.counting = False
        yield from world.joined(world.controllers())
        yield from ends(world, gone=False)

    assert played(script) == []
