"""What the drawn day 100-4 did to the control machines, in the virtual world: docs/incidents/day-100-4.md."""

from __future__ import annotations

import pytest

from mesh.control_plane import member_changes
from mesh.replication.reconfiguration import ChangePlan
from simulation.mesh.members import JOINS_S, SETTLES_S, begin, confirms, counts, end, go, played
from simulation.mesh.world import Machine, Script, World

GAP_S = 2.4  # between two that are taken out
CUT_S = 9.66


def _cut_one_way(world: World, machine: Machine) -> None:
    """What it sends is lost, what it is sent arrives."""
    world.cut([machine], [one for one in world.machines.values() if one is not machine], both=False)


def _all_leave_while_one_is_cut_off(world: World) -> Script:
    """Every control machine is taken out for good, its successor first; the last of them cannot be heard
    meanwhile. Then all processes are killed at once, and come back."""
    old = list(world.controllers())
    yield from confirms(world, 1)
    cut_until = world.env.now + CUT_S
    _cut_one_way(world, old[-1])
    for number, machine in enumerate(old[:-1]):
        new = begin(world, 11 + number)
        yield from world.joined([new], JOINS_S)
        yield from end(world, machine)
        go(world, machine)
        yield world.env.timeout(GAP_S)
    yield world.env.timeout(max(0.0, cut_until - world.env.now))
    world.heal()
    new = begin(world, 11 + len(old))
    yield from world.joined([new], JOINS_S)
    yield from end(world, old[-1])
    go(world, old[-1])
    yield from world.until(counts(world, world.controllers()), SETTLES_S, "the successors alone count")
    yield from confirms(world, 2)
    machines = list(world.controllers())
    for machine in machines:
        world.kill(machine)
    for machine in machines:
        world.restart(machine)
    yield from world.joined(machines, JOINS_S)
    yield from confirms(world, 3)


@pytest.mark.parametrize("cores", [3, 5])
def test_orders_go_on_once_every_control_machine_has_left_while_one_was_cut_off(cores: int) -> None:
    assert played(cores, _all_leave_while_one_is_cut_off) == []


def test_without_a_change_of_members_the_same_play_ends_in_no_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """As at the trial: nobody ever left, and what was left of the first members confirmed nothing."""
    monkeypatch.setattr(member_changes, "plan_change", lambda *_: ChangePlan(None, {}, "nobody leaves"))
    assert any("order r2: " in line for line in played(3, _all_leave_while_one_is_cut_off))
