"""The vote on one number: of all contents sent under a (kind, name, version) one is chosen. No I/O.

Single-decree Paxos for each number (Lamport, "The part-time parliament", 1998), kept as a register for each
key without leader or log (Rystsov, "CASPaxos", 2018). An order of several items is voted on under one ballot,
all or nothing at each acceptor. docs/design/control.md has the argument, and the ways weighed.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from waterworks.aquifer.items import Key
from waterworks.aquifer.quorum import Tolerance
from waterworks.aquifer.views import View

Number = tuple[str, str, int]  # kind, name, version
Value = Mapping[str, Any] | None  # None: the item is dropped

BLOCK = 1 << 16  # rounds by which the ceiling on disk is raised
MOST_ROUND = 1 << 52
MOST_PROMISES = 40_000  # numbers; twice what one order can hold
MOST_VOTES = 40_000
MOST_PAST = 64  # overtaken versions of one key whose contents are known


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """``proposer``: one life of one process, which uses a round once."""

    round: int
    proposer: str


@dataclass(frozen=True, slots=True)
class Vote:
    """Accepted here, not known to be decided. ``tag``: of the order of several items that it came with."""

    ballot: Ballot
    value: Value
    tag: str = ""


@dataclass(frozen=True, slots=True)
class Settled:
    """Decided, by the digest of its content. ``has``: and ``value`` is the content, which stands there.
    ``tag``: of the order of several items that it came with, where not all of them were decided with it."""

    digest: str
    has: bool = False
    value: Value = None
    tag: str = ""


@dataclass(frozen=True, slots=True)
class Forgotten:
    """Older than all that is known of its key: it may have been decided."""


State = Vote | Settled | Forgotten


@dataclass(frozen=True, slots=True)
class Promised:
    """No lower ballot is accepted here any more. ``states``: of the numbers of which anything is known;
    ``generation``: how often this acceptor's disk has been lost."""

    states: Mapping[Number, State]
    generation: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """``round``: a ballot above it may pass; 0 where it is not for its round. ``contended``: another proposer
    is at work, or the next ballot fares no better at once."""

    round: int
    reason: str
    contended: bool = True


def digest_of(value: Value) -> str:
    """Of a content: 32 hex digits over its canonical bytes, as `items.content` has them."""
    return blake2b(msgspec.json.encode(value, order="deterministic"), digest_size=16).hexdigest()


