"""Transfer of bodies over a link in pieces, with flow control: the choice of the next piece to send, and the
assembly of received pieces. No I/O.

Each body may have one window of bytes in flight that the receiver has not confirmed, and all bodies of a link
together `LINK_WINDOW_BYTES`. Bodies are sent round-robin, one piece each, so a short frame waits behind at
most one link window, regardless of the number and length of the bodies.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

PIECE_BYTES = 32 * 1024
WINDOW_BYTES = 256 * 1024  # unconfirmed bytes of one body that this end receives
LINK_WINDOW_BYTES = 256 * 1024  # unconfirmed bytes of all bodies that this end sends over one link


class PieceError(ValueError):
    """The peer exceeded a window or the length of a body."""


class _Body(Struct, eq=False):
    """A body that is being sent."""

    number: int
    data: memoryview
    limit: int  # bytes from its start that may be sent so far
    sent: int = 0
    confirmed: int = 0  # bytes from its start that have arrived
    queued: bool = True


class Part(Struct, frozen=True):
    """A piece to send; ``last``: it ends the body."""

    number: int
    data: memoryview
    last: bool


class OutgoingBodies:
    """The bodies that one end of a link sends."""

    def __init__(self, window: int) -> None:
        """``window``: the unconfirmed bytes of one body that the peer receives."""
        self._window = window
        self._bodies: dict[int, _Body] = {}
        self._queue: deque[_Body] = deque()  # bodies whose own window has room
        self._unconfirmed = 0  # bytes of all bodies

    def __len__(self) -> int:
        """The number of bodies that are not entirely confirmed."""
        return len(self._bodies)

    def add(self, number: int, data: bytes | bytearray) -> None:
        """Queues a body; ``data`` must not change until it is sent or cancelled."""
        body = _Body(number, memoryview(data), self._window)
        self._bodies[number] = body
        self._queue.append(body)

    def next(self) -> Part | None:
        """The next piece to write; None if the windows are full or nothing is left."""
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
        """Records how many bytes of a body have arrived in total; returns whether it is complete. A body that
        is no longer being sent is ignored. Raises PieceError for bytes that were not sent."""
        body = self._bodies.get(number)
        if body is None or arrived <= body.confirmed:
            return False
        if arrived > body.sent:
            raise PieceError(f"{arrived} bytes are confirmed but only {body.sent} were sent")
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
        """Stops sending a body; returns False if it is not being sent."""
        body = self._bodies.pop(number, None)
        if body is None:
            return False
        self._unconfirmed -= body.sent - body.confirmed
        if body.queued:
            self._queue.remove(body)
        return True


class IncomingBody:
    """A body that is being received; it is handed over only when it is complete."""

    __slots__ = ("_confirmed", "data", "size")

    def __init__(self, size: int) -> None:
        """``size``: its length in bytes."""
        self.size = size
        self.data = bytearray()
        self._confirmed = 0

    def add(self, part: bytes) -> None:
        """Appends a piece. Raises PieceError for an empty one, or one beyond the window or the length."""
        arrived = len(self.data) + len(part)
        if not part or arrived > self.size or arrived > self._confirmed + WINDOW_BYTES:
            raise PieceError(f"{arrived} bytes of {self.size}, {self._confirmed} of them confirmed")
        self.data += part

    @property
    def complete(self) -> bool:
        """Whether all bytes have arrived."""
        return len(self.data) == self.size

    def confirm(self) -> int:
        """The number of bytes received, to be sent to the peer now. Called after each piece: with many bodies
        the window of the link is exhausted before any single body has received much."""
        self._confirmed = len(self.data)
        return self._confirmed
