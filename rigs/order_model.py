"""Orders in the small, for `statecheck`: members that vote, operators' orders that rival each other or are
sent again to another process, votes that somebody takes up. What decides is the shipped code (`Acceptor`,
`Proposer`, `View`); the model is its host and its surroundings.

Accepts and decisions arrive late, twice, in any order or never. An answer reaches its proposer or is lost. A
proposer begins a ballot anew at any time, or is not heard of any more. A member crashes and comes back with
its disk, or loses it and is fenced. Decided items also travel as news."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from typing import Any, NamedTuple

from mesh.replication.acceptor import (
    Acceptor,
    Ballot,
    Number,
    Refusal,
    Settled,
    Value,
    Vote,
    digest_of,
    fenced_by,
)
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Accept, Decided, Proposer, Rivalled
from mesh.replication.quorum import Place, Tolerance
from statecheck import Model, Violation
from statecheck.model import State

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
    begun: tuple[Any, ...] = ()  # events that all that is explored begins with


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
        self._made: dict[Any, Any] = {}
        self._steps: tuple[Any, dict[Any, State]] = (None, {})
        self.quorums = [
            among
            for count in range(1, len(self.names) + 1)
            for among in combinations(range(len(self.names)), count)
            if self.view.overlaps([self.names[at] for at in among], self.tolerance)
        ]

    def initial(self) -> Iterable[State]:
        empty = (0, 0, (), (), (), (), (), (), ())
        sides = tuple(Side(True, empty, empty) for _ in self.names)
        asking = tuple(("", self._cold(order), order.rounds) for order in self.size.orders)
        # Members; proposers (outcome, state, rounds left); accepts sent; ballots chosen; orders acknowledged,
        # and refused; crashes and wipes left.
        left = (self.size.crashes, self.size.wipes)
        state: State = (sides, asking, (), (), frozenset(), frozenset(), left)
        for event in self.size.begun:
            state = self._after(state, event)
        yield state

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
                tuple(name in dict(by) for _, by, _, _ in accepts),
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
        accepts = tuple(sorted((ballot, _names(by, new), *rest) for ballot, by, *rest in accepts))
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
        for ballot, *_ in accepts:
            found += [("accept", ballot, z, ok) for z in range(len(sides)) if sides[z].whole for ok in heard]
        for ballot, whole in chosen:
            found += [("decided", ballot, z, whole) for z in range(len(sides)) if sides[z].whole]
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
        were, asked, accepts, chosen, acked, refused, left = state
        sides: list[Any] = list(were)
        asking: list[Any] = list(asked)
        what = event[0]
        if what == "begin":
            outcome, frozen, rounds = asking[event[1]]
            proposer = self._warm(event[1], frozen)
            proposer.prepare(rounds[0], self.view)
            asking[event[1]] = (outcome, _freeze(proposer), rounds[1:])
        elif what == "prepare":
            _, at, z, heard = event
            outcome, frozen, rounds = asking[at]
            key: tuple[Any, ...] = (what, at, frozen, z, sides[z].memory, heard)
            memory, frozen, sent, ended = self._once(key, self._prepare)
            sides[z] = _kept(sides[z], memory, ("ceiling",))
            asking[at] = (outcome or ended, frozen, rounds)
            accepts = tuple(sorted({*accepts, *sent}))
        elif what == "accept":
            _, name, z, heard = event
            at = int(name[1][1:])
            outcome, frozen, rounds = asking[at]
            sent = next(one for one in accepts if one[0] == name)
            key = (what, at, frozen, z, sides[z].memory, heard, sent)
            memory, frozen, found, ended = self._once(key, self._accept)
            sides[z] = _kept(sides[z], memory, ("votes", "all"))
            asking[at] = (outcome or ended, frozen, rounds)
            chosen = tuple(sorted({*chosen, *found}))
        elif what == "decided":
            acceptor = self._acceptor(event[2], sides[event[2]])
            for number, value in acceptor.at(Ballot(*event[1])).items():
                acceptor.settle(number, value, event[3])
            sides[event[2]] = _kept(sides[event[2]], _frozen(acceptor), ())
        elif what == "news":
            giver, taker = (
                self._acceptor(event[1], sides[event[1]]),
                self._acceptor(event[2], sides[event[2]]),
            )
            if sides[event[2]].whole:
                for (kind, name), (version, value) in giver.decided.items():
                    if version >= taker.decided.get((kind, name), (-1, None))[0]:
                        taker.settle((kind, name, version), value)
                sides[event[2]] = _kept(sides[event[2]], _frozen(taker), ())
        elif what == "crash":
            left = (left[0] - 1, left[1])
            side = sides[event[1]]
            sides[event[1]] = side._replace(memory=_restarted(side.disk))
        elif what == "wipe":
            left = (left[0], left[1] - 1)
            empty = (0, 0, (), (), (), (), (), (), ())
            sides[event[1]] = Side(False, empty, empty, ((), (), ()))
        else:
            self._back(what, event[1], event[2], sides)
        for at, (outcome, _, _) in enumerate(asking):
            order = self.size.orders[at]
            if outcome == "decided" and order.letter:
                acked |= {(order.letter, order.numbers)}
            elif outcome == "rivalled":
                refused |= {(order.letter, order.numbers)}
        return (tuple(sides), tuple(asking), accepts, chosen, acked, refused, left)

    def _once(self, key: Any, make: Any) -> Any:
        """``make(*key)``, which depends on nothing else."""
        if key not in self._made:
            self._made[key] = make(*key[1:])
        return self._made[key]

    def _prepare(self, at: int, frozen: Any, z: int, memory: Any, heard: bool) -> tuple[Any, ...]:
        """The member's memory and the proposer after it, the accept that went out, how the order ended."""
        proposer, acceptor = self._warm(at, frozen), _acceptor(self.names[z], memory)
        if acceptor.wants(proposer.ballot.round):
            acceptor.raised(proposer.ballot.round)
        answer = acceptor.promise(proposer.ballot, proposer._open())
        if not heard or isinstance(answer, Refusal):  # the host begins anew where it likes
            return _frozen(acceptor), frozen, (), ""
        step = proposer.promised(self.names[z], 1, proposer.ballot, answer)
        if not isinstance(step, Accept):
            return _frozen(acceptor), _freeze(proposer), (), _ended(step)
        rows = tuple(sorted((n, LETTERS[digest_of(v)]) for n, v in step.writes.items()))
        ballot, tags = (step.ballot.round, step.ballot.proposer), tuple(sorted(step.tags.items()))
        sent = (ballot, tuple(sorted(step.by.items())), rows, tags)
        return _frozen(acceptor), _freeze(proposer), (sent,), ""

    def _accept(self, at: int, frozen: Any, z: int, memory: Any, heard: bool, sent: Any) -> tuple[Any, ...]:
        """As above, with the ballot that was chosen by it."""
        ballot, by, rows, tags = sent
        proposer, acceptor = self._warm(at, frozen), _acceptor(self.names[z], memory)
        writes = {number: CONTENTS[letter] for number, letter in rows}
        answer = acceptor.accept(Ballot(*ballot), dict(by), writes, dict(tags))
        if not heard or isinstance(answer, Refusal):
            return _frozen(acceptor), frozen, (), ""
        chosen = proposer.accepted(self.names[z], 1, Ballot(*ballot))
        found = ((ballot, chosen.whole),) if chosen is not None else ()
        return _frozen(acceptor), _freeze(proposer), found, _ended(proposer.outcome() if found else None)

    def _acceptor(self, z: int, side: Side) -> Acceptor:
        return _acceptor(self.names[z], side.memory)

    # A disk that was lost

    def _lost(self) -> tuple[Any, ...]:
        return ((), (), ())

    def _back(self, what: str, z: int, f: int, sides: list[Any]) -> None:
        tops, fence, raised = sides[z].fence
        other = self._acceptor(f, sides[f])
        name, mine = self.names[f], self.names[z]
        if what == "top":
            tops = tuple(sorted({*tops, (name, other.top(), other.generations.get(mine, 0))}))
            if fenced_by(self.view, {one for one, _, _ in tops}, mine, self.tolerance):
                fence = (max(top for _, top, _ in tops), 1 + max(known for _, _, known in tops))
                tops = ()
            sides[z] = sides[z]._replace(fence=(tops, fence, raised))
            return
        other.fence(fence[0], mine, fence[1])
        sides[f] = _kept(sides[f], _frozen(other), ("ceiling", "all"))
        back = self._acceptor(z, sides[z])
        for (kind, key), (version, value) in other.decided.items():
            back.settle((kind, key, version), value)
        for (kind, key), digests in other.past.items():
            for version, told in digests.items():
                digest, _, tag = told.partition("/")
                back.told((kind, key, version), Settled(digest, tag=tag))
        back.tags.update(other.tags)
        for number, vote in other.votes.items():
            held = back.state(number)
            if held is None or (isinstance(held, Vote) and held.ballot < vote.ballot):
                back.votes[number] = vote
        raised = tuple(sorted({*raised, name}))
        if fenced_by(self.view, set(raised), mine, self.tolerance):
            back.fence(fence[0], mine, fence[1])
            memory = _frozen(back)
            sides[z] = Side(True, memory, memory if sides[z].disk else ())
        else:
            sides[z] = Side(False, _frozen(back), sides[z].disk, (tops, fence, raised))

    # What must hold

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        sides, _, accepts, chosen, acked, refused, _ = after
        for number in {number for order in self.size.orders for number in order.numbers}:
            contents = {letter for letter, among in acked if number in among}
            if len(contents) > 1:
                yield Violation("one content", f"{number}: {sorted(contents)} are both acknowledged")
            states = [self._once(("state", number, side.memory), _state) for side in sides]
            known = {letter for what, _, letter in states if what == "settled"}
            for ballot, _, rows, _ in accepts:
                if ballot in dict(chosen):
                    known |= {letter for told, letter in rows if told == number}
            if len(known) > 1:
                yield Violation("one decision", f"{number} is decided as {sorted(known)}")
            for letter, among in refused:
                if number in among and letter in known | contents:
                    yield Violation("409", f"{number}: {letter} was refused for a rival and is in force")
            open_ = {letter for what, _, letter in states if what == "voted"} if not known else set()
            for letter, among in refused:
                if number in among and letter in open_:
                    yield Violation(
                        "409", f"{number}: {letter} was refused for a rival and may come into force"
                    )
            if any(among == (number,) for _, among in refused) and not known:
                yield Violation("409 too early", f"{number}: refused for a rival that is not decided")
            for letter in contents:
                for among in self.quorums:
                    if all(sides[z].whole for z in among):
                        met = _met([states[z] for z in among])
                        if met != letter:
                            words = (
                                f"{number}: {letter} is acknowledged, a quorum of {len(among)} meets {met}"
                            )
                            yield Violation("found", words)
        for letter, among in acked & refused:
            yield Violation("both answers", f"order {letter} of {among} was acknowledged and refused")


