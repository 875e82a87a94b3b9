"""A connection to an upstream, from its opening to its end, and the calls that it carries.

HTTP/1.1 carries one call at a time; calls are kept as a tuple in the order in which they were written, so
that a protocol with several at once is the same machine.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

Call = tuple[str, int]  # a request's id, and the number of its attempt


class Stage(IntEnum):
    CONNECTING = 0
    FRESH = 1  # up, has carried nothing, and waits to
    IDLE = 2  # kept after an answer
    CARRYING = 3
    SPENT = 4  # being closed: nothing that still comes on it counts


class Connection(NamedTuple):
    stage: Stage
    server: str
    incarnation: int  # of the endpoint that it was made to
    calls: tuple[Call, ...] = ()
    unsent: int = 0  # so many of the last calls have bytes on this side
    shared: bool = False  # it may carry several calls at once, answered in any order


UNUSED_STAGES = frozenset({Stage.FRESH, Stage.IDLE})


def established(connection: Connection) -> Connection:
    stage = Stage.CARRYING if connection.calls else Stage.FRESH
    server, incarnation, calls = connection.server, connection.incarnation, connection.calls
    return Connection(stage, server, incarnation, calls, 0, connection.shared)


def with_call(connection: Connection, call: Call) -> Connection:
    calls = (*connection.calls, call)
    _, server, incarnation, _, unsent, shared = connection
    return Connection(Stage.CARRYING, server, incarnation, calls, unsent, shared)


def without_call(connection: Connection, call: Call) -> Connection:
    """The connection with that call off it; one that carries none any more rests, if it may be kept."""
    stage, server, incarnation, carried, unsent, shared = connection
    if len(carried) == 1:
        return Connection(
            Stage.IDLE if stage is Stage.CARRYING else stage, server, incarnation, (), 0, shared
        )
    if unsent and call in carried[len(carried) - unsent :]:
        unsent -= 1
    calls = tuple([item for item in carried if item != call])
    return Connection(stage, server, incarnation, calls, unsent, shared)


def retired(connection: Connection) -> Connection:
    """One that finishes what it carries and takes nothing more: it leads to no life of its endpoint."""
    return connection._replace(incarnation=0)


def with_unsent(connection: Connection, unsent: int) -> Connection:
    stage, server, incarnation, calls, _, shared = connection
    return Connection(stage, server, incarnation, calls, min(unsent, len(calls)), shared)


def closing(connection: Connection) -> Connection:
    return Connection(Stage.SPENT, connection.server, connection.incarnation)


def is_unsent(connection: Connection, call: Call) -> bool:
    """Whether part of that call is still on this side. Bytes leave in the order in which they were
    written."""
    if not connection.unsent:
        return False
    return call in connection.calls[len(connection.calls) - connection.unsent :]
