"""The rings of recent calls: bounded in number and in bytes, without the bodies of the calls."""

from __future__ import annotations

import gc
import math
import sys
from types import SimpleNamespace
from typing import Any

from hareloom import interface as api
from hareloom.records import Server
from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import Call, NotExecuted, Unclear, UpstreamResponse
from mesh.data_plane.call_state import Failed, Refused
from mesh.data_plane.introspection import why
from mesh.data_plane.traces import MAX_TRIES, RING_SIZE, FirstHopTraces, Ring, SecondHopTraces, describe_end

MAX_ENTRY_BYTES = 6000  # including all objects that an entry refers to


def dispatched_request(attempt: str, tries: int = 1, taken: float = 0.0, **fields: Any) -> Any:
    route = SimpleNamespace(name="r" * 256, version=1, aim_ms=100.0)
    tried = [("i" * 128, describe_end(Unclear("w" * 9000)), 1.0) for _ in range(tries)]
    return SimpleNamespace(
        **{
            "attempt": attempt,
            "received_ms": taken,
            "route": route,
            "service": "s" * 256,
            "tries": tried,
            **fields,
        }
    )


def call(attempt: str, instance: str = "i", caller: str = "c") -> Call:
    return Call(attempt, b"GET", b"/", [], b"x" * 100_000, instance, caller, 100.0)


def deep_size(thing: Any) -> int:
    """Bytes of an object and of all that it refers to, except types and classes."""
    seen: dict[int, int] = {}
    todo = [thing]
    while todo:
        one = todo.pop()
        if id(one) not in seen and not isinstance(one, type):
            seen[id(one)] = sys.getsizeof(one)
            todo += gc.get_referents(one)
    return sum(seen.values())


def test_a_ring_keeps_the_last_and_gives_the_oldest_first() -> None:
    ring = Ring[int]()
    assert list(ring) == []
    for number in range(RING_SIZE + 3):
        ring.add(number)
    assert list(ring) == list(range(3, RING_SIZE + 3))


def test_entries_are_bounded_whatever_was_in_the_call() -> None:
    first, second = FirstHopTraces(), SecondHopTraces()
    first.record(1.0, dispatched_request("a" * 128, tries=500), Failed(True))
    (entry,) = first.notable
    assert entry[8] == 500 and len(entry[7]) == MAX_TRIES and deep_size(entry) < MAX_ENTRY_BYTES
    second.record(1.0, call("a" * 100_000, "i" * 100_000, "c" * 100_000), 0.0, 0.5, Unclear("w" * 100_000))
    (other,) = second.notable
    assert deep_size(other) < MAX_ENTRY_BYTES


def test_a_flood_of_fine_calls_does_not_push_out_the_others() -> None:
    first, second = FirstHopTraces(), SecondHopTraces()
    ok = UpstreamResponse(200, [], b"", True)
    for at, told in enumerate((500, Refused(1.0), Failed(False), None)):
        first.record(1.0, dispatched_request(f"odd-{at}"), told)
    first.record(1.0, dispatched_request("twice", tries=2), 200)
    first.record(101.0, dispatched_request("late"), 200)
    second.record(1.0, call("full"), 0.0, 0.0, NotExecuted(RejectReason.FULL))
    for at in range(3 * RING_SIZE):
        first.record(1.0, dispatched_request(f"{at}"), 200)
        second.record(1.0, call(f"{at}"), 0.0, 0.5, ok)
    assert [one[0] for one in first.notable] == ["odd-0", "odd-1", "odd-2", "odd-3", "twice", "late"]
    assert [one[0] for one in second.notable] == ["full"]
    assert [one[0] for one in second.ordinary][-1] == f"{3 * RING_SIZE - 1}"


def test_why_a_server_is_sent_to_or_not_is_told_by_what_holds_first() -> None:
    entry = api.ServerEntry("i")
    server = Server(entry, 0.5)
    assert "first trial" in why(0.0, server, True)
    server.active = True
    assert "lowest deficit" in why(0.0, server, True)
    assert "outside the working set" in why(0.0, server, False)
    server.full_until = 9.0
    assert why(2.0, server, True) == "was full: nothing for 7 ms more"
    assert "lowest deficit" in why(10.0, server, True)
    server.active, server.samples, server.breaks, server.trial_at = False, 3, 2, 50.0
    assert why(10.0, server, True) == "2 connections failed in a row: next trial in 40 ms"
    server.breaks, server.trial_at = 0, -math.inf
    assert why(10.0, server, True) == "far slower than the best: next trial is due"
    server.cold_since = 5.0
    assert "warms up" in why(10.0, server, True)
    server.listed = False
    assert "takes nothing new" in why(10.0, server, True)
