"""Faults seeded into key ownership. Each removes one clause of the argument for the invariant OWNER
(docs/design/ownership.md), and the check of exclusive ownership in `simulation.mesh.key_servers` must detect
it."""

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


def no_wait_before_transfer() -> Patch:
    """Clause 4: a leaving row is reassigned without waiting for leases to expire."""
    return mock.patch.object(LeaseTerms, "wait_s", 0.0)


def holds_last_from_answer() -> Patch:
    """Clause 2: a hold lasts a full lease from the answer, however old the key map is."""
    return mock.patch.object(LeaseTerms, "hold_s", lambda self, *_: self.lease_s)


def unanswered_query_confirms() -> Patch:
    """Clause 1: a query counts as answered when it is sent."""
    original = KeyHolds._query

    def patched(self: KeyHolds, now: float, first_only: bool) -> None:
        original(self, now, first_only)
        self.holds._confirmed_at = now

    return mock.patch.object(KeyHolds, "_query", patched)


def reads_without_quorum() -> Patch:
    """Clause 1: a controller answers from its local state, without a quorum read."""

    async def read(*_: Any) -> bool:
        return True

    return mock.patch.object(QuorumReads, "wait_until_current", read)


def outdated_map_confirms() -> Patch:
    """Clause 2: a confirmation is accepted although the confirmed version is not held locally."""
    original = ServerHolds.confirm_version

    def patched(self: ServerHolds, asked_at: float, _: int, key_map: KeyMap | None) -> None:
        original(self, asked_at, 0, key_map)

    return mock.patch.object(ServerHolds, "confirm_version", patched)


def leaving_rows_are_granted() -> Patch:
    """Clause 3: an answer grants rows that are leaving."""
    original = ServerHolds.answer_heartbeat

    def patched(
        self: ServerHolds, now: float, heartbeat: HeartbeatKeys, key_map: KeyMap | None
    ) -> Grant | None:
        grant = original(self, now, heartbeat, key_map)
        if grant is None or key_map is None:
            return grant
        return Grant(key_map.rows_held_by(heartbeat.instance), grant.hold_ms)

    return mock.patch.object(ServerHolds, "answer_heartbeat", patched)


def release_before_omission() -> Patch:
    """Clause 5: a release is reported at the first heartbeat after a row is leaving."""
    original = ServerHolds._detect_releases

    def patched(self: ServerHolds, heartbeat: HeartbeatKeys, key_map: KeyMap) -> None:
        original(self, heartbeat, key_map)
        for row in key_map.rows_held_by(heartbeat.instance):
            if row.leaving:
                self._add_release(row, "")

    return mock.patch.object(ServerHolds, "_detect_releases", patched)


def silence_counts_as_release() -> Patch:
    """Clause 5: an upstream without recent heartbeats is assumed to hold nothing."""
    original = ServerHolds.releases

    def patched(self: ServerHolds, now: float, key_map: KeyMap | None) -> list[Release]:
        if now - self._heartbeat_at > 2.0:
            self._granted_until = now - 1.0
        return original(self, now, key_map)

    return mock.patch.object(ServerHolds, "releases", patched)


def restart_forgets_grants() -> Patch:
    """Clause 5: a proxy that has just started assumes that nothing is held."""
    original = ServerHolds.__init__

    def patched(self: ServerHolds, terms: LeaseTerms, began: float) -> None:
        original(self, terms, began)
        self._granted_until = began - 1.0

    return mock.patch.object(ServerHolds, "__init__", patched)


def other_instances_count_as_ended() -> Patch:
    """Clause 5: a proxy takes instances on other machines for earlier incarnations of its own upstream."""
    original = KeyHolds.tick

    def patched(self: KeyHolds, now: float) -> None:
        for key_map in self._maps.by_service.values():
            for row in key_map.rows:
                self.holds.note_earlier_instance(row.holder)
        original(self, now)

    return mock.patch.object(KeyHolds, "tick", patched)


def new_proposer_skips_wait() -> Patch:
    """Clause 4: a proposer that has just started assumes that rows have been leaving for long."""

    def patched(self: KeyAssignment, now: float, service: str, row: Row) -> bool:
        since = self._leaving.get((service, row.holder, row.first, row.last, row.fence), -1e9)
        return now - min(since, self._awake_since - 2.0) > 2.0

    return mock.patch.object(KeyAssignment, "_waited", patched)


def lease_counts_from_answer() -> Patch:
    """Clause 2: the lease counts from the arrival of the answer instead of from the query."""
    original = ServerHolds.confirm_version

    def patched(self: ServerHolds, asked_at: float, version: int, key_map: KeyMap | None) -> None:
        original(self, asked_at + self.terms.lease_s, version, key_map)

    return mock.patch.object(ServerHolds, "confirm_version", patched)


SEEDED_FAULTS = (
    no_wait_before_transfer,
    holds_last_from_answer,
    unanswered_query_confirms,
    reads_without_quorum,
    outdated_map_confirms,
    leaving_rows_are_granted,
    release_before_omission,
    silence_counts_as_release,
    restart_forgets_grants,
    other_instances_count_as_ended,
    new_proposer_skips_wait,
    lease_counts_from_answer,
)
