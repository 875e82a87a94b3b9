"""Calls between the two hops, their results, and the frames that carry them.

Each frame head is a typed structure that is decoded once, where the link reads it. Fields have one-letter
names on the wire. A field that an older release does not send has its default value. Unknown fields and
frames are ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from msgspec import Struct

from anisestair.http import codec as http
from mesh.admission.buffer_budget import Reservation
from mesh.admission.final_check import RejectReason
from mesh.transport.frames import FrameHead, decode_object

BodyBytes = bytes | bytearray  # a body received in pieces is used without another copy
HeaderFields = list[tuple[str, str]]  # headers in a frame


class Greeting(FrameHead, tag_field="t", tag="hello"):
    """Sent first by the first hop on a new link. ``window``: bytes of each body in pieces that it accepts
    beyond what it has acknowledged; 0: it does not support pieces."""

    node: str
    purpose: str = msgspec.field(name="for")
    incarnation: str = msgspec.field(name="life")
    controllers: list[str] = msgspec.field(name="core")
    window: int = 0


class GreetingReply(FrameHead, tag_field="t", tag="life"):
    """The second hop's reply to a `Greeting`; ``window`` as there."""

    incarnation: str = msgspec.field(name="life")
    window: int = 0


class WaitLimits(msgspec.Struct, array_like=True):
    """How long a call waits for a slot at most, in milliseconds: ``usual``, and ``longer`` while calls of
    lower rank are waiting."""

    usual: float = 0.0
    longer: float = 0.0


class RouteUsed(msgspec.Struct, array_like=True):
    """The route that the first hop used for a call."""

    name: str = ""
    version: int = 0
    age_ms: float = 0.0
    anyway: bool = False
    effectful: bool = False
    repeat: bool = False


class CallHead(FrameHead, tag_field="t", tag="call"):
    """A call. With ``size`` above 0 its body has that many bytes and follows in pieces."""

    number: int = msgspec.field(name="n")
    attempt: str = msgspec.field(name="a")
    method: str = msgspec.field(name="m")
    target: str = msgspec.field(name="p")
    headers: HeaderFields = msgspec.field(name="h")
    instance: str = msgspec.field(name="i")
    caller: str = msgspec.field(name="c")
    remaining_ms: float = msgspec.field(name="l")
    rank: float = msgspec.field(name="k")
    wait_limits: WaitLimits = msgspec.field(name="q")
    route: RouteUsed = msgspec.field(name="v", default_factory=RouteUsed)
    size: int = msgspec.field(name="z", default=0)


class EndHead(FrameHead, tag_field="t", tag="end"):
    """The end of a call: `UpstreamResponse` if ``status`` is set, `NotExecuted` if ``reason`` is set, else
    `Unclear`. With ``size`` above 0 the response body has that many bytes and follows in pieces."""

    number: int = msgspec.field(name="n")
    status: int | None = msgspec.field(name="s", default=None)
    headers: HeaderFields | None = msgspec.field(name="h", default=None)
    executed: bool | None = msgspec.field(name="r", default=None)
    reason: RejectReason | None = msgspec.field(name="w", default=None)
    reached_upstream: bool | None = msgspec.field(name="v", default=None)
    newer_item: list[Any] | None = msgspec.field(name="i", default=None)
    unclear: str | None = msgspec.field(name="u", default=None)
    size: int = msgspec.field(name="z", default=0)


class InProgress(FrameHead, tag_field="t", tag="passed"):
    """A queried call is at the upstream."""

    number: int = msgspec.field(name="n")


class StatusQuery(FrameHead, tag_field="t", tag="ask"):
    """Asks for the result of a call whose link was lost."""

    number: int = msgspec.field(name="n")
    attempt: str = msgspec.field(name="a")


class GoAway(FrameHead, tag_field="t", tag="leaving"):
    """The second hop is shutting down. It accepts no call with a number above ``last`` over this link."""

    last: int


