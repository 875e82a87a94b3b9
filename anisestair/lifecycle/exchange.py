"""State of an accepted request: it gets one final outcome, and is kept until its last attempt has ended."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from anisestair.lifecycle.attempt import Attempt, Stage


class Final(IntEnum):
    """The one outcome of an exchange."""

    SERVED = 0
    REFUSED = 1  # guarantees that a retry is safe
    FAILED = 2  # by the balancer; says nothing about the safety of a retry, as the next two
    OVERDUE = 3  # the deadline passed without a decision
    FAULT = 4  # the decision raised an exception
    GONE = 5  # the client has disconnected


# Outcomes that are neither a decision of the balancer nor a response reported to it.
UNKNOWN_TO_BALANCER = frozenset({Final.OVERDUE, Final.FAULT, Final.GONE})


class Exchange(NamedTuple):
    owed: bool  # the final outcome has not been determined yet
    attempts: tuple[Attempt, ...]


ACCEPTED = Exchange(True, ())


def settled(exchange: Exchange) -> Exchange:
    """Return the exchange after its final outcome has been determined."""
    return Exchange(False, exchange.attempts)


def with_attempt(exchange: Exchange, number: int, attempt: Attempt) -> Exchange:
    """Return the exchange with that attempt replaced, or appended if ``number`` is the next one."""
    attempts = exchange.attempts
    if len(attempts) <= 1 and not number:
        return Exchange(exchange.owed, (attempt,))
    return Exchange(exchange.owed, (*attempts[:number], attempt, *attempts[number + 1 :]))


def forgettable(exchange: Exchange) -> bool:
    """Return whether the request has its final outcome and no attempt is still in progress."""
    if exchange.owed:
        return False
    for attempt in exchange.attempts:  # noqa: SIM110 (a generator costs more than this loop over a few items)
        if attempt.stage is not Stage.ENDED:
            return False
    return True
