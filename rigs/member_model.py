"""Members in the small, for `statecheck`: votes on one number under epochs, changes of members in chains,
disks that are lost and machines that go. What decides is the shipped code (`views`, `quorum`, `changes`); the
model is its host and its surroundings.

Two contents rival for the one number, X and Y; a ballot begins with a prepare quorum, takes the highest vote
that it meets there, and is accepted machine by machine. That a ballot refuses lower ones, and that a fence
refuses all that were under way, is taken from `replication/acceptor.py`, whose own model is
`rigs/order_model.py`.
Epochs, level, wholeness, joint quorums and the order of a change are explored here, one machine's step at a
time.

What the rules promise of the surroundings is a guard: of the machines that count no more are lost at once
than are tolerated; any that counts no more may go.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from itertools import combinations
from typing import Any, NamedTuple

from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.reconfiguration import MemberStatus, plan_change
from statecheck import Model, Violation
from statecheck.model import State

ONE = Tolerance(1, 0, 0)
AT = Place("z", "r")
X, Y = "x", "y"


class Machine(NamedTuple):
    up: bool
    epoch: int  # the newest that it knows
    whole: bool
    level: int  # the epoch that it is level with
    got: frozenset[
        str
    ]  # whose configuration and votes it has read since it knows that epoch, or since its fence began
    fence: int  # ballots up to this are refused by those that its fence has reached; 0: none begun
    promised: int
    vote: int  # the ballot, 0: none


class Ballot(NamedTuple):
    content: str
    epoch: int
    accepted: frozenset[str]


class Change(NamedTuple):
    """``joins`` want to count, ``leaves`` were told to end. Who is down is gone by the others' word."""

    joins: str = ""
    leaves: str = ""


@dataclass(frozen=True, slots=True)
class Size:
    changes: tuple[Change, ...]
    machines: str = "abcd"
    founders: str = "abc"
    ballots: int = 1
    wipes: int = 0
    struck: str = ""  # whose disks may be lost; else anybody's
    gone: int = 0
    vanish: int = 0  # machines that count no more and go, their disks with them
    returns: int = 0  # removed machines that come back with their disks


Names = tuple[str, str | None]  # a view without its epoch, which is its place in the chain: now, before


