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

Slot = tuple[str, str, int]  # kind, name, version
Value = Mapping[str, Any] | None  # None: the item is dropped

ROUND_BLOCK = 1 << 16  # rounds by which the ceiling on disk is raised
MAX_ROUND = 1 << 52
MAX_PROMISES = 40_000  # numbers; twice what one order can hold
MAX_VOTES = 40_000
MAX_PAST_DIGESTS = 64  # overtaken versions of one key whose contents are known


class Ballot(Struct, frozen=True, order=True):
    """``proposer``: one life of one process, which uses a round once."""

    round: int
    proposer: str


class Vote(Struct, frozen=True):
    """Accepted here, not known to be decided. ``tag``: of the order of several items that it came with."""

    ballot: Ballot
    value: Value
    tag: str = ""


class Decision(Struct, frozen=True):
    """Decided, by the digest of its content. ``has``: and ``value`` is the content, which stands there.
    ``tag``: of the order of several items that it came with, where not all of them were decided with it."""

    digest: str
    has_value: bool = False
    value: Value = None
    tag: str = ""


class Forgotten(Struct, frozen=True):
    """Older than all that is known of its key: it may have been decided."""


SlotState = Vote | Decision | Forgotten


class Promised(Struct, frozen=True):
    """No lower ballot is accepted here any more. ``states``: of the numbers of which anything is known;
    ``generation``: how often this acceptor's disk has been lost."""

    states: Mapping[Slot, SlotState]
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
        self, name: str, floor: int = 0, collected_up_to: Callable[[Key], int] = lambda key: -1
    ) -> None:
        """``floor``: the ceiling as it was on disk; ``forgotten_to``: the highest version of a key whose drop
        is forgotten, or -1."""
        self.name, self.floor, self.ceiling = name, floor, floor
        self.generations: dict[str, int] = {}  # by member: how often its disk was lost, as far as is known
        self.promises: dict[Slot, Ballot] = {}
        self.votes: dict[Slot, Vote] = {}
        self.decided: dict[Key, tuple[int, Value]] = {}  # the highest version decided, by key
        self.past_digests: dict[
            Key, dict[int, str]
        ] = {}  # digests of decided versions below that, with /tag if any
        self.tags: dict[Slot, str] = {}  # of what stands, see Settled
        self.unknown_up_to: dict[
            Key, int
        ] = {}  # versions up to this may have been decided, and nobody can say
        self._collected_up_to = collected_up_to

    # What is known

    def state(self, slot: Slot) -> SlotState | None:
        kind, name, version = slot
        key = (kind, name)
        latest = self.decided.get(key)
        if latest is not None and latest[0] == version:
            return Decision(digest_of(latest[1]), True, latest[1], self.tags.get(slot, ""))
        past = self.past_digests.get(key, {})
        if version in past:
            digest, _, tag = past[version].partition("/")
            return Decision(digest, tag=tag)
        if version <= max(self._collected_up_to(key), self.unknown_up_to.get(key, -1)):
            return Forgotten()
        if len(past) >= MAX_PAST_DIGESTS and version < min(past):
            return Forgotten()
        return self.votes.get(slot)

    def highest_round(self) -> int:
        """The highest round that may have been promised or accepted here."""
        rounds = [ballot.round for ballot in self.promises.values()]
        rounds += [vote.ballot.round for vote in self.votes.values()]
        return max([self.floor, *rounds])

    # The vote

    def required_ceiling(self, round: int) -> int:
        """The ceiling to be written before that round may be promised; 0 where none is needed."""
        return 0 if round <= self.ceiling else (round // ROUND_BLOCK + 1) * ROUND_BLOCK

    def set_ceiling(self, ceiling: int) -> None:
        """That ceiling is on disk."""
        self.ceiling = max(ceiling, self.ceiling)

    def promise(self, ballot: Ballot, slots: Iterable[Slot]) -> Promised | Refusal:
        """All numbers or none. The caller has seen to ``wants``."""
        requested = list(slots)
        refusal = self._refusal(ballot, requested)
        if refusal is not None:
            return refusal
        if ballot.round > self.ceiling:
            return Refusal(0, "the ceiling on disk is lower")
        states = {slot: state for slot in requested if (state := self.state(slot)) is not None}
        for slot in requested:
            if not isinstance(states.get(slot), Decision):
                self.promises.pop(slot, None)
                self.promises[slot] = ballot
        while len(self.promises) > MAX_PROMISES:
            oldest = next(iter(self.promises))
            self.floor = max(self.floor, self.promises.pop(oldest).round)
        return Promised(states, self.generations.get(self.name, 0))

    def accept(
        self,
        ballot: Ballot,
        generations: Mapping[str, int],
        writes: Mapping[Slot, Value],
        tags: Mapping[Slot, str] | None = None,
    ) -> list[Slot] | Refusal:
        """The numbers whose votes are to be on disk before this is said. ``by``: the generations of those
        whose promises the proposer goes by: the promise of a disk that was lost since binds nobody."""
        tags = tags or {}
        refusal = self._refusal(ballot, writes)
        if refusal is not None:
            return refusal
        if any(generation < self.generations.get(name, 0) for name, generation in generations.items()):
            return Refusal(0, "a disk was lost since its promise")
        changed: list[Slot] = []
        for slot, value in writes.items():
            state = self.state(slot)
            if isinstance(state, Forgotten) or (
                isinstance(state, Decision) and state.digest != digest_of(value)
            ):
                return Refusal(0, "decided otherwise")
            if not isinstance(state, Decision):
                changed.append(slot)
        if len(self.votes) + sum(slot not in self.votes for slot in changed) > MAX_VOTES:
            return Refusal(0, f"{MAX_VOTES} votes are open")
        for slot in changed:
            self.votes[slot] = Vote(ballot, writes[slot], tags.get(slot, ""))
            self.promises.pop(slot, None)  # the vote refuses what is below it
        return changed

    def _refusal(self, ballot: Ballot, slots: Iterable[Slot]) -> Refusal | None:
        if not 0 < ballot.round < MAX_ROUND:
            return Refusal(0, f"a round is 1 to {MAX_ROUND}")
        if ballot.round <= self.floor:
            return Refusal(self.floor, "below the floor", False)
        highest = ballot
        for slot in slots:
            promised, vote = self.promises.get(slot), self.votes.get(slot)
            if promised is not None and promised > highest:
                highest = promised
            if vote is not None and vote.ballot > highest:
                highest = vote.ballot
        return Refusal(highest.round, "overtaken by a higher ballot") if highest > ballot else None

    # Decisions

    def votes_under(self, ballot: Ballot) -> dict[Slot, Value]:
        """What was accepted under that ballot and is still open."""
        return {slot: vote.value for slot, vote in self.votes.items() if vote.ballot == ballot}

    def learn(self, slot: Slot, value: Value, complete: bool = False) -> bool:
        """It is known to be decided; whether there is more to be put on disk than the item. ``whole``: all of
        the order that it came with is."""
        kind, name, version = slot
        key = (kind, name)
        vote = self.votes.pop(slot, None)
        voted = vote is not None
        if vote is not None and vote.tag and not complete and digest_of(vote.value) == digest_of(value):
            self.tags[slot] = vote.tag
        self.promises.pop(slot, None)
        latest = self.decided.get(key)
        if latest is None or version > latest[0]:
            self.decided[key] = (version, value)
            return (latest is not None and self._record_past(key, latest[0], digest_of(latest[1]))) or voted
        return (version < latest[0] and self._record_past(key, version, digest_of(value))) or voted

    def learn_state(self, slot: Slot, state: Decision | Forgotten) -> bool:
        """Another acceptor knows it to be settled, or has forgotten it; whether there is something to be put
        on disk. A content that is held here and settled so is for `settle`; one that is lacking here comes as
        an item, unless a higher version stands here already."""
        kind, name, version = slot
        key = (kind, name)
        latest, held = self.decided.get(key), self.state(slot)
        if isinstance(state, Forgotten):
            if version <= self.unknown_up_to.get(key, -1):
                return False
            self.unknown_up_to[key] = version
        elif not (held is None or isinstance(held, Vote)) or latest is None or version > latest[0]:
            return False
        else:
            self._record_past(key, version, f"{state.digest}/{state.tag}" if state.tag else state.digest)
        self.votes.pop(slot, None)
        return True

    def _record_past(self, key: Key, version: int, digest: str) -> bool:
        past = self.past_digests.setdefault(key, {})
        tag = self.tags.pop((*key, version), "")
        if version in past:
            return False
        past[version] = f"{digest}/{tag}" if tag else digest
        while len(past) > MAX_PAST_DIGESTS:
            del past[min(past)]
        return True

    def forget(self, key: Key) -> None:
        """Its drop is forgotten, up to ``forgotten_to``."""
        for table in (self.decided, self.past_digests, self.unknown_up_to):
            table.pop(key, None)
        for slot in [slot for slot in self.tags if slot[:2] == key]:
            del self.tags[slot]

    def reset(self) -> None:
        """What this disk held counts for nothing: all is to be read anew, under a fence, before it votes."""
        for table in (
            self.promises,
            self.votes,
            self.decided,
            self.past_digests,
            self.unknown_up_to,
            self.tags,
        ):
            table.clear()

    # A disk that was lost

    def fence(self, round: int, member: str, generation: int) -> None:
        """Every round up to this is refused from now on, and what ``member`` said before that generation of
        its disk counts no more. The caller has the ceiling and the generations on disk before it says so."""
        self.floor, self.ceiling = max(self.floor, round), max(self.ceiling, round)
        self.generations[member] = max(generation, self.generations.get(member, 0))


def can_fence(view: View, responders: Collection[str], member: str, tolerance: Tolerance) -> bool:
    """Whether these others of the view are enough to fence a member whose disk was lost. They are a durable
    set, so that they meet every quorum that promised, be it half of an even view; where no set of the others
    is durable, all of them: then every ballot needs the member itself, which knows its generation. Each
    quorum of a joint view holds one of the view before, so those of that are enough: who joins may wait for
    this one itself."""
    if view.previous_members is not None:
        view = View(view.epoch, view.previous_members)
    others = view.names - {member}
    if view.durable(others, tolerance):
        return view.durable(others & set(responders), tolerance)
    return bool(others) and others <= set(responders)
