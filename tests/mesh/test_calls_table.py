"""The table of a call's life: the page has it as the code has it, its keepers are there, and it is sound."""

from __future__ import annotations

from pathlib import Path

import pytest
from test_map import names

from hareloom.interface import NEVER_RAN
from mesh.admission.final_check import Why
from mesh.data_plane.call_messages import Call, Returned, TurnedAway, Unclear
from mesh.data_plane.call_state import (
    EDGES,
    FIRST,
    OPEN,
    OWN,
    PROMISE,
    SECOND,
    Certain,
    Event,
    Hop,
    State,
    asked_for_ms,
    event_of,
    outcome_of,
    own,
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
            *(edge.hop.value, words(edge.state.name), words(edge.event.name), words(edge.to.name)),
            *(edge.certain.value, edge.told, f"`{edge.keeper}`"),
        ]
        for edge in EDGES
    ]


def test_each_edge_has_a_keeper_that_is_there() -> None:
    for edge in EDGES:
        path, _, name = edge.keeper.partition(":")
        assert name in names(ROOT / "mesh" / path), edge.keeper


def test_no_event_has_two_edges_in_one_state() -> None:
    keys = [(edge.hop, edge.state, edge.event) for edge in EDGES]
    assert len(keys) == len(set(keys))


def test_a_promise_is_made_only_where_it_never_runs_and_an_answer_only_where_it_has() -> None:
    for edge in EDGES:
        if edge.told == PROMISE:
            assert edge.certain is Certain.NEVER, edge
        if edge.told == OWN:
            assert edge.certain is Certain.RAN, edge
        if edge.certain is Certain.NEVER:
            assert edge.to in (State.ENDED, State.WITHDRAWN), edge
        if edge.told == OPEN:
            assert edge.to not in OVER, edge


def test_what_may_have_run_is_never_again_what_has_not() -> None:
    """Other than by the second hop's or the upstream's own word that it has not and never will."""
    for edge in EDGES:
        if (
            edge.hop is Hop.FIRST
            and edge.state in (State.SENT, State.UNCLEAR)
            and edge.certain is Certain.NEVER
        ):
            assert edge.event is Event.TURNED_AWAY, edge
        if edge.hop is Hop.SECOND and edge.state is State.PASSED_ON and edge.certain is Certain.NEVER:
            assert edge.event is Event.TURNED_AWAY, edge


@pytest.mark.parametrize("table", [FIRST, SECOND], ids=["first", "second"])
def test_what_is_over_stays_over(table: dict[tuple[State, Event], State]) -> None:
    for (state, _), to in table.items():
        if state in OVER:
            assert to is state


def test_every_state_that_is_not_over_can_end() -> None:
    for table, begins in ((FIRST, State.CHOSEN), (SECOND, State.READ)):
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
        (Returned(200, [], b"", True), Event.ANSWER, True),
        (Returned(503, [], b"", True), Event.ANSWER, True),
        (Returned(504, [], b"", True), Event.ANSWER, True),
        (TurnedAway(Why.LOST), Event.TURNED_AWAY, False),
        (TurnedAway(Why.FULL, arrived=True), Event.TURNED_AWAY, False),
        (TurnedAway(Why.DOWN), Event.TURNED_AWAY, False),
        (Unclear("x"), Event.NO_ANSWER, True),
    ],
)
def test_what_the_decisions_are_told_of_an_end(
    end: Returned | TurnedAway | Unclear, event: Event, runs: bool
) -> None:
    assert event_of(end) is event and (outcome_of(end) not in NEVER_RAN) is runs


def test_an_answer_is_whose_id_it_has() -> None:
    assert own(b"a", b"a") and own(b"a", None) and not own(b"a", b"b") and not own(b"a", b"")


@pytest.mark.parametrize(
    ("since_ms", "effectful", "waits_ms"),
    [(0.0, True, 300.0), (250.0, True, 100.0), (500.0, True, 100.0), (850.0, True, 50.0), (0.0, False, 0.0)],
)
def test_how_long_a_lost_call_is_asked_for(since_ms: float, effectful: bool, waits_ms: float) -> None:
    call = Call("a", b"GET", b"/", [], b"", "i", "s", left_ms=900.0, age_ms=100.0, aim_ms=400.0)
    call.effectful = effectful
    assert asked_for_ms(call, since_ms) == waits_ms
