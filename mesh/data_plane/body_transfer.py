"""Bodies in pieces over one link, in both directions, at either hop."""

from __future__ import annotations

from collections.abc import Callable

from mesh.admission.buffer_budget import Reservation
from mesh.data_plane.call_messages import BodyAck, BodyBytes, BodyPiece
from mesh.transport.body_pieces import IncomingBody, OutgoingBodies
from mesh.transport.link import Link

OnComplete = Callable[[BodyBytes, Reservation], None]


class BodyTransfer:
    """The bodies in pieces that cross one link. While a body is in transit each end owes something and
    expects something, pieces or acknowledgements, so both ends detect a link that has gone silent."""

    def __init__(self, link: Link, window: int) -> None:
        """``window``: bytes per body that the peer accepts, from its greeting; 0: it does not support
        pieces."""
        self._link = link
        self.takes_pieces = window > 0
        self._outgoing = OutgoingBodies(window)
        self._on_sent: dict[int, Callable[[], None]] = {}  # called when the last piece of a body is written
        self._incoming: dict[int, tuple[IncomingBody, Reservation, OnComplete]] = {}
        link.on_writable = self._write

    def send(self, number: int, body: BodyBytes, on_sent: Callable[[], None]) -> None:
        """Sends a body. ``on_sent`` is called once, possibly before this returns, unless the body is
        cancelled."""
        self._add_open(1)
        self._on_sent[number] = on_sent
        self._outgoing.add(number, body)
        self._write()

    def _write(self) -> None:
        """Writes as much as the link and the windows allow, the bodies in turn."""
        while self._link.up and not self._link.write_paused and (part := self._outgoing.next()) is not None:
            self._link.send(BodyPiece(number=part.number), part.data)
            if part.last:
                self._on_sent.pop(part.number)()

    def _add_open(self, bodies: int) -> None:
        self._link.owed_replies += bodies
        self._link.expected_replies += bodies

    def expect(self, number: int, size: int, reservation: Reservation, on_complete: OnComplete) -> None:
        """Expects a body of ``size`` bytes. ``on_complete`` is called once with the body and its
        reservation."""
        self._add_open(1)
        self._incoming[number] = IncomingBody(size), reservation, on_complete

    def on_ack(self, message: BodyAck) -> None:
        """Handles an acknowledgement. Raises PieceError."""
        if self._outgoing.confirm(message.number, message.count):
            self._add_open(-1)
        self._write()

    def on_piece(self, number: int, part: bytes) -> None:
        """Handles a piece; one of a cancelled body is ignored. Raises PieceError."""
        found = self._incoming.get(number)
        if found is None:
            return
        body, reservation, on_complete = found
        body.add(part)
        self._link.send(BodyAck(number=number, count=body.confirm()))
        if body.complete:
            del self._incoming[number]
            self._add_open(-1)
            on_complete(body.data, reservation)

    def cancel_sending(self, number: int) -> bool:
        """Stops sending a body. Returns False if it is not being sent or is completely written."""
        if self._outgoing.cancel(number):
            self._add_open(-1)
        sending = self._on_sent.pop(number, None) is not None
        self._write()  # other bodies may use its part of the window
        return sending

    def cancel_receiving(self, number: int) -> bool:
        """Stops receiving a body. Returns False if it is not being received."""
        found = self._incoming.pop(number, None)
        if found is None:
            return False
        self._add_open(-1)
        found[1].release()
        return True

    def close(self) -> None:
        """Drops all incomplete bodies because the link is lost."""
        self._on_sent.clear()
        self._outgoing = OutgoingBodies(0)
        for number in list(self._incoming):
            self.cancel_receiving(number)
