"""Settings in stages on a whole mesh in virtual time, with calls on it: whatever befalls a process in a
stage, a sidecar in touch goes by an acknowledged version in time, none goes back, and nothing effectful runs
twice."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from mesh.rollout import staged_activation as activation_module
from mesh.rollout.bounds import derive_rollout_times
from simulation.mesh import stage_seeds
from simulation.mesh.seeds import Patch
from simulation.mesh.staged import CONTACT_S, SETTLE_S, Staged, rule, split
from simulation.mesh.world import Machine, Script

Play = Callable[[Staged], Script]
HOLD_S = derive_rollout_times(2000.0, 4000.0).hold_s
RULES = {"a": False, "b": True}  # routes, and whether they are effectful
SIDES = 10


def sides(world: Staged) -> list[Machine]:
    return [machine for machine in world.machines.values() if not machine.core]


def versions(world: Staged, name: str = "a") -> list[int | None]:
    """In force at each sidecar."""
    found = []
    for machine in sides(world):
        route = machine.program.routes.get(name) if machine.program is not None else None
        found.append(route.version if route is not None else None)
    return found


def staged(then: Play, traffic_s: float = 0.1, count: int = SIDES) -> Play:
    """A mesh in service: both routes go to p, and every sidecar has calls."""

    def script(world: Staged) -> Script:
        yield from world.boot(3, count)
        yield from world.commits(
            1, *(rule(name, "p", 1, effectful) for name, effectful in RULES.items()), services=("p", "q")
        )
        yield world.env.timeout(CONTACT_S + 1.0)
        world.touched.clear()
        if traffic_s:
            world.env.process(world.traffic(RULES, traffic_s))
        yield world.env.timeout(1.0)
        yield from then(world)
        world.heal()
        yield world.env.timeout(CONTACT_S + SETTLE_S)
        world.judge()

    return script


def played(script: Play) -> list[str]:
    with Staged() as world:
        return world.run(script)  # type: ignore[arg-type]


def seen(script: Play) -> bool:
    try:
        return bool(played(script))
    except AssertionError:
        return True


def moves(world: Staged, version: int, service: str = "q", **fields: Any) -> Script:
    """Both routes go elsewhere."""
    return world.commits(version, *(rule(name, service, version, e, **fields) for name, e in RULES.items()))


# Stages


def test_a_route_that_moves_goes_to_a_few_first_and_to_the_others_within_the_hold() -> None:
    def then(world: Staged) -> Script:
        began = float(world.env.now)
        answer = yield from moves(world, 2)
        acked = float(world.env.now)
        assert answer.status == 200 and acked - began < 0.15 + 0.1
        yield world.env.timeout(max(began + 0.25 - world.env.now, 0.0))
        assert versions(world).count(2) == 1, versions(world)  # the first part: a tenth, one at least
        first = [m.name for m, v in zip(sides(world), versions(world), strict=True) if v == 2]
        assert first == list(
            world.controllers()[0].program.membership.canary_selection().canaries("route", "a", 2)
        )
        yield world.env.timeout(began + HOLD_S + 0.1 - world.env.now)
        assert set(versions(world)) == {2}
        yield world.env.timeout(0.5)
        over = [c for c in world.calls.values() if c.at < world.env.now - 0.2]
        assert len(over) > 100 and all(c.status == 200 and c.over - c.at < 0.1 for c in over)  # no stall
        for machine in world.controllers():
            rollout = machine.program.rollouts.rollouts[-1]
            assert rollout.done is not None and not rollout.missing
            assert machine.program.rollouts.unconfirmed(("route", "a")) == []
        told = [
            p.state.value
            for m in sides(world)
            for p in m.program.staged_routes.activation.history
            if p.version == 2
        ]
        assert set(told) == {"confirmed"}

    assert played(staged(then)) == []


def test_what_cannot_hurt_is_taken_at_once_and_keeps_no_acknowledgement_waiting() -> None:
    def then(world: Staged) -> Script:
        for version, told in (
            (2, [rule("a", "p", 2, setpoint_ms=300)]),  # its aim
            (3, [rule("c", "q", 3)]),  # new
            (4, [rule("a", "p", 4, effectful=True)]),  # must not be repeated any more
        ):
            began = float(world.env.now)
            yield from world.commits(version, *told)
            assert world.env.now - began < 0.05
            yield world.env.timeout(0.15)
            assert set(versions(world, told[0]["name"])) == {version}

    assert played(staged(then, traffic_s=0.0)) == []


def test_the_first_parts_good_word_lets_the_others_go_before_their_time() -> None:
    def then(world: Staged) -> Script:
        began = float(world.env.now)
        yield from moves(world, 2)
        yield world.env.timeout(began + 0.8 * HOLD_S - world.env.now)
        assert set(versions(world)) == {2}
        whys = {
            p.reason
            for m in sides(world)
            for p in m.program.staged_routes.activation.history
            if p.version == 2
        }
        assert "the first part's word is good" in whys

    assert played(staged(then, traffic_s=0.008, count=4)) == []


def test_a_broken_change_is_told_loudly_while_only_the_first_part_goes_by_it() -> None:
    def then(world: Staged) -> Script:
        world.failing.add("q")
        began = float(world.env.now)
        yield from moves(world, 2)
        told: list[float] = []
        while world.env.now < began + HOLD_S:
            yield world.env.timeout(0.02)
            if not told and all(m.program.rollouts.rollouts[-1].worse for m in world.controllers()):
                told.append(float(world.env.now) - began)
                assert versions(world).count(2) == 1
        assert told and told[0] < HOLD_S
        yield world.env.timeout(0.2)
        assert set(versions(world)) == {2}  # it was acknowledged: it goes through
        yield from moves(world, 3, "p")
        yield world.env.timeout(HOLD_S + 0.1)
        assert set(versions(world)) == {3}
        world.calls = {a: c for a, c in world.calls.items() if not c.runs or c.status == 200}

    assert played(staged(then, traffic_s=0.01)) == []


def test_an_operators_go_and_hold_are_obeyed_while_there_is_time() -> None:
    def then(world: Staged) -> Script:
        for machine in sides(world):
            machine.program.staged_routes.apply_command("a", activation_module.RolloutCommand.GO, True)
        began = float(world.env.now)
        yield from moves(world, 2)
        yield world.env.timeout(began + 0.1 - world.env.now)
        assert set(versions(world)) == {2} and versions(world, "b").count(2) == 1
        for machine in sides(world):
            machine.program.staged_routes.apply_command("b", activation_module.RolloutCommand.GO, False)
        assert set(versions(world, "b")) == {2}
        assert all(
            m.program.staged_routes.apply_command("a", activation_module.RolloutCommand.HOLD, False) is None
            for m in sides(world)
        )

    assert played(staged(then, traffic_s=0.0)) == []


def test_a_second_hop_turns_away_by_an_old_version_once_and_says_the_newer_one() -> None:
    def then(world: Staged) -> Script:
        """One sidecar hears no control process, only the other sidecars, for longer than the bound."""
        lone = sides(world)[0]
        world.cut([lone], world.controllers())
        yield from world.commits(2, rule("a", "q", 2), rule("b", "q", 2, effectful=True))
        lone.program.membership.nodes = dict(lone.program.membership.nodes)
        yield world.env.timeout(7.0)
        assert lone.program.routes.get("a").version == 1
        before = len(world.calls)
        for _ in range(6):
            world.ask_for(lone, "a")
            world.ask_for(lone, "b", True)
            yield world.env.timeout(0.1)
        assert lone.program.routes.get("a").version == 2 == lone.program.routes.get("b").version
        mine = [c for c in list(world.calls.values())[before:] if c.life is lone.life]
        assert len(mine) == 12 and all(c.status == 200 and c.runs == ["q"] for c in mine), mine
        world.trouble()  # the plain witness holds a sidecar for in touch that is cut off alone
        yield from world.commit(world.controllers(), b'{"remove":{"routes":[{"name":"a","epoch":"r3"}]}}')
        yield world.env.timeout(7.0)
        for _ in range(6):  # some go to its own upstream, where no more is known than here
            world.ask_for(lone, "a")
            yield world.env.timeout(0.1)
        assert list(world.calls.values())[-1].status == 404

    assert played(staged(then, traffic_s=0.0)) == []


def test_a_call_ends_by_the_version_that_it_began_with() -> None:
    def then(world: Staged) -> Script:
        one = sides(world)[0]
        for version, service in ((2, "q"), (3, "p"), (4, "q")):
            one.program.staged_routes.apply_command("b", activation_module.RolloutCommand.GO, True)
            for _ in range(4):
                world.ask_for(one, "b", True)
            before = one.program.routes.get("b").split[0][0]
            yield world.env.timeout(0.0005)  # begun, and out
            yield from moves(world, version, service)
            yield world.env.timeout(0.3)
            last = list(world.calls.values())[-4:]
            assert all(c.status == 200 and c.runs == [before] for c in last), last

    assert played(staged(then, traffic_s=0.0)) == []


# In each stage something befalls somebody


def kills_first(world: Staged, first: Machine, rest: Machine) -> None:
    world.kill(first)
    world.restart(first)


def kills_rest(world: Staged, first: Machine, rest: Machine) -> None:
    world.kill(rest)
    world.restart(rest)


def freezes_first(world: Staged, first: Machine, rest: Machine) -> None:
    world.freeze(first, 1.5)


def freezes_rest(world: Staged, first: Machine, rest: Machine) -> None:
    world.freeze(rest, 1.5)


def cuts_first(world: Staged, first: Machine, rest: Machine) -> None:
    world.cut([first], [m for m in world.machines.values() if m is not first])
    world.loop.call_later(1.5, world.heal)


def cuts_rest(world: Staged, first: Machine, rest: Machine) -> None:
    world.cut([rest], [m for m in world.machines.values() if m is not rest])
    world.loop.call_later(1.5, world.heal)


def kills_core(world: Staged, first: Machine, rest: Machine) -> None:
    for number, machine in enumerate(world.controllers()):
        world.kill(machine)
        world.restart(machine, 0.3 + 0.05 * number)


def halves_core(world: Staged, first: Machine, rest: Machine) -> None:
    cores = world.controllers()
    world.cut(cores[:1], cores[1:])
    world.loop.call_later(1.5, world.heal)


def stalls_disks(world: Staged, first: Machine, rest: Machine) -> None:
    for machine in world.controllers():
        machine.disk.hangs_until = float(world.env.now) + 3.5
    world._befalls(world.controllers())


TROUBLES = (
    *(kills_first, kills_rest, freezes_first, freezes_rest, cuts_first, cuts_rest),
    *(kills_core, halves_core, stalls_disks),
)


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda one: one.__name__)
@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.2, 0.58])
def test_whatever_befalls_somebody_in_a_stage_the_rules_hold(
    trouble: Callable[[Staged, Machine, Machine], None], after_s: float
) -> None:
    """Before the change, while the news is out, while the others wait, as they take it."""

    def then(world: Staged) -> Script:
        draw = sides(world)[0].program.membership.canary_selection()
        (name,) = draw.canaries("route", "a", 2)
        first = world.machines[name]
        rest = next(m for m in sides(world) if m is not first)
        world.env.process(moves(world, 2))
        if after_s:
            yield world.env.timeout(after_s)
        trouble(world, first, rest)
        yield world.env.timeout(1.0)
        yield from moves(world, 5, "p")
        yield world.env.timeout(2.5)
        yield from world.commits(7, split("a", 7, p=90, q=10), rule("b", "q", 7, True))
        yield world.env.timeout(HOLD_S + 0.2)
        wanted = {v for v in versions(world) if v is not None}
        assert wanted == {7}, versions(world)

    assert played(staged(then)) == []


def overtaking(world: Staged) -> Script:
    """Versions of one route every 0.4 s, from two operators at once, and a change back among them."""
    cores = world.controllers()
    for number in range(8):
        version = 2 + 2 * number
        one: Any = world.env.process(moves(world, version + 1, "pq"[number % 2], horizon_ms=2000 + version))
        other: Any = world.env.process(moves(world, version, "qp"[number % 2], horizon_ms=3000 + version))
        yield world.env.timeout(0.4)
        assert cores[0].program is not None
    yield one & other
    yield world.env.timeout(HOLD_S + 0.1)
    assert set(versions(world)) == {17}


def dropped_and_back(world: Staged) -> Script:
    for version in (2, 4):
        yield from world.commit(
            world.controllers(), b'{"remove":{"routes":[{"name":"a","epoch":"r%d"}]}}' % version
        )
        yield world.env.timeout(0.1)
        assert set(versions(world)) == {None}
        yield from world.commits(version + 1, rule("a", "q", version + 1))
        yield world.env.timeout(0.1)
        assert set(versions(world)) == {version + 1}


def started_anew(world: Staged) -> Script:
    """A sidecar that starts in the middle of a stage takes all at once."""
    rest = sides(world)[3]
    world.env.process(moves(world, 2))
    yield world.env.timeout(0.05)
    world.kill(rest)
    world.start(rest)
    yield world.env.timeout(0.1)
    assert rest.program.routes.get("a").version == 2


def many(world: Staged) -> Script:
    """More at once than may be held back."""
    count, most = activation_module.MAX_HELD * 3, [0]

    def look() -> Script:
        """Also before the order is acknowledged: so large a one is only once it is in force."""
        while True:
            most[0] = max(most[0], *(len(m.program.staged_routes.activation.held) for m in sides(world)))
            yield world.env.timeout(0.02)

    world.env.process(look())
    for version, service in ((1, "p"), (2, "q")):
        yield from world.commits(version, *(rule(f"m{n}", service, version) for n in range(count)))
        yield world.env.timeout(1.1)
    assert most[0] == activation_module.MAX_HELD
    assert all(m.program.routes.get(f"m{n}").version == 2 for m in sides(world) for n in range(count))


def wide(world: Staged) -> Script:
    """A dozen routes at once: more than a report names."""
    for version, service in ((1, "p"), (2, "q")):
        yield from world.commits(version, *(rule(f"w{n}", service, version) for n in range(12)))
        yield world.env.timeout(1.2)


@pytest.mark.parametrize("then", [overtaking, dropped_and_back, started_anew, wide])
def test_versions_that_come_close_together_break_nothing(then: Play) -> None:
    assert played(staged(then)) == []


def test_more_changes_than_may_be_held_back_are_taken_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(activation_module, "MAX_HELD", 60)
    assert played(staged(many, traffic_s=0.0, count=2)) == []


# Seeded faults: each must be seen by the checks above


def moved(world: Staged) -> Script:
    yield from moves(world, 2)
    yield world.env.timeout(0.25)
    assert versions(world).count(2) == 1
    yield world.env.timeout(SETTLE_S + 0.2)


def cut_and_back(world: Staged) -> Script:
    """Who was cut off takes all at once when it is back."""
    lone = sides(world)[0]
    world.cut([lone], world.controllers())
    yield world.env.timeout(1.5)
    yield from moves(world, 2)
    yield world.env.timeout(1.0)
    world.heal()
    yield world.env.timeout(1.5)
    at = [when for when, life, name, v in world.changes if life is lone.life and (name, v) == ("a", 2)]
    known = [
        p.known_at
        for p in lone.program.staged_routes.activation.history
        if p.version == 2 and p.key[1] == "a"
    ]
    assert at == known, (at, known)


def no_early_turning_away(world: Staged) -> Script:
    """While the others wait, nobody's call is turned away as of an old version."""
    yield from moves(world, 2)
    yield world.env.timeout(1.0)
    for machine in sides(world):
        odd = machine.program.upstream_dispatch.traces.notable
        assert not any("old" in entry[-1] for entry in odd)


SEEDED: list[tuple[Callable[[Patch], None], Play]] = [
    (stage_seeds.hold_beyond_the_bound, moved),
    (stage_seeds.hold_begun_anew_by_each_version, overtaking),
    (stage_seeds.goes_back_when_overtaken, overtaking),
    (stage_seeds.first_part_is_empty, moved),
    (stage_seeds.first_part_is_all, moved),
    (stage_seeds.confirms_what_is_held_back, moved),
    (stage_seeds.names_any_eight_with_a_new_vector, wide),
    (stage_seeds.second_hop_turns_away_too_early, no_early_turning_away),
    (stage_seeds.drops_are_held_back, dropped_and_back),
    (stage_seeds.behind_is_not_noticed, cut_and_back),
    (stage_seeds.turned_away_after_it_ran, moved),
]


_sound: set[Play] = set()  # scripts that break nothing without a fault


@pytest.mark.parametrize(("seed", "then"), SEEDED, ids=[seed.__name__ for seed, _ in SEEDED])
def test_a_seeded_fault_is_seen(
    seed: Callable[[Patch], None], then: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    if then not in _sound:
        assert played(staged(then)) == []
        _sound.add(then)
    seed(monkeypatch)
    assert seen(staged(then))
