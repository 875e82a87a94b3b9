"""Client connections: pipelined requests run concurrently, and their responses are sent in order.

An effectful request waits until it is the first one. Behind a response that closes the connection it would
count as unread and be sent again, so it must not have run.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools
from msgspec import Struct

from anisestair.flow.budget import Body
from anisestair.http import codec as http
from anisestair.http.frontend import ACCEPT_S, EXIT_S, READ_AHEAD, ClientConnection, Frontend, unread
from mesh.admission.buffer_budget import SHORT_BODY_BYTES, Reservation
from mesh.configuration.limits import InputLimits
from mesh.data_plane.call_messages import BodyBytes
from mesh.data_plane.request_dispatch import DEFAULT_RETRY_S, RequestDispatcher

MAX_PIPELINED = 8  # concurrent requests per connection
POLL_S = 0.02  # polling interval while shutting down
FIRST_REQUEST_S = 0.5  # an unused connection may close this long after it was opened
TRANSIT_S = 0.3  # longest transit of a request that its client sent within the announced idle time
IDLE_SHARE = 0.8  # of the idle limit that operators set


class RequestReader(http.Reader):
    """Reads the requests of one connection. Responds 413 or 431 beyond the operators' limits, and 503 if
    there is no memory for a body, as soon as its length is known."""

    def __init__(self, request_dispatcher: RequestDispatcher) -> None:
        super().__init__(httptools.HttpRequestParser, request_dispatcher.limits.body_bytes)
        self._dispatcher = request_dispatcher
        self.held = 0  # bytes of the incomplete body; those of a complete one belong to its message
        self._head = Reservation(request_dispatcher.buffers.heads)  # of an incomplete long head

    def feed(self, data: bytes) -> None:
        super().feed(data)
        if (
            self._in_head
            and self._overhead_bytes > http.SLICE
            and not self._head.grow(self._overhead_bytes - self._head.size)
        ):
            raise http.BadMessage(HTTPStatus.SERVICE_UNAVAILABLE)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.max_body, self.max_head = self._dispatcher.limits.body_bytes, self._dispatcher.limits.head_bytes

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self._length:
            self._reserve(self._length)

    def on_body(self, part: bytes) -> None:
        if self._length is None:
            self._reserve(len(part))
        super().on_body(part)

    def on_message_complete(self) -> None:
        if self._head.size:
            self._message.hold, self._head = self._head, Reservation(self._dispatcher.buffers.heads)
        super().on_message_complete()
        self.held = 0

    def _reserve(self, size: int) -> None:
        if not self._dispatcher.bodies.acquire(size, self.held):
            self.expects_continue = False
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        self.held += size

    def let_go(self) -> None:
        """Releases the memory of the incomplete message."""
        self._head.release()
        self._dispatcher.bodies.release(self.held)
        self.held = 0


class Response(Struct, frozen=True):
    """A response. Whether it closes the connection is decided when it is sent."""

    status: int
    headers: http.Headers
    body: BodyBytes


class Slot:
    """A request in its position on the connection."""

    __slots__ = ("closes", "id", "message", "ready_at", "reply", "received_ms")

    def __init__(self, received_ms: float, message: http.Message) -> None:
        self.received_ms, self.message = received_ms, message
        self.id: str | None = None  # until it has a response
        self.reply: Response | None = None  # waits for the responses before it; its body is charged
        self.ready_at = 0.0  # loop time in seconds, if traced
        self.closes = not message.keep_alive


class PipelinedConnection(ClientConnection):
    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        assert isinstance(frontend, ClientListener)
        self._client_listener, self._dispatcher = frontend, frontend.request_dispatcher
        self.reader = self._inflow = RequestReader(self._dispatcher)
        self._slots: deque[Slot] = deque()
        self._advancing = False
        self._unsent_bytes = 0  # bytes of responses that the client had not read at the last sweep
        self._charged_bytes = 0  # the part of them charged as memory
        self.idle_since = self._client_listener.loop.time()  # since the start or the last response
        self._announced_idle_s = 0  # by the last response, even if another time is announced later

    def may_close(self, now: float) -> bool:
        """Whether the client sends nothing more on it, as far as can be known: it has been idle for longer
        than announced, or has sent no request for some time after it was opened."""
        idle_s = self._announced_idle_s + TRANSIT_S if self.has_sent_request else FIRST_REQUEST_S
        return now - self.idle_since >= idle_s and self.idle()

    def reads(self) -> bool:
        """Whether the client has read some of its responses since the last sweep."""
        assert self.transport is not None
        before, self._unsent_bytes = self._unsent_bytes, self.transport.get_write_buffer_size()
        self._charge_unsent(self._unsent_bytes)
        return self._unsent_bytes < before

    def _charge_unsent(self, unsent: int) -> None:
        """Charges responses that wait for the client. Short ones fit in the kernel's buffer and are not
        charged."""
        charged_bytes = unsent if unsent > SHORT_BODY_BYTES else 0
        self._dispatcher.buffers.answers.charge(charged_bytes - self._charged_bytes)
        self._charged_bytes = charged_bytes

    def resume_writing(self) -> None:
        self._charge_unsent(0)
        super().resume_writing()

    def advance(self) -> None:
        if self._advancing:  # a response was given while a request was being dispatched
            return
        self._advancing = True
        try:
            self._advance()
        finally:
            self._advancing = False

    def _advance(self) -> None:
        if self.transport is None or self.transport.is_closing() or self.refused:
            return
        if not (self._dispatcher.closed and (self._slots or self.waiting)):
            self.parse()  # late in a shutdown nothing more is read
        self.pace()
        while self.waiting and len(self._slots) < MAX_PIPELINED and not self.choked and self._may_begin():
            received_ms, message = self.waiting.popleft()
            slot = Slot(received_ms, message)
            self._slots.append(slot)
            self.current = self._slots[0].message
            try:
                slot.id = self._dispatcher.begin(
                    received_ms, message, lambda *response, slot=slot: self._reply(slot, *response)
                )
            except http.BadMessage as error:
                self._release_message(self._slots.pop().message)
                self.current = self._slots[0].message if self._slots else None
                self.fault = error
                self._drop_waiting()
                break
            self._flush()
            if self.transport.is_closing() or self.refused:
                return
        if self.fault is not None and not self._slots and not self.waiting:
            self.refuse(self.fault)
        elif len(self.waiting) > READ_AHEAD or self.unread:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _may_begin(self) -> bool:
        if not self._slots:
            return True
        route = self._dispatcher.route_of(self.waiting[0][1])
        last = self._slots[-1]
        return not last.closes and (route is None or not route.effectful)

    def _reply(self, slot: Slot, status: int, headers: http.Headers, body: BodyBytes) -> None:
        if self.transport is None or slot.reply is not None:
            return
        slot.id, slot.reply = None, Response(status, headers, body)
        self._dispatcher.buffers.answers.charge(len(body))
        if self._client_listener.trace is not None:
            slot.ready_at = self._client_listener.loop.time()
        if not self._advancing:
            self._flush()
            self.advance()

    def _closes_after(self, slot: Slot) -> bool:
        """Whether that response closes the connection; its slot is already removed. Decided when the response
        is sent: otherwise each of two responses that are ready together would take the other for the last.

        During a shutdown, requests that have arrived are answered first, also those still in the kernel. Late
        in a shutdown, unread requests count as not received: the client sends them again.
        """
        if slot.closes or not self.frontend.closing:
            return slot.closes
        if self._slots or self.waiting:
            return False
        return self._dispatcher.closed or not self._has_unread_data()

    def _has_unread_data(self) -> bool:
        assert self.transport is not None
        if self.unread or self.reader.partial:
            return True
        return unread(self.transport.get_extra_info("socket"))

    def _flush(self) -> None:
        """Sends the responses whose turn it is."""
        if self.transport is None or self.transport.is_closing():
            return
        while self._slots and (reply := self._slots[0].reply) is not None:
            slot = self._slots.popleft()
            self._release_message(slot.message)
            closes = self._closes_after(slot)
            headers = reply.headers if closes else reply.headers + self._client_listener.keep_alive
            self.transport.write(http.write_response(reply.status, headers, reply.body, closes))
            if self._client_listener.trace is not None:
                attempt = slot.message.get(b"attempt-id") or ""
                self._client_listener.trace(attempt, self._client_listener.loop.time() - slot.ready_at)
            self._dispatcher.buffers.answers.release(len(reply.body))
            self._charge_unsent(self.transport.get_write_buffer_size())
            self.since = self.idle_since = self.frontend.loop.time()
            self._announced_idle_s = self._client_listener.idle_s
            if closes:
                self._drop_slots()
                self._drop_waiting()
                if self.frontend.closing:
                    self.linger()  # the client did not know, and may have sent more
                else:
                    self.transport.close()
                return
        self.current = self._slots[0].message if self._slots else None
        if self.current is None:
            self.frontend.resting[self] = None

    def _drop_slots(self) -> None:
        slots, self._slots = self._slots, deque()
        self.current = None
        for slot in slots:
            self._release_message(slot.message)
            if slot.reply is not None:
                self._dispatcher.buffers.answers.release(len(slot.reply.body))
            if slot.id is not None:
                self._dispatcher.client_gone(slot.id)

    def _drop_waiting(self) -> None:
        for _, message in self.waiting:
            self._release_message(message)
        self.waiting.clear()

    def _release_message(self, message: http.Message) -> None:
        self._dispatcher.bodies.release(len(message.body))
        if isinstance(message.hold, Reservation):
            message.hold.release()

    def let_go(self) -> None:
        self._inflow.let_go()
        self._drop_waiting()

    def advice(self, fault: http.BadMessage) -> http.Headers:
        if fault.status is not HTTPStatus.SERVICE_UNAVAILABLE:
            return []
        return [(b"retry-after", b"%.3f" % DEFAULT_RETRY_S)]

    def refuse(self, fault: http.BadMessage) -> None:
        self._drop_slots()
        super().refuse(fault)

    def answer(self, status: int, headers: http.Headers, body: bytes | Body) -> None:
        raise AssertionError("responses are sent through their slots")

    def connection_lost(self, exc: Exception | None) -> None:
        self._drop_slots()
        self._charge_unsent(0)
        super().connection_lost(exc)

    def idle(self) -> bool:
        return not self._slots and super().idle()


class ClientListener(Frontend):
    connection = PipelinedConnection

    def __init__(self, request_dispatcher: RequestDispatcher, max_connections: int) -> None:
        self.request_dispatcher = request_dispatcher
        self.idle_s = 0  # idle time announced to clients, whole seconds
        self.keep_alive: http.Headers = []  # the header that announces it
        self._max_idle_s = 0.0
        # If calls are traced: called for each response with the seconds that it waited to be sent.
        self.trace: Callable[[str, float], None] | None = None
        super().__init__(request_dispatcher, max_connections)

    def _sweep(self) -> None:
        """Clients may read slowly, as long as they read: a response may be long."""
        for connection in self._connections:
            if connection.choked and isinstance(connection, PipelinedConnection) and connection.reads():
                connection.since = self.loop.time()
        super()._sweep()

    def apply_limits(self, limits: InputLimits) -> None:
        """Applies the operators' limits: sizes for new requests, times for all."""
        self.request_dispatcher.limits = limits
        self.request_s, self.quiescent_s = limits.request_s, limits.idle_s
        # A shorter time for sending requests must not cut off clients that read their responses slowly.
        self.choked_s = max(self.choked_s, limits.request_s)
        self._update_keep_alive()

    def set_max_idle(self, max_idle_s: float) -> None:
        """Announces that a connection may be idle for ``max_idle_s`` seconds, or less if the operators'
        limits say so. A shutdown can wait that long and then close idle connections without losing a
        request."""
        self._max_idle_s = max_idle_s
        self._update_keep_alive()

    def _update_keep_alive(self) -> None:
        quiescent_s = self.quiescent_s if self.quiescent_s is not None else math.inf
        self.idle_s = int(min(self._max_idle_s, IDLE_SHARE * quiescent_s))
        self.keep_alive = [(b"keep-alive", b"timeout=%d" % self.idle_s)] if self.idle_s else []

    async def stop(self, accept_s: float = ACCEPT_S, exit_s: float | None = None) -> None:
        """Shuts down. From now on each connection closes with its next response. New connections are accepted
        for ``accept_s`` seconds; then each is closed once its client sends nothing more on it. Connections
        that are still open ``exit_s`` seconds from now, or EXIT_S, are given up after requests that were not
        passed on have been refused."""
        deadline = self.loop.time() + (EXIT_S if exit_s is None else exit_s)
        self.stopping = self.closing = True
        await asyncio.sleep(accept_s)
        self._stop_listening()
        while self._connections and self.loop.time() < deadline:
            now = self.loop.time()
            for connection in list(self._connections):
                if isinstance(connection, PipelinedConnection) and connection.may_close(now):
                    connection.close()
            await asyncio.sleep(POLL_S)
        if self._connections:
            self.request_dispatcher.abandon_all()
            await asyncio.sleep(POLL_S)  # the responses are sent
        if self._sweeper is not None:
            self._sweeper.cancel()

    def _stop_listening(self) -> None:
        """Accepts what has arrived and closes the listener in one step, because a connection arriving in
        between would be reset."""
        self._accept()
        if self._listener is not None:
            self._pause()
            self._listener.close()
            self._listener = None
