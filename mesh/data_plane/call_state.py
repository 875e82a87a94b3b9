"""A call's life over both hops as one table of states and events, and what its client may be told. No I/O.

`docs/design/calls.md` shows the same rows, and a test holds the two together. The programs look each event up
here: what the table has no row for is passed over, so what comes late, twice or crossed has no effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Any

from msgspec import Struct, field

from anisestair.http import codec as http
from hareloom.interface import Outcome
from mesh.admission.final_check import Why
from mesh.configuration.routes import Route
from mesh.data_plane.call_messages import Call, End, NotExecuted, UpstreamResponse

# What waited in vain, or was lost on its way, says nothing of the upstream's pace, which is what w is.
NOT_CONNECT_FAILURES = frozenset({Why.FULL, Why.LATE, Why.LOST, Why.OLD})


class State(IntEnum):
    """Where a call is, as one hop or the upstream's connection has it."""

    READ = 1  # whole, and nothing done for it
    CHOSEN = 2  # an upstream is, and the link to it comes up
    SENT = 3  # written to the link
    WAITING = 4  # in the line before the upstream
    PASSED_ON = 5  # on a connection to the upstream, or on its way to one
    ANSWERED = 6  # by the upstream
    UNCLEAR = 7  # its link is lost; the second hop is asked back
    WITHDRAWN = 8  # nobody waits for it any more
    ENDED = 9  # without an answer of the upstream, or the first hop has its end
    IDLE = 10  # of a connection to the upstream: nobody's
    CLOSED = 11  # of a connection to the upstream: never used again
    SENDING = 12  # its body leaves in pieces, and the last has not left
    RECEIVING = 13  # its body comes in pieces, and is not whole


class Event(IntEnum):
    """What may befall it."""

    LINK_UP = 1
    LINK_DOWN = 2  # it does not come up in time, or takes no frame
    LINK_LOST = 3
    ANSWER = 4  # the upstream's own, whole, alone and for its id
    TURNED_AWAY = 5  # with the word that it has not run and never will
    NO_ANSWER = 6  # with the word that it may have run
    PASSED = 7  # the second hop's word that the upstream has it
    TIME_OVER = 8
    GIVEN_UP = 9  # the client has left, or has its answer
    PLACE = 10  # the upstream has one for it
    NO_PLACE = 11  # the line has
    ASKED_BACK = 12
    ASK = 13  # a call is written to the connection
    STRAY = 14  # an answer to another call, or to nobody's
    CROWDED = 15  # its own answer, with more behind it, or the connection is to close
    PARTLY_SENT = 16  # its frame is written, and its body follows in pieces
    WHOLE_SENT = 17  # the last of them is written
    WHOLE = 18  # the last of them has come


class ExecutionStatus(Enum):
    """What is known of a call's run."""

    NOT_YET = "has not run"
    NEVER = "has not run and never will"
    MAY = "may have run"
    RAN = "has run"
    SAME = "as before"


class Hop(Enum):
    FIRST = "first hop"
    SECOND = "second hop"
    TAP = "upstream's connection"


class Edge(Struct, frozen=True):
    """``told``: what the client may be told where the call ends by this edge and nothing else is out."""

    hop: Hop
    state: State
    event: Event
    next_state: State
    execution: ExecutionStatus
    client_result: str
    handler: str


