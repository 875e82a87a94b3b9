"""The vote on one number: of all contents sent under a (kind, name, version) one is chosen. No I/O.

Single-decree Paxos for each number (Lamport, "The part-time parliament", 1998), kept as a register for each
key without leader or log (Rystsov, "CASPaxos", 2018). An order of several items is voted on under one ballot,
all or nothing at each acceptor. docs/design/control.md has the argument, and the ways weighed.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from hashlib import blake2b
from typing import Any

import msgspec
from msgspec import Struct

from mesh.replication.items import Key
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Tolerance

Number = tuple[str, str, int]  # kind, name, version
Value = Mapping[str, Any] | None  # None: the item is dropped

BLOCK = 1 << 16  # rounds by which the ceiling on disk is raised
MOST_ROUND = 1 << 52
MOST_PROMISES = 40_000  # numbers; twice what one order can hold
MOST_VOTES = 40_000
MOST_PAST = 64  # overtaken versions of one key whose contents are known


class Ballot(Struct, frozen=True, order=True):
    """``proposer``: one life of one process, which uses a round once."""

    round: int
    proposer: str


class Vote(Struct, frozen=True):
    """Accepted here, not known to be decided. ``tag``: of the order of several items that it came with."""

    ballot: Ballot
    value: Value
    tag: str = ""


class Settled(Struct, frozen=True):
    """Decided, by the digest of its content. ``has``: and ``value`` is the content, which stands there.
    ``tag``: of the order of several items that it came with, where not all of them were decided with it."""

    digest: str
    has: bool = False
    value: Value = None
    tag: str = ""


class Forgotten(Struct, frozen=True):
    """Older than all that is known of its key: it may have been decided."""


State = Vote | Settled | Forgotten


class Promised(Struct, frozen=True):
    """No lower ballot is accepted here any more. ``states``: of the numbers of which anything is known;
    ``generation``: how often this acceptor's disk has been lost."""

    states: Mapping[Number, State]
    generation: int


class Refusal(Struct, frozen=True):
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
    is durable, all of them: then every ballot needs the member itself, which knows its generation. Each
    quorum of a joint view holds one of the view before, so those of that are enough: who joins may wait for
    this one itself."""
    if view.before is not None:
        view = View(view.epoch, view.before)
    others = view.names - {member}
    if view.durable(others, tolerance):
        return view.durable(others & set(heard), tolerance)
    return bool(others) and others <= set(heard)
