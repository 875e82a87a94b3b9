"""Departures of an upstream in virtual time: what was acknowledged holds whatever is killed around it."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from mesh.membership.instance_commands import DECAYING, SETTLED
from mesh.replication.quorum import Tolerance
from simulation.mesh.departure_plays import DeparturePlay
from simulation.mesh.departures import ANSWER_TIMEOUT_S, GONE, DepartureWorld
from simulation.mesh.plays import patch_body
from simulation.mesh.world import RESTART_S, Machine, Script, World

ONE_MACHINE = Tolerance(machines=1, zones=0, regions=0)
SERVES_ON_S = 8.0  # upstreams may go on for many seconds after their departure


def run(script) -> list[str]:  # type: ignore[no-untyped-def]
    with DepartureWorld(tolerance=ONE_MACHINE) as world:
        return world.run(script)


def boot(world: DepartureWorld) -> Script:
    """Three controllers and three proxies with a configuration; all know the upstream that will leave."""
    yield from world.boot(3, proxies=3)
    yield from world.commit(world.controllers(), patch_body(["r1"], version=1, trials=1))
    yield world.env.timeout(1.0)
    for _ in range(3):
        assert (yield from world.send(b"PUT", world.heartbeat_body())) == 200
        yield world.env.timeout(1.5)
    assert world.is_exposed()


def victims(world: World, others: str) -> Sequence[Machine]:
    leaver, controllers = world.machines["s1"], world.controllers()
    return [leaver, *{"alone": [], "controller": controllers[:1], "core": controllers}[others]]


def late_heartbeats(world: DepartureWorld, late: str) -> Script:
    """Settled heartbeats from before the departure, read by the restarted proxy."""
    if late == "none":
        return
    for after_s, count in ((0.0, 2), (1.2, 3)):
        yield world.env.timeout(after_s)
        while world.leaver.program is None:
            yield world.env.timeout(0.001)
        yield from world.send(b"PUT", world.heartbeat_body(SETTLED, count))


@pytest.mark.parametrize("state", [GONE, DECAYING])
@pytest.mark.parametrize("moment", ["before", "after", "twice"])
@pytest.mark.parametrize("others", ["alone", "controller", "core"])
@pytest.mark.parametrize("late", ["none", "late"])
def test_an_acknowledged_departure_outlives_the_sidecar_that_acknowledged_it(
    state: str, moment: str, others: str, late: str
) -> None:
    """A sidecar that was killed acknowledges a sign-off and forgets it; others go on sending (review/1)."""

    def play(world: DepartureWorld) -> Script:
        yield from boot(world)
        if moment == "before":
            world.kill_and_restart(victims(world, others))
            yield world.env.timeout(RESTART_S)
        acknowledged_at = yield from world.depart(state)
        check = world.env.process(world.check_departed(acknowledged_at, SERVES_ON_S))
        if moment != "before":
            world.kill_and_restart(victims(world, others))
        if moment == "twice":
            yield world.env.timeout(RESTART_S + 0.1)
            world.kill_and_restart(victims(world, others))
        yield from late_heartbeats(world, late)
        yield check

    assert run(play) == []


def test_a_departure_that_no_control_process_can_hold_is_answered_in_time_and_not_acknowledged() -> None:
    """An upstream waits for a second; an acknowledgement that only this sidecar knows would be a lie."""

    def play(world: DepartureWorld) -> Script:
        yield from boot(world)
        world.partition([world.leaver], world.controllers())
        yield world.env.timeout(0.5)
        for method, body in (b"PUT", world.heartbeat_body(DECAYING)), (b"DELETE", b""):
            began = world.env.now
            assert (yield from world.send(method, body)) == 503
            assert world.env.now - began < 0.9 * ANSWER_TIMEOUT_S
        world.heal()
        yield from world.depart(GONE)

    assert run(play) == []


def test_a_departure_is_acknowledged_soon_also_while_one_control_process_is_lost() -> None:
    def play(world: DepartureWorld) -> Script:
        yield from boot(world)
        world.kill(world.controllers()[0])
        for state in (DECAYING, GONE):
            began = world.env.now
            acknowledged_at = yield from world.depart(state)
            assert acknowledged_at - began < 0.1

    assert run(play) == []


def test_the_check_sees_an_upstream_that_is_still_sent_to() -> None:
    def play(world: DepartureWorld) -> Script:
        yield from boot(world)
        yield from world.check_departed(float(world.env.now), 1.0)

    assert [line.split()[1] for line in run(play)] == ["DRAIN:"]


def drawn(seed: int) -> list[str]:
    def play(world: DepartureWorld) -> Script:
        yield from boot(world)
        yield from DeparturePlay(world, seed).run()

    return run(play)


@pytest.mark.parametrize("seed", range(12))
def test_whatever_is_drawn_around_a_departure_nothing_is_sent_to_the_upstream(seed: int) -> None:
    assert drawn(seed) == []


@pytest.mark.parametrize("seed", [146])
def test_a_departure_outlives_kills_of_the_core_in_quick_turn(seed: int) -> None:
    """All controllers are killed again before the other proxies are linked, and the sidecar too
    (KNOWN-RED.txt)."""
    assert drawn(seed) == []


@pytest.mark.parametrize("state", [GONE, DECAYING])
def test_a_departure_outlives_a_kill_of_all_processes(state: str) -> None:
    """No memory holds it then, and a late heartbeat makes the upstream a settled one (KNOWN-RED.txt)."""

    def play(world: DepartureWorld) -> Script:
        yield from boot(world)
        acknowledged_at = yield from world.depart(state)
        check = world.env.process(world.check_departed(acknowledged_at, SERVES_ON_S, in_touch_only=True))
        world.kill_and_restart(list(world.machines.values()))
        yield from late_heartbeats(world, "late")
        yield check

    assert run(play) == []
