"""A link: one TCP connection between two of the system's processes, its frames and its signs of life.

A cut is silent, so an end that owes the other something says so every `HEARTBEAT_INTERVAL_S`, and an end that expects
something takes `SILENCE_TIMEOUT_S` without a byte for the link's loss. The time to notice is a good part of what most
calls have; a process that is merely behind says so again as soon as it runs.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from mesh.transport.frames import BadFrame, FrameHead, Frames, Head, Octets, Room, frame

Address = tuple[str, int]

HEARTBEAT_INTERVAL_S = 0.15
SILENCE_TIMEOUT_S = 0.55  # it hurts where a process stands still for so long: its calls are given up
CONNECT_TIMEOUT_S = 0.6
STALL_S = 0.4  # between two looks: this end stood still itself, and what came meanwhile is still unread
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # unsent to a peer that does not read; more ends the link
# Long frames are no sign of that: they come on top, up to so many bytes of them at once.
LONG_FRAME_BYTES, MAX_LONG_FRAME_BYTES = 64 * 1024, 64 * 1024 * 1024
ACCEPT_BACKLOG = 512  # new links that wait to be accepted
HEARTBEAT = frame({})


class Link(asyncio.Protocol):
    """Either end. ``on_frame(link, head, body)`` is called for each frame, ``on_lost(link, why)`` once; heads
    are dicts until ``set_decoder`` sets a decoder of typed ones. ``room`` bounds frames that are being read."""

    def __init__(
        self,
        on_up: Callable[[Link], None],
        on_frame: Callable[[Link, Any, bytes], None],
        on_lost: Callable[[Link, str], None],
        room: Room | None = None,
    ) -> None:
        """Not up yet."""
        self._on_up, self._on_frame, self._on_lost = on_up, on_frame, on_lost
        self._loop = asyncio.get_running_loop()
        self._frames = Frames(room)
        self._transport: asyncio.Transport | None = None
        self._close_reason = "closed by the other end"
        self.last_sent_at = self.last_received_at = self.up_since = self._loop.time()
        self._last_tick_at = self.last_received_at
        self._stall_allowed_at = -1.0
        self.owed_replies = 0  # answers that this end has still to give
        self.expected_replies = 0  # answers that this end waits for
        self.mutual_heartbeat = False  # both ends beat all the time
        self._long_frame_bytes = 0  # bytes of long frames since little was unsent
        self._unsent_at_tick = 0  # at the last tick
        self.peer: Any = None  # whose it is, as its owner has it
        self.write_paused = False  # the kernel takes no more for now
        self.on_writable: Callable[[], None] = _nothing  # it takes more again
        self.node = ""  # of the other end, where it has said so and its owner keeps it
        self.sent_bytes = 0

    @property
    def up(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def set_decoder(self, decode: Callable[[bytes], Any]) -> None:
        """Heads that come from now on are read by ``decode``, which raises msgspec.DecodeError."""
        self._frames.decode = decode

    def pause_writing(self) -> None:
        """The kernel takes no more for now."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """It takes more again."""
        self.write_paused = False
        self.on_writable()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_sent_at = self.last_received_at = self.up_since = self._last_tick_at = self._loop.time()
        self._on_up(self)

    def data_received(self, data: bytes) -> None:
        """Tells the frames that are whole."""
        self.last_received_at = self._loop.time()
        try:
            frames = self._frames.feed(data)
        except BadFrame as fault:
            self.close(f"bad frame: {fault}")
            return
        for head, body in frames:
            if head and self.up:
                self._on_frame(self, head, body)

    def send(self, head: Head | FrameHead, body: Octets | None = None) -> bool:
        """False where the link is down, or its peer does not read."""
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
        """Called every so often, more often than HEARTBEAT_INTERVAL_S."""
        if not self.up:
            return
        assert self._transport is not None
        unsent, before = self.unsent, self._unsent_at_tick
        self._unsent_at_tick = unsent
        if unsent < before:  # it reads: while a long frame is on its way it has nothing to say to it
            self.last_received_at = now
        if now - self._last_tick_at > STALL_S and self.last_received_at != self._stall_allowed_at:
            # Its own standing still is no silence of the other: once, until something is heard.
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

    def close(self, why: str) -> None:
        """Ends it at once; ``why`` is what its owner is told."""
        self._close_reason = why
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells its owner, once."""
        if exc is not None:
            self._close_reason = str(exc)
        self._frames.release_room()
        self._on_lost(self, self._close_reason)


def _nothing() -> None:
    return


async def connect(address: Address, make: Callable[[], Link]) -> Link | None:
    """A link that is up, or None where the other end cannot be had within CONNECT_TIMEOUT_S."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, link = await loop.create_connection(make, address[0], address[1])
    except (OSError, TimeoutError):
        return None
    return link


async def listen(address: Address, make: Callable[[], Link]) -> asyncio.Server:
    """Raises OSError where the address cannot be had."""
    listener = listening_socket(address, ACCEPT_BACKLOG)
    return await asyncio.get_running_loop().create_server(make, sock=listener, backlog=ACCEPT_BACKLOG)


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """A socket made here: uvloop would resolve the address on four threads that stay (0.4 MB). Raises
    OSError where the address cannot be had."""
    listener = socket.create_server(address, backlog=backlog)
    listener.setblocking(False)
    return listener
