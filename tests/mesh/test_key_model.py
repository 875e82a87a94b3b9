"""A small model of key holds, explored completely, and with each clause of the argument removed in turn."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from rigs.key_model import Keys, Size
from simulation.mesh import key_seeds
from statecheck import explore

SMALL = Size(ticks=3, beats=1, questions=1, restarts=0, ranges=1)
LARGER = Size(ticks=3, beats=2, questions=1, restarts=1, ranges=1)
SEEDS = (
    key_seeds.nobody_waits,
    key_seeds.holds_last_from_now,
    key_seeds.old_maps_are_current,
    key_seeds.what_leaves_is_granted,
    key_seeds.word_without_an_omission,
    key_seeds.a_restart_forgets_grants,
    key_seeds.a_lease_counts_from_its_answer,
)
"""Faults whose clause is in the model; the others need complete programs (test_owners_world.py)."""


def test_no_range_is_decided_to_be_anothers_while_it_is_held() -> None:
    report = explore(Keys(SMALL), seconds=60.0)
    assert report.violation is None and report.complete, report


@pytest.mark.parametrize("seed", SEEDS, ids=lambda one: one.__name__)
def test_a_clause_that_is_taken_out_is_found(seed: Callable[[], Any]) -> None:
    with seed():
        report = explore(Keys(LARGER), seconds=60.0)
    assert report.violation is not None, report
