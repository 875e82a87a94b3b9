"""Replays what the random day 100-4 did to the controllers: docs/incidents/day-100-4.md."""

from __future__ import annotations

import pytest

from mesh.control_plane import member_changes
from mesh.replication.reconfiguration import ChangePlan
from simulation.mesh.members import (
    CONVERGENCE_S,
    JOIN_S,
    are_members,
    confirm_write,
    remove_machine,
    run_play,
    start_successor,
    stop_machine,
)
from simulation.mesh.world import Machine, Script, World

GAP_S = 2.4  # between two removals
PARTITION_S = 9.66


def _cut_one_way(world: World, machine: Machine) -> None:
    """Its outgoing frames are lost, incoming frames arrive."""
    world.partition(
        [machine], [one for one in world.machines.values() if one is not machine], both_ways=False
    )


def _all_leave_while_one_is_cut_off(world: World) -> Script:
    """Every controller is replaced, its successor first, while the last of them cannot be heard. Then all
    processes are killed at once and restarted."""
    old = list(world.controllers())
    yield from confirm_write(world, 1)
    cut_until = world.env.now + PARTITION_S
    _cut_one_way(world, old[-1])
    for number, machine in enumerate(old[:-1]):
        new = start_successor(world, 11 + number)
        yield from world.wait_for_members([new], JOIN_S)
        yield from stop_machine(world, machine)
        remove_machine(world, machine)
        yield world.env.timeout(GAP_S)
    yield world.env.timeout(max(0.0, cut_until - world.env.now))
    world.heal()
    new = start_successor(world, 11 + len(old))
    yield from world.wait_for_members([new], JOIN_S)
    yield from stop_machine(world, old[-1])
    remove_machine(world, old[-1])
    yield from world.wait_until(
        are_members(world, world.controllers()), CONVERGENCE_S, "the successors are the only members"
    )
    yield from confirm_write(world, 2)
    machines = list(world.controllers())
    for machine in machines:
        world.kill(machine)
    for machine in machines:
        world.restart(machine)
    yield from world.wait_for_members(machines, JOIN_S)
    yield from confirm_write(world, 3)


@pytest.mark.parametrize("controllers", [3, 5])
def test_writes_continue_after_all_controllers_were_replaced_while_one_was_cut_off(controllers: int) -> None:
    assert run_play(controllers, _all_leave_while_one_is_cut_off) == []


def test_without_member_changes_the_same_play_ends_without_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    """As in the incident: no member was ever removed, and the remaining first members confirmed nothing."""
    monkeypatch.setattr(member_changes, "plan_change", lambda *_: ChangePlan(None, {}, "nobody leaves"))
    assert any("write r2: " in line for line in run_play(3, _all_leave_while_one_is_cut_off))
