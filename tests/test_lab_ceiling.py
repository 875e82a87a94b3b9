"""Oracle policies, which see the true states: they serve the most and keep the rules, and `gap_closed`."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from lab import scenario
from lab.policies import find_policy
from lab.simulation import Simulation
from lab.statistics import gap_closed

SCENARIOS = Path(__file__).resolve().parent.parent / "lab" / "scenarios"
SMALL = {"seconds": 9.0, "servers.count": 6, "settle_ms": 1000.0, "load.share": 0.9}
TROUBLES = {"troubles.0.at_ms": 2500.0, "troubles.0.for_ms": 1500.0}


@pytest.mark.parametrize("sidecars", [1, 12])
@pytest.mark.parametrize("name", ["calm", "outage", "flapping"])
def test_oracles_serve_the_most_and_keep_the_rules(name: str, sidecars: int) -> None:
    changes = SMALL | {"sidecars.count": sidecars} | (TROUBLES if name != "calm" else {})
    source, found = scenario.load(SCENARIOS / f"{name}.toml").with_changes(changes), {}
    for policy_name in ("random", "module", "late oracle", "oracle"):
        simulation = Simulation(source.scenario_for(3), 3, *find_policy(policy_name))
        row = simulation.run()
        found[policy_name] = row.service
        if policy_name != "random":
            assert not simulation.checker.violations and not row.falls, simulation.checker.first_violations
    assert found["random"] < found["late oracle"] < found["oracle"] + 0.01
    assert found["module"] <= found["oracle"] + 0.01


def test_a_delayed_view_shows_the_state_of_that_long_ago() -> None:
    source = scenario.load(SCENARIOS / "calm.toml").with_changes({"network.cross_ms": 20.0, "seconds": 5.0})
    simulation = Simulation(source.scenario_for(1), 1, *find_policy("random"))
    now, past = simulation.fleet_view(0, False), simulation.fleet_view(0, True)
    assert (now.delay_ms, past.delay_ms) == (0.0, 40.0) and simulation.fleet_view(1, True) is not past
    seen = []

    def stop_server() -> None:
        simulation.by_name["s-0"].stop("dead")
        for after in (0.0, 25.0, 60.0):
            simulation.clock.schedule(after, record_views)

    def record_views() -> None:
        states = now.snapshot("s-0"), past.snapshot("s-0")
        seen.append([state.up for state in states if state is not None])

    simulation.clock.schedule(2000.0, stop_server)
    simulation.run()
    assert seen == [[False, True], [False, True], [False, False]]
    assert now.snapshot("nobody") is None


@pytest.mark.parametrize(
    ("values", "expected"),
    [([0.9, 0.8, 1.0, 0.9, 0.9], 0.8), ([0.5] * 5, 0.0), ([1.0] * 5, 1.0), ([0.4] * 5, -0.2)],
)
def test_gap_closed_is_a_ratio_of_means(values: list[float], expected: float) -> None:
    floor, ceiling = dict.fromkeys(range(5), 0.5), dict.fromkeys(range(5), 1.0)
    found = gap_closed(dict(enumerate(values)), floor, ceiling)
    assert math.isclose(found.mean, expected, abs_tol=1e-9) and found.low <= found.mean <= found.high


def test_gap_closed_is_nan_without_a_gap() -> None:
    flat = dict.fromkeys(range(5), 0.999)
    assert math.isnan(gap_closed(flat, flat, flat).mean)
