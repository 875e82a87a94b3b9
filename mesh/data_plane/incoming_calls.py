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
from mesh.data_plane.upstream_dispatch import OVER, Running, UpstreamDispatch
from mesh.transport.body_pieces import PIECE_BYTES
from mesh.transport.frames import MOST, RefusedBody
from mesh.transport.link import Link


class Receiving:
    """A call whose body comes in pieces; nothing of it is passed on before it is whole."""

    __slots__ = ("began", "call", "kept", "state")

    def __init__(self, call: Call, kept: Kept[End] | None, began: float) -> None:
        """``began``: when its frame came, in seconds of the loop."""
        self.call, self.kept, self.began = call, kept, began
        self.state = State.RECEIVING

    def on(self, event: Event) -> None:
        """Takes an event that its state has a row for."""
        self.state = SECOND_HOP_TABLE[self.state, event]


class Incoming:
    """The other end: calls that come from a first hop over one link. ``session`` has what outlasts the link,
    where the first hop tells its life; ``window`` is what its greeting says that it takes of a body."""

    MOST = 4096  # calls in hand over one link; more are turned away

    def __init__(
        self,
        link: Link,
        upstream_dispatch: UpstreamDispatch,
        sessions: Sessions[End] | None = None,
        session: Session[End] | None = None,
        window: int = 0,
    ) -> None:
        """Takes over the link of a greeting."""
        self._link, self._upstream_dispatch = link, upstream_dispatch
        self._sessions, self._session = sessions, session
        self._receiving: dict[int, Receiving] = {}
        self._running: dict[int, Running] = {}
        self._sending: dict[int, UpstreamResponse] = {}  # answers in pieces that are not written whole
        self._loop = asyncio.get_running_loop()
        self._transfer = BodyTransfer(link, window)
        self._last = 0  # the highest number that has come over this link
        self._left = False  # nothing more is taken
        link.read_with(decode_from_first_hop)

    def frame(self, message: Any, body: bytes) -> None:
        """A `FirstHopMessage`, or the object of one right behind the greeting. Raises ValueError."""
        if isinstance(message, dict):
            message = convert_from_first_hop(message)
        if self._left:
            return
        if isinstance(message, CallHead):
            self._called(message, body)
        elif isinstance(message, BodyPiece):
            self._transfer.piece(message.number, body)
        elif isinstance(message, BodyAck):
            self._transfer.arrived(message)
        elif isinstance(message, Drop):
            self._dropped(message.number)
        elif isinstance(message, StatusQuery) and self._session is not None:
            self._asked(self._session, message.number, message.attempt)

    def _called(self, message: CallHead, body: bytes) -> None:
        number, session = message.number, self._session
        call = read_call(message, body)
        self._last = max(self._last, number)
        if session is not None and not session.take(number):
            return  # a second copy, or barred: whoever sent it waits for no answer over this link
        self._link.owes += 1
        hold = Reservation(self._upstream_dispatch.bodies)
        full = len(self._running) + len(self._receiving) >= self.MOST
        if full or isinstance(body, RefusedBody) or not hold.grow(message.size or len(body)):
            self._end(number, NotExecuted(Why.FULL))
            return
        kept: Kept[End] | None = None
        if session is not None and call.effectful:
            kept = session.calls[number] = Kept(call.attempt)
        if not message.size:
            self._begin(number, call, kept, hold)
            return
        receiving = self._receiving[number] = Receiving(call, kept, self._loop.time())
        if kept is not None:
            kept.run = (receiving, self)
        self._transfer.expect(number, message.size, hold, partial(self._whole, number))

    def _whole(self, number: int, body: BodyBytes, hold: Reservation) -> None:
        """The last piece of a call's body has come."""
        receiving = self._receiving.pop(number)
        receiving.on(Event.WHOLE)
        call, kept = receiving.call, receiving.kept
        call.body = body
        call.charge_wait((self._loop.time() - receiving.began) * 1000.0)
        if kept is not None:
            kept.run = None
        self._begin(number, call, kept, hold)

    def _begin(self, number: int, call: Call, kept: Kept[End] | None, hold: Reservation) -> None:
        """Passes a whole call on to the upstream, or to the line before it."""
        if kept is None:
            running = self._upstream_dispatch.take(call, lambda end: self._ended(number, end, hold))
        else:
            running = self._upstream_dispatch.take(call, lambda end: self._over(number, kept, end, hold))
        if running is None or running.state in OVER:
            return
        self._running[number], running.hold = running, hold
        if kept is not None:
            kept.run, running.kept = (running, self), kept
            kept.waits = running.state is State.WAITING

    def _ended(self, number: int, end: End, hold: Reservation) -> None:
        """A call has its end; ``hold`` is its body's memory."""
        hold.release()
        self._end(number, end)

    def _over(self, number: int, kept: Kept[End], end: End, hold: Reservation) -> None:
        """So has one that can be asked for: to the link on which it is waited for, if there is one, and held
        besides."""
        hold.release()
        here: Incoming | None = self if kept.run is None else kept.run[1]
        if self._session is not None and self._sessions is not None:
            size = len(end.body) if isinstance(end, UpstreamResponse) else 0
            self._sessions.end(self._session, number, end, size, self._loop.time())
        if here is not None:
            here._end(number, end)
        elif isinstance(end, UpstreamResponse) and end.reservation is not None:
            end.reservation.release()  # what is held for a question has a bound of its own

    def _end(self, number: int, end: End) -> None:
        self._running.pop(number, None)
        self._link.owes -= 1
        if isinstance(end, UpstreamResponse) and len(end.body) > PIECE_BYTES and self._transfer.takes_pieces:
            self._sending[number] = end
            self._link.send(end_head(number, end, in_pieces=True)[0])
            self._transfer.send(number, end.body, partial(self._written, number))
            return
        if isinstance(end, UpstreamResponse) and len(end.body) > MOST:
            end = Unclear(f"an answer of {len(end.body)} bytes is more than an earlier program takes")
        self._link.send(*end_head(number, end))
        if isinstance(end, UpstreamResponse) and end.reservation is not None:
            end.reservation.release()

    def _written(self, number: int) -> None:
        """The last piece of an answer has left, or nobody wants the rest."""
        end = self._sending.pop(number)
        if end.reservation is not None:
            end.reservation.release()

    def _dropped(self, number: int) -> None:
        self._transfer.cancel_sending(number)  # of an answer, also when all of it is written
        if number in self._sending:
            self._written(number)
            return
        kept: Kept[End] | None
        if number in self._receiving:
            kept = self._receiving[number].kept
            self._withdraw(number, Event.GIVEN_UP)
        else:
            running = self._running.pop(number, None)
            if running is None:
                return
            self._link.owes -= 1
            self._drop(running)
            kept = running.kept
        if kept is not None and self._session is not None and self._sessions is not None:
            self._sessions.end(self._session, number, None, 0, self._loop.time())

    def _withdraw(self, number: int, event: Event) -> None:
        """A call whose body is not whole is given up, and never runs."""
        self._receiving.pop(number).on(event)
        self._transfer.cancel_receiving(number)
        self._link.owes -= 1

    def _asked(self, session: Session[End], number: int, attempt: str) -> None:
        self._link.owes += 1
        self._last = max(self._last, number)
        verdict, kept = session.ask(number, attempt)
        if verdict is Verdict.PASSED and kept is not None:
            running, before = kept.run
            if before is not None and before is not self:
                before._leave(number)
            kept.run, self._running[number] = (running, self), running
            running.on(Event.ASKED_BACK)
            self._link.send(InProgress(number=number))
            return
        if kept is not None and kept.run is not None:  # it waits
            waiting, before = kept.run
            if isinstance(waiting, Receiving):
                before._withdraw(number, Event.ASKED_BACK)
            else:
                if before is not None:
                    before._leave(number)
                self._drop(waiting, Event.ASKED_BACK)
        if verdict is Verdict.NO:
            self._end(number, NotExecuted(Why.LOST))
        elif verdict is Verdict.DONE and kept is not None and kept.end is not None:
            self._end(number, kept.end)
        else:
            self._end(number, Unclear("it was here; its end is held no more"))

    @property
    def receiving(self) -> bool:
        """Whether the body of some call is still coming."""
        return bool(self._receiving)

    def leave(self) -> None:
        """This process ends. What is not whole never runs, and nothing more is taken: the first hop learns
        both, and may send those calls elsewhere. What the upstream has goes on for as long as there is
        time."""
        for number in list(self._receiving):
            kept = self._receiving[number].kept
            self._withdraw(number, Event.GIVEN_UP)
            self._link.owes += 1  # for the word that comes now
            if kept is not None and self._session is not None and self._sessions is not None:
                self._sessions.end(self._session, number, NotExecuted(Why.LEAVING), 0, self._loop.time())
            self._end(number, NotExecuted(Why.LEAVING))
        self._left = True
        self._link.send(GoAway(last=max(self._last, self._session.highest if self._session else 0)))

    def _leave(self, number: int) -> None:
        """Its first hop waits for it over another link now."""
        if self._running.pop(number, None) is not None:
            self._link.owes -= 1

    def lost(self) -> None:
        """The link is down. What may be repeated its first hop has given up, and may have sent elsewhere;
        what waits or is not whole does not run any more. What is effectful and runs may be asked after."""
        session = self._session
        for number in list(self._receiving):
            self._withdraw(number, Event.LINK_LOST)
            if session is not None:
                session.lost(number)
        for number in list(self._sending):
            self._written(number)
        self._transfer.close()
        running, self._running = self._running, {}
        for number, item in running.items():
            kept = item.kept
            if session is None or kept is None:
                self._drop(item)
            elif session.lost(number) is not None:
                self._drop(item, Event.LINK_LOST)
            else:
                item.on(Event.LINK_LOST)
                kept.run = (item, None)
        if session is not None and self._sessions is not None:
            self._sessions.closed(session, self._loop.time())

    def _drop(self, running: Running, event: Event = Event.GIVEN_UP) -> None:
        self._upstream_dispatch.drop(running, event)
        if running.hold is not None:
            running.hold.release()
