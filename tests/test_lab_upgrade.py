"""A sidecar that is two processes for a while, in virtual time."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab import scenario
from lab.measures import Row
from lab.simulation import Simulation

SOURCE = scenario.load(Path("lab/scenarios/upgrade.toml"))


def played(seed: int, still_ms: float, policy: str = "module") -> tuple[Simulation, Row]:
    from lab.policies import find_policy

    change = SOURCE.tree["troubles"][0] | {"size": still_ms}
    made = SOURCE.with_changes({"troubles": [change], "seconds": 22}).scenario_for(seed)
    simulation = Simulation(made, seed, *find_policy(policy))
    return simulation, simulation.run()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_change_of_versions_costs_next_to_nothing(seed: int) -> None:
    simulation, row = played(seed, 0.0)
    assert not simulation.checker.violations and not row.fault
    assert all(sidecar.generation == 1 for sidecar in simulation.sidecars) and not simulation.changes
    assert row.service > 0.995


def test_processes_that_stand_still_by_turns_lose_what_was_lost() -> None:
    """400 ms each, as files that were replaced on the loop did on the operators' day: answers come late."""
    (_, sound), (simulation, still) = played(1, 0.0), played(1, 400.0)
    assert not simulation.checker.violations
    assert still.worst_window < sound.worst_window - 0.02 and still.p99_ms > 1.3 * sound.p99_ms


def test_the_new_process_has_what_the_old_one_learnt() -> None:
    simulation, _ = played(1, 0.0)
    calls = [sidecar.balancer for sidecar in simulation.sidecars]
    assert all(any(server.samples for server in module.servers.values()) for module in calls)  # type: ignore[attr-defined]


def test_policies_that_hand_nothing_over_are_played_too() -> None:
    simulation, row = played(1, 0.0, "least of two")
    assert not simulation.checker.violations and row.service > 0.9
