"""Exhaustive exploration of a small model of key ownership, also with each clause of the argument removed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from rigs.key_model import KeyHoldsModel, Scenario
from simulation.mesh import key_seeds
from statecheck import explore

SMALL = Scenario(ticks=3, heartbeats=1, requests=1, restarts=0, ranges=1)
LARGER = Scenario(ticks=3, heartbeats=2, requests=1, restarts=1, ranges=1)
SEEDED_FAULTS = (
    key_seeds.no_wait_before_transfer,
    key_seeds.holds_last_from_answer,
    key_seeds.outdated_map_confirms,
    key_seeds.leaving_rows_are_granted,
    key_seeds.release_before_omission,
    key_seeds.restart_forgets_grants,
    key_seeds.lease_counts_from_answer,
)
"""Faults that the model covers; the others need complete programs (test_owners_world.py)."""


def test_no_range_is_given_away_while_it_is_held() -> None:
    report = explore(KeyHoldsModel(SMALL), seconds=60.0)
    assert report.violation is None and report.complete, report


@pytest.mark.parametrize("fault", SEEDED_FAULTS, ids=lambda fault: fault.__name__)
def test_a_removed_clause_is_found(fault: Callable[[], Any]) -> None:
    with fault():
        report = explore(KeyHoldsModel(LARGER), seconds=60.0)
    assert report.violation is not None, report
