"""What must hold of every state of the model of orders."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from mesh.replication.acceptor import Decision, Slot, Vote, digest_of
from rigs.order_model.frozen import Memory, Sent, Side, Tables, thaw_acceptor
from rigs.order_model.sizes import LETTERS, Size
from statecheck import Violation


class Known(NamedTuple):
    """What a member says of a number: ``what`` is settled, voted or nothing."""

    what: str
    ballot: Any = ()
    letter: str = ""


class Properties:
    """``quorums``: all sets of members, by place, that whoever reads may ask."""

    def __init__(self, size: Size, tables: Tables, quorums: Sequence[Sequence[int]]) -> None:
        """Of the orders of that size."""
        self._tables, self._quorums = tables, quorums
        self._numbers = sorted({number for order in size.orders for number in order.numbers})
        self._found: dict[Any, tuple[Violation, ...]] = {}
        self._states: dict[tuple[Slot, Memory], Known] = {}

    def broken(
        self, sides: tuple[int, ...], accepts: int, chosen: int, answers: int
    ) -> tuple[Violation, ...]:
        """Nothing is said of proposers, and members count alike: states that differ in these alone share
        their verdict."""
        key = (*sorted(sides), accepts, chosen, answers)
        found = self._found.get(key)
        if found is None:
            held = [self._tables.sides[number] for number in key[: len(sides)]]
            found = self._found[key] = tuple(self._all(held, accepts, chosen, answers))
        return found

    def _all(self, sides: Sequence[Side], accepts: int, chosen: int, answers: int) -> Iterator[Violation]:
        acked, refused = self._tables.answers[answers]
        ballots = dict(self._tables.chosen[chosen])
        told = [sent for sent in self._tables.accepts[accepts] if sent.ballot in ballots]
        for number in self._numbers:
            yield from self._of_number(number, sides, told, acked, refused)
        for letter, among in acked & refused:
            yield Violation("both answers", f"order {letter} of {among} was acknowledged and refused")

    def _of_number(
        self, number: Slot, sides: Sequence[Side], told: Sequence[Sent], acked: Any, refused: Any
    ) -> Iterator[Violation]:
        contents = {letter for letter, among in acked if number in among}
        if len(contents) > 1:
            yield Violation("one content", f"{number}: {sorted(contents)} are both acknowledged")
        states = [self._state(number, side.memory) for side in sides]
        known = {state.letter for state in states if state.what == "settled"}
        known |= {letter for sent in told for row, letter in sent.rows if row == number}
        if len(known) > 1:
            yield Violation("one decision", f"{number} is decided as {sorted(known)}")
        open_ = set() if known else {state.letter for state in states if state.what == "voted"}
        for letter in sorted(letter for letter, among in refused if number in among):
            if letter in known | contents:
                yield Violation("409", f"{number}: {letter} was refused for a rival and is in force")
            if letter in open_:
                yield Violation("409", f"{number}: {letter} was refused for a rival and may come into force")
        if not known and any(among == (number,) for _, among in refused):
            yield Violation("409 too early", f"{number}: refused for a rival that is not decided")
        for letter in sorted(contents):
            yield from self._found_by_quorums(number, letter, sides, states)

    def _found_by_quorums(
        self, number: Slot, letter: str, sides: Sequence[Side], states: Sequence[Known]
    ) -> Iterator[Violation]:
        """What is acknowledged is what whoever reads must take."""
        for among in self._quorums:
            if not all(sides[z].whole for z in among):
                continue
            met = _met([states[z] for z in among])
            if met != letter:
                words = f"{number}: {letter} is acknowledged, a quorum of {len(among)} meets {met}"
                yield Violation("found", words)

    def _state(self, number: Slot, memory: Memory) -> Known:
        found = self._states.get((number, memory))
        if found is None:
            found = self._states[number, memory] = _known(number, memory)
        return found


def _known(number: Slot, memory: Memory) -> Known:
    state = thaw_acceptor("", memory).state(number)
    if isinstance(state, Decision):
        return Known("settled", letter=LETTERS[state.digest])
    if isinstance(state, Vote):
        return Known("voted", state.ballot, LETTERS[digest_of(state.value)])
    return Known("nothing")


def _met(states: Sequence[Known]) -> str:
    """What whoever asks that quorum must take: what is settled, else the highest vote."""
    settled = [state.letter for state in states if state.what == "settled"]
    votes = [(state.ballot, state.letter) for state in states if state.what == "voted"]
    return settled[0] if settled else max(votes)[1] if votes else "nothing"
