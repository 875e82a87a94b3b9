"""Frames between the mesh's processes: a netstring with a JSON head, followed by a netstring with the body of
a call or an answer if the head declares one. No I/O.

A netstring is its length in decimal, a colon, that many bytes and a comma: `5:{...},`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

Head = dict[str, Any]

MAX_NETSTRING_BYTES = 16 * 1024 * 1024
MAX_LENGTH_DIGITS = 8  # as many as MAX_NETSTRING_BYTES has
COMMA = 0x2C
BODY = "body"  # the head's field with the length of the body
UNRESERVED_BYTES = 64 * 1024  # longer netstrings need a reservation

_encode = msgspec.json.Encoder().encode
decode_object: Callable[[bytes], Head] = msgspec.json.Decoder(dict[str, Any]).decode


class FrameHead(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Base of typed heads. ``body`` is the length of the body, None without one."""

    body: int | None = None


class Room(Protocol):
    """A limit on the bytes of frames that are being read; `mesh.admission.buffer_budget` implements it."""

    def acquire(self, size: int) -> bool:
        """Reserves this many bytes; returns False, and reserves nothing, if they do not fit."""

    def release(self, size: int) -> None:
        """Releases reserved bytes."""


class BadFrame(Exception):
    """The peer sent malformed data; the link cannot be used any longer."""


class RefusedBody(bytes):
    """Placeholder for a body for which there was no room; its bytes are discarded as they arrive."""


Octets = bytes | bytearray | memoryview


def frame(head: Head | FrameHead, body: Octets | None = None) -> bytes:
    """Encodes a frame; a dict ``head`` may hold only values that JSON can represent."""
    if body is None:
        text = _encode(head)
        return b"%d:%b," % (len(text), text)
    if isinstance(head, FrameHead):
        head.body = len(body)
    else:
        head[BODY] = len(body)
    text = _encode(head)
    return b"".join((b"%d:%b,%d:" % (len(text), text, len(body)), body, b","))


def _body_length(head: Any) -> Any:
    """The body length that a head declares; None without a body."""
    return head.body if isinstance(head, FrameHead) else head.get(BODY)


def _check_body(head: Any, length: int) -> None:
    if _body_length(head) != length:
        raise BadFrame("body length differs from the declared length")


def _parse_length(digits: bytearray) -> int:
    """The length of a netstring. Raises BadFrame for a malformed or excessive one."""
    if not digits.isdigit():
        raise BadFrame("netstring length is not a number")
    length = int(digits)
    if length > MAX_NETSTRING_BYTES:
        raise BadFrame(f"netstring of {length} bytes, over {MAX_NETSTRING_BYTES}")
    return length


class Frames:
    """Incremental parser of frames. ``decode`` decodes a head and raises msgspec.DecodeError if it cannot.

    A long netstring is read only if ``room`` can reserve its bytes. Otherwise a body is discarded, and its
    head returned at once with a `RefusedBody`; a head raises BadFrame.
    """

    def __init__(self, room: Room | None = None) -> None:
        """``room``: limits long netstrings; None: no limit."""
        self.decode: Callable[[bytes], Any] = decode_object
        self._room = room
        self._buffer = bytearray()
        self._head: Any = None  # a head whose body has not arrived yet
        self._reserved = 0  # bytes reserved for the netstring being read
        self._bytes_to_skip = 0  # rest of a refused body, including its comma

    def feed(self, data: bytes) -> list[tuple[Any, bytes]]:
        """The frames that these bytes complete. Raises BadFrame; frames of the same call are lost then."""
        buffer = self._buffer
        buffer += data
        found: list[tuple[Any, bytes]] = []
        at, end = 0, len(buffer)
        while True:
            if self._bytes_to_skip:
                at = self._skip(at, end)
                if self._bytes_to_skip:
                    break
            colon = buffer.find(b":", at, at + MAX_LENGTH_DIGITS + 1)
            if colon < 0:
                if end - at > MAX_LENGTH_DIGITS:
                    raise BadFrame("no colon after the netstring length")
                break
            length = _parse_length(buffer[at:colon])
            if length > UNRESERVED_BYTES and not self._reserved and not self._reserve(length):
                found.append(self._refuse_body(length))
                at = colon + 1
                continue
            close = colon + 1 + length
            if close >= end:
                break
            if buffer[close] != COMMA:
                raise BadFrame("no comma at the end of a netstring")
            frame_read = self._take_netstring(bytes(buffer[colon + 1 : close]))
            if frame_read is not None:
                found.append(frame_read)
            at = close + 1
        if at:
            del buffer[:at]
        return found

    def _take_netstring(self, part: bytes) -> tuple[Any, bytes] | None:
        """The frame that a netstring completes, if any."""
        if self._reserved:
            self.release_room()
        head, self._head = self._head, None
        if head is not None:
            _check_body(head, len(part))
            return head, part
        try:
            head = self.decode(part)
        except (msgspec.DecodeError, RecursionError) as error:
            raise BadFrame(str(error)) from None
        if _body_length(head) is None:
            return head, b""
        self._head = head
        return None

    def _refuse_body(self, length: int) -> tuple[Any, bytes]:
        """The frame whose body of this length is discarded."""
        head, self._head = self._head, None
        if head is None:
            raise BadFrame(f"not enough memory for a head of {length} bytes")
        _check_body(head, length)
        self._bytes_to_skip = length + 1
        return head, RefusedBody()

    def _reserve(self, length: int) -> bool:
        """Reserves room for a long netstring; returns False if there is none."""
        if self._room is None:
            return True
        if not self._room.acquire(length):
            return False
        self._reserved = length
        return True

    def release_room(self) -> None:
        """Releases the reservation of the netstring being read: it is complete, or its link is lost."""
        if self._reserved and self._room is not None:
            self._room.release(self._reserved)
        self._reserved = 0

    def _skip(self, at: int, end: int) -> int:
        """Discards the received bytes of a refused body; returns the position after them."""
        skipped = min(self._bytes_to_skip, end - at)
        self._bytes_to_skip -= skipped
        at += skipped
        if not self._bytes_to_skip and self._buffer[at - 1] != COMMA:
            raise BadFrame("no comma at the end of a netstring")
        return at
