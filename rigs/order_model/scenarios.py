"""The scenarios to explore: the proposed batches of each, and the faults that members may have meanwhile."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from mesh.replication.acceptor import Slot, Value, digest_of

VALUES: dict[str, Value] = {letter: {"by": letter} for letter in "abc"}
LETTER_BY_DIGEST = {digest_of(value): letter for letter, value in VALUES.items()}
ONE, TWO = ("route", "1", 1), ("route", "2", 1)
NEWER = ("route", "1", 2)  # supersedes ONE


class Batch(NamedTuple):
    """One proposer: the value that it proposes for these slots, and the rounds of the ballots that it may
    start. ``letter`` is empty if it adopts open votes instead of proposing a value."""

    letter: str
    slots: tuple[Slot, ...]
    rounds: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """``lost_answers``: answers may be lost; ``prefix``: events that precede every explored one."""

    batches: tuple[Batch, ...]
    members: int = 3
    crashes: int = 0
    wipes: int = 0
    dissemination: bool = False
    lost_answers: bool = True
    prefix: tuple[Any, ...] = ()


A, B = Batch("a", (ONE,), (1,)), Batch("b", (ONE,), (2,))
AGAIN = Batch("a", (ONE,), (3,))
BOTH, BOTH_AGAIN = Batch("a", (ONE, TWO), (1,)), Batch("a", (ONE, TWO), (3, 4))
ADOPTING = Batch("", (ONE, TWO), (5,))
# One member accepts the batch of two items, and another promises a competing ballot.
_PARTLY_ACCEPTED = (
    ("prepare", 0, 0, True),
    ("prepare", 0, 1, True),
    ("accept", (1, "p0"), 0, True),
    ("prepare", 1, 1, True),
)
SCENARIOS = {
    "two orders": Scenario((A, B)),
    "two ballots": Scenario((A._replace(rounds=(1, 3)), B), lost_answers=False),
    "three ballots": Scenario((A, B, Batch("c", (ONE,), (3, 4))), lost_answers=False),
    "sent again": Scenario((A, B, AGAIN), lost_answers=False),
    "a crash": Scenario((A, B), crashes=1, lost_answers=False),
    "a lost disk": Scenario((A, B), wipes=1, lost_answers=False),
    "two items": Scenario((BOTH, B, BOTH_AGAIN), lost_answers=False, prefix=_PARTLY_ACCEPTED),
    "taken up": Scenario((BOTH, B, ADOPTING), lost_answers=False, prefix=_PARTLY_ACCEPTED),
    "overtaken": Scenario((A, Batch("c", (NEWER,), (2,)), Batch("b", (ONE,), (3,))), lost_answers=False),
    "news": Scenario((A, B), dissemination=True, lost_answers=False),
    "four members": Scenario((A, B), members=4, lost_answers=False),
}
