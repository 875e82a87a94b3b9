"""Orders explored whole in the small: nothing breaks in any order of events, and seeded faults are found."""

from __future__ import annotations

import pytest

from rigs.order_model import SIZES, Orders, faults
from rigs.order_model.faults import SEEDED, Seed
from statecheck import explore

# The others take up to a minute: python -m benchmarks.order_models
SMALL = {
    "two orders": 553,
    "two ballots": 932,
    "sent again": 3460,
    "a crash": 2617,
    "overtaken": 4577,
    "news": 202,
    "four members": 420,
}


@pytest.mark.parametrize(("name", "states"), SMALL.items())
def test_every_order_of_events_is_sound(name: str, states: int) -> None:
    report = explore(Orders(name, SIZES[name]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states == states


@pytest.mark.parametrize(("seed", "name"), SEEDED, ids=[seed.__name__ for seed, _ in SEEDED])
def test_a_seeded_fault_is_found(seed: Seed, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    checked = Orders(name, SIZES[name])  # its judge has the quorums of the shipped code
    seed(monkeypatch)
    report = explore(checked)
    assert report.violation is not None, f"{report.states} states without it"


# Those that all states, one by one, show within a second or two
SOON = [
    (seed, name)
    for seed, name in SEEDED
    if seed
    not in (
        faults.an_answer_to_another_ballot_counts,
        faults.a_lost_disk_counts_after_one_answer,
        faults.a_fence_raises_no_floor,
        faults.promises_of_a_lost_disk_count,
        faults.the_lowest_ballot_is_taken_up,
        faults.promises_are_not_kept,
        faults.overtaken_versions_are_forgotten,
        faults.an_order_of_several_is_refused_by_a_quorum,
        faults.what_is_decided_otherwise_is_accepted,
    )
]


@pytest.mark.parametrize(("seed", "name"), SOON, ids=[seed.__name__ for seed, _ in SOON])
def test_the_reduction_finds_a_fault_in_as_few_events(
    seed: Seed, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    whole, reduced = Orders(name, SIZES[name], reduced=False), Orders(name, SIZES[name])
    seed(monkeypatch)
    first, second = explore(whole), explore(reduced)
    assert first.violation is not None and second.violation is not None
    assert first.violation.name == second.violation.name
    assert len(first.trace) == len(second.trace)
    assert second.states <= first.states + 1
