"""Frames between the system's own processes: a netstring of JSON, and behind it, where the JSON says so, a
netstring of bytes (a call's or an answer's body). No I/O.

`5:{...},` is the form of a netstring: the length in decimal, a colon, so many bytes, a comma.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

Head = dict[str, Any]

MOST = 16 * 1024 * 1024  # bytes of one netstring
DIGITS = 8  # of a length: what MOST can have
BODY = "body"  # the head's field that tells how long the netstring behind it is

_encode = msgspec.json.Encoder().encode
_decode: Callable[[bytes], Head] = msgspec.json.Decoder(dict[str, Any]).decode


class BadFrame(Exception):
    """The other end sent what is no frame; the link is of no use any more."""


def frame(head: Head, body: bytes | None = None) -> bytes:
    """One frame as bytes; ``head`` must be JSON's kinds of values alone."""
    if body is None:
        text = _encode(head)
        return b"%d:%b," % (len(text), text)
    head[BODY] = len(body)
    text = _encode(head)
    return b"%d:%b,%d:%b," % (len(text), text, len(body), body)


class Frames:
    """Bytes in, whole frames out."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._head: Head | None = None  # its body is still to come

    def feed(self, data: bytes) -> list[tuple[Head, bytes]]:
        """The frames that are whole now. Raises BadFrame; what was whole before is lost with the link."""
        held = self._held
        held += data
        found: list[tuple[Head, bytes]] = []
        at, end = 0, len(held)
        while True:
            colon = held.find(b":", at, at + DIGITS + 1)
            if colon < 0:
                if end - at > DIGITS:
                    raise BadFrame("a length without its colon")
                break
            digits = bytes(held[at:colon])
            if not digits.isdigit():
                raise BadFrame("a length that is no number")
            length = int(digits)
            if length > MOST:
                raise BadFrame(f"{length} bytes, over {MOST}")
            close = colon + 1 + length
            if close >= end:
                break
            if held[close] != 0x2C:
                raise BadFrame("no comma at the end")
            part = bytes(held[colon + 1 : close])
            at = close + 1
            if self._head is not None:
                if self._head[BODY] != length:
                    raise BadFrame("a body of another length than was told")
                found.append((self._head, part))
                self._head = None
                continue
            try:
                head = _decode(part)
            except (msgspec.DecodeError, RecursionError) as fault:
                raise BadFrame(str(fault)) from None
            if BODY in head:
                self._head = head
            else:
                found.append((head, b""))
        if at:
            del held[:at]
        return found
