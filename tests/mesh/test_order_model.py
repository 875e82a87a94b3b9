"""Orders explored whole in the small: nothing breaks in any order of events, and seeded faults are found."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from mesh.replication.acceptor import Acceptor, Promised, Refusal
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Chosen, Proposer, Rivalled
from rigs import order_model
from rigs.order_model import SIZES, Orders, Side
from simulation.mesh.seeds import Patch
from statecheck import explore

SMALL = ["two orders", "two ballots", "a crash", "news", "four members"]


@pytest.mark.parametrize("name", SMALL)
def test_every_order_of_events_is_sound(name: str) -> None:
    report = explore(Orders(name, SIZES[name]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states > 1000


# Seeded faults, each with the size in which it shows

ACCEPT, ACCEPTED, GO_ON, KEPT = Acceptor.accept, Proposer.accepted, Proposer._go_on, order_model._kept
SETTLE = Acceptor.settle


def proposes_its_own_over_what_was_accepted(patch: Patch) -> None:
    patch.setattr(Proposer, "_note", lambda self, number, vote: None)


def both_are_acknowledged(patch: Patch) -> None:
    """As it was shipped: nobody asks what another order did under that number."""
    patch.setattr(Acceptor, "promise", lambda self, ballot, numbers: Promised({}, 0))
    patch.setattr(Acceptor, "accept", _takes_all)


def _takes_all(self: Acceptor, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
    for number, value in writes.items():
        self.decided[number[:2]] = (number[2], value)
    return list(writes)


def merge_turns_equal_versions_over(patch: Patch) -> None:
    """As it was shipped: what is taken is in force at once, and equal versions are settled by their bytes."""

    def accept(self: Acceptor, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
        changed = ACCEPT(self, ballot, by, writes, tags)
        if not isinstance(changed, Refusal):
            for number, value in writes.items():
                self.settle(number, value)
        return changed

    def settle(self: Acceptor, number: Any, value: Any, whole: bool = False) -> bool:
        version, held = self.decided.get(number[:2], (-1, None))
        if version == number[2] and str(value) > str(held):
            self.decided[number[:2]] = (version, value)
        return SETTLE(self, number, value, whole)

    patch.setattr(Acceptor, "accept", accept)
    patch.setattr(Acceptor, "settle", settle)


def promises_are_forgotten_at_a_crash(patch: Patch) -> None:
    patch.setattr(order_model, "_restarted", lambda disk: (0, disk[1], (), *disk[3:]))


def accepted_before_it_is_on_disk(patch: Patch) -> None:
    def kept(side: Side, memory: Any, parts: Any) -> Side:
        return KEPT(side, memory, () if "votes" in parts else parts)

    patch.setattr(order_model, "_kept", kept)


def a_settled_votes_row_leaves_the_disk_before_its_item_is_there(patch: Patch) -> None:
    def kept(side: Side, memory: Any, parts: Any) -> Side:
        after = KEPT(side, memory, parts)
        if not after.disk:
            return after
        return after._replace(disk=(*after.disk[:3], after.memory[3], *after.disk[4:]))

    patch.setattr(order_model, "_kept", kept)


def an_answer_to_another_ballot_counts(patch: Patch) -> None:
    def accepted(self: Proposer, who: str, epoch: int, ballot: Any) -> Chosen | None:
        return ACCEPTED(self, who, epoch, self.ballot)

    patch.setattr(Proposer, "accepted", accepted)


def a_lost_disk_counts_after_one_answer(patch: Patch) -> None:
    patch.setattr(order_model, "fenced_by", lambda view, heard, member, tolerance: bool(heard))


def a_fence_raises_no_floor(patch: Patch) -> None:
    def fence(self: Acceptor, round: int, member: str, generation: int) -> None:
        self.generations[member] = max(generation, self.generations.get(member, 0))

    patch.setattr(Acceptor, "fence", fence)


def promises_of_a_lost_disk_count(patch: Patch) -> None:
    patch.setattr(
        Acceptor, "accept", lambda self, ballot, by, writes, tags: ACCEPT(self, ballot, {}, writes, tags)
    )


def the_lowest_ballot_is_taken_up(patch: Patch) -> None:
    def note(self: Proposer, number: Any, vote: Any) -> None:
        held = self._votes.get(number)
        if held is None or vote.ballot < held.ballot:
            self._votes[number] = vote

    patch.setattr(Proposer, "_note", note)


def a_minority_decides(patch: Patch) -> None:
    patch.setattr(View, "durable", lambda self, have, tolerance: bool(have))


def one_promise_is_enough(patch: Patch) -> None:
    patch.setattr(View, "overlaps", lambda self, heard, tolerance: bool(heard))


def refused_for_one_that_is_not_decided(patch: Patch) -> None:
    def go_on(self: Proposer) -> Any:
        other = [n for n, vote in self._votes.items() if not self.adopts and not self._same(n, vote.value)]
        return Rivalled(other[0]) if other else GO_ON(self)

    patch.setattr(Proposer, "_go_on", go_on)


def promises_are_not_kept(patch: Patch) -> None:
    def refusal(self: Acceptor, ballot: Any, numbers: Any) -> Any:
        return Refusal(self.floor, "") if ballot.round <= self.floor else None

    patch.setattr(Acceptor, "_refusal", refusal)


def overtaken_versions_are_forgotten(patch: Patch) -> None:
    patch.setattr(Acceptor, "_passed", lambda self, key, version, digest: False)


def an_order_of_several_is_refused_by_a_quorum(patch: Patch) -> None:
    patch.setattr(View, "names", property(lambda self: frozenset()))


def a_part_of_an_order_is_accepted(patch: Patch) -> None:
    def accept(self: Acceptor, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
        changed = []
        for number, value in writes.items():
            one = ACCEPT(self, ballot, by, {number: value}, tags)
            changed += [] if isinstance(one, Refusal) else one
        return changed

    patch.setattr(Acceptor, "accept", accept)


def what_is_decided_otherwise_is_accepted(patch: Patch) -> None:
    def accept(self: Acceptor, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
        for number in writes:
            self.decided.pop(number[:2], None)
        return ACCEPT(self, ballot, by, writes, tags)

    patch.setattr(Acceptor, "accept", accept)


SEEDED: list[tuple[Callable[[Patch], None], str]] = [
    (proposes_its_own_over_what_was_accepted, "two orders"),
    (both_are_acknowledged, "two orders"),
    (merge_turns_equal_versions_over, "news"),
    (promises_are_forgotten_at_a_crash, "a crash"),
    (accepted_before_it_is_on_disk, "a crash"),
    (a_settled_votes_row_leaves_the_disk_before_its_item_is_there, "a crash"),
    (an_answer_to_another_ballot_counts, "two ballots"),
    (a_lost_disk_counts_after_one_answer, "a lost disk"),
    (a_fence_raises_no_floor, "a lost disk"),
    (promises_of_a_lost_disk_count, "a lost disk"),
    (the_lowest_ballot_is_taken_up, "three ballots"),
    (a_minority_decides, "two orders"),
    (one_promise_is_enough, "two orders"),
    (refused_for_one_that_is_not_decided, "two orders"),
    (promises_are_not_kept, "two orders"),
    (overtaken_versions_are_forgotten, "overtaken"),
    (an_order_of_several_is_refused_by_a_quorum, "two items"),
    (a_part_of_an_order_is_accepted, "taken up"),
    (what_is_decided_otherwise_is_accepted, "two orders"),
]


@pytest.mark.parametrize(("seed", "name"), SEEDED, ids=[seed.__name__ for seed, _ in SEEDED])
def test_a_seeded_fault_is_found(
    seed: Callable[[Patch], None], name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    model = Orders(name, SIZES[name])  # its judge has the quorums of the shipped code
    seed(monkeypatch)
    report = explore(model)
    assert report.violation is not None, f"{report.states} states without it"
