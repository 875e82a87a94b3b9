"""State of a connection to an upstream, from its opening to its end, and the calls that it carries.

HTTP/1.1 carries one call at a time. Calls are kept as a tuple in the order in which they were written, so
that the same state machine serves protocols that multiplex several calls.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

Call = tuple[str, int]  # a request's id, and the number of its attempt


class Stage(IntEnum):
    CONNECTING = 0
    FRESH = 1  # established, has carried no call yet
    IDLE = 2  # kept open after a response
    CARRYING = 3
    SPENT = 4  # being closed: whatever still arrives on it is ignored


class Connection(NamedTuple):
    stage: Stage
    server: str
    incarnation: int  # of the endpoint at the time of connecting; 0: accepts no more calls
    calls: tuple[Call, ...] = ()
    unsent: int = 0  # number of most recent calls with bytes that the kernel has not accepted
    shared: bool = False  # may carry several calls at once, answered in any order


UNUSED_STAGES = frozenset({Stage.FRESH, Stage.IDLE})


def established(connection: Connection) -> Connection:
    """Return the connection after the connect has succeeded."""
    stage = Stage.CARRYING if connection.calls else Stage.FRESH
    server, incarnation, calls = connection.server, connection.incarnation, connection.calls
    return Connection(stage, server, incarnation, calls, 0, connection.shared)


def with_call(connection: Connection, call: Call) -> Connection:
    """Return the connection with that call appended."""
    calls = (*connection.calls, call)
    _, server, incarnation, _, unsent, shared = connection
    return Connection(Stage.CARRYING, server, incarnation, calls, unsent, shared)


def without_call(connection: Connection, call: Call) -> Connection:
    """Return the connection without that call. One that carried only that call becomes idle."""
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
    """Return the connection marked to finish its calls and accept no more: no endpoint has incarnation 0."""
    return connection._replace(incarnation=0)


def with_unsent(connection: Connection, unsent: int) -> Connection:
    """Return the connection whose last ``unsent`` calls have bytes that the kernel has not accepted."""
    stage, server, incarnation, calls, _, shared = connection
    return Connection(stage, server, incarnation, calls, min(unsent, len(calls)), shared)


def closing(connection: Connection) -> Connection:
    """Return the connection as one that is being closed and carries no calls."""
    return Connection(Stage.SPENT, connection.server, connection.incarnation)


def is_unsent(connection: Connection, call: Call) -> bool:
    """Return whether part of that call is still unsent. Bytes are sent in the order in which they were
    written."""
    if not connection.unsent:
        return False
    return call in connection.calls[len(connection.calls) - connection.unsent :]
