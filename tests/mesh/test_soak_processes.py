"""Plans that once showed a fault, played again on real processes, and two seeds of the soak.

`tests/mesh/soak_plans/` holds a plan a file: what happened, an event a line.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from rigs.soak.draw import draw
from rigs.soak.plan import Plan, read
from rigs.soak.play import Result, Soak

PLANS = Path(__file__).parent / "soak_plans"
SHORT_S = 25.0
LEAST_JUDGED = 300  # of a play that shows anything


def played(plan: Plan, folder: Path) -> Result:
    return asyncio.run(Soak(plan, folder).run())


def told(result: Result) -> list[str]:
    return [f"{one.rule}: {one.told}" for one in result.findings]


def test_routes_to_an_upstream_are_served_though_a_beat_of_its_former_life_comes_late(tmp_path: Path) -> None:
    """Seen: of thousands of requests on a route that was added, none was served, while the first routes were.
    How: a proxy was killed as its upstream ended; the next life of the upstream was heard first by the new
    proxy, then one late beat of the former. Cause: the late beat was taken for a third life, which ended the
    second for good, so that all its later beats changed nothing. Proof: this plan, without the late beat,
    breaks nothing."""
    result = played(read((PLANS / "late_beat_of_a_former_upstream.txt").read_text()), tmp_path)
    assert told(result) == []


def test_no_proxy_that_starts_over_answers_by_a_part_of_the_configuration(tmp_path: Path) -> None:
    """Seen: in one of 24 seeds of the soak, proxies that had just started refused with 404 what all versions
    allow. How: all processes were killed at once while there were some 1,600 routes; each proxy asked a
    controller that had no contact with the others yet, then was told the routes in pages. Cause: a proxy
    counted as knowing all from the first page on, since an earlier answer of that controller, which told
    nothing of routes, had been a whole one. Proof: the answers by pages, one by one, in
    test_dissemination_peers.py."""
    result = played(read((PLANS / "all_start_over_with_many_routes.txt").read_text()), tmp_path)
    assert told(result) == []


@pytest.mark.parametrize("seed", [1106, 804])
def test_a_short_soak_finds_nothing(seed: int, tmp_path: Path) -> None:
    result = played(draw(seed, SHORT_S), tmp_path)
    assert told(result) == []
    assert result.judged > LEAST_JUDGED and result.acknowledged > 0 and result.reads > 0
