"""Faults that are seeded into the shipped code of keys, one clause of the argument for OWNER taken out in
turn (docs/design/ownership.md). Each must be seen by the ledger of `simulation.mesh.key_servers`.
"""

from __future__ import annotations

from typing import Any
from unittest import mock

from mesh.control_plane.key_assignment import KeyAssignment
from mesh.control_plane.quorum_reads import QuorumReads
from mesh.data_plane.key_holds import KeyHolds
from mesh.ownership.assignment import Release
from mesh.ownership.key_map import KeyMap, Row
from mesh.ownership.lease_terms import LeaseTerms
from mesh.ownership.server_holds import Grant, HeartbeatKeys, ServerHolds

Patch = Any


def nobody_waits() -> Patch:
    """Clause 4: a row is given on as soon as it is to leave."""
    return mock.patch.object(LeaseTerms, "wait_s", 0.0)


def holds_last_from_now() -> Patch:
    """Clause 2: a hold lasts a lease from the answer, however old the map is."""
    return mock.patch.object(LeaseTerms, "hold_s", lambda self, *_: self.lease_s)


def any_answer_is_current() -> Patch:
    """Clause 1: a question counts as answered when it is asked."""
    ask = KeyHolds._query

    def asks(self: KeyHolds, now: float, first_only: bool) -> None:
        ask(self, now, first_only)
        self.holds._confirmed_at = now

    return mock.patch.object(KeyHolds, "_query", asks)


def nothing_is_read() -> Patch:
    """Clause 1: a control process answers by what it holds."""

    async def read(*_: Any) -> bool:
        return True

    return mock.patch.object(QuorumReads, "wait_until_current", read)


def old_maps_are_current() -> Patch:
    """Clause 2: the version that was named need not be here."""
    current = ServerHolds.confirm_version

    def takes(self: ServerHolds, asked_at: float, _: int, key_map: KeyMap | None) -> None:
        current(self, asked_at, 0, key_map)

    return mock.patch.object(ServerHolds, "confirm_version", takes)


def what_leaves_is_granted() -> Patch:
    """Clause 3: an answer has rows that are to leave."""
    beat = ServerHolds.answer_heartbeat

    def answers(self: ServerHolds, now: float, told: HeartbeatKeys, key_map: KeyMap | None) -> Grant | None:
        grant = beat(self, now, told, key_map)
        if grant is None or key_map is None:
            return grant
        return Grant(key_map.rows_held_by(told.instance), grant.hold_ms)

    return mock.patch.object(ServerHolds, "answer_heartbeat", answers)


def word_without_an_omission() -> Patch:
    """Clause 5: the word is given with the first beat after a row is to leave."""
    hear = ServerHolds._detect_releases

    def hears(self: ServerHolds, beat: HeartbeatKeys, key_map: KeyMap) -> None:
        hear(self, beat, key_map)
        for row in key_map.rows_held_by(beat.instance):
            if row.leaving:
                self._add_release(row, "")

    return mock.patch.object(ServerHolds, "_detect_releases", hears)


def word_of_the_silent() -> Patch:
    """Clause 5: an upstream whose beats have ceased is taken to hold nothing."""
    words = ServerHolds.releases

    def gives(self: ServerHolds, now: float, key_map: KeyMap | None) -> list[Release]:
        if now - self._heartbeat_at > 2.0:
            self._granted_until = now - 1.0
        return words(self, now, key_map)

    return mock.patch.object(ServerHolds, "releases", gives)


def a_restart_forgets_grants() -> Patch:
    """Clause 5: a proxy that has just started takes it that nobody holds anything."""
    make = ServerHolds.__init__

    def made(self: ServerHolds, terms: LeaseTerms, began: float) -> None:
        make(self, terms, began)
        self._granted_until = began - 1.0

    return mock.patch.object(ServerHolds, "__init__", made)


def lives_of_others_are_over() -> Patch:
    """Clause 5: a proxy takes upstreams at other machines for earlier lives of its own."""
    tick = KeyHolds.tick

    def ticks(self: KeyHolds, now: float) -> None:
        for key_map in self._maps.by_service.values():
            for row in key_map.rows:
                self.holds.note_earlier_instance(row.holder)
        tick(self, now)

    return mock.patch.object(KeyHolds, "tick", ticks)


def a_new_proposer_does_not_count_anew() -> Patch:
    """Clause 4: who has just started takes it that a row has left for long."""

    def waited(self: KeyAssignment, now: float, service: str, row: Row) -> bool:
        since = self._leaving.get((service, row.holder, row.first, row.last, row.fence), -1e9)
        return now - min(since, self._awake_since - 2.0) > 2.0

    return mock.patch.object(KeyAssignment, "_waited", waited)


def a_lease_counts_from_its_answer() -> Patch:
    """Clause 2: the lease counts from when the answer came, not from the question."""
    current = ServerHolds.confirm_version

    def takes(self: ServerHolds, asked_at: float, version: int, key_map: KeyMap | None) -> None:
        current(self, asked_at + self.terms.lease_s, version, key_map)

    return mock.patch.object(ServerHolds, "confirm_version", takes)


SEEDS = (
    nobody_waits,
    holds_last_from_now,
    any_answer_is_current,
    nothing_is_read,
    old_maps_are_current,
    what_leaves_is_granted,
    word_without_an_omission,
    word_of_the_silent,
    a_restart_forgets_grants,
    lives_of_others_are_over,
    a_new_proposer_does_not_count_anew,
    a_lease_counts_from_its_answer,
)
