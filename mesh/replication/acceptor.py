"""The acceptor: for each (kind, name, version) one of the proposed values is chosen. No I/O.

Single-decree Paxos for each slot (Lamport, "The part-time parliament", 1998), kept as a register for each key
without leader or log (Rystsov, "CASPaxos", 2018). A batch of several items is voted on under one ballot, all
or nothing at each acceptor. docs/design/control.md has the argument and the alternatives.
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
Value = Mapping[str, Any] | None  # None: the item is deleted

ROUND_BLOCK = 1 << 16  # rounds by which the ceiling on disk rises
MAX_ROUND = 1 << 52
MAX_PROMISES = 40_000  # slots; twice the size of the largest batch
MAX_VOTES = 40_000
MAX_PAST_DIGESTS = 64  # superseded versions of one key whose digests are kept


class Ballot(Struct, frozen=True, order=True):
    """``proposer``: one incarnation of one process, which uses each round once."""

    round: int
    proposer: str


class Vote(Struct, frozen=True):
    """Accepted here, not known to be decided. ``tag``: of the batch of several items that it belongs to."""

    ballot: Ballot
    value: Value
    tag: str = ""


class Decision(Struct, frozen=True):
    """A decided value, by its digest. ``has_value``: ``value`` is the decided content. ``tag``: of the batch
    of several items that it came with, if not all of them were decided with it."""

    digest: str
    has_value: bool = False
    value: Value = None
    tag: str = ""


class Forgotten(Struct, frozen=True):
    """The slot is older than everything known of its key: it may have been decided."""


SlotState = Vote | Decision | Forgotten


class Promised(Struct, frozen=True):
    """No lower ballot is accepted here any more. ``states``: of the slots with any known state;
    ``generation``: how often this acceptor's disk has been lost."""

    states: Mapping[Slot, SlotState]
    generation: int


class Refusal(Struct, frozen=True):
    """``round``: a higher ballot may succeed; 0 if the round is not the reason. ``contended``: another
    proposer is active, or an immediate retry would fare no better."""

    round: int
    reason: str
    contended: bool = True


def digest_of(value: Value) -> str:
    """The digest of a value: 32 hex digits over its canonical encoding, as in `items.canonical_content`."""
    return blake2b(msgspec.json.encode(value, order="deterministic"), digest_size=16).hexdigest()


class Acceptor:
    """One member's acceptor. Its answers count once ``votes``, ``past_digests``, ``ceiling`` and
    ``generations`` are on disk as they were at that time; promises are kept in memory only.

    A round above ``ceiling`` may be promised only after a higher ceiling is on disk; the next incarnation
    refuses all rounds up to it, and thus everything that this one refused.
    """

    def __init__(
        self, name: str, floor: int = 0, collected_up_to: Callable[[Key], int] = lambda key: -1
    ) -> None:
        """``floor``: the ceiling as read from disk; ``collected_up_to``: the highest version of a key whose
        tombstone was collected, or -1."""
        self.name, self.floor, self.ceiling = name, floor, floor
        self.generations: dict[str, int] = {}  # by member: known losses of its disk
        self.promises: dict[Slot, Ballot] = {}
        self.votes: dict[Slot, Vote] = {}
        self.decided: dict[Key, tuple[int, Value]] = {}  # the highest version decided, by key
        self.past_digests: dict[Key, dict[int, str]] = {}  # of lower decided versions, with any /tag
        self.tags: dict[Slot, str] = {}  # of latest decisions, see Decision
        self.unknown_up_to: dict[Key, int] = {}  # versions up to this may have been decided
        self._collected_up_to = collected_up_to

    # State

    def state(self, slot: Slot) -> SlotState | None:
        """The known state of that slot; None if nothing is known."""
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

    # Votes

    def required_ceiling(self, round: int) -> int:
        """The ceiling that must be on disk before that round may be promised; 0 if none is needed."""
        return 0 if round <= self.ceiling else (round // ROUND_BLOCK + 1) * ROUND_BLOCK

    def set_ceiling(self, ceiling: int) -> None:
        """Records that this ceiling is on disk."""
        self.ceiling = max(ceiling, self.ceiling)

    def promise(self, ballot: Ballot, slots: Iterable[Slot]) -> Promised | Refusal:
        """Promises all slots or none. The caller has ensured ``required_ceiling``."""
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
        """Accepts all writes or none; returns the slots whose votes must be on disk before the acceptance is
        sent. ``generations``: those of the promises that the proposer relies on; the promise of a disk that
        has been lost since is void."""
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
            self.promises.pop(slot, None)  # the vote refuses lower ballots
        return changed

    def _refusal(self, ballot: Ballot, slots: Iterable[Slot]) -> Refusal | None:
        if not 0 < ballot.round < MAX_ROUND:
            return Refusal(0, f"a round must be 1 to {MAX_ROUND}")
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
        """The values accepted under that ballot that are still undecided."""
        return {slot: vote.value for slot, vote in self.votes.items() if vote.ballot == ballot}

    def learn(self, slot: Slot, value: Value, complete: bool = False) -> bool:
        """Records a decision; returns whether more than the item has to be written to disk. ``complete``: the
        whole batch of the item is decided."""
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
        """Records that another acceptor holds a decision or has forgotten the slot; returns whether something
        has to be written to disk. A decided value that is held here is passed to `learn`; one that is missing
        arrives as an item, unless a higher version is already decided here."""
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
        """Discards the state of a key whose tombstone was collected, up to ``collected_up_to``."""
        for table in (self.decided, self.past_digests, self.unknown_up_to):
            table.pop(key, None)
        for slot in [slot for slot in self.tags if slot[:2] == key]:
            del self.tags[slot]

    def reset(self) -> None:
        """Discards everything that this disk held; it is read again, under a fence, before this acceptor
        votes."""
        for table in (
            self.promises,
            self.votes,
            self.decided,
            self.past_digests,
            self.unknown_up_to,
            self.tags,
        ):
            table.clear()

    # Lost disks

    def fence(self, round: int, member: str, generation: int) -> None:
        """Refuses every round up to this from now on, and voids what ``member`` promised before that
        generation of its disk. The caller writes the ceiling and the generations to disk before it confirms
        the fence."""
        self.floor, self.ceiling = max(self.floor, round), max(self.ceiling, round)
        self.generations[member] = max(generation, self.generations.get(member, 0))


def can_fence(view: View, responders: Collection[str], member: str, tolerance: Tolerance) -> bool:
    """Whether these responders are enough to fence a member whose disk was lost. They must be a durable set
    of the other members, so that they overlap every quorum that promised, even half of an even view. If no
    set of the others is durable, all of them are needed: then every ballot needs the member itself, which
    knows its generation. Every quorum of a joint view contains one of the previous view, so those of the
    previous view are enough: a joining member may be waiting for this one."""
    if view.previous_members is not None:
        view = View(view.epoch, view.previous_members)
    others = view.names - {member}
    if view.durable(others, tolerance):
        return view.durable(others & set(responders), tolerance)
    return bool(others) and others <= set(responders)
