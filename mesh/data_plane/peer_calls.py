"""The first hop's link to the sidecar of another node, and the calls sent over it.

A link is opened with the first call for its node. While it is down, or has just failed to connect, a call for
it ends at once as not executed, so that another upstream can take it. Effectful calls whose link is lost are
queried over the next link, if the second hop has sent its incarnation and still has the same one
(`docs/design/calls.md`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from mesh.admission.buffer_budget import Reservation
from mesh.admission.final_check import RejectReason
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
from mesh.transport.frames import MAX_NETSTRING_BYTES, RefusedBody
from mesh.transport.link import Address, Link, connect

RECONNECT_S, MAX_RECONNECT_S = 0.1, 1.0  # pause after a failed connect, doubled up to the maximum
CONNECT_WAIT_S = 0.2  # longest wait of calls for a first link; a connect to a dead machine hangs
MAX_CONTROLLER_ADDRESSES = 8  # control processes sent in the greeting
IDLE = "idle"
IDLE_S = 20.0  # a link without calls is closed after this time
# After this many silent links in a row the peer counts as a release that sends no incarnation.
MAX_SILENT_LINKS = 3
INCARNATION_WAIT_S = 0.1  # effectful calls wait this long for the first incarnation of a second hop
REFUSED_S = 0.3  # a connect that fails sooner was refused or reset
SENDING = State.SENDING  # an enum member lookup is slow
AFTER_LINK_UP = FIRST_HOP_TABLE[State.CHOSEN, Event.LINK_UP]
PEER_LEFT = "peer has shut down"
NODE_MOVED = "node has another address now, or is gone"


class PeerLinkContext(Protocol):
    """All peer links of one process, as each of them sees the others."""

    node: str
    incarnation: str
    last_number: int
    local: UpstreamDispatch
    event_log: EventLog
    loop: asyncio.AbstractEventLoop
    turns: PacedTurns
    on_reachable: Callable[[str, bool], None]
    known_controllers: Callable[[], Mapping[str, Address]]


class PeerLink:
    """The first hop's link to one node."""

    def __init__(self, context: PeerLinkContext, node: str, address: Address) -> None:
        """Starts unconnected."""
        self.context, self.node, self.address = context, node, address
        self.link: Link | None = None
        self.transfer: BodyTransfer | None = None  # bodies in pieces over the current link
        self.verified = False  # the link is up and its peer is known to respond
        self.peer_incarnation: str | None = None  # last one received
        # Received on this link, or the peer counts as a release that sends none.
        self.incarnation_known = False
        self.silent_links = self.refused_connects = 0  # both counted in a row
        self.open_calls: dict[int, OutgoingCall] = {}  # sent on the current link
        self.to_query: dict[int, OutgoingCall] = {}  # to be queried over the next link
        self.waiting: list[OutgoingCall] = []  # until the link is up
        self.connecting: asyncio.Task[None] | None = None
        self.reconnect_at, self.reconnect_delay_s = 0.0, RECONNECT_S
        self.used_at = self.opened_at = 0.0
        self.down = False  # the last link was lost or did not come up
        self.retired = False  # the node has another address now, or is gone
        self.peer_leaving = False  # the peer has sent GoAway

    def send(self, outgoing: OutgoingCall) -> None:
        """Writes a call, queues it until the link is up, or rejects it."""
        self.used_at = outgoing.sent_s = self.context.loop.time()
        if self._may_write(outgoing):
            self._write(outgoing)
        elif self.down or self.peer_leaving:
            self._reject(outgoing)
        else:
            if not self.waiting:
                self.context.loop.call_later(CONNECT_WAIT_S, self._reject_waiting)
            self.waiting.append(outgoing)
            if self.connecting is None and self.link is None:
                self.open()

    def _may_write(self, outgoing: OutgoingCall) -> bool:
        """Whether a call can be written now. An effectful call waits until the peer's incarnation is known,
        and a long body until it is known whether the peer supports pieces."""
        up = self.verified and not self.peer_leaving and self.link is not None and self.link.up
        return up and (
            self.incarnation_known or not (outgoing.call.effectful or len(outgoing.call.body) > PIECE_BYTES)
        )

    def open(self) -> None:
        """Starts connecting."""
        self.opened_at = self.context.loop.time()
        self.connecting = self.context.loop.create_task(self._connect())

    def _reject(self, outgoing: OutgoingCall, reason: RejectReason = RejectReason.DOWN) -> None:
        """Ends a call of which nothing was sent."""
        if outgoing.apply(Event.LINK_DOWN):
            outgoing.on_end(NotExecuted(reason))

    def _reject_waiting(self) -> None:
        """Rejects the calls that still wait for the first link."""
        if self.verified:
            return  # the link is up; these calls wait for the incarnation, at most INCARNATION_WAIT_S
        waiting, self.waiting = self.waiting, []
        if waiting:
            self._mark_down()
        for outgoing in waiting:
            self._reject(outgoing)

    def _mark_down(self) -> None:
        if not self.down:
            self.down = True
            self.context.on_reachable(self.node, False)

    def _write(self, outgoing: OutgoingCall) -> None:
        assert self.link is not None and self.transfer is not None
        body = outgoing.call.body
        in_pieces = len(body) > PIECE_BYTES and self.transfer.takes_pieces
        if len(body) > MAX_NETSTRING_BYTES and not in_pieces:
            self._reject(outgoing, RejectReason.FULL)  # an older release closes the link on such a frame
            return
        self.context.last_number += 1  # unique over all links of this incarnation
        outgoing.number, outgoing.sent_s = self.context.last_number, self.context.loop.time()
        if not self.link.send(outgoing.call.head(outgoing.number, in_pieces), None if in_pieces else body):
            self._reject(outgoing)
        elif not in_pieces:
            outgoing.state = AFTER_LINK_UP
            self._await_end(outgoing)
        else:
            outgoing.apply(Event.PARTLY_SENT)
            self._await_end(outgoing)
            self.transfer.send(outgoing.number, body, partial(self._on_body_sent, outgoing))

    def _on_body_sent(self, outgoing: OutgoingCall) -> None:
        """The last piece of the body is written: from now on the call may run."""
        outgoing.apply(Event.WHOLE_SENT)

    def _await_end(self, outgoing: OutgoingCall) -> None:
        assert self.link is not None
        self.open_calls[outgoing.number] = outgoing
        self.link.expected_replies += 1
        if len(self.open_calls) == 1:
            self.link.last_received_at = self.context.loop.time()  # the silence limit counts from here

    def _write_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for outgoing in waiting:
            if self._may_write(outgoing):
                outgoing.call.charge_wait((self.context.loop.time() - outgoing.sent_s) * 1000.0)
                self._write(outgoing)
            elif self.link is not None and self.link.up:
                self.waiting.append(outgoing)
            else:
                self._reject(outgoing)

    def _new_link(self) -> Link:
        link = Link(lambda _: None, self._on_frame, self._on_link_lost, self.context.local.frames)
        link.set_decoder(decode_from_second_hop)
        return link

    async def _connect(self) -> None:
        began = self.context.loop.time()
        link = await connect(self.address, self._new_link)
        self.connecting = None
        if self.retired:
            if link is not None:
                link.close(NODE_MOVED)
            return
        if link is None or not link.up:
            self._schedule_reconnect()
            self._reject_waiting()
            self._on_connect_failed(self.context.loop.time() - began)
            return
        self.link, self.incarnation_known, self.refused_connects = link, False, 0
        self.transfer = BodyTransfer(link, 0)  # until the peer says that it supports pieces
        controllers = [f"{host}:{port}" for host, port in self.context.known_controllers().values()]
        link.send(
            Greeting(
                node=self.context.node,
                purpose="calls",
                incarnation=self.context.incarnation,
                controllers=select_top(self.node, controllers, MAX_CONTROLLER_ADDRESSES),
                window=WINDOW_BYTES,
            )
        )
        if self.peer_incarnation is None:
            self.context.loop.call_later(INCARNATION_WAIT_S, self._on_incarnation_timeout, link)
            self._mark_verified()
        else:
            link.expected_replies += 1  # its reply: a stopped process accepts connections but sends nothing

    def _on_connect_failed(self, took_s: float) -> None:
        """Handles a failed connect. Two refused connects in a row mean that the incarnation has ended."""
        self.refused_connects = self.refused_connects + 1 if took_s < REFUSED_S else 0
        if self.refused_connects == 1 and self.to_query:
            self.open()
        elif self.refused_connects > 1:
            for outgoing in list(self.to_query.values()):
                self.context.turns.submit(partial(self._end_unclear, outgoing, "connection refused"))

    def _on_incarnation_timeout(self, link: Link) -> None:
        if self.link is link and not self.incarnation_known:
            self.incarnation_known = True
            self._write_waiting()

    def _mark_verified(self) -> None:
        assert self.link is not None
        self.verified, self.reconnect_delay_s = True, RECONNECT_S
        self._write_waiting()
        if self.down:
            self.down = False
            self.context.on_reachable(self.node, True)

    def _schedule_reconnect(self) -> None:
        """Sends calls elsewhere and reconnects later, as long as the node is known."""
        self._mark_down()
        self.reconnect_at = self.context.loop.time() + self.reconnect_delay_s
        self.reconnect_delay_s = min(2.0 * self.reconnect_delay_s, MAX_RECONNECT_S)

    def _on_frame(self, link: Link, message: SecondHopMessage, body: bytes) -> None:
        assert self.transfer is not None
        try:
            if isinstance(message, EndHead):
                self._on_end_frame(link, self.transfer, message, body)
            elif isinstance(message, BodyPiece):
                self.transfer.on_piece(message.number, body)
            elif isinstance(message, BodyAck):
                self.transfer.on_ack(message)
            elif isinstance(message, InProgress):
                outgoing = self.open_calls.get(message.number)
                if outgoing is not None and outgoing.apply(Event.PASSED):
                    self._cancel_query_timer(outgoing)
            elif isinstance(message, GreetingReply):
                self._on_greeting_reply(link, message)
            elif isinstance(message, GoAway):
                self._on_go_away(link, message)
        except ValueError as error:
            link.close(f"unreadable {type(message).__name__}: {error}")

    def _on_end_frame(self, link: Link, transfer: BodyTransfer, message: EndHead, body: bytes) -> None:
        """Handles the end of a call, or its head while the response body follows in pieces."""
        number, size = message.number, message.size or message.body or 0
        outgoing = self.open_calls.get(number)
        if outgoing is None:
            if message.size:  # without this the peer would wait for acknowledgements of the pieces
                link.send(Drop(number=number))
            return
        reservation = Reservation(self.context.local.answers)
        if isinstance(body, RefusedBody) or not reservation.grow(size):
            if message.size:
                link.send(Drop(number=number))
            self._finish(link, outgoing, Unclear(f"memory does not bear its answer of {size} bytes"))
        elif message.size:
            self._cancel_query_timer(outgoing)
            transfer.expect(
                number, size, reservation, partial(self._on_response_complete, link, outgoing, message)
            )
        else:
            self._finish(link, outgoing, read_end(message, body, reservation))

    def _on_go_away(self, link: Link, message: GoAway) -> None:
        """Handles a peer that is shutting down. It has sent the ends of all calls that it accepted; calls
        with higher numbers have not run and never will. A queried call may have arrived over an earlier link
        and stays unclear."""
        self.peer_leaving = True  # set first: a rejected call may be sent again before this returns
        for number, outgoing in list(self.open_calls.items()):
            if number > message.last and outgoing.state is not State.UNCLEAR:
                self._finish(link, outgoing, NotExecuted(RejectReason.LEAVING))
        link.close(PEER_LEFT)

    def _on_response_complete(
        self, link: Link, outgoing: OutgoingCall, message: EndHead, body: BodyBytes, reservation: Reservation
    ) -> None:
        """Handles the last piece of a response."""
        self._finish(link, outgoing, read_end(message, body, reservation))

    def _finish(self, link: Link, outgoing: OutgoingCall, end: End) -> None:
        del self.open_calls[outgoing.number]
        link.expected_replies -= 1
        if outgoing.query_timer is not None:
            self._cancel_query_timer(outgoing)
        state = FIRST_HOP_TABLE.get((outgoing.state, event_of(end)))
        if state is None:
            return
        self._stop_sending(outgoing)
        outgoing.state = state
        outgoing.on_end(end)

    def _stop_sending(self, outgoing: OutgoingCall) -> None:
        """Stops the body even if it is written: a peer that rejected the call does not acknowledge it."""
        if self.transfer is not None and len(outgoing.call.body) > PIECE_BYTES:
            self.transfer.cancel_sending(outgoing.number)

    def _stop_receiving(self, outgoing: OutgoingCall) -> None:
        if self.transfer is not None:
            self.transfer.cancel_receiving(outgoing.number)

    # After a lost link

    def _on_greeting_reply(self, link: Link, message: GreetingReply) -> None:
        """Handles the peer's incarnation, which it sends once per link."""
        if self.link is not link or self.transfer is None:
            return
        if not self.transfer.takes_pieces:  # it may come late, and a second one changes nothing
            self.transfer = BodyTransfer(link, message.window)
        self.peer_incarnation, self.silent_links, self.incarnation_known = message.incarnation, 0, True
        if self.verified:
            self._write_waiting()
        else:
            link.expected_replies -= 1
            self._mark_verified()
        for outgoing in list(self.to_query.values()):
            self.context.turns.submit(partial(self._query, outgoing), query=True)

    def _query(self, outgoing: OutgoingCall) -> None:
        link = self.link
        if link is None or not self.verified or outgoing.number not in self.to_query:
            return  # over the next link, or not at all
        if outgoing.incarnation != self.peer_incarnation:
            self._end_unclear(outgoing, "peer has another incarnation")
        elif self.to_query.pop(outgoing.number, None) is not None:
            self._await_end(outgoing)
            link.send(StatusQuery(number=outgoing.number, attempt=outgoing.call.attempt))

    def _cancel_query_timer(self, outgoing: OutgoingCall) -> None:
        """The result of the call, or its place, is known."""
        if outgoing.query_timer is not None:
            outgoing.query_timer.cancel()
            outgoing.query_timer = None

    def _on_link_lost(self, link: Link, why: str) -> None:
        if self.link is not link:
            return
        if not self.verified:
            self.silent_links += 1
            if self.silent_links >= MAX_SILENT_LINKS:
                self.peer_incarnation = None
        self.link, self.verified, self.peer_leaving = None, False, False
        if self.transfer is not None:
            self.transfer.close()
            self.transfer = None
        self._reject_waiting()
        lost_calls, self.open_calls = self.open_calls, {}
        if why != IDLE and not self.retired:
            self._schedule_reconnect()
        for outgoing in lost_calls.values():
            self._lose_call(outgoing, why)
        if lost_calls:
            self.context.event_log.emit(
                events.CALLS_INTERRUPTED,
                peer=self.node,
                calls=len(lost_calls),
                asked=len(self.to_query),
                why=why,
            )
        if (
            self.to_query
            and self.connecting is None
            and self.context.loop.time() - self.opened_at > RECONNECT_S
        ):
            self.open()

    def _lose_call(self, outgoing: OutgoingCall, why: str) -> None:
        """Handles a call whose link is lost."""
        partly_sent = outgoing.state is SENDING
        if not outgoing.apply(Event.LINK_LOST):
            return
        if partly_sent:  # the rest of its body is never sent
            self.context.turns.submit(partial(outgoing.on_end, NotExecuted(RejectReason.LOST)))
        else:
            self._schedule_query(outgoing, why)

    def _schedule_query(self, outgoing: OutgoingCall, why: str) -> None:
        """Queries a call over the next link if an answer can come in time; otherwise ends it as unclear."""
        now, outgoing.incarnation = self.context.loop.time(), self.peer_incarnation
        window_ms = query_window_ms(outgoing.call, (now - outgoing.sent_s) * 1000.0)
        if self.retired or outgoing.incarnation is None or window_ms <= 0.0:
            self._cancel_query_timer(outgoing)
            self.context.turns.submit(partial(self._end_unclear, outgoing, why))
            return
        self.to_query[outgoing.number] = outgoing
        if outgoing.query_timer is None:
            outgoing.query_timer = self.context.loop.call_later(
                window_ms / 1000.0, self._end_unclear, outgoing, why
            )

    def _end_unclear(self, outgoing: OutgoingCall, why: str) -> None:
        """Ends a call whose result cannot be learned any more."""
        self._cancel_query_timer(outgoing)
        self.to_query.pop(outgoing.number, None)
        if self.open_calls.pop(outgoing.number, None) is not None and self.link is not None:
            self.link.expected_replies -= 1
            self._stop_sending(outgoing)
            self._stop_receiving(outgoing)
        if outgoing.apply(Event.TIME_OVER):
            outgoing.on_end(Unclear(why))

    def drop(self, outgoing: OutgoingCall) -> None:
        """Cancels a call."""
        if not outgoing.apply(Event.GIVEN_UP):
            return
        self._cancel_query_timer(outgoing)
        self.to_query.pop(outgoing.number, None)
        if outgoing in self.waiting:
            self.waiting.remove(outgoing)
        elif self.open_calls.pop(outgoing.number, None) is not None and self.link is not None:
            self.link.expected_replies -= 1
            self._stop_sending(outgoing)
            self._stop_receiving(outgoing)
            self.link.send(Drop(number=outgoing.number))

    def retire(self) -> None:
        """Closes the link of a node that has moved or is gone. Only open calls may have run."""
        self.retired = True
        waiting, self.waiting = self.waiting, []
        for outgoing in waiting:
            self._reject(outgoing)
        for outgoing in list(self.to_query.values()):
            self._end_unclear(outgoing, NODE_MOVED)
        if self.link is not None:
            self.link.close(NODE_MOVED)

    def tick(self, now: float) -> None:
        """Called periodically: checks the link, closes it when idle, and reconnects."""
        if self.link is not None:
            self.link.tick(now)
            if (
                not self.open_calls
                and not self.to_query
                and now - self.used_at > IDLE_S
                and self.link is not None
            ):
                self.link.close(IDLE)
        elif self.down and self.connecting is None and now >= self.reconnect_at:
            self.open()
