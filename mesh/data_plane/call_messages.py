"""One call as it goes between the two hops, what the second tells the first of its end, and the frames.

Each frame's head is a typed structure, decoded once, where the link reads it. On the wire its fields have one
letter. What a program from before a field leaves out has its default; fields and frames that are unknown here
are passed over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from msgspec import Struct

from anisestair.http import codec as http
from mesh.admission.buffer_budget import Reservation
from mesh.admission.final_check import Why
from mesh.transport.frames import FrameHead, decode_object

BodyBytes = bytes | bytearray  # a body; one that came in pieces is not copied once more
HeaderFields = list[tuple[str, str]]  # headers on the wire


class Greeting(FrameHead, tag_field="t", tag="hello"):
    """The first hop's first word on a link. ``window``: bytes of each body in pieces that it takes beyond
    what it has confirmed; 0 is a program that takes no pieces."""

    node: str
    purpose: str = msgspec.field(name="for")
    life: str
    core: list[str]
    window: int = 0


class GreetingReply(FrameHead, tag_field="t", tag="life"):
    """The second hop's answer to a greeting; ``window`` as there."""

    life: str
    window: int = 0


class WaitLimits(msgspec.Struct, array_like=True):
    """Milliseconds that a call waits for a place at the most, and where others there are of lower rank."""

    usual: float = 0.0
    longer: float = 0.0


class RouteUsed(msgspec.Struct, array_like=True):
    """The route by which a call goes, as its first hop has it."""

    name: str = ""
    version: int = 0
    age_ms: float = 0.0
    anyway: bool = False
    effectful: bool = False
    repeat: bool = False


class CallHead(FrameHead, tag_field="t", tag="call"):
    """A call. ``size`` above 0: its body has so many bytes and follows in pieces."""

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
    """A call's end: with ``status`` `Returned`, with ``why`` `TurnedAway`, else `Unclear`. ``size`` as above,
    of the answer's body."""

    number: int = msgspec.field(name="n")
    status: int | None = msgspec.field(name="s", default=None)
    headers: HeaderFields | None = msgspec.field(name="h", default=None)
    executed: bool | None = msgspec.field(name="r", default=None)
    reason: Why | None = msgspec.field(name="w", default=None)
    reached_upstream: bool | None = msgspec.field(name="v", default=None)
    newer_item: list[Any] | None = msgspec.field(name="i", default=None)
    unclear: str | None = msgspec.field(name="u", default=None)
    size: int = msgspec.field(name="z", default=0)


class InProgress(FrameHead, tag_field="t", tag="passed"):
    """The upstream has a call that was asked after."""

    number: int = msgspec.field(name="n")


class StatusQuery(FrameHead, tag_field="t", tag="ask"):
    """What became of a call whose link was lost?"""

    number: int = msgspec.field(name="n")
    attempt: str = msgspec.field(name="a")


class GoAway(FrameHead, tag_field="t", tag="leaving"):
    """The second hop ends. No call with a number above ``last`` has been taken over this link or will be."""

    last: int


class Drop(FrameHead, tag_field="t", tag="drop"):
    """Nobody waits for a call any more, or for the rest of its answer."""

    number: int = msgspec.field(name="n")


class BodyPiece(FrameHead, tag_field="t", tag="piece"):
    """The next bytes, behind it as its body, of a call's body or, from the second hop, of its answer's."""

    number: int = msgspec.field(name="n")


class BodyAck(FrameHead, tag_field="t", tag="arrived"):
    """So many first bytes of a body in pieces have come."""

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
    """A frame of a later program."""


def _decode_unknown(text: bytes, fault: msgspec.ValidationError) -> Any:
    """What is passed over; raises the fault where the frame is one of ours, and wrong."""
    head = decode_object(text)
    if head.get("t") in KNOWN_TAGS:
        raise fault
    return msgspec.convert(head, UnknownFrame) if head else head


