"""Hedges in the laboratory: when they go out, and that they cannot feed an overload."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from lab.policies.hedged import LEAST, SHARE, Hedged, Mesh, RecentTimes
from lab.scenario import load, parse_scenario, set_field
from lab.simulation import Simulation

ROOT = Path(__file__).parents[1]


def times(count: int = 100) -> RecentTimes:
    found = RecentTimes()
    for at in range(count):
        found.add(float(at + 1))
    return found


def test_a_second_try_waits_for_the_slow_and_leaves_a_usual_one_its_time() -> None:
    assert times(LEAST - 1).wait_ms(1000.0) is None
    assert times().wait_ms(1000.0) == pytest.approx(1000.0 - 81.0)
    assert times().wait_ms(150.0) == pytest.approx(93.0)
    assert times().wait_ms(100.0) is None, "what is left would be enough for hardly any"


def played(policy: Any, **changes: Any) -> tuple[Any, int, int]:
    """The row of a play, its calls that may be repeated, and its hedges."""
    tree = dict(load(ROOT / "lab/scenarios/short_aims.toml").tree)
    for place, value in {"seconds": 8, "settle_ms": 2000, **changes}.items():
        set_field(tree, place.replace("__", "."), value, "test")
    simulation = Simulation(parse_scenario(tree, "test"), 3, policy)
    row = simulation.run()
    hedges = sum(getattr(one.balancer, "hedges", 0) for one in simulation.sidecars)
    return row, row.calls, hedges


def test_hedges_keep_the_rules_and_their_share_and_become_fewer_in_an_overload() -> None:
    row, calls, hedges = played(Hedged)
    assert not (row.fault or row.broke_twice or row.broke_lost)
    assert 0 < hedges <= SHARE * calls + 11 * 5
    over, calls, few = played(Hedged, load__share=1.4)
    plain, _, _ = played(Mesh, load__share=1.4)
    assert not over.fault and few / calls < 0.5 * hedges / row.calls
    assert over.service >= plain.service - 0.02


def test_without_leave_for_second_copies_there_is_none() -> None:
    row, _, hedges = played(Hedged, allow__second_copies=False)
    assert hedges == 0 and not row.broke_twice