def _state(number: Number, memory: Any) -> tuple[str, Any, str]:
    """What a member says of that number: settled, voted or nothing; the ballot; the content's letter."""
    state = _acceptor("", memory).state(number)
    if isinstance(state, Settled):
        return "settled", (), LETTERS[state.digest]
    if isinstance(state, Vote):
        return "voted", state.ballot, LETTERS[digest_of(state.value)]
    return "nothing", (), ""


def _met(states: Sequence[tuple[str, Any, str]]) -> str:
    """What whoever asks that quorum must take: what is settled, else the highest vote."""
    settled = [letter for what, _, letter in states if what == "settled"]
    votes = [(ballot, letter) for what, ballot, letter in states if what == "voted"]
    return settled[0] if settled else max(votes)[1] if votes else "nothing"


def _ended(step: Any) -> str:
    if isinstance(step, Decided):
        return "decided"
    return "rivalled" if isinstance(step, Rivalled) else ""


def _kept(side: Side, memory: tuple[Any, ...], parts: Sequence[str]) -> Side:
    """``parts``: what the host has on disk before the member says anything."""
    disk = side.disk
    if not disk:
        pass  # nobody crashes any more
    elif "all" in parts:  # a batch takes along what was decided and not written yet
        disk = memory
    elif "ceiling" in parts:
        disk = (disk[0], memory[1], *disk[2:])
    return side._replace(memory=memory, disk=disk)


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
        tuple(sorted(one.tags.items())),
    )


