"""State of one attempt to send a request to an upstream, and whether the upstream may have executed it."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from hareloom.interface import NEVER_RAN, Outcome


class Stage(IntEnum):
    CONNECTING = 0  # an upstream is chosen; waits for its connection to be established
    WRITING = 1  # part of the request is not yet accepted by the kernel
    OUT = 2  # the kernel has, or may have, the whole request
    ENDED = 3
    PASSING = 4  # its response is being streamed to the client; ended as far as the balancer is concerned


FINISHED_STAGES = frozenset({Stage.ENDED, Stage.PASSING})  # as far as the balancer is concerned


class Attempt(NamedTuple):
    stage: Stage
    connection: int  # 0 once the attempt has ended
    may_have_run: bool


ENDED_NEVER_RAN, ENDED_MAY_HAVE_RUN = Attempt(Stage.ENDED, 0, False), Attempt(Stage.ENDED, 0, True)


def ended(outcome: Outcome) -> Attempt:
    """Return the final state of an attempt that ended with ``outcome``."""
    return ENDED_NEVER_RAN if outcome in NEVER_RAN else ENDED_MAY_HAVE_RUN


def outcome_of_lost_connection(attempt: Attempt) -> Outcome:
    """Return the outcome of an attempt whose connection has ended. An upstream starts a request only after
    its last byte has arrived, so a request that was not sent whole was never executed."""
    return Outcome.RESET if attempt.stage is Stage.OUT else Outcome.CONNECT_FAILED


def outcome_of_unreadable_response(attempt: Attempt) -> Outcome:
    """Return the outcome of an attempt whose response cannot be parsed. The request was executed if it was
    sent whole."""
    return Outcome.ERROR if attempt.stage is Stage.OUT else Outcome.CONNECT_FAILED


def outcome_of_abandonment(attempt: Attempt, why: Outcome) -> Outcome:
    """Return the outcome of an attempt that is abandoned; ``why`` is TIMEOUT or CANCELLED.

    A timeout before the connection is established counts as a failure to connect. A timeout while writing
    stays a timeout: a server that does not read its socket is still reachable."""
    if why is Outcome.TIMEOUT and attempt.stage is Stage.CONNECTING:
        return Outcome.CONNECT_FAILED
    return why
