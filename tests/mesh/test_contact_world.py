"""Control machines partitioned for 20 s, in virtual time: a starting process gets nothing outdated, and a
machine that is cut off neither acknowledges nor refuses. Then faults are seeded, which the same checks must
detect."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from mesh.event_log import events
from mesh.replication.quorum_contact import PROBE_INTERVAL_SHARE, Proof
from simulation.mesh import contact_seeds as seeds
from simulation.mesh.cuts import BOUND_S, CUTS, NEWEST_S, Cuts, others, patch_body, play
from simulation.mesh.world import Machine, Script, World

CONTROLLERS = {"halves": 4}
_clean_runs: dict[tuple[str, int], list[str]] = {}


def undisturbed(name: str, number: int = -1) -> list[str]:
    if (name, number) not in _clean_runs:
        violations, world = play(name, CONTROLLERS.get(name, 3), random.Random(f"{name}/0"), number)
        _clean_runs[name, number] = violations
        if name != "frozen":
            assert world.answers and set(world.answers) <= {503, 307}
    return _clean_runs[name, number]


@pytest.mark.parametrize("name", CUTS)
def test_a_cut_after_the_last_acknowledgement_breaks_nothing(name: str) -> None:
    assert undisturbed(name) == []


@pytest.mark.parametrize("number", [7, 61, 150])
@pytest.mark.parametrize("name", ["one", "restart"])
def test_a_cut_at_a_numbered_point_breaks_nothing(name: str, number: int) -> None:
    assert undisturbed(name, number) == []


SEEDED: list[tuple[Callable[[seeds.Patch], None], str]] = [
    (seeds.open_links_are_contact, "halves"),
    (seeds.open_links_are_contact, "frozen"),
    (seeds.answers_count_for_ever, "frozen"),
    (seeds.half_takes_orders, "halves"),
    (seeds.orders_are_taken_without_contact, "one"),
    (seeds.ready_by_whoever_answers, "zone"),
    (seeds.ready_without_a_word, "zone"),
    (seeds.open_votes_are_not_heeded, "halves"),
    (seeds.duties_are_kept, "one"),
]


@pytest.mark.parametrize(("seed", "name"), SEEDED, ids=[f"{seed.__name__}-{name}" for seed, name in SEEDED])
def test_a_seeded_fault_is_seen(
    seed: Callable[[seeds.Patch], None], name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert undisturbed(name) == []
    seed(monkeypatch)
    assert play(name, CONTROLLERS.get(name, 3), random.Random(f"{name}/0"))[0]


@pytest.mark.parametrize("luck", [3, 5, 11])
def test_a_vote_that_was_taken_up_in_vain_still_counts_as_open(
    luck: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert play("halves", 4, random.Random(f"halves/{luck}"))[0] == []
    seeds.open_votes_are_counted_anew(monkeypatch)
    assert play("halves", 4, random.Random(f"halves/{luck}"))[0]


# One rule each


def run_world(script: Callable[[Cuts], Script], cores: int = 3, proxies: int = 1) -> list[str]:
    def whole(world: World) -> Script:
        assert isinstance(world, Cuts)
        yield from world.boot(cores, proxies)
        world.env.process(world.monitor())
        yield from world.commit(world.controllers(), patch_body("last", 1, 800))
        yield world.env.timeout(1.0)
        yield from script(world)

    with Cuts() as world:
        return world.run(whole)


def isolate(world: Cuts, *inside: Machine) -> None:
    world.apart(list(inside))


def logged_events(world: Cuts, name: str, *numbers: int) -> list[int]:
    return [event.number for _, who, event, _ in world.told if who == name and event.number in numbers]


def test_a_sidecar_with_only_the_cut_off_one_in_reach_goes_on_says_so_once_and_takes_the_newest() -> None:
    def script(world: Cuts) -> Script:
        side, at = world.machines["s1"], world.controllers()[0]
        isolate(world, at, side)
        yield from world.commit(others(world, at), patch_body("last", 2, 700))
        yield world.env.timeout(20.0)
        program = side.program
        assert program.configured() and program.config_store.items["route", "last"].version == 1
        shown = program.control_contact.status(world.env.now)
        assert 18_000 < shown["without_ms"] < 20_100 and 0 < shown["behind_ms"] - shown["without_ms"] <= 1100
        assert logged_events(world, "s1", 222, 223) == [events.CONTROL_LOST.number]
        world.heal()
        yield from world.takes_the_newest()
        assert 0.0 < world.worst_newest_s <= NEWEST_S
        yield world.env.timeout(1.0)
        assert logged_events(world, "s1", 222, 223) == [
            events.CONTROL_LOST.number,
            events.CONTROL_REGAINED.number,
        ]
        assert program.control_contact.status(world.env.now)["without_ms"] is None

    assert run_world(script) == []


def test_a_life_that_begins_is_not_ready_by_one_without_contact_and_seeks_the_next() -> None:
    def script(world: Cuts) -> Script:
        at = world.controllers()[0]
        isolate(world, at)
        yield world.env.timeout(BOUND_S + 0.2)
        yield from world.commit(others(world, at), patch_body("last", 2, 700))
        new = world.add("n1", "10.0.2.1", core=False)
        world.seeds_of["n1"] = [at]
        world.cut([new], others(world, at))
        world.start(new)
        yield world.env.timeout(5.0)
        assert new.program.config_store.items["route", "last"].version == 1 and not new.program.configured()
        world.wire.cut = {path for path in world.wire.cut if new.ip not in path}
        yield from world.until(new.program.configured, NEWEST_S, "n1 is ready by another than its seed")
        assert new.program.config_store.items["route", "last"].version == 2

    assert run_world(script) == []


def test_who_reaches_one_with_contact_sends_callers_there() -> None:
    def script(world: Cuts) -> Script:
        cores = world.controllers()
        at, near = cores[0], cores[1]
        world.cut([at], cores[2:])
        yield world.env.timeout(BOUND_S + 0.5)
        assert at.program.contact_probes.proof() is Proof.NONE
        for method, body in ((b"GET", b""), (b"PATCH", patch_body("last", 2, 700))):
            answer = yield from world.call(at, method, body)
            assert (answer.status, answer.location) == (307, f"http://{near.ip}:8146/configuration")
        world.witness.sends(patch_body("last", 2, 700), True)
        answer = yield from world.commit([at], patch_body("last", 2, 700))
        assert answer.status == 200

    assert run_world(script, cores=5) == []


def test_one_that_was_frozen_serves_nobody_by_what_it_knew_before() -> None:
    """When it wakes, its sockets hold an order, a read and the first request of a sidecar."""

    def script(world: Cuts) -> Script:
        at = world.controllers()[0]
        world.freeze(at, 20.0)
        yield world.env.timeout(1.0)
        yield from world.commit(others(world, at), patch_body("last", 2, 700))
        yield world.env.timeout(18.7)
        new = world.add("n1", "10.0.2.1", core=False)
        world.seeds_of["n1"] = [at]
        world.start(new)
        asked = [world.env.process(world.call(at, method, body)) for method, body in calls]
        yield asked[0] & asked[1]
        assert [process.value.status for process in asked] == [503, 503]
        yield from world.until(new.program.configured, NEWEST_S, "n1 is ready")
        assert new.program.config_store.items["route", "last"].version == 2

    calls = [(b"GET", b""), (b"PATCH", patch_body("last", 3, 600))]
    assert run_world(script) == []


def test_a_time_of_day_that_steps_costs_one_round_of_questions() -> None:
    def script(world: Cuts) -> Script:
        at = world.controllers()[0]
        for step_s in (3600.0, -7200.0):
            world.steps[at.name] = world.steps.get(at.name, 0.0) + step_s
            yield world.env.timeout(0.5)
            assert at.program.contact_probes.proof() is Proof.ORDERS
            answer = yield from world.call(at, b"GET")
            assert answer.status == 200

    assert run_world(script) == []


def test_questions_of_contact_are_few_and_short() -> None:
    """Any two control processes exchange four frames per eighth of contact_ms, of at most 40 bytes each."""

    def script(world: Cuts) -> Script:
        began, size = world.wire.probes, world.wire.probe_bytes
        yield world.env.timeout(30.0)
        most = 30.0 / (3.0 * PROBE_INTERVAL_SHARE) * 5 * 4 * 2
        assert 0.8 * most <= world.wire.probes - began <= most
        assert (world.wire.probe_bytes - size) / (world.wire.probes - began) <= 50

    assert run_world(script, cores=5) == []


@pytest.mark.parametrize("contact", [True, False])
def test_a_go_word_of_one_without_contact_is_passed_over(contact: bool) -> None:
    def script(world: Cuts) -> Script:
        stages: Any = world.machines["s1"].program.staged_routes
        taken: list[Any] = []
        stages.activation.approve = lambda *args: taken.append(args)
        stages.handle_frame({"t": "go", "items": [["route", "last", 2]]}, contact)
        assert bool(taken) is contact
        yield world.env.timeout(0.0)

    assert run_world(script) == []
