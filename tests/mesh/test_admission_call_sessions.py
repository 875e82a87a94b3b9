"""Sessions: the state of calls that a second hop retains beyond the loss of a link, and its bounds."""

from __future__ import annotations

import pytest

from mesh.admission import call_sessions as module
from mesh.admission.call_sessions import (
    END_RETENTION_S,
    SESSION_RETENTION_S,
    CallSessions,
    Session,
    SessionCall,
    Verdict,
)


def opened(max_bytes: int = 100) -> tuple[CallSessions[str], Session[str]]:
    sessions: CallSessions[str] = CallSessions(max_bytes)
    session = sessions.open("f1")
    assert session is not None
    return sessions, session


def begun(session: Session[str], number: int, waiting: bool = False) -> SessionCall[str]:
    assert session.accept(number)
    call: SessionCall[str] = SessionCall(f"a{number}", run=object(), waiting=waiting)
    session.calls[number] = call
    return call


def test_a_number_is_taken_once_and_none_below_it() -> None:
    _, session = opened()
    assert session.accept(5) and not session.accept(5) and not session.accept(3) and session.accept(6)


@pytest.mark.parametrize("first", ["the query", "the call"])
def test_the_question_and_the_call_may_cross(first: str) -> None:
    _, session = opened()
    if first == "the query":
        assert session.ask(7, "a7") == (Verdict.NO, None)
        assert not session.accept(7)
    else:
        call = begun(session, 7)
        assert session.ask(7, "a7") == (Verdict.PASSED, call)


def test_what_waits_is_barred_and_what_has_run_is_told() -> None:
    sessions, session = opened()
    waiting, running = begun(session, 1, waiting=True), begun(session, 2)
    assert session.ask(1, "a1") == (Verdict.NO, waiting)
    assert session.ask(1, "a1") == (Verdict.NO, None)
    sessions.record_end(session, 2, "served", 6, 0.0)
    assert session.ask(2, "a2") == (Verdict.DONE, running) and running.end == "served"
    assert session.ask(2, "another") == (Verdict.UNKNOWN, None)


def test_a_lost_link_withdraws_what_waits_alone() -> None:
    sessions, session = opened()
    waiting, _ = begun(session, 1, waiting=True), begun(session, 2)
    begun(session, 3)
    sessions.record_end(session, 3, "served", 6, 0.0)
    assert session.on_link_lost(1) is waiting
    assert (
        session.on_link_lost(2) is None
        and session.on_link_lost(3) is None
        and session.on_link_lost(4) is None
    )
    assert session.ask(1, "a1")[0] is Verdict.NO
    assert session.ask(2, "a2")[0] is Verdict.PASSED and session.ask(3, "a3")[0] is Verdict.DONE


def test_what_is_forgotten_is_not_taken_for_what_never_came() -> None:
    sessions, session = opened()
    begun(session, 4)
    sessions.record_end(session, 4, "served", 6, 0.0)
    sessions.sweep(END_RETENTION_S)
    assert session.ask(4, "a4")[0] is Verdict.DONE
    sessions.sweep(END_RETENTION_S + 0.1)
    assert session.ask(4, "a4")[0] is Verdict.UNKNOWN and session.ask(2, "a2")[0] is Verdict.UNKNOWN
    assert session.ask(5, "a5")[0] is Verdict.NO
    assert (sessions.held_bytes, len(sessions)) == (0, 0)


def test_an_end_beyond_the_bytes_is_not_held_and_still_known_to_be() -> None:
    sessions, session = opened(max_bytes=10)
    for number, size in ((1, 8), (2, 3), (3, 2)):
        begun(session, number)
        sessions.record_end(session, number, "served", size, float(number))
    assert sessions.held_bytes == 10
    assert [session.ask(number, f"a{number}")[0] for number in (1, 2, 3)] == [
        Verdict.DONE,
        Verdict.UNKNOWN,
        Verdict.DONE,
    ]


def test_ends_are_bounded_in_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_HELD_ENDS", 2)
    sessions, session = opened()
    for number in (1, 2, 3):
        begun(session, number)
        sessions.record_end(session, number, "served", 1, 0.0)
    assert len(sessions) == 2 and session.ask(1, "a1")[0] is Verdict.UNKNOWN
    assert session.ask(2, "a2")[0] is Verdict.DONE


def test_sessions_are_bounded_and_end_long_after_their_last_link(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_SESSIONS", 2)
    sessions, session = opened()
    assert sessions.open("f1") is session
    assert sessions.open("f2") is not None and sessions.open("f3") is None
    sessions.close(session, 10.0)
    sessions.sweep(10.0 + 2 * SESSION_RETENTION_S)  # it still has a link
    sessions.close(session, 20.0 + SESSION_RETENTION_S)
    sessions.sweep(20.0 + 2 * SESSION_RETENTION_S)
    assert sessions.open("f3") is None
    sessions.sweep(60.0 + 2 * SESSION_RETENTION_S)
    assert "f1" not in sessions.by_incarnation and sessions.open("f3") is not None


def test_a_session_with_a_call_in_hand_stays() -> None:
    sessions, session = opened()
    begun(session, 1)
    sessions.close(session, 0.0)
    sessions.sweep(2 * SESSION_RETENTION_S)
    assert sessions.by_incarnation["f1"] is session and session.ask(1, "a1")[0] is Verdict.PASSED