def decode_from_first_hop(text: bytes) -> Any:
    """A `FirstHopMessage`; what is none of them is empty or a `LaterFrame`. Raises msgspec.DecodeError."""
    try:
        return _decode_first(text)
    except msgspec.ValidationError as fault:
        return _decode_unknown(text, fault)


def decode_from_second_hop(text: bytes) -> Any:
    """A `SecondHopMessage`; otherwise as `decode_from_first_hop`."""
    try:
        return _decode_second(text)
    except msgspec.ValidationError as fault:
        return _decode_unknown(text, fault)


def convert_from_first_hop(head: dict[str, Any]) -> Any:
    """A message that was read as a mere object: it stood right behind the greeting. Raises ValueError."""
    if head.get("t") not in KNOWN_TAGS:
        return UnknownFrame()
    try:
        return msgspec.convert(head, FirstHopMessage)
    except msgspec.ValidationError as fault:
        raise ValueError(str(fault)) from None


class Call(Struct):
    """A request on its way to the sidecar beside ``instance``; ``left_ms`` is what its caller still waits."""

    attempt: str
    method: bytes
    target: bytes
    headers: http.Headers
    body: BodyBytes
    instance: str
    caller: str
    remaining_ms: float
    rank: float = 0.0  # its worth for its work; the most is served first
    max_wait_ms: float = 0.0  # it waits so long for a place at the most
    extended_wait_ms: float = 0.0  # and so long where others there are of lower rank
    route: str = ""  # by which it goes, and its version; "" from a program that does not tell
    version: int = 0
    age_ms: float = 0.0  # since its client had sent it whole
    accept_stale_route: bool = False  # a second hop rejected its version as old, and no newer one is known
    effectful: bool = False  # it may run once at the most
    aim_ms: float = 0.0  # known at the first hop alone
    repeat: bool = False  # another try has arrived before, or a repeat's run has made it

    def head(self, number: int, in_pieces: bool = False) -> CallHead:
        """Its frame's; ``in_pieces``: its body is not in that frame."""
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
        """Charges ``waited_ms`` of either hop, so that whoever has the call next knows what is left."""
        self.remaining_ms -= waited_ms
        self.max_wait_ms -= waited_ms
        self.extended_wait_ms -= waited_ms
        self.age_ms += waited_ms


@dataclass(frozen=True, slots=True)  # a Struct has no field that equality passes over
class UpstreamResponse:
    """The upstream's own answer, whole. ``hold``: the memory that is taken for its body."""

    status: int
    headers: http.Headers
    body: BodyBytes
    executed: bool  # it says that it ran the call, or does not say that it did not
    reservation: Reservation | None = field(default=None, compare=False, repr=False)


class NotExecuted(Struct, frozen=True):
    """It has not run and never will."""

    reason: Why
    reached_upstream: bool = False  # the upstream itself turned it away
    newer_item: list[Any] | None = None  # where its version is old, the item that holds, as news pack it


class Unclear(Struct, frozen=True):
    """No answer, and it may have run."""

    reason: str


End = UpstreamResponse | NotExecuted | Unclear


def pack_headers(headers: http.Headers) -> HeaderFields:
    """Headers as they stand in a frame."""
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in headers]


def unpack_headers(fields: HeaderFields) -> http.Headers:
    """Headers of a frame; raises UnicodeEncodeError."""
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]


def read_call(head: CallHead, body: BodyBytes) -> Call:
    """Raises ValueError for what is no call."""
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
    """An end as a frame, and the body in it; ``in_pieces``: that is not in the frame."""
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


def read_end(head: EndHead, body: BodyBytes, hold: Reservation | None = None) -> End:
    """Raises ValueError for what is no end."""
    if head.status is not None:
        return UpstreamResponse(
            head.status, unpack_headers(head.headers or []), body, head.executed is not False, hold
        )
    if head.reason is not None:
        return NotExecuted(head.reason, head.reached_upstream is True, head.newer_item)
    if head.unclear is not None:
        return Unclear(head.unclear)
    raise ValueError("an end without a word")