class Members(Model):
    def __init__(self, name: str, size: Size) -> None:
        self.name, self.size = name, size
        self._quorums: dict[tuple[Any, ...], bool] = {}

    def initial(self) -> Iterable[State]:
        size = self.size
        first = View(1, dict.fromkeys(size.founders, AT))
        machines = tuple(
            Machine(True, 1 if name in size.founders else 0, name in size.founders, 0, frozenset(), 0, 0, 0)
            for name in size.machines
        )
        left = (size.wipes, size.gone, size.vanish, size.returns)
        yield (machines, (_key(first),), None, 0, (), left)

    # Quorums, kept since they are asked for again and again

    def _durable(self, key: Names, have: frozenset[str]) -> bool:
        asked = ("durable", key, have)
        if asked not in self._quorums:
            self._quorums[asked] = _view(1, key).durable(have, ONE)
        return self._quorums[asked]

    def _overlaps(self, key: Names, heard: frozenset[str]) -> bool:
        asked = ("overlaps", key, heard)
        if asked not in self._quorums:
            self._quorums[asked] = _view(1, key).overlaps(heard, ONE)
        return self._quorums[asked]

    # What can happen

    def events(self, state: State) -> Sequence[Any]:
        machines, views, vote, done, ballots, left = state
        named = dict(zip(self.size.machines, machines, strict=True))
        newest = views[-1]
        found: list[Any] = []
        for name, one in named.items():
            if one.up and one.epoch < len(views):
                found.append(("learn", name))
        for epoch in sorted({one.epoch for one in machines if one.up} - {0}):
            if len(ballots) < self.size.ballots:
                there = [n for n in _names(views[epoch - 1]) if self._hears(named[n], epoch)]
                least = self._least(views[epoch - 1], frozenset(there))
                # With nothing promised or accepted yet it makes no difference who answers.
                found += [("ballot", epoch, some) for some in (least if ballots else least[:1])]
        for number, ballot in enumerate(ballots, 1):
            for name in sorted(_names(views[ballot.epoch - 1]) - ballot.accepted):
                if (
                    self._answers(named[name], ballot.epoch)
                    and max(named[name].promised, named[name].vote) <= number
                ):
                    found.append(("accept", number, name))
        for name, one in named.items():
            if not (one.up and one.epoch):
                continue
            view = views[one.epoch - 1]
            if not one.whole:
                if not one.fence:
                    found.append(("fence", name))
                for other in sorted(_names(view) - {name} - one.got):
                    if one.fence and self._answers(named[other], one.epoch):
                        found.append(("fenced", name, other))
            elif view[1] is not None and one.level < one.epoch and name in view[0]:
                for other in sorted(set(view[1]) - one.got):
                    if self._level_from(named[other], one.epoch):
                        found.append(("read", name, other))
        if vote is None:
            if self._planned(state) is not None:
                found.append(("propose",))
        else:
            for name in sorted(_names(newest) - vote[1]):
                if self._answers(named[name], len(views)) and self._may_vote(named[name], name, vote[0]):
                    found.append(("vote", name))
        lost = sum(not (named[name].up and named[name].whole) for name in _names(newest))
        for name in sorted(_names(newest)):
            if named[name].up and named[name].whole and self._bears(lost):
                found += [("wipe", name)] if left[0] and name in (self.size.struck or name) else []
                found += [("gone", name)] if left[1] else []
        for name, one in named.items():
            if one.up and name not in _names(newest) and one.epoch and left[2]:
                found.append(("vanish", name))
            if not one.up and left[3] and one.epoch and name not in _names(newest):
                found.append(("return", name))
        return found

    def _bears(self, lost: int) -> bool:
        return lost < ONE.machines

    def _answers(self, one: Machine, epoch: int) -> bool:
        """What one of another epoch says is not counted: it is told the newer first, or tells it."""
        return one.up and one.whole and one.epoch == epoch

    def _hears(self, one: Machine, epoch: int) -> bool:
        """The same for what is heard by a proposer before it proposes, or by a reader."""
        return self._answers(one, epoch)

    def _level_from(self, one: Machine, epoch: int) -> bool:
        return one.up and one.whole and one.epoch >= epoch

    def _may_vote(self, one: Machine, name: str, wanted: Names) -> bool:
        """Who stays accepts the new members alone once it is level itself."""
        now, before = wanted
        return before is not None or name not in now or one.level >= one.epoch

    def _least(self, key: Names, there: frozenset[str]) -> list[frozenset[str]]:
        """The quorums to prepare that have no smaller one in them."""
        found: list[frozenset[str]] = []
        for size in range(len(there) + 1):
            for some in combinations(sorted(there), size):
                names = frozenset(some)
                if not any(one <= names for one in found) and self._overlaps(key, names):
                    found.append(names)
        return found

    def _planned(self, state: State) -> View | None:
        machines, views, _, done, _, _ = state
        view = _view(len(views), views[-1])
        if view.previous_members is None and done >= len(self.size.changes):
            return None
        wish = self.size.changes[min(done, len(self.size.changes) - 1)]
        known = {}
        for name, one in zip(self.size.machines, machines, strict=True):
            known[name] = MemberStatus(
                AT,
                one.up,
                one.whole,
                one.level,
                name in wish.joins,
                name in wish.leaves,
                gone=not one.up,
            )
        return plan_change(view, known, ONE).view

    def step(self, state: State, event: Any) -> State:
        machines, views, vote, done, ballots, left = state
        named = dict(zip(self.size.machines, machines, strict=True))
        budget = list(left)
        what = event[0]
        if what == "learn":
            one = named[event[1]]
            fence = 0 if not one.whole else one.fence  # its fence begins anew, under the newer view
            named[event[1]] = one._replace(epoch=one.epoch + 1, got=frozenset(), fence=fence)
            named[event[1]] = self._own(named[event[1]], event[1], views)
        elif what == "ballot":
            number = len(ballots) + 1
            vote_met = max(named[name].vote for name in event[2])
            content = ballots[vote_met - 1].content if vote_met else (X, Y, X)[number - 1]
            for name in event[2] if ballots else ():
                named[name] = named[name]._replace(promised=number)
            ballots = (*ballots, Ballot(content, event[1], frozenset()))
        elif what == "accept":
            number, name = event[1], event[2]
            named[name] = named[name]._replace(vote=number)
            ballot = ballots[number - 1]
            taken = ballot._replace(accepted=ballot.accepted | {name})
            ballots = (*ballots[: number - 1], taken, *ballots[number:])
        elif what == "fence":
            named[event[1]] = named[event[1]]._replace(fence=len(ballots) + 1)
        elif what == "fenced":
            named = self._fenced(named, event[1], event[2], views)
        elif what == "read":
            one, other = named[event[1]], named[event[2]]
            one = one._replace(vote=max(one.vote, other.vote), got=one.got | {event[2]})
            named[event[1]] = self._leveled(one, views)
        elif what == "propose":
            planned = self._planned(state)
            assert planned is not None
            vote = (_key(planned), frozenset())
        elif what == "vote":
            assert vote is not None
            vote = (vote[0], vote[1] | {event[1]})
            if self._durable(views[-1], vote[1]):
                decided = vote[0]
                views, vote, done = (*views, decided), None, done + (decided[1] is not None)
        elif what in ("wipe", "vanish"):
            one = named[event[1]]
            budget[0 if what == "wipe" else 2] -= 1
            up = what == "wipe"
            named[event[1]] = Machine(
                up, one.epoch if up else 0, not self._forgets(), 0, frozenset(), 0, 0, 0
            )
            if vote is not None:
                vote = (vote[0], vote[1] - {event[1]})
        elif what == "gone":
            budget[1] -= 1
            named[event[1]] = named[event[1]]._replace(up=False)
        elif what == "return":
            budget[3] -= 1
            named[event[1]] = named[event[1]]._replace(up=True, got=frozenset())
        return (tuple(named.values()), views, vote, done, ballots, tuple(budget))

    def _forgets(self) -> bool:
        """Whether a disk that came back empty counts for nothing."""
        return True

    def _fenced(self, named: dict[str, Machine], name: str, other: str, views: Any) -> dict[str, Machine]:
        """The other refuses all that was under way when the fence began, and is read after it."""
        one, theirs = named[name], named[other]
        theirs = theirs._replace(promised=max(theirs.promised, self._floor(one)))
        one = one._replace(vote=max(one.vote, theirs.vote), got=one.got | {other})
        if self._whole_enough(views[one.epoch - 1], one.got):
            # No higher than the fence: what it accepts from here on is above all that it may have promised.
            one = one._replace(whole=True, got=frozenset(), fence=0, promised=max(one.fence, one.promised))
            one = self._own(one, name, views)
        return {**named, name: one, other: theirs}

    def _whole_enough(self, key: Names, got: frozenset[str]) -> bool:
        return self._durable(key, got)

    def _floor(self, one: Machine) -> int:
        return one.fence

    def _own(self, one: Machine, name: str, views: Any) -> Machine:
        """What it holds itself counts among what it has read, where its disk counted in the view before."""
        before = views[one.epoch - 1][1]
        if one.whole and before is not None and name in before:
            return self._leveled(one._replace(got=one.got | {name}), views)
        return one

    def _leveled(self, one: Machine, views: Any) -> Machine:
        now, before = views[one.epoch - 1]
        if self._enough_to_be_level(before, one.got):
            return one._replace(level=one.epoch, got=frozenset())
        return one

    def _enough_to_be_level(self, before: str, got: frozenset[str]) -> bool:
        return self._overlaps((before, None), got)

    # What must hold

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        machines, views, _, _, ballots, _ = after
        named = dict(zip(self.size.machines, machines, strict=True))
        chosen = [
            (number, ballot)
            for number, ballot in enumerate(ballots, 1)
            if self._was_chosen(views[ballot.epoch - 1], ballot)
        ]
        if len({ballot.content for _, ballot in chosen}) > 1:
            yield Violation("two contents", f"{chosen} are both chosen")
        for number, ballot in chosen[:1]:
            for epoch in {one.epoch for one in machines} - {0}:
                lacking = frozenset(
                    name for name, one in named.items() if self._hears(one, epoch) and one.vote < number
                )
                if self._overlaps(views[epoch - 1], lacking):
                    yield Violation(
                        "missed", f"epoch {epoch}: {sorted(lacking)} would do, and lack {ballot.content}"
                    )
        now = views[-1][0]
        if len(now) < min(len(self.size.founders), 2 * ONE.machines + 1):
            yield Violation("too few", f"{now} count")

    def _was_chosen(self, key: Names, ballot: Ballot) -> bool:
        """By the words of the rule, and not by the code that may be at fault: of each view in question more
        than half, and more than can be lost."""
        now, before = key
        return all(
            2 * len(ballot.accepted & set(part)) > len(part)
            and (len(ballot.accepted & set(part)) > ONE.machines or set(part) <= ballot.accepted)
            for part in ((now,) if before is None else (before, now))
        )


