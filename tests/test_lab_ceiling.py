"""Policies that see true states: above all others, under the four rules; and the part of the way to them."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from lab import scenario
from lab.policies import find_policy
from lab.simulation import Simulation
from lab.statistics import gap_closed

LIBRARY = Path(__file__).resolve().parent.parent / "lab" / "scenarios"
SMALL = {"seconds": 9.0, "servers.count": 6, "settle_ms": 1000.0, "load.share": 0.9}
TROUBLES = {"troubles.0.at_ms": 2500.0, "troubles.0.for_ms": 1500.0}


@pytest.mark.parametrize("sidecars", [1, 12])
@pytest.mark.parametrize("name", ["calm", "outage", "flapping"])
def test_who_sees_all_serves_most_and_keeps_the_rules(name: str, sidecars: int) -> None:
    changes = SMALL | {"sidecars.count": sidecars} | (TROUBLES if name != "calm" else {})
    source, found = scenario.load(LIBRARY / f"{name}.toml").with_changes(changes), {}
    for decides in ("random", "module", "late oracle", "oracle"):
        play = Simulation(source.scenario_for(3), 3, *find_policy(decides))
        row = play.run()
        found[decides] = row.service
        if decides != "random":
            assert not play.checker.violations and not row.falls, play.checker.first_violations
    assert found["random"] < found["late oracle"] < found["oracle"] + 0.01
    assert found["module"] <= found["oracle"] + 0.01


def test_sight_is_as_late_as_it_says() -> None:
    source = scenario.load(LIBRARY / "calm.toml").with_changes({"network.cross_ms": 20.0, "seconds": 5.0})
    play = Simulation(source.scenario_for(1), 1, *find_policy("random"))
    now, late = play.fleet_view(0, False), play.fleet_view(0, True)
    assert (now.delay_ms, late.delay_ms) == (0.0, 40.0) and play.fleet_view(1, True) is not late
    seen = []

    def stop() -> None:
        play.by_name["s-0"].stop("dead")
        for after in (0.0, 25.0, 60.0):
            play.clock.schedule(after, look)

    def look() -> None:
        states = now.snapshot("s-0"), late.snapshot("s-0")
        seen.append([state.up for state in states if state is not None])

    play.clock.schedule(2000.0, stop)
    play.run()
    assert seen == [[False, True], [False, True], [False, False]]
    assert now.snapshot("nobody") is None


@pytest.mark.parametrize(
    ("own", "part"), [([0.9, 0.8, 1.0, 0.9, 0.9], 0.8), ([0.5] * 5, 0.0), ([1.0] * 5, 1.0), ([0.4] * 5, -0.2)]
)
def test_the_part_of_the_way(own: list[float], part: float) -> None:
    floor, ceiling = dict.fromkeys(range(5), 0.5), dict.fromkeys(range(5), 1.0)
    found = gap_closed(dict(enumerate(own)), floor, ceiling)
    assert math.isclose(found.mean, part, abs_tol=1e-9) and found.low <= found.mean <= found.high


def test_where_nothing_can_be_won_the_way_has_no_length() -> None:
    flat = dict.fromkeys(range(5), 0.999)
    assert math.isnan(gap_closed(flat, flat, flat).mean)
