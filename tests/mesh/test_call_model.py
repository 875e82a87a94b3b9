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
from rigs.call_hosts import UNCLEAR, World
from rigs.call_model import SIZES, Calls
from simulation.mesh.seeds import Patch
from statecheck import explore

ASK, TAKE = Session.ask, Session.accept


@pytest.mark.parametrize("size", ["one id twice", "an answer too large to hold"])
def test_every_order_of_events_is_sound(size: str) -> None:
    report = explore(Calls(size, SIZES[size]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states > 1000


# Seeded faults, each with the model size in which it shows and the properties that it may break


def takes_whatever_comes(patch: Patch) -> None:
    patch.setattr(Session, "accept", lambda self, number: True)


def takes_a_second_copy(patch: Patch) -> None:
    patch.setattr(Session, "accept", lambda self, number: number == self.highest or TAKE(self, number))


def does_not_bar(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        before = self.highest
        told = ASK(self, number, attempt)
        self.highest = before
        return told

    patch.setattr(Session, "ask", ask)


def bars_and_lets_it_wait(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        verdict, kept = ASK(self, number, attempt)
        if verdict is Verdict.NO and kept is not None:
            self.calls[number] = kept
            return verdict, None
        return verdict, kept

    patch.setattr(Session, "ask", ask)


def takes_forgotten_for_never_come(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        self.forgotten = 0
        return ASK(self, number, attempt)

    patch.setattr(Session, "ask", ask)


def takes_not_held_for_not_run(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        verdict, kept = ASK(self, number, attempt)
        return (Verdict.NO if kept is not None and kept.done and kept.end is None else verdict), kept

    patch.setattr(Session, "ask", ask)


def takes_passed_on_for_waiting(patch: Patch) -> None:
    def ask(self: Session[Any], number: int, attempt: str) -> Any:
        verdict, kept = ASK(self, number, attempt)
        return (Verdict.NO, None) if verdict is Verdict.PASSED else (verdict, kept)

    patch.setattr(Session, "ask", ask)


def leaves_what_waits_on_a_lost_link(patch: Patch) -> None:
    def on_link_lost(self: Session[Any], number: int) -> SessionCall[Any] | None:
        return None

    patch.setattr(Session, "on_link_lost", on_link_lost)


def takes_unclear_for_never_sent(patch: Patch) -> None:
    real = call_hosts.outcome_of
    patch.setattr(call_hosts, "outcome_of", lambda end: Outcome.MOOT if end is UNCLEAR else real(end))


def promises_what_is_out(patch: Patch) -> None:
    patch.setattr(ClientRequest, "may_have_run", lambda self: self.unclear)


def sends_again_what_may_have_run(patch: Patch) -> None:
    patch.setattr(
        requests, "may_send", lambda settings, now, held, server: held.open and len(held.attempts) < 2
    )


def any_answer_will_do(patch: Patch) -> None:
    patch.setattr(table, "answers_call", lambda wanted, told: True)


def uses_a_connection_for_an_id_again(patch: Patch) -> None:
    patch.setattr(World, "may_use", lambda self, there, attempt: True)


def a_session_for_all_lives(patch: Patch) -> None:
    patch.setattr(World, "key", lambda self, link: (link.first, 1))


def asks_another_life(patch: Patch) -> None:
    patch.setattr(World, "same", lambda self, life, told: True)


def a_lost_link_has_sent_nothing(patch: Patch) -> None:
    real = World.lose

    def lose(self: World, link: Any) -> None:
        out = [(call, at) for call in range(len(self.calls)) for at in self.open_tries(call)]
        real(self, link)
        for call, at in out:
            if self.calls[call].tries[at].state is State.UNCLEAR:
                self.attempt(call, at, state=State.ENDED, outcome=Outcome.CONNECT_FAILED)

    patch.setattr(World, "lose", lose)


def an_end_ends_twice(patch: Patch) -> None:
    """A call at the upstream is dispatched once more when it is queried."""
    changed = {**table.SECOND_HOP_TABLE, (State.PASSED_ON, Event.PLACE): State.PASSED_ON}
    patch.setattr(table, "SECOND_HOP_TABLE", changed)
    real = World.asked

    def asked(self: World, link: Any, book: Any, session: Any, number: int, attempt: str) -> None:
        real(self, link, book, session, number, attempt)
        at = self.run_at(link.second, session.incarnation, number)
        if at >= 0:
            self.place(link.second, at)

    patch.setattr(World, "asked", asked)


SEEDED: list[tuple[Callable[[Patch], None], str, set[str]]] = [
    (takes_whatever_comes, "many losses", {"twice", "promise", "nobody's"}),
    (takes_a_second_copy, "many losses", {"twice", "promise", "nobody's"}),
    (does_not_bar, "two second hops", {"twice", "promise"}),
    (bars_and_lets_it_wait, "two second hops", {"twice", "promise", "nobody's"}),
    (takes_forgotten_for_never_come, "held no more", {"promise"}),
    (takes_not_held_for_not_run, "an answer too large to hold", {"promise"}),
    (takes_passed_on_for_waiting, "many losses", {"twice", "promise"}),
    (leaves_what_waits_on_a_lost_link, "many losses", {"nobody's"}),
    (takes_unclear_for_never_sent, "many losses", {"twice", "promise"}),
    (promises_what_is_out, "one of each", {"promise"}),
    (sends_again_what_may_have_run, "many losses", {"twice"}),
    (any_answer_will_do, "two ids, answers twice", {"another's"}),
    (uses_a_connection_for_an_id_again, "one id twice", {"another's"}),
    (a_session_for_all_lives, "first hops crash", {"another's", "promise", "twice"}),
    (asks_another_life, "second hops crash", {"twice", "promise"}),
    (a_lost_link_has_sent_nothing, "many losses", {"twice", "promise"}),
    (an_end_ends_twice, "many losses", {"twice"}),
]


@pytest.mark.parametrize(("seed", "size", "broken"), SEEDED, ids=[seed.__name__ for seed, _, _ in SEEDED])
def test_a_seeded_fault_is_found(
    seed: Callable[[Patch], None], size: str, broken: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    seed(monkeypatch)
    report = explore(Calls(size, SIZES[size]), seconds=40.0, memory_mb=500.0)
    assert report.violation is not None and report.violation.name in broken, (report.violation, report.trace)
