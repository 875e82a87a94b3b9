"""Frames MessagePack-RPC messages in a byte stream and writes them, without decoding their payload.

The specification (msgpack-rpc, "MessagePack-RPC Protocol specification"): a request is [0, msgid, method,
params], a response [1, msgid, error, result], a notification [2, method, params]. Only type, msgid and
method are decoded. Params, error and result are forwarded byte for byte, because decoding and re-encoding
could alter them (integer widths, strings that are not UTF-8, ext types, order and duplicates of map keys).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

# Bytes; the same bound as on an HTTP body. The method is the only header of a call.
MAX_MESSAGE = 64 * 1024
MAX_METHOD = 128  # bytes; each call's method name is matched against the patterns
# Elements of a container. Decoding costs far more memory than the encoded form: 60,000 nils fit in 60 KB.
MAX_LENGTH = 16 * 1024
# Nesting of containers. The library's parser stops at 1,024, but the receiver of the message may recurse.
MAX_DEPTH = 64
# Bytes parsed between two checks of MAX_MESSAGE, which a message may exceed by up to this much.
SLICE = 4 * 1024
MAX_MSGID = 2**32 - 1


class Kind(IntEnum):
    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2


class BadMessage(Exception):
    """The bytes are not a valid message, or exceed a bound; nothing after them can be read. ``msgid`` is that
    of the invalid request, if it was read, so that an error response can be sent."""

    def __init__(self, reason: str, msgid: int | None = None) -> None:
        super().__init__(reason)
        self.msgid = msgid


@dataclass(frozen=True, slots=True)
class Message:
    """One message. ``method``, ``params``, ``error`` and ``result`` are encoded MessagePack as received, and
    empty where the kind has no such field. ``name`` is the method's bytes without the MessagePack header."""

    kind: Kind
    msgid: int = 0
    name: bytes = b""
    method: bytes = b""
    params: bytes = b""
    error: bytes = b""
    result: bytes = b""


def write_request(msgid: int, method: bytes, params: bytes) -> bytes:
    return b"\x94\x00" + packed(msgid) + method + params


def write_response(msgid: int, error: bytes, result: bytes) -> bytes:
    return b"\x94\x01" + packed(msgid) + error + result


def write_notification(method: bytes, params: bytes) -> bytes:
    return b"\x93\x02" + method + params


def write_error(msgid: int, error: object) -> bytes:
    """Returns a response created by the proxy, with the given error and a nil result."""
    return write_response(msgid, packed(error), b"\xc0")


def packed(value: object) -> bytes:
    data: bytes = msgpack.packb(value)
    return data


def _is_string(data: bytes | bytearray, at: int) -> bool:
    """Whether a str or a bin value starts there. Libraries older than the bin type, and some newer ones such
    as pynvim, send method names as bin."""
    return 0xA0 <= data[at] <= 0xBF or data[at] in (0xD9, 0xDA, 0xDB, 0xC4, 0xC5, 0xC6)


def _is_array(data: bytes | bytearray, at: int) -> bool:
    return 0x90 <= data[at] <= 0x9F or data[at] in (0xDC, 0xDD)


class _Depth(int):
    """The nesting depth of a container, including its own level."""


def _depth_of_array(items: list[Any]) -> _Depth:
    return _Depth(1 + max([item for item in items if type(item) is _Depth], default=0))


def _depth_of_map(pairs: list[tuple[Any, Any]]) -> _Depth:
    return _depth_of_array([item for pair in pairs for item in pair])


def _discard_ext(code: int, data: bytes) -> None:
    return None


