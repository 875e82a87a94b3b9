"""One sending of one request to one upstream, and whether it may have run."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from hareloom.interface import NEVER_RAN, Outcome


class Stage(IntEnum):
    CONNECTING = 0  # chosen; waits for the connection that will carry it
    WRITING = 1  # part of it is still on this side
    OUT = 2  # the kernel has all of it, or may have
    ENDED = 3
    PASSING = 4  # its answer has begun, and goes on to the client as it comes; the module is done with it


FINISHED_STAGES = frozenset({Stage.ENDED, Stage.PASSING})  # as far as the module is concerned


class Attempt(NamedTuple):
    stage: Stage
    connection: int  # 0 once it has ended
    may_have_run: bool


ENDED_NEVER_RAN, ENDED_MAY_HAVE_RUN = Attempt(Stage.ENDED, 0, False), Attempt(Stage.ENDED, 0, True)


def ended(outcome: Outcome) -> Attempt:
    return ENDED_NEVER_RAN if outcome in NEVER_RAN else ENDED_MAY_HAVE_RUN


def outcome_of_lost_connection(attempt: Attempt) -> Outcome:
    """How an attempt ends with its connection. An upstream begins a request when its last byte has come: what
    never left in whole never ran, and all else may have."""
    return Outcome.RESET if attempt.stage is Stage.OUT else Outcome.CONNECT_FAILED


def outcome_of_unreadable_response(attempt: Attempt) -> Outcome:
    """How an attempt ends when what comes back cannot be read: the request has run, if all of it left."""
    return Outcome.ERROR if attempt.stage is Stage.OUT else Outcome.CONNECT_FAILED


def outcome_of_abandonment(attempt: Attempt, why: Outcome) -> Outcome:
    """How an attempt ends that is not waited for any more; ``why`` is TIMEOUT or CANCELLED. One that timed
    out before its connection was up never left. One that was being written counts as it would after its last
    byte: a server that does not read is not one that could not be reached."""
    if why is Outcome.TIMEOUT and attempt.stage is Stage.CONNECTING:
        return Outcome.CONNECT_FAILED
    return why
