"""What the three sides share of HTTP/1.1: messages read with httptools, messages written as bytes. No I/O.

A message that is whole within a bound is handed over whole. A longer one, where the reader has a budget for
such, is handed over as it begins, with a `Body` to which the rest goes as it comes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import cast

import httptools

from anisestair.flow.budget import READ_BYTES, Body, Budget

MAX_BODY = 64 * 1024
# Bytes of a message that are not its body, as they come: head, chunk sizes with what is added to them,
# trailers, all interim answers. The parser gathers a header without end and tells of it only at that end.
MAX_HEAD = 16 * 1024
# And so many of them for each byte of a body: a chunk of one byte has a line for its size, and one at its
# end.
FRAMING_A_BYTE = 8
SLICE = 4 * 1024  # so much is parsed between two looks at that bound, which is kept to within this

Headers = list[tuple[bytes, bytes]]  # names in lower case

# Meant for one connection only (RFC 9110, 7.6.1), or written anew for the next one.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade"
    b" content-length expect".split()
)


# What the receiver needs, however a sender's Connection header is worded: with these dropped, a request would
# run under no id, and a repeat without the key that keeps it from running twice.
NEEDED = frozenset({b"x-correlation-id", b"idempotency-key"})


# What says where a message ends; looked for in one pass, as every message has its headers read.
FRAMING = frozenset({b"content-length", b"transfer-encoding", b"expect"})

STATUS_LINES = {item.value: b"HTTP/1.1 %d %s" % (item.value, item.phrase.encode()) for item in HTTPStatus}


class BadMessage(Exception):
    """The other side sent what cannot be read; ``status`` is what a server answers it with."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request (method, target) or an answer (status), read whole."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    stream: Body | None = None  # instead of a body, where that is long
    old: bool = False  # HTTP/1.0: it knows no chunks
    hold: object = None  # what its reader keeps for as long as it is in hand

    def get(self, name: bytes) -> str | None:
        """The value of the first header of that name (in lower case)."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None

    def end_to_end(self) -> Headers:
        """The headers that a proxy passes on."""
        dropped = HOP_BY_HOP
        for key, value in self.headers:
            if key == b"connection":
                dropped |= {token.strip().lower() for token in value.split(b",")} - NEEDED
        return [item for item in self.headers if item[0] not in dropped]


class Reader:
    """Collects the messages of one direction of a connection; ``take`` hands over those that are whole."""

    def __init__(
        self,
        parser: Callable[[object], httptools.HttpRequestParser | httptools.HttpResponseParser],
        max_body: int,
        budget: Budget | None = None,
    ) -> None:
        self._parser = parser(self)
        self.max_body, self.max_head, self._budget = max_body, MAX_HEAD, budget
        self.stream: Body | None = None  # the rest of the message being read goes there
        self._carried = 0  # bytes of its body so far
        self._length: int | None = None  # of the body being read, where that is told
        self.keeps = True  # the last message that ended lets the connection go on
        self._whole: list[Message] = []
        self._message = Message()
        self._body = bytearray()
        self._spent = 0  # bytes of this message so far, less its body
        self._in_head = True
        self._fault = HTTPStatus.BAD_REQUEST
        self.expects_continue = False  # the other side waits for a go-ahead before it sends its body
        self.until_eof = False  # the answer being read has no length and ends with the connection
        self.partial = False  # part of a message has come, or something that can't be the start of one

    def feed(self, data: bytes) -> None:
        """What is whole before a BadMessage can be taken all the same."""
        step = SLICE if self.stream is None else max(len(data), 1)
        for start in range(0, len(data), step):
            part = data[start : start + step]
            self._spent += len(part)
            try:
                self._parser.feed_data(part)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self.partial = True
                raise BadMessage(self._fault) from None
            if self._spent > self.max_head + FRAMING_A_BYTE * self._carried:
                raise BadMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def take(self) -> list[Message]:
        whole, self._whole = self._whole, []
        return whole

    def end(self) -> None:
        """The connection ended; an answer that was to end with it is whole now."""
        if self.until_eof:
            self.on_message_complete()
        elif self.stream is not None:
            self.stream.cut()

    def close(self) -> None:
        """Nothing more is read. The parser holds this object's methods: the two would wait for the collector
        of cycles, and in the meantime thousands of dead connections' memory cannot be used again."""
        del self._parser

    # Called by httptools; whatever is raised in here reaches feed() as an HttpParserError.

    def on_message_begin(self) -> None:
        self._in_head, self._carried, self.partial = True, 0, True

    def on_url(self, part: bytes) -> None:
        self._message.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # a trailer must not pass for a header (RFC 9110, 6.5.1)
            # The parser leaves white space behind a value, which is no part of it (RFC 9112, 5).
            self._message.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        self._in_head = False
        message, framing = self._message, dict[bytes, bytes]()
        for key, value in message.headers:
            if key in FRAMING:
                framing.setdefault(key, value)
        length = framing.get(b"content-length")
        if length is not None and b"transfer-encoding" in framing:
            self._refuse(HTTPStatus.BAD_REQUEST)  # the two may hide another message in the body
        self._length = int(length) if length is not None else None
        if self._length is not None and self._length > self.max_body and self._budget is None:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        message.old = self._parser.get_http_version() == "1.0"
        if isinstance(self._parser, httptools.HttpRequestParser):
            message.method = self._parser.get_method()
            self.expects_continue = framing.get(b"expect", b"").lower() == b"100-continue"
        else:
            message.status = self._parser.get_status_code()
            chunked = b"transfer-encoding" in framing
            bodiless = message.status < 200 or message.status in (204, 304)
            self.until_eof = length is None and not chunked and not bodiless
            if message.status < 200:
                return

    @property
    def in_body(self) -> bool:
        """Part of a message has come, and its head is whole: how the rest comes is its sender's pace."""
        return self.partial and not self._in_head

    @property
    def open_ended(self) -> bool:
        """The body being read has no known length, and its message has not begun."""
        return self.in_body and self.stream is None and self._length is None

    @property
    def carried(self) -> int:
        """Bytes of the body being read that have come."""
        return self._carried

    def begin(self) -> None:
        """Hand over the message being read as it is, whatever of it has come; its head is whole."""
        if self.stream is not None or not self.in_body or self._budget is None:
            return
        if not self._budget.admits():
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        request = bool(self._message.method)
        self.stream = Body(self._budget, self._length, self._budget.replay_limit() if request else 0)
        if self._body:
            self.stream.feed(bytes(self._body))
            self._body = bytearray()
        self._message.stream = self.stream
        self._message.keep_alive = self._parser.should_keep_alive() and not self.until_eof
        self._whole.append(self._message)

    def on_body(self, part: bytes) -> None:
        self._spent -= len(part)
        self._carried += len(part)
        # One that will be too long begins with its first bytes: until then another attempt can take its
        # place.
        if self.stream is None and (self._carried > self.max_body or (self._length or 0) > self.max_body):
            if self._budget is None:
                self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            self.begin()
        if self.stream is not None:
            self.stream.feed(part)
        else:
            self._body += part

    def on_message_complete(self) -> None:
        message, stream = self._message, self.stream
        # A long one is not copied once more: nothing is added to it after this.
        message.body = bytes(self._body) if len(self._body) <= MAX_BODY else cast(bytes, self._body)
        self._message, self._body = Message(), bytearray()  # an idle connection holds nothing of the last one
        message.keep_alive = self._parser.should_keep_alive() and not self.until_eof
        self.expects_continue = self.until_eof = self.partial = False
        self.keeps = message.keep_alive
        if stream is not None:
            self.stream, self._spent = None, 0
            stream.end()
        elif message.method or message.status >= 200:  # an interim answer announces the real one
            self._whole.append(message)
            self._spent = 0

    def _refuse(self, status: HTTPStatus) -> None:
        self._fault = status
        raise BadMessage(status)


