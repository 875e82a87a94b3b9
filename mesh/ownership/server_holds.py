"""The holds that a proxy grants to the upstream beside it in answers to its heartbeats, and the releases that
it reports. No I/O; times are seconds of the proxy's monotonic clock."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from msgspec import Struct

from mesh.ownership.assignment import Release
from mesh.ownership.key_map import KeyMap, Row
from mesh.ownership.lease_terms import UPSTREAM_CLOCK_ERROR, LeaseTerms

RowKey = tuple[str, int, int, int]  # holder, first and last key, fence
SILENT_AFTER_HEARTBEATS = 2.2  # heartbeat periods after which an upstream is reported as silent
MAX_RELEASES = 512
CONFIRMING_HEARTBEATS = 2  # heartbeats that confirm an instance as the running one
MIN_CONFIRMING_GAP_S = (
    1.0  # least time between these, because late heartbeats of an ended instance are read together
)
MAX_GRANT_ROWS = 56  # an answer to a heartbeat has at most 4 KiB


class HeldRow(Struct, frozen=True, array_like=True):
    """A row of a heartbeat's ``holds``."""

    first: int
    last: int
    fence: int


class ReleasedRow(Struct, frozen=True, array_like=True):
    """A row of a heartbeat's ``released``."""

    first: int
    last: int
    handover: str = ""


class HeartbeatKeys(Struct, frozen=True):
    """The key fields of a heartbeat."""

    instance: str
    sample_count: int
    holds: Sequence[HeldRow]
    released: Sequence[ReleasedRow]


class Grant(Struct, frozen=True):
    """The key fields of the answer: all rows that the upstream holds, and how long, from its heartbeat on."""

    rows: Sequence[Row]
    hold_ms: int

    def answer_fields(self) -> dict[str, Any]:
        """Encodes the grant as fields of the answer."""
        rows = [[row.first, row.last, row.fence, row.handover] for row in self.rows]
        return {"holds": rows, "hold_ms": self.hold_ms}