class Drop(FrameHead, tag_field="t", tag="drop"):
    """The first hop no longer needs a call, or the rest of its response."""

    number: int = msgspec.field(name="n")


class BodyPiece(FrameHead, tag_field="t", tag="piece"):
    """The next bytes of the body of a call, or from the second hop of its response, as the frame's body."""

    number: int = msgspec.field(name="n")


class BodyAck(FrameHead, tag_field="t", tag="arrived"):
    """Acknowledges the first ``count`` bytes of a body in pieces."""

    number: int = msgspec.field(name="n")
    count: int = msgspec.field(name="b")


FirstHopMessage = Greeting | CallHead | StatusQuery | Drop | BodyPiece | BodyAck
SecondHopMessage = GreetingReply | EndHead | InProgress | GoAway | BodyPiece | BodyAck
KNOWN_TAGS = frozenset(
    {"hello", "life", "call", "end", "passed", "leaving", "ask", "drop", "piece", "arrived"}
)
_decode_first: Callable[[bytes], FirstHopMessage] = msgspec.json.Decoder(FirstHopMessage).decode
_decode_second: Callable[[bytes], SecondHopMessage] = msgspec.json.Decoder(SecondHopMessage).decode


class UnknownFrame(FrameHead):
    """A frame of a newer release."""


def _decode_unknown(text: bytes, error: msgspec.ValidationError) -> Any:
    """What to ignore instead of the frame. Raises the error again if the frame is a known one."""
    head = decode_object(text)
    if head.get("t") in KNOWN_TAGS:
        raise error
    return msgspec.convert(head, UnknownFrame) if head else head


def decode_from_first_hop(text: bytes) -> Any:
    """Decodes a `FirstHopMessage`. An unknown frame becomes an empty object or an `UnknownFrame`. Raises
    msgspec.DecodeError."""
    try:
        return _decode_first(text)
    except msgspec.ValidationError as error:
        return _decode_unknown(text, error)


def decode_from_second_hop(text: bytes) -> Any:
    """Decodes a `SecondHopMessage`; otherwise like `decode_from_first_hop`."""
    try:
        return _decode_second(text)
    except msgspec.ValidationError as error:
        return _decode_unknown(text, error)


def convert_from_first_hop(head: dict[str, Any]) -> Any:
    """Converts a message that was decoded as a plain object because it directly followed the greeting. Raises
    ValueError."""
    if head.get("t") not in KNOWN_TAGS:
        return UnknownFrame()
    try:
        return msgspec.convert(head, FirstHopMessage)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None


class Call(Struct):
    """A request on its way to the sidecar of ``instance``. ``remaining_ms``: time until the caller's
    deadline."""

    attempt: str
    method: bytes
    target: bytes
    headers: http.Headers
    body: BodyBytes
    instance: str
    caller: str
    remaining_ms: float
    rank: float = 0.0  # worth per unit of work; the highest rank is served first
    max_wait_ms: float = 0.0  # longest wait for a slot at the upstream
    extended_wait_ms: float = 0.0  # the same while calls of lower rank are waiting
    route: str = ""  # name of the route used; "" from a release that does not send it
    version: int = 0
    age_ms: float = 0.0  # since its client had sent it completely
    accept_stale_route: bool = False  # a second hop rejected its version as old, and no newer one is known
    effectful: bool = False  # may run at most once
    aim_ms: float = 0.0  # known at the first hop only
    repeat: bool = False  # an earlier attempt has arrived, or a repeat's execution made this call

    def head(self, number: int, in_pieces: bool = False) -> CallHead:
        """The frame head. ``in_pieces``: the body is not part of that frame."""
        return CallHead(
            number=number,
            attempt=self.attempt,
            method=self.method.decode("latin-1"),
            target=self.target.decode("latin-1"),
            headers=pack_headers(self.headers),
            instance=self.instance,
            caller=self.caller,
            remaining_ms=round(self.remaining_ms, 1),
            rank=self.rank,
            wait_limits=WaitLimits(round(self.max_wait_ms, 1), round(self.extended_wait_ms, 1)),
            route=self._route_used(),
            size=len(self.body) if in_pieces else 0,
        )

    def _route_used(self) -> RouteUsed:
        age_ms = round(self.age_ms)
        return RouteUsed(
            self.route, self.version, age_ms, self.accept_stale_route, self.effectful, self.repeat
        )

    def charge_wait(self, waited_ms: float) -> None:
        """Subtracts time spent at a hop from what is left for the call."""
        self.remaining_ms -= waited_ms
        self.max_wait_ms -= waited_ms
        self.extended_wait_ms -= waited_ms
        self.age_ms += waited_ms


