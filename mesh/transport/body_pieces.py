"""Bodies that cross a link in pieces, with a window for each: which piece is sent next, and what has come of
those that arrive. No I/O.

Each body may have so many bytes on its way beyond what the other end has confirmed, all bodies of a link
together no more than `LINK_WINDOW_BYTES`. Bodies take turns, a piece each. So a short frame waits behind a
part of one link window at the most, however many long bodies there are and however long they are.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

PIECE_BYTES = 32 * 1024
WINDOW_BYTES = 256 * 1024  # of one body that this end takes beyond what it has confirmed
LINK_WINDOW_BYTES = 256 * 1024  # of all bodies that this end sends over one link


class PieceError(ValueError):
    """The other end does not keep to a window or to a body's length."""


class _Body(Struct, eq=False):
    """One that is being sent."""

    number: int
    data: memoryview
    limit: int  # its first bytes that the other end takes so far
    sent: int = 0
    confirmed: int = 0  # its first bytes that have arrived
    queued: bool = True


class Part(Struct, frozen=True):
    """The next piece to send; ``last``: with it the whole body is written."""

    number: int
    data: memoryview
    last: bool


class OutgoingBodies:
    """The bodies that one end sends."""

    def __init__(self, window: int) -> None:
        """``window``: what the other end takes of each beyond what it has confirmed."""
        self._window = window
        self._bodies: dict[int, _Body] = {}
        self._queue: deque[_Body] = deque()  # those that may send more, as far as their own window goes
        self._unconfirmed = 0  # bytes of all of them

    def __len__(self) -> int:
        """Those of which the end has not arrived."""
        return len(self._bodies)

    def add(self, number: int, data: bytes | bytearray) -> None:
        """``data`` must not change until it is sent or cancelled."""
        body = _Body(number, memoryview(data), self._window)
        self._bodies[number] = body
        self._queue.append(body)

    def next(self) -> Part | None:
        """The piece whose turn it is, to be written now; None with full windows or nothing left."""
        if not self._queue or self._unconfirmed >= LINK_WINDOW_BYTES:
            return None
        body = self._queue.popleft()
        end = min(body.sent + PIECE_BYTES, body.limit, len(body.data))
        data = body.data[body.sent : end]
        self._unconfirmed += len(data)
        body.sent = end
        last = end == len(body.data)
        body.queued = not last and end < body.limit
        if body.queued:
            self._queue.append(body)
        return Part(body.number, data, last)

    def confirm(self, number: int, arrived: int) -> bool:
        """So many first bytes of a body have arrived; whether that is all of it. One that is not sent any
        more is passed over."""
        body = self._bodies.get(number)
        if body is None or arrived <= body.confirmed:
            return False
        if arrived > body.sent:
            raise PieceError(f"{arrived} bytes are confirmed and {body.sent} were sent")
        self._unconfirmed -= arrived - body.confirmed
        body.confirmed, body.limit = arrived, arrived + self._window
        if arrived == len(body.data):
            del self._bodies[number]
            return True
        if not body.queued and body.sent < len(body.data):
            body.queued = True
            self._queue.append(body)
        return False

    def cancel(self, number: int) -> bool:
        """Nobody wants it any more; False where it is not being sent."""
        body = self._bodies.pop(number, None)
        if body is None:
            return False
        self._unconfirmed -= body.sent - body.confirmed
        if body.queued:
            self._queue.remove(body)
        return True


class IncomingBody:
    """One body that arrives: nothing of it is handed over before it is whole."""

    __slots__ = ("_confirmed", "data", "size")

    def __init__(self, size: int) -> None:
        """Nothing of its ``size`` bytes has come."""
        self.size = size
        self.data = bytearray()
        self._confirmed = 0

    def add(self, part: bytes) -> None:
        """Raises PieceError where more comes than the window or its length allows."""
        arrived = len(self.data) + len(part)
        if not part or arrived > self.size or arrived > self._confirmed + WINDOW_BYTES:
            raise PieceError(f"{arrived} bytes of {self.size}, {self._confirmed} of them confirmed")
        self.data += part

    @property
    def whole(self) -> bool:
        """Whether all of it is here."""
        return len(self.data) == self.size

    def confirm(self) -> int:
        """How many bytes have come, which the other end is to be told now. After each piece: with many bodies
        the window of the link is used up before any of them has much of it."""
        self._confirmed = len(self.data)
        return self._confirmed
