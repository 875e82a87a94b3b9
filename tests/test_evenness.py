"""Measures of evenness on small examples, and merged notes of several processes against those of one."""

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


def even(servers: int = 2, settle: float = 0.0) -> Evenness:
    made = Evenness(settle)
    for number in range(servers):
        made.joins(number, 2.0)
        made.moved(0.0, number, 2, 0, 0)
    return made


def test_turns_spread_better_than_chance_and_chance_as_chance_does() -> None:
    turns, chance, draw = even(8), even(8), random.Random(5)
    for at in range(16_000):
        turns.came(2.5 * at, at % 8)
        chance.came(2.5 * at, draw.randrange(8))
    assert max(turns.dispersion(40_000.0)) < 0.02
    for width, value in zip((500, 1000, 5000), chance.dispersion(40_000.0), strict=True):
        assert 0.6 < value < 1.5, width


def test_shares_are_by_what_servers_can_do() -> None:
    made = Evenness(0.0)
    made.joins(0, 3.0)
    made.joins(1, 1.0)
    for at in range(4000):
        made.came(5.0 * at, 0 if at % 4 else 1)
    assert max(made.dispersion(20_000.0)) < 0.02


def test_a_server_counts_while_it_is_sound() -> None:
    made = even(3)
    made.mark(4000.0, 2, "down", True)
    made.mark(4000.0, 2, "unlisted", True)
    made.mark(9000.0, 2, "down", False)
    made.mark(11_000.0, 2, "unlisted", False)
    for at in range(30_000):
        number = at % 2 if 4000.0 <= at < 11_100.0 else at % 3
        made.came(float(at), number)
    assert max(made.dispersion(30_000.0)) < 0.05 and made.unused(30_000.0) == 0
    made.counts[1] = [0] * 600
    assert made.unused(30_000.0) == 6


def test_waste_is_time_idle_while_another_queues() -> None:
    made = even(2)
    made.moved(1000.0, 0, 2, 2, 3)  # three requests wait at server 0, two workers of server 1 are idle
    made.moved(3000.0, 1, 2, 1, 0)  # then one worker is idle
    made.moved(4000.0, 0, 2, 1, 0)
    made.moved(5000.0, 0, 0, 0, 0)  # down: not counted as idle
    assert made.waste() == pytest.approx((2 * 2000.0 + 1000.0) / (4 * 5000.0))


def test_a_herd_is_what_comes_to_those_that_a_cause_is_about() -> None:
    made = even(4)
    for at in range(20_000):
        made.came(float(at), at % 4)
    for begin in (5000.0, 10_000.0):
        made.cause(begin, "listed", (3,))
        for extra in range(250):
            made.came(begin + 500.0 + extra, 3)
    found = made.herds(20_000.0)
    assert found["listed"] == pytest.approx((62.5 + 250) / (500 / 4), rel=0.05)
    assert made.crest(20_000.0) > 4.0 and math.isnan(even().crest(1000.0))


def test_notes_of_two_processes_come_to_what_one_saw() -> None:
    now = [0.0]
    whole, parts = even(4), [EventRecorder(lambda: now[0], 100_000) for _ in range(2)]
    for notes in parts:
        for number in range(4):
            notes.joins(number, 2.0)
            notes.moved(0.0, number, 2, 0, 0)
    draw = random.Random(3)
    for at in range(5000):
        now[0], number = 4.0 * at, draw.randrange(4)
        for seen in (whole, parts[number % 2]):
            seen.came(now[0], number)
            seen.moved(now[0], number, 2, draw.randrange(3) if seen is whole else 0, 0)
        parts[number % 2].events[-1][2][2] = 2 - whole._state[number][0]

    class Silent:
        now = 0.0

    again = Evenness(0.0)
    replay(merge_recordings([notes.events for notes in parts]), Silent(), again)
    assert again.dispersion(20_000.0) == whole.dispersion(20_000.0) and again.waste() == whole.waste()


def test_notes_beyond_their_bound_are_counted() -> None:
    notes = EventRecorder(lambda: 0.0, 3)
    for number in range(5):
        notes.came(0.0, number)
    assert len(notes.events) == 3 and notes.dropped == 2


def test_sets_by_turns_spread_calls_of_many_that_see_little() -> None:
    """200 sidecars at two calls a second and 40 servers in virtual time: counts vary less than with random
    choice, and every server gets calls."""
    source = scenario.load(Path("lab/scenarios/even.toml")).with_changes({"seconds": 15.0})
    found = {}
    for name in ("module", "random"):
        simulation = Simulation(source.scenario_for(1), 1, *find_policy(name))
        found[name] = simulation.run()
        assert not simulation.checker.violations and found[name].unused == 0
    assert found["module"].spread_1s < 0.8 * found["random"].spread_1s
    assert found["module"].waste < found["random"].waste
