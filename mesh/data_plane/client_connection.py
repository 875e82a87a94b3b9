"""A client's connection: requests sent one behind another run at once, and are answered in their order.

An effectful one waits until it is the first: behind an answer that closes the connection it counts as not
read and is sent again, so it must not have run.
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

MAX_PIPELINED = 8  # requests of one connection that are in hand
POLL_S = 0.02  # between two looks at what is open, at an end
FIRST_REQUEST_S = 0.5  # after which a connection that was opened shortly before an end brings no request
TRANSIT_S = 0.3  # a request may be so long on its way, from a client that began it in time
IDLE_SHARE = 0.8  # of the time that a connection may rest by the operators' limits


class RequestReader(http.Reader):
    """The requests of one connection, whole: 413 or 431 beyond the operators' limits, 503 where this
    machine's memory does not bear a body, as soon as its length is known."""

    def __init__(self, request_dispatcher: RequestDispatcher) -> None:
        super().__init__(httptools.HttpRequestParser, request_dispatcher.limits.body)
        self._dispatcher = request_dispatcher
        self.held = 0  # bytes of the body being read; a whole one's are its message's
        self._head = Reservation(request_dispatcher.buffers.heads)  # of the head being read, where it is long

    def feed(self, data: bytes) -> None:
        super().feed(data)
        if self._in_head and self._spent > http.SLICE and not self._head.grow(self._spent - self._head.size):
            raise http.BadMessage(HTTPStatus.SERVICE_UNAVAILABLE)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.max_body, self.max_head = self._dispatcher.limits.body, self._dispatcher.limits.head

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
        """Of the message that was being read."""
        self._head.release()
        self._dispatcher.bodies.release(self.held)
        self.held = 0


class Response(Struct, frozen=True):
    """An answer. Whether it ends its connection is known only when its turn comes."""

    status: int
    headers: http.Headers
    body: BodyBytes


class Slot:
    """One request, in its place among those of its connection."""

    __slots__ = ("closes", "id", "message", "ready_at", "reply", "received_ms")

    def __init__(self, taken: float, message: http.Message) -> None:
        self.received_ms, self.message = taken, message
        self.id: str | None = None  # while it is in hand
        self.reply: Response | None = None  # until those before it have theirs; its body counts as held
        self.ready_at = 0.0  # since when, where that is traced; seconds of the loop's clock
        self.closes = not message.keep_alive


class PipelinedConnection(ClientConnection):
    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        assert isinstance(frontend, ClientListener)
        self._client_listener, self._dispatcher = frontend, frontend.request_dispatcher
        self.reader = self._inflow = RequestReader(self._dispatcher)
        self._slots: deque[Slot] = deque()
        self._advancing = False
        self._unsent_bytes = 0  # bytes of answers that the client had not taken at the last look
        self._charged_bytes = 0  # and those of them that count as held
        self.idle_since = self._client_listener.loop.time()  # its start, or its last answer
        self._announced_idle_s = 0  # by its last answer, whatever later ones are told

    def may_close(self, now: float) -> bool:
        """Whether its client sends nothing more on it, as far as can be known: it has rested for longer than
        its client was told that it may, or has brought no request for long after it was opened."""
        rest_s = self._announced_idle_s + TRANSIT_S if self.asked else FIRST_REQUEST_S
        return now - self.idle_since >= rest_s and self.idle()

    def reads(self) -> bool:
        """Whether its client has taken some of its answers since the last look."""
        assert self.transport is not None
        before, self._unsent_bytes = self._unsent_bytes, self.transport.get_write_buffer_size()
        self._charge_unsent(self._unsent_bytes)
        return self._unsent_bytes < before

    def _charge_unsent(self, unsent: int) -> None:
        """Answers that wait for their client are in hand. A few bytes are the kernel's affair."""
        held = unsent if unsent > SHORT_BODY_BYTES else 0
        self._dispatcher.buffers.answers.charge(held - self._charged_bytes)
        self._charged_bytes = held

    def resume_writing(self) -> None:
        self._charge_unsent(0)
        super().resume_writing()

    def advance(self) -> None:
        if self._advancing:  # an answer was given while a request was being taken
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
            self.parse()  # once there is no time for more, nothing is read behind what has been read
        self.pace()
        while self.waiting and len(self._slots) < MAX_PIPELINED and not self.choked and self._may_begin():
            taken, message = self.waiting.popleft()
            slot = Slot(taken, message)
            self._slots.append(slot)
            self.current = self._slots[0].message
            try:
                slot.id = self._dispatcher.begin(
                    taken, message, lambda *said, slot=slot: self._reply(slot, *said)
                )
            except http.BadMessage as fault:
                self._release_message(self._slots.pop().message)
                self.current = self._slots[0].message if self._slots else None
                self.fault = fault
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
        """Whether the connection ends with that answer, the slot being out of its place already. Asked when
        the answer leaves: each of two that are ready one behind the other would take the other for the last.

        At an end, what has come behind a request is answered first, also what the kernel still has. Once
        there is no time for more, what has not been read counts as not taken: its client sends it again."""
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
        """The answers whose turn it is."""
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
                    self.linger()  # its client did not know, and may have sent more
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
        raise AssertionError("answers go by their slot")

    def connection_lost(self, exc: Exception | None) -> None:
        self._drop_slots()
        self._charge_unsent(0)
        super().connection_lost(exc)

    def idle(self) -> bool:
        return not self._slots and super().idle()