def _acceptor(name: str, frozen: tuple[Any, ...]) -> Acceptor:
    floor, ceiling, promises, votes, decided, past, unknown, generations, tags = frozen
    one = Acceptor(name)
    one.floor, one.ceiling = floor, ceiling
    one.promises = {number: Ballot(*ballot) for number, ballot in promises}
    one.votes = {n: Vote(Ballot(*ballot), CONTENTS[letter], tag) for n, ballot, letter, tag in votes}
    one.decided = {key: (version, CONTENTS[letter]) for key, version, letter in decided}
    one.past = {key: dict(digests) for key, digests in past}
    one.unknown, one.generations, one.tags = dict(unknown), dict(generations), dict(tags)
    return one


def _names(told: Iterable[tuple[str, int]], new: Mapping[str, str]) -> tuple[tuple[str, int], ...]:
    return tuple(sorted((new[name], number) for name, number in told))


def _name_set(told: Iterable[str], new: Mapping[str, str]) -> tuple[str, ...]:
    return tuple(sorted(new[name] for name in told))


def _renamed(side: Side, new: Mapping[str, str]) -> Side:
    memory = (*side.memory[:7], _names(side.memory[7], new), side.memory[8])
    disk = (*side.disk[:7], _names(side.disk[7], new), side.disk[8]) if side.disk else ()
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
        tuple(sorted(one._in_force)),
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
            (n, (v.ballot.round, v.ballot.proposer), LETTERS[digest_of(v.value)], v.tag)
            for n, v in votes.items()
        )
    )


