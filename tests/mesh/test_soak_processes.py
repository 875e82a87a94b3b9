"""Replays plans that once showed a fault on real processes, and runs two seeds of the soak.

`tests/mesh/soak_plans/` contains one plan per file, with one event per line.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from rigs.soak.plan import Plan, decode_plan
from rigs.soak.plan_generator import generate_plan
from rigs.soak.runner import Result, Soak

PLANS = Path(__file__).parent / "soak_plans"
SHORT_S = 25.0
MIN_CHECKED = 300  # with fewer checked requests a run shows nothing


def run_plan(plan: Plan, folder: Path) -> Result:
    return asyncio.run(Soak(plan, folder).run())


def descriptions(result: Result) -> list[str]:
    return [f"{one.rule}: {one.description}" for one in result.findings]


def test_routes_to_an_upstream_are_served_though_a_beat_of_its_former_life_comes_late(tmp_path: Path) -> None:
    """Guards against an added route on which none of thousands of requests was served, while the initial
    routes were. A proxy was killed as its upstream ended; the new proxy first received a heartbeat of the
    upstream's next incarnation, then a late one of the former. It took the late one for a third incarnation,
    which ended the second for good, so that all its later heartbeats had no effect. Without the late
    heartbeat this plan has no findings."""
    result = run_plan(decode_plan((PLANS / "late_beat_of_a_former_upstream.txt").read_text()), tmp_path)
    assert descriptions(result) == []


def test_no_proxy_that_starts_over_answers_by_a_part_of_the_configuration(tmp_path: Path) -> None:
    """Guards against proxies that, just after their start, rejected with 404 what all versions allow (seen in
    one of 24 seeds). All processes were killed at the same time with about 1,600 routes; each proxy pulled
    from a controller that had no contact with the others yet, then received the routes in pages. It counted
    as complete from the first page on, because an earlier response of that controller, which contained no
    routes, had been a complete one. test_dissemination_peers.py checks the responses page by page."""
    result = run_plan(decode_plan((PLANS / "all_start_over_with_many_routes.txt").read_text()), tmp_path)
    assert descriptions(result) == []


@pytest.mark.parametrize("seed", [1106, 804])
def test_a_short_soak_finds_nothing(seed: int, tmp_path: Path) -> None:
    result = run_plan(generate_plan(seed, SHORT_S), tmp_path)
    assert descriptions(result) == []
    assert result.checked > MIN_CHECKED and result.acknowledged > 0 and result.reads > 0
