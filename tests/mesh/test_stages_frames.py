"""Frames of staged rollout: reports that go one way, calls that carry their route version, and peers that run
older or newer programs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import (
    Call,
    NotExecuted,
    decode_from_first_hop,
    decode_from_second_hop,
    end_head,
    read_call,
    read_end,
)
from mesh.dissemination.pull_exchange import Exchange, pack
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.rollout.report import REPORTS
from mesh.transport.frames import Frames, frame

UP, TAKES = (REPORTS,), [REPORTS]


class End:
    """A process at one end of a link; ``takes``: the stores that its hello names."""

    def __init__(self, name: str, takes: Any = (), old: bool = False) -> None:
        self.name, self.takes, self.old = name, takes, old
        self.stores = {"charter": Store(name, 100)}
        if not old:
            self.stores[REPORTS] = Store(name, 100)
        self.exchange = Exchange(self.stores, *(() if old else (UP, takes)))
        self.sent = 0

    def report(self, count: int = 1) -> None:
        for _ in range(count):
            version = self.stores[REPORTS].vector.get(self.name, 0) + 1
            self.stores[REPORTS].write("report", self.name, version, {"v": {}})


def exchange_all(one: End, other: End, most: int = 200) -> int:
    """Exchanges until neither end has updates left; returns the number of frames."""
    for here, there in ((one, other), (other, one)):
        if not here.old:
            here.exchange.set_peer(there.name, there.takes)
    frames = 0
    for here, there in ((one, other), (other, one)):
        there.exchange.record_pull(here.exchange.pull_request(), here.name)
    while frames < most:
        sent = False
        for here, there in ((one, other), (other, one)):
            answer = here.exchange.answer(True)
            if answer is not None:
                frames += 2
                here.sent += 1
                there.exchange.merge_answer(answer)
                here.exchange.record_pull(there.exchange.pull_request(), there.name)
                sent = True
        if not sent:
            return frames
    raise AssertionError(f"still exchanging after {most} frames")


def test_reports_go_up_and_between_those_that_take_them_and_never_down() -> None:
    core, other, side, next_side = End("c1", TAKES), End("c2", TAKES), End("s1"), End("s2")
    side.report()
    next_side.report()
    exchange_all(side, core)
    exchange_all(next_side, other)
    core.exchange, other.exchange = (Exchange(end.stores, UP, TAKES) for end in (core, other))
    exchange_all(core, other)
    for end in (core, other):
        assert {name for _, name in end.stores[REPORTS].items} == {"s1", "s2"}
    core.exchange, side.exchange = Exchange(core.stores, UP, TAKES), Exchange(side.stores, UP)
    core.exchange.set_peer("s1", ())
    assert core.exchange.pull_request()["v"] == {REPORTS: {"s1": 1}}  # not the vector of all sidecars
    assert REPORTS not in side.exchange.pull_request()["v"]
    core.exchange, side.exchange = Exchange(core.stores, UP, TAKES), Exchange(side.stores, UP)
    exchange_all(core, side)
    assert {name for _, name in side.stores[REPORTS].items} == {"s1"} and core.sent == 1
    assert side.exchange.peer_number(REPORTS, "s1") == 1


def test_what_nobody_asked_for_is_not_taken_from_above() -> None:
    side = End("s1")
    item = Item("report", "s2", 1, {"v": {}}, "s2", 1)
    answer = {
        "t": "news",
        "n": {REPORTS: {"items": [pack(item)], "v": {"s2": 1}}},
        "more": False,
        "whole": True,
    }
    assert side.exchange.merge_answer(answer) == {} and not side.stores[REPORTS].items


@pytest.mark.parametrize("takes", [(), TAKES])
def test_with_a_program_that_knows_no_reports_the_talk_comes_to_an_end(takes: Any) -> None:
    old, new = End("old", old=True), End("new", takes)
    new.report(3)
    old.stores["charter"].write("route", "a", 1, {})
    assert exchange_all(new, old) <= 4 and ("route", "a") in new.stores["charter"].items


def decode_frames(data: bytes, decode: Callable[[bytes], Any]) -> list[tuple[Any, bytes]]:
    """The frames as the links of calls decode them."""
    frames = Frames()
    frames.decode = decode
    return frames.feed(data)


def test_a_call_names_its_route_and_one_that_does_not_is_read_all_the_same() -> None:
    call = Call(
        "a1",
        b"GET",
        b"/x",
        [],
        b"",
        "i-1",
        "s",
        700.0,
        route="a",
        version=7,
        age_ms=12.0,
        accept_stale_route=True,
    )
    fields = msgspec.to_builtins(call.head(3))
    ((head, body),) = decode_frames(frame({**fields, "of a newer program": [1]}, b""), decode_from_first_hop)
    assert read_call(head, body) == call
    del fields["v"]
    old = read_call(decode_frames(frame(fields), decode_from_first_hop)[0][0], b"")
    assert (old.route, old.accept_stale_route) == ("", False)


def test_a_turning_away_carries_the_newer_item() -> None:
    item = Item("route", "a", 8, {"x": 1}, "c1", 4)
    for end in (NotExecuted(RejectReason.OLD, newer_item=pack(item)), NotExecuted(RejectReason.FULL)):
        ((head, body),) = decode_frames(frame(end_head(1, end)[0]), decode_from_second_hop)
        assert read_end(head, body) == end
