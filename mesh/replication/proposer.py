"""The proposer of one batch of writes: what it requests, which votes it adopts, and when it is decided. No
I/O.

The counterpart of `replication/acceptor.py`, which defines the terms of the protocol.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

import msgspec
from msgspec import Struct

from mesh.replication.acceptor import (
    Ballot,
    Decision,
    Forgotten,
    Promised,
    Refusal,
    Slot,
    Value,
    Vote,
    digest_of,
)
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Tolerance


class Prepare(Struct, frozen=True):
    """Phase 1 request: asks for promises for the slots."""

    ballot: Ballot
    epoch: int
    slots: tuple[Slot, ...]


class Accept(Struct, frozen=True):
    """Phase 2 request. ``generations``: those of the promising members."""

    ballot: Ballot
    epoch: int
    generations: Mapping[str, int]
    writes: Mapping[Slot, Value]
    tags: Mapping[Slot, str]


class Chosen(Struct, frozen=True):
    """Decided by this proposer and not yet announced. ``complete``: the whole batch is decided with it."""

    ballot: Ballot
    writes: Mapping[Slot, Value]
    complete: bool


class Retry(Struct, frozen=True):
    """This ballot cannot succeed; a new one of a round above ``round`` may. ``at_once``: no other proposer
    needs time to finish."""

    round: int
    reason: str
    at_once: bool = True


class Decided(Struct, frozen=True):
    """Every item of the batch is decided as proposed, or was superseded after it was."""


class Conflict(Struct, frozen=True):
    """Another value is decided for that slot, and no part of this batch will ever be decided."""

    slot: Slot


class Unresolved(Struct, frozen=True):
    """The batch may be decided, also in part, now or later."""

    reason: str


class Proposer:
    """Proposes one batch, or (``adopts``) completes open votes, given by their slots alone, with any value.

    The host sends the results of `prepare` and `promised` to all members of the view, passes their answers
    in, and starts a new ballot after a random delay when it gets `Retry`; it stops when its time is over.
    """

    def __init__(
        self, incarnation: str, writes: Mapping[Slot, Value], tolerance: Tolerance, adopts: bool = False
    ) -> None:
        self._incarnation, self._tolerance, self.adopts = incarnation, tolerance, adopts
        self.writes = dict(writes)
        self.decided_digests: dict[Slot, str] = {}  # of decided slots
        self.decided_values: dict[Slot, Value] = {}  # of those, as far as reported
        self.forgotten: set[Slot] = set()  # outcome cannot be determined
        self.view = View(0, {})
        self.ballot = Ballot(0, "")
        self._digests = {} if adopts else {slot: digest_of(value) for slot, value in writes.items()}
        self._tag = _batch_tag(self._digests) if len(self._digests) > 1 else ""
        self._own_decided: set[Slot] = set()  # slots decided as a part of this batch
        self._highest_round_seen = 0  # in refusals
        self._conflict_was_known = False  # when this ballot began
        self._promises: dict[str, int] = {}  # by member: its generation
        self._refused_by: set[str] = set()
        self._votes: dict[Slot, Vote] = {}  # the highest reported of each
        self._empty_slots: set[Slot] = set()  # adopting: no member of a quorum holds a vote
        self._own_vote_found = False  # a member holds a vote of this batch
        self._accept: Accept | None = None
        self._accepted_by: set[str] = set()

    def prepare(self, round: int, view: View) -> Prepare:
        """Starts a ballot. ``round``: above all that this incarnation has used."""
        self.view, self.ballot = view, Ballot(round, self._incarnation)
        self._conflict_was_known = self._first_conflict() is not None
        self._promises, self._refused_by, self._votes, self._accepted_by = {}, set(), {}, set()
        self._accept = None
        self._empty_slots = set()
        # After a conflict all slots are requested again, because the answers also tell with which batch a
        # decided slot came.
        slots = list(self.writes) if self._conflict_was_known else self._open_slots()
        return Prepare(self.ballot, view.epoch, tuple(slots))

    def promised(
        self, member: str, epoch: int, ballot: Ballot, promised: Promised
    ) -> Accept | Retry | Decided | Conflict | Unresolved | None:
        """Handles one promise; None if more are needed."""
        if ballot != self.ballot or epoch != self.view.epoch or self._accept is not None:
            return None
        self._promises[member] = promised.generation
        for slot, state in promised.states.items():
            if slot not in self.writes:
                continue
            if isinstance(state, Decision):
                self.decided_digests[slot] = state.digest
                if state.tag and state.tag == self._tag:
                    self._own_decided.add(slot)
                if state.has_value:
                    self.decided_values[slot] = state.value
            elif isinstance(state, Forgotten):
                self.forgotten.add(slot)
            else:
                self._record_vote(slot, state)
        if self.forgotten and not self.adopts:
            return Unresolved(f"{format_slot(min(self.forgotten))} is older than what is known of it")
        if not self.view.overlaps(self._promises, self._tolerance):
            return None
        return self._after_promises()

    def _record_vote(self, slot: Slot, vote: Vote) -> None:
        self._own_vote_found |= bool(vote.tag) and vote.tag == self._tag
        held = self._votes.get(slot)
        if held is None or vote.ballot > held.ballot:
            self._votes[slot] = vote

    def _after_promises(self) -> Accept | Retry | Decided | Conflict | Unresolved | None:
        if self.adopts:
            # If a quorum holds no vote, nothing was chosen and there is nothing to complete.
            self._empty_slots = {slot for slot in self._open_slots() if slot not in self._votes}
            adopted = {slot: self._votes[slot].value for slot in self._open_slots()}
            return self._propose(adopted, self._reported_tags(adopted)) if adopted else Decided()
        conflict = self._first_conflict()
        if conflict is not None:
            return self._after_conflict(conflict)
        votes = {slot: v.value for slot, v in self._votes.items() if slot not in self.decided_digests}
        others = {slot: value for slot, value in votes.items() if not self._matches_own(slot, value)}
        if others:  # alone: nothing of this batch may be accepted while it may conflict
            return self._propose(others, self._reported_tags(others))
        own = {slot: self.writes[slot] for slot in self._open_slots()}
        if not own:
            return Decided()
        # A value that another batch proposed before keeps the tag of that batch: it may be chosen with it.
        tags = {slot: self._votes[slot].tag if slot in self._votes else self._tag for slot in own}
        return self._propose(own, {slot: tag for slot, tag in tags.items() if tag})

    def _after_conflict(self, conflict: Slot) -> Retry | Conflict | Unresolved | None:
        conflicting = self._conflicting_slots()
        if len(conflicting) == len(self.writes):
            return Conflict(conflict)
        if self._own_vote_found or self._own_decided:
            return Unresolved(
                f"another order has {format_slot(conflict)}, and a part of this one may be in force"
            )
        if not self._conflict_was_known:
            return Retry(0, "another order has a number of this one")
        # All members promised a ballot that began after the conflicting decision, and hold no vote of this
        # batch: any later proposer of it finds the conflict before it can send an accept. Slots that are
        # decided as proposed came with other batches.
        return Conflict(conflict) if self.view.names <= self._promises.keys() else None

    def _reported_tags(self, slots: Iterable[Slot]) -> dict[Slot, str]:
        return {slot: tag for slot in slots if (tag := self._votes[slot].tag)}

    def _propose(self, writes: Mapping[Slot, Value], tags: Mapping[Slot, str]) -> Accept:
        self._accept = Accept(self.ballot, self.view.epoch, dict(self._promises), dict(writes), tags)
        return self._accept

    def accepted(self, member: str, epoch: int, ballot: Ballot) -> Chosen | None:
        """Handles one acceptance that is on disk. Once the chosen writes are announced, `outcome` tells
        whether the batch is done."""
        if self._accept is None or ballot != self.ballot or epoch != self.view.epoch:
            return None
        if self.view.durable(self._accepted_by, self._tolerance):
            return None
        self._accepted_by.add(member)
        if not self.view.durable(self._accepted_by, self._tolerance):
            return None
        writes = self._accept.writes
        self.decided_digests.update((slot, digest_of(value)) for slot, value in writes.items())
        self.decided_values.update(writes)
        return Chosen(self.ballot, writes, not self.adopts and isinstance(self.outcome(), Decided))

    def refused(self, member: str, ballot: Ballot, refusal: Refusal) -> Retry | None:
        """Handles a refusal; ``Retry`` once too many members have refused for this ballot to succeed."""
        self._highest_round_seen = max(self._highest_round_seen, refusal.round)
        if ballot != self.ballot:
            return None
        self._refused_by.add(member)
        remaining = self.view.names - self._refused_by
        if self._conflict_was_known and self._accept is None:
            possible = False  # all members are needed
        elif self._accept is not None:
            possible = self.view.durable(remaining, self._tolerance)
        else:
            possible = self.view.overlaps(remaining, self._tolerance)
        return None if possible else Retry(self._highest_round_seen, refusal.reason, not refusal.contended)

    def outcome(self) -> Decided | Conflict | None:
        """`Decided` if all slots are decided as proposed (``adopts``: in any way), `Conflict` if none is."""
        if self._open_slots():
            return None
        conflict = self._first_conflict()
        if conflict is None:
            return Decided()
        return Conflict(conflict) if len(self._conflicting_slots()) == len(self.writes) else None

    def timed_out(self) -> Unresolved:
        """The outcome when the time is over."""
        conflict = self._first_conflict()
        if conflict is not None:
            return Unresolved(
                f"another order has {format_slot(conflict)}, and some members may hold votes of this one"
            )
        step = "accept" if self._accept is not None else "prepare"
        members = (
            ", ".join(sorted(self._accepted_by if self._accept is not None else self._promises)) or "none"
        )
        return Unresolved(f"{step}: answered by {members} of {len(self.view.names)}")

    def _open_slots(self) -> list[Slot]:
        closed = self.decided_digests.keys() | self.forgotten | self._empty_slots
        return [slot for slot in self.writes if slot not in closed]

    def _matches_own(self, slot: Slot, value: Value) -> bool:
        return digest_of(value) == self._digests[slot]

    def _first_conflict(self) -> Slot | None:
        if self.adopts:
            return None
        return min(self._conflicting_slots(), default=None)

    def _conflicting_slots(self) -> list[Slot]:
        return [slot for slot, digest in self.decided_digests.items() if digest != self._digests[slot]]


def _batch_tag(digests: Mapping[Slot, str]) -> str:
    """The tag of a batch, the same for every proposer of it."""
    encoded = msgspec.json.encode(sorted(digests.items()))
    return blake2b(encoded, digest_size=8).hexdigest()


def format_slot(slot: Slot) -> str:
    """Formats a slot for texts."""
    return f"{slot[0]} {slot[1][:60]!r} r{slot[2]}"