class Reader:
    """Collects the messages of one direction of a connection; `take` returns those that are complete.

    After `feed` has raised `BadMessage`, messages that were complete before can still be taken, and each
    further `feed` raises the same error.
    """

    def __init__(self) -> None:
        # Values are parsed only to find their ends: each container is replaced by its depth. Maps are not
        # built as dicts, because their keys may repeat or be unhashable.
        self._unpacker = msgpack.Unpacker(
            raw=True,
            strict_map_key=False,
            list_hook=_depth_of_array,
            object_pairs_hook=_depth_of_map,
            ext_hook=_discard_ext,
            max_buffer_size=MAX_MESSAGE + 2 * SLICE,
            max_array_len=MAX_LENGTH,
            max_map_len=MAX_LENGTH,
        )
        self._raw = bytearray()  # the bytes received of the message being read
        self._start = 0  # offset of its first byte in the unpacker's stream
        self._messages: list[Message] = []
        self._fault: BadMessage | None = None
        self._reset()

    @property
    def partial(self) -> bool:
        """Whether part of a message has been received."""
        return bool(self._raw)

    def take(self) -> list[Message]:
        messages, self._messages = self._messages, []
        return messages

    def feed(self, data: bytes) -> None:
        if self._fault is not None:
            raise self._fault
        try:
            for start in range(0, len(data), SLICE):
                part = data[start : start + SLICE]
                self._raw += part
                self._unpacker.feed(part)
                self._advance()
                if len(self._raw) > MAX_MESSAGE:
                    raise BadMessage(f"a message of more than {MAX_MESSAGE} bytes", self._request_msgid())
        except BadMessage as fault:
            self._fault = fault
            raise

    def _request_msgid(self) -> int | None:
        """The msgid of the request being read, to which an error can be sent; None if there is none."""
        return self._msgid if self._kind is Kind.REQUEST and self._elements_read > 1 else None

    def _reset(self) -> None:
        self._kind: Kind | None = None
        self._msgid = self._elements_read = 0
        self._ends: list[int] = []  # end offsets in the raw bytes of the array header and each element read
        self._length = 0
        self._name = b""

    def _advance(self) -> None:
        """Reads element by element; the unpacker resumes within a partial element when more bytes arrive."""
        while True:
            try:
                if not self._length:
                    self._length = self._unpacker.read_array_header()
                    if self._length not in (3, 4):
                        raise BadMessage(f"an array of {self._length}, neither 3 nor 4")
                    self._ends.append(self._unpacker.tell() - self._start)
                value = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except BadMessage:
                raise
            except Exception as fault:  # the library raises subclasses of ValueError, and plain ones
                raise BadMessage(f"not MessagePack: {type(fault).__name__}", self._request_msgid()) from None
            self._ends.append(self._unpacker.tell() - self._start)
            self._check_element(value)
            self._elements_read += 1
            if self._elements_read == self._length:
                self._finish()

    def _check_element(self, value: Any) -> None:
        at = self._ends[-2]
        if type(value) is _Depth and value > MAX_DEPTH:
            raise BadMessage(f"containers more than {MAX_DEPTH} deep", self._request_msgid())
        if self._elements_read == 0:
            if type(value) is not int or value not in (0, 1, 2):
                raise BadMessage("a type that is neither 0, 1 nor 2")
            self._kind = Kind(value)
            if self._length != (3 if self._kind is Kind.NOTIFICATION else 4):
                raise BadMessage(f"{self._length} elements in a {self._kind.name.lower()}")
        elif self._elements_read == 1 and self._kind is not Kind.NOTIFICATION:
            if type(value) is not int or not 0 <= value <= MAX_MSGID:
                raise BadMessage("a msgid that is no 32-bit unsigned integer")
            self._msgid = value
        elif self._kind is not Kind.RESPONSE and self._elements_read == self._length - 2:
            if not _is_string(self._raw, at):
                raise BadMessage("a method that is no string", self._request_msgid())
            if len(value) > MAX_METHOD:
                raise BadMessage(f"a method of more than {MAX_METHOD} bytes", self._request_msgid())
            self._name = value
        elif self._kind is not Kind.RESPONSE and not _is_array(self._raw, at):
            raise BadMessage("params that are no array", self._request_msgid())

    def _finish(self) -> None:
        ends, raw, kind = self._ends, bytes(self._raw[: self._ends[-1]]), self._kind
        assert kind is not None
        last, middle = raw[ends[-2] : ends[-1]], raw[ends[-3] : ends[-2]]
        if kind is Kind.RESPONSE:
            self._messages.append(Message(kind, self._msgid, error=middle, result=last))
        else:
            self._messages.append(Message(kind, self._msgid, self._name, middle, last))
        self._start += ends[-1]
        del self._raw[: ends[-1]]
        self._reset()
