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
    Forgotten,
    Number,
    Promised,
    Refusal,
    Settled,
    Value,
    Vote,
    digest_of,
)
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Tolerance


class Prepare(Struct, frozen=True):
    ballot: Ballot
    epoch: int
    numbers: tuple[Number, ...]


class Accept(Struct, frozen=True):
    ballot: Ballot
    epoch: int
    by: Mapping[str, int]
    writes: Mapping[Number, Value]
    tags: Mapping[Number, str]


class Chosen(Struct, frozen=True):
    """Decided by this proposer, and not told yet. ``whole``: with it, all of the order is."""

    ballot: Ballot
    writes: Mapping[Number, Value]
    whole: bool


class Again(Struct, frozen=True):
    """This ballot leads no further; a new one, of a round above ``round``, may. ``at_once``: there is nobody
    to make room for."""

    round: int
    reason: str
    at_once: bool = True


class Decided(Struct, frozen=True):
    """Every item of the order stands, or was overtaken after it stood."""


class Rivalled(Struct, frozen=True):
    """Another order has that number, and nothing of this one ever comes into force."""

    number: Number


class Unclear(Struct, frozen=True):
    """It may be in force, in part, or come into it."""

    reason: str


class Proposer:
    """One order, or (``adopts``) open votes, by their numbers alone, that are to be brought to their
    decision, whatever it is.

    The host sends what `prepare` and `promised` give to all members of the view, feeds what they answer, and
    begins a ballot anew where it is told `Again`, after a drawn pause; it gives up when its time is over.
    """

    def __init__(
        self, life: str, writes: Mapping[Number, Value], tolerance: Tolerance, adopts: bool = False
    ) -> None:
        self._life, self._tolerance, self.adopts = life, tolerance, adopts
        self.writes = dict(writes)
        self.settled: dict[Number, str] = {}  # numbers that are decided, by digest
        self.contents: dict[Number, Value] = {}  # of those, as far as it was told
        self.forgotten: set[Number] = set()  # of which nobody can know
        self.view = View(0, {})
        self.ballot = Ballot(0, "")
        self._digests = {} if adopts else {number: digest_of(value) for number, value in writes.items()}
        self._tag = _tag_of(self._digests) if len(self._digests) > 1 else ""
        self._in_force: set[Number] = set()  # numbers that were decided as a part of this order
        self._seen = 0  # highest round told of
        self._knew = False  # this ballot began with a rival known to be decided
        self._promises: dict[str, int] = {}  # by member: its generation
        self._refused: set[str] = set()
        self._votes: dict[Number, Vote] = {}  # the highest of each, as promisers told
        self._blank: set[Number] = set()  # of what it adopts: nobody of a quorum holds anything
        self._own_found = False  # somebody holds a vote that came with this order
        self._accept: Accept | None = None
        self._have: set[str] = set()

    def prepare(self, round: int, view: View) -> Prepare:
        """A new ballot. ``round``: above all that this life has used."""
        self.view, self.ballot = view, Ballot(round, self._life)
        self._knew = self._rival() is not None
        self._promises, self._refused, self._votes, self._have = {}, set(), {}, set()
        self._accept = None
        self._blank = set()
        # Once a rival is known all are asked anew: of what is settled, too, each may tell with which order it
        # came.
        asked = list(self.writes) if self._knew else self._open()
        return Prepare(self.ballot, view.epoch, tuple(asked))

    def promised(
        self, who: str, epoch: int, ballot: Ballot, promised: Promised
    ) -> Accept | Again | Decided | Rivalled | Unclear | None:
        """One answer; None: more are needed."""
        if ballot != self.ballot or epoch != self.view.epoch or self._accept is not None:
            return None
        self._promises[who] = promised.generation
        for number, state in promised.states.items():
            if number not in self.writes:
                continue
            if isinstance(state, Settled):
                self.settled[number] = state.digest
                if state.tag and state.tag == self._tag:
                    self._in_force.add(number)
                if state.has:
                    self.contents[number] = state.value
            elif isinstance(state, Forgotten):
                self.forgotten.add(number)
            else:
                self._note(number, state)
        if self.forgotten and not self.adopts:
            return Unclear(f"{named(min(self.forgotten))} is older than what is known of it")
        if not self.view.overlaps(self._promises, self._tolerance):
            return None
        return self._go_on()

    def _note(self, number: Number, vote: Vote) -> None:
        self._own_found |= bool(vote.tag) and vote.tag == self._tag
        held = self._votes.get(number)
        if held is None or vote.ballot > held.ballot:
            self._votes[number] = vote

    def _go_on(self) -> Accept | Again | Decided | Rivalled | Unclear | None:
        if self.adopts:
            # Where a quorum holds nothing, nothing was chosen, and there is nothing to be brought to an end.
            self._blank = {number for number in self._open() if number not in self._votes}
            taken = {number: self._votes[number].value for number in self._open()}
            return self._propose(taken, self._told_tags(taken)) if taken else Decided()
        rival = self._rival()
        if rival is not None:
            return self._lost(rival)
        votes = {n: v.value for n, v in self._votes.items() if n not in self.settled}
        others = {n: value for n, value in votes.items() if not self._same(n, value)}
        if others:  # alone: nothing of this order may be accepted while it may lose
            return self._propose(others, self._told_tags(others))
        own = {number: self.writes[number] for number in self._open()}
        if not own:
            return Decided()
        # What another order has brought here before keeps that one's tag: it may have been chosen with it.
        tags = {n: self._votes[n].tag if n in self._votes else self._tag for n in own}
        return self._propose(own, {n: tag for n, tag in tags.items() if tag})

    def _lost(self, rival: Number) -> Again | Rivalled | Unclear | None:
        lost = self._lost_numbers()
        if len(lost) == len(self.writes):
            return Rivalled(rival)
        if self._own_found or self._in_force:
            return Unclear(f"another order has {named(rival)}, and a part of this one may be in force")
        if not self._knew:
            return Again(0, "another order has a number of this one")
        # All have promised a ballot that began when the rival was decided, and hold no vote of this order:
        # whoever proposes the order hereafter meets the rival before it can send an accept. What is decided
        # as it was sent came with other orders.
        return Rivalled(rival) if self.view.names <= self._promises.keys() else None

    def _told_tags(self, numbers: Iterable[Number]) -> dict[Number, str]:
        return {number: tag for number in numbers if (tag := self._votes[number].tag)}

    def _propose(self, writes: Mapping[Number, Value], tags: Mapping[Number, str]) -> Accept:
        self._accept = Accept(self.ballot, self.view.epoch, dict(self._promises), dict(writes), tags)
        return self._accept

    def accepted(self, who: str, epoch: int, ballot: Ballot) -> Chosen | None:
        """One more has it on disk. Once what is chosen is told, `outcome` says whether that was all."""
        if self._accept is None or ballot != self.ballot or epoch != self.view.epoch:
            return None
        if self.view.durable(self._have, self._tolerance):
            return None
        self._have.add(who)
        if not self.view.durable(self._have, self._tolerance):
            return None
        writes = self._accept.writes
        self.settled.update((number, digest_of(value)) for number, value in writes.items())
        self.contents.update(writes)
        return Chosen(self.ballot, writes, not self.adopts and isinstance(self.outcome(), Decided))

    def refused(self, who: str, ballot: Ballot, refusal: Refusal) -> Again | None:
        """``Again`` once so many have refused that this ballot can't go through."""
        self._seen = max(self._seen, refusal.round)
        if ballot != self.ballot:
            return None
        self._refused.add(who)
        left = self.view.names - self._refused
        if self._knew and self._accept is None:
            able = False  # all are needed
        elif self._accept is not None:
            able = self.view.durable(left, self._tolerance)
        else:
            able = self.view.overlaps(left, self._tolerance)
        return None if able else Again(self._seen, refusal.reason, not refusal.contended)

    def outcome(self) -> Decided | Rivalled | None:
        """Where all is decided, as it was sent, all otherwise, or (``adopts``) in whatever way."""
        if self._open():
            return None
        rival = self._rival()
        if rival is None:
            return Decided()
        return Rivalled(rival) if len(self._lost_numbers()) == len(self.writes) else None

    def gave_up(self) -> Unclear:
        """Its time is over."""
        rival = self._rival()
        if rival is not None:
            return Unclear(
                f"another order has {named(rival)}, and not all have said that they hold none of this"
            )
        step = "accept" if self._accept is not None else "prepare"
        told = ", ".join(sorted(self._have if self._accept is not None else self._promises)) or "none"
        return Unclear(f"{step}: answered by {told} of {len(self.view.names)}")

    def _open(self) -> list[Number]:
        over = self.settled.keys() | self.forgotten | self._blank
        return [number for number in self.writes if number not in over]

    def _same(self, number: Number, value: Value) -> bool:
        return digest_of(value) == self._digests[number]

    def _rival(self) -> Number | None:
        if self.adopts:
            return None
        return min(self._lost_numbers(), default=None)

    def _lost_numbers(self) -> list[Number]:
        return [n for n, digest in self.settled.items() if digest != self._digests[n]]


def _tag_of(digests: Mapping[Number, str]) -> str:
    """Of an order: the same whoever is sent it."""
    told = msgspec.json.encode(sorted(digests.items()))
    return blake2b(told, digest_size=8).hexdigest()


def named(number: Number) -> str:
    """For people."""
    return f"{number[0]} {number[1][:60]!r} r{number[2]}"
