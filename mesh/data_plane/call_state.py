"""State machine of a call over both hops, as one table of states and events, and the results that a client
may get. No I/O.

`docs/design/calls.md` lists the same rows, and a test compares the two. The programs look up each event here.
An event without a row is ignored, so late, duplicate and crossed events have no effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Any

from msgspec import Struct, field

from anisestair.http import codec as http
from hareloom.interface import Outcome
from mesh.admission.final_check import RejectReason
from mesh.configuration.routes import Route
from mesh.data_plane.call_messages import Call, End, NotExecuted, UpstreamResponse

# Waiting in vain or a lost message says nothing about the upstream's speed, which the balancer's w measures.
NOT_CONNECT_FAILURES = frozenset({RejectReason.FULL, RejectReason.LATE, RejectReason.LOST, RejectReason.OLD})


class State(IntEnum):
    """State of a call at one hop, or of a connection to the upstream."""

    READ = 1  # received whole; nothing has been done for it yet
    CHOSEN = 2  # an upstream has been chosen and the link to its node is being opened
    SENT = 3  # written to the link
    WAITING = 4  # queued for a slot at the upstream
    PASSED_ON = 5  # on a connection to the upstream, or about to be written to one
    ANSWERED = 6  # the upstream has responded
    UNCLEAR = 7  # its link was lost; the first hop queries the second hop for its result
    WITHDRAWN = 8  # cancelled: nobody waits for it any more
    ENDED = 9  # ended without a response of the upstream; at the first hop: its end has arrived
    IDLE = 10  # connection to the upstream: not in use
    CLOSED = 11  # connection to the upstream: never used again
    SENDING = 12  # the body is being sent in pieces and the last piece has not been written
    RECEIVING = 13  # the body is being received in pieces and is not complete


class Event(IntEnum):
    """Event that may change the state of a call or of a connection."""

    LINK_UP = 1
    LINK_DOWN = 2  # the link does not come up in time, or accepts no frame
    LINK_LOST = 3
    ANSWER = 4  # the upstream's response: complete, the only one, and with the call's id
    TURNED_AWAY = 5  # with the guarantee that the call has not run and never will
    NO_ANSWER = 6  # the call may have run
    PASSED = 7  # the second hop reports that the call is at the upstream
    TIME_OVER = 8
    GIVEN_UP = 9  # the client has disconnected, or already has its response
    PLACE = 10  # the upstream has a free slot
    NO_PLACE = 11  # the queue has room, the upstream has none
    ASKED_BACK = 12
    ASK = 13  # a call is written to the connection
    STRAY = 14  # a response for another call, or on a connection without a call
    CROWDED = 15  # the call's response with more bytes behind it, or the connection is about to close
    PARTLY_SENT = 16  # the frame is written and the body follows in pieces
    WHOLE_SENT = 17  # the last piece is written
    WHOLE = 18  # the last piece has arrived


class ExecutionStatus(Enum):
    """What is known about whether a call has run."""

    NOT_YET = "has not run"
    NEVER = "has not run and never will"
    MAY = "may have run"
    RAN = "has run"
    SAME = "as before"


class Hop(Enum):
    """Where an edge applies."""

    FIRST = "first hop"
    SECOND = "second hop"
    TAP = "upstream's connection"


class Edge(Struct, frozen=True):
    """One row of the table. ``client_result``: the result that the client may get if the call ends by this
    edge and no other attempt is open. ``handler``: the function that implements the edge."""

    hop: Hop
    state: State
    event: Event
    next_state: State
    execution: ExecutionStatus
    client_result: str
    handler: str


S, E, C = State, Event, ExecutionStatus
RESPONSE, NOT_EXECUTED, NO_RESPONSE, PENDING = (
    "the upstream's",
    "503, or sent elsewhere",
    "502, 504",
    "nothing yet",
)
PEER_CALLS, UPSTREAM_DISPATCH, UPSTREAM_CONNECTIONS = (
    "data_plane/peer_calls.py:",
    "data_plane/upstream_dispatch.py:",
    "data_plane/upstream_connections.py:",
)
PEER_LINK = PEER_CALLS + "PeerLink."
DISPATCH = UPSTREAM_DISPATCH + "UpstreamDispatch."
CONNECTION = UPSTREAM_CONNECTIONS + "UpstreamConnection."
INCOMING = "data_plane/incoming_calls.py:IncomingCalls."

EDGES: tuple[Edge, ...] = tuple(
    Edge(hop, *row)
    for hop, rows in (
        (
            Hop.FIRST,
            (
                (S.CHOSEN, E.LINK_UP, S.SENT, C.MAY, PENDING, PEER_LINK + "_write"),
                (S.CHOSEN, E.LINK_DOWN, S.ENDED, C.NEVER, NOT_EXECUTED, PEER_LINK + "_reject"),
                (S.CHOSEN, E.GIVEN_UP, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, PEER_LINK + "drop"),
                (S.CHOSEN, E.PARTLY_SENT, S.SENDING, C.NOT_YET, PENDING, PEER_LINK + "_write"),
                (S.SENDING, E.WHOLE_SENT, S.SENT, C.MAY, PENDING, PEER_LINK + "_on_body_sent"),
                (S.SENDING, E.TURNED_AWAY, S.ENDED, C.NEVER, NOT_EXECUTED, PEER_LINK + "_finish"),
                (S.SENDING, E.NO_ANSWER, S.ENDED, C.MAY, NO_RESPONSE, PEER_LINK + "_finish"),
                (S.SENDING, E.LINK_LOST, S.ENDED, C.NEVER, NOT_EXECUTED, PEER_LINK + "_lose_call"),
                (S.SENDING, E.GIVEN_UP, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, PEER_LINK + "drop"),
                (S.SENT, E.ANSWER, S.ENDED, C.RAN, RESPONSE, PEER_LINK + "_finish"),
                (S.SENT, E.TURNED_AWAY, S.ENDED, C.NEVER, NOT_EXECUTED, PEER_LINK + "_finish"),
                (S.SENT, E.NO_ANSWER, S.ENDED, C.MAY, NO_RESPONSE, PEER_LINK + "_finish"),
                (S.SENT, E.LINK_LOST, S.UNCLEAR, C.MAY, PENDING, PEER_LINK + "_lose_call"),
                (S.SENT, E.GIVEN_UP, S.WITHDRAWN, C.MAY, NO_RESPONSE, PEER_LINK + "drop"),
                (S.UNCLEAR, E.LINK_LOST, S.UNCLEAR, C.MAY, PENDING, PEER_LINK + "_lose_call"),
                (S.UNCLEAR, E.PASSED, S.SENT, C.MAY, PENDING, PEER_LINK + "_on_frame"),
                (S.UNCLEAR, E.ANSWER, S.ENDED, C.RAN, RESPONSE, PEER_LINK + "_finish"),
                (S.UNCLEAR, E.TURNED_AWAY, S.ENDED, C.NEVER, NOT_EXECUTED, PEER_LINK + "_finish"),
                (S.UNCLEAR, E.NO_ANSWER, S.ENDED, C.MAY, NO_RESPONSE, PEER_LINK + "_finish"),
                (S.UNCLEAR, E.TIME_OVER, S.ENDED, C.MAY, NO_RESPONSE, PEER_LINK + "_end_unclear"),
                (S.UNCLEAR, E.GIVEN_UP, S.WITHDRAWN, C.MAY, NO_RESPONSE, PEER_LINK + "drop"),
            ),
        ),
        (
            Hop.SECOND,
            (
                (S.RECEIVING, E.WHOLE, S.READ, C.NOT_YET, PENDING, INCOMING + "_on_body_complete"),
                (S.RECEIVING, E.GIVEN_UP, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, INCOMING + "_withdraw"),
                (S.RECEIVING, E.LINK_LOST, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, INCOMING + "link_lost"),
                (S.RECEIVING, E.ASKED_BACK, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, INCOMING + "_withdraw"),
                (S.READ, E.PLACE, S.PASSED_ON, C.MAY, PENDING, DISPATCH + "_start"),
                (S.READ, E.NO_PLACE, S.WAITING, C.NOT_YET, PENDING, DISPATCH + "accept"),
                (S.WAITING, E.PLACE, S.PASSED_ON, C.MAY, PENDING, DISPATCH + "_start"),
                (S.WAITING, E.TURNED_AWAY, S.ENDED, C.NEVER, NOT_EXECUTED, DISPATCH + "_reject"),
                (S.WAITING, E.GIVEN_UP, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, DISPATCH + "drop"),
                (S.WAITING, E.LINK_LOST, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, DISPATCH + "drop"),
                (S.WAITING, E.ASKED_BACK, S.WITHDRAWN, C.NEVER, NOT_EXECUTED, DISPATCH + "drop"),
                (S.PASSED_ON, E.LINK_LOST, S.PASSED_ON, C.MAY, PENDING, INCOMING + "link_lost"),
                (S.PASSED_ON, E.ASKED_BACK, S.PASSED_ON, C.MAY, PENDING, INCOMING + "_on_query"),
                (S.PASSED_ON, E.ANSWER, S.ANSWERED, C.RAN, RESPONSE, DISPATCH + "_finish"),
                (S.PASSED_ON, E.TURNED_AWAY, S.ENDED, C.NEVER, NOT_EXECUTED, DISPATCH + "_finish"),
                (S.PASSED_ON, E.NO_ANSWER, S.ENDED, C.MAY, NO_RESPONSE, DISPATCH + "_finish"),
                (S.PASSED_ON, E.TIME_OVER, S.ENDED, C.MAY, NO_RESPONSE, DISPATCH + "_expire"),
                (S.PASSED_ON, E.GIVEN_UP, S.WITHDRAWN, C.MAY, NO_RESPONSE, DISPATCH + "drop"),
                (
                    S.ANSWERED,
                    E.ASKED_BACK,
                    S.ANSWERED,
                    C.RAN,
                    RESPONSE,
                    "admission/call_sessions.py:Session.ask",
                ),
                (
                    S.ENDED,
                    E.ASKED_BACK,
                    S.ENDED,
                    C.SAME,
                    "as before",
                    "admission/call_sessions.py:Session.ask",
                ),
                (
                    S.WITHDRAWN,
                    E.ASKED_BACK,
                    S.WITHDRAWN,
                    C.SAME,
                    "as before",
                    "admission/call_sessions.py:Session.ask",
                ),
            ),
        ),
        (
            Hop.TAP,
            (
                (S.IDLE, E.ASK, S.SENT, C.MAY, PENDING, CONNECTION + "send"),
                (S.IDLE, E.STRAY, S.CLOSED, C.SAME, "nobody", CONNECTION + "data_received"),
                (
                    S.IDLE,
                    E.TIME_OVER,
                    S.CLOSED,
                    C.SAME,
                    "nobody",
                    UPSTREAM_CONNECTIONS + "UpstreamConnectionPool.close_expired",
                ),
                (S.SENT, E.STRAY, S.SENT, C.MAY, PENDING, CONNECTION + "_process_responses"),
                (S.SENT, E.ANSWER, S.IDLE, C.RAN, RESPONSE, CONNECTION + "_process_responses"),
                (S.SENT, E.CROWDED, S.CLOSED, C.RAN, RESPONSE, CONNECTION + "_process_responses"),
                (S.SENT, E.NO_ANSWER, S.CLOSED, C.MAY, NO_RESPONSE, CONNECTION + "connection_lost"),
                (S.SENT, E.GIVEN_UP, S.CLOSED, C.MAY, NO_RESPONSE, CONNECTION + "drop"),
            ),
        ),
    )
    for row in rows
)

Transitions = dict[tuple[State, Event], State]


def _transitions(hop: Hop) -> Transitions:
    return {(edge.state, edge.event): edge.next_state for edge in EDGES if edge.hop is hop}


FIRST_HOP_TABLE, SECOND_HOP_TABLE = _transitions(Hop.FIRST), _transitions(Hop.SECOND)
CONNECTION_TABLE = _transitions(Hop.TAP)


# Module constants, because an enum member lookup is slow and these are used for every call.
ANSWERED, TURNED_AWAY, UNANSWERED = Event.ANSWER, Event.TURNED_AWAY, Event.NO_ANSWER
OK = Outcome.OK


def event_of(end: End) -> Event:
    """The event that the end of a call is, at either hop."""
    if isinstance(end, UpstreamResponse):
        return ANSWERED
    return TURNED_AWAY if isinstance(end, NotExecuted) else UNANSWERED


# These statuses promise the client that its request has not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


def outcome_of(end: End) -> Outcome:
    """The outcome reported to the balancer. Those in `hareloom.interface.NEVER_RAN` mean that the call has
    not run and never will."""
    if isinstance(end, UpstreamResponse):
        if end.status in NOT_EXECUTED_STATUSES:  # no promise without the not-executed header
            return Outcome.ERROR
        if end.status >= 500:
            return Outcome.TIMEOUT if end.status == 504 else Outcome.ERROR
        return OK
    if isinstance(end, NotExecuted):
        if end.reason in NOT_CONNECT_FAILURES:
            return Outcome.FULL if end.reached_upstream else Outcome.MOOT
        return Outcome.CONNECT_FAILED
    return Outcome.RESET


# Connections to the upstream


def answers_call(attempt: bytes, received: bytes | None) -> bool:
    """Whether a response with the id ``received``, or without an id, belongs to the call on its
    connection."""
    return received is None or received == attempt


# Results for the client


class Served(Struct, frozen=True):
    """The upstream's response, passed on unchanged."""

    response: UpstreamResponse


