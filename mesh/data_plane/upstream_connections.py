"""Connections to the upstream beside this sidecar: one call at a time on each, reused while that is safe.

A connection is reused only after its response was complete, the only one, and with the call's id. A response
with another id is a second response to an earlier call; it is ignored and the right one is waited for. Ids
come from clients, which may reuse one: a call whose id was used recently gets a new connection, on which no
response to the earlier call can arrive.
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
from mesh.admission.buffer_budget import BufferQuota, Reservation
from mesh.data_plane.call_messages import BodyBytes
from mesh.data_plane.call_state import CONNECTION_TABLE, Event, State, answers_call
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.transport.link import Address

CONNECT_S = 0.5
DRAIN_SHARE = 0.3  # of drain_ms: longest time for which opening a connection may delay a call
DEFAULT_IDLE_S = 3.0  # where a response does not say how long the connection is kept
IDLE_MARGIN_S = 0.7  # a connection is closed this long before the upstream would close it
MAX_IDLE_S = 30.0
MAX_RESPONSE_BYTES = 1 << 30  # limit of a response body, independent of the memory available
DEFAULT_RESPONSE_MEMORY_BYTES = 64 * 1024 * 1024  # for responses, until the pool gets its shared memory
MAX_STRAY_RESPONSES = 4  # responses with another id on one connection, before it is closed
MAX_RECENT_IDS = 4096  # ids of the latest calls
ATTEMPT_ID = b"attempt-id"
# Module constants, because an enum member lookup is slow and these are used for every call.
SENT = State.SENT
AFTER_SEND = CONNECTION_TABLE[State.IDLE, Event.ASK]
AFTER_ANSWER = CONNECTION_TABLE[SENT, Event.ANSWER]


class ResponseReceived(Struct, frozen=True):
    """A complete response to the call. ``reservation``: the memory reserved for its body."""

    message: http.Message
    reservation: Reservation | None = None


class NotSent(Struct, frozen=True):
    """Nothing was sent, so the call has not run. ``refused``: the upstream does not listen."""

    refused: bool


class ExchangeFailed(Struct, frozen=True):
    """No complete response; the call may have run."""

    reason: str


ExchangeOutcome = ResponseReceived | NotSent | ExchangeFailed


class ResponseReader(http.Reader):
    """Reads responses. One for which there is no memory is refused as soon as its length is known."""

    def __init__(self, memory: BufferQuota) -> None:
        """``memory`` limits what is read."""
        super().__init__(httptools.HttpResponseParser, MAX_RESPONSE_BYTES)
        self._memory = memory
        self._reservation = Reservation(memory)
        self._complete_reservations: list[Reservation] = []  # of the complete responses

    def on_headers_complete(self) -> None:
        """Reserves memory for a body of known length."""
        super().on_headers_complete()
        if self._length:
            self._reserve(self._length)

    def on_body(self, part: bytes) -> None:
        """Reserves memory for a part of a body of unknown length."""
        if self._length is None:
            self._reserve(len(part))
        super().on_body(part)

    def on_message_complete(self) -> None:
        """Stores the reservation with its response."""
        before = len(self._complete)
        super().on_message_complete()
        self._body = bytearray()
        if len(self._complete) > before:
            self._complete_reservations.append(self._reservation)
            self._reservation = Reservation(self._memory)

    def _reserve(self, size: int) -> None:
        if not self._reservation.grow(size):
            self._refuse(HTTPStatus.INSUFFICIENT_STORAGE)

    def take_responses(self) -> list[ResponseReceived]:
        """The complete responses, each with its reservation."""
        reservations, self._complete_reservations = self._complete_reservations, []
        return [
            ResponseReceived(message, reservation)
            for message, reservation in zip(self.take(), reservations, strict=True)
        ]

    def release(self) -> None:
        """Releases the memory of a response that will not be completed."""
        self._reservation.release()
        self._complete_reservations.clear()


class UpstreamConnection(http.Buffered):
    """One connection to the upstream."""

    def __init__(self, pool: UpstreamConnectionPool) -> None:
        """Starts unconnected."""
        self._pool = pool
        self._reader = ResponseReader(pool.response_memory)
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._attempt_id = b""
        self._on_end: Callable[[ExchangeOutcome], None] | None = None
        self._stray_responses = 0
        self.state = State.IDLE
        self.keep_until = 0.0

    def apply(self, event: Event) -> bool:
        """Applies the event. Returns False if it has no effect in this state."""
        state = CONNECTION_TABLE.get((self.state, event))
        if state is None:
            return False
        self.state = state
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets up the connected socket."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poll.register(sock.fileno(), select.POLLIN)

    def usable(self, now: float) -> bool:
        """Whether it is within its idle time and, as far as the kernel knows, has received nothing."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and now < self.keep_until
            and not self._poll.poll(0)
        )

    def send(
        self, attempt: bytes, payload: bytes, on_end: Callable[[ExchangeOutcome], None], body: BodyBytes = b""
    ) -> None:
        """Writes a call; ``body`` follows the payload."""
        assert self._transport is not None
        self.state = AFTER_SEND
        self._attempt_id, self._on_end = attempt, on_end
        self._transport.write(payload)
        if body:
            self._transport.write(body)

    def drop(self) -> None:
        """Cancels the call. The upstream stops working on it when the connection closes."""
        self.apply(Event.GIVEN_UP)
        self._on_end = None
        self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, why: str) -> None:
        if self.apply(Event.NO_ANSWER):
            self._end(ExchangeFailed(why))

    def _end(self, outcome: ExchangeOutcome) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(outcome)

    def data_received(self, data: bytes) -> None:
        """Reads a response or a part of one. Data without a call closes the connection."""
        if self.state is not SENT:  # no call is waiting
            self.apply(Event.STRAY)
            self.close()
            return
        try:
            self._reader.feed(data)
        except http.BadMessage as error:
            self._process_responses(self._reader.take_responses(), False)
            self.close()
            too_large = error.status is HTTPStatus.INSUFFICIENT_STORAGE
            self._fail("memory does not bear its answer" if too_large else "malformed response")
            return
        self._process_responses(self._reader.take_responses(), True)

    def eof_received(self) -> None:
        """Ends a response without a length, which is complete now."""
        try:
            self._reader.end()
        except http.BadMessage:
            return
        self._process_responses(self._reader.take_responses(), False)

    def _process_responses(self, responses: list[ResponseReceived], reusable: bool) -> None:
        while responses and self.state is SENT:
            response = responses.pop(0)
            message = response.message
            received_id = message.get(ATTEMPT_ID)
            if not answers_call(
                self._attempt_id, received_id.encode("latin-1") if received_id is not None else None
            ):
                self.apply(Event.STRAY)
                self._stray_responses += 1
                self._pool.event_log.emit(
                    events.ANSWER_MISMATCHED, wanted=self._attempt_id.decode("latin-1"), got=received_id
                )
                if self._stray_responses > MAX_STRAY_RESPONSES:
                    self.close()
                    self._fail("responses to other calls")
                continue
            if reusable and not responses and not self._reader.partial and message.keep_alive:
                self.state = AFTER_ANSWER
                self._pool.keep_idle(self, message)
            else:
                self.apply(Event.CROWDED)
                self.close()
            self._end(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the current call, which may have run."""
        self._pool.closed(self)
        self._reader.close()
        self._reader.release()
        self._fail("the connection ended")


class UpstreamConnectionPool:
    """All connections to one address, at most ``max_connections``."""

    def __init__(
        self, address: Address, max_connections: int, event_log: EventLog, drain_ms: float = math.inf
    ) -> None:
        """Starts without connections."""
        self.address, self.max_connections, self.event_log = address, max_connections, event_log
        self.connect_s = min(CONNECT_S, DRAIN_SHARE * drain_ms / 1000.0)
        # Replaced by the holding that is shared with other users of the memory.
        self.response_memory = BufferQuota(DEFAULT_RESPONSE_MEMORY_BYTES, DEFAULT_RESPONSE_MEMORY_BYTES)
        self._loop = asyncio.get_running_loop()
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._recent: set[bytes] = set()
        self._recent_order: deque[bytes] = deque()  # ids in `_recent`, the oldest first
        self._connecting = 0

    async def send(
        self, attempt: bytes, payload: bytes, on_end: Callable[[ExchangeOutcome], None], body: BodyBytes = b""
    ) -> UpstreamConnection | None:
        """Sends a call on an idle or new connection, ``body`` after the payload. ``on_end`` is called once
        with the outcome, unless the call is dropped."""
        now, repeated_id = self._loop.time(), attempt in self._recent
        while self._idle and not repeated_id:
            connection = self._idle.pop()
            if connection.usable(now):
                self._remember(attempt)
                connection.send(attempt, payload, on_end, body)
                return connection
            connection.close()
        if repeated_id and self._idle and len(self._open) + self._connecting >= self.max_connections:
            connection = self._idle.pop()  # makes room for a new connection
            connection.close()
            self._open.discard(connection)
        if len(self._open) + self._connecting >= self.max_connections:
            on_end(NotSent(False))
            return None
        self._connecting += 1
        try:
            async with asyncio.timeout(self.connect_s):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(self), *self.address
                )
        except (OSError, TimeoutError) as error:
            on_end(NotSent(isinstance(error, ConnectionRefusedError)))
            return None
        finally:
            self._connecting -= 1
        self._open.add(connection)
        if not repeated_id:
            self._remember(attempt)
        connection.send(attempt, payload, on_end, body)
        return connection

    def _remember(self, attempt: bytes) -> None:
        self._recent.add(attempt)
        self._recent_order.append(attempt)
        if len(self._recent_order) > MAX_RECENT_IDS:
            self._recent.discard(self._recent_order.popleft())

    def keep_idle(self, connection: UpstreamConnection, message: http.Message) -> None:
        """Keeps a connection for the next call, for as long as the response allows."""
        keep_s = DEFAULT_IDLE_S + IDLE_MARGIN_S
        for parameter in (message.get(b"keep-alive") or "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                keep_s = float(value)
        connection.keep_until = self._loop.time() + min(keep_s - IDLE_MARGIN_S, MAX_IDLE_S)
        self._idle.append(connection)

    def closed(self, connection: UpstreamConnection) -> None:
        """Removes a connection that has ended."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_expired(self) -> None:
        """Closes connections whose idle time is over."""
        now = self._loop.time()
        for connection in [item for item in self._idle if now >= item.keep_until]:
            self._idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self._open):
            connection.close()
