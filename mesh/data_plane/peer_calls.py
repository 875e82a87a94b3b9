"""The first hop's link to the sidecar beside another upstream, and the calls that are out on it.

A link is opened with the first call for its node. While it is not up, or just failed to come up, a call for
it ends at once as never sent, so that another upstream can have it. Effectful calls whose link is lost are
asked after over the next one, where the second hop has told its life and is the same still
(`docs/design/calls.md`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from mesh.admission.buffer_budget import Reservation
from mesh.admission.final_check import Why
from mesh.data_plane.body_transfer import BodyTransfer
from mesh.data_plane.call_messages import (
    BodyAck,
    BodyBytes,
    BodyPiece,
    Drop,
    End,
    EndHead,
    GoAway,
    Greeting,
    GreetingReply,
    InProgress,
    NotExecuted,
    SecondHopMessage,
    StatusQuery,
    Unclear,
    decode_from_second_hop,
    read_end,
)
from mesh.data_plane.call_state import FIRST_HOP_TABLE, Event, OutgoingCall, State, event_of, query_window_ms
from mesh.data_plane.paced_turns import PacedTurns
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.rendezvous import select_top
from mesh.transport.body_pieces import PIECE_BYTES, WINDOW_BYTES
from mesh.transport.frames import MOST, RefusedBody
from mesh.transport.link import Address, Link, connect

AGAIN_S, AGAIN_MOST_S = 0.1, 1.0  # pauses after a link that did not come up
HOLD_S = 0.2  # calls wait so long for a first link; a connection to a dark machine hangs
MOST_TOLD = 8  # control processes that the other end is told of
IDLE = "idle"
IDLE_S = 20.0  # a link that carried nothing for so long is closed
# Links that come up and say nothing, one after another: then it is taken for a program that tells no life.
UNPROVED_MOST = 3
LIFE_S = 0.1  # effectful calls wait so long for the life of a second hop that has told none yet
REFUSED_S = 0.3  # a connection that fails sooner was refused, or broke as it came up
SENDING = State.SENDING  # members of an enumeration are found slowly
AFTER_LINK_UP = FIRST_HOP_TABLE[State.CHOSEN, Event.LINK_UP]
LEFT = "the other end has ended"
ELSEWHERE = "its node has another address now, or is gone"


class PeerLinks(Protocol):
    """All links for calls of one process, as one of them sees its siblings."""

    node: str
    life: str
    count: int
    local: UpstreamDispatch
    event_log: EventLog
    loop: asyncio.AbstractEventLoop
    turns: PacedTurns
    reached: Callable[[str, bool], None]
    core: Callable[[], Mapping[str, Address]]


class Outgoing:
    """One node's link, as the first hop has it."""

    def __init__(self, passage: PeerLinks, node: str, address: Address) -> None:
        """No link is open yet."""
        self.passage, self.node, self.address = passage, node, address
        self.link: Link | None = None
        self.transfer: BodyTransfer | None = None  # of bodies in pieces over that link
        self.proved = False  # the link is up, and its other end is at work as far as can be known
        self.life: str | None = None  # of the second hop, as it told last
        self.known = False  # it has told it on this link, or is taken for a program that tells none
        self.unproved = self.refused = 0  # links in a row that said nothing, that were refused
        self.out: dict[int, OutgoingCall] = {}  # on the link
        self.asking: dict[int, OutgoingCall] = {}  # to be asked after over the next link
        self.waiting: list[OutgoingCall] = []  # while it comes up
        self.coming: asyncio.Task[None] | None = None
        self.not_before, self.pause = 0.0, AGAIN_S
        self.used = self.opened = 0.0
        self.down = False  # the last link was lost, or did not come up
        self.left = False  # the node is elsewhere now, or gone
        self.leaving = False  # the other end of the link has said its last word

    def send(self, out: OutgoingCall) -> None:
        """Writes a call, or keeps it until the link is up, or turns it away."""
        self.used = out.sent_s = self.passage.loop.time()
        if self._may_write(out):
            self._write(out)
        elif self.down or self.leaving:
            self._turn_away(out)
        else:
            if not self.waiting:
                self.passage.loop.call_later(HOLD_S, self._release)
            self.waiting.append(out)
            if self.coming is None and self.link is None:
                self.open()

    def _may_write(self, out: OutgoingCall) -> bool:
        """What is effectful waits until it is known of whom it could be asked for, and a long body until it
        is known whether the other end takes pieces."""
        up = self.proved and not self.leaving and self.link is not None and self.link.up
        return up and (self.known or not (out.call.effectful or len(out.call.body) > PIECE_BYTES))

    def open(self) -> None:
        """Begins to open a link."""
        self.opened = self.passage.loop.time()
        self.coming = self.passage.loop.create_task(self._come_up())

    def _turn_away(self, out: OutgoingCall, why: Why = Why.DOWN) -> None:
        """Nothing of it has left."""
        if out.apply(Event.LINK_DOWN):
            out.on_end(NotExecuted(why))

    def _release(self) -> None:
        """Whoever still waits for the first link waits no more."""
        if self.proved:
            return  # the link is up: who waits for its life goes with that, or after LIFE_S
        waiting, self.waiting = self.waiting, []
        if waiting:
            self._down()
        for out in waiting:
            self._turn_away(out)

    def _down(self) -> None:
        if not self.down:
            self.down = True
            self.passage.reached(self.node, False)

    def _write(self, out: OutgoingCall) -> None:
        assert self.link is not None and self.transfer is not None
        body = out.call.body
        in_pieces = len(body) > PIECE_BYTES and self.transfer.takes_pieces
        if len(body) > MOST and not in_pieces:
            self._turn_away(out, Why.FULL)  # an earlier program ends the link on such a frame
            return
        self.passage.count += 1  # over all links of this life, and never used again
        out.number, out.sent_s = self.passage.count, self.passage.loop.time()
        if not self.link.send(out.call.head(out.number, in_pieces), None if in_pieces else body):
            self._turn_away(out)
        elif not in_pieces:
            out.state = AFTER_LINK_UP
            self._expect(out)
        else:
            out.apply(Event.PARTLY_SENT)
            self._expect(out)
            self.transfer.send(out.number, body, partial(self._sent_whole, out))

    def _sent_whole(self, out: OutgoingCall) -> None:
        """The last piece of its body has left: from now on it may run."""
        out.apply(Event.WHOLE_SENT)

    def _expect(self, out: OutgoingCall) -> None:
        assert self.link is not None
        self.out[out.number] = out
        self.link.expects += 1
        if len(self.out) == 1:
            self.link.heard_at = self.passage.loop.time()  # silence counts from here

    def _write_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for out in waiting:
            if self._may_write(out):
                out.call.charge_wait((self.passage.loop.time() - out.sent_s) * 1000.0)
                self._write(out)
            elif self.link is not None and self.link.up:
                self.waiting.append(out)
            else:
                self._turn_away(out)

    def _new_link(self) -> Link:
        link = Link(lambda _: None, self._frame, self._lost, self.passage.local.frames)
        link.read_with(decode_from_second_hop)
        return link

    async def _come_up(self) -> None:
        began = self.passage.loop.time()
        link = await connect(self.address, self._new_link)
        self.coming = None
        if self.left:
            if link is not None:
                link.close(ELSEWHERE)
            return
        if link is None or not link.up:
            self._again()
            self._release()
            self._refused(self.passage.loop.time() - began)
            return
        self.link, self.known, self.refused = link, False, 0
        self.transfer = BodyTransfer(link, 0)  # until its other end has said that it takes pieces
        core = [f"{host}:{port}" for host, port in self.passage.core().values()]
        link.send(
            Greeting(
                node=self.passage.node,
                purpose="calls",
                life=self.passage.life,
                core=select_top(self.node, core, MOST_TOLD),
                window=WINDOW_BYTES,
            )
        )
        if self.life is None:
            self.passage.loop.call_later(LIFE_S, self._no_life, link)
            self._ready()
        else:
            link.expects += 1  # its life: a process that stands still takes connections and answers nothing

    def _refused(self, took_s: float) -> None:
        """A link did not come up. Refused twice in a row: nobody listens, that life is over."""
        self.refused = self.refused + 1 if took_s < REFUSED_S else 0
        if self.refused == 1 and self.asking:
            self.open()
        elif self.refused > 1:
            for out in list(self.asking.values()):
                self.passage.turns.take(partial(self._unclear, out, "nobody is there"))

    def _no_life(self, link: Link) -> None:
        if self.link is link and not self.known:
            self.known = True
            self._write_waiting()

    def _ready(self) -> None:
        assert self.link is not None
        self.proved, self.pause = True, AGAIN_S
        self._write_waiting()
        if self.down:
            self.down = False
            self.passage.reached(self.node, True)

    def _again(self) -> None:
        """Calls go elsewhere; the link is tried again by itself, as long as the node is known."""
        self._down()
        self.not_before = self.passage.loop.time() + self.pause
        self.pause = min(2.0 * self.pause, AGAIN_MOST_S)

    def _frame(self, link: Link, message: SecondHopMessage, body: bytes) -> None:
        assert self.transfer is not None
        try:
            if isinstance(message, EndHead):
                self._end(link, self.transfer, message, body)
            elif isinstance(message, BodyPiece):
                self.transfer.piece(message.number, body)
            elif isinstance(message, BodyAck):
                self.transfer.arrived(message)
            elif isinstance(message, InProgress):
                out = self.out.get(message.number)
                if out is not None and out.apply(Event.PASSED):
                    self._asked(out)
            elif isinstance(message, GreetingReply):
                self._told(link, message)
            elif isinstance(message, GoAway):
                self._left_alone(link, message)
        except ValueError as fault:
            link.close(f"unreadable {type(message).__name__}: {fault}")

    def _end(self, link: Link, transfer: BodyTransfer, message: EndHead, body: bytes) -> None:
        """A call's end, or its head while its answer's body still is to come in pieces."""
        number, size = message.number, message.size or message.body or 0
        out = self.out.get(number)
        if out is None:
            if message.size:  # else its pieces would wait at the other end for a word of this one
                link.send(Drop(number=number))
            return
        hold = Reservation(self.passage.local.answers)
        if isinstance(body, RefusedBody) or not hold.grow(size):
            if message.size:
                link.send(Drop(number=number))
            self._ended(link, out, Unclear(f"memory does not bear its answer of {size} bytes"))
        elif message.size:
            self._asked(out)
            transfer.expect(number, size, hold, partial(self._answered, link, out, message))
        else:
            self._ended(link, out, read_end(message, body, hold))

    def _left_alone(self, link: Link, message: GoAway) -> None:
        """The other end has taken its last call, and all its ends have come before this word. What was
        written behind that call has not run and never will. What was asked after may have come over an
        earlier link, and stays unclear."""
        self.leaving = True  # whoever is turned away may be sent again before this returns
        for number, out in list(self.out.items()):
            if number > message.last and out.state is not State.UNCLEAR:
                self._ended(link, out, NotExecuted(Why.LEAVING))
        link.close(LEFT)

    def _answered(
        self, link: Link, out: OutgoingCall, message: EndHead, body: BodyBytes, hold: Reservation
    ) -> None:
        """The last piece of an answer has come."""
        self._ended(link, out, read_end(message, body, hold))

    def _ended(self, link: Link, out: OutgoingCall, end: End) -> None:
        del self.out[out.number]
        link.expects -= 1
        if out.query_timer is not None:
            self._asked(out)
        state = FIRST_HOP_TABLE.get((out.state, event_of(end)))
        if state is None:
            return
        self._stop_sending(out)
        out.state = state
        out.on_end(end)

    def _stop_sending(self, out: OutgoingCall) -> None:
        """Also where all of its body is written: who turned the call away confirms none of it."""
        if self.transfer is not None and len(out.call.body) > PIECE_BYTES:
            self.transfer.cancel_sending(out.number)

    def _stop_receiving(self, out: OutgoingCall) -> None:
        if self.transfer is not None:
            self.transfer.cancel_receiving(out.number)

    # After a loss

    def _told(self, link: Link, message: GreetingReply) -> None:
        """The second hop's life, once a link."""
        if self.link is not link or self.transfer is None:
            return
        if not self.transfer.takes_pieces:  # it may come late, and a second one changes nothing
            self.transfer = BodyTransfer(link, message.window)
        self.life, self.unproved, self.known = message.life, 0, True
        if self.proved:
            self._write_waiting()
        else:
            link.expects -= 1
            self._ready()
        for out in list(self.asking.values()):
            self.passage.turns.take(partial(self._ask, out), question=True)

    def _ask(self, out: OutgoingCall) -> None:
        link = self.link
        if link is None or not self.proved or out.number not in self.asking:
            return  # over the next link, or never
        if out.peer_incarnation != self.life:
            self._unclear(out, "another life is there")
        elif self.asking.pop(out.number, None) is not None:
            self._expect(out)
            link.send(StatusQuery(number=out.number, attempt=out.call.attempt))

    def _asked(self, out: OutgoingCall) -> None:
        """What became of it is known, or where it is."""
        if out.query_timer is not None:
            out.query_timer.cancel()
            out.query_timer = None

    def _lost(self, link: Link, why: str) -> None:
        if self.link is not link:
            return
        if not self.proved:
            self.unproved += 1
            if self.unproved >= UNPROVED_MOST:
                self.life = None
        self.link, self.proved, self.leaving = None, False, False
        if self.transfer is not None:
            self.transfer.close()
            self.transfer = None
        self._release()
        out, self.out = self.out, {}
        if why != IDLE and not self.left:
            self._again()
        for item in out.values():
            self._cut(item, why)
        if out:
            self.passage.event_log.tell(
                events.CALLS_CUT, peer=self.node, calls=len(out), asked=len(self.asking), why=why
            )
        if self.asking and self.coming is None and self.passage.loop.time() - self.opened > AGAIN_S:
            self.open()

    def _cut(self, out: OutgoingCall, why: str) -> None:
        """The link that it was out on is lost."""
        partly = out.state is SENDING
        if not out.apply(Event.LINK_LOST):
            return
        if partly:  # the rest of its body never leaves
            self.passage.turns.take(partial(out.on_end, NotExecuted(Why.LOST)))
        else:
            self._ask_back(out, why)

    def _ask_back(self, out: OutgoingCall, why: str) -> None:
        """A call whose link is lost: asked after over the next one where that can tell anything in time."""
        now, out.peer_incarnation = self.passage.loop.time(), self.life
        wait_ms = query_window_ms(out.call, (now - out.sent_s) * 1000.0)
        if self.left or out.peer_incarnation is None or wait_ms <= 0.0:
            self._asked(out)
            self.passage.turns.take(partial(self._unclear, out, why))
            return
        self.asking[out.number] = out
        if out.query_timer is None:
            out.query_timer = self.passage.loop.call_later(wait_ms / 1000.0, self._unclear, out, why)

    def _unclear(self, out: OutgoingCall, why: str) -> None:
        """Nothing more is done to learn what became of it."""
        self._asked(out)
        self.asking.pop(out.number, None)
        if self.out.pop(out.number, None) is not None and self.link is not None:
            self.link.expects -= 1
            self._stop_sending(out)
            self._stop_receiving(out)
        if out.apply(Event.TIME_OVER):
            out.on_end(Unclear(why))

    def drop(self, out: OutgoingCall) -> None:
        """Nobody waits for it any more."""
        if not out.apply(Event.GIVEN_UP):
            return
        self._asked(out)
        self.asking.pop(out.number, None)
        if out in self.waiting:
            self.waiting.remove(out)
        elif self.out.pop(out.number, None) is not None and self.link is not None:
            self.link.expects -= 1
            self._stop_sending(out)
            self._stop_receiving(out)
            self.link.send(Drop(number=out.number))

    def leave(self) -> None:
        """The node is elsewhere now, or gone. What is out may have run; what waits has not been sent."""
        self.left = True
        waiting, self.waiting = self.waiting, []
        for out in waiting:
            self._turn_away(out)
        for out in list(self.asking.values()):
            self._unclear(out, ELSEWHERE)
        if self.link is not None:
            self.link.close(ELSEWHERE)

    def tick(self, now: float) -> None:
        """Called every so often: signs of life, idle links, further tries."""
        if self.link is not None:
            self.link.tick(now)
            if not self.out and not self.asking and now - self.used > IDLE_S and self.link is not None:
                self.link.close(IDLE)
        elif self.down and self.coming is None and now >= self.not_before:
            self.open()