@dataclass(frozen=True, slots=True)  # a Struct cannot exclude a field from comparison
class UpstreamResponse:
    """The upstream's complete response. ``reservation``: the memory reserved for its body."""

    status: int
    headers: http.Headers
    body: BodyBytes
    executed: bool  # the upstream reports that it ran the call, or does not report that it did not
    reservation: Reservation | None = field(default=None, compare=False, repr=False)


class NotExecuted(Struct, frozen=True):
    """The call has not run and never will."""

    reason: RejectReason
    reached_upstream: bool = False  # the upstream itself rejected it
    newer_item: list[Any] | None = None  # for an old route version: the current item, as packed in updates


class Unclear(Struct, frozen=True):
    """No response, and the call may have run."""

    reason: str


End = UpstreamResponse | NotExecuted | Unclear


def pack_headers(headers: http.Headers) -> HeaderFields:
    """Converts headers for a frame."""
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in headers]


def unpack_headers(fields: HeaderFields) -> http.Headers:
    """Converts headers from a frame. Raises UnicodeEncodeError."""
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]


def read_call(head: CallHead, body: BodyBytes) -> Call:
    """The call of a frame. Raises ValueError if the head is malformed."""
    route = head.route
    return Call(
        attempt=head.attempt,
        method=head.method.encode("latin-1"),
        target=head.target.encode("latin-1"),
        headers=unpack_headers(head.headers),
        body=body,
        instance=head.instance,
        caller=head.caller,
        remaining_ms=head.remaining_ms,
        rank=head.rank,
        max_wait_ms=head.wait_limits.usual,
        extended_wait_ms=head.wait_limits.longer,
        route=route.name,
        version=route.version,
        age_ms=route.age_ms,
        accept_stale_route=route.anyway,
        effectful=route.effectful,
        repeat=route.repeat,
    )


def end_head(number: int, end: End, in_pieces: bool = False) -> tuple[EndHead, BodyBytes | None]:
    """The frame head of an end, and the body in that frame. ``in_pieces``: the body is not part of it."""
    if isinstance(end, UpstreamResponse):
        size = len(end.body) if in_pieces else 0
        fields = pack_headers(end.headers)
        head = EndHead(number=number, status=end.status, headers=fields, executed=end.executed, size=size)
        return head, None if in_pieces else end.body
    if isinstance(end, NotExecuted):
        return EndHead(
            number=number, reason=end.reason, reached_upstream=end.reached_upstream, newer_item=end.newer_item
        ), None
    return EndHead(number=number, unclear=end.reason), None


def read_end(head: EndHead, body: BodyBytes, reservation: Reservation | None = None) -> End:
    """The end in a frame. Raises ValueError if the head is malformed."""
    if head.status is not None:
        return UpstreamResponse(
            head.status, unpack_headers(head.headers or []), body, head.executed is not False, reservation
        )
    if head.reason is not None:
        return NotExecuted(head.reason, head.reached_upstream is True, head.newer_item)
    if head.unclear is not None:
        return Unclear(head.unclear)
    raise ValueError("end frame has no status, reason or unclear text")
