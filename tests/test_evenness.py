"""The evenness measures on small examples, and merged recordings of several processes against one of all."""

from __future__ import annotations

import math
import random
from pathlib import Path

import pytest

from lab import scenario
from lab.evenness import Evenness
from lab.ledger import EventRecorder, merge_recordings, replay
from lab.policies import find_policy
from lab.simulation import Simulation


def evenness_of(servers: int = 2, settle: float = 0.0) -> Evenness:
    evenness = Evenness(settle)
    for number in range(servers):
        evenness.joins(number, 2.0)
        evenness.moved(0.0, number, 2, 0, 0)
    return evenness


def test_dispersion_is_low_for_round_robin_and_about_1_for_random_choice() -> None:
    round_robin, chance, rng = evenness_of(8), evenness_of(8), random.Random(5)
    for at in range(16_000):
        round_robin.came(2.5 * at, at % 8)
        chance.came(2.5 * at, rng.randrange(8))
    assert max(round_robin.dispersion(40_000.0)) < 0.02
    for width, value in zip((500, 1000, 5000), chance.dispersion(40_000.0), strict=True):
        assert 0.6 < value < 1.5, width


def test_fair_shares_are_in_proportion_to_capacity() -> None:
    evenness = Evenness(0.0)
    evenness.joins(0, 3.0)
    evenness.joins(1, 1.0)
    for at in range(4000):
        evenness.came(5.0 * at, 0 if at % 4 else 1)
    assert max(evenness.dispersion(20_000.0)) < 0.02


def test_a_server_counts_while_it_is_healthy() -> None:
    evenness = evenness_of(3)
    evenness.mark(4000.0, 2, "down", True)
    evenness.mark(4000.0, 2, "unlisted", True)
    evenness.mark(9000.0, 2, "down", False)
    evenness.mark(11_000.0, 2, "unlisted", False)
    for at in range(30_000):
        number = at % 2 if 4000.0 <= at < 11_100.0 else at % 3
        evenness.came(float(at), number)
    assert max(evenness.dispersion(30_000.0)) < 0.05 and evenness.unused(30_000.0) == 0
    evenness.counts[1] = [0] * 600
    assert evenness.unused(30_000.0) == 6


def test_waste_is_idle_time_while_another_server_has_a_queue() -> None:
    evenness = evenness_of(2)
    evenness.moved(1000.0, 0, 2, 2, 3)  # three requests wait at server 0, two workers of server 1 are idle
    evenness.moved(3000.0, 1, 2, 1, 0)  # then one worker is idle
    evenness.moved(4000.0, 0, 2, 1, 0)
    evenness.moved(5000.0, 0, 0, 0, 0)  # down: not counted as idle
    assert evenness.waste() == pytest.approx((2 * 2000.0 + 1000.0) / (4 * 5000.0))


def test_a_herd_is_measured_at_the_servers_that_its_cause_concerns() -> None:
    evenness = evenness_of(4)
    for at in range(20_000):
        evenness.came(float(at), at % 4)
    for begin in (5000.0, 10_000.0):
        evenness.cause(begin, "listed", (3,))
        for extra in range(250):
            evenness.came(begin + 500.0 + extra, 3)
    found = evenness.herds(20_000.0)
    assert found["listed"] == pytest.approx((62.5 + 250) / (500 / 4), rel=0.05)
    assert evenness.crest(20_000.0) > 4.0 and math.isnan(evenness_of().crest(1000.0))


def test_merged_recordings_of_two_processes_equal_one_of_all() -> None:
    now = [0.0]
    whole, parts = evenness_of(4), [EventRecorder(lambda: now[0], 100_000) for _ in range(2)]
    for recorder in parts:
        for number in range(4):
            recorder.joins(number, 2.0)
            recorder.moved(0.0, number, 2, 0, 0)
    rng = random.Random(3)
    for at in range(5000):
        now[0], number = 4.0 * at, rng.randrange(4)
        for seen in (whole, parts[number % 2]):
            seen.came(now[0], number)
            seen.moved(now[0], number, 2, rng.randrange(3) if seen is whole else 0, 0)
        parts[number % 2].events[-1][2][2] = 2 - whole._state[number][0]

    class IgnoresEvents:
        now = 0.0

    again = Evenness(0.0)
    replay(merge_recordings([recorder.events for recorder in parts]), IgnoresEvents(), again)
    assert again.dispersion(20_000.0) == whole.dispersion(20_000.0) and again.waste() == whole.waste()


def test_events_beyond_the_limit_of_a_recorder_are_counted() -> None:
    recorder = EventRecorder(lambda: 0.0, 3)
    for number in range(5):
        recorder.came(0.0, number)
    assert len(recorder.events) == 3 and recorder.dropped == 2


def test_subsets_spread_the_calls_of_many_sidecars_evenly() -> None:
    """200 sidecars at two calls a second and 40 servers in virtual time: counts vary less than with random
    choice, and every server receives calls."""
    source = scenario.load(Path("lab/scenarios/even.toml")).with_changes({"seconds": 15.0})
    found = {}
    for name in ("module", "random"):
        simulation = Simulation(source.scenario_for(1), 1, *find_policy(name))
        found[name] = simulation.run()
        assert not simulation.checker.violations and found[name].unused == 0
    assert found["module"].spread_1s < 0.8 * found["random"].spread_1s
    assert found["module"].waste < found["random"].waste
