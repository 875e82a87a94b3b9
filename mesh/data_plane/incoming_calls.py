"""The second hop's end of a link: calls that come from a first hop, and its questions after those that were
out on a link before."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

from mesh.admission.buffer_budget import Reservation
from mesh.admission.call_sessions import Kept, Session, Sessions, Verdict
from mesh.admission.final_check import Why
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
from mesh.transport.frames import MOST, RefusedBody
from mesh.transport.link import Link


class ReceivingCall:
    """A call whose body comes in pieces; nothing of it is passed on before it is whole."""

    __slots__ = ("started_at", "call", "session_entry", "state")

    def __init__(self, call: Call, entry: Kept[End] | None, started_at: float) -> None:
        """``began``: when its frame came, in seconds of the loop."""
        self.call, self.session_entry, self.started_at = call, entry, started_at
        self.state = State.RECEIVING

    def apply(self, event: Event) -> None:
        """Takes an event that its state has a row for."""
        self.state = SECOND_HOP_TABLE[self.state, event]


class IncomingCalls:
    """The other end: calls that come from a first hop over one link. ``session`` has what outlasts the link,
    where the first hop tells its life; ``window`` is what its greeting says that it takes of a body."""

    MAX_OPEN_CALLS = 4096  # calls in hand over one link; more are turned away

    def __init__(
        self,
        link: Link,
        dispatch: UpstreamDispatch,
        sessions: Sessions[End] | None = None,
        session: Session[End] | None = None,
        window: int = 0,
    ) -> None:
        """Takes over the link of a greeting."""
        self._link, self._dispatch = link, dispatch
        self._sessions, self._session = sessions, session
        self._receiving: dict[int, ReceivingCall] = {}
        self._running: dict[int, DispatchedCall] = {}
        self._sending: dict[int, UpstreamResponse] = {}  # answers in pieces that are not written whole
        self._loop = asyncio.get_running_loop()
        self._transfer = BodyTransfer(link, window)
        self._highest_number = 0  # the highest number that has come over this link
        self._leaving = False  # nothing more is taken
        link.read_with(decode_from_first_hop)

    def handle_frame(self, message: Any, body: bytes) -> None:
        """A `FirstHopMessage`, or the object of one right behind the greeting. Raises ValueError."""
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
        if session is not None and not session.take(number):
            return  # a second copy, or barred: whoever sent it waits for no answer over this link
        self._link.owes += 1
        reservation = Reservation(self._dispatch.bodies)
        full = len(self._running) + len(self._receiving) >= self.MAX_OPEN_CALLS
        if full or isinstance(body, RefusedBody) or not reservation.grow(message.size or len(body)):
            self._send_end(number, NotExecuted(Why.FULL))
            return
        entry: Kept[End] | None = None
        if session is not None and call.effectful:
            entry = session.calls[number] = Kept(call.attempt)
        if not message.size:
            self._start(number, call, entry, reservation)
            return
        receiving = self._receiving[number] = ReceivingCall(call, entry, self._loop.time())
        if entry is not None:
            entry.run = (receiving, self)
        self._transfer.expect(number, message.size, reservation, partial(self._on_body_complete, number))

    def _on_body_complete(self, number: int, body: BodyBytes, reservation: Reservation) -> None:
        """The last piece of a call's body has come."""
        receiving = self._receiving.pop(number)
        receiving.apply(Event.WHOLE)
        call, entry = receiving.call, receiving.session_entry
        call.body = body
        call.charge_wait((self._loop.time() - receiving.started_at) * 1000.0)
        if entry is not None:
            entry.run = None
        self._start(number, call, entry, reservation)

    def _start(self, number: int, call: Call, entry: Kept[End] | None, reservation: Reservation) -> None:
        """Passes a whole call on to the upstream, or to the line before it."""
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
            entry.run, dispatched.session_entry = (dispatched, self), entry
            entry.waits = dispatched.state is State.WAITING

    def _finish(self, number: int, end: End, reservation: Reservation) -> None:
        """A call has its end; ``hold`` is its body's memory."""
        reservation.release()
        self._send_end(number, end)

    def _finish_tracked(self, number: int, entry: Kept[End], end: End, reservation: Reservation) -> None:
        """So has one that can be asked for: to the link on which it is waited for, if there is one, and held
        besides."""
        reservation.release()
        owner: IncomingCalls | None = self if entry.run is None else entry.run[1]
        if self._session is not None and self._sessions is not None:
            size = len(end.body) if isinstance(end, UpstreamResponse) else 0
            self._sessions.end(self._session, number, end, size, self._loop.time())
        if owner is not None:
            owner._send_end(number, end)
        elif isinstance(end, UpstreamResponse) and end.reservation is not None:
            end.reservation.release()  # what is held for a question has a bound of its own

    def _send_end(self, number: int, end: End) -> None:
        self._running.pop(number, None)
        self._link.owes -= 1
        if isinstance(end, UpstreamResponse) and len(end.body) > PIECE_BYTES and self._transfer.takes_pieces:
            self._sending[number] = end
            self._link.send(end_head(number, end, in_pieces=True)[0])
            self._transfer.send(number, end.body, partial(self._on_response_sent, number))
            return
        if isinstance(end, UpstreamResponse) and len(end.body) > MOST:
            end = Unclear(f"an answer of {len(end.body)} bytes is more than an earlier program takes")
        self._link.send(*end_head(number, end))
        if isinstance(end, UpstreamResponse) and end.reservation is not None:
            end.reservation.release()

    def _on_response_sent(self, number: int) -> None:
        """The last piece of an answer has left, or nobody wants the rest."""
        end = self._sending.pop(number)
        if end.reservation is not None:
            end.reservation.release()

    def _on_drop(self, number: int) -> None:
        self._transfer.cancel_sending(number)  # of an answer, also when all of it is written
        if number in self._sending:
            self._on_response_sent(number)
            return
        entry: Kept[End] | None
        if number in self._receiving:
            entry = self._receiving[number].session_entry
            self._withdraw(number, Event.GIVEN_UP)
        else:
            dispatched = self._running.pop(number, None)
            if dispatched is None:
                return
            self._link.owes -= 1
            self._drop(dispatched)
            entry = dispatched.session_entry
        if entry is not None and self._session is not None and self._sessions is not None:
            self._sessions.end(self._session, number, None, 0, self._loop.time())

    def _withdraw(self, number: int, event: Event) -> None:
        """A call whose body is not whole is given up, and never runs."""
        self._receiving.pop(number).apply(event)
        self._transfer.cancel_receiving(number)
        self._link.owes -= 1

    def _on_query(self, session: Session[End], number: int, attempt: str) -> None:
        self._link.owes += 1
        self._highest_number = max(self._highest_number, number)
        verdict, entry = session.ask(number, attempt)
        if verdict is Verdict.PASSED and entry is not None:
            dispatched, previous = entry.run
            if previous is not None and previous is not self:
                previous._leave(number)
            entry.run, self._running[number] = (dispatched, self), dispatched
            dispatched.on(Event.ASKED_BACK)
            self._link.send(InProgress(number=number))
            return
        if entry is not None and entry.run is not None:  # it waits
            waiting, previous = entry.run
            if isinstance(waiting, ReceivingCall):
                previous._withdraw(number, Event.ASKED_BACK)
            else:
                if previous is not None:
                    previous._leave(number)
                self._drop(waiting, Event.ASKED_BACK)
        if verdict is Verdict.NO:
            self._send_end(number, NotExecuted(Why.LOST))
        elif verdict is Verdict.DONE and entry is not None and entry.end is not None:
            self._send_end(number, entry.end)
        else:
            self._send_end(number, Unclear("it was here; its end is held no more"))

    @property
    def receiving(self) -> bool:
        """Whether the body of some call is still coming."""
        return bool(self._receiving)

    def leave(self) -> None:
        """This process ends. What is not whole never runs, and nothing more is taken: the first hop learns
        both, and may send those calls elsewhere. What the upstream has goes on for as long as there is
        time."""
        for number in list(self._receiving):
            entry = self._receiving[number].session_entry
            self._withdraw(number, Event.GIVEN_UP)
            self._link.owes += 1  # for the word that comes now
            if entry is not None and self._session is not None and self._sessions is not None:
                self._sessions.end(self._session, number, NotExecuted(Why.LEAVING), 0, self._loop.time())
            self._send_end(number, NotExecuted(Why.LEAVING))
        self._leaving = True
        self._link.send(GoAway(last=max(self._highest_number, self._session.highest if self._session else 0)))

    def _release(self, number: int) -> None:
        """Its first hop waits for it over another link now."""
        if self._running.pop(number, None) is not None:
            self._link.owes -= 1

    def link_lost(self) -> None:
        """The link is down. What may be repeated its first hop has given up, and may have sent elsewhere;
        what waits or is not whole does not run any more. What is effectful and runs may be asked after."""
        session = self._session
        for number in list(self._receiving):
            self._withdraw(number, Event.LINK_LOST)
            if session is not None:
                session.lost(number)
        for number in list(self._sending):
            self._on_response_sent(number)
        self._transfer.close()
        lost_calls, self._running = self._running, {}
        for number, dispatched in lost_calls.items():
            entry = dispatched.session_entry
            if session is None or entry is None:
                self._drop(dispatched)
            elif session.lost(number) is not None:
                self._drop(dispatched, Event.LINK_LOST)
            else:
                dispatched.apply(Event.LINK_LOST)
                entry.run = (dispatched, None)
        if session is not None and self._sessions is not None:
            self._sessions.closed(session, self._loop.time())

    def _drop(self, dispatched: DispatchedCall, event: Event = Event.GIVEN_UP) -> None:
        self._dispatch.drop(dispatched, event)
        if dispatched.reservation is not None:
            dispatched.reservation.release()
