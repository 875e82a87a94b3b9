"""Faults to seed in the shipped consensus code or in its host, each with the scenario in which it shows."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mesh.replication.acceptor import Acceptor, Promised, Refusal
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Chosen, Conflict, Proposer
from rigs.order_model import frozen, model
from rigs.order_model.frozen import AcceptorState, Member
from simulation.mesh.seeds import Patch

ACCEPT, ON_ACCEPTED, AFTER_PROMISES, PERSIST = (
    Acceptor.accept,
    Proposer.accepted,
    Proposer._after_promises,
    frozen.persisted,
)
LEARN = Acceptor.learn


def ignores_reported_votes(patch: Patch) -> None:
    """A proposer ignores the votes that promises report."""
    patch.setattr(Proposer, "_record_vote", lambda _self, _slot, _vote: None)


def accepts_without_voting(patch: Patch) -> None:
    """As in an earlier release: acceptors take every write, without a vote on its slot."""
    patch.setattr(Acceptor, "promise", lambda _self, _ballot, _slots: Promised({}, 0))
    patch.setattr(Acceptor, "accept", _accept_all)


def _accept_all(self: Acceptor, _ballot: Any, _by: Any, writes: Any, _tags: Any) -> Any:
    for slot, value in writes.items():
        self.decided[slot[:2]] = (slot[2], value)
    return list(writes)


def applies_accepted_values_at_once(patch: Patch) -> None:
    """As in an earlier release: accepted values are applied at once, and of equal versions the greater value
    wins."""

    def accept(self: Acceptor, ballot: Any, generations: Any, writes: Any, tags: Any) -> Any:
        changed = ACCEPT(self, ballot, generations, writes, tags)
        if not isinstance(changed, Refusal):
            for slot, value in writes.items():
                self.learn(slot, value)
        return changed

    def learn(self: Acceptor, slot: Any, value: Any, complete: bool = False) -> bool:
        version, held = self.decided.get(slot[:2], (-1, None))
        if version == slot[2] and str(value) > str(held):
            self.decided[slot[:2]] = (version, value)
        return LEARN(self, slot, value, complete)

    patch.setattr(Acceptor, "accept", accept)
    patch.setattr(Acceptor, "learn", learn)


def forgets_the_floor_in_a_crash(patch: Patch) -> None:
    """The next incarnation does not refuse the rounds up to the ceiling on disk."""
    patch.setattr(frozen, "restarted", lambda disk: disk._replace(floor=0, promises=()))


def accepts_before_the_sync(patch: Patch) -> None:
    """An acceptance is sent before the vote is synced."""

    def persisted(member: Member, acceptor: AcceptorState, written: Any) -> Member:
        return PERSIST(member, acceptor, () if "votes" in written else written)

    patch.setattr(frozen, "persisted", persisted)


def deletes_a_vote_before_the_decision_is_on_disk(patch: Patch) -> None:
    """The vote is deleted from disk before the decision is written."""

    def persisted(member: Member, acceptor: AcceptorState, written: Any) -> Member:
        after = PERSIST(member, acceptor, written)
        if after.disk is None:
            return after
        return after._replace(disk=after.disk._replace(votes=after.acceptor.votes))

    patch.setattr(frozen, "persisted", persisted)


def counts_answers_to_another_ballot(patch: Patch) -> None:
    """A late answer counts for the current ballot."""

    def accepted(self: Proposer, member: str, epoch: int, _ballot: Any) -> Chosen | None:
        return ON_ACCEPTED(self, member, epoch, self.ballot)

    patch.setattr(Proposer, "accepted", accepted)


def fences_after_one_answer(patch: Patch) -> None:
    """One other member is enough to fence a lost disk."""
    patch.setattr(model, "can_fence", lambda _view, reports, _member, _tolerance: bool(reports))


def fences_without_raising_the_floor(patch: Patch) -> None:
    """A member that confirms the fence of a lost disk still accepts lower ballots."""

    def fence(self: Acceptor, _round: int, member: str, generation: int) -> None:
        self.generations[member] = max(generation, self.generations.get(member, 0))

    patch.setattr(Acceptor, "fence", fence)


def counts_promises_of_a_lost_disk(patch: Patch) -> None:
    """An acceptor ignores the generations of the promises."""
    patch.setattr(
        Acceptor, "accept", lambda self, ballot, _by, writes, tags: ACCEPT(self, ballot, {}, writes, tags)
    )


def adopts_the_lowest_vote(patch: Patch) -> None:
    """Of several reported votes, the lowest is adopted."""

    def record_vote(self: Proposer, slot: Any, vote: Any) -> None:
        held = self._votes.get(slot)
        if held is None or vote.ballot < held.ballot:
            self._votes[slot] = vote

    patch.setattr(Proposer, "_record_vote", record_vote)


def decides_with_a_minority(patch: Patch) -> None:
    """One acceptance is enough to decide."""
    patch.setattr(View, "durable", lambda _self, have, _tolerance: bool(have))


def continues_after_one_promise(patch: Patch) -> None:
    """A proposer sends its accept after one promise."""
    patch.setattr(View, "overlaps", lambda _self, reports, _tolerance: bool(reports))


def reports_a_conflict_with_an_undecided_vote(patch: Patch) -> None:
    """A batch is refused for a vote that may still be superseded."""

    def after_promises(self: Proposer) -> Any:
        others = [
            slot
            for slot, vote in self._votes.items()
            if not self.adopts and not self._matches_own(slot, vote.value)
        ]
        return Conflict(others[0]) if others else AFTER_PROMISES(self)

    patch.setattr(Proposer, "_after_promises", after_promises)


def accepts_below_a_promise(patch: Patch) -> None:
    """Acceptors accept ballots below their promises."""

    def refusal(self: Acceptor, ballot: Any, _slots: Any) -> Any:
        return Refusal(self.floor, "") if ballot.round <= self.floor else None

    patch.setattr(Acceptor, "_refusal", refusal)


def forgets_superseded_versions(patch: Patch) -> None:
    """The digests of superseded versions are not kept."""
    patch.setattr(Acceptor, "_record_past", lambda _self, _key, _version, _digest: False)


def refuses_a_batch_after_a_quorum(patch: Patch) -> None:
    """A batch of several items is refused before all members have promised."""
    patch.setattr(View, "names", property(lambda _self: frozenset()))


def accepts_a_part_of_a_batch(patch: Patch) -> None:
    """An acceptor accepts the writes of a batch one by one."""

    def accept(self: Acceptor, ballot: Any, generations: Any, writes: Any, tags: Any) -> Any:
        changed = []
        for slot, value in writes.items():
            accepted = ACCEPT(self, ballot, generations, {slot: value}, tags)
            changed += [] if isinstance(accepted, Refusal) else accepted
        return changed

    patch.setattr(Acceptor, "accept", accept)


def accepts_another_value_for_a_decided_slot(patch: Patch) -> None:
    """An acceptor accepts a second value for a decided slot."""

    def accept(self: Acceptor, ballot: Any, generations: Any, writes: Any, tags: Any) -> Any:
        for slot in writes:
            self.decided.pop(slot[:2], None)
        return ACCEPT(self, ballot, generations, writes, tags)

    patch.setattr(Acceptor, "accept", accept)


Fault = Callable[[Patch], None]

SEEDED_FAULTS: list[tuple[Fault, str]] = [
    (ignores_reported_votes, "two orders"),
    (accepts_without_voting, "two orders"),
    (applies_accepted_values_at_once, "news"),
    (forgets_the_floor_in_a_crash, "a crash"),
    (accepts_before_the_sync, "a crash"),
    (deletes_a_vote_before_the_decision_is_on_disk, "a crash"),
    (counts_answers_to_another_ballot, "two ballots"),
    (fences_after_one_answer, "a lost disk"),
    (fences_without_raising_the_floor, "a lost disk"),
    (counts_promises_of_a_lost_disk, "a lost disk"),
    (adopts_the_lowest_vote, "three ballots"),
    (decides_with_a_minority, "two orders"),
    (continues_after_one_promise, "two orders"),
    (reports_a_conflict_with_an_undecided_vote, "two orders"),
    (accepts_below_a_promise, "two orders"),
    (forgets_superseded_versions, "overtaken"),
    (refuses_a_batch_after_a_quorum, "two items"),
    (accepts_a_part_of_a_batch, "taken up"),
    (accepts_another_value_for_a_decided_slot, "two orders"),
]
