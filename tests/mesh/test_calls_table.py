"""The state table of a call: the design page has the same rows, its handlers exist, and it is sound."""

from __future__ import annotations

from pathlib import Path

import pytest
from test_map import names

from hareloom.interface import NEVER_RAN
from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import Call, NotExecuted, Unclear, UpstreamResponse
from mesh.data_plane.call_state import (
    EDGES,
    FIRST_HOP_TABLE,
    NOT_EXECUTED,
    PENDING,
    RESPONSE,
    SECOND_HOP_TABLE,
    Event,
    ExecutionStatus,
    Hop,
    State,
    answers_call,
    event_of,
    outcome_of,
    query_window_ms,
)

ROOT = Path(__file__).parents[2]
OVER = {State.ENDED, State.WITHDRAWN, State.ANSWERED, State.CLOSED, State.IDLE}


def words(name: str) -> str:
    return name.lower().replace("_", " ")


def test_the_page_has_the_rows_of_the_code() -> None:
    told = (ROOT / "docs/design/calls.md").read_text().partition("## The table")[2].partition("\n## ")[0]
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")] for line in told.splitlines() if line[:1] == "|"
    ]
    assert rows[2:] == [
        [
            *(edge.hop.value, words(edge.state.name), words(edge.event.name), words(edge.next_state.name)),
            *(edge.execution.value, edge.client_result, f"`{edge.handler}`"),
        ]
        for edge in EDGES
    ]


def test_each_edge_has_a_keeper_that_is_there() -> None:
    for edge in EDGES:
        path, _, name = edge.handler.partition(":")
        assert name in names(ROOT / "mesh" / path), edge.handler


def test_no_event_has_two_edges_in_one_state() -> None:
    keys = [(edge.hop, edge.state, edge.event) for edge in EDGES]
    assert len(keys) == len(set(keys))


def test_a_promise_is_made_only_where_it_never_runs_and_an_answer_only_where_it_has() -> None:
    for edge in EDGES:
        if edge.client_result == NOT_EXECUTED:
            assert edge.execution is ExecutionStatus.NEVER, edge
        if edge.client_result == RESPONSE:
            assert edge.execution is ExecutionStatus.RAN, edge
        if edge.execution is ExecutionStatus.NEVER:
            assert edge.next_state in (State.ENDED, State.WITHDRAWN), edge
        if edge.client_result == PENDING:
            assert edge.next_state not in OVER, edge


def test_what_may_have_run_is_never_again_what_has_not() -> None:
    """Except by an explicit guarantee of the second hop or of the upstream."""
    for edge in EDGES:
        if (
            edge.hop is Hop.FIRST
            and edge.state in (State.SENT, State.UNCLEAR)
            and edge.execution is ExecutionStatus.NEVER
        ):
            assert edge.event is Event.TURNED_AWAY, edge
        if (
            edge.hop is Hop.SECOND
            and edge.state is State.PASSED_ON
            and edge.execution is ExecutionStatus.NEVER
        ):
            assert edge.event is Event.TURNED_AWAY, edge


@pytest.mark.parametrize("table", [FIRST_HOP_TABLE, SECOND_HOP_TABLE], ids=["first", "second"])
def test_what_is_over_stays_over(table: dict[tuple[State, Event], State]) -> None:
    for (state, _), to in table.items():
        if state in OVER:
            assert to is state


def test_every_state_that_is_not_over_can_end() -> None:
    for table, begins in ((FIRST_HOP_TABLE, State.CHOSEN), (SECOND_HOP_TABLE, State.READ)):
        seen, found = {begins}, [begins]
        while found:
            state = found.pop()
            following = {to for (one, _), to in table.items() if one is state}
            assert following or state in OVER, state
            found += following - seen
            seen |= following
        assert seen & OVER


@pytest.mark.parametrize(
    ("end", "event", "runs"),
    [
        (UpstreamResponse(200, [], b"", True), Event.ANSWER, True),
        (UpstreamResponse(503, [], b"", True), Event.ANSWER, True),
        (UpstreamResponse(504, [], b"", True), Event.ANSWER, True),
        (NotExecuted(RejectReason.LOST), Event.TURNED_AWAY, False),
        (NotExecuted(RejectReason.FULL, reached_upstream=True), Event.TURNED_AWAY, False),
        (NotExecuted(RejectReason.DOWN), Event.TURNED_AWAY, False),
        (Unclear("x"), Event.NO_ANSWER, True),
    ],
)
def test_what_the_decisions_are_told_of_an_end(
    end: UpstreamResponse | NotExecuted | Unclear, event: Event, runs: bool
) -> None:
    assert event_of(end) is event and (outcome_of(end) not in NEVER_RAN) is runs


def test_an_answer_is_whose_id_it_has() -> None:
    assert (
        answers_call(b"a", b"a")
        and answers_call(b"a", None)
        and not answers_call(b"a", b"b")
        and not answers_call(b"a", b"")
    )


@pytest.mark.parametrize(
    ("since_ms", "effectful", "waits_ms"),
    [(0.0, True, 300.0), (250.0, True, 100.0), (500.0, True, 100.0), (850.0, True, 50.0), (0.0, False, 0.0)],
)
def test_how_long_a_lost_call_is_asked_for(since_ms: float, effectful: bool, waits_ms: float) -> None:
    call = Call("a", b"GET", b"/", [], b"", "i", "s", remaining_ms=900.0, age_ms=100.0, aim_ms=400.0)
    call.effectful = effectful
    assert query_window_ms(call, since_ms) == waits_ms
