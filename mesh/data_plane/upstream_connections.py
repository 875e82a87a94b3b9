"""Connections to the upstream beside this sidecar: one call at a time on each, kept while that is safe.

A connection is used again only after its answer was whole, alone and for its id. An answer with another id is
one too many for an earlier call; it is passed over, and the right one waited for. Ids are the clients', who
may use one twice: a call whose id was here before has a connection of its own, on which no answer to the
first use can still come.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools
from msgspec import Struct

from anisestair.http import codec as http
from mesh.admission.buffer_budget import Holding, Reservation
from mesh.data_plane.call_messages import BodyBytes
from mesh.data_plane.call_state import CONNECTION_TABLE, Event, State, answers_call
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.transport.link import Address

CONNECT_S = 0.5
DRAIN_PART = 0.3  # of drain_ms is the longest that opening a connection may hold up a call that may pass
IDLE_S = 3.0  # where an answer does not tell how long the connection is kept
MARGIN_S = 0.7  # given back so long before the upstream would close it
LONGEST_S = 30.0
MOST_ANSWER = 1 << 30  # bytes of a body, whatever memory there is
UNSHARED_BYTES = 64 * 1024 * 1024  # of answers, until the tap is told what it shares
PASSED_OVER = 4  # answers with another id on one connection; more, and it is of no use
RECENT = 4096  # ids of the last calls
ID = b"attempt-id"
# Members of an enumeration are found slowly, and these are asked for with every call.
SENT = State.SENT
AFTER_ASK = CONNECTION_TABLE[State.IDLE, Event.ASK]
AFTER_ANSWER = CONNECTION_TABLE[SENT, Event.ANSWER]


class Answered(Struct, frozen=True):
    """A whole answer to this call; ``hold`` is the memory that is taken for its body."""

    message: http.Message
    hold: Reservation | None = None


class NotSent(Struct, frozen=True):
    """Nothing has left: it has not run. ``refused``: nobody listens there."""

    refused: bool


class Broken(Struct, frozen=True):
    """No whole answer, and it may have run."""

    why: str


Outcome = Answered | NotSent | Broken


class AnswerReader(http.Reader):
    """Whole answers of one connection. What memory does not bear is refused once its length is known."""

    def __init__(self, answers: Holding) -> None:
        """``answers`` bounds what is read."""
        super().__init__(httptools.HttpResponseParser, MOST_ANSWER)
        self._answers = answers
        self._hold = Reservation(answers)
        self._holds: list[Reservation] = []  # of those that are whole

    def on_headers_complete(self) -> None:
        """Takes room for a body of known length."""
        super().on_headers_complete()
        if self._length:
            self._grow(self._length)

    def on_body(self, part: bytes) -> None:
        """Takes room for a part of a body of unknown length."""
        if self._length is None:
            self._grow(len(part))
        super().on_body(part)

    def on_message_complete(self) -> None:
        """Puts the room beside its answer."""
        before = len(self._whole)
        super().on_message_complete()
        self._body = bytearray()
        if len(self._whole) > before:
            self._holds.append(self._hold)
            self._hold = Reservation(self._answers)

    def _grow(self, size: int) -> None:
        if not self._hold.grow(size):
            self._refuse(HTTPStatus.INSUFFICIENT_STORAGE)

    def take_held(self) -> list[Answered]:
        """Those that are whole, each with its memory."""
        holds, self._holds = self._holds, []
        return [Answered(message, hold) for message, hold in zip(self.take(), holds, strict=True)]

    def let_go(self) -> None:
        """Of what came of an answer that never is whole."""
        self._hold.release()
        self._holds.clear()


class TapConnection(http.Buffered):
    """One connection to the upstream."""

    def __init__(self, tap: Tap) -> None:
        """Not up yet."""
        self._tap = tap
        self._reader = AnswerReader(tap.answers)
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._id = b""
        self._ended: Callable[[Outcome], None] | None = None
        self._passed_over = 0
        self.state = State.IDLE
        self.keep_until = 0.0

    def on(self, event: Event) -> bool:
        """Takes the event; False where it has no effect in this state."""
        state = CONNECTION_TABLE.get((self.state, event))
        if state is None:
            return False
        self.state = state
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poll.register(sock.fileno(), select.POLLIN)

    def usable(self, now: float) -> bool:
        """Nothing has come while it stood idle, as far as the kernel knows, and it is not too old."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and now < self.keep_until
            and not self._poll.poll(0)
        )

    def ask(
        self, attempt: bytes, payload: bytes, ended: Callable[[Outcome], None], body: BodyBytes = b""
    ) -> None:
        """``body`` goes behind the payload."""
        assert self._transport is not None
        self.state = AFTER_ASK
        self._id, self._ended = attempt, ended
        self._transport.write(payload)
        if body:
            self._transport.write(body)

    def drop(self) -> None:
        """Nobody waits for the answer any more; the upstream stops when the connection closes."""
        self.on(Event.GIVEN_UP)
        self._ended = None
        self.close()

    def close(self) -> None:
        """Ends it at once."""
        if self._transport is not None:
            self._transport.abort()

    def _break(self, why: str) -> None:
        if self.on(Event.NO_ANSWER):
            self._end(Broken(why))

    def _end(self, outcome: Outcome) -> None:
        ended, self._ended = self._ended, None
        if ended is not None:
            ended(outcome)

    def data_received(self, data: bytes) -> None:
        """An answer, or a part of one; when nobody has asked, it ends the connection."""
        if self.state is not SENT:  # nobody asked
            self.on(Event.STRAY)
            self.close()
            return
        try:
            self._reader.feed(data)
        except http.BadMessage as fault:
            self._settle(self._reader.take_held(), False)
            self.close()
            large = fault.status is HTTPStatus.INSUFFICIENT_STORAGE
            self._break("memory does not bear its answer" if large else "what came is no answer")
            return
        self._settle(self._reader.take_held(), True)

    def eof_received(self) -> None:
        """Nothing more comes: an answer without a length is whole."""
        try:
            self._reader.end()
        except http.BadMessage:
            return
        self._settle(self._reader.take_held(), False)

    def _settle(self, answers: list[Answered], good: bool) -> None:
        while answers and self.state is SENT:
            answered = answers.pop(0)
            answer = answered.message
            told = answer.get(ID)
            if not answers_call(self._id, told.encode("latin-1") if told is not None else None):
                self.on(Event.STRAY)
                self._passed_over += 1
                self._tap.event_log.tell(events.WRONG_ANSWER, wanted=self._id.decode("latin-1"), got=told)
                if self._passed_over > PASSED_OVER:
                    self.close()
                    self._break("answers to other calls")
                continue
            if good and not answers and not self._reader.partial and answer.keep_alive:
                self.state = AFTER_ANSWER
                self._tap.rest(self, answer)
            else:
                self.on(Event.CROWDED)
                self.close()
            self._end(answered)

    def connection_lost(self, exc: Exception | None) -> None:
        """A call that is out may have run."""
        self._tap.lost(self)
        self._reader.close()
        self._reader.let_go()
        self._break("the connection ended")