class Buffered(asyncio.BufferedProtocol):
    """A connection that reads no more at a time than a budget counts on. What a read brings is copied out of
    the one buffer at once."""

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_READ[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


_READ = memoryview(bytearray(READ_BYTES))


def request_reader(budget: Budget | None = None) -> Reader:
    return Reader(httptools.HttpRequestParser, MAX_BODY, budget)


def response_reader(max_body: int = MAX_BODY, budget: Budget | None = None) -> Reader:
    return Reader(httptools.HttpResponseParser, max_body, budget)


def stream_framing(length: int | None) -> tuple[bytes, bytes]:
    """The header that says where a body ends which is not here whole."""
    if length is None:
        return b"transfer-encoding", b"chunked"
    return b"content-length", b"%d" % length


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def write_request(
    method: bytes, target: bytes, headers: Headers, body: bytes | bytearray | Body = b""
) -> bytes:
    """The whole request, or its head where the body is a stream."""
    if isinstance(body, Body):
        return _write(b"%s %s HTTP/1.1" % (method, target), [*headers, stream_framing(body.length)], b"")
    return request_head(method, target, headers, len(body)) + body


def request_head(method: bytes, target: bytes, headers: Headers, length: int) -> bytes:
    """Of a request whose body has so many bytes."""
    # A GET without a body says nothing of a length; every other method has to (RFC 9110, 8.6).
    framing = [(b"content-length", b"%d" % length)] if length or method != b"GET" else []
    return _write(b"%s %s HTTP/1.1" % (method, target), [*headers, *framing], b"")


def write_response(
    status: int, headers: Headers, body: bytes | bytearray | Body, close: bool, chunks: bool = True
) -> bytes:
    """The whole answer, or its head where the body is a stream. Without chunks a stream of no known length
    ends with its connection."""
    if not isinstance(body, Body):
        framing, body = [(b"content-length", b"%d" % len(body))], body
    else:
        framing = [stream_framing(body.length)] if chunks or body.length is not None else []
        body = b""
    if close:
        framing.append((b"connection", b"close"))
    return _write(STATUS_LINES[status], [*headers, *framing], body)


def _write(start: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes | bytearray) -> bytes:
    lines = [start, *[b"%s: %s" % header for header in headers], b"", body]
    return b"\r\n".join(lines)
