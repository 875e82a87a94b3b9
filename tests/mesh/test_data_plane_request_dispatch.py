"""Which parts of a request the first hop passes on."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from anisestair.http import codec as http
from mesh.configuration.routes import Route
from mesh.data_plane.call_messages import Call
from mesh.data_plane.key_maps import KeyMaps
from mesh.data_plane.request_dispatch import RequestDispatcher
from mesh.data_plane.upstream_dispatch import REWRITTEN_HEADERS
from mesh.transport.frames import frame

ROUTE = Route("r", 1, "h", "/r/", False, 1000.0, 400.0, 2, 1, (("s", 1.0),))
SENT = [
    (b"host", b"ficu95.example"),
    (b"attempt-id", b"9c41d07be2a35f68"),
    (b"time-remaining", b"800"),
    (b"x-own", b"kept"),
    (b"calling-service", b"forged"),
]


def call_with(headers: http.Headers) -> Call:
    return Call("9c41d07be2a35f68", b"GET", b"/r/1", headers, b"", "i-7f3a91c2", "s", 799.0)


def test_what_the_second_hop_writes_anew_does_not_go_between_the_hops() -> None:
    taken: list[Any] = []
    balancer = SimpleNamespace(submit=taken.append)
    balancers: Any = SimpleNamespace(
        random_fraction=lambda: 0.5,
        now=lambda: 0.0,
        get_or_create=lambda *_: (balancer, False),
        keys=KeyMaps(),
    )
    request_dispatcher = RequestDispatcher(
        balancers, "caller", 256.0, lambda *_: ROUTE, lambda: True, lambda *_: None
    )
    message = http.Message(method=b"GET", target=b"/r/1", body=b"")
    message.headers = list(SENT)
    assert request_dispatcher.begin(0.0, message, lambda *_: None) is not None
    (ask,) = taken
    assert ask.headers == [(b"host", b"ficu95.example"), (b"x-own", b"kept")]
    assert ask.attempt == "9c41d07be2a35f68" and ask.deadline == 800.0
    now, before = (len(frame(call_with(headers).head(1))) for headers in (ask.headers, SENT))
    assert REWRITTEN_HEADERS.isdisjoint(name for name, _ in ask.headers) and now < 0.8 * before