S, E, C = State, Event, ExecutionStatus
UPSTREAM_RESPONSE, NOT_EXECUTED, NO_RESPONSE, PENDING = (
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
                (S.SENT, E.ANSWER, S.ENDED, C.RAN, UPSTREAM_RESPONSE, PEER_LINK + "_finish"),
                (S.SENT, E.TURNED_AWAY, S.ENDED, C.NEVER, NOT_EXECUTED, PEER_LINK + "_finish"),
                (S.SENT, E.NO_ANSWER, S.ENDED, C.MAY, NO_RESPONSE, PEER_LINK + "_finish"),
                (S.SENT, E.LINK_LOST, S.UNCLEAR, C.MAY, PENDING, PEER_LINK + "_lose_call"),
                (S.SENT, E.GIVEN_UP, S.WITHDRAWN, C.MAY, NO_RESPONSE, PEER_LINK + "drop"),
                (S.UNCLEAR, E.LINK_LOST, S.UNCLEAR, C.MAY, PENDING, PEER_LINK + "_lose_call"),
                (S.UNCLEAR, E.PASSED, S.SENT, C.MAY, PENDING, PEER_LINK + "_on_frame"),
                (S.UNCLEAR, E.ANSWER, S.ENDED, C.RAN, UPSTREAM_RESPONSE, PEER_LINK + "_finish"),
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
                (
                    S.PASSED_ON,
                    E.LINK_LOST,
                    S.PASSED_ON,
                    C.MAY,
                    PENDING,
                    INCOMING + "link_lost",
                ),
                (
                    S.PASSED_ON,
                    E.ASKED_BACK,
                    S.PASSED_ON,
                    C.MAY,
                    PENDING,
                    INCOMING + "_on_query",
                ),
                (S.PASSED_ON, E.ANSWER, S.ANSWERED, C.RAN, UPSTREAM_RESPONSE, DISPATCH + "_finish"),
                (S.PASSED_ON, E.TURNED_AWAY, S.ENDED, C.NEVER, NOT_EXECUTED, DISPATCH + "_finish"),
                (S.PASSED_ON, E.NO_ANSWER, S.ENDED, C.MAY, NO_RESPONSE, DISPATCH + "_finish"),
                (S.PASSED_ON, E.TIME_OVER, S.ENDED, C.MAY, NO_RESPONSE, DISPATCH + "_expire"),
                (S.PASSED_ON, E.GIVEN_UP, S.WITHDRAWN, C.MAY, NO_RESPONSE, DISPATCH + "drop"),
                (
                    S.ANSWERED,
                    E.ASKED_BACK,
                    S.ANSWERED,
                    C.RAN,
                    UPSTREAM_RESPONSE,
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
                (S.SENT, E.ANSWER, S.IDLE, C.RAN, UPSTREAM_RESPONSE, CONNECTION + "_process_responses"),
                (S.SENT, E.CROWDED, S.CLOSED, C.RAN, UPSTREAM_RESPONSE, CONNECTION + "_process_responses"),
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


# Members of an enumeration are found slowly, and these are asked for with every call.
ANSWERED, TURNED_AWAY, UNANSWERED = Event.ANSWER, Event.TURNED_AWAY, Event.NO_ANSWER
OK = Outcome.OK


def event_of(end: End) -> Event:
    """What the end of a call is at either hop."""
    if isinstance(end, UpstreamResponse):
        return ANSWERED
    return TURNED_AWAY if isinstance(end, NotExecuted) else UNANSWERED


NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})  # statuses that promise the client: not executed


def outcome_of(end: End) -> Outcome:
    """What the decisions are told: those of `hareloom.interface.NEVER_RAN` have not run and never will."""
    if isinstance(end, UpstreamResponse):
        if end.status in NOT_EXECUTED_STATUSES:  # without the mark that it did not run it is none
            return Outcome.ERROR
        if end.status >= 500:
            return Outcome.TIMEOUT if end.status == 504 else Outcome.ERROR
        return OK
    if isinstance(end, NotExecuted):
        if end.reason in NOT_CONNECT_FAILURES:
            return Outcome.FULL if end.reached_upstream else Outcome.MOOT
        return Outcome.CONNECT_FAILED
    return Outcome.RESET


# The upstream's connection


def answers_call(wanted: bytes, told: bytes | None) -> bool:
    """Whether an answer that tells that id, or none, is for the call on its connection."""
    return told is None or told == wanted


# The request as its client sees it


class Served(Struct, frozen=True):
    """An upstream's own answer, to be passed on as it is."""

    answer: UpstreamResponse