class ClientListener(Frontend):
    connection = PipelinedConnection

    def __init__(self, request_dispatcher: RequestDispatcher, most: int) -> None:
        self.request_dispatcher = request_dispatcher
        self.idle_s = 0  # whole seconds for which clients are told that a connection may rest
        self.keep_alive: http.Headers = []  # the header that tells them
        self._max_idle_s = 0.0
        # Where calls are traced: told for each answer how many seconds it stood ready before it left.
        self.trace: Callable[[str, float], None] | None = None
        super().__init__(request_dispatcher, most)

    def _sweep(self) -> None:
        """A client may read as slowly as it likes, as long as it reads: an answer may be long."""
        for connection in self._connections:
            if connection.choked and isinstance(connection, PipelinedConnection) and connection.reads():
                connection.since = self.loop.time()
        super()._sweep()

    def apply_limits(self, limits: InputLimits) -> None:
        """The operators' limits from now on: of bytes for what begins now, of times for all."""
        self.request_dispatcher.limits = limits
        self.request_s, self.quiescent_s = limits.request_s, limits.quiescent_s
        # A change that leaves clients less time to send cuts off none that reads its answer slowly.
        self.choked_s = max(self.choked_s, limits.request_s)
        self._update_keep_alive()

    def set_max_idle(self, most_s: float) -> None:
        """Clients are told that a connection may rest for ``most_s`` seconds, or less where the operators'
        limits say so: an orderly end can wait for so long, and close what rests under no request."""
        self._max_idle_s = most_s
        self._update_keep_alive()

    def _update_keep_alive(self) -> None:
        quiescent_s = self.quiescent_s if self.quiescent_s is not None else math.inf
        self.idle_s = int(min(self._max_idle_s, IDLE_SHARE * quiescent_s))
        self.keep_alive = [(b"keep-alive", b"timeout=%d" % self.idle_s)] if self.idle_s else []

    async def stop(self, accept_s: float = ACCEPT_S, exit_s: float | None = None) -> None:
        """Ends in order. From now on each connection ends with its next answer. New ones are taken for
        ``accept_s`` seconds; then each ends once its client sends nothing more on it. What is still open
        ``exit_s`` seconds from now, or EXIT_S, is given up; what has not been sent on is refused before."""
        ends = self.loop.time() + (EXIT_S if exit_s is None else exit_s)
        self.stopping = self.closing = True
        await asyncio.sleep(accept_s)
        self._stop_listening()
        while self._connections and self.loop.time() < ends:
            now = self.loop.time()
            for connection in list(self._connections):
                if isinstance(connection, PipelinedConnection) and connection.may_close(now):
                    connection.close()
            await asyncio.sleep(POLL_S)
        if self._connections:
            self.request_dispatcher.abandon_all()
            await asyncio.sleep(POLL_S)  # the answers leave
        if self._sweeper is not None:
            self._sweeper.cancel()

    def _stop_listening(self) -> None:
        """Takes what has come, and nothing more, in one turn: what would come between the two would be
        reset."""
        self._accept()
        if self._listener is not None:
            self._pause()
            self._listener.close()
            self._listener = None
