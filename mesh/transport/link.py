"""A link: one TCP connection between two processes of the mesh, its frames and its heartbeats.

A network partition gives no error, so an end that owes a reply sends a heartbeat every
`HEARTBEAT_INTERVAL_S`, and an end that expects one closes the link after `SILENCE_TIMEOUT_S` without a byte.
This detection time is a large part of the deadline of most calls; a process that is merely slow sends
heartbeats as soon as it runs again.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from mesh.transport.frames import BadFrame, FrameHead, Frames, Head, Octets, Room, frame

Address = tuple[str, int]

HEARTBEAT_INTERVAL_S = 0.15
SILENCE_TIMEOUT_S = 0.55  # a process that stalls for longer loses its calls
CONNECT_TIMEOUT_S = 0.6
STALL_S = 0.4  # between two ticks: this process stalled, and received bytes may still be unread
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # to a peer that does not read; with more the link is closed
# Long frames do not indicate that: they are allowed in addition, up to this many bytes at once.
LONG_FRAME_BYTES, MAX_LONG_FRAME_BYTES = 64 * 1024, 64 * 1024 * 1024
ACCEPT_BACKLOG = 512  # links
HEARTBEAT = frame({})


class Link(asyncio.Protocol):
    """One end of a link. ``on_frame(link, head, body)`` is called for each frame, ``on_lost(link, reason)``
    once; heads are dicts until ``set_decoder``. ``room`` limits the bytes of frames that are being read."""

    def __init__(
        self,
        on_up: Callable[[Link], None],
        on_frame: Callable[[Link, Any, bytes], None],
        on_lost: Callable[[Link, str], None],
        room: Room | None = None,
    ) -> None:
        """The link is not up yet; ``on_up`` is called when it is."""
        self._on_up, self._on_frame, self._on_lost = on_up, on_frame, on_lost
        self._loop = asyncio.get_running_loop()
        self._frames = Frames(room)
        self._transport: asyncio.Transport | None = None
        self._close_reason = "closed by the other end"
        self.last_sent_at = self.last_received_at = self.up_since = self._loop.time()
        self._last_tick_at = self.last_received_at
        self._stall_allowed_at = -1.0
        self.owed_replies = 0  # replies that this end has yet to send
        self.expected_replies = 0  # replies that this end waits for
        self.mutual_heartbeat = False  # both ends send heartbeats all the time
        self._long_frame_bytes = 0  # sent since the unsent bytes were last within MAX_UNSENT_BYTES
        self._unsent_at_tick = 0  # unsent bytes at the last tick
        self.peer: Any = None  # state that the owner attaches to the link
        self.write_paused = False  # the kernel accepts no more bytes for now
        self.on_writable: Callable[[], None] = _ignore  # called when it accepts bytes again
        self.node = ""  # name of the peer, set by the owner
        self.sent_bytes = 0

    @property
    def up(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def set_decoder(self, decode: Callable[[bytes], Any]) -> None:
        """Decodes further heads by ``decode``, which raises msgspec.DecodeError for a malformed one."""
        self._frames.decode = decode

    def pause_writing(self) -> None:
        """The kernel accepts no more bytes for now."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """The kernel accepts bytes again."""
        self.write_paused = False
        self.on_writable()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reports the link as up."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_sent_at = self.last_received_at = self.up_since = self._last_tick_at = self._loop.time()
        self._on_up(self)

    def data_received(self, data: bytes) -> None:
        """Passes complete frames to the owner."""
        self.last_received_at = self._loop.time()
        try:
            frames = self._frames.feed(data)
        except BadFrame as error:
            self.close(f"bad frame: {error}")
            return
        for head, body in frames:
            if head and self.up:
                self._on_frame(self, head, body)

    def send(self, head: Head | FrameHead, body: Octets | None = None) -> bool:
        """Sends a frame; returns False if the link is down or its peer does not read."""
        if not self.up:
            return False
        assert self._transport is not None
        unsent = self.unsent
        if unsent <= MAX_UNSENT_BYTES:
            self._long_frame_bytes = 0
        elif unsent > MAX_UNSENT_BYTES + self._long_frame_bytes:
            self.close("the other end does not read")
            return False
        payload = frame(head, body)
        if len(payload) > LONG_FRAME_BYTES:
            self._long_frame_bytes = min(self._long_frame_bytes + len(payload), MAX_LONG_FRAME_BYTES)
        self._transport.write(payload)
        self.sent_bytes += len(payload)
        self.last_sent_at = self._loop.time()
        return True

    def tick(self, now: float) -> None:
        """Sends a due heartbeat and checks for silence; called more often than HEARTBEAT_INTERVAL_S."""
        if not self.up:
            return
        assert self._transport is not None
        unsent, previous = self.unsent, self._unsent_at_tick
        self._unsent_at_tick = unsent
        if unsent < previous:  # the peer reads; it sends nothing while a long frame is in transit
            self.last_received_at = now
        if now - self._last_tick_at > STALL_S and self.last_received_at != self._stall_allowed_at:
            # A stall of this process does not count as silence of the peer, once until the next byte.
            self.last_received_at = self._stall_allowed_at = now
        self._last_tick_at = now
        if (
            self.expected_replies or self.mutual_heartbeat
        ) and now - self.last_received_at > SILENCE_TIMEOUT_S:
            self.close("silent")
        elif (self.owed_replies or self.mutual_heartbeat) and now - self.last_sent_at >= HEARTBEAT_INTERVAL_S:
            self._transport.write(HEARTBEAT)
            self.sent_bytes += len(HEARTBEAT)
            self.last_sent_at = now

    def close(self, reason: str) -> None:
        """Aborts the connection; ``reason`` is passed to ``on_lost``."""
        self._close_reason = reason
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the loss to the owner."""
        if exc is not None:
            self._close_reason = str(exc)
        self._frames.release_room()
        self._on_lost(self, self._close_reason)


def _ignore() -> None:
    return


async def connect(address: Address, make: Callable[[], Link]) -> Link | None:
    """Opens a link; returns None if that fails or takes longer than CONNECT_TIMEOUT_S."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, link = await loop.create_connection(make, address[0], address[1])
    except (OSError, TimeoutError):
        return None
    return link


async def listen(address: Address, make: Callable[[], Link]) -> asyncio.Server:
    """Accepts links at the address. Raises OSError if it is not available."""
    listener = listening_socket(address, ACCEPT_BACKLOG)
    return await asyncio.get_running_loop().create_server(make, sock=listener, backlog=ACCEPT_BACKLOG)


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """Creates the socket directly: uvloop would resolve the address on four threads that remain (0.4 MB).
    Raises OSError if the address is not available."""
    listener = socket.create_server(address, backlog=backlog)
    listener.setblocking(False)
    return listener
