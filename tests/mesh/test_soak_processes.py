"""Plans that once showed a fault, played again on real processes, and two seeds of the soak.

`tests/mesh/soak_plans/` holds a plan a file: what happened, an event a line.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from rigs.soak.plan import Plan, read
from rigs.soak.play import Result, Soak

PLANS = Path(__file__).parent / "soak_plans"


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