class Tap:
    """All connections to one address. ``most`` bounds them."""

    def __init__(self, address: Address, most: int, event_log: EventLog, drain_ms: float = math.inf) -> None:
        """No connection is open yet."""
        self.address, self.most, self.event_log = address, most, event_log
        self.connect_s = min(CONNECT_S, DRAIN_PART * drain_ms / 1000.0)
        self.answers = Holding(UNSHARED_BYTES, UNSHARED_BYTES)  # the memory for answers, shared with others
        self._loop = asyncio.get_running_loop()
        self._idle: list[TapConnection] = []
        self._open: set[TapConnection] = set()
        self._recent: set[bytes] = set()
        self._order: deque[bytes] = deque()  # of these, the oldest first
        self._coming = 0

    async def ask(
        self, attempt: bytes, payload: bytes, ended: Callable[[Outcome], None], body: BodyBytes = b""
    ) -> TapConnection | None:
        """Puts a call on a connection, ``body`` behind its payload; ``ended`` is called once with its
        outcome, unless it is dropped."""
        now, again = self._loop.time(), attempt in self._recent
        while self._idle and not again:
            connection = self._idle.pop()
            if connection.usable(now):
                self._note(attempt)
                connection.ask(attempt, payload, ended, body)
                return connection
            connection.close()
        if again and self._idle and len(self._open) + self._coming >= self.most:
            connection = self._idle.pop()  # makes room
            connection.close()
            self._open.discard(connection)
        if len(self._open) + self._coming >= self.most:
            ended(NotSent(False))
            return None
        self._coming += 1
        try:
            async with asyncio.timeout(self.connect_s):
                _, connection = await self._loop.create_connection(lambda: TapConnection(self), *self.address)
        except (OSError, TimeoutError) as fault:
            ended(NotSent(isinstance(fault, ConnectionRefusedError)))
            return None
        finally:
            self._coming -= 1
        self._open.add(connection)
        if not again:
            self._note(attempt)
        connection.ask(attempt, payload, ended, body)
        return connection

    def _note(self, attempt: bytes) -> None:
        self._recent.add(attempt)
        self._order.append(attempt)
        if len(self._order) > RECENT:
            self._recent.discard(self._order.popleft())

    def rest(self, connection: TapConnection, answer: http.Message) -> None:
        """Keeps a connection for the next call, as long as its answer says."""
        keeps = IDLE_S + MARGIN_S
        for part in (answer.get(b"keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                keeps = float(value)
        connection.keep_until = self._loop.time() + min(keeps - MARGIN_S, LONGEST_S)
        self._idle.append(connection)

    def lost(self, connection: TapConnection) -> None:
        """A connection has ended."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self) -> None:
        """Closes what has stood idle for as long as it may."""
        now = self._loop.time()
        for connection in [item for item in self._idle if now >= item.keep_until]:
            self._idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Ends all connections."""
        for connection in list(self._open):
            connection.close()
