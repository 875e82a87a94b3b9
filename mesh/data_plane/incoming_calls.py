"""The second hop's end of a link: calls from a first hop, and its queries for calls of an earlier link."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

from mesh.admission.buffer_budget import Reservation
from mesh.admission.call_sessions import CallSessions, Session, SessionCall, Verdict
from mesh.admission.final_check import RejectReason
from mesh.data_plane.body_transfer import BodyTransfer
from mesh.data_plane.call_messages import (
    BodyAck,
    BodyBytes,
    BodyPiece,
    Call,
    CallHead,
    Drop,
    End,
    GoAway,
    InProgress,
    NotExecuted,
    StatusQuery,
    Unclear,
    UpstreamResponse,
    convert_from_first_hop,
    decode_from_first_hop,
    end_head,
    read_call,
)
from mesh.data_plane.call_state import SECOND_HOP_TABLE, Event, State
from mesh.data_plane.upstream_dispatch import FINAL_STATES, DispatchedCall, UpstreamDispatch
from mesh.transport.body_pieces import PIECE_BYTES
from mesh.transport.frames import MAX_NETSTRING_BYTES, RefusedBody
from mesh.transport.link import Link


class ReceivingCall:
    """A call whose body is being received in pieces. It is not dispatched before the body is complete."""

    __slots__ = ("started_at", "call", "entry", "state")

    def __init__(self, call: Call, entry: SessionCall[End] | None, started_at: float) -> None:
        """``started_at``: loop time in seconds when its frame arrived."""
        self.call, self.entry, self.started_at = call, entry, started_at
        self.state = State.RECEIVING

    def apply(self, event: Event) -> None:
        """Applies an event that has a row for the current state."""
        self.state = SECOND_HOP_TABLE[self.state, event]


class IncomingCalls:
    """The calls of one link from a first hop. ``session`` keeps what outlasts the link, if the first hop sent
    its incarnation. ``window``: bytes of a body in pieces that it accepts, from its greeting."""

    MAX_OPEN_CALLS = 4096  # per link; further calls are rejected

    def __init__(
        self,
        link: Link,
        dispatch: UpstreamDispatch,
        sessions: CallSessions[End] | None = None,
        session: Session[End] | None = None,
        window: int = 0,
    ) -> None:
        """Takes over a link after its greeting."""
        self._link, self._dispatch = link, dispatch
        self._sessions, self._session = sessions, session
        self._receiving: dict[int, ReceivingCall] = {}
        self._running: dict[int, DispatchedCall] = {}
        self._sending: dict[int, UpstreamResponse] = {}  # responses in pieces that are not sent completely
        self._loop = asyncio.get_running_loop()
        self._transfer = BodyTransfer(link, window)
        self._highest_number = 0  # of the calls received over this link
        self._leaving = False  # no further frames are accepted
        link.set_decoder(decode_from_first_hop)

    def handle_frame(self, message: Any, body: bytes) -> None:
        """Handles a `FirstHopMessage`, or the plain object of a frame directly behind the greeting. Raises
        ValueError."""
        if isinstance(message, dict):
            message = convert_from_first_hop(message)
        if self._leaving:
            return
        if isinstance(message, CallHead):
            self._on_call(message, body)
        elif isinstance(message, BodyPiece):
            self._transfer.on_piece(message.number, body)
        elif isinstance(message, BodyAck):
            self._transfer.on_ack(message)
        elif isinstance(message, Drop):
            self._on_drop(message.number)
        elif isinstance(message, StatusQuery) and self._session is not None:
            self._on_query(self._session, message.number, message.attempt)

    def _on_call(self, message: CallHead, body: bytes) -> None:
        number, session = message.number, self._session
        call = read_call(message, body)
        self._highest_number = max(self._highest_number, number)
        if session is not None and not session.accept(number):
            return  # a duplicate, or barred by a query: nobody waits for it on this link
        self._link.owed_replies += 1
        reservation = Reservation(self._dispatch.bodies)
        full = len(self._running) + len(self._receiving) >= self.MAX_OPEN_CALLS
        if full or isinstance(body, RefusedBody) or not reservation.grow(message.size or len(body)):
            self._send_end(number, NotExecuted(RejectReason.FULL))
            return
        entry: SessionCall[End] | None = None
        if session is not None and call.effectful:
            entry = session.calls[number] = SessionCall(call.attempt)
        if not message.size:
            self._start(number, call, entry, reservation)
            return
        receiving = self._receiving[number] = ReceivingCall(call, entry, self._loop.time())
        if entry is not None:
            entry.run = (receiving, self)
        self._transfer.expect(number, message.size, reservation, partial(self._on_body_complete, number))

    def _on_body_complete(self, number: int, body: BodyBytes, reservation: Reservation) -> None:
        """Handles the last piece of a call's body."""
        receiving = self._receiving.pop(number)
        receiving.apply(Event.WHOLE)
        call, entry = receiving.call, receiving.entry
        call.body = body
        call.charge_wait((self._loop.time() - receiving.started_at) * 1000.0)
        if entry is not None:
            entry.run = None
        self._start(number, call, entry, reservation)

    def _start(
        self, number: int, call: Call, entry: SessionCall[End] | None, reservation: Reservation
    ) -> None:
        """Dispatches a complete call to the upstream or its queue."""
        if entry is None:
            dispatched = self._dispatch.accept(call, lambda end: self._finish(number, end, reservation))
        else:
            dispatched = self._dispatch.accept(
                call, lambda end: self._finish_tracked(number, entry, end, reservation)
            )
        if dispatched is None or dispatched.state in FINAL_STATES:
            return
        self._running[number], dispatched.reservation = dispatched, reservation
        if entry is not None:
            entry.run, dispatched.entry = (dispatched, self), entry
            entry.waiting = dispatched.state is State.WAITING

    def _finish(self, number: int, end: End, reservation: Reservation) -> None:
        """Ends a call that cannot be queried. ``reservation`` holds the memory of its body."""
        reservation.release()
        self._send_end(number, end)

    def _finish_tracked(
        self, number: int, entry: SessionCall[End], end: End, reservation: Reservation
    ) -> None:
        """Ends a call that can be queried: keeps the end in the session, and sends it over the link on which
        the first hop waits for it, if there is one."""
        reservation.release()
        owner: IncomingCalls | None = self if entry.run is None else entry.run[1]
        if self._session is not None and self._sessions is not None:
            size = len(end.body) if isinstance(end, UpstreamResponse) else 0
            self._sessions.record_end(self._session, number, end, size, self._loop.time())
        if owner is not None:
            owner._send_end(number, end)
        elif isinstance(end, UpstreamResponse) and end.reservation is not None:
            end.reservation.release()  # ends kept for queries have a limit of their own

    def _send_end(self, number: int, end: End) -> None:
        self._running.pop(number, None)
        self._link.owed_replies -= 1
        if isinstance(end, UpstreamResponse) and len(end.body) > PIECE_BYTES and self._transfer.takes_pieces:
            self._sending[number] = end
            self._link.send(end_head(number, end, in_pieces=True)[0])
            self._transfer.send(number, end.body, partial(self._on_response_sent, number))
            return
        if isinstance(end, UpstreamResponse) and len(end.body) > MAX_NETSTRING_BYTES:
            end = Unclear(f"response of {len(end.body)} bytes is too long for the release of the peer")
        self._link.send(*end_head(number, end))
        if isinstance(end, UpstreamResponse) and end.reservation is not None:
            end.reservation.release()

    def _on_response_sent(self, number: int) -> None:
        """The last piece of a response is sent, or the first hop has dropped the rest."""
        end = self._sending.pop(number)
        if end.reservation is not None:
            end.reservation.release()

    def _on_drop(self, number: int) -> None:
        self._transfer.cancel_sending(number)  # of a response, even if all of it is written
        if number in self._sending:
            self._on_response_sent(number)
            return
        entry: SessionCall[End] | None
        if number in self._receiving:
            entry = self._receiving[number].entry
            self._withdraw(number, Event.GIVEN_UP)
        else:
            dispatched = self._running.pop(number, None)
            if dispatched is None:
                return
            self._link.owed_replies -= 1
            self._drop(dispatched)
            entry = dispatched.entry
        if entry is not None and self._session is not None and self._sessions is not None:
            self._sessions.record_end(self._session, number, None, 0, self._loop.time())

    def _withdraw(self, number: int, event: Event) -> None:
        """Gives up a call whose body is not complete; it never runs."""
        self._receiving.pop(number).apply(event)
        self._transfer.cancel_receiving(number)
        self._link.owed_replies -= 1

    def _on_query(self, session: Session[End], number: int, attempt: str) -> None:
        self._link.owed_replies += 1
        self._highest_number = max(self._highest_number, number)
        verdict, entry = session.ask(number, attempt)
        if verdict is Verdict.PASSED and entry is not None:
            dispatched, previous = entry.run
            if previous is not None and previous is not self:
                previous._release(number)
            entry.run, self._running[number] = (dispatched, self), dispatched
            dispatched.apply(Event.ASKED_BACK)
            self._link.send(InProgress(number=number))
            return
        if entry is not None and entry.run is not None:  # not at the upstream yet
            waiting, previous = entry.run
            if isinstance(waiting, ReceivingCall):
                previous._withdraw(number, Event.ASKED_BACK)
            else:
                if previous is not None:
                    previous._release(number)
                self._drop(waiting, Event.ASKED_BACK)
        if verdict is Verdict.NO:
            self._send_end(number, NotExecuted(RejectReason.LOST))
        elif verdict is Verdict.DONE and entry is not None and entry.end is not None:
            self._send_end(number, entry.end)
        else:
            self._send_end(number, Unclear("the call was here, but its end is no longer kept"))

    @property
    def receiving(self) -> bool:
        """Whether a call's body is still being received."""
        return bool(self._receiving)

    def leave(self) -> None:
        """Stops accepting calls because this process is shutting down. Calls without a complete body never
        run; the first hop is notified and may send them elsewhere. Calls at the upstream continue while there
        is time."""
        for number in list(self._receiving):
            entry = self._receiving[number].entry
            self._withdraw(number, Event.GIVEN_UP)
            self._link.owed_replies += 1  # for the end that is sent now
            if entry is not None and self._session is not None and self._sessions is not None:
                self._sessions.record_end(
                    self._session, number, NotExecuted(RejectReason.LEAVING), 0, self._loop.time()
                )
            self._send_end(number, NotExecuted(RejectReason.LEAVING))
        self._leaving = True
        self._link.send(GoAway(last=max(self._highest_number, self._session.highest if self._session else 0)))

    def _release(self, number: int) -> None:
        """The first hop waits for the call over another link now."""
        if self._running.pop(number, None) is not None:
            self._link.owed_replies -= 1

    def link_lost(self) -> None:
        """Handles the loss of the link. Idempotent calls are dropped, because the first hop has given them up
        and may have sent them elsewhere. Queued and incomplete calls do not run any more. Effectful calls at
        the upstream continue and may be queried."""
        session = self._session
        for number in list(self._receiving):
            self._withdraw(number, Event.LINK_LOST)
            if session is not None:
                session.on_link_lost(number)
        for number in list(self._sending):
            self._on_response_sent(number)
        self._transfer.close()
        lost_calls, self._running = self._running, {}
        for number, dispatched in lost_calls.items():
            entry = dispatched.entry
            if session is None or entry is None:
                self._drop(dispatched)
            elif session.on_link_lost(number) is not None:
                self._drop(dispatched, Event.LINK_LOST)
            else:
                dispatched.apply(Event.LINK_LOST)
                entry.run = (dispatched, None)
        if session is not None and self._sessions is not None:
            self._sessions.close(session, self._loop.time())

    def _drop(self, dispatched: DispatchedCall, event: Event = Event.GIVEN_UP) -> None:
        self._dispatch.drop(dispatched, event)
        if dispatched.reservation is not None:
            dispatched.reservation.release()
