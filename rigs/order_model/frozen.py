"""Conversion of the shipped `Acceptor` and `Proposer` to comparable values and back."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from mesh.replication.acceptor import Acceptor, Ballot, Slot, Value, Vote, digest_of
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Accept, Proposer
from rigs.order_model.scenarios import LETTER_BY_DIGEST, VALUES

FrozenBallot = tuple[int, str]
NewNames = Mapping[str, str]  # of members, by their old names


class AcceptorState(NamedTuple):
    """The fields of an `Acceptor`."""

    floor: int = 0
    ceiling: int = 0
    promises: tuple[tuple[Slot, FrozenBallot], ...] = ()
    votes: tuple[tuple[Slot, FrozenBallot, str, str], ...] = ()  # slot, ballot, letter of the value, tag
    decided: tuple[Any, ...] = ()
    past_digests: tuple[Any, ...] = ()
    unknown_up_to: tuple[Any, ...] = ()
    generations: tuple[tuple[str, int], ...] = ()
    tags: tuple[Any, ...] = ()


class FenceProgress(NamedTuple):
    """Progress of a member that recovers from a lost disk: first the reports of the others, then the round
    and the generation of the fence (``target``), and the members that confirmed it."""

    reports: tuple[tuple[str, int, int], ...] = ()  # name, highest round, known generation of the lost disk
    target: tuple[int, ...] = ()
    confirmed: tuple[str, ...] = ()


class Member(NamedTuple):
    """One member. ``disk``: the state that it would restart with; None if no crash is left."""

    disk_complete: bool
    acceptor: AcceptorState
    disk: AcceptorState | None
    fence: FenceProgress | None = None


class ProposerState(NamedTuple):
    """The fields of a `Proposer` that can affect its behaviour."""

    ballot: FrozenBallot
    accept: tuple[tuple[Slot, str], ...] | None
    decided_digests: tuple[tuple[Slot, str], ...]
    own_decided: tuple[Slot, ...]
    conflict_was_known: bool
    promises: tuple[tuple[str, int], ...]  # empty once the accept is sent, and so are ``votes``
    votes: tuple[tuple[Slot, FrozenBallot, str, str], ...]
    empty_slots: tuple[Slot, ...]
    own_vote_found: bool
    accepted_by: tuple[str, ...]


class BatchState(NamedTuple):
    """One batch: its outcome (empty while open), its proposer, and the rounds that it may still start."""

    outcome: str
    proposer: ProposerState
    remaining_rounds: tuple[int, ...]


class SentAccept(NamedTuple):
    """An accept that may be delivered at any time from now on; ``generations``: those of the promising
    members."""

    ballot: FrozenBallot
    generations: tuple[tuple[str, int], ...]
    writes: tuple[tuple[Slot, str], ...]
    tags: tuple[tuple[Slot, str], ...]


class InternTable:
    """Stores each distinct value once under an integer id, so that a state is a few small integers, which
    are cheap to compare and to look up."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._ids: dict[Hashable, int] = {}
        self._values: list[Any] = []

    def intern(self, value: Hashable) -> int:
        """The id of a value, a new one if it was not stored yet."""
        found = self._ids.get(value)
        if found is None:
            found = self._ids[value] = len(self._values)
            self._values.append(value)
        return found

    def __getitem__(self, id: int) -> Any:
        """The value with that id."""
        return self._values[id]


class GlobalState(NamedTuple):
    """The parts of a state: ids of entries in the tables, and how many crashes and wipes are left."""

    members: tuple[int, ...]
    batches: tuple[int, ...]
    accepts: int
    chosen: int
    answers: int
    crashes: int
    wipes: int


class Tables(NamedTuple):
    """The values that the ids in states stand for."""

    members: InternTable  # of Member
    batches: InternTable  # of BatchState
    accepts: InternTable  # of tuples of SentAccept, sorted
    chosen: InternTable  # of tuples of (ballot, whether its whole batch is decided with it), sorted
    answers: InternTable  # of (batches acknowledged, batches refused for a conflict), both frozen sets


def freeze_acceptor(acceptor: Acceptor) -> AcceptorState:
    """Everything that can affect the behaviour of an acceptor."""
    return AcceptorState(
        acceptor.floor,
        acceptor.ceiling,
        tuple(sorted((slot, (b.round, b.proposer)) for slot, b in acceptor.promises.items())),
        _freeze_votes(acceptor.votes),
        tuple(
            sorted(
                (key, version, LETTER_BY_DIGEST[digest_of(value)])
                for key, (version, value) in acceptor.decided.items()
            )
        ),
        tuple(
            sorted(
                (key, tuple(sorted(digests.items())))
                for key, digests in acceptor.past_digests.items()
                if digests
            )
        ),
        tuple(sorted(acceptor.unknown_up_to.items())),
        tuple(sorted(acceptor.generations.items())),
        tuple(sorted(acceptor.tags.items())),
    )


def thaw_acceptor(name: str, state: AcceptorState) -> Acceptor:
    """Creates an acceptor in that state."""
    acceptor = Acceptor(name)
    acceptor.floor, acceptor.ceiling = state.floor, state.ceiling
    acceptor.promises = {slot: Ballot(*ballot) for slot, ballot in state.promises}
    acceptor.votes = _thaw_votes(state.votes)
    acceptor.decided = {key: (version, VALUES[letter]) for key, version, letter in state.decided}
    acceptor.past_digests = {key: dict(digests) for key, digests in state.past_digests}
    acceptor.unknown_up_to, acceptor.generations = dict(state.unknown_up_to), dict(state.generations)
    acceptor.tags = dict(state.tags)
    return acceptor


