"""Bodies in pieces over one link, in both directions, as either hop has them."""

from __future__ import annotations

from collections.abc import Callable

from mesh.admission.buffer_budget import Reservation
from mesh.data_plane.call_messages import BodyAck, BodyBytes, BodyPiece
from mesh.transport.body_pieces import IncomingBody, OutgoingBodies
from mesh.transport.link import Link

OnComplete = Callable[[BodyBytes, Reservation], None]


class BodyTransfer:
    """The bodies in pieces that cross one link. While one is on its way either end owes and expects
    something: its pieces, and word that they arrived. So both tell a link on which nothing comes any more."""

    def __init__(self, link: Link, window: int) -> None:
        """``window``: what the other end's greeting says that it takes, 0 where it takes no pieces."""
        self._link = link
        self.takes_pieces = window > 0
        self._outgoing = OutgoingBodies(window)
        self._on_sent: dict[int, Callable[[], None]] = {}  # called when a body's last piece is written
        self._incoming: dict[int, tuple[IncomingBody, Reservation, OnComplete]] = {}
        link.on_writable = self._write

    def send(self, number: int, body: BodyBytes, on_sent: Callable[[], None]) -> None:
        """``written`` is called once, perhaps before this returns, unless the body is cancelled."""
        self._add_open(1)
        self._on_sent[number] = on_sent
        self._outgoing.add(number, body)
        self._write()

    def _write(self) -> None:
        """As much as the link and the windows take, bodies in turn."""
        while self._link.up and not self._link.choked and (part := self._outgoing.next()) is not None:
            self._link.send(BodyPiece(number=part.number), part.data)
            if part.last:
                self._on_sent.pop(part.number)()

    def _add_open(self, bodies: int) -> None:
        self._link.owes += bodies
        self._link.expects += bodies

    def expect(self, number: int, size: int, reservation: Reservation, on_complete: OnComplete) -> None:
        """A body of so many bytes follows; ``hold`` is its memory, ``whole`` called once when all is here."""
        self._add_open(1)
        self._incoming[number] = IncomingBody(size), reservation, on_complete

    def on_ack(self, message: BodyAck) -> None:
        """Raises PieceError."""
        if self._outgoing.confirm(message.number, message.count):
            self._add_open(-1)
        self._write()

    def on_piece(self, number: int, part: bytes) -> None:
        """Of a body that nobody waits for any more it is passed over. Raises PieceError."""
        found = self._incoming.get(number)
        if found is None:
            return
        body, reservation, on_complete = found
        body.add(part)
        self._link.send(BodyAck(number=number, count=body.confirm()))
        if body.whole:
            del self._incoming[number]
            self._add_open(-1)
            on_complete(body.data, reservation)

    def cancel_sending(self, number: int) -> bool:
        """False where that body is not being sent, or all of it is written."""
        if self._outgoing.cancel(number):
            self._add_open(-1)
        sending = self._on_sent.pop(number, None) is not None
        self._write()  # others may have its part of the window
        return sending

    def cancel_receiving(self, number: int) -> bool:
        """False where that body is not on its way here."""
        found = self._incoming.pop(number, None)
        if found is None:
            return False
        self._add_open(-1)
        found[1].release()
        return True

    def close(self) -> None:
        """The link is lost: nothing that is not whole will ever be."""
        self._on_sent.clear()
        self._outgoing = OutgoingBodies(0)
        for number in list(self._incoming):
            self.cancel_receiving(number)