class ServerHolds:
    """The holds of the upstream beside this proxy, over its instances."""

    def __init__(self, terms: LeaseTerms, started_at: float) -> None:
        """Everything that an earlier incarnation of this proxy granted ends a lease after ``started_at``."""
        self.terms = terms
        self._confirmed_at: float | None = None  # when the request was sent that confirmed the map held here
        self._pending: list[tuple[int, float]] = []  # confirmed versions not received yet, and when
        self._granted_until = started_at + terms.lease_s  # end of all grants, by any clock
        self._instance, self._heartbeat_at = "", started_at
        self._sample_counts: dict[str, int] = {}  # by instance, of its newest heartbeat
        self._ended: set[str] = set()  # instances that have ended
        self._ending: set[str] = set()  # earlier instances that have ended if another one sends further ones
        self._consecutive_heartbeats = 0  # heartbeats of this instance without another's in between
        self._counted_heartbeat_at = started_at  # when the last of them was counted
        self._omitted: dict[RowKey, int] = {}  # omitted rows, by the first heartbeat answered without them
        self._releases: dict[RowKey, Release] = {}

    def confirm_version(self, asked_at: float, version: int, key_map: KeyMap | None) -> None:
        """A control process has answered a request sent at ``asked_at``: that version was current when it
        arrived."""
        self._pending = [*self._pending[-8:], (version, asked_at)]
        self.map_changed(key_map)

    def map_changed(self, key_map: KeyMap | None) -> None:
        """Updates the confirmation and the open releases after a possible change of the map."""
        held = key_map.version if key_map is not None else 0
        for version, asked_at in self._pending:
            if version <= held and (self._confirmed_at is None or asked_at > self._confirmed_at):
                self._confirmed_at = asked_at
        self._pending = [one for one in self._pending if one[0] > held]
        if key_map is None:
            return
        leaving = {_row_key(row) for row in key_map.rows if row.leaving}
        self._omitted = {key: count for key, count in self._omitted.items() if key in leaving}
        self._releases = {key: release for key, release in self._releases.items() if key in leaving}

    def answer_heartbeat(self, now: float, heartbeat: HeartbeatKeys, key_map: KeyMap | None) -> Grant | None:
        """The grant in the answer to this heartbeat; None if the answer renews nothing."""
        if heartbeat.instance in self._ended or heartbeat.sample_count <= self._sample_counts.get(
            heartbeat.instance, -1
        ):
            return None
        self._sample_counts[heartbeat.instance], self._heartbeat_at = heartbeat.sample_count, now
        self._track_instance(now, heartbeat.instance)
        if key_map is None:
            return None
        self._detect_releases(heartbeat, key_map)
        hold_s = self.terms.hold_s(now, self._confirmed_at) if self._confirmed_at is not None else 0.0
        if not hold_s:
            return None
        rows = []
        for row in key_map.rows_held_by(heartbeat.instance):
            if row.leaving:
                self._omitted.setdefault(_row_key(row), heartbeat.sample_count)
            else:
                rows.append(row)
        if rows:
            self._granted_until = max(self._granted_until, now + hold_s / (1.0 - UPSTREAM_CLOCK_ERROR))
        return Grant(rows[:MAX_GRANT_ROWS], int(hold_s * 1000.0))

    def _track_instance(self, now: float, instance: str) -> None:
        """Records a heartbeat of that instance. An earlier instance has ended once this one has continued to
        send them: heartbeats may be read out of order, and a late one must not end the running instance."""
        if instance != self._instance:
            if self._instance:
                self._ending.add(self._instance)
            self._instance, self._consecutive_heartbeats = instance, 0
        self._ending.discard(instance)
        if not self._consecutive_heartbeats or now - self._counted_heartbeat_at >= MIN_CONFIRMING_GAP_S:
            self._consecutive_heartbeats, self._counted_heartbeat_at = self._consecutive_heartbeats + 1, now
        if self._consecutive_heartbeats >= CONFIRMING_HEARTBEATS:
            self._ended |= self._ending
            self._ending.clear()

    def _detect_releases(self, heartbeat: HeartbeatKeys, key_map: KeyMap) -> None:
        """Adds releases for rows that an earlier answer omitted and that the upstream no longer holds."""
        for row in key_map.rows_held_by(heartbeat.instance):
            key = _row_key(row)
            omitted = self._omitted.get(key)
            if (
                not row.leaving
                or omitted is None
                or omitted >= heartbeat.sample_count
                or key in self._releases
            ):
                continue
            if any(row.overlaps(held.first, held.last) for held in heartbeat.holds):
                continue
            released = [one for one in heartbeat.released if row.overlaps(one.first, one.last)]
            self._add_release(row, released[0].handover if released else "")

    def _add_release(self, row: Row, handover: str) -> None:
        if len(self._releases) < MAX_RELEASES:
            release = Release(row.holder, row.first, row.last, row.fence, handover)
            self._releases[_row_key(row)] = release

    def releases(self, now: float, key_map: KeyMap | None) -> list[Release]:
        """All releases of leaving rows that can be reported now, including those of ended instances and of
        one whose holds have expired."""
        if key_map is None:
            return []
        for instance in (*self._ended, *self._ending, self._instance):
            over = instance in self._ended or now > self._granted_until
            for row in key_map.rows_held_by(instance) if over else ():
                if row.leaving:
                    self._add_release(row, "")
        return list(self._releases.values())

    def note_earlier_instance(self, instance: str) -> None:
        """Records an instance of this machine that others know from before this proxy started."""
        if instance not in (self._instance, *self._ended):
            self._ending.add(instance)

    def silent_upstream(self, now: float, heartbeat_s: float) -> str:
        """The upstream that has missed several heartbeats; "" if there is none."""
        return (
            self._instance
            if self._instance and now - self._heartbeat_at > SILENT_AFTER_HEARTBEATS * heartbeat_s
            else ""
        )

    def may_hold(self, key_map: KeyMap, key: int) -> bool:
        """Whether the upstream beside this proxy may run a request for that key, as far as known here; before
        its first heartbeat it decides by itself."""
        if not self._instance:
            return True
        row = key_map.row_for_key(key)
        return row.holder == self._instance and not (row.leaving and _row_key(row) in self._omitted)


def _row_key(row: Row) -> RowKey:
    return row.holder, row.first, row.last, row.fence
