"""A small model of the consensus protocol, for `statecheck`: members that vote, batches of operators that
conflict or are sent again through another process, and proposers that adopt open votes. All decisions are
made by the shipped code (`Acceptor`, `Proposer`, `View`); the model stands in for its host and the network.

Accepts and decisions arrive late, twice, in any order or never. An answer reaches its proposer or is lost. A
proposer starts a new ballot at any time or stops. A member crashes and restarts with its disk, or loses the
disk and is fenced. Decided items also spread by the pull exchange.

A state consists of ids of `InternTable` entries, and the effect of an event on the few entries that it
touches is cached: the shipped code runs some thousand times, not once for each of a million states.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import cache
from itertools import combinations
from typing import Any

from mesh.replication.acceptor import Acceptor, Ballot, Decision, Refusal, Vote, can_fence, digest_of
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Accept, Conflict, Decided, Proposer
from mesh.replication.quorum import Place, Tolerance
from rigs.order_model import frozen
from rigs.order_model.frozen import (
    AcceptorState,
    BatchState,
    FenceProgress,
    GlobalState,
    InternTable,
    Member,
    SentAccept,
    Tables,
)
from rigs.order_model.properties import Properties
from rigs.order_model.reduction import Reduction
from rigs.order_model.scenarios import LETTER_BY_DIGEST, VALUES, Batch, Scenario
from statecheck import Model, Violation
from statecheck.model import State

MEMBER_NAMES = "wxyz"


class ConsensusModel(Model):
    """``reduced``: states that differ only in what cannot matter any more are merged."""

    def __init__(self, name: str, scenario: Scenario, reduced: bool = True) -> None:
        """``name`` is used in reports only."""
        self.name, self.scenario = name, scenario
        self.names = MEMBER_NAMES[: scenario.members]
        self.view = View(1, {name: Place("", "") for name in self.names})
        self.tolerance = Tolerance(1, 0, 0)
        self.tables = Tables(InternTable(), InternTable(), InternTable(), InternTable(), InternTable())
        # The results depend on the arguments alone.
        self._cached_start = cache(self._start_ballot)
        self._cached_prepare = cache(self._prepare)
        self._cached_accept = cache(self._accept)
        self._cached_decided = cache(self._decided)
        self._cached_pull = cache(self._pull)
        self._cached_report = cache(self._report)
        self._cached_confirm = cache(self._confirm)
        self._successors: tuple[State | None, dict[Any, State]] = (None, {})
        quorums = [
            positions
            for count in range(1, len(self.names) + 1)
            for positions in combinations(range(len(self.names)), count)
            if self.view.overlaps([self.names[at] for at in positions], self.tolerance)
        ]
        self._properties = Properties(scenario, self.tables, quorums)
        self._reduction = Reduction(scenario, self.tables, self.names) if reduced else None

    # Conversion of states

    def _to_state(self, world: GlobalState) -> State:
        return (*world.members, *world.batches, *world[2:])

    def _from_state(self, state: State) -> GlobalState:
        members, batches = len(self.names), len(self.scenario.batches)
        return GlobalState(state[:members], state[members : members + batches], *state[members + batches :])

    def initial(self) -> Iterable[State]:
        """The one state in which all batches have just been sent."""
        tables, batches = self.tables, self.scenario.batches
        member = tables.members.intern(Member(True, AcceptorState(), AcceptorState()))
        states = [
            tables.batches.intern(
                BatchState("", self._new_ballot(batch_at, None, proposed.rounds[0]), proposed.rounds[1:])
            )
            for batch_at, proposed in enumerate(batches)
        ]
        world = GlobalState(
            (member,) * len(self.names),
            tuple(states),
            tables.accepts.intern(()),
            tables.chosen.intern(()),
            tables.answers.intern((frozenset(), frozenset())),
            self.scenario.crashes,
            self.scenario.wipes,
        )
        state = self._to_state(world)
        for event in self.scenario.prefix:
            state = self._apply(state, event)
        yield state

    def canonical(self, state: State) -> State:
        """See `Reduction`."""
        if self._reduction is None:
            return state
        return self._to_state(self._reduction.reduced(self._from_state(state)))

    def violations(self, _before: State | None, _event: Any, after: State) -> Iterable[Violation]:
        """See `Properties`."""
        world = self._from_state(after)
        return self._properties.broken(world.members, world.accepts, world.chosen, world.answers)

    # Events

    def events(self, state: State) -> Sequence[Any]:
        """The events that change the state."""
        world = self._from_state(state)
        members = [self.tables.members[member_id] for member_id in world.members]
        enabled = [*self._proposer_events(world, members), *self._member_events(world, members)]
        after = {event: self._apply(state, event) for event in enabled}
        self._successors = (state, after)
        return [event for event, reached in after.items() if reached != state]

    def _proposer_events(self, world: GlobalState, members: Sequence[Member]) -> list[Any]:
        arrivals = (True, False) if self.scenario.lost_answers else (True,)
        available = [member_at for member_at, member in enumerate(members) if member.disk_complete]
        found: list[Any] = []
        for batch_at, batch_id in enumerate(world.batches):
            batch = self.tables.batches[batch_id]
            if batch.outcome:
                continue
            if batch.remaining_rounds:
                found.append(("start_ballot", batch_at))
            if batch.proposer.accept is None:
                found += [
                    ("prepare", batch_at, member_at, arrives)
                    for member_at in available
                    for arrives in arrivals
                ]
        for sent in self.tables.accepts[world.accepts]:
            found += [
                ("accept", sent.ballot, member_at, arrives) for member_at in available for arrives in arrivals
            ]
        for ballot, complete in self.tables.chosen[world.chosen]:
            found += [("decided", ballot, member_at, complete) for member_at in available]
        return found

    def _member_events(self, world: GlobalState, members: Sequence[Member]) -> list[Any]:
        found: list[Any] = []
        all_complete = all(member.disk_complete for member in members)
        for member_at, member in enumerate(members):
            if member.disk_complete and world.crashes:
                found.append(("crash", member_at))
            if all_complete and world.wipes:
                found.append(("wipe", member_at))
            if member.disk_complete and self.scenario.dissemination and member.acceptor.decided:
                found += [("pull", member_at, other) for other in range(len(members)) if other != member_at]
            if member.fence is not None:
                step = "confirm" if member.fence.target else "report"
                answered = {*member.fence.confirmed, *(name for name, _, _ in member.fence.reports)}
                found += [
                    (step, member_at, peer_at)
                    for peer_at, name in enumerate(self.names)
                    if peer_at != member_at and members[peer_at].disk_complete and name not in answered
                ]
        return found

    # Transitions

    def step(self, state: State, event: Any) -> State:
        """The next state, taken from the last call of `events` if that was for the same state."""
        last, after = self._successors
        return after[event] if last is state and event in after else self._apply(state, event)

    def _apply(self, state: State, event: Any) -> State:
        world = self._from_state(state)
        return self._to_state(getattr(self, f"_on_{event[0]}")(world, *event[1:]))

    def _on_start_ballot(self, world: GlobalState, batch_at: int) -> GlobalState:
        return world._replace(
            batches=_replaced(world.batches, batch_at, self._cached_start(batch_at, world.batches[batch_at]))
        )

    def _start_ballot(self, batch_at: int, batch_id: int) -> int:
        batch = self.tables.batches[batch_id]
        proposer = self._new_ballot(batch_at, batch.proposer, batch.remaining_rounds[0])
        return self.tables.batches.intern(BatchState("", proposer, batch.remaining_rounds[1:]))

    def _on_prepare(self, world: GlobalState, batch_at: int, member_at: int, arrives: bool) -> GlobalState:
        member_id, batch_id, sent = self._cached_prepare(
            batch_at, world.batches[batch_at], member_at, world.members[member_at], arrives
        )
        after = self._with_results(world, batch_at, batch_id, member_at, member_id)
        if sent is None:
            return after
        accepts = tuple(sorted({*self.tables.accepts[world.accepts], sent}))
        return after._replace(accepts=self.tables.accepts.intern(accepts))

    def _prepare(
        self, batch_at: int, batch_id: int, member_at: int, member_id: int, arrives: bool
    ) -> tuple[int, int, SentAccept | None]:
        """Returns the new ids of the member and the batch, and the accept that was sent."""
        batch: BatchState = self.tables.batches[batch_id]
        proposer, acceptor = self._proposer(batch_at, batch), self._acceptor(member_at, member_id)
        if acceptor.required_ceiling(proposer.ballot.round):
            acceptor.set_ceiling(proposer.ballot.round)
        answer = acceptor.promise(proposer.ballot, proposer._open_slots())
        new_member = self._persist(member_id, acceptor, ("ceiling",))
        if not arrives or isinstance(answer, Refusal):  # the host may start a new ballot at any time
            return new_member, batch_id, None
        step = proposer.promised(self.names[member_at], 1, proposer.ballot, answer)
        after = batch._replace(proposer=frozen.freeze_proposer(proposer))
        if not isinstance(step, Accept):
            return new_member, self.tables.batches.intern(after._replace(outcome=_outcome(step))), None
        writes = tuple(sorted((slot, LETTER_BY_DIGEST[digest_of(v)]) for slot, v in step.writes.items()))
        ballot, tags = (step.ballot.round, step.ballot.proposer), tuple(sorted(step.tags.items()))
        sent = SentAccept(ballot, tuple(sorted(step.generations.items())), writes, tags)
        return new_member, self.tables.batches.intern(after), sent

    def _on_accept(
        self, world: GlobalState, ballot: tuple[int, str], member_at: int, arrives: bool
    ) -> GlobalState:
        batch_at = int(ballot[1][1:])
        sent = next(sent for sent in self.tables.accepts[world.accepts] if sent.ballot == ballot)
        member_id, batch_id, found = self._cached_accept(
            batch_at, world.batches[batch_at], member_at, world.members[member_at], arrives, sent
        )
        after = self._with_results(world, batch_at, batch_id, member_at, member_id)
        if not found:
            return after
        chosen = tuple(sorted({*self.tables.chosen[world.chosen], *found}))
        return after._replace(chosen=self.tables.chosen.intern(chosen))

    def _accept(
        self, batch_at: int, batch_id: int, member_at: int, member_id: int, arrives: bool, sent: SentAccept
    ) -> tuple[int, int, tuple[Any, ...]]:
        """Returns the new ids of the member and the batch, and the ballot that was chosen by this answer."""
        batch: BatchState = self.tables.batches[batch_id]
        proposer, acceptor = self._proposer(batch_at, batch), self._acceptor(member_at, member_id)
        ballot = Ballot(*sent.ballot)
        writes = {slot: VALUES[letter] for slot, letter in sent.writes}
        answer = acceptor.accept(ballot, dict(sent.generations), writes, dict(sent.tags))
        new_member = self._persist(member_id, acceptor, ("votes", "all"))
        if not arrives or isinstance(answer, Refusal):
            return new_member, batch_id, ()
        chosen = proposer.accepted(self.names[member_at], 1, ballot)
        outcome = batch.outcome or _outcome(proposer.outcome() if chosen is not None else None)
        after = BatchState(outcome, frozen.freeze_proposer(proposer), batch.remaining_rounds)
        found = ((sent.ballot, chosen.complete),) if chosen is not None else ()
        return new_member, self.tables.batches.intern(after), found

    def _with_results(
        self, world: GlobalState, batch_at: int, batch_id: int, member_at: int, member_id: int
    ) -> GlobalState:
        """Replaces the member and the batch, and records the outcome that the operator is told."""
        after = world._replace(
            members=_replaced(world.members, member_at, member_id),
            batches=_replaced(world.batches, batch_at, batch_id),
        )
        outcome, proposed = self.tables.batches[batch_id].outcome, self.scenario.batches[batch_at]
        if not outcome:
            return after
        acknowledged, refused = self.tables.answers[world.answers]
        if outcome == "decided" and proposed.letter:
            acknowledged |= {(proposed.letter, proposed.slots)}
        elif outcome == "conflict":
            refused |= {(proposed.letter, proposed.slots)}
        return after._replace(answers=self.tables.answers.intern((acknowledged, refused)))

    def _on_decided(
        self, world: GlobalState, ballot: tuple[int, str], member_at: int, complete: bool
    ) -> GlobalState:
        member_id = self._cached_decided(world.members[member_at], ballot, complete)
        return world._replace(members=_replaced(world.members, member_at, member_id))

    def _decided(self, member_id: int, ballot: tuple[int, str], complete: bool) -> int:
        acceptor = self._acceptor(0, member_id)
        for slot, value in acceptor.votes_under(Ballot(*ballot)).items():
            acceptor.learn(slot, value, complete)
        return self._persist(member_id, acceptor, ())

    def _on_pull(self, world: GlobalState, source: int, target: int) -> GlobalState:
        if not self.tables.members[world.members[target]].disk_complete:
            return world
        member_id = self._cached_pull(world.members[source], world.members[target])
        return world._replace(members=_replaced(world.members, target, member_id))

    def _pull(self, source: int, target: int) -> int:
        known, acceptor = self._acceptor(0, source), self._acceptor(0, target)
        for (kind, name), (version, value) in known.decided.items():
            if version >= acceptor.decided.get((kind, name), (-1, None))[0]:
                acceptor.learn((kind, name, version), value)
        return self._persist(target, acceptor, ())

    def _on_crash(self, world: GlobalState, member_at: int) -> GlobalState:
        member = self.tables.members[world.members[member_at]]
        after = self.tables.members.intern(member._replace(acceptor=frozen.restarted(member.disk)))
        return world._replace(members=_replaced(world.members, member_at, after), crashes=world.crashes - 1)

    # Lost disks

    def _on_wipe(self, world: GlobalState, member_at: int) -> GlobalState:
        wiped = self.tables.members.intern(Member(False, AcceptorState(), AcceptorState(), FenceProgress()))
        return world._replace(members=_replaced(world.members, member_at, wiped), wipes=world.wipes - 1)

    def _on_report(self, world: GlobalState, member_at: int, peer_at: int) -> GlobalState:
        member_id = self._cached_report(member_at, world.members[member_at], peer_at, world.members[peer_at])
        return world._replace(members=_replaced(world.members, member_at, member_id))

    def _report(self, member_at: int, member_id: int, peer_at: int, peer_id: int) -> int:
        member, peer = self.tables.members[member_id], self._acceptor(peer_at, peer_id)
        report = (self.names[peer_at], peer.highest_round(), peer.generations.get(self.names[member_at], 0))
        fence = member.fence._replace(reports=tuple(sorted({*member.fence.reports, report})))
        if can_fence(
            self.view, {name for name, _, _ in fence.reports}, self.names[member_at], self.tolerance
        ):
            top = max(top for _, top, _ in fence.reports)
            fence = FenceProgress(target=(top, 1 + max(known for _, _, known in fence.reports)))
        return self.tables.members.intern(member._replace(fence=fence))

    def _on_confirm(self, world: GlobalState, member_at: int, peer_at: int) -> GlobalState:
        member_id, fenced = self._cached_confirm(
            member_at, world.members[member_at], peer_at, world.members[peer_at]
        )
        return world._replace(
            members=_replaced(_replaced(world.members, member_at, member_id), peer_at, fenced)
        )

    def _confirm(self, member_at: int, member_id: int, peer_at: int, peer_id: int) -> tuple[int, int]:
        member = self.tables.members[member_id]
        own_name, peer_name = self.names[member_at], self.names[peer_at]
        round, generation = member.fence.target
        peer, own = self._acceptor(peer_at, peer_id), self._acceptor(member_at, member_id)
        peer.fence(round, own_name, generation)
        _copy_state(own, peer)
        confirmed = tuple(sorted({*member.fence.confirmed, peer_name}))
        if can_fence(self.view, set(confirmed), own_name, self.tolerance):
            own.fence(round, own_name, generation)
            acceptor = frozen.freeze_acceptor(own)
            after = Member(True, acceptor, acceptor if member.disk is not None else None)
        else:
            after = member._replace(
                acceptor=frozen.freeze_acceptor(own), fence=member.fence._replace(confirmed=confirmed)
            )
        return self.tables.members.intern(after), self._persist(peer_id, peer, ("ceiling", "all"))

    # Objects of the shipped code

    def _new_ballot(
        self, batch_at: int, before: frozen.ProposerState | None, round: int
    ) -> frozen.ProposerState:
        proposer = self._new_proposer(batch_at)
        if before is not None:
            frozen.thaw_proposer(proposer, before, self.view)
        proposer.prepare(round, self.view)
        return frozen.freeze_proposer(proposer)

    def _new_proposer(self, batch_at: int) -> Proposer:
        proposed: Batch = self.scenario.batches[batch_at]
        writes = dict.fromkeys(proposed.slots, VALUES.get(proposed.letter))
        return Proposer(f"p{batch_at}", writes, self.tolerance, adopts=not proposed.letter)

    def _proposer(self, batch_at: int, batch: BatchState) -> Proposer:
        return frozen.thaw_proposer(self._new_proposer(batch_at), batch.proposer, self.view)

    def _acceptor(self, member_at: int, member_id: int) -> Acceptor:
        return frozen.thaw_acceptor(self.names[member_at], self.tables.members[member_id].acceptor)

    def _persist(self, member_id: int, acceptor: Acceptor, written: Sequence[str]) -> int:
        after = frozen.persisted(self.tables.members[member_id], frozen.freeze_acceptor(acceptor), written)
        return self.tables.members.intern(after)


def _copy_state(own: Acceptor, peer: Acceptor) -> None:
    """Copies the state of a peer to a member whose disk was lost."""
    for (kind, key), (version, value) in peer.decided.items():
        own.learn((kind, key, version), value)
    for (kind, key), digests in peer.past_digests.items():
        for version, entry in digests.items():
            digest, _, tag = entry.partition("/")
            own.learn_state((kind, key, version), Decision(digest, tag=tag))
    own.tags.update(peer.tags)
    for slot, vote in peer.votes.items():
        held = own.state(slot)
        if held is None or (isinstance(held, Vote) and held.ballot < vote.ballot):
            own.votes[slot] = vote


def _replaced(ids: tuple[int, ...], position: int, id: int) -> tuple[int, ...]:
    return (*ids[:position], id, *ids[position + 1 :])


def _outcome(step: Any) -> str:
    if isinstance(step, Decided):
        return "decided"
    return "conflict" if isinstance(step, Conflict) else ""
