"""Upgrades of sidecars in virtual time: two processes of a sidecar run side by side for a while."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab import scenario
from lab.measures import Row
from lab.simulation import Simulation

SOURCE = scenario.load(Path("lab/scenarios/upgrade.toml"))


def played(seed: int, stall_ms: float, policy: str = "module") -> tuple[Simulation, Row]:
    from lab.policies import find_policy

    upgrade = SOURCE.tree["troubles"][0] | {"size": stall_ms}
    upgrade_scenario = SOURCE.with_changes({"troubles": [upgrade], "seconds": 22}).scenario_for(seed)
    simulation = Simulation(upgrade_scenario, seed, *find_policy(policy))
    return simulation, simulation.run()


@pytest.mark.parametrize("seed", [1, 2])
def test_an_upgrade_loses_almost_no_calls(seed: int) -> None:
    simulation, row = played(seed, 0.0)
    assert not simulation.checker.violations and not row.fault
    assert all(sidecar.generation == 1 for sidecar in simulation.sidecars) and not simulation.upgrades
    assert row.service > 0.995


def test_stalled_processes_make_answers_late() -> None:
    """Stalls of 400 ms, as caused by replacing files on the event loop: answers are late."""
    (_, undisturbed), (simulation, stalled) = played(1, 0.0), played(1, 400.0)
    assert not simulation.checker.violations
    assert (
        stalled.worst_window < undisturbed.worst_window - 0.02 and stalled.p99_ms > 1.3 * undisturbed.p99_ms
    )


def test_the_new_process_takes_over_the_measurements_of_the_old_one() -> None:
    simulation, _ = played(1, 0.0)
    balancers = [sidecar.balancer for sidecar in simulation.sidecars]
    assert all(any(server.samples for server in balancer.servers.values()) for balancer in balancers)  # type: ignore[attr-defined]


def test_policies_without_a_handover_of_measurements_run_too() -> None:
    simulation, row = played(1, 0.0, "least of two")
    assert not simulation.checker.violations and row.service > 0.9
