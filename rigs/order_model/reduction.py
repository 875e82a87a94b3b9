"""Which states of the model of orders may be taken for one. docs/design/control.md has the argument.

- Members have no names of their own: they are put in the order of what they hold and of what is held of
  them.
- An order that has ended asks nothing any more: how its proposer came there makes no difference.
- Where nobody crashes any more, what stands on disk makes none. Where no disk is lost any more and all are
  back, an accept need name no promise but those that a lost disk has made void; and where nobody crashes
  either, no ceiling counts, and of a promise and of a floor only which ballots of those that may come they
  refuse.
- An accept that can change no member any more, and whose proposer waits for no answer to it, is dropped; and
  so is a decision that can change none, once its content is settled at a member.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cache
from typing import NamedTuple

from mesh.replication.acceptor import Ballot, Decision, Refusal, Slot
from rigs.order_model import frozen
from rigs.order_model.frozen import Asking, Fence, FrozenBallot, Memory, Sent, Side, Table, Tables, World
from rigs.order_model.sizes import CONTENTS, Size

Generations = tuple[tuple[str, int], ...]  # by name

NEVER_BEGUN = frozen.FrozenProposer((0, ""), None, (), (), False, (), (), (), False, ())


class Reduction:
    """Gives each state the representative of all that are alike."""

    def __init__(self, size: Size, tables: Tables, names: str) -> None:
        """Of the states whose numbers these tables hold."""
        self._size, self._tables, self._names = size, tables, names
        self._opened, self._lived = Table(), Table()  # of ballots that may still come, an order's and all
        # What depends on nothing but these numbers is worked out once.
        self._after_end = cache(self._ended)
        self._diskless = cache(self._without_disk)
        self._is_whole = cache(self._whole)
        self._known_by = cache(self._generations)
        self._binding_of = cache(self._binding)
        self._waited = cache(self._waits)
        self._taken = cache(self._takes)
        self._settled = cache(self._all_settled)
        self._open_of = cache(self._open)
        self._live_of = cache(self._live)
        self._relative_to = cache(self._relative)
        self._side_marks = cache(self._marks_of_side)
        self._asking_marks = cache(self._marks_of_asking)
        self._accepts_marks = cache(self._marks_of_accepts)
        self._side_named = cache(self._named_side)
        self._asking_named = cache(self._named_asking)
        self._accepts_named = cache(self._named_accepts)

    def reduced(self, world: World) -> World:
        """The representative of all states that are alike."""
        sides, accepts, chosen = world.sides, world.accepts, world.chosen
        asking = tuple([self._after_end(number) for number in world.asking])
        if not world.crashes:
            sides = tuple([self._diskless(number) for number in sides])
        if not world.wipes and all([self._is_whole(number) for number in sides]):
            accepts = self._binding_of(accepts, tuple([self._known_by(number) for number in sides]))
            if not world.crashes:
                accepts, chosen = self._messages_left(sides, asking, accepts, chosen)
                opened = tuple([self._open_of(at, number) for at, number in enumerate(asking)])
                live = self._live_of(opened, accepts)
                sides = tuple([self._relative_to(number, live) for number in sides])
        sides, asking, accepts = self._named(sides, asking, accepts)
        return World(sides, asking, accepts, chosen, world.answers, world.crashes, world.wipes)

    # What makes no difference

    def _ended(self, number: int) -> int:
        asking: Asking = self._tables.asking[number]
        if not asking.outcome:
            return number
        return self._tables.asking.number(Asking(asking.outcome, NEVER_BEGUN, ()))

    def _without_disk(self, number: int) -> int:
        return self._tables.sides.number(self._tables.sides[number]._replace(disk=None))

    def _whole(self, number: int) -> bool:
        whole: bool = self._tables.sides[number].whole
        return whole

    def _generations(self, number: int) -> Generations:
        known: Generations = self._tables.sides[number].memory.generations
        return known

    def _binding(self, accepts: int, known: tuple[Generations, ...]) -> int:
        """Without the promises that can get no accept refused any more: no disk was lost after them."""
        newest: dict[str, int] = {}
        for name, generation in (told for by_side in known for told in by_side):
            newest[name] = max(generation, newest.get(name, 0))
        left = [
            sent._replace(by=tuple([told for told in sent.by if told[1] < newest.get(told[0], 0)]))
            for sent in self._tables.accepts[accepts]
        ]
        return self._tables.accepts.number(tuple(left))

    # Messages that change nothing any more

    def _messages_left(
        self, sides: tuple[int, ...], asking: tuple[int, ...], accepts: int, chosen: int
    ) -> tuple[int, int]:
        sent: tuple[Sent, ...] = self._tables.accepts[accepts]
        taken = [
            any(by_side) for by_side in zip(*[self._taken(side, accepts) for side in sides], strict=True)
        ]
        if all(taken):
            return accepts, chosen
        waits = {self._waited(number) for number in asking}
        over = {
            one.ballot
            for one, changes in zip(sent, taken, strict=True)
            if not changes and one.ballot not in waits
        }
        told = tuple(
            one
            for one in self._tables.chosen[chosen]
            if one[0] not in over or not self._settled(sides, accepts, one[0])
        )
        needed = {ballot for ballot, _ in told}
        left = tuple([one for one in sent if one.ballot not in over or one.ballot in needed])
        return self._tables.accepts.number(left), self._tables.chosen.number(told)

    def _waits(self, number: int) -> FrozenBallot:
        """The ballot that the order waits for answers to."""
        ballot: FrozenBallot = self._tables.asking[number].proposer.ballot
        return ballot

    def _takes(self, side: int, accepts: int) -> list[bool]:
        """For each accept: whether it, whole or any row of it alone, may change that member, now or once it
        has more of its rows settled. A row that is refused, or voted or settled already, stays so."""
        memory = self._tables.sides[side].memory
        return [_changes(memory, sent) for sent in self._tables.accepts[accepts]]

    def _all_settled(self, sides: tuple[int, ...], accepts: int, ballot: FrozenBallot) -> bool:
        """Whether no member has votes under it, and each of its rows is settled at a member."""
        acceptors = [frozen.thaw_acceptor("", self._tables.sides[side].memory) for side in sides]
        if any(acceptor.votes_under(Ballot(*ballot)) for acceptor in acceptors):
            return False
        rows = next(one.rows for one in self._tables.accepts[accepts] if one.ballot == ballot)
        return all(
            any(isinstance(acceptor.state(number), Decision) for acceptor in acceptors) for number, _ in rows
        )

    # Promises, by what they refuse of what may still come

    def _open(self, at: int, number: int) -> int:
        """The ballots that this order has begun or may begin, with its numbers."""
        asking, order = self._tables.asking[number], self._size.orders[at]
        if asking.outcome:
            return self._opened.number(((), ()))
        begins = (asking.proposer.ballot, *((round, f"p{at}") for round in asking.rounds))
        return self._opened.number((order.numbers, begins))

    def _live(self, opened: tuple[int, ...], accepts: int) -> int:
        ballots: dict[Slot, set[FrozenBallot]] = {}
        for entry in opened:
            numbers, begins = self._opened[entry]
            for number in numbers:
                ballots.setdefault(number, set()).update(begins)
        for sent in self._tables.accepts[accepts]:
            for number, _ in sent.rows:
                ballots.setdefault(number, set()).add(sent.ballot)
        return self._lived.number(tuple(sorted((n, tuple(sorted(among))) for n, among in ballots.items())))

    def _relative(self, number: int, live: int) -> int:
        side: Side = self._tables.sides[number]
        memory, ballots = side.memory, self._lived[live]
        rounds = [ballot[0] for _, among in ballots for ballot in among]
        floor = max((round for round in rounds if round <= memory.floor), default=0)
        refuses = Refuses(memory, floor, dict(ballots))
        promises = [(n, kept) for n, ballot in memory.promises if (kept := refuses.least(n, ballot))]
        after = memory._replace(floor=floor, ceiling=0, promises=tuple(promises))
        return self._tables.sides.number(side._replace(memory=after))

    # Names

    def _named(
        self, sides: tuple[int, ...], asking: tuple[int, ...], accepts: int
    ) -> tuple[tuple[int, ...], tuple[int, ...], int]:
        """Members in the order of what they hold and of what is held of them."""
        shapes, generations = zip(*[self._side_marks(number) for number in sides], strict=True)
        known = [sum(told) for told in zip(*generations, strict=True)]
        told = [self._asking_marks(number) for number in asking]
        marks = [*zip(shapes, known, *told, self._accepts_marks(accepts), strict=True)]
        places = tuple(sorted(range(len(sides)), key=marks.__getitem__))
        if places == tuple(range(len(sides))):
            return sides, asking, accepts
        return (
            tuple([self._side_named(places, sides[old]) for old in places]),
            tuple([self._asking_named(places, number) for number in asking]),
            self._accepts_named(places, accepts),
        )

    def _marks_of_side(self, number: int) -> tuple[int, list[int]]:
        """A number that says all of it but for names, and what it knows of each one's generation."""
        side: Side = self._tables.sides[number]
        known = dict(side.memory.generations)
        disk = None if side.disk is None else side.disk._replace(generations=())
        fence = None if side.fence is None else Fence(raised_to=side.fence.raised_to)
        nameless = Side(side.whole, side.memory._replace(generations=()), disk, fence)
        return self._tables.sides.number(nameless), [known.get(name, 0) for name in self._names]

    def _marks_of_asking(self, number: int) -> list[tuple[bool, bool]]:
        proposer = self._tables.asking[number].proposer
        promised = dict(proposer.promises)
        return [(name in promised, name in proposer.have) for name in self._names]

    def _marks_of_accepts(self, number: int) -> list[tuple[bool, ...]]:
        by = [dict(sent.by) for sent in self._tables.accepts[number]]
        return [tuple(name in one for one in by) for name in self._names]

    def _names_at(self, places: tuple[int, ...]) -> dict[str, str]:
        return {self._names[old]: self._names[new] for new, old in enumerate(places)}

    def _named_side(self, places: tuple[int, ...], number: int) -> int:
        renamed = frozen.renamed_side(self._tables.sides[number], self._names_at(places))
        return self._tables.sides.number(renamed)

    def _named_asking(self, places: tuple[int, ...], number: int) -> int:
        renamed = frozen.renamed_asking(self._tables.asking[number], self._names_at(places))
        return self._tables.asking.number(renamed)

    def _named_accepts(self, places: tuple[int, ...], number: int) -> int:
        renamed = frozen.renamed_accepts(self._tables.accepts[number], self._names_at(places))
        return self._tables.accepts.number(renamed)


def _changes(memory: Memory, sent: Sent) -> bool:
    rows = {number: CONTENTS[letter] for number, letter in sent.rows}
    for writes in (rows, *({number: value} for number, value in rows.items())):
        acceptor = frozen.thaw_acceptor("", memory)
        answer = acceptor.accept(Ballot(*sent.ballot), dict(sent.by), writes, dict(sent.tags))
        if not isinstance(answer, Refusal) and frozen.freeze_acceptor(acceptor) != memory:
            return True
    return False


class Refuses(NamedTuple):
    """What a member refuses by its votes and floor alone."""

    memory: Memory
    floor: int
    live: dict[Slot, tuple[FrozenBallot, ...]]

    def least(self, number: Slot, promised: FrozenBallot) -> FrozenBallot | None:
        """The least ballot that refuses the same as this promise; None: votes and floor do."""
        below: Iterable[FrozenBallot] = [one for one in self.live.get(number, ()) if one < promised]
        last = max(below, default=None)
        if last is None or last[0] <= self.floor:
            return None
        if any(voted == number and ballot > last for voted, ballot, _, _ in self.memory.votes):
            return None
        return last[0], last[1] + "+"