def freeze_proposer(proposer: Proposer) -> ProposerState:
    """Everything that can affect the behaviour of a proposer."""
    accept = proposer._accept
    writes = {} if accept is None else accept.writes
    return ProposerState(
        (proposer.ballot.round, proposer.ballot.proposer),
        None
        if accept is None
        else tuple(sorted((slot, LETTER_BY_DIGEST[digest_of(value)]) for slot, value in writes.items())),
        tuple(sorted(proposer.decided_digests.items())),
        tuple(sorted(proposer._own_decided)),
        proposer._conflict_was_known,
        tuple(sorted(proposer._promises.items())) if accept is None else (),
        _freeze_votes(proposer._votes) if accept is None else (),
        tuple(sorted(proposer._empty_slots)),
        proposer._own_vote_found,
        tuple(sorted(proposer._accepted_by)),
    )


def thaw_proposer(proposer: Proposer, state: ProposerState, view: View) -> Proposer:
    """Puts ``proposer``, a new proposer without a ballot, into that state."""
    proposer.ballot, proposer.view = Ballot(*state.ballot), view
    proposer.decided_digests, proposer._own_decided, proposer._conflict_was_known = (
        dict(state.decided_digests),
        set(state.own_decided),
        state.conflict_was_known,
    )
    proposer._promises, proposer._votes = dict(state.promises), _thaw_votes(state.votes)
    proposer._empty_slots, proposer._own_vote_found, proposer._accepted_by = (
        set(state.empty_slots),
        state.own_vote_found,
        set(state.accepted_by),
    )
    if state.accept is not None:
        writes: Mapping[Slot, Value] = {slot: VALUES[letter] for slot, letter in state.accept}
        proposer._accept = Accept(proposer.ballot, view.epoch, dict(proposer._promises), writes, {})
    return proposer


def persisted(member: Member, acceptor: AcceptorState, written: Sequence[str]) -> Member:
    """The member after its host wrote these parts of its state to disk, before it sends its answer."""
    disk = member.disk
    if disk is None:
        pass  # no crash is left
    elif "all" in written:  # the batch of a write includes decisions that were not written yet
        disk = acceptor
    elif "ceiling" in written:
        disk = disk._replace(ceiling=acceptor.ceiling)
    return member._replace(acceptor=acceptor, disk=disk)


def restarted(disk: AcceptorState) -> AcceptorState:
    """The state of the next incarnation, which refuses all rounds up to the ceiling found on disk."""
    acceptor = Acceptor("", disk.ceiling)
    return disk._replace(floor=acceptor.floor, ceiling=acceptor.ceiling, promises=())


# Renaming of members


def renamed_member(member: Member, new_names: NewNames) -> Member:
    """The same value with the members renamed."""
    acceptor = _renamed_acceptor(member.acceptor, new_names)
    disk = None if member.disk is None else _renamed_acceptor(member.disk, new_names)
    fence = member.fence
    if fence is not None:
        reports = tuple(sorted((new_names[name], top, known) for name, top, known in fence.reports))
        fence = FenceProgress(reports, fence.target, _renamed_names(fence.confirmed, new_names))
    return Member(member.disk_complete, acceptor, disk, fence)


def renamed_batch(batch: BatchState, new_names: NewNames) -> BatchState:
    """The same value with the members renamed."""
    proposer = batch.proposer
    proposer = proposer._replace(
        promises=_renamed_generations(proposer.promises, new_names),
        accepted_by=_renamed_names(proposer.accepted_by, new_names),
    )
    return batch._replace(proposer=proposer)


def renamed_accepts(accepts: tuple[SentAccept, ...], new_names: NewNames) -> tuple[SentAccept, ...]:
    """The same accepts with the members renamed, sorted."""
    return tuple(
        sorted(
            sent._replace(generations=_renamed_generations(sent.generations, new_names)) for sent in accepts
        )
    )


def _renamed_acceptor(acceptor: AcceptorState, new_names: NewNames) -> AcceptorState:
    return acceptor._replace(generations=_renamed_generations(acceptor.generations, new_names))


def _renamed_generations(
    pairs: Iterable[tuple[str, int]], new_names: NewNames
) -> tuple[tuple[str, int], ...]:
    return tuple(sorted((new_names[name], generation) for name, generation in pairs))


def _renamed_names(names: Iterable[str], new_names: NewNames) -> tuple[str, ...]:
    return tuple(sorted(new_names[name] for name in names))


def _freeze_votes(votes: Mapping[Slot, Vote]) -> tuple[tuple[Slot, FrozenBallot, str, str], ...]:
    return tuple(
        sorted(
            (
                slot,
                (vote.ballot.round, vote.ballot.proposer),
                LETTER_BY_DIGEST[digest_of(vote.value)],
                vote.tag,
            )
            for slot, vote in votes.items()
        )
    )


def _thaw_votes(votes: Iterable[tuple[Slot, FrozenBallot, str, str]]) -> dict[Slot, Vote]:
    return {slot: Vote(Ballot(*ballot), VALUES[letter], tag) for slot, ballot, letter, tag in votes}
