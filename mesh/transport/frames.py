"""Frames between the system's own processes: a netstring of JSON, and behind it, where the JSON says so, a
netstring of bytes (a call's or an answer's body). No I/O.

`5:{...},` is the form of a netstring: the length in decimal, a colon, so many bytes, a comma.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

Head = dict[str, Any]

MAX_NETSTRING_BYTES = 16 * 1024 * 1024  # bytes of one netstring
MAX_LENGTH_DIGITS = 8  # of a length: what MAX_NETSTRING_BYTES can have
COMMA = 0x2C
BODY = "body"  # the head's field that tells how long the netstring behind it is
UNRESERVED_BYTES = 64 * 1024  # bytes of a netstring that is read without asking for room

_encode = msgspec.json.Encoder().encode
decode_object: Callable[[bytes], Head] = msgspec.json.Decoder(dict[str, Any]).decode


class FrameHead(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Base of typed heads. ``body`` is the length of the netstring behind it, None where there is none."""

    body: int | None = None


class Room(Protocol):
    """What bounds the bytes of frames that are being read; `mesh.admission.buffer_budget` has it."""

    def acquire(self, size: int) -> bool:
        """Whether so many bytes more find room, and are held."""

    def release(self, size: int) -> None:
        """So many are held no more."""


class BadFrame(Exception):
    """The other end sent what is no frame; the link is of no use any more."""


class RefusedBody(bytes):
    """Stands for a body for which there was no room: it is passed over as it comes."""


Octets = bytes | bytearray | memoryview


def frame(head: Head | FrameHead, body: Octets | None = None) -> bytes:
    """One frame as bytes; a ``head`` that is a dict must be of JSON's kinds of values alone."""
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
    """What a head says of its body; None where it has none."""
    return head.body if isinstance(head, FrameHead) else head.get(BODY)


def _check_body(head: Any, length: int) -> None:
    if _body_length(head) != length:
        raise BadFrame("a body of another length than was told")


def _parse_length(digits: bytearray) -> int:
    """Of a netstring, within what one may have."""
    if not digits.isdigit():
        raise BadFrame("a length that is no number")
    length = int(digits)
    if length > MAX_NETSTRING_BYTES:
        raise BadFrame(f"{length} bytes, over {MAX_NETSTRING_BYTES}")
    return length


class Frames:
    """Bytes in, whole frames out. ``decode`` reads a head and raises msgspec.DecodeError for what is none.

    A long netstring is read only where ``room`` has place for it. Without place a body is passed over and its
    head told at once with a `RefusedBody`; a head without place is a BadFrame.
    """

    def __init__(self, room: Room | None = None) -> None:
        """Nothing has come yet."""
        self.decode: Callable[[bytes], Any] = decode_object
        self._room = room
        self._buffer = bytearray()
        self._head: Any = None  # its body is still to come
        self._reserved = 0  # bytes of the netstring being read for which there is room
        self._bytes_to_skip = 0  # bytes of a refused body that are still to come, and the comma behind them

    def feed(self, data: bytes) -> list[tuple[Any, bytes]]:
        """The frames that are whole now. Raises BadFrame; what was whole before is lost with the link."""
        held = self._buffer
        held += data
        found: list[tuple[Any, bytes]] = []
        at, end = 0, len(held)
        while True:
            if self._bytes_to_skip:
                at = self._skip(at, end)
                if self._bytes_to_skip:
                    break
            colon = held.find(b":", at, at + MAX_LENGTH_DIGITS + 1)
            if colon < 0:
                if end - at > MAX_LENGTH_DIGITS:
                    raise BadFrame("a length without its colon")
                break
            length = _parse_length(held[at:colon])
            if length > UNRESERVED_BYTES and not self._reserved and not self._reserve(length):
                found.append(self._refuse_body(length))
                at = colon + 1
                continue
            close = colon + 1 + length
            if close >= end:
                break
            if held[close] != COMMA:
                raise BadFrame("no comma at the end")
            whole = self._take_netstring(bytes(held[colon + 1 : close]))
            if whole is not None:
                found.append(whole)
            at = close + 1
        if at:
            del held[:at]
        return found

    def _take_netstring(self, part: bytes) -> tuple[Any, bytes] | None:
        """The frame that one netstring makes whole, if any."""
        if self._reserved:
            self.release_room()
        head, self._head = self._head, None
        if head is not None:
            _check_body(head, len(part))
            return head, part
        try:
            head = self.decode(part)
        except (msgspec.DecodeError, RecursionError) as fault:
            raise BadFrame(str(fault)) from None
        if _body_length(head) is None:
            return head, b""
        self._head = head
        return None

    def _refuse_body(self, length: int) -> tuple[Any, bytes]:
        """The frame whose body of so many bytes is passed over."""
        head, self._head = self._head, None
        if head is None:
            raise BadFrame(f"memory does not bear a head of {length} bytes")
        _check_body(head, length)
        self._bytes_to_skip = length + 1
        return head, RefusedBody()

    def _reserve(self, length: int) -> bool:
        """Whether there is room for a long netstring, which is then taken."""
        if self._room is None:
            return True
        if not self._room.acquire(length):
            return False
        self._reserved = length
        return True

    def release_room(self) -> None:
        """Gives back the room of the netstring that was being read: it is whole, or its link is lost."""
        if self._reserved and self._room is not None:
            self._room.release(self._reserved)
        self._reserved = 0

    def _skip(self, at: int, end: int) -> int:
        """Leaves out what has come of a refused body; gives where the bytes behind it begin."""
        left_out = min(self._bytes_to_skip, end - at)
        self._bytes_to_skip -= left_out
        at += left_out
        if not self._bytes_to_skip and self._buffer[at - 1] != COMMA:
            raise BadFrame("no comma at the end")
        return at