class Refused(Struct, frozen=True):
    """The request has not run and never will."""

    retry_after_ms: float


class Failed(Struct, frozen=True):
    """The request may have run. ``late``: its deadline has passed."""

    late: bool


class RouteChanged(Struct, frozen=True):
    """The request has not run, and its route has changed: it is to be routed again."""


ClientResult = Served | Refused | Failed | RouteChanged
Try = tuple[str, str, float]  # instance, how the attempt ended, duration in ms


CHOSEN, SENDING = State.CHOSEN, State.SENDING
NOT_STARTED = frozenset({State.READ, State.WAITING})  # states of a call at the second hop


class OutgoingCall:
    """An attempt of the first hop that has not ended."""

    __slots__ = ("query_timer", "call", "on_end", "incarnation", "link", "number", "local", "sent_s", "state")

    def __init__(self, call: Call, on_end: Callable[[End], None]) -> None:
        self.call, self.on_end = call, on_end
        self.state = CHOSEN
        self.link: Any = None  # the `PeerLink` to the node
        self.number = 0
        self.sent_s = 0.0  # loop time in seconds when it was written; before that, when it was handed over
        self.incarnation: str | None = None  # incarnation of the second hop on the link that was lost
        self.local: Any = None  # the `DispatchedCall`, where the second hop is this process
        self.query_timer: asyncio.TimerHandle | None = None  # ends the status query

    @property
    def may_have_started(self) -> bool:
        """Whether it may have reached the upstream, or may still reach it after this process stops
        waiting."""
        if self.local is not None:
            return self.local.state not in NOT_STARTED
        return self.state not in (CHOSEN, SENDING)

    def apply(self, event: Event) -> bool:
        """Applies the event. Returns False if it has no effect in this state."""
        state = FIRST_HOP_TABLE.get((self.state, event))
        if state is None:
            return False
        self.state = state
        return True


