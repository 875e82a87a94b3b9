"""HTTP/1.1 codec of clients, upstreams and discovery: parses with httptools, encodes to bytes. No I/O.

A message whose body fits within a limit is returned complete. If the reader has a buffer budget, a longer
message is returned once its head is read, with a `Body` that receives the rest as a stream.
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
# Limit on the received bytes of a message outside its body: head, chunk sizes and extensions, trailers, all
# interim responses. The parser buffers a header of any length and reports it only when it ends.
MAX_HEAD = 16 * 1024
# Bytes added to that limit for each body byte: a one-byte chunk carries a size line and a line end.
FRAMING_BYTES_PER_BODY_BYTE = 8
SLICE = 4 * 1024  # bytes parsed between two checks of that limit, which may be exceeded by up to this

Headers = list[tuple[bytes, bytes]]  # names in lower case

# Valid for a single connection (RFC 9110, 7.6.1), or generated anew for the next one.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade"
    b" content-length expect".split()
)


# Forwarded even if the sender's Connection header lists them: without these a request would run without an
# id, and a retry without the key that prevents it from running twice.
ALWAYS_FORWARDED = frozenset({b"x-correlation-id", b"idempotency-key"})


# Headers that determine where a message ends; collected in a single pass, since this runs for every message.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"expect"})

STATUS_LINES = {item.value: b"HTTP/1.1 %d %s" % (item.value, item.phrase.encode()) for item in HTTPStatus}


class BadMessage(Exception):
    """The peer sent a message that cannot be parsed; ``status`` is for the server's response."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


