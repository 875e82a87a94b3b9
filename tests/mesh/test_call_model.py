"""Exhaustive exploration of small call models: no order of events breaks a property, and seeded faults are
found."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from hareloom import requests
from hareloom.interface import Outcome
from mesh.admission.call_sessions import Session, SessionCall, Verdict
from mesh.data_plane import call_state as table
from mesh.data_plane.call_state import ClientRequest, Event, State
from rigs import call_hosts
from rigs.call_hosts import UNCLEAR, CallState
from rigs.call_model import SCENARIOS, CallModel
from simulation.mesh.seeds import Patch
from statecheck import explore

ASK, ACCEPT = Session.ask, Session.accept


@pytest.mark.parametrize("scenario", ["one id twice", "an answer too large to hold"])
def test_every_order_of_events_is_sound(scenario: str) -> None:
    report = explore(CallModel(scenario, SCENARIOS[scenario]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states > 1000


# Seeded faults, each with the scenario in which it shows and the properties that it may break


def accepts_any_number(patch: Patch) -> None:
    patch.setattr(Session, "accept", lambda self, number: True)


def accepts_a_duplicate(patch: Patch) -> None:
    patch.setattr(Session, "accept", lambda self, number: number == self.highest or ACCEPT(self, number))


def query_does_not_bar_later_calls(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        before = self.highest
        result = ASK(self, number, attempt)
        self.highest = before
        return result

    patch.setattr(Session, "ask", ask)


def barred_call_stays_queued(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        verdict, kept = ASK(self, number, attempt)
        if verdict is Verdict.NO and kept is not None:
            self.calls[number] = kept
            return verdict, None
        return verdict, kept

    patch.setattr(Session, "ask", ask)


def treats_forgotten_as_never_received(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        self.forgotten = 0
        return ASK(self, number, attempt)

    patch.setattr(Session, "ask", ask)


def treats_ends_not_held_as_not_executed(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        verdict, kept = ASK(self, number, attempt)
        return (Verdict.NO if kept is not None and kept.done and kept.end is None else verdict), kept

    patch.setattr(Session, "ask", ask)


def treats_dispatched_as_queued(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        verdict, kept = ASK(self, number, attempt)
        return (Verdict.NO, None) if verdict is Verdict.PASSED else (verdict, kept)

    patch.setattr(Session, "ask", ask)


def keeps_queued_calls_of_a_lost_link(patch: Patch) -> None:
    def on_link_lost(self: Session[Any], number: int) -> SessionCall[Any] | None:
        return None

    patch.setattr(Session, "on_link_lost", on_link_lost)


def treats_unclear_as_never_sent(patch: Patch) -> None:
    real = call_hosts.outcome_of
    patch.setattr(call_hosts, "outcome_of", lambda end: Outcome.MOOT if end is UNCLEAR else real(end))


def promises_for_open_attempts(patch: Patch) -> None:
    patch.setattr(ClientRequest, "may_have_run", lambda self: self.unclear)


def retries_what_may_have_run(patch: Patch) -> None:
    patch.setattr(
        requests,
        "may_send",
        lambda settings, now, request, server: request.open and len(request.attempts) < 2,
    )


def accepts_answers_to_other_calls(patch: Patch) -> None:
    patch.setattr(table, "answers_call", lambda wanted, answer: True)


def reuses_a_connection_for_the_same_id(patch: Patch) -> None:
    patch.setattr(CallState, "may_reuse_idle", lambda self, hop, attempt: True)


def one_session_for_all_incarnations(patch: Patch) -> None:
    patch.setattr(CallState, "session_key", lambda self, link: (link.first, 1))


def queries_another_incarnation(patch: Patch) -> None:
    patch.setattr(CallState, "same_incarnation", lambda self, incarnation, current: True)


def treats_calls_of_a_lost_link_as_never_sent(patch: Patch) -> None:
    real = CallState.lose_at_first

    def lose_at_first(self: CallState, link: Any) -> None:
        open_before = [(call, index) for call in range(len(self.calls)) for index in self.open_attempts(call)]
        real(self, link)
        for call, index in open_before:
            if self.calls[call].attempts[index].state is State.UNCLEAR:
                self.update_attempt(call, index, state=State.ENDED, outcome=Outcome.CONNECT_FAILED)

    patch.setattr(CallState, "lose_at_first", lose_at_first)


def queries_dispatch_again(patch: Patch) -> None:
    """A call at the upstream is dispatched once more when it is queried."""
    changed = {**table.SECOND_HOP_TABLE, (State.PASSED_ON, Event.PLACE): State.PASSED_ON}
    patch.setattr(table, "SECOND_HOP_TABLE", changed)
    real = CallState.on_query

    def on_query(self: CallState, link: Any, sessions: Any, session: Any, number: int, attempt: str) -> None:
        real(self, link, sessions, session, number, attempt)
        index = self.run_index(link.second, session.incarnation, number)
        if index >= 0:
            self.dispatch(link.second, index)

    patch.setattr(CallState, "on_query", on_query)


SEEDED_FAULTS: list[tuple[Callable[[Patch], None], str, set[str]]] = [
    (accepts_any_number, "many losses", {"twice", "promise", "orphan"}),
    (accepts_a_duplicate, "many losses", {"twice", "promise", "orphan"}),
    (query_does_not_bar_later_calls, "two second hops", {"twice", "promise"}),
    (barred_call_stays_queued, "two second hops", {"twice", "promise", "orphan"}),
    (treats_forgotten_as_never_received, "held no more", {"promise"}),
    (treats_ends_not_held_as_not_executed, "an answer too large to hold", {"promise"}),
    (treats_dispatched_as_queued, "many losses", {"twice", "promise"}),
    (keeps_queued_calls_of_a_lost_link, "many losses", {"orphan"}),
    (treats_unclear_as_never_sent, "many losses", {"twice", "promise"}),
    (promises_for_open_attempts, "one of each", {"promise"}),
    (retries_what_may_have_run, "many losses", {"twice"}),
    (accepts_answers_to_other_calls, "two ids, answers twice", {"wrong answer"}),
    (reuses_a_connection_for_the_same_id, "one id twice", {"wrong answer"}),
    (one_session_for_all_incarnations, "first hops crash", {"wrong answer", "promise", "twice"}),
    (queries_another_incarnation, "second hops crash", {"twice", "promise"}),
    (treats_calls_of_a_lost_link_as_never_sent, "many losses", {"twice", "promise"}),
    (queries_dispatch_again, "many losses", {"twice"}),
]


@pytest.mark.parametrize(
    ("fault", "scenario", "properties"), SEEDED_FAULTS, ids=[fault.__name__ for fault, _, _ in SEEDED_FAULTS]
)
def test_a_seeded_fault_is_found(
    fault: Callable[[Patch], None], scenario: str, properties: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    report = explore(CallModel(scenario, SCENARIOS[scenario]), seconds=40.0, memory_mb=500.0)
    assert report.violation is not None and report.violation.name in properties, (
        report.violation,
        report.trace,
    )