class Refused(Struct, frozen=True):
    """It has not run and never will."""

    retry_after_ms: float


class Failed(Struct, frozen=True):
    """It may have run; ``late``: its time is over."""

    late: bool


class RouteChanged(Struct, frozen=True):
    """It has not run, and its route is another by now: it is to be taken anew."""


ClientResult = Served | Refused | Failed | RouteChanged
Try = tuple[str, str, float]  # the upstream, how it ended, after so many milliseconds


CHOSEN, SENDING = State.CHOSEN, State.SENDING
NOT_STARTED = frozenset({State.READ, State.WAITING})  # of a call at the second hop


class OutgoingCall:
    """A call that the first hop has out."""

    __slots__ = (
        "query_timer",
        "call",
        "on_end",
        "peer_incarnation",
        "link",
        "number",
        "dispatched",
        "sent_s",
        "state",
    )

    def __init__(self, call: Call, ended: Callable[[End], None]) -> None:
        self.call, self.on_end = call, ended
        self.state = CHOSEN
        self.link: Any = None  # the node's, as the passage has it
        self.number = 0
        self.sent_s = 0.0  # seconds of the loop's clock; until it is written, when it was handed over
        self.peer_incarnation: str | None = None  # of the second hop, on the link that was lost
        self.dispatched: Any = None  # where the second hop is this process
        self.query_timer: asyncio.TimerHandle | None = None  # when asking back is over

    @property
    def may_have_started(self) -> bool:
        """Whether it may have reached the upstream, or still may once nobody here waits for it."""
        if self.dispatched is not None:
            return self.dispatched.state not in NOT_STARTED
        return self.state not in (CHOSEN, SENDING)

    def apply(self, event: Event) -> bool:
        """Takes the event; False where it has no effect in this state."""
        state = FIRST_HOP_TABLE.get((self.state, event))
        if state is None:
            return False
        self.state = state
        return True


MIN_QUERY_SHARE = 0.25  # of its aim a call is asked back for, however late its link was lost


def query_window_ms(call: Call, since_ms: float) -> float:
    """How long the end of a call whose link is lost is asked for: what its aim leaves, and a quarter of the
    aim at the least; not beyond its deadline. ``since_ms``: since it was sent. What may be repeated is not
    asked for: it goes elsewhere at once."""
    if not call.effectful:
        return 0.0
    leaves = call.aim_ms - call.age_ms - since_ms
    return max(min(max(leaves, MIN_QUERY_SHARE * call.aim_ms), call.remaining_ms - since_ms), 0.0)


class ClientRequest(Struct, eq=False):
    """A client's request, from its whole arrival to its one answer."""

    id: str
    route: Route
    service: str
    message: http.Message
    headers: http.Headers
    attempt: str
    caller: str
    received_ms: float  # milliseconds of the loop's clock
    deadline: float
    reply: Callable[[ClientResult], None]
    outgoing: list[OutgoingCall | None] = field(default_factory=list)
    sent_ms: list[float] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    reached: int = 0  # upstreams that it reached, or may have
    unclear: bool = False  # it may have run
    last_error: UpstreamResponse | None = None  # an upstream's answer that was no success
    deadline_timer: asyncio.TimerHandle | None = None
    finished: bool = False
    accept_stale_route: bool = False  # its route version was rejected as old, and no newer one is known here
    repeat: bool = False  # made by a run that was itself a repeat, as far as can be known
    key: int | None = None  # of a divided service, the key that it is on

    def may_have_run(self) -> bool:
        """One whose body has not left whole has not run, and never does once it is dropped."""
        return self.unclear or any(out is not None and out.state is not SENDING for out in self.outgoing)

    def client_result(self, late: bool, retry_after_ms: float) -> ClientResult:
        """What its client may be told now that nothing more is done for it: a promise only where it is
        certain that it has not run and never will."""
        if self.last_error is not None:
            return Served(self.last_error)
        return Failed(late) if self.may_have_run() else Refused(retry_after_ms)
