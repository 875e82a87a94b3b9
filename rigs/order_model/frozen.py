"""The shipped `Acceptor` and `Proposer` as values that can be compared, and back."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from mesh.replication.acceptor import Acceptor, Ballot, Slot, Value, Vote, digest_of
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Accept, Proposer
from rigs.order_model.sizes import CONTENTS, LETTERS

FrozenBallot = tuple[int, str]
Names = Mapping[str, str]  # a member's new name by its old one


class Memory(NamedTuple):
    """An acceptor's fields."""

    floor: int = 0
    ceiling: int = 0
    promises: tuple[tuple[Slot, FrozenBallot], ...] = ()
    votes: tuple[tuple[Slot, FrozenBallot, str, str], ...] = ()  # the content's letter, the tag
    decided: tuple[Any, ...] = ()
    past: tuple[Any, ...] = ()
    unknown: tuple[Any, ...] = ()
    generations: tuple[tuple[str, int], ...] = ()
    tags: tuple[Any, ...] = ()


class Fence(NamedTuple):
    """How far a member is on the way back from a lost disk: what the others told first, then the round and
    the generation of the fence, and who has raised it."""

    tops: tuple[tuple[str, int, int], ...] = ()  # name, highest round, generation known of the lost one
    raised_to: tuple[int, ...] = ()
    raised: tuple[str, ...] = ()


class Side(NamedTuple):
    """One member. ``disk``: what it would come back with; none where nobody crashes any more."""

    whole: bool
    memory: Memory
    disk: Memory | None
    fence: Fence | None = None


class FrozenProposer(NamedTuple):
    """A proposer's fields, as far as they make a difference."""

    ballot: FrozenBallot
    accept: tuple[tuple[Slot, str], ...] | None
    settled: tuple[tuple[Slot, str], ...]
    in_force: tuple[Slot, ...]
    knew: bool
    promises: tuple[tuple[str, int], ...]  # looked at until an accept goes out, as the next one is
    votes: tuple[tuple[Slot, FrozenBallot, str, str], ...]
    blank: tuple[Slot, ...]
    own_found: bool
    have: tuple[str, ...]


class Asking(NamedTuple):
    """One order: how it ended ("": not yet), its proposer, the rounds that it may still begin."""

    outcome: str
    proposer: FrozenProposer
    rounds: tuple[int, ...]


class Sent(NamedTuple):
    """An accept that is under way for ever; ``by``: the generations of those who promised."""

    ballot: FrozenBallot
    by: tuple[tuple[str, int], ...]
    rows: tuple[tuple[Slot, str], ...]
    tags: tuple[tuple[Slot, str], ...]


class Table:
    """Each distinct value once, by number, and what follows from values once: a state is then a few small
    numbers, which are cheap to compare and to look up."""

    def __init__(self) -> None:
        """It holds nothing yet."""
        self._numbers: dict[Hashable, int] = {}
        self._values: list[Any] = []

    def number(self, value: Hashable) -> int:
        """The number of a value, a new one where it was not there yet."""
        found = self._numbers.get(value)
        if found is None:
            found = self._numbers[value] = len(self._values)
            self._values.append(value)
        return found

    def __getitem__(self, number: int) -> Any:
        """The value of that number."""
        return self._values[number]


class World(NamedTuple):
    """A state's parts: numbers of entries in the model's tables, and how many crashes and wipes are left."""

    sides: tuple[int, ...]
    asking: tuple[int, ...]
    accepts: int
    chosen: int
    answers: int
    crashes: int
    wipes: int


class Tables(NamedTuple):
    """What the numbers in states stand for."""

    sides: Table  # of Side
    asking: Table  # of Asking
    accepts: Table  # of tuples of Sent, sorted
    chosen: Table  # of tuples of (ballot, whether all of its order is decided with it), sorted
    answers: Table  # of (orders acknowledged, orders refused for a rival), both frozen sets


def freeze_acceptor(one: Acceptor) -> Memory:
    """All that makes a difference in an acceptor."""
    return Memory(
        one.floor,
        one.ceiling,
        tuple(sorted((number, (b.round, b.proposer)) for number, b in one.promises.items())),
        _frozen_votes(one.votes),
        tuple(
            sorted((key, version, LETTERS[digest_of(value)]) for key, (version, value) in one.decided.items())
        ),
        tuple(
            sorted(
                (key, tuple(sorted(digests.items()))) for key, digests in one.past_digests.items() if digests
            )
        ),
        tuple(sorted(one.unknown_up_to.items())),
        tuple(sorted(one.generations.items())),
        tuple(sorted(one.tags.items())),
    )


