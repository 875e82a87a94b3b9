"""Staged rollouts in virtual time with calls: whatever fault occurs during a stage, a proxy in contact uses
an acknowledged version in time, no proxy goes back, and no effectful call runs twice."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from mesh.rollout import staged_activation as activation_module
from mesh.rollout.bounds import derive_rollout_times
from simulation.mesh import stage_seeds
from simulation.mesh.seeds import Patch
from simulation.mesh.staged import CONTACT_S, SETTLE_S, RolloutWorld, route_rule, split_rule
from simulation.mesh.world import Machine, Script

Play = Callable[[RolloutWorld], Script]
HOLD_S = derive_rollout_times(2000.0, 4000.0).hold_s
RULES = {"a": False, "b": True}  # routes, and whether they are effectful
PROXIES = 10


def proxies(world: RolloutWorld) -> list[Machine]:
    return [machine for machine in world.machines.values() if not machine.is_controller]


def versions(world: RolloutWorld, name: str = "a") -> list[int | None]:
    """The version in force at each proxy."""
    found = []
    for machine in proxies(world):
        route = machine.program.routes.get(name) if machine.program is not None else None
        found.append(route.version if route is not None else None)
    return found


def after_setup(play: Play, traffic_s: float = 0.1, count: int = PROXIES) -> Play:
    """A running mesh: both routes go to service p, and every proxy has calls."""

    def script(world: RolloutWorld) -> Script:
        yield from world.boot(3, count)
        yield from world.commit_routes(
            1,
            *(route_rule(name, "p", 1, effectful) for name, effectful in RULES.items()),
            services=("p", "q"),
        )
        yield world.env.timeout(CONTACT_S + 1.0)
        world.disturbed_at.clear()
        if traffic_s:
            world.env.process(world.traffic(RULES, traffic_s))
        yield world.env.timeout(1.0)
        yield from play(world)
        world.heal()
        yield world.env.timeout(CONTACT_S + SETTLE_S)
        world.check_calls()

    return script


def run_play(script: Play) -> list[str]:
    with RolloutWorld() as world:
        return world.run(script)  # type: ignore[arg-type]


def is_detected(script: Play) -> bool:
    try:
        return bool(run_play(script))
    except AssertionError:
        return True


def move_routes(world: RolloutWorld, version: int, service: str = "q", **fields: Any) -> Script:
    """Both routes move to another service."""
    return world.commit_routes(
        version, *(route_rule(name, service, version, e, **fields) for name, e in RULES.items())
    )


# Stages


def test_a_moved_route_is_activated_by_canaries_first_and_by_others_within_the_hold() -> None:
    def play(world: RolloutWorld) -> Script:
        began = float(world.env.now)
        answer = yield from move_routes(world, 2)
        acked = float(world.env.now)
        assert answer.status == 200 and acked - began < 0.15 + 0.1
        yield world.env.timeout(max(began + 0.25 - world.env.now, 0.0))
        assert versions(world).count(2) == 1, versions(world)  # the canaries: a tenth, but at least one
        canaries = [m.name for m, v in zip(proxies(world), versions(world), strict=True) if v == 2]
        assert canaries == list(
            world.controllers()[0].program.membership.canary_selection().canaries("route", "a", 2)
        )
        yield world.env.timeout(began + HOLD_S + 0.1 - world.env.now)
        assert set(versions(world)) == {2}
        yield world.env.timeout(0.5)
        finished = [c for c in world.calls.values() if c.at < world.env.now - 0.2]
        # No call is delayed.
        assert len(finished) > 100 and all(c.status == 200 and c.finished_at - c.at < 0.1 for c in finished)
        for machine in world.controllers():
            rollout = machine.program.rollouts.rollouts[-1]
            assert rollout.done is not None and not rollout.missing
            assert machine.program.rollouts.unconfirmed(("route", "a")) == []
        states = [
            p.state.value
            for m in proxies(world)
            for p in m.program.staged_routes.activation.history
            if p.version == 2
        ]
        assert set(states) == {"confirmed"}

    assert run_play(after_setup(play)) == []


def test_harmless_changes_are_activated_at_once_and_delay_no_acknowledgement() -> None:
    def play(world: RolloutWorld) -> Script:
        for version, rules in (
            (2, [route_rule("a", "p", 2, setpoint_ms=300)]),  # a changed target time
            (3, [route_rule("c", "q", 3)]),  # a new route
            (4, [route_rule("a", "p", 4, effectful=True)]),  # may no longer be retried
        ):
            began = float(world.env.now)
            yield from world.commit_routes(version, *rules)
            assert world.env.now - began < 0.05
            yield world.env.timeout(0.15)
            assert set(versions(world, rules[0]["name"])) == {version}

    assert run_play(after_setup(play, traffic_s=0.0)) == []


def test_an_approval_by_the_canaries_ends_the_hold_early() -> None:
    def play(world: RolloutWorld) -> Script:
        began = float(world.env.now)
        yield from move_routes(world, 2)
        yield world.env.timeout(began + 0.8 * HOLD_S - world.env.now)
        assert set(versions(world)) == {2}
        reasons = {
            p.reason
            for m in proxies(world)
            for p in m.program.staged_routes.activation.history
            if p.version == 2
        }
        assert "the first part's word is good" in reasons

    assert run_play(after_setup(play, traffic_s=0.008, count=4)) == []


def test_a_broken_change_is_reported_while_only_canaries_use_it() -> None:
    def play(world: RolloutWorld) -> Script:
        world.failing_services.add("q")
        began = float(world.env.now)
        yield from move_routes(world, 2)
        reported: list[float] = []
        while world.env.now < began + HOLD_S:
            yield world.env.timeout(0.02)
            if not reported and all(m.program.rollouts.rollouts[-1].worse for m in world.controllers()):
                reported.append(float(world.env.now) - began)
                assert versions(world).count(2) == 1
        assert reported and reported[0] < HOLD_S
        yield world.env.timeout(0.2)
        assert set(versions(world)) == {2}  # an acknowledged version is put in force everywhere
        yield from move_routes(world, 3, "p")
        yield world.env.timeout(HOLD_S + 0.1)
        assert set(versions(world)) == {3}
        world.calls = {a: c for a, c in world.calls.items() if not c.runs or c.status == 200}

    assert run_play(after_setup(play, traffic_s=0.01)) == []


def test_an_operators_go_and_hold_commands_apply_during_the_hold() -> None:
    def play(world: RolloutWorld) -> Script:
        for machine in proxies(world):
            machine.program.staged_routes.apply_command("a", activation_module.RolloutCommand.GO, True)
        began = float(world.env.now)
        yield from move_routes(world, 2)
        yield world.env.timeout(began + 0.1 - world.env.now)
        assert set(versions(world)) == {2} and versions(world, "b").count(2) == 1
        for machine in proxies(world):
            machine.program.staged_routes.apply_command("b", activation_module.RolloutCommand.GO, False)
        assert set(versions(world, "b")) == {2}
        assert all(
            m.program.staged_routes.apply_command("a", activation_module.RolloutCommand.HOLD, False) is None
            for m in proxies(world)
        )

    assert run_play(after_setup(play, traffic_s=0.0)) == []


def test_a_second_hop_rejects_an_outdated_version_once_and_sends_the_newer_one() -> None:
    def play(world: RolloutWorld) -> Script:
        """For longer than the bound one proxy reaches no controller, only the other proxies."""
        isolated = proxies(world)[0]
        world.partition([isolated], world.controllers())
        yield from world.commit_routes(2, route_rule("a", "q", 2), route_rule("b", "q", 2, effectful=True))
        isolated.program.membership.nodes = dict(isolated.program.membership.nodes)
        yield world.env.timeout(7.0)
        assert isolated.program.routes.get("a").version == 1
        before = len(world.calls)
        for _ in range(6):
            world.send_call(isolated, "a")
            world.send_call(isolated, "b", True)
            yield world.env.timeout(0.1)
        assert isolated.program.routes.get("a").version == 2 == isolated.program.routes.get("b").version
        mine = [c for c in list(world.calls.values())[before:] if c.incarnation is isolated.incarnation]
        assert len(mine) == 12 and all(c.status == 200 and c.runs == ["q"] for c in mine), mine
        world.note_disturbance()  # the general checker counts a proxy that is cut off alone as in contact
        yield from world.commit(world.controllers(), b'{"remove":{"routes":[{"name":"a","epoch":"r3"}]}}')
        yield world.env.timeout(7.0)
        for _ in range(6):  # some go to its own upstream, where no newer version is known
            world.send_call(isolated, "a")
            yield world.env.timeout(0.1)
        assert list(world.calls.values())[-1].status == 404

    assert run_play(after_setup(play, traffic_s=0.0)) == []


def test_a_call_ends_with_the_version_it_began_with() -> None:
    def play(world: RolloutWorld) -> Script:
        one = proxies(world)[0]
        for version, service in ((2, "q"), (3, "p"), (4, "q")):
            one.program.staged_routes.apply_command("b", activation_module.RolloutCommand.GO, True)
            for _ in range(4):
                world.send_call(one, "b", True)
            before = one.program.routes.get("b").split[0][0]
            yield world.env.timeout(0.0005)  # sent, and not answered yet
            yield from move_routes(world, version, service)
            yield world.env.timeout(0.3)
            last = list(world.calls.values())[-4:]
            assert all(c.status == 200 and c.runs == [before] for c in last), last

    assert run_play(after_setup(play, traffic_s=0.0)) == []


# Faults during each stage


def kill_canary(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    world.kill(canary)
    world.restart(canary)


def kill_held(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    world.kill(held_proxy)
    world.restart(held_proxy)


def freeze_canary(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    world.freeze(canary, 1.5)


def freeze_held(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    world.freeze(held_proxy, 1.5)


def isolate_canary(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    world.partition([canary], [m for m in world.machines.values() if m is not canary])
    world.loop.call_later(1.5, world.heal)


def isolate_held(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    world.partition([held_proxy], [m for m in world.machines.values() if m is not held_proxy])
    world.loop.call_later(1.5, world.heal)


def kill_controllers(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    for number, machine in enumerate(world.controllers()):
        world.kill(machine)
        world.restart(machine, 0.3 + 0.05 * number)


def isolate_one_controller(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    controllers = world.controllers()
    world.partition(controllers[:1], controllers[1:])
    world.loop.call_later(1.5, world.heal)


def stall_disks(world: RolloutWorld, canary: Machine, held_proxy: Machine) -> None:
    for machine in world.controllers():
        machine.disk.hangs_until = float(world.env.now) + 3.5
    world._mark_disturbed(world.controllers())


FAULTS = (
    *(kill_canary, kill_held, freeze_canary, freeze_held, isolate_canary, isolate_held),
    *(kill_controllers, isolate_one_controller, stall_disks),
)


@pytest.mark.parametrize("inject_fault", FAULTS, ids=lambda one: one.__name__)
@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.2, 0.58])
def test_a_fault_during_any_stage_violates_nothing(
    inject_fault: Callable[[RolloutWorld, Machine, Machine], None], after_s: float
) -> None:
    """Before the change, while it spreads, while the other proxies hold it, and as they put it in force."""

    def play(world: RolloutWorld) -> Script:
        selection = proxies(world)[0].program.membership.canary_selection()
        (name,) = selection.canaries("route", "a", 2)
        canary = world.machines[name]
        held_proxy = next(m for m in proxies(world) if m is not canary)
        world.env.process(move_routes(world, 2))
        if after_s:
            yield world.env.timeout(after_s)
        inject_fault(world, canary, held_proxy)
        yield world.env.timeout(1.0)
        yield from move_routes(world, 5, "p")
        yield world.env.timeout(2.5)
        yield from world.commit_routes(7, split_rule("a", 7, p=90, q=10), route_rule("b", "q", 7, True))
        yield world.env.timeout(HOLD_S + 0.2)
        wanted = {v for v in versions(world) if v is not None}
        assert wanted == {7}, versions(world)

    assert run_play(after_setup(play)) == []


def supersede_repeatedly(world: RolloutWorld) -> Script:
    """New versions of a route every 0.4 s from two operators, including a change back."""
    controllers = world.controllers()
    for number in range(8):
        version = 2 + 2 * number
        one: Any = world.env.process(
            move_routes(world, version + 1, "pq"[number % 2], horizon_ms=2000 + version)
        )
        other: Any = world.env.process(
            move_routes(world, version, "qp"[number % 2], horizon_ms=3000 + version)
        )
        yield world.env.timeout(0.4)
        assert controllers[0].program is not None
    yield one & other
    yield world.env.timeout(HOLD_S + 0.1)
    assert set(versions(world)) == {17}


def remove_and_add(world: RolloutWorld) -> Script:
    for version in (2, 4):
        yield from world.commit(
            world.controllers(), b'{"remove":{"routes":[{"name":"a","epoch":"r%d"}]}}' % version
        )
        yield world.env.timeout(0.1)
        assert set(versions(world)) == {None}
        yield from world.commit_routes(version + 1, route_rule("a", "q", version + 1))
        yield world.env.timeout(0.1)
        assert set(versions(world)) == {version + 1}


def restart_during_stage(world: RolloutWorld) -> Script:
    """A proxy that starts during a stage puts all items in force at once."""
    held_proxy = proxies(world)[3]
    world.env.process(move_routes(world, 2))
    yield world.env.timeout(0.05)
    world.kill(held_proxy)
    world.start(held_proxy)
    yield world.env.timeout(0.1)
    assert held_proxy.program.routes.get("a").version == 2


def exceed_held_limit(world: RolloutWorld) -> Script:
    """More changes than may be held at a time."""
    count, most = activation_module.MAX_HELD * 3, [0]

    def watch_held() -> Script:
        """Also before the acknowledgement: a large write is only acknowledged once it is in force."""
        while True:
            most[0] = max(most[0], *(len(m.program.staged_routes.activation.held) for m in proxies(world)))
            yield world.env.timeout(0.02)

    world.env.process(watch_held())
    for version, service in ((1, "p"), (2, "q")):
        yield from world.commit_routes(
            version, *(route_rule(f"m{n}", service, version) for n in range(count))
        )
        yield world.env.timeout(1.1)
    assert most[0] == activation_module.MAX_HELD
    assert all(m.program.routes.get(f"m{n}").version == 2 for m in proxies(world) for n in range(count))


def exceed_report_limit(world: RolloutWorld) -> Script:
    """Twelve routes at once: more than a report names."""
    for version, service in ((1, "p"), (2, "q")):
        yield from world.commit_routes(version, *(route_rule(f"w{n}", service, version) for n in range(12)))
        yield world.env.timeout(1.2)


@pytest.mark.parametrize(
    "play", [supersede_repeatedly, remove_and_add, restart_during_stage, exceed_report_limit]
)
def test_versions_in_quick_succession_violate_nothing(play: Play) -> None:
    assert run_play(after_setup(play)) == []


def test_changes_beyond_the_held_limit_are_activated_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(activation_module, "MAX_HELD", 60)
    assert run_play(after_setup(exceed_held_limit, traffic_s=0.0, count=2)) == []


# Seeded faults, which the checks above must detect


def move_and_settle(world: RolloutWorld) -> Script:
    yield from move_routes(world, 2)
    yield world.env.timeout(0.25)
    assert versions(world).count(2) == 1
    yield world.env.timeout(SETTLE_S + 0.2)


def partitioned_proxy_returns(world: RolloutWorld) -> Script:
    """A proxy that was cut off puts everything in force at once when it returns."""
    isolated = proxies(world)[0]
    world.partition([isolated], world.controllers())
    yield world.env.timeout(1.5)
    yield from move_routes(world, 2)
    yield world.env.timeout(1.0)
    world.heal()
    yield world.env.timeout(1.5)
    at = [
        when
        for when, incarnation, name, v in world.version_changes
        if incarnation is isolated.incarnation and (name, v) == ("a", 2)
    ]
    known = [
        p.known_at
        for p in isolated.program.staged_routes.activation.history
        if p.version == 2 and p.key[1] == "a"
    ]
    assert at == known, (at, known)


def no_early_rejection(world: RolloutWorld) -> Script:
    """While other proxies hold a version, no call is rejected as outdated."""
    yield from move_routes(world, 2)
    yield world.env.timeout(1.0)
    for machine in proxies(world):
        rejections = machine.program.upstream_dispatch.traces.notable
        assert not any("old" in entry[-1] for entry in rejections)


SEEDED: list[tuple[Callable[[Patch], None], Play]] = [
    (stage_seeds.hold_exceeds_bound, move_and_settle),
    (stage_seeds.each_version_restarts_hold, supersede_repeatedly),
    (stage_seeds.reverts_when_superseded, supersede_repeatedly),
    (stage_seeds.no_canaries, move_and_settle),
    (stage_seeds.all_are_canaries, move_and_settle),
    (stage_seeds.confirms_held_versions, move_and_settle),
    (stage_seeds.reports_only_eight_held, exceed_report_limit),
    (stage_seeds.second_hop_rejects_too_early, no_early_rejection),
    (stage_seeds.removals_are_held, remove_and_add),
    (stage_seeds.lag_is_not_detected, partitioned_proxy_returns),
    (stage_seeds.rejected_after_execution, move_and_settle),
]


_passing: set[Play] = set()  # scripts that violate nothing without a fault


@pytest.mark.parametrize(
    ("seed_fault", "play"), SEEDED, ids=[seed_fault.__name__ for seed_fault, _ in SEEDED]
)
def test_a_seeded_fault_is_seen(
    seed_fault: Callable[[Patch], None], play: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    if play not in _passing:
        assert run_play(after_setup(play)) == []
        _passing.add(play)
    seed_fault(monkeypatch)
    assert is_detected(after_setup(play))
