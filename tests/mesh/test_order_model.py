"""Exhaustive exploration of a small consensus model: no order of events breaks a property, and seeded faults
are found."""

from __future__ import annotations

import pytest

from rigs.order_model import SCENARIOS, ConsensusModel, faults
from rigs.order_model.faults import SEEDED_FAULTS, Fault
from statecheck import explore

# States of each; the other scenarios take up to a minute: python -m benchmarks.order_models
SMALL = {
    "two orders": 553,
    "two ballots": 932,
    "sent again": 3460,
    "a crash": 2617,
    "overtaken": 4577,
    "news": 202,
    "four members": 420,
}


@pytest.mark.parametrize(("scenario", "states"), SMALL.items())
def test_every_order_of_events_is_sound(scenario: str, states: int) -> None:
    report = explore(ConsensusModel(scenario, SCENARIOS[scenario]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states == states


@pytest.mark.parametrize(
    ("fault", "scenario"), SEEDED_FAULTS, ids=[fault.__name__ for fault, _ in SEEDED_FAULTS]
)
def test_a_seeded_fault_is_found(fault: Fault, scenario: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Created before the fault, so that its properties use the correct quorums.
    model = ConsensusModel(scenario, SCENARIOS[scenario])
    fault(monkeypatch)
    report = explore(model)
    assert report.violation is not None, f"{report.states} states without it"


# Faults that are found within a second or two without the reduction, too
FAST_WITHOUT_REDUCTION = [
    (fault, scenario)
    for fault, scenario in SEEDED_FAULTS
    if fault
    not in (
        faults.counts_answers_to_another_ballot,
        faults.fences_after_one_answer,
        faults.fences_without_raising_the_floor,
        faults.counts_promises_of_a_lost_disk,
        faults.adopts_the_lowest_vote,
        faults.accepts_below_a_promise,
        faults.forgets_superseded_versions,
        faults.refuses_a_batch_after_a_quorum,
        faults.accepts_another_value_for_a_decided_slot,
    )
]


@pytest.mark.parametrize(
    ("fault", "scenario"), FAST_WITHOUT_REDUCTION, ids=[fault.__name__ for fault, _ in FAST_WITHOUT_REDUCTION]
)
def test_the_reduction_finds_a_fault_in_as_few_events(
    fault: Fault, scenario: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    unreduced, reduced = (
        ConsensusModel(scenario, SCENARIOS[scenario], reduced=False),
        ConsensusModel(scenario, SCENARIOS[scenario]),
    )
    fault(monkeypatch)
    first, second = explore(unreduced), explore(reduced)
    assert first.violation is not None and second.violation is not None
    assert first.violation.name == second.violation.name
    assert len(first.trace) == len(second.trace)
    assert second.states <= first.states + 1
