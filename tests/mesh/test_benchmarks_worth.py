"""The report of lost worth, on a day and a trace of our own making, and the trace that a proxy writes."""

from __future__ import annotations

import io
from types import SimpleNamespace
from typing import Any

import pytest

from benchmarks.worth import loss_report, markdown_lines
from benchmarks.worth_trace import SecondHop, TimeParts, Trace, Try, read_trace, second_tries, upstream_loads
from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import NotExecuted, UpstreamResponse
from mesh.data_plane.call_trace import CallTrace
from mesh.event_log import events
from mesh.event_log.events import Level
from mesh.event_log.log import MAX_LINES_PER_SECOND, EventLog

PROXY, CORE = "  1.2 side-a-1 11:00:00.000", "  1.2 core-a-1 11:00:00.000"


def first(attempt: str, took: float, tries: str, route: str = "r-1", end: str = "200") -> str:
    told = f"{PROXY} D510 call over at its first hop attempt={attempt} route={route} service=s aim_ms=500"
    return f"{told} took_ms={took} end={end} tries={tries}"


def second(attempt: str, instance: str, waited: float, ran: float) -> str:
    told = f"{PROXY} D511 call over at its second hop attempt={attempt} instance={instance} caller=s"
    return f"{told} waited_ms={waited} ran_ms={ran} end=200"


def calls(count: int, route: str = "r-1") -> list[str]:
    """Calls in time, each third of them at an upstream that is half as quick as the other."""
    lines = []
    for at in range(count):
        instance, ran = ("i-1", 90.0) if at % 3 else ("i-2", 180.0)
        lines.append(first(f"{route}.{at}", ran + 10.0, f"{instance}/1/{ran + 9.0}/200", route))
        lines.append(second(f"{route}.{at}", instance, 0.0, ran))
    return lines


LATE = [
    *(first("q", 700.0, "i-1/0/700/200"), second("q", "i-1", 600.0, 90.0)),
    *(first("t", 800.0, '"i-1/0/650/unclear: cut|i-2/660/140/200"'), second("t", "i-2", 0.0, 130.0)),
    *(first("w", 700.0, "i-2/0/700/200"), second("w", "i-2", 0.0, 690.0)),
    *(first("l", 900.0, "i-1/0/900/200"), second("l", "i-1", 0.0, 890.0)),
]


def report(late: int, failed: int, worth: float) -> dict[str, Any]:
    read = {
        "name": "read",
        "n": 40,
        "late": late,
        "refused": 0,
        "failed": failed,
        "worth": worth,
        "p50_ms": 150.0,
    }
    role = {"cpu_mean": 0.01, "mem_peak_mb": 20.0}
    prices = [["machine-seconds", 480.0, 0.06], ["GB between zones", 0.01, 0.02], ["probes", 0.0, 0.0]]
    parts = [
        ["whole day", 0.6, worth],
        ["worst class", 0.2, worth],
        ["served at all", 0.2, 1.0 - failed / 40],
    ]
    told = sum(weight * value for _, weight, value in parts) - 0.08
    nodes = [{"role": "controller", "n": 3, **role}, {"role": "proxy", "n": 9, **role}]
    return {"G": round(told, 4), "classes": [read], "parts": parts, "prices": prices, "nodes": nodes}


def test_each_late_call_is_told_by_what_took_its_time_and_all_rows_make_the_whole() -> None:
    bytes_sent = f"{PROXY} D512 bytes sent to other zones calls=300 answers=600 updates=100"
    trace = read_trace([f"{CORE} I301 change decided items=5", *calls(36), *LATE, bytes_sent])
    told = loss_report(report(late=4, failed=1, worth=0.9), trace)
    late = 0.8 * 0.1 * 0.75 / 4  # of four late calls each; the call that failed has a quarter
    causes = {name.removeprefix("read: "): loss for name, loss in told["calls"].items()}
    assert causes == {
        "queue": pytest.approx(late),
        "second try": pytest.approx(late),
        "run, slow upstream": pytest.approx(late),
        "run, long": pytest.approx(late),
        "failed": pytest.approx(0.8 * 0.1 * 0.25 + 0.2 / 40),
    }
    assert told["prices"] == {
        "machine-seconds: controller": 0.015,
        "machine-seconds: proxy": 0.045,
        "GB between zones: calls": 0.006,
        "GB between zones: answers": 0.012,
        "GB between zones: updates": 0.002,
    }
    assert sum(told["calls"].values()) + sum(told["prices"].values()) + told["rounding"] == pytest.approx(
        1.0 - told["worth"], abs=2e-4
    )
    assert told["classes"]["read"]["late_traced"] == 4
    assert any(line.startswith("| read: queue | ") for line in markdown_lines(told))


