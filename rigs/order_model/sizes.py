"""What is explored: the orders of each size, and what may befall the members meanwhile."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from mesh.replication.acceptor import Slot, Value, digest_of

CONTENTS: dict[str, Value] = {letter: {"by": letter} for letter in "abc"}
LETTERS = {digest_of(value): letter for letter, value in CONTENTS.items()}
ONE, TWO = ("route", "1", 1), ("route", "2", 1)
NEWER = ("route", "1", 2)  # overtakes ONE


class Order(NamedTuple):
    """One proposer: the content it was sent under these numbers, and the rounds of the ballots that it may
    begin. ``letter`` "": it takes open votes up."""

    letter: str
    numbers: tuple[Slot, ...]
    rounds: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Size:
    """``lost``: answers may be lost; ``begun``: events that all that is explored begins with."""

    orders: tuple[Order, ...]
    members: int = 3
    crashes: int = 0
    wipes: int = 0
    news: bool = False
    lost: bool = True
    begun: tuple[Any, ...] = ()


A, B = Order("a", (ONE,), (1,)), Order("b", (ONE,), (2,))
AGAIN = Order("a", (ONE,), (3,))
BOTH, BOTH_AGAIN = Order("a", (ONE, TWO), (1,)), Order("a", (ONE, TWO), (3, 4))
TAKES_UP = Order("", (ONE, TWO), (5,))
# The order of two items is accepted by one member, and another has promised a rival.
_GOES_OUT = (
    ("prepare", 0, 0, True),
    ("prepare", 0, 1, True),
    ("accept", (1, "p0"), 0, True),
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