MIN_QUERY_SHARE = 0.25  # least part of its aim for which a call is queried, however late its link was lost


def query_window_ms(call: Call, since_ms: float) -> float:
    """How long, in milliseconds, the result of a call is queried after its link was lost: the rest of its
    aim, at least `MIN_QUERY_SHARE` of the aim, at most until its deadline. ``since_ms``: time since it was
    sent. Idempotent calls are not queried; they are retried elsewhere at once."""
    if not call.effectful:
        return 0.0
    aim_left_ms = call.aim_ms - call.age_ms - since_ms
    return max(min(max(aim_left_ms, MIN_QUERY_SHARE * call.aim_ms), call.remaining_ms - since_ms), 0.0)


class ClientRequest(Struct, eq=False):
    """A client's request, from its complete arrival to its single response."""

    id: str
    route: Route
    service: str
    message: http.Message
    headers: http.Headers
    attempt: str
    caller: str
    received_ms: float  # loop time in milliseconds
    deadline: float
    reply: Callable[[ClientResult], None]
    outgoing: list[OutgoingCall | None] = field(default_factory=list)
    sent_ms: list[float] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    reached: int = 0  # number of attempts that reached an upstream, or may have
    unclear: bool = False  # an attempt may have run
    last_error: UpstreamResponse | None = None  # response of an upstream that was not a success
    deadline_timer: asyncio.TimerHandle | None = None
    finished: bool = False
    accept_stale_route: bool = False  # its route version was rejected as old, and no newer one is known here
    repeat: bool = False  # made, as far as can be known, by an execution that was itself a repeat
    key: int | None = None  # the request's key, where the service is sharded

    def may_have_run(self) -> bool:
        """Whether an attempt may have run. An attempt whose body has not been sent completely has not run,
        and never will once it is dropped."""
        return self.unclear or any(call is not None and call.state is not SENDING for call in self.outgoing)

    def client_result(self, late: bool, retry_after_ms: float) -> ClientResult:
        """The result for the client when no further attempt is made. `Refused` promises that the request has
        not run and never will, and is given only where that is certain."""
        if self.last_error is not None:
            return Served(self.last_error)
        return Failed(late) if self.may_have_run() else Refused(retry_after_ms)
