"""Messages of MessagePack-RPC cut out of a byte stream, and written, without being taken apart.

The specification (msgpack-rpc, "MessagePack-RPC Protocol specification"): a request is [0, msgid, method,
params], a response [1, msgid, error, result], a notification [2, method, params]. No more is decoded than
type, msgid and method: params, error and result are passed on byte for byte, since decoding and packing them
again would change what it means nothing to (widths of integers, strings that are no UTF-8, ext types, the
order and repeats of map keys).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

# The protocol page's bound on a body; a call has no other head than its method.
MAX_MESSAGE = 64 * 1024
MAX_METHOD = 128  # bytes; names are matched against patterns, for every call
# A container costs its reader far more than the bytes that announce it, as 60,000 nils in 60 KB do.
MAX_LENGTH = 16 * 1024
# Containers within containers. The library's own parser stops at 1,024; what reads on behind us may recurse.
MAX_DEPTH = 64
# So much is parsed between two looks at the bound on a message, which is kept to within this.
SLICE = 4 * 1024
MAX_MSGID = 2**32 - 1


class Kind(IntEnum):
    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2


class BadMessage(Exception):
    """What came is no message, or passes a bound. ``msgid`` is that of the request at fault, where it had
    been read: it is owed an error; nothing behind it can be read any more."""

    def __init__(self, reason: str, msgid: int | None = None) -> None:
        super().__init__(reason)
        self.msgid = msgid


@dataclass(frozen=True, slots=True)
class Message:
    """One message. ``method``, ``params``, ``error`` and ``result`` are MessagePack as it came; those that
    the kind does not have are empty. ``name`` is the method's bytes without their header."""

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
    """A response of our own with that error and no result."""
    return write_response(msgid, packed(error), b"\xc0")


def packed(value: object) -> bytes:
    data: bytes = msgpack.packb(value)
    return data


def _is_string(data: bytes | bytearray, at: int) -> bool:
    """The specification's string, or its bytes: libraries older than that difference, and some since, send
    those (pynvim does)."""
    return 0xA0 <= data[at] <= 0xBF or data[at] in (0xD9, 0xDA, 0xDB, 0xC4, 0xC5, 0xC6)


def _is_array(data: bytes | bytearray, at: int) -> bool:
    return 0x90 <= data[at] <= 0x9F or data[at] in (0xDC, 0xDD)


class _Depth(int):
    """How deep a container is; its own level counts."""


def _depth_of_array(items: list[Any]) -> _Depth:
    return _Depth(1 + max([item for item in items if type(item) is _Depth], default=0))


def _depth_of_map(pairs: list[tuple[Any, Any]]) -> _Depth:
    return _depth_of_array([item for pair in pairs for item in pair])


def _nothing(code: int, data: bytes) -> None:
    return None


class Reader:
    """Collects the messages of one direction of a connection; `take` hands over those that are whole.

    ``feed`` raises `BadMessage`, once; what was whole before can be taken all the same, and the reader is of
    no further use.
    """

    def __init__(self) -> None:
        # Only walked, never kept: a container becomes its depth, and a map is never a dict, since its keys
        # may repeat, or be none of Python's.
        self._unpacker = msgpack.Unpacker(
            raw=True,
            strict_map_key=False,
            list_hook=_depth_of_array,
            object_pairs_hook=_depth_of_map,
            ext_hook=_nothing,
            max_buffer_size=MAX_MESSAGE + 2 * SLICE,
            max_array_len=MAX_LENGTH,
            max_map_len=MAX_LENGTH,
        )
        self._raw = bytearray()  # what has come of the message that is being read
        self._start = 0  # its first byte, as the unpacker counts them
        self._whole: list[Message] = []
        self._fault: BadMessage | None = None
        self._reset()

    @property
    def partial(self) -> bool:
        """Part of a message has come."""
        return bool(self._raw)

    def take(self) -> list[Message]:
        whole, self._whole = self._whole, []
        return whole

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
                    raise BadMessage(f"a message of more than {MAX_MESSAGE} bytes", self._asked())
        except BadMessage as fault:
            self._fault = fault
            raise

    def _asked(self) -> int | None:
        """The msgid that an error can be sent for."""
        return self._msgid if self._kind is Kind.REQUEST and self._read > 1 else None

    def _reset(self) -> None:
        self._kind: Kind | None = None
        self._msgid = self._read = 0
        self._ends: list[int] = []  # where each element that has been read ends, in the raw bytes
        self._length = 0
        self._name = b""

    def _advance(self) -> None:
        """Read element by element; the unpacker goes on in the middle of one when more has come."""
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
            except Exception as fault:  # the library raises ValueErrors of its own, and plain ones
                raise BadMessage(f"not MessagePack: {type(fault).__name__}", self._asked()) from None
            self._ends.append(self._unpacker.tell() - self._start)
            self._element(value)
            self._read += 1
            if self._read == self._length:
                self._finish()

    def _element(self, value: Any) -> None:
        at = self._ends[-2]
        if type(value) is _Depth and value > MAX_DEPTH:
            raise BadMessage(f"containers more than {MAX_DEPTH} deep", self._asked())
        if self._read == 0:
            if type(value) is not int or value not in (0, 1, 2):
                raise BadMessage("a type that is neither 0, 1 nor 2")
            self._kind = Kind(value)
            if self._length != (3 if self._kind is Kind.NOTIFICATION else 4):
                raise BadMessage(f"{self._length} elements in a {self._kind.name.lower()}")
        elif self._read == 1 and self._kind is not Kind.NOTIFICATION:
            if type(value) is not int or not 0 <= value <= MAX_MSGID:
                raise BadMessage("a msgid that is no 32-bit unsigned integer")
            self._msgid = value
        elif self._kind is not Kind.RESPONSE and self._read == self._length - 2:
            if not _is_string(self._raw, at):
                raise BadMessage("a method that is no string", self._asked())
            if len(value) > MAX_METHOD:
                raise BadMessage(f"a method of more than {MAX_METHOD} bytes", self._asked())
            self._name = value
        elif self._kind is not Kind.RESPONSE and not _is_array(self._raw, at):
            raise BadMessage("params that are no array", self._asked())

    def _finish(self) -> None:
        ends, raw, kind = self._ends, bytes(self._raw[: self._ends[-1]]), self._kind
        assert kind is not None
        last, middle = raw[ends[-2] : ends[-1]], raw[ends[-3] : ends[-2]]
        if kind is Kind.RESPONSE:
            self._whole.append(Message(kind, self._msgid, error=middle, result=last))
        else:
            self._whole.append(Message(kind, self._msgid, self._name, middle, last))
        self._start += ends[-1]
        del self._raw[: ends[-1]]
        self._reset()
