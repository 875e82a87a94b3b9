"""Faults seeded in the shipped code of the vote, or in its host, each with the size in which it shows."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mesh.replication.acceptor import Acceptor, Promised, Refusal
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Chosen, Conflict, Proposer
from rigs.order_model import frozen, model
from rigs.order_model.frozen import Memory, Side
from simulation.mesh.seeds import Patch

ACCEPT, ACCEPTED, GO_ON, KEPT = Acceptor.accept, Proposer.accepted, Proposer._after_promises, frozen.kept
SETTLE = Acceptor.learn


def proposes_its_own_over_what_was_accepted(patch: Patch) -> None:
    """A proposer passes over the votes that it is told of."""
    patch.setattr(Proposer, "_record_vote", lambda _self, _number, _vote: None)


def both_are_acknowledged(patch: Patch) -> None:
    """As it was shipped: nobody asks what another order did under that number."""
    patch.setattr(Acceptor, "promise", lambda _self, _ballot, _numbers: Promised({}, 0))
    patch.setattr(Acceptor, "accept", _takes_all)


def _takes_all(self: Acceptor, _ballot: Any, _by: Any, writes: Any, _tags: Any) -> Any:
    for number, value in writes.items():
        self.decided[number[:2]] = (number[2], value)
    return list(writes)


def merge_turns_equal_versions_over(patch: Patch) -> None:
    """As it was shipped: what is taken is in force at once, and equal versions are settled by their bytes."""

    def accept(self: Acceptor, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
        changed = ACCEPT(self, ballot, by, writes, tags)
        if not isinstance(changed, Refusal):
            for number, value in writes.items():
                self.learn(number, value)
        return changed

    def settle(self: Acceptor, number: Any, value: Any, whole: bool = False) -> bool:
        version, held = self.decided.get(number[:2], (-1, None))
        if version == number[2] and str(value) > str(held):
            self.decided[number[:2]] = (version, value)
        return SETTLE(self, number, value, whole)

    patch.setattr(Acceptor, "accept", accept)
    patch.setattr(Acceptor, "learn", settle)


def promises_are_forgotten_at_a_crash(patch: Patch) -> None:
    """The next life does not refuse up to the ceiling on disk."""
    patch.setattr(frozen, "restarted", lambda disk: disk._replace(floor=0, promises=()))


def accepted_before_it_is_on_disk(patch: Patch) -> None:
    """A vote is told before it is synced."""

    def kept(side: Side, memory: Memory, parts: Any) -> Side:
        return KEPT(side, memory, () if "votes" in parts else parts)

    patch.setattr(frozen, "kept", kept)


def a_settled_votes_row_leaves_the_disk_before_its_item_is_there(patch: Patch) -> None:
    """The disk loses the vote before it has the decision."""

    def kept(side: Side, memory: Memory, parts: Any) -> Side:
        after = KEPT(side, memory, parts)
        if after.disk is None:
            return after
        return after._replace(disk=after.disk._replace(votes=after.memory.votes))

    patch.setattr(frozen, "kept", kept)


def an_answer_to_another_ballot_counts(patch: Patch) -> None:
    """A late answer is taken for one to the present ballot."""

    def accepted(self: Proposer, who: str, epoch: int, _ballot: Any) -> Chosen | None:
        return ACCEPTED(self, who, epoch, self.ballot)

    patch.setattr(Proposer, "accepted", accepted)


def a_lost_disk_counts_after_one_answer(patch: Patch) -> None:
    """One other member is enough to fence a lost disk."""
    patch.setattr(model, "can_fence", lambda _view, heard, _member, _tolerance: bool(heard))


def a_fence_raises_no_floor(patch: Patch) -> None:
    """Who is asked to fence a lost disk goes on with lower ballots."""

    def fence(self: Acceptor, _round: int, member: str, generation: int) -> None:
        self.generations[member] = max(generation, self.generations.get(member, 0))

    patch.setattr(Acceptor, "fence", fence)


def promises_of_a_lost_disk_count(patch: Patch) -> None:
    """An acceptor does not heed the generations of the promises."""
    patch.setattr(
        Acceptor, "accept", lambda self, ballot, _by, writes, tags: ACCEPT(self, ballot, {}, writes, tags)
    )


def the_lowest_ballot_is_taken_up(patch: Patch) -> None:
    """Of several votes the oldest is taken up."""

    def note(self: Proposer, number: Any, vote: Any) -> None:
        held = self._votes.get(number)
        if held is None or vote.ballot < held.ballot:
            self._votes[number] = vote

    patch.setattr(Proposer, "_record_vote", note)


def a_minority_decides(patch: Patch) -> None:
    """One member that has accepted is enough."""
    patch.setattr(View, "durable", lambda _self, have, _tolerance: bool(have))


def one_promise_is_enough(patch: Patch) -> None:
    """A proposer goes on after one promise."""
    patch.setattr(View, "overlaps", lambda _self, heard, _tolerance: bool(heard))


def refused_for_one_that_is_not_decided(patch: Patch) -> None:
    """An order is refused for a vote that may still lose."""

    def go_on(self: Proposer) -> Any:
        other = [
            n for n, vote in self._votes.items() if not self.adopts and not self._matches_own(n, vote.value)
        ]
        return Conflict(other[0]) if other else GO_ON(self)

    patch.setattr(Proposer, "_after_promises", go_on)


def promises_are_not_kept(patch: Patch) -> None:
    """Acceptors accept below what they have promised."""

    def refusal(self: Acceptor, ballot: Any, _numbers: Any) -> Any:
        return Refusal(self.floor, "") if ballot.round <= self.floor else None

    patch.setattr(Acceptor, "_refusal", refusal)


def overtaken_versions_are_forgotten(patch: Patch) -> None:
    """What a higher version has overtaken is not known any more."""
    patch.setattr(Acceptor, "_record_past", lambda _self, _key, _version, _digest: False)


def an_order_of_several_is_refused_by_a_quorum(patch: Patch) -> None:
    """Not all members are asked before a whole order is refused."""
    patch.setattr(View, "names", property(lambda _self: frozenset()))


def a_part_of_an_order_is_accepted(patch: Patch) -> None:
    """An acceptor takes the rows of an order one by one."""

    def accept(self: Acceptor, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
        changed = []
        for number, value in writes.items():
            one = ACCEPT(self, ballot, by, {number: value}, tags)
            changed += [] if isinstance(one, Refusal) else one
        return changed

    patch.setattr(Acceptor, "accept", accept)


def what_is_decided_otherwise_is_accepted(patch: Patch) -> None:
    """An acceptor takes a second content of a decided number."""

    def accept(self: Acceptor, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
        for number in writes:
            self.decided.pop(number[:2], None)
        return ACCEPT(self, ballot, by, writes, tags)

    patch.setattr(Acceptor, "accept", accept)


Seed = Callable[[Patch], None]

SEEDED: list[tuple[Seed, str]] = [
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