def test_an_answer_that_waits_for_those_before_it_is_late_by_its_turn() -> None:
    turn = f"{PROXY} D513 answer waited for those before it attempt=r-1.1 waited_ms=600"
    trace = read_trace([*calls(40), turn])
    told = loss_report(report(late=1, failed=0, worth=0.98), trace)
    assert told["calls"] == {"read: turn": pytest.approx(0.016)}
    (call,) = [one for one in trace.calls if one.attempt == "r-1.1"]
    assert trace.time_parts(call, 0.0).turn == 600.0 and trace.answered_ms(call) == 700.0


def test_what_no_proxy_saw_is_told_as_such() -> None:
    told = loss_report(report(late=4, failed=0, worth=0.93), Trace())
    assert list(told["calls"]) == ["read: not traced"]
    assert told["prices"]["GB between zones: not traced"] == 0.02
    assert abs(told["rounding"]) <= 1e-4


def test_the_parts_of_a_call_are_all_of_its_time() -> None:
    trace = read_trace(LATE)
    (call,) = [one for one in trace.calls if one.attempt == "t"]
    assert call.tries == (Try("i-1", 0.0, 650.0, "unclear: cut"), Try("i-2", 660.0, 140.0, "200"))
    assert trace.time_parts(call, 5.0) == TimeParts(second_try=660.0, link=10.0, run=130.0, client=5.0)


def test_second_tries_are_held_against_chance() -> None:
    lines = [first(f"f{at}", 50.0, '"i-1/0/20/500|i-2/20/30/500"', end="500") for at in range(5)]
    lines += [first("g", 50.0, '"i-1/0/20/500|i-2/20/30/200"'), *calls(88)]
    found = second_tries(read_trace(lines).calls)
    assert (found.tries, found.failed, found.first_failed, found.both_failed) == (100, 11, 6, 5)
    assert found.by_chance == pytest.approx(0.66)


def test_upstreams_are_compared_by_runs_of_the_same_route() -> None:
    (loads,) = upstream_loads(read_trace([*calls(30, "r-1"), *calls(30, "r-2")])).values()
    assert [(one.instance, one.runs, one.share) for one in loads] == [("i-1", 40, 4 / 3), ("i-2", 20, 2 / 3)]
    assert loads[0].speed == pytest.approx(2.0 * loads[1].speed)


@pytest.mark.parametrize(
    "line", ["D510 call over attempt=a route=r", "D511 call over attempt=a", "D512 bytes calls=1"]
)
def test_a_line_that_is_cut_off_is_told(line: str) -> None:
    with pytest.raises(KeyError):
        read_trace([line])


def test_what_a_proxy_writes_is_read_back_without_a_limit_a_second() -> None:
    stream = io.StringIO()
    log = EventLog("side-a-1", stream, Level.DEBUG)
    assert not EventLog("side-a-1", stream).writes(events.CALL_AT_FIRST_HOP)
    trace = CallTrace(SimpleNamespace(event_log=log))  # type: ignore[arg-type]
    ask: Any = SimpleNamespace(
        attempt="a",
        service="s",
        received_ms=100.0,
        sent_ms=[101.0, 180.0],
        route=SimpleNamespace(name="r-1", aim_ms=500.0),
        tries=[("i-1", "turned away: full", 79.0), ("i-2", "out", 0.0)],
    )
    for _ in range(2 * MAX_LINES_PER_SECOND):
        trace.first_hop(300.0, ask, 200)
    call: Any = SimpleNamespace(attempt="a", instance="i-2", caller="s")
    elsewhere: Any = SimpleNamespace(attempt="a", instance="i-1", caller="s")
    trace.second_hop(290.0, call, 181.0, 190.0, UpstreamResponse(200, [], b"", True))
    trace.second_hop(190.0, elsewhere, 150.0, 0.0, NotExecuted(RejectReason.FULL))
    read = read_trace(stream.getvalue().splitlines())
    assert len(read.calls) == 2 * MAX_LINES_PER_SECOND and read.calls[0].took_ms == 200.0
    assert read.calls[0].tries[1] == Try("i-2", 80.0, 120.0, "out")
    assert read.second_hops == {("a", "i-2"): SecondHop(9.0, 100.0), ("a", "i-1"): SecondHop(40.0, 0.0)}