def _key(view: View) -> Names:
    return (
        "".join(sorted(view.members)),
        None if view.previous_members is None else "".join(sorted(view.previous_members)),
    )


def _view(epoch: int, key: Names) -> View:
    now, before = key
    return View(epoch, dict.fromkeys(now, AT), None if before is None else dict.fromkeys(before, AT))


@lru_cache
def _names(key: Names) -> frozenset[str]:
    return frozenset(key[0] + (key[1] or ""))


SWAP = Change("d", "c")
SIZES = {
    "two wipes": Size((), "abc", wipes=2),
    "two rivals, a wipe": Size((), "abc", ballots=2, wipes=1),
    "one leaves": Size((Change(leaves="c"),), "abc", gone=1),
    "a replacement, what left goes": Size((SWAP,), vanish=1),
}
CHAIN = Size((SWAP, Change("c", "b")))
LARGE = {
    "a replacement, a wipe of one that stays": Size((SWAP,), wipes=1, struck="a"),
    "a replacement, a wipe of one that leaves": Size((SWAP,), wipes=1, struck="c"),
    "a replacement, a wipe of one that joins": Size((SWAP,), wipes=1, struck="d"),
    "a replacement, a wipe": Size((SWAP,), wipes=1),
    "a replacement, two rivals": Size((SWAP,), ballots=2),
    "a replacement of one gone, what left goes": Size((SWAP,), gone=1, vanish=1),
    "a replacement, two rivals, a wipe": Size((SWAP,), ballots=2, wipes=1),
    "a replacement, two wipes": Size((SWAP,), wipes=2),
    "three replacements": Size((SWAP, Change("e", "b"), Change("c", "a")), "abcde"),
}