class Acceptor:
    """One member's part. What it says counts once ``votes``, ``past``, ``ceiling`` and ``generations`` are on
    disk as they were then; promises are kept in memory alone.

    A round above ``ceiling`` may be promised only after a higher ceiling is on disk; the next life refuses
    all rounds up to it, and so all that this one has refused.
    """

    def __init__(
        self, name: str, floor: int = 0, forgotten_to: Callable[[Key], int] = lambda key: -1
    ) -> None:
        """``floor``: the ceiling as it was on disk; ``forgotten_to``: the highest version of a key whose drop
        is forgotten, or -1."""
        self.name, self.floor, self.ceiling = name, floor, floor
        self.generations: dict[str, int] = {}  # by member: how often its disk was lost, as far as is known
        self.promises: dict[Number, Ballot] = {}
        self.votes: dict[Number, Vote] = {}
        self.decided: dict[Key, tuple[int, Value]] = {}  # the highest version decided, by key
        self.past: dict[Key, dict[int, str]] = {}  # digests of decided versions below that, with /tag if any
        self.tags: dict[Number, str] = {}  # of what stands, see Settled
        self.unknown: dict[Key, int] = {}  # versions up to this may have been decided, and nobody can say
        self._forgotten_to = forgotten_to

    # What is known

    def state(self, number: Number) -> State | None:
        kind, name, version = number
        key = (kind, name)
        standing = self.decided.get(key)
        if standing is not None and standing[0] == version:
            return Settled(digest_of(standing[1]), True, standing[1], self.tags.get(number, ""))
        past = self.past.get(key, {})
        if version in past:
            digest, _, tag = past[version].partition("/")
            return Settled(digest, tag=tag)
        if version <= max(self._forgotten_to(key), self.unknown.get(key, -1)):
            return Forgotten()
        if len(past) >= MOST_PAST and version < min(past):
            return Forgotten()
        return self.votes.get(number)

    def top(self) -> int:
        """The highest round that may have been promised or accepted here."""
        known = [ballot.round for ballot in self.promises.values()]
        known += [vote.ballot.round for vote in self.votes.values()]
        return max([self.floor, *known])

    # The vote

    def wants(self, round: int) -> int:
        """The ceiling to be written before that round may be promised; 0 where none is needed."""
        return 0 if round <= self.ceiling else (round // BLOCK + 1) * BLOCK

    def raised(self, ceiling: int) -> None:
        """That ceiling is on disk."""
        self.ceiling = max(ceiling, self.ceiling)

    def promise(self, ballot: Ballot, numbers: Iterable[Number]) -> Promised | Refusal:
        """All numbers or none. The caller has seen to ``wants``."""
        asked = list(numbers)
        refusal = self._refusal(ballot, asked)
        if refusal is not None:
            return refusal
        if ballot.round > self.ceiling:
            return Refusal(0, "the ceiling on disk is lower")
        states = {number: state for number in asked if (state := self.state(number)) is not None}
        for number in asked:
            if not isinstance(states.get(number), Settled):
                self.promises.pop(number, None)
                self.promises[number] = ballot
        while len(self.promises) > MOST_PROMISES:
            oldest = next(iter(self.promises))
            self.floor = max(self.floor, self.promises.pop(oldest).round)
        return Promised(states, self.generations.get(self.name, 0))

    def accept(
        self,
        ballot: Ballot,
        by: Mapping[str, int],
        writes: Mapping[Number, Value],
        tags: Mapping[Number, str] | None = None,
    ) -> list[Number] | Refusal:
        """The numbers whose votes are to be on disk before this is said. ``by``: the generations of those
        whose promises the proposer goes by: the promise of a disk that was lost since binds nobody."""
        tags = tags or {}
        refusal = self._refusal(ballot, writes)
        if refusal is not None:
            return refusal
        if any(generation < self.generations.get(name, 0) for name, generation in by.items()):
            return Refusal(0, "a disk was lost since its promise")
        changed: list[Number] = []
        for number, value in writes.items():
            state = self.state(number)
            if isinstance(state, Forgotten) or (
                isinstance(state, Settled) and state.digest != digest_of(value)
            ):
                return Refusal(0, "decided otherwise")
            if not isinstance(state, Settled):
                changed.append(number)
        if len(self.votes) + sum(number not in self.votes for number in changed) > MOST_VOTES:
            return Refusal(0, f"{MOST_VOTES} votes are open")
        for number in changed:
            self.votes[number] = Vote(ballot, writes[number], tags.get(number, ""))
            self.promises.pop(number, None)  # the vote refuses what is below it
        return changed

    def _refusal(self, ballot: Ballot, numbers: Iterable[Number]) -> Refusal | None:
        if not 0 < ballot.round < MOST_ROUND:
            return Refusal(0, f"a round is 1 to {MOST_ROUND}")
        if ballot.round <= self.floor:
            return Refusal(self.floor, "below the floor", False)
        highest = ballot
        for number in numbers:
            promised, vote = self.promises.get(number), self.votes.get(number)
            if promised is not None and promised > highest:
                highest = promised
            if vote is not None and vote.ballot > highest:
                highest = vote.ballot
        return Refusal(highest.round, "overtaken by a higher ballot") if highest > ballot else None

    # Decisions

    def at(self, ballot: Ballot) -> dict[Number, Value]:
        """What was accepted under that ballot and is still open."""
        return {number: vote.value for number, vote in self.votes.items() if vote.ballot == ballot}

    def settle(self, number: Number, value: Value, whole: bool = False) -> bool:
        """It is known to be decided; whether there is more to be put on disk than the item. ``whole``: all of
        the order that it came with is."""
        kind, name, version = number
        key = (kind, name)
        vote = self.votes.pop(number, None)
        voted = vote is not None
        if vote is not None and vote.tag and not whole and digest_of(vote.value) == digest_of(value):
            self.tags[number] = vote.tag
        self.promises.pop(number, None)
        standing = self.decided.get(key)
        if standing is None or version > standing[0]:
            self.decided[key] = (version, value)
            return (standing is not None and self._passed(key, standing[0], digest_of(standing[1]))) or voted
        return (version < standing[0] and self._passed(key, version, digest_of(value))) or voted

    def told(self, number: Number, state: Settled | Forgotten) -> bool:
        """Another acceptor knows it to be settled, or has forgotten it; whether there is something to be put
        on disk. A content that is held here and settled so is for `settle`; one that is lacking here comes as
        an item, unless a higher version stands here already."""
        kind, name, version = number
        key = (kind, name)
        standing, here = self.decided.get(key), self.state(number)
        if isinstance(state, Forgotten):
            if version <= self.unknown.get(key, -1):
                return False
            self.unknown[key] = version
        elif not (here is None or isinstance(here, Vote)) or standing is None or version > standing[0]:
            return False
        else:
            self._passed(key, version, f"{state.digest}/{state.tag}" if state.tag else state.digest)
        self.votes.pop(number, None)
        return True

    def _passed(self, key: Key, version: int, digest: str) -> bool:
        past = self.past.setdefault(key, {})
        tag = self.tags.pop((*key, version), "")
        if version in past:
            return False
        past[version] = f"{digest}/{tag}" if tag else digest
        while len(past) > MOST_PAST:
            del past[min(past)]
        return True

    def forget(self, key: Key) -> None:
        """Its drop is forgotten, up to ``forgotten_to``."""
        for known in (self.decided, self.past, self.unknown):
            known.pop(key, None)
        for number in [number for number in self.tags if number[:2] == key]:
            del self.tags[number]

    def start_over(self) -> None:
        """What this disk held counts for nothing: all is to be read anew, under a fence, before it votes."""
        for known in (self.promises, self.votes, self.decided, self.past, self.unknown, self.tags):
            known.clear()

    # A disk that was lost

    def fence(self, round: int, member: str, generation: int) -> None:
        """Every round up to this is refused from now on, and what ``member`` said before that generation of
        its disk counts no more. The caller has the ceiling and the generations on disk before it says so."""
        self.floor, self.ceiling = max(self.floor, round), max(self.ceiling, round)
        self.generations[member] = max(generation, self.generations.get(member, 0))


def fenced_by(view: View, heard: Collection[str], member: str, tolerance: Tolerance) -> bool:
    """Whether these others of the view are enough to fence a member whose disk was lost. They are a durable
    set, so that they meet every quorum that promised, be it half of an even view; where no set of the others
    is durable, all of them: then every ballot needs the member itself, which knows its generation."""
    others = view.names - {member}
    if view.durable(others, tolerance):
        return view.durable(others & set(heard), tolerance)
    return bool(others) and others <= set(heard)


@dataclass(frozen=True, slots=True)
class Prepare:
    ballot: Ballot
    epoch: int
    numbers: tuple[Number, ...]


@dataclass(frozen=True, slots=True)
class Accept:
    ballot: Ballot
    epoch: int
    by: Mapping[str, int]
    writes: Mapping[Number, Value]
    tags: Mapping[Number, str]


@dataclass(frozen=True, slots=True)
class Chosen:
    """Decided by this proposer, and not told yet. ``whole``: with it, all of the order is."""

    ballot: Ballot
    writes: Mapping[Number, Value]
    whole: bool


@dataclass(frozen=True, slots=True)
class Again:
    """This ballot leads no further; a new one, of a round above ``round``, may. ``at_once``: there is nobody
    to make room for."""

    round: int
    reason: str
    at_once: bool = True


@dataclass(frozen=True, slots=True)
class Decided:
    """Every item of the order stands, or was overtaken after it stood."""


@dataclass(frozen=True, slots=True)
class Rivalled:
    """Another order has that number, and nothing of this one ever comes into force."""

    number: Number


@dataclass(frozen=True, slots=True)
class Unclear:
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
        return Prepare(self.ballot, view.epoch, tuple(self._open()))

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
        return self._propose(own, dict.fromkeys(own, self._tag) if self._tag else {})

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
