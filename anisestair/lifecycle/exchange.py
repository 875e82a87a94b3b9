"""A request that was taken: owed one final outcome, then kept until its last attempt has ended."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from anisestair.lifecycle.attempt import Attempt, Stage


class Final(IntEnum):
    """The one outcome of an exchange."""

    SERVED = 0
    REFUSED = 1  # a promise: trying again is harmless
    FAILED = 2  # by the module; promises nothing, as the two that follow
    OVERDUE = 3  # nobody decided in its time
    FAULT = 4  # deciding about it raised
    GONE = 5  # the client has left: nobody is there to be told


# Ends that the module does not know of, since they are not its own decision or an answer that it is told of.
UNKNOWN_TO_BALANCER = frozenset({Final.OVERDUE, Final.FAULT, Final.GONE})


class Exchange(NamedTuple):
    owed: bool  # the final outcome is still to come
    attempts: tuple[Attempt, ...]


ACCEPTED = Exchange(True, ())


def settled(exchange: Exchange) -> Exchange:
    return Exchange(False, exchange.attempts)


def with_attempt(exchange: Exchange, number: int, attempt: Attempt) -> Exchange:
    """The exchange with that attempt in its new state; the number after the last adds one."""
    attempts = exchange.attempts
    if len(attempts) <= 1 and not number:
        return Exchange(exchange.owed, (attempt,))
    return Exchange(exchange.owed, (*attempts[:number], attempt, *attempts[number + 1 :]))


def forgettable(exchange: Exchange) -> bool:
    """Nothing is owed, and nothing is out that could still say something of it."""
    if exchange.owed:
        return False
    for attempt in exchange.attempts:  # noqa: SIM110 (a generator costs more than the few it looks at)
        if attempt.stage is not Stage.ENDED:
            return False
    return True