def _thaw(one: Proposer, frozen: tuple[Any, ...], view: View) -> Proposer:
    ballot, accept, settled, part, knew, promises, votes, blank, found, have = frozen
    one.ballot, one.view = Ballot(*ballot), view
    one.settled, one._in_force, one._knew = dict(settled), set(part), knew
    one._promises = dict(promises)
    one._votes = {n: Vote(Ballot(*b), CONTENTS[letter], tag) for n, b, letter, tag in votes}
    one._blank, one._own_found, one._have = set(blank), found, set(have)
    if accept is not None:
        writes: Mapping[Number, Value] = {number: CONTENTS[letter] for number, letter in accept}
        one._accept = Accept(one.ballot, view.epoch, dict(one._promises), writes, {})
    return one


A, B = Order("a", (ONE,), (1,)), Order("b", (ONE,), (2,))
AGAIN = Order("a", (ONE,), (3,))
BOTH, BOTH_AGAIN = Order("a", (ONE, TWO), (1,)), Order("a", (ONE, TWO), (3, 4))
TAKES_UP = Order("", (ONE, TWO), (5,))
# The order of two items is accepted by one member, and another has promised a rival.
_GOES_OUT = (
    ("begin", 0),
    ("prepare", 0, 0, True),
    ("prepare", 0, 1, True),
    ("accept", (1, "p0"), 0, True),
    ("begin", 1),
    ("prepare", 1, 1, True),
)
SIZES = {
    "two orders": Size((A, B)),
    "two ballots": Size((A._replace(rounds=(1, 3)), B), lost=False),
    "three ballots": Size((A, B, Order("c", (ONE,), (3, 4))), lost=False),
    "sent again": Size((A, B, AGAIN), lost=False),
    "a crash": Size((A, B), crashes=1, lost=False),
    "a lost disk": Size((A, B), wipes=1, lost=False),
    "two items": Size((BOTH, B, BOTH_AGAIN), lost=False, begun=_GOES_OUT),
    "taken up": Size((BOTH, B, TAKES_UP), lost=False, begun=_GOES_OUT),
    "overtaken": Size((A, Order("c", (NEWER,), (2,)), Order("b", (ONE,), (3,))), lost=False),
    "news": Size((A, B), news=True, lost=False),
    "four members": Size((A, B), members=4, lost=False),
}