def thaw_acceptor(name: str, memory: Memory) -> Acceptor:
    """An acceptor with that memory."""
    one = Acceptor(name)
    one.floor, one.ceiling = memory.floor, memory.ceiling
    one.promises = {number: Ballot(*ballot) for number, ballot in memory.promises}
    one.votes = _thawed_votes(memory.votes)
    one.decided = {key: (version, CONTENTS[letter]) for key, version, letter in memory.decided}
    one.past_digests = {key: dict(digests) for key, digests in memory.past}
    one.unknown_up_to, one.generations = dict(memory.unknown), dict(memory.generations)
    one.tags = dict(memory.tags)
    return one


def freeze_proposer(one: Proposer) -> FrozenProposer:
    """All that makes a difference in a proposer."""
    accept = one._accept
    writes = {} if accept is None else accept.writes
    return FrozenProposer(
        (one.ballot.round, one.ballot.proposer),
        None if accept is None else tuple(sorted((n, LETTERS[digest_of(v)]) for n, v in writes.items())),
        tuple(sorted(one.decided_digests.items())),
        tuple(sorted(one._own_decided)),
        one._conflict_was_known,
        tuple(sorted(one._promises.items())) if accept is None else (),
        _frozen_votes(one._votes) if accept is None else (),
        tuple(sorted(one._empty_slots)),
        one._own_vote_found,
        tuple(sorted(one._accepted_by)),
    )


def thaw_proposer(one: Proposer, frozen: FrozenProposer, view: View) -> Proposer:
    """``one``: as it was made, without a ballot."""
    one.ballot, one.view = Ballot(*frozen.ballot), view
    one.decided_digests, one._own_decided, one._conflict_was_known = (
        dict(frozen.settled),
        set(frozen.in_force),
        frozen.knew,
    )
    one._promises, one._votes = dict(frozen.promises), _thawed_votes(frozen.votes)
    one._empty_slots, one._own_vote_found, one._accepted_by = (
        set(frozen.blank),
        frozen.own_found,
        set(frozen.have),
    )
    if frozen.accept is not None:
        writes: Mapping[Slot, Value] = {number: CONTENTS[letter] for number, letter in frozen.accept}
        one._accept = Accept(one.ballot, view.epoch, dict(one._promises), writes, {})
    return one


def kept(side: Side, memory: Memory, parts: Sequence[str]) -> Side:
    """``parts``: what the host has on disk before the member says anything."""
    disk = side.disk
    if disk is None:
        pass  # nobody crashes any more
    elif "all" in parts:  # a batch takes along what was decided and not written yet
        disk = memory
    elif "ceiling" in parts:
        disk = disk._replace(ceiling=memory.ceiling)
    return side._replace(memory=memory, disk=disk)


def restarted(disk: Memory) -> Memory:
    """The next life: it refuses all rounds up to the ceiling that it finds."""
    one = Acceptor("", disk.ceiling)
    return disk._replace(floor=one.floor, ceiling=one.ceiling, promises=())


# Members under other names


def renamed_side(side: Side, new: Names) -> Side:
    """The same, where members are called otherwise."""
    memory = _renamed_memory(side.memory, new)
    disk = None if side.disk is None else _renamed_memory(side.disk, new)
    fence = side.fence
    if fence is not None:
        tops = tuple(sorted((new[name], top, known) for name, top, known in fence.tops))
        fence = Fence(tops, fence.raised_to, _renamed_names(fence.raised, new))
    return Side(side.whole, memory, disk, fence)


def renamed_asking(asking: Asking, new: Names) -> Asking:
    """The same, where members are called otherwise."""
    proposer = asking.proposer
    proposer = proposer._replace(
        promises=_renamed_counts(proposer.promises, new), have=_renamed_names(proposer.have, new)
    )
    return asking._replace(proposer=proposer)


def renamed_accepts(accepts: tuple[Sent, ...], new: Names) -> tuple[Sent, ...]:
    """The same, where members are called otherwise, sorted."""
    return tuple(sorted(sent._replace(by=_renamed_counts(sent.by, new)) for sent in accepts))


def _renamed_memory(memory: Memory, new: Names) -> Memory:
    return memory._replace(generations=_renamed_counts(memory.generations, new))


def _renamed_counts(told: Iterable[tuple[str, int]], new: Names) -> tuple[tuple[str, int], ...]:
    return tuple(sorted((new[name], number) for name, number in told))


def _renamed_names(told: Iterable[str], new: Names) -> tuple[str, ...]:
    return tuple(sorted(new[name] for name in told))


def _frozen_votes(votes: Mapping[Slot, Vote]) -> tuple[tuple[Slot, FrozenBallot, str, str], ...]:
    return tuple(
        sorted(
            (n, (v.ballot.round, v.ballot.proposer), LETTERS[digest_of(v.value)], v.tag)
            for n, v in votes.items()
        )
    )


def _thawed_votes(votes: Iterable[tuple[Slot, FrozenBallot, str, str]]) -> dict[Slot, Vote]:
    return {n: Vote(Ballot(*ballot), CONTENTS[letter], tag) for n, ballot, letter, tag in votes}
