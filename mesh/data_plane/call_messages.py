"""One call as it goes between the two hops, and what the second tells the first of its end."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from msgspec import Struct

from anisestair.http import codec as http
from mesh.admission.final_check import Why
from mesh.transport.frames import Head


class Call(Struct):
    """A request on its way to the sidecar beside ``instance``; ``left_ms`` is what its caller still waits."""

    attempt: str
    method: bytes
    target: bytes
    headers: http.Headers
    body: bytes
    instance: str
    caller: str
    left_ms: float
    rank: float = 0.0  # its worth for its work; the most is served first
    patience_ms: float = 0.0  # it waits so long for a place at the most
    longer_ms: float = 0.0  # and so long where others there are of lower rank
    route: str = ""  # by which it goes, and its version; "" from a program that does not tell
    version: int = 0
    age_ms: float = 0.0  # since its client had sent it whole
    anyway: bool = False  # it was turned away as of an old version once, and there is no newer one to be had
    effectful: bool = False  # it may run once at the most
    aim_ms: float = 0.0  # known at the first hop alone
    repeat: bool = False  # another try has arrived before, or a repeat's run has made it

    def wait(self, waited_ms: float) -> None:
        """Charges ``waited_ms`` at the first hop, so that the second hop is told what is left by then."""
        self.left_ms -= waited_ms
        self.patience_ms -= waited_ms
        self.longer_ms -= waited_ms
        self.age_ms += waited_ms

    def head(self, number: int) -> Head:
        return {
            "t": "call",
            "n": number,
            "a": self.attempt,
            "m": self.method.decode("latin-1"),
            "p": self.target.decode("latin-1"),
            "h": pack_headers(self.headers),
            "i": self.instance,
            "c": self.caller,
            "l": round(self.left_ms, 1),
            "k": self.rank,
            "q": [round(self.patience_ms, 1), round(self.longer_ms, 1)],
            "v": [self.route, self.version, round(self.age_ms), self.anyway, self.effectful, self.repeat],
        }


class Returned(Struct, frozen=True):
    """The upstream's own answer, whole."""

    status: int
    headers: http.Headers
    body: bytes
    ran: bool  # it says that it ran the call, or does not say that it did not


class TurnedAway(Struct, frozen=True):
    """It has not run and never will."""

    why: Why
    arrived: bool = False  # the upstream itself turned it away
    newer: list[Any] | None = None  # where its version is old, the item that holds, as news pack it


class Unclear(Struct, frozen=True):
    """No answer, and it may have run."""

    why: str


End = Returned | TurnedAway | Unclear


def pack_headers(headers: http.Headers) -> list[list[str]]:
    return [[name.decode("latin-1"), value.decode("latin-1")] for name, value in headers]


def unpack_headers(fields: list[list[str]]) -> http.Headers:
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]


def read_call(head: Head, body: bytes) -> Call:
    """Raises KeyError, TypeError or ValueError for what is no call. Fields unknown here are passed over."""
    way: Sequence[Any] = head.get("v") or ("", 0, 0.0, False)  # the last two came later
    return Call(
        attempt=str(head["a"]),
        method=head["m"].encode("latin-1"),
        target=head["p"].encode("latin-1"),
        headers=unpack_headers(head["h"]),
        body=body,
        instance=str(head["i"]),
        caller=str(head["c"]),
        left_ms=float(head["l"]),
        rank=float(head["k"]),
        patience_ms=float(head["q"][0]),
        longer_ms=float(head["q"][1]),
        route=str(way[0]),
        version=int(way[1]),
        age_ms=float(way[2]),
        anyway=bool(way[3]),
        effectful=len(way) > 4 and bool(way[4]),
        repeat=len(way) > 5 and bool(way[5]),
    )


def end_head(number: int, end: End) -> tuple[Head, bytes | None]:
    """An end as a frame."""
    head: dict[str, Any] = {"t": "end", "n": number}
    if isinstance(end, Returned):
        head.update(s=end.status, h=pack_headers(end.headers), r=end.ran)
        return head, end.body
    if isinstance(end, TurnedAway):
        head.update(w=end.why.value, v=end.arrived)
        if end.newer is not None:
            head["i"] = end.newer
    else:
        head.update(u=end.why)
    return head, None


def read_end(head: Head, body: bytes) -> End:
    """Raises KeyError, TypeError or ValueError for what is no end."""
    if "s" in head:
        return Returned(int(head["s"]), unpack_headers(head["h"]), body, bool(head["r"]))
    if "w" in head:
        return TurnedAway(Why(head["w"]), bool(head["v"]), head.get("i"))
    return Unclear(str(head["u"]))
