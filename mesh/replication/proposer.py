"""The proposer of one order: what it asks, what it takes up, and when it is decided. No I/O.

The other half of `replication/acceptor.py`, which has the vote's terms and the acceptor.
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
    ballot: Ballot
    epoch: int
    slots: tuple[Slot, ...]


class Accept(Struct, frozen=True):
    ballot: Ballot
    epoch: int
    generations: Mapping[str, int]
    writes: Mapping[Slot, Value]
    tags: Mapping[Slot, str]


class Chosen(Struct, frozen=True):
    """Decided by this proposer, and not told yet. ``whole``: with it, all of the order is."""

    ballot: Ballot
    writes: Mapping[Slot, Value]
    complete: bool


class Retry(Struct, frozen=True):
    """This ballot leads no further; a new one, of a round above ``round``, may. ``at_once``: there is nobody
    to make room for."""

    round: int
    reason: str
    at_once: bool = True


class Decided(Struct, frozen=True):
    """Every item of the order stands, or was overtaken after it stood."""


class Conflict(Struct, frozen=True):
    """Another order has that number, and nothing of this one ever comes into force."""

    slot: Slot


class Unresolved(Struct, frozen=True):
    """It may be in force, in part, or come into it."""

    reason: str


class Proposer:
    """One order, or (``adopts``) open votes, by their numbers alone, that are to be brought to their
    decision, whatever it is.

    The host sends what `prepare` and `promised` give to all members of the view, feeds what they answer, and
    begins a ballot anew where it is told `Again`, after a drawn pause; it gives up when its time is over.
    """

    def __init__(
        self, incarnation: str, writes: Mapping[Slot, Value], tolerance: Tolerance, adopts: bool = False
    ) -> None:
        self._incarnation, self._tolerance, self.adopts = incarnation, tolerance, adopts
        self.writes = dict(writes)
        self.decided_digests: dict[Slot, str] = {}  # numbers that are decided, by digest
        self.decided_values: dict[Slot, Value] = {}  # of those, as far as it was told
        self.forgotten: set[Slot] = set()  # of which nobody can know
        self.view = View(0, {})
        self.ballot = Ballot(0, "")
        self._digests = {} if adopts else {slot: digest_of(value) for slot, value in writes.items()}
        self._tag = _batch_tag(self._digests) if len(self._digests) > 1 else ""
        self._own_decided: set[Slot] = set()  # numbers that were decided as a part of this order
        self._highest_round_seen = 0  # highest round told of
        self._conflict_was_known = False  # this ballot began with a rival known to be decided
        self._promises: dict[str, int] = {}  # by member: its generation
        self._refused_by: set[str] = set()
        self._votes: dict[Slot, Vote] = {}  # the highest of each, as promisers told
        self._empty_slots: set[Slot] = set()  # of what it adopts: nobody of a quorum holds anything
        self._own_vote_found = False  # somebody holds a vote that came with this order
        self._accept: Accept | None = None
        self._accepted_by: set[str] = set()

    def prepare(self, round: int, view: View) -> Prepare:
        """A new ballot. ``round``: above all that this life has used."""
        self.view, self.ballot = view, Ballot(round, self._incarnation)
        self._conflict_was_known = self._first_conflict() is not None
        self._promises, self._refused_by, self._votes, self._accepted_by = {}, set(), {}, set()
        self._accept = None
        self._empty_slots = set()
        # Once a rival is known all are asked anew: of what is settled, too, each may tell with which order it
        # came.
        slots = list(self.writes) if self._conflict_was_known else self._open_slots()
        return Prepare(self.ballot, view.epoch, tuple(slots))

    def promised(
        self, member: str, epoch: int, ballot: Ballot, promised: Promised
    ) -> Accept | Retry | Decided | Conflict | Unresolved | None:
        """One answer; None: more are needed."""
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
            # Where a quorum holds nothing, nothing was chosen, and there is nothing to be brought to an end.
            self._empty_slots = {slot for slot in self._open_slots() if slot not in self._votes}
            adopted = {slot: self._votes[slot].value for slot in self._open_slots()}
            return self._propose(adopted, self._reported_tags(adopted)) if adopted else Decided()
        conflict = self._first_conflict()
        if conflict is not None:
            return self._after_conflict(conflict)
        votes = {slot: v.value for slot, v in self._votes.items() if slot not in self.decided_digests}
        others = {slot: value for slot, value in votes.items() if not self._matches_own(slot, value)}
        if others:  # alone: nothing of this order may be accepted while it may lose
            return self._propose(others, self._reported_tags(others))
        own = {slot: self.writes[slot] for slot in self._open_slots()}
        if not own:
            return Decided()
        # What another order has brought here before keeps that one's tag: it may have been chosen with it.
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
        # All have promised a ballot that began when the rival was decided, and hold no vote of this order:
        # whoever proposes the order hereafter meets the rival before it can send an accept. What is decided
        # as it was sent came with other orders.
        return Conflict(conflict) if self.view.names <= self._promises.keys() else None

    def _reported_tags(self, slots: Iterable[Slot]) -> dict[Slot, str]:
        return {slot: tag for slot in slots if (tag := self._votes[slot].tag)}

    def _propose(self, writes: Mapping[Slot, Value], tags: Mapping[Slot, str]) -> Accept:
        self._accept = Accept(self.ballot, self.view.epoch, dict(self._promises), dict(writes), tags)
        return self._accept

    def accepted(self, member: str, epoch: int, ballot: Ballot) -> Chosen | None:
        """One more has it on disk. Once what is chosen is told, `outcome` says whether that was all."""
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
        """``Again`` once so many have refused that this ballot can't go through."""
        self._highest_round_seen = max(self._highest_round_seen, refusal.round)
        if ballot != self.ballot:
            return None
        self._refused_by.add(member)
        remaining = self.view.names - self._refused_by
        if self._conflict_was_known and self._accept is None:
            possible = False  # all are needed
        elif self._accept is not None:
            possible = self.view.durable(remaining, self._tolerance)
        else:
            possible = self.view.overlaps(remaining, self._tolerance)
        return None if possible else Retry(self._highest_round_seen, refusal.reason, not refusal.contended)

    def outcome(self) -> Decided | Conflict | None:
        """Where all is decided, as it was sent, all otherwise, or (``adopts``) in whatever way."""
        if self._open_slots():
            return None
        conflict = self._first_conflict()
        if conflict is None:
            return Decided()
        return Conflict(conflict) if len(self._conflicting_slots()) == len(self.writes) else None

    def timed_out(self) -> Unresolved:
        """Its time is over."""
        conflict = self._first_conflict()
        if conflict is not None:
            return Unresolved(
                f"another order has {format_slot(conflict)}, and some members may hold votes of this one"
            )
        step = "accept" if self._accept is not None else "prepare"
        responders = (
            ", ".join(sorted(self._accepted_by if self._accept is not None else self._promises)) or "none"
        )
        return Unresolved(f"{step}: answered by {responders} of {len(self.view.names)}")

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
    """Of an order: the same whoever is sent it."""
    encoded = msgspec.json.encode(sorted(digests.items()))
    return blake2b(encoded, digest_size=8).hexdigest()


def format_slot(slot: Slot) -> str:
    """For people."""
    return f"{slot[0]} {slot[1][:60]!r} r{slot[2]}"
