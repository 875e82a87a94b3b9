"""Orders in the small, for `statecheck`: members that vote, operators' orders that rival each other or are
sent again to another process, votes that somebody takes up. What decides is the shipped code (`Acceptor`,
`Proposer`, `View`); the model is its host and its surroundings.

Accepts and decisions arrive late, twice, in any order or never. An answer reaches its proposer or is lost. A
proposer begins a ballot anew at any time, or is not heard of any more. A member crashes and comes back with
its disk, or loses it and is fenced. Decided items also travel as news.

A state holds numbers of `Table` entries, and what an event does to the few of them that it touches is worked
out once: the shipped code runs some thousands of times, not at each of a million states.
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
from rigs.order_model.frozen import Asking, Fence, Memory, Sent, Side, Table, Tables, World
from rigs.order_model.properties import Properties
from rigs.order_model.reduction import Reduction
from rigs.order_model.sizes import CONTENTS, LETTERS, Order, Size
from statecheck import Model, Violation
from statecheck.model import State

NAMES = "wxyz"  # of members


class Orders(Model):
    """``reduced``: states that differ in nothing that can still matter are taken for one."""

    def __init__(self, name: str, size: Size, reduced: bool = True) -> None:
        """``name``: for reports; what is explored is the size."""
        self.name, self.size = name, size
        self.names = NAMES[: size.members]
        self.view = View(1, {one: Place("", "") for one in self.names})
        self.tolerance = Tolerance(1, 0, 0)
        self.tables = Tables(Table(), Table(), Table(), Table(), Table())
        # What depends on nothing but these numbers is worked out once.
        self._on_begun = cache(self._begin)
        self._on_prepared = cache(self._prepare)
        self._on_accepted = cache(self._accept)
        self._on_settled = cache(self._decided)
        self._on_told = cache(self._news)
        self._on_topped = cache(self._top)
        self._on_raised = cache(self._raise)
        self._known: tuple[State | None, dict[Any, State]] = (None, {})
        quorums = [
            among
            for count in range(1, len(self.names) + 1)
            for among in combinations(range(len(self.names)), count)
            if self.view.overlaps([self.names[at] for at in among], self.tolerance)
        ]
        self._properties = Properties(size, self.tables, quorums)
        self._reduction = Reduction(size, self.tables, self.names) if reduced else None

    # A state as it is stored, and with names

    def _stored(self, world: World) -> State:
        return (*world.sides, *world.asking, *world[2:])

    def _world(self, state: State) -> World:
        members, orders = len(self.names), len(self.size.orders)
        return World(state[:members], state[members : members + orders], *state[members + orders :])

    def initial(self) -> Iterable[State]:
        """The one state in which all orders have just been sent."""
        tables, orders = self.tables, self.size.orders
        side = tables.sides.number(Side(True, Memory(), Memory()))
        asking = [
            tables.asking.number(Asking("", self._begun(at, None, order.rounds[0]), order.rounds[1:]))
            for at, order in enumerate(orders)
        ]
        world = World(
            (side,) * len(self.names),
            tuple(asking),
            tables.accepts.number(()),
            tables.chosen.number(()),
            tables.answers.number((frozenset(), frozenset())),
            self.size.crashes,
            self.size.wipes,
        )
        state = self._stored(world)
        for event in self.size.begun:
            state = self._after(state, event)
        yield state

    def canonical(self, state: State) -> State:
        """See `Reduction`."""
        if self._reduction is None:
            return state
        return self._stored(self._reduction.reduced(self._world(state)))

    def violations(self, _before: State | None, _event: Any, after: State) -> Iterable[Violation]:
        """See `Properties`."""
        world = self._world(after)
        return self._properties.broken(world.sides, world.accepts, world.chosen, world.answers)

    # What can happen

    def events(self, state: State) -> Sequence[Any]:
        """Only those that change something."""
        world = self._world(state)
        sides = [self.tables.sides[number] for number in world.sides]
        found = [*self._proposers_events(world, sides), *self._members_events(world, sides)]
        after = {event: self._after(state, event) for event in found}
        self._known = (state, after)
        return [event for event, reached in after.items() if reached != state]

    def _proposers_events(self, world: World, sides: Sequence[Side]) -> list[Any]:
        heard = (True, False) if self.size.lost else (True,)
        whole = [z for z, side in enumerate(sides) if side.whole]
        found: list[Any] = []
        for at, number in enumerate(world.asking):
            asking = self.tables.asking[number]
            if asking.outcome:
                continue
            if asking.rounds:
                found.append(("begin", at))
            if asking.proposer.accept is None:
                found += [("prepare", at, z, ok) for z in whole for ok in heard]
        for sent in self.tables.accepts[world.accepts]:
            found += [("accept", sent.ballot, z, ok) for z in whole for ok in heard]
        for ballot, all_of_it in self.tables.chosen[world.chosen]:
            found += [("decided", ballot, z, all_of_it) for z in whole]
        return found

    def _members_events(self, world: World, sides: Sequence[Side]) -> list[Any]:
        found: list[Any] = []
        all_whole = all(side.whole for side in sides)
        for z, side in enumerate(sides):
            if side.whole and world.crashes:
                found.append(("crash", z))
            if all_whole and world.wipes:
                found.append(("wipe", z))
            if side.whole and self.size.news and side.memory.decided:
                found += [("news", z, other) for other in range(len(sides)) if other != z]
            if side.fence is not None:
                step = "raise" if side.fence.raised_to else "top"
                had = {*side.fence.raised, *(name for name, _, _ in side.fence.tops)}
                found += [
                    (step, z, f)
                    for f, name in enumerate(self.names)
                    if f != z and sides[f].whole and name not in had
                ]
        return found

    # Steps

    def step(self, state: State, event: Any) -> State:
        """What `events` has worked out, for the state that it was asked for last."""
        known, after = self._known
        return after[event] if known is state and event in after else self._after(state, event)

    def _after(self, state: State, event: Any) -> State:
        world = self._world(state)
        return self._stored(getattr(self, f"_on_{event[0]}")(world, *event[1:]))

    def _on_begin(self, world: World, at: int) -> World:
        return world._replace(asking=_with(world.asking, at, self._on_begun(at, world.asking[at])))

    def _begin(self, at: int, number: int) -> int:
        asking = self.tables.asking[number]
        begun = self._begun(at, asking.proposer, asking.rounds[0])
        return self.tables.asking.number(Asking("", begun, asking.rounds[1:]))

    def _on_prepare(self, world: World, at: int, z: int, heard: bool) -> World:
        side, asking, sent = self._on_prepared(at, world.asking[at], z, world.sides[z], heard)
        after = self._answered(world, at, asking, z, side)
        if sent is None:
            return after
        accepts = tuple(sorted({*self.tables.accepts[world.accepts], sent}))
        return after._replace(accepts=self.tables.accepts.number(accepts))

    def _prepare(self, at: int, number: int, z: int, side: int, heard: bool) -> tuple[int, int, Sent | None]:
        """The member and the order after it, and the accept that went out."""
        asking: Asking = self.tables.asking[number]
        proposer, acceptor = self._proposer(at, asking), self._acceptor(z, side)
        if acceptor.required_ceiling(proposer.ballot.round):
            acceptor.set_ceiling(proposer.ballot.round)
        answer = acceptor.promise(proposer.ballot, proposer._open_slots())
        kept = self._kept(side, acceptor, ("ceiling",))
        if not heard or isinstance(answer, Refusal):  # the host begins anew where it likes
            return kept, number, None
        step = proposer.promised(self.names[z], 1, proposer.ballot, answer)
        after = asking._replace(proposer=frozen.freeze_proposer(proposer))
        if not isinstance(step, Accept):
            return kept, self.tables.asking.number(after._replace(outcome=_ended(step))), None
        rows = tuple(sorted((n, LETTERS[digest_of(v)]) for n, v in step.writes.items()))
        ballot, tags = (step.ballot.round, step.ballot.proposer), tuple(sorted(step.tags.items()))
        sent = Sent(ballot, tuple(sorted(step.generations.items())), rows, tags)
        return kept, self.tables.asking.number(after), sent

    def _on_accept(self, world: World, ballot: tuple[int, str], z: int, heard: bool) -> World:
        at = int(ballot[1][1:])
        sent = next(one for one in self.tables.accepts[world.accepts] if one.ballot == ballot)
        side, asking, found = self._on_accepted(at, world.asking[at], z, world.sides[z], heard, sent)
        after = self._answered(world, at, asking, z, side)
        if not found:
            return after
        chosen = tuple(sorted({*self.tables.chosen[world.chosen], *found}))
        return after._replace(chosen=self.tables.chosen.number(chosen))

    def _accept(
        self, at: int, number: int, z: int, side: int, heard: bool, sent: Sent
    ) -> tuple[int, int, tuple[Any, ...]]:
        """The member and the order after it, and the ballot that was chosen by it."""
        asking: Asking = self.tables.asking[number]
        proposer, acceptor, ballot = self._proposer(at, asking), self._acceptor(z, side), Ballot(*sent.ballot)
        writes = {number: CONTENTS[letter] for number, letter in sent.rows}
        answer = acceptor.accept(ballot, dict(sent.by), writes, dict(sent.tags))
        kept = self._kept(side, acceptor, ("votes", "all"))
        if not heard or isinstance(answer, Refusal):
            return kept, number, ()
        chosen = proposer.accepted(self.names[z], 1, ballot)
        outcome = asking.outcome or _ended(proposer.outcome() if chosen is not None else None)
        after = Asking(outcome, frozen.freeze_proposer(proposer), asking.rounds)
        found = ((sent.ballot, chosen.complete),) if chosen is not None else ()
        return kept, self.tables.asking.number(after), found

    def _answered(self, world: World, at: int, asking: int, z: int, side: int) -> World:
        """The member and the order are these; the operator hears how it ended."""
        after = world._replace(sides=_with(world.sides, z, side), asking=_with(world.asking, at, asking))
        outcome, order = self.tables.asking[asking].outcome, self.size.orders[at]
        if not outcome:
            return after
        acked, refused = self.tables.answers[world.answers]
        if outcome == "decided" and order.letter:
            acked |= {(order.letter, order.numbers)}
        elif outcome == "rivalled":
            refused |= {(order.letter, order.numbers)}
        return after._replace(answers=self.tables.answers.number((acked, refused)))

    def _on_decided(self, world: World, ballot: tuple[int, str], z: int, whole: bool) -> World:
        side = self._on_settled(world.sides[z], ballot, whole)
        return world._replace(sides=_with(world.sides, z, side))

    def _decided(self, side: int, ballot: tuple[int, str], whole: bool) -> int:
        acceptor = self._acceptor(0, side)
        for number, value in acceptor.votes_under(Ballot(*ballot)).items():
            acceptor.learn(number, value, whole)
        return self._kept(side, acceptor, ())

    def _on_news(self, world: World, giver: int, taker: int) -> World:
        if not self.tables.sides[world.sides[taker]].whole:
            return world
        side = self._on_told(world.sides[giver], world.sides[taker])
        return world._replace(sides=_with(world.sides, taker, side))

    def _news(self, giver: int, taker: int) -> int:
        known, acceptor = self._acceptor(0, giver), self._acceptor(0, taker)
        for (kind, name), (version, value) in known.decided.items():
            if version >= acceptor.decided.get((kind, name), (-1, None))[0]:
                acceptor.learn((kind, name, version), value)
        return self._kept(taker, acceptor, ())

    def _on_crash(self, world: World, z: int) -> World:
        side = self.tables.sides[world.sides[z]]
        after = self.tables.sides.number(side._replace(memory=frozen.restarted(side.disk)))
        return world._replace(sides=_with(world.sides, z, after), crashes=world.crashes - 1)

    # A disk that was lost

    def _on_wipe(self, world: World, z: int) -> World:
        lost = self.tables.sides.number(Side(False, Memory(), Memory(), Fence()))
        return world._replace(sides=_with(world.sides, z, lost), wipes=world.wipes - 1)

    def _on_top(self, world: World, z: int, f: int) -> World:
        side = self._on_topped(z, world.sides[z], f, world.sides[f])
        return world._replace(sides=_with(world.sides, z, side))

    def _top(self, z: int, lost: int, f: int, giver: int) -> int:
        side, other = self.tables.sides[lost], self._acceptor(f, giver)
        told = (self.names[f], other.highest_round(), other.generations.get(self.names[z], 0))
        fence = side.fence._replace(tops=tuple(sorted({*side.fence.tops, told})))
        if can_fence(self.view, {name for name, _, _ in fence.tops}, self.names[z], self.tolerance):
            top = max(top for _, top, _ in fence.tops)
            fence = Fence(raised_to=(top, 1 + max(known for _, _, known in fence.tops)))
        return self.tables.sides.number(side._replace(fence=fence))

    def _on_raise(self, world: World, z: int, f: int) -> World:
        back, fenced = self._on_raised(z, world.sides[z], f, world.sides[f])
        return world._replace(sides=_with(_with(world.sides, z, back), f, fenced))

    def _raise(self, z: int, lost: int, f: int, giver: int) -> tuple[int, int]:
        side, mine, name = self.tables.sides[lost], self.names[z], self.names[f]
        round, generation = side.fence.raised_to
        other, back = self._acceptor(f, giver), self._acceptor(z, lost)
        other.fence(round, mine, generation)
        _read_back(back, other)
        raised = tuple(sorted({*side.fence.raised, name}))
        if can_fence(self.view, set(raised), mine, self.tolerance):
            back.fence(round, mine, generation)
            memory = frozen.freeze_acceptor(back)
            after = Side(True, memory, memory if side.disk is not None else None)
        else:
            after = side._replace(
                memory=frozen.freeze_acceptor(back), fence=side.fence._replace(raised=raised)
            )
        return self.tables.sides.number(after), self._kept(giver, other, ("ceiling", "all"))

    # The shipped code

    def _begun(self, at: int, before: frozen.FrozenProposer | None, round: int) -> frozen.FrozenProposer:
        proposer = self._cold(at)
        if before is not None:
            frozen.thaw_proposer(proposer, before, self.view)
        proposer.prepare(round, self.view)
        return frozen.freeze_proposer(proposer)

    def _cold(self, at: int) -> Proposer:
        order: Order = self.size.orders[at]
        writes = dict.fromkeys(order.numbers, CONTENTS.get(order.letter))
        return Proposer(f"p{at}", writes, self.tolerance, adopts=not order.letter)

    def _proposer(self, at: int, asking: Asking) -> Proposer:
        return frozen.thaw_proposer(self._cold(at), asking.proposer, self.view)

    def _acceptor(self, z: int, side: int) -> Acceptor:
        return frozen.thaw_acceptor(self.names[z], self.tables.sides[side].memory)

    def _kept(self, side: int, acceptor: Acceptor, parts: Sequence[str]) -> int:
        after = frozen.kept(self.tables.sides[side], frozen.freeze_acceptor(acceptor), parts)
        return self.tables.sides.number(after)


def _read_back(back: Acceptor, other: Acceptor) -> None:
    """What another holds, to a disk that was lost."""
    for (kind, key), (version, value) in other.decided.items():
        back.learn((kind, key, version), value)
    for (kind, key), digests in other.past_digests.items():
        for version, told in digests.items():
            digest, _, tag = told.partition("/")
            back.learn_state((kind, key, version), Decision(digest, tag=tag))
    back.tags.update(other.tags)
    for number, vote in other.votes.items():
        held = back.state(number)
        if held is None or (isinstance(held, Vote) and held.ballot < vote.ballot):
            back.votes[number] = vote


def _with(numbers: tuple[int, ...], at: int, number: int) -> tuple[int, ...]:
    return (*numbers[:at], number, *numbers[at + 1 :])


def _ended(step: Any) -> str:
    if isinstance(step, Decided):
        return "decided"
    return "rivalled" if isinstance(step, Conflict) else ""
