"""Events that `Lives.handle` accepts and effects that it returns."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple, Union

from anisestair.lifecycle.connection import Call
from anisestair.lifecycle.exchange import Final
from hareloom.interface import Outcome

# Events. One that names a request or a connection that is no longer known is late and changes nothing.


class Take(NamedTuple):
    """A complete request has arrived from the application."""

    request: str


class Choose(NamedTuple):
    """The balancer sends a request to a server; ``in_time`` is False when its deadline has passed."""

    request: str
    server: str
    in_time: bool = True


class Settle(NamedTuple):
    """A final outcome other than an upstream's response: a decision, a deadline or a client that left."""

    request: str
    final: Final


class GiveUp(NamedTuple):
    """An attempt is abandoned: TIMEOUT or CANCELLED."""

    request: str
    number: int
    why: Outcome


class Up(NamedTuple):
    """A connection is established."""

    connection: int


class NotUp(NamedTuple):
    """A connect has failed; ``short``: because a local resource was exhausted."""

    connection: int
    short: bool


class Unusable(NamedTuple):
    """Before this call was written, its connection was found closed, or idle with unread bytes."""

    connection: int
    call: Call


class Held(NamedTuple):
    """The last ``unsent`` calls written have bytes that the kernel has not accepted; 0: all are sent."""

    connection: int
    unsent: int


class Answered(NamedTuple):
    """A complete response to a call. ``clean``: no bytes followed it, and the connection is reusable."""

    connection: int
    call: Call
    outcome: Outcome
    clean: bool


class Begun(NamedTuple):
    """The first bytes of a response 200 to a call that is too long to be buffered whole."""

    connection: int
    call: Call


class Spoilt(NamedTuple):
    """The received bytes cannot be parsed, or belong to no call."""

    connection: int


class Expire(NamedTuple):
    """A connection has reached the idle timeout."""

    connection: int


class Lost(NamedTuple):
    """The connection is closed by either side; no event of it follows."""

    connection: int


class Listing(NamedTuple):
    """One entry of an endpoint list; ``life`` is None for a server that was removed."""

    server: str
    ready: bool
    life: Hashable
    calls: int = 1  # maximum number of concurrent calls on one connection


class Listed(NamedTuple):
    """The complete endpoint list or, if ``whole`` is False, the changes to it."""

    entries: tuple[Listing, ...]
    whole: bool


class Room(NamedTuple):
    """The maximum number of connections has changed."""

    most: int


class End(NamedTuple):
    """The program terminates: requests without an outcome are answered, so that no client waits."""


Event = Union[
    Take,
    Choose,
    Settle,
    GiveUp,
    Up,
    NotUp,
    Unusable,
    Held,
    Answered,
    Begun,
    Spoilt,
    Expire,
    Lost,
    Listed,
    Room,
    End,
]

# Effects


class Reply(NamedTuple):
    """Send the client its only response; ``number`` is the attempt that served it."""

    request: str
    final: Final
    number: int | None


class Passed(NamedTuple):
    """A streamed response has ended: ``whole``, or truncated, which the client must be able to detect."""

    request: str
    whole: bool


class Ended(NamedTuple):
    """Report to the balancer how an attempt ended; ``closed``: the request has its final outcome."""

    request: str
    number: int
    outcome: Outcome
    closed: bool


class Left(NamedTuple):
    """Report to the balancer that a request has its final outcome."""

    request: str


class Forget(NamedTuple):
    """Release the request: no state refers to it any more."""

    request: str


class Open(NamedTuple):
    """Connect to a server; `Up` or `NotUp` follows."""

    connection: int
    server: str


class Write(NamedTuple):
    """Write a call; ``kept``: the connection was established before and is checked first (`Unusable`)."""

    connection: int
    call: Call
    kept: bool


class Rest(NamedTuple):
    """The connection is idle from now on; `Expire` follows at the idle timeout."""

    connection: int


class Close(NamedTuple):
    """Abort the connection and discard unsent bytes. `Lost` follows."""

    connection: int


Effect = Union[Reply, Passed, Ended, Left, Forget, Open, Write, Rest, Close]
