"""Orders in the small, for `statecheck`: members that vote, operators' orders that rival each other or are
sent again to another process, votes that somebody takes up. What decides is the shipped code (`Acceptor`,
`Proposer`, `View`); the model is its host and its surroundings.

Accepts and decisions arrive late, twice, in any order or never; an answer reaches its proposer or is lost
(one that is late is one whose proposer acts late); a proposer begins a ballot anew at any time, or is not
heard of any more. A member crashes and comes back with its disk (what was decided and not written yet is an open
vote again), or loses the disk and comes back by the fence. Decided items also travel from one member to
another as news.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from typing import Any, NamedTuple

from statecheck import Model, Violation
from statecheck.model import State
from waterworks.aquifer.ballot import (
    Accept,
    Acceptor,
    Ballot,
    Chosen,
    Decided,
    Number,
    Promised,
    Proposer,
    Refusal,
    Rivalled,
    Settled,
    Value,
    Vote,
    digest_of,
)
from waterworks.aquifer.quorum import Place, Tolerance
from waterworks.aquifer.views import View

CONTENTS: dict[str, Value] = {letter: {"by": letter} for letter in "abc"}
LETTERS = {digest_of(value): letter for letter, value in CONTENTS.items()}
ONE, TWO = ("route", "1", 1), ("route", "2", 1)
NEWER = ("route", "1", 2)  # overtakes ONE


class Order(NamedTuple):
    """One proposer: the content it was sent under these numbers, and the rounds of the ballots that it may
    begin. ``letter`` "": it takes open votes up."""

    letter: str
    numbers: tuple[Number, ...]
    rounds: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Size:
    orders: tuple[Order, ...]
    members: int = 3
    crashes: int = 0
    wipes: int = 0
    news: bool = False
    lost: bool = True  # answers may be lost


class Side(NamedTuple):
    """One member. ``disk``: what it would come back with; ``fence``: how far it is on the way back from a
    lost disk: tops and generations heard, then the fence and who has raised it."""

    whole: bool
    memory: tuple[Any, ...]
    disk: tuple[Any, ...]
    fence: tuple[Any, ...] = ()


class Orders(Model):
    def __init__(self, name: str, size: Size) -> None:
        self.name, self.size = name, size
        self.names = "wxyz"[: size.members]
        self.view = View(1, {one: Place("", "") for one in self.names})
        self.tolerance = Tolerance(1, 0, 0)
        self._steps: tuple[Any, dict[Any, State]] = (None, {})
        self.quorums = [
            among
            for count in range(1, len(self.names) + 1)
            for among in combinations(range(len(self.names)), count)
            if self.view.overlaps([self.names[at] for at in among], self.tolerance)
        ]

    def initial(self) -> Iterable[State]:
        empty = (0, 0, (), (), (), (), (), ())
        sides = tuple(Side(True, empty, empty) for _ in self.names)
        asking = tuple(("", self._cold(order), order.rounds) for order in self.size.orders)
        # Members; proposers (outcome, state, rounds left); accepts sent; ballots chosen; orders acknowledged,
        # and refused; crashes and wipes left.
        yield (sides, asking, (), (), frozenset(), frozenset(), (self.size.crashes, self.size.wipes))

    def _cold(self, order: Order) -> tuple[Any, ...]:
        return _freeze(self._proposer(order))

    def _proposer(self, order: Order) -> Proposer:
        at = self.size.orders.index(order)
        writes = dict.fromkeys(order.numbers, CONTENTS.get(order.letter))
        return Proposer(f"p{at}", writes, self.tolerance, adopts=not order.letter)

    def _warm(self, at: int, frozen: tuple[Any, ...]) -> Proposer:
        return _thaw(self._proposer(self.size.orders[at]), frozen, self.view)

    def canonical(self, state: State) -> State:
        """Members have no names of their own: they are put in the order of what they hold. A disk that
        nothing can be read back from any more makes no difference."""
        sides, asking, accepts, chosen, acked, refused, (crashes, wipes) = state
        if not crashes:
            sides = tuple(side._replace(disk=()) for side in sides)
        marks = [
            (
                tuple((name in dict(frozen[5]), name in frozen[9]) for _, frozen, _ in asking),
                tuple(name in dict(by) for _, by, _ in accepts),
                sides[z],
            )
            for z, name in enumerate(self.names)
        ]
        order = sorted(range(len(sides)), key=lambda z: marks[z])
        if order == list(range(len(sides))):
            return (sides, asking, accepts, chosen, acked, refused, (crashes, wipes))
        new = {self.names[old]: self.names[at] for at, old in enumerate(order)}
        sides = tuple(_renamed(sides[z], new) for z in order)
        asking = tuple(
            (outcome, (*frozen[:5], _names(frozen[5], new), *frozen[6:9], _name_set(frozen[9], new)), rounds)
            for outcome, frozen, rounds in asking
        )
        accepts = tuple(sorted((ballot, _names(by, new), rows) for ballot, by, rows in accepts))
        return (sides, asking, accepts, chosen, acked, refused, (crashes, wipes))

    # What can happen

    def events(self, state: State) -> Sequence[Any]:
        sides, asking, accepts, chosen, _, _, (crashes, wipes) = state
        found: list[Any] = []
        heard = (True, False) if self.size.lost else (True,)
        for at, (outcome, frozen, left) in enumerate(asking):
            if left and not outcome:
                found.append(("begin", at))
            if not outcome and frozen[0][0] and frozen[1] is None:
                found += [("prepare", at, z, ok) for z in range(len(sides)) if sides[z].whole for ok in heard]
        for ballot, _, _ in accepts:
            found += [("accept", ballot, z, ok) for z in range(len(sides)) if sides[z].whole for ok in heard]
        for ballot in chosen:
            found += [("decided", ballot, z) for z in range(len(sides)) if sides[z].whole]
        for z, side in enumerate(sides):
            if side.whole and crashes:
                found.append(("crash", z))
            if side.whole and wipes and all(one.whole for one in sides):
                found.append(("wipe", z))
            if side.whole and self.size.news and side.memory[4]:
                found += [("news", z, other) for other in range(len(sides)) if other != z]
            if not side.whole:
                tops, fence, raised = side.fence
                step, had = ("raise", raised) if fence else ("top", [name for name, _, _ in tops])
                found += [
                    (step, z, f)
                    for f, name in enumerate(self.names)
                    if f != z and sides[f].whole and name not in had
                ]
        self._steps = (state, {event: self._after(state, event) for event in found})
        return [event for event, after in self._steps[1].items() if after != state]

    # Steps

    def step(self, state: State, event: Any) -> State:
        known, steps = self._steps
        return steps[event] if known is state and event in steps else self._after(state, event)

    def _after(self, state: State, event: Any) -> State:
        sides, asking, accepts, chosen, acked, refused, left = state
        sides, asking = list(sides), list(asking)
        what = event[0]
        if what == "begin":
            outcome, frozen, rounds = asking[event[1]]
            proposer = self._warm(event[1], frozen)
            proposer.prepare(rounds[0], self.view)
            asking[event[1]] = (outcome, _freeze(proposer), rounds[1:])
        elif what == "prepare":
            _, at, z, heard = event
            proposer = self._warm(at, asking[at][1])
            acceptor = self._acceptor(z, sides[z])
            if acceptor.wants(proposer.ballot.round):
                acceptor.raised(proposer.ballot.round)
            answer = acceptor.promise(proposer.ballot, proposer._open())
            sides[z] = self._kept(z, sides[z], acceptor, ("ceiling",))
            if heard:
                accepts, acked, refused = self._heard(
                    at, z, proposer, answer, asking, accepts, acked, refused
                )
        elif what == "accept":
            _, ballot, z, heard = event
            _, by, rows = next(one for one in accepts if one[0] == ballot)
            acceptor = self._acceptor(z, sides[z])
            writes = {number: CONTENTS[letter] for number, letter in rows}
            answer = acceptor.accept(Ballot(*ballot), dict(by), writes)
            sides[z] = self._kept(z, sides[z], acceptor, ("votes", "all"))
            if heard:
                at = int(ballot[1][1:])
                proposer = self._warm(at, asking[at][1])
                chosen, acked, refused = self._told(
                    at, z, proposer, Ballot(*ballot), answer, asking, chosen, acked, refused
                )
        elif what == "decided":
            acceptor = self._acceptor(event[2], sides[event[2]])
            for number, value in acceptor.at(Ballot(*event[1])).items():
                acceptor.settle(number, value)
            sides[event[2]] = self._kept(event[2], sides[event[2]], acceptor, ())
        elif what == "news":
            giver, taker = (
                self._acceptor(event[1], sides[event[1]]),
                self._acceptor(event[2], sides[event[2]]),
            )
            if sides[event[2]].whole:
                for (kind, name), (version, value) in giver.decided.items():
                    if version >= taker.decided.get((kind, name), (-1, None))[0]:
                        taker.settle((kind, name, version), value)
                sides[event[2]] = self._kept(event[2], sides[event[2]], taker, ())
        elif what == "crash":
            left = (left[0] - 1, left[1])
            side = sides[event[1]]
            sides[event[1]] = side._replace(memory=_restarted(side.disk))
        elif what == "wipe":
            left = (left[0], left[1] - 1)
            empty = (0, 0, (), (), (), (), (), ())
            sides[event[1]] = Side(False, empty, empty, self._lost())
        else:
            self._back(what, event[1], event[2], sides)
        return (tuple(sides), tuple(asking), accepts, chosen, acked, refused, left)

    def _heard(
        self,
        at: int,
        z: int,
        proposer: Proposer,
        answer: Promised | Refusal,
        asking: list[Any],
        accepts: Any,
        acked: Any,
        refused: Any,
    ) -> tuple[Any, Any, Any]:
        outcome, _, rounds = asking[at]
        if not isinstance(answer, Refusal):  # the host begins anew where it likes
            step = proposer.promised(self.names[z], 1, proposer.ballot, answer)
            if isinstance(step, Accept):
                rows = tuple(sorted((n, LETTERS[digest_of(v)]) for n, v in step.writes.items()))
                ballot = (step.ballot.round, step.ballot.proposer)
                accepts = tuple(sorted({*accepts, (ballot, tuple(sorted(step.by.items())), rows)}))
            else:
                outcome, acked, refused = self._over(at, step, acked, refused)
        asking[at] = (outcome, _freeze(proposer), rounds)
        return accepts, acked, refused

    def _told(
        self,
        at: int,
        z: int,
        proposer: Proposer,
        ballot: Ballot,
        answer: list[Number] | Refusal,
        asking: list[Any],
        chosen: Any,
        acked: Any,
        refused: Any,
    ) -> tuple[Any, Any, Any]:
        outcome, _, rounds = asking[at]
        if not isinstance(answer, Refusal):
            found = proposer.accepted(self.names[z], 1, ballot)
            if isinstance(found, Chosen):
                chosen = tuple(sorted({*chosen, (found.ballot.round, found.ballot.proposer)}))
                if not outcome:
                    outcome, acked, refused = self._over(at, proposer.outcome(), acked, refused)
        asking[at] = (outcome, _freeze(proposer), rounds)
        return chosen, acked, refused

    def _over(self, at: int, step: Any, acked: Any, refused: Any) -> tuple[str, Any, Any]:
        order = self.size.orders[at]
        if isinstance(step, Decided):
            return "decided", acked | ({(order.letter, order.numbers)} if order.letter else set()), refused
        if isinstance(step, Rivalled):
            return "rivalled", acked, refused | {(order.letter, order.numbers)}
        return "", acked, refused

    def _acceptor(self, z: int, side: Side) -> Acceptor:
        return _acceptor(self.names[z], side.memory)

    def _kept(self, z: int, side: Side, acceptor: Acceptor, parts: Sequence[str]) -> Side:
        """``parts``: what the host has on disk before the member says anything."""
        memory = _frozen(acceptor)
        disk = side.disk
        if not disk:
            pass  # nobody crashes any more
        elif "all" in parts:  # a batch takes along what was decided and not written yet
            disk = memory
        elif "ceiling" in parts:
            disk = (disk[0], memory[1], *disk[2:])
        return side._replace(memory=memory, disk=disk)

    # A disk that was lost

    def _lost(self) -> tuple[Any, ...]:
        return ((), (), ())

    def _back(self, what: str, z: int, f: int, sides: list[Any]) -> None:
        tops, fence, raised = sides[z].fence
        other = self._acceptor(f, sides[f])
        name, mine = self.names[f], self.names[z]
        if what == "top":
            tops = tuple(sorted({*tops, (name, other.top(), other.generations.get(mine, 0))}))
            if self._enough({one for one, _, _ in tops}, z):
                fence = (max(top for _, top, _ in tops), 1 + max(known for _, _, known in tops))
                tops = ()
            sides[z] = sides[z]._replace(fence=(tops, fence, raised))
            return
        other.fence(fence[0], mine, fence[1])
        sides[f] = self._kept(f, sides[f], other, ("ceiling", "all"))
        back = self._acceptor(z, sides[z])
        for (kind, key), (version, value) in other.decided.items():
            back.settle((kind, key, version), value)
        for (kind, key), digests in other.past.items():
            for version, digest in digests.items():
                back.told((kind, key, version), Settled(digest))
        for number, vote in other.votes.items():
            held = back.state(number)
            if held is None or (isinstance(held, Vote) and held.ballot < vote.ballot):
                back.votes[number] = vote
        raised = tuple(sorted({*raised, name}))
        if self._enough(set(raised), z):
            back.fence(fence[0], mine, fence[1])
            memory = _frozen(back)
            sides[z] = Side(True, memory, memory if sides[z].disk else ())
        else:
            sides[z] = Side(False, _frozen(back), sides[z].disk, (tops, fence, raised))

    def _enough(self, heard: set[str], z: int) -> bool:
        """As `Fencing._enough` has it."""
        others = set(self.names) - {self.names[z]}
        if self.view.durable(others, self.tolerance):
            return self.view.durable(heard, self.tolerance)
        return heard >= others

    # What must hold

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        sides, asking, _, _, acked, refused, _ = after
        numbers = {number for order in self.size.orders for number in order.numbers}
        acceptors = [self._acceptor(z, side) for z, side in enumerate(sides)]
        for number in numbers:
            contents = {letter for letter, among in acked if number in among}
            if len(contents) > 1:
                yield Violation("one content", f"{number}: {sorted(contents)} are both acknowledged")
            known = {
                LETTERS[state.digest] for one in acceptors if isinstance(state := one.state(number), Settled)
            }
            if len(known) > 1:
                yield Violation("one decision", f"{number} is decided as {sorted(known)}")
            for letter, among in refused:
                if number in among and letter in known | contents:
                    yield Violation("409", f"{number}: {letter} was refused for a rival and is in force")
            for letter in contents:
                yield from self._found(number, letter, sides, acceptors)
        for letter, among in acked & refused:
            yield Violation("both answers", f"order {letter} of {among} was acknowledged and refused")

    def _found(
        self, number: Number, letter: str, sides: Sequence[Side], acceptors: Sequence[Acceptor]
    ) -> Iterable[Violation]:
        """Whatever quorum asks next meets it, or a newer one decided, as what it must take."""
        for among in self.quorums:
            if not all(sides[z].whole for z in among):
                continue
            states = [state for z in among if (state := acceptors[z].state(number)) is not None]
            settled = [LETTERS[state.digest] for state in states if isinstance(state, Settled)]
            votes = [state for state in states if isinstance(state, Vote)]
            if settled:
                met = settled[0]
            elif votes:
                met = LETTERS[digest_of(max(votes, key=lambda vote: vote.ballot).value)]
            else:
                met = "none"
            if met != letter:
                yield Violation("found", f"{number}: {letter} is acknowledged, {among} meet {met}")


# Frozen forms. An acceptor: floor, ceiling, promises, votes, decided, past, unknown, generations.


def _frozen(one: Acceptor) -> tuple[Any, ...]:
    return (
        one.floor,
        one.ceiling,
        tuple(sorted((number, (b.round, b.proposer)) for number, b in one.promises.items())),
        _frozen_votes(one.votes),
        tuple(
            sorted((key, version, LETTERS[digest_of(value)]) for key, (version, value) in one.decided.items())
        ),
        tuple(sorted((key, tuple(sorted(digests.items()))) for key, digests in one.past.items() if digests)),
        tuple(sorted(one.unknown.items())),
        tuple(sorted(one.generations.items())),
    )


def _acceptor(name: str, frozen: tuple[Any, ...]) -> Acceptor:
    floor, ceiling, promises, votes, decided, past, unknown, generations = frozen
    one = Acceptor(name)
    one.floor, one.ceiling = floor, ceiling
    one.promises = {number: Ballot(*ballot) for number, ballot in promises}
    one.votes = {number: Vote(Ballot(*ballot), CONTENTS[letter]) for number, ballot, letter in votes}
    one.decided = {key: (version, CONTENTS[letter]) for key, version, letter in decided}
    one.past = {key: dict(digests) for key, digests in past}
    one.unknown, one.generations = dict(unknown), dict(generations)
    return one


def _names(told: Iterable[tuple[str, int]], new: Mapping[str, str]) -> tuple[tuple[str, int], ...]:
    return tuple(sorted((new[name], number) for name, number in told))


def _name_set(told: Iterable[str], new: Mapping[str, str]) -> tuple[str, ...]:
    return tuple(sorted(new[name] for name in told))


def _renamed(side: Side, new: Mapping[str, str]) -> Side:
    memory = (*side.memory[:7], _names(side.memory[7], new))
    disk = (*side.disk[:7], _names(side.disk[7], new)) if side.disk else ()
    fence: tuple[Any, ...] = ()
    if side.fence:
        tops, raised_to, raised = side.fence
        told = tuple(sorted((new[name], top, known) for name, top, known in tops))
        fence = (told, raised_to, _name_set(raised, new))
    return Side(side.whole, memory, disk, fence)


def _restarted(disk: tuple[Any, ...]) -> tuple[Any, ...]:
    """The next life: it refuses all rounds up to the ceiling that it finds."""
    one = Acceptor("", disk[1])
    return (one.floor, one.ceiling, (), *disk[3:])


def _freeze(one: Proposer) -> tuple[Any, ...]:
    accept = one._accept
    writes = {} if accept is None else accept.writes
    return (
        (one.ballot.round, one.ballot.proposer),
        None if accept is None else tuple(sorted((n, LETTERS[digest_of(v)]) for n, v in writes.items())),
        tuple(sorted(one.settled.items())),
        one.sent_own,
        one._knew,
        tuple(sorted(one._promises.items())) if accept is None else (),  # looked at until an accept goes out
        _frozen_votes(one._votes) if accept is None else (),
        tuple(sorted(one._blank)),
        one._own_found,
        tuple(sorted(one._have)),
    )


def _frozen_votes(votes: Mapping[Number, Vote]) -> tuple[Any, ...]:
    return tuple(
        sorted(
            (n, (v.ballot.round, v.ballot.proposer), LETTERS[digest_of(v.value)]) for n, v in votes.items()
        )
    )


def _thaw(one: Proposer, frozen: tuple[Any, ...], view: View) -> Proposer:
    ballot, accept, settled, sent, knew, promises, votes, blank, found, have = frozen
    one.ballot, one.view = Ballot(*ballot), view
    one.settled, one.sent_own, one._knew = dict(settled), sent, knew
    one._promises = dict(promises)
    one._votes = {n: Vote(Ballot(*b), CONTENTS[letter]) for n, b, letter in votes}
    one._blank, one._own_found, one._have = set(blank), found, set(have)
    if accept is not None:
        writes: Mapping[Number, Value] = {number: CONTENTS[letter] for number, letter in accept}
        one._accept = Accept(one.ballot, view.epoch, dict(one._promises), writes)
    return one


A, B = Order("a", (ONE,), (1,)), Order("b", (ONE,), (2,))
SIZES = {
    "two orders": Size((A, B)),
}