@dataclass(slots=True)
class Message:
    """A parsed request (method, target) or response (status), with its body or a stream of it."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    stream: Body | None = None  # used in place of ``body`` when that is long
    http_1_0: bool = False  # HTTP/1.0, which has no chunked encoding
    hold: object = None  # a resource that the receiver keeps while it handles the message

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
                dropped |= {token.strip().lower() for token in value.split(b",")} - ALWAYS_FORWARDED
        return [item for item in self.headers if item[0] not in dropped]


class Reader:
    """Parses one direction of a connection; ``take`` returns the messages that are complete."""

    def __init__(
        self,
        parser: Callable[[object], httptools.HttpRequestParser | httptools.HttpResponseParser],
        max_body: int,
        budget: Budget | None = None,
    ) -> None:
        self._parser = parser(self)
        self.max_body, self.max_head, self._budget = max_body, MAX_HEAD, budget
        self.stream: Body | None = None  # receives the rest of the message being read
        self._carried = 0  # body bytes of the message being read, so far
        self._length: int | None = None  # declared length of the body being read
        self.keep_alive = True  # the last complete message allows the connection to be reused
        self._complete: list[Message] = []
        self._message = Message()
        self._body = bytearray()
        self._overhead_bytes = 0  # bytes of the message being read outside its body, so far
        self._in_head = True
        self._error_status = HTTPStatus.BAD_REQUEST
        self.expects_continue = False  # the client waits for 100 Continue before it sends the body
        self.until_eof = False  # the response being read has no length and ends with the connection
        self.partial = False  # part of a message has been read, or bytes that cannot start one

    def feed(self, data: bytes) -> None:
        """Parse received bytes. Messages completed before a BadMessage can still be taken."""
        step = SLICE if self.stream is None else max(len(data), 1)
        for start in range(0, len(data), step):
            part = data[start : start + step]
            self._overhead_bytes += len(part)
            try:
                self._parser.feed_data(part)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self.partial = True
                raise BadMessage(self._error_status) from None
            if self._overhead_bytes > self.max_head + FRAMING_BYTES_PER_BODY_BYTE * self._carried:
                raise BadMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def take(self) -> list[Message]:
        whole, self._complete = self._complete, []
        return whole

    def end(self) -> None:
        """Handle the end of the connection, which completes a response without a length."""
        if self.until_eof:
            self.on_message_complete()
        elif self.stream is not None:
            self.stream.cut()

    def close(self) -> None:
        """Release the parser. It references this object's methods: the cycle would stay until the garbage
        collector runs, and the memory of thousands of closed connections could not be reused until then."""
        del self._parser

    # Callbacks of httptools; an exception raised in one reaches feed() as an HttpParserError.

    def on_message_begin(self) -> None:
        self._in_head, self._carried, self.partial = True, 0, True

    def on_url(self, part: bytes) -> None:
        self._message.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # trailers must not be merged into the headers (RFC 9110, 6.5.1)
            # The parser keeps trailing white space, which is not part of the value (RFC 9112, 5).
            self._message.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        self._in_head = False
        message, framing = self._message, dict[bytes, bytes]()
        for key, value in message.headers:
            if key in FRAMING_HEADERS:
                framing.setdefault(key, value)
        length = framing.get(b"content-length")
        if length is not None and b"transfer-encoding" in framing:
            self._refuse(HTTPStatus.BAD_REQUEST)  # both together allow request smuggling
        self._length = int(length) if length is not None else None
        if self._length is not None and self._length > self.max_body and self._budget is None:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        message.http_1_0 = self._parser.get_http_version() == "1.0"
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
        """Whether the head of the message being read is complete, so that its sender sets the pace."""
        return self.partial and not self._in_head

    @property
    def open_ended(self) -> bool:
        """Whether the body being read has no known length and its message is not being streamed yet."""
        return self.in_body and self.stream is None and self._length is None

    @property
    def carried(self) -> int:
        """Received bytes of the body being read."""
        return self._carried

    def begin(self) -> None:
        """Stream the message being read, if its head is complete, instead of waiting for its end."""
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
        self._complete.append(self._message)

    def on_body(self, part: bytes) -> None:
        self._overhead_bytes -= len(part)
        self._carried += len(part)
        # A body known to be too long is streamed from its first byte on: until then, another attempt can
        # replace this one.
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
        # A long body is not copied again: nothing is appended to it after this.
        message.body = bytes(self._body) if len(self._body) <= MAX_BODY else cast(bytes, self._body)
        self._message, self._body = Message(), bytearray()  # an idle connection keeps no data
        message.keep_alive = self._parser.should_keep_alive() and not self.until_eof
        self.expects_continue = self.until_eof = self.partial = False
        self.keep_alive = message.keep_alive
        if stream is not None:
            self.stream, self._overhead_bytes = None, 0
            stream.end()
        elif message.method or message.status >= 200:  # interim responses (1xx) are dropped
            self._complete.append(message)
            self._overhead_bytes = 0

    def _refuse(self, status: HTTPStatus) -> None:
        self._error_status = status
        raise BadMessage(status)


class Buffered(asyncio.BufferedProtocol):
    """A connection that reads at most READ_BYTES at a time, as the budget assumes. All connections share one
    buffer, from which each read is copied at once."""

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
    """The header that delimits a streamed body."""
    if length is None:
        return b"transfer-encoding", b"chunked"
    return b"content-length", b"%d" % length


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def write_request(
    method: bytes, target: bytes, headers: Headers, body: bytes | bytearray | Body = b""
) -> bytes:
    """Encode the complete request, or only its head if the body is a stream."""
    if isinstance(body, Body):
        return _write(b"%s %s HTTP/1.1" % (method, target), [*headers, stream_framing(body.length)], b"")
    return request_head(method, target, headers, len(body)) + body


def request_head(method: bytes, target: bytes, headers: Headers, length: int) -> bytes:
    """Encode the head of a request with a body of ``length`` bytes."""
    # A GET without a body has no Content-Length; other methods send it (RFC 9110, 8.6).
    framing = [(b"content-length", b"%d" % length)] if length or method != b"GET" else []
    return _write(b"%s %s HTTP/1.1" % (method, target), [*headers, *framing], b"")


def write_response(
    status: int, headers: Headers, body: bytes | bytearray | Body, close: bool, chunks: bool = True
) -> bytes:
    """Encode the complete response, or only its head if the body is a stream. Without ``chunks``, a stream of
    unknown length ends with the connection."""
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
