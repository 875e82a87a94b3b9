"""The equivalence of states of the consensus model. docs/design/control.md has the argument.

- Members are symmetric: they are sorted by their state and by what is known of them.
- The proposer of a finished batch sends nothing more, so its state is dropped.
- Once no crash is left, the state on disk is dropped. Once no disk can be lost any more and all disks are
  complete, an accept keeps only the promises that a lost disk has voided. If no crash is left either, the
  ceilings are dropped, and promises and floors are reduced to the possible ballots that they refuse.
- An accept that can change no member any more, and whose proposer waits for no answer to it, is dropped. So
  is a decision that can change no member, once each of its values is decided at a member.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cache
from typing import NamedTuple

from mesh.replication.acceptor import Ballot, Decision, Refusal, Slot
from rigs.order_model import frozen
from rigs.order_model.frozen import (
    AcceptorState,
    BatchState,
    FenceProgress,
    FrozenBallot,
    GlobalState,
    InternTable,
    Member,
    SentAccept,
    Tables,
)
from rigs.order_model.scenarios import VALUES, Scenario

Generations = tuple[tuple[str, int], ...]  # by member

INITIAL_PROPOSER = frozen.ProposerState((0, ""), None, (), (), False, (), (), (), False, ())


class Reduction:
    """Maps each state to the representative of its equivalence class."""

    def __init__(self, scenario: Scenario, tables: Tables, names: str) -> None:
        """``tables``: those that the ids in the states refer to."""
        self._scenario, self._tables, self._names = scenario, tables, names
        # Ballots that one batch may start, and all possible ones.
        self._startable_ballots, self._live_ballots = InternTable(), InternTable()
        # The results depend on the arguments alone.
        self._cached_ended = cache(self._ended)
        self._cached_without_disk = cache(self._without_disk)
        self._cached_disk_complete = cache(self._disk_complete)
        self._cached_generations = cache(self._generations)
        self._cached_binding = cache(self._binding_accepts)
        self._cached_awaited = cache(self._awaited_ballot)
        self._cached_effective = cache(self._effective_accepts)
        self._cached_all_decided = cache(self._all_decided)
        self._cached_startable = cache(self._startable)
        self._cached_live = cache(self._live)
        self._cached_relative = cache(self._relative)
        self._cached_marks_of_member = cache(self._marks_of_member)
        self._cached_marks_of_batch = cache(self._marks_of_batch)
        self._cached_marks_of_accepts = cache(self._marks_of_accepts)
        self._cached_renamed_member = cache(self._renamed_member)
        self._cached_renamed_batch = cache(self._renamed_batch)
        self._cached_renamed_accepts = cache(self._renamed_accepts)

    def reduced(self, current: GlobalState) -> GlobalState:
        """The representative of that state."""
        members, accepts, chosen = current.members, current.accepts, current.chosen
        batches = tuple([self._cached_ended(id) for id in current.batches])
        if not current.crashes:
            members = tuple([self._cached_without_disk(id) for id in members])
        if not current.wipes and all([self._cached_disk_complete(id) for id in members]):
            accepts = self._cached_binding(accepts, tuple([self._cached_generations(id) for id in members]))
            if not current.crashes:
                accepts, chosen = self._useful_messages(members, batches, accepts, chosen)
                startable = tuple([self._cached_startable(at, id) for at, id in enumerate(batches)])
                live = self._cached_live(startable, accepts)
                members = tuple([self._cached_relative(id, live) for id in members])
        members, batches, accepts = self._sorted_members(members, batches, accepts)
        return GlobalState(members, batches, accepts, chosen, current.answers, current.crashes, current.wipes)

    # Irrelevant parts

    def _ended(self, id: int) -> int:
        batch: BatchState = self._tables.batches[id]
        if not batch.outcome:
            return id
        return self._tables.batches.intern(BatchState(batch.outcome, INITIAL_PROPOSER, ()))

    def _without_disk(self, id: int) -> int:
        return self._tables.members.intern(self._tables.members[id]._replace(disk=None))

    def _disk_complete(self, id: int) -> bool:
        complete: bool = self._tables.members[id].disk_complete
        return complete

    def _generations(self, id: int) -> Generations:
        known: Generations = self._tables.members[id].acceptor.generations
        return known

    def _binding_accepts(self, accepts: int, known: tuple[Generations, ...]) -> int:
        """Drops the promises that cannot void an accept any more, because no disk was lost after them."""
        newest: dict[str, int] = {}
        for name, generation in (entry for by_member in known for entry in by_member):
            newest[name] = max(generation, newest.get(name, 0))
        remaining = [
            sent._replace(
                generations=tuple([entry for entry in sent.generations if entry[1] < newest.get(entry[0], 0)])
            )
            for sent in self._tables.accepts[accepts]
        ]
        return self._tables.accepts.intern(tuple(remaining))

    # Messages without effect

    def _useful_messages(
        self, members: tuple[int, ...], batches: tuple[int, ...], accepts: int, chosen: int
    ) -> tuple[int, int]:
        sent: tuple[SentAccept, ...] = self._tables.accepts[accepts]
        effective = [
            any(by_member)
            for by_member in zip(*[self._cached_effective(id, accepts) for id in members], strict=True)
        ]
        if all(effective):
            return accepts, chosen
        awaited = {self._cached_awaited(id) for id in batches}
        obsolete = {
            accept.ballot
            for accept, has_effect in zip(sent, effective, strict=True)
            if not has_effect and accept.ballot not in awaited
        }
        kept = tuple(
            entry
            for entry in self._tables.chosen[chosen]
            if entry[0] not in obsolete or not self._cached_all_decided(members, accepts, entry[0])
        )
        needed = {ballot for ballot, _ in kept}
        remaining = tuple(
            [accept for accept in sent if accept.ballot not in obsolete or accept.ballot in needed]
        )
        return self._tables.accepts.intern(remaining), self._tables.chosen.intern(kept)

    def _awaited_ballot(self, id: int) -> FrozenBallot:
        """The ballot that the batch awaits answers to."""
        ballot: FrozenBallot = self._tables.batches[id].proposer.ballot
        return ballot

    def _effective_accepts(self, member_id: int, accepts: int) -> list[bool]:
        """For each accept: whether it may change that member, as a whole or by any one of its writes, now or
        once more of its writes are decided there. A write that is refused, accepted or decided stays so."""
        acceptor = self._tables.members[member_id].acceptor
        return [_can_change(acceptor, sent) for sent in self._tables.accepts[accepts]]

    def _all_decided(self, members: tuple[int, ...], accepts: int, ballot: FrozenBallot) -> bool:
        """Whether no member holds votes of that ballot, and each of its writes is decided at a member."""
        acceptors = [frozen.thaw_acceptor("", self._tables.members[id].acceptor) for id in members]
        if any(acceptor.votes_under(Ballot(*ballot)) for acceptor in acceptors):
            return False
        writes = next(sent.writes for sent in self._tables.accepts[accepts] if sent.ballot == ballot)
        return all(
            any(isinstance(acceptor.state(slot), Decision) for acceptor in acceptors) for slot, _ in writes
        )

    # Promises, reduced to the possible ballots that they refuse

    def _startable(self, at: int, id: int) -> int:
        """The slots of this batch, and the ballots that it has started or may start."""
        state, batch = self._tables.batches[id], self._scenario.batches[at]
        if state.outcome:
            return self._startable_ballots.intern(((), ()))
        ballots = (state.proposer.ballot, *((round, f"p{at}") for round in state.remaining_rounds))
        return self._startable_ballots.intern((batch.slots, ballots))

    def _live(self, startable: tuple[int, ...], accepts: int) -> int:
        ballots: dict[Slot, set[FrozenBallot]] = {}
        for entry in startable:
            slots, started = self._startable_ballots[entry]
            for slot in slots:
                ballots.setdefault(slot, set()).update(started)
        for sent in self._tables.accepts[accepts]:
            for slot, _ in sent.writes:
                ballots.setdefault(slot, set()).add(sent.ballot)
        return self._live_ballots.intern(
            tuple(sorted((slot, tuple(sorted(found))) for slot, found in ballots.items()))
        )

    def _relative(self, id: int, live: int) -> int:
        member: Member = self._tables.members[id]
        acceptor, ballots = member.acceptor, self._live_ballots[live]
        rounds = [ballot[0] for _, slot_ballots in ballots for ballot in slot_ballots]
        floor = max((round for round in rounds if round <= acceptor.floor), default=0)
        refusals = Refusals(acceptor, floor, dict(ballots))
        promises = [
            (slot, lowest)
            for slot, ballot in acceptor.promises
            if (lowest := refusals.lowest_equivalent(slot, ballot))
        ]
        after = acceptor._replace(floor=floor, ceiling=0, promises=tuple(promises))
        return self._tables.members.intern(member._replace(acceptor=after))

    # Symmetry

    def _sorted_members(
        self, members: tuple[int, ...], batches: tuple[int, ...], accepts: int
    ) -> tuple[tuple[int, ...], tuple[int, ...], int]:
        """Sorts the members by their state and by what is known of them."""
        shapes, generations = zip(*[self._cached_marks_of_member(id) for id in members], strict=True)
        known = [sum(column) for column in zip(*generations, strict=True)]
        answered = [self._cached_marks_of_batch(id) for id in batches]
        marks = [*zip(shapes, known, *answered, self._cached_marks_of_accepts(accepts), strict=True)]
        order = tuple(sorted(range(len(members)), key=marks.__getitem__))
        if order == tuple(range(len(members))):
            return members, batches, accepts
        return (
            tuple([self._cached_renamed_member(order, members[old]) for old in order]),
            tuple([self._cached_renamed_batch(order, id) for id in batches]),
            self._cached_renamed_accepts(order, accepts),
        )

    def _marks_of_member(self, id: int) -> tuple[int, list[int]]:
        """The id of the member's state without names, and the generation that it knows of each member."""
        member: Member = self._tables.members[id]
        known = dict(member.acceptor.generations)
        disk = None if member.disk is None else member.disk._replace(generations=())
        fence = None if member.fence is None else FenceProgress(target=member.fence.target)
        without_names = Member(member.disk_complete, member.acceptor._replace(generations=()), disk, fence)
        return self._tables.members.intern(without_names), [known.get(name, 0) for name in self._names]

    def _marks_of_batch(self, id: int) -> list[tuple[bool, bool]]:
        proposer = self._tables.batches[id].proposer
        promised = dict(proposer.promises)
        return [(name in promised, name in proposer.accepted_by) for name in self._names]

    def _marks_of_accepts(self, id: int) -> list[tuple[bool, ...]]:
        generations = [dict(sent.generations) for sent in self._tables.accepts[id]]
        return [tuple(name in by_member for by_member in generations) for name in self._names]

    def _new_names(self, order: tuple[int, ...]) -> dict[str, str]:
        return {self._names[old]: self._names[new] for new, old in enumerate(order)}

    def _renamed_member(self, order: tuple[int, ...], id: int) -> int:
        renamed = frozen.renamed_member(self._tables.members[id], self._new_names(order))
        return self._tables.members.intern(renamed)

    def _renamed_batch(self, order: tuple[int, ...], id: int) -> int:
        renamed = frozen.renamed_batch(self._tables.batches[id], self._new_names(order))
        return self._tables.batches.intern(renamed)

    def _renamed_accepts(self, order: tuple[int, ...], id: int) -> int:
        renamed = frozen.renamed_accepts(self._tables.accepts[id], self._new_names(order))
        return self._tables.accepts.intern(renamed)


def _can_change(state: AcceptorState, sent: SentAccept) -> bool:
    all_writes = {slot: VALUES[letter] for slot, letter in sent.writes}
    for writes in (all_writes, *({slot: value} for slot, value in all_writes.items())):
        acceptor = frozen.thaw_acceptor("", state)
        answer = acceptor.accept(Ballot(*sent.ballot), dict(sent.generations), writes, dict(sent.tags))
        if not isinstance(answer, Refusal) and frozen.freeze_acceptor(acceptor) != state:
            return True
    return False


class Refusals(NamedTuple):
    """What a member refuses because of its votes and its floor."""

    acceptor: AcceptorState
    floor: int
    live: dict[Slot, tuple[FrozenBallot, ...]]

    def lowest_equivalent(self, slot: Slot, promised: FrozenBallot) -> FrozenBallot | None:
        """The lowest ballot whose promise refuses the same ballots; None if votes and floor refuse them."""
        below: Iterable[FrozenBallot] = [ballot for ballot in self.live.get(slot, ()) if ballot < promised]
        last = max(below, default=None)
        if last is None or last[0] <= self.floor:
            return None
        if any(voted == slot and ballot > last for voted, ballot, _, _ in self.acceptor.votes):
            return None
        return last[0], last[1] + "+"
