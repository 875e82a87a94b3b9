"""Hedged requests in the simulation: when they are sent, and that they do not amplify an overload."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from lab.policies.hedged import HEDGES_PER_CALL, MIN_SAMPLES, HedgingBalancer, ProxyBalancer, RecentLatencies
from lab.scenario import load, parse_scenario, set_field
from lab.simulation import Simulation

ROOT = Path(__file__).parents[1]


def latencies(count: int = 100) -> RecentLatencies:
    """Samples of 1, 2, ... ms."""
    found = RecentLatencies()
    for index in range(count):
        found.add(float(index + 1))
    return found


def test_a_hedge_waits_for_slow_attempts_and_leaves_time_for_a_typical_one() -> None:
    assert latencies(MIN_SAMPLES - 1).hedge_delay_ms(1000.0) is None
    assert latencies().hedge_delay_ms(1000.0) == pytest.approx(1000.0 - 81.0)
    assert latencies().hedge_delay_ms(150.0) == pytest.approx(93.0)
    assert latencies().hedge_delay_ms(100.0) is None, "hardly any attempt would end in the remaining time"


def played(policy: Any, **changes: Any) -> tuple[Any, int, int]:
    """The result row of a play, its number of calls, and its number of hedges."""
    tree = dict(load(ROOT / "lab/scenarios/short_aims.toml").tree)
    for path, value in {"seconds": 8, "settle_ms": 2000, **changes}.items():
        set_field(tree, path.replace("__", "."), value, "test")
    simulation = Simulation(parse_scenario(tree, "test"), 3, policy)
    row = simulation.run()
    hedges = sum(getattr(sidecar.balancer, "hedges", 0) for sidecar in simulation.sidecars)
    return row, row.calls, hedges


def test_hedges_keep_the_rules_and_their_share_and_decrease_in_an_overload() -> None:
    row, calls, hedges = played(HedgingBalancer)
    assert not (row.fault or row.broke_twice or row.broke_lost)
    assert 0 < hedges <= HEDGES_PER_CALL * calls + 11 * 5
    overloaded, calls, overload_hedges = played(HedgingBalancer, load__share=1.4)
    plain, _, _ = played(ProxyBalancer, load__share=1.4)
    assert not overloaded.fault and overload_hedges / calls < 0.5 * hedges / row.calls
    assert overloaded.service >= plain.service - 0.02


def test_no_hedges_where_second_copies_are_not_allowed() -> None:
    row, _, hedges = played(HedgingBalancer, allow__second_copies=False)
    assert hedges == 0 and not row.broke_twice
