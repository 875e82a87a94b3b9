"""The grants of a proxy to the upstream beside it, and the releases that it reports."""

from __future__ import annotations

from mesh.ownership.key_map import KEYS, KeyMap, Row
from mesh.ownership.lease_terms import MIN_HOLD_S, lease_terms_for
from mesh.ownership.server_holds import (
    MAX_GRANT_ROWS,
    Grant,
    HeartbeatKeys,
    HeldRow,
    ReleasedRow,
    ServerHolds,
)

TERMS = lease_terms_for(10_000.0)
HALF = KEYS // 2
HELD = (Row(0, HALF - 1, "i-1", 7), Row(HALF, KEYS - 1, "i-2", 8))
LEAVING = (Row(0, HALF - 1, "i-1", 7, "i-2"), HELD[1])


def beat(count: int, held: bool = True, released: bool = False, instance: str = "i-1") -> HeartbeatKeys:
    holds = [HeldRow(0, HALF - 1, 7)] if held else []
    return HeartbeatKeys(instance, count, holds, [ReleasedRow(0, HALF - 1, "handed")] if released else [])


def confirmed(asked_at: float = 0.0, version: int = 3) -> tuple[ServerHolds, KeyMap]:
    """A proxy whose map was confirmed just now."""
    holds, key_map = ServerHolds(TERMS, -100.0), KeyMap(version, 8, HELD)
    holds.confirm_version(asked_at, 3, key_map)
    return holds, key_map


def test_a_hold_is_counted_from_the_question_and_shorter_than_the_lease() -> None:
    holds, key_map = confirmed()
    grant = holds.answer_heartbeat(1.0, beat(1), key_map)
    assert grant is not None and grant.rows == [HELD[0]]
    assert grant.hold_ms / 1000.0 / 0.98 < TERMS.lease_s - 1.0
    assert grant.answer_fields()["holds"] == [[0, HALF - 1, 7, ""]]
    late = TERMS.lease_s - MIN_HOLD_S / 2
    assert holds.answer_heartbeat(late, beat(2), key_map) is None


def test_without_a_map_that_is_known_to_hold_nothing_is_renewed() -> None:
    holds, key_map = ServerHolds(TERMS, 0.0), KeyMap(2, 8, HELD)
    assert holds.answer_heartbeat(0.1, beat(1), key_map) is None
    holds.confirm_version(0.0, 3, key_map)  # a newer version than the one here
    assert holds.answer_heartbeat(0.2, beat(2), key_map) is None
    newer = KeyMap(3, 8, HELD)
    holds.map_changed(newer)
    assert isinstance(holds.answer_heartbeat(0.3, beat(3), newer), Grant)


def test_a_late_beat_and_one_of_a_life_that_is_over_renew_nothing() -> None:
    holds, key_map = confirmed()
    assert holds.answer_heartbeat(0.1, beat(5), key_map) is not None
    assert holds.answer_heartbeat(0.2, beat(4), key_map) is None
    assert holds.answer_heartbeat(0.3, beat(1, instance="i-9"), key_map) is not None
    assert holds.answer_heartbeat(1.8, beat(2, instance="i-9"), key_map) is not None
    assert holds.answer_heartbeat(1.9, beat(6), key_map) is None


def test_a_late_beat_of_the_dead_does_not_end_the_living() -> None:
    """It is read after the first beat of the next instance, for example after a wait for keys."""
    holds, key_map = confirmed()
    holds.answer_heartbeat(0.1, beat(1), key_map)
    holds.answer_heartbeat(0.2, beat(1, instance="i-9"), key_map)
    for count in (2, 3, 4):  # late beats, read together as after a freeze
        holds.answer_heartbeat(0.3, beat(count), key_map)
    leaving = KeyMap(4, 8, LEAVING)
    holds.map_changed(leaving)
    assert holds.answer_heartbeat(1.5, beat(2, instance="i-9"), leaving) is not None
    assert not holds.releases(1.5, leaving)
    assert holds.answer_heartbeat(3.0, beat(3, instance="i-9"), leaving) is not None
    assert [release.instance for release in holds.releases(3.0, leaving)] == ["i-1"]


def test_the_word_comes_with_a_beat_behind_the_answer_that_left_the_row_out() -> None:
    holds, key_map = confirmed()
    assert holds.answer_heartbeat(0.05, beat(0), key_map) is not None
    leaving = KeyMap(4, 8, LEAVING)
    holds.map_changed(leaving)
    first = holds.answer_heartbeat(0.1, beat(1), leaving)
    assert first is not None and first.rows == [] and not holds.releases(0.1, leaving)
    holds.answer_heartbeat(0.2, beat(2), leaving)  # it still holds the row
    assert not holds.releases(0.2, leaving)
    holds.answer_heartbeat(0.3, beat(3, held=False, released=True), leaving)
    (release,) = holds.releases(0.3, leaving)
    assert release.covers(LEAVING[0]) and release.handover == "handed"
    transferred = KeyMap(5, 9, (Row(0, HALF - 1, "i-2", 9), HELD[1]))
    holds.map_changed(transferred)
    assert not holds.releases(0.4, transferred)


def test_of_a_silent_one_the_word_comes_once_its_last_hold_has_ended() -> None:
    holds, key_map = confirmed()
    assert holds.answer_heartbeat(0.5, beat(1), key_map) is not None
    leaving = KeyMap(4, 8, LEAVING)
    holds.map_changed(leaving)
    assert holds.silent_upstream(3.0, 1.5) == "" and holds.silent_upstream(4.0, 1.5) == "i-1"
    assert not holds.releases(4.0, leaving)
    assert [release.instance for release in holds.releases(TERMS.lease_s, leaving)] == ["i-1"]


def test_lives_from_before_this_proxy_are_over_once_another_one_beats_on() -> None:
    holds, leaving = ServerHolds(TERMS, 0.0), KeyMap(4, 8, LEAVING)
    holds.note_earlier_instance("i-1")
    holds.answer_heartbeat(0.1, beat(1, instance="i-9"), leaving)
    holds.answer_heartbeat(0.2, beat(2, instance="i-9"), leaving)  # too soon to decide
    assert not holds.releases(0.2, leaving)
    holds.answer_heartbeat(1.6, beat(3, instance="i-9"), leaving)
    assert [release.instance for release in holds.releases(1.6, leaving)] == ["i-1"]


def test_a_call_passes_only_on_keys_that_the_upstream_is_known_to_hold() -> None:
    holds, key_map = confirmed()
    assert holds.may_hold(key_map, KEYS - 1)  # before the first beat the upstream decides
    holds.answer_heartbeat(0.1, beat(1), key_map)
    assert holds.may_hold(key_map, 0) and not holds.may_hold(key_map, KEYS - 1)
    leaving = KeyMap(4, 8, LEAVING)
    assert holds.may_hold(leaving, 0)
    holds.answer_heartbeat(0.2, beat(2), leaving)
    assert not holds.may_hold(leaving, 0)


def test_an_answer_stays_below_what_a_beat_may_be_answered_with() -> None:
    width = KEYS // 128
    rows = [Row(at * width, (at + 1) * width - 1, "i-1", 10**9 + at, handover="f" * 16) for at in range(128)]
    holds, key_map = ServerHolds(TERMS, 0.0), KeyMap(3, 10**9 + 200, rows)
    holds.confirm_version(0.0, 3, key_map)
    grant = holds.answer_heartbeat(0.1, beat(1), key_map)
    assert grant is not None and len(grant.rows) == MAX_GRANT_ROWS
    assert len(str(grant.answer_fields())) < 4096
