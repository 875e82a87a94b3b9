"""The lifecycle of the upstream beside this sidecar: its current incarnation, and what is published about it.
No I/O; times are milliseconds of the caller's monotonic clock.

The instance id identifies an incarnation. `sample_count` tells a late heartbeat of an incarnation from a new
one, and the later of two incarnations from the earlier. A published item has the version ``sample_count``
times `VERSIONS_PER_HEARTBEAT`, so that a sidecar that restarts without state continues above the versions
that it published before, and has versions left for updates between two heartbeats.
"""

from __future__ import annotations

import math
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from mesh.membership.instance_commands import DECAYING, SETTLED, Heartbeat

VERSIONS_PER_HEARTBEAT = 1000
SILENT_HEARTBEATS = 2.6  # periods without a heartbeat after which a refused connection means a crash
MAX_ENDED_INSTANCES = 64  # ended incarnations that are remembered
FINAL_VERSION = 1 << 52  # of the drop of an id that never returns
TAKEOVER_MS = 1000.0  # an incarnation whose heartbeats alone arrive for this long is the running one


class InstanceUpdate(Struct, frozen=True):
    """An update of an instance's item; without a value the instance is dropped."""

    instance: str
    version: int
    value: dict[str, Any] | None


class Contender(Struct, frozen=True):
    """Another incarnation that sends heartbeats beside the current one, and since when."""

    instance: str
    since: float


class Upstream:
    """The state of this machine's upstream, derived from its heartbeats and connections."""

    def __init__(self, node: str, zone: str, beat_ms: float, drain_ms: float) -> None:
        self.node, self.zone, self.heartbeat_ms, self.drain_ms = node, zone, beat_ms, drain_ms
        self.heartbeat: Heartbeat | None = None
        self.heartbeat_at = 0.0  # when the last heartbeat arrived
        self.drain_started_at: float | None = None  # first acknowledged drain of the upstream or sidecar
        # Decaying instances of this node in the store, used until the first heartbeat.
        self.published_decaying: frozenset[str] = frozenset()
        self.leaving = False  # this sidecar shuts down: no new call can reach its upstream
        self.gone = False
        self.version = 0
        self._published: dict[str, Any] | None = None
        self._ended: dict[str, None] = {}  # ended incarnations, the oldest first
        self._former: dict[str, None] = {}  # replaced ones; ended once their successor is confirmed
        self._contender: Contender | None = None
        self._current_since = 0.0  # when the current incarnation became current

    @property
    def instance(self) -> str:
        """The id of the current incarnation; "" before the first heartbeat."""
        return self.heartbeat.instance if self.heartbeat is not None else ""

    def on_heartbeat(
        self, now: float, heartbeat: Heartbeat, known_ended: bool = False
    ) -> list[InstanceUpdate]:
        """Handles a heartbeat. A late one of the current incarnation, and any of an ended one, changes
        nothing; another incarnation may have to be confirmed first (`contender`). ``known_ended``: this
        machine has already published that this incarnation ended."""
        if heartbeat.instance in self._ended:
            return []
        if self.heartbeat is not None and self.heartbeat.instance == heartbeat.instance:
            return self._on_current_heartbeat(now, heartbeat)
        if not self._may_replace(now, heartbeat, known_ended):
            return []
        return self._replace_current(now, heartbeat)

    def _on_current_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[InstanceUpdate]:
        current = self.heartbeat
        assert current is not None
        self.heartbeat_at, self._contender = now, None
        published = self._end_former() if now - self._current_since >= TAKEOVER_MS else []
        if heartbeat.sample_count <= current.sample_count:
            return published
        if current.state == DECAYING and heartbeat.state == SETTLED:  # an incarnation never stops draining
            heartbeat = replace(heartbeat, state=DECAYING)
        self.heartbeat = heartbeat
        if self.gone:  # it did not end, it was only silent
            self.gone, self._published = False, None
        if heartbeat.state == DECAYING and self.drain_started_at is None:
            self.drain_started_at = now
        return published + self._publish()

    def _may_replace(self, now: float, heartbeat: Heartbeat, known_ended: bool) -> bool:
        """Whether another incarnation may replace the current one. A process that resumes or starts may read
        heartbeats out of order, so one that may be late replaces nothing until another one follows it."""
        current = self.heartbeat
        if not known_ended and heartbeat.instance not in self._former:
            present = current is not None and not self.gone and now - self.heartbeat_at < self.heartbeat_ms
            # Each incarnation counts from its own start, so a successor cannot have the higher count.
            if not present or current is None or heartbeat.sample_count <= current.sample_count:
                return True
        if self._contender is None or self._contender.instance != heartbeat.instance:
            self._contender = Contender(heartbeat.instance, now)
        return now - self._contender.since >= TAKEOVER_MS

    def _replace_current(self, now: float, heartbeat: Heartbeat) -> list[InstanceUpdate]:
        current, published = self.heartbeat, list[InstanceUpdate]()
        if current is not None and current.instance not in self._ended:
            self._former[current.instance] = None
            if not self.gone:
                published.append(InstanceUpdate(current.instance, self._next_version(current), None))
        self._former.pop(heartbeat.instance, None)
        self.heartbeat, self.heartbeat_at, self._current_since, self._contender = heartbeat, now, now, None
        self.gone, self._published, self.version, self.drain_started_at = False, None, 0, None
        if heartbeat.state == DECAYING:  # may have been acknowledged before this sidecar restarted
            self.drain_started_at = -math.inf if heartbeat.instance in self.published_decaying else now
        return published + self._publish()

    def _end_former(self) -> list[InstanceUpdate]:
        """Ends the replaced incarnations: only the current one has sent heartbeats for TAKEOVER_MS."""
        former = list(self._former)
        self._former.clear()
        for instance in former:
            self._note_ended(instance)
        return [InstanceUpdate(instance, FINAL_VERSION, None) for instance in former]

    @property
    def contender(self) -> str:
        """The incarnation that sends heartbeats but is not accepted as current yet; "" if there is none."""
        return self._contender.instance if self._contender is not None else ""

    def leave(self, instance: str) -> list[InstanceUpdate]:
        """Handles the deregistration of an instance."""
        if self.heartbeat is None or self.heartbeat.instance != instance or self.gone:
            return []
        return self._end()

    def on_connection_refused(self, now: float) -> list[InstanceUpdate]:
        """Handles a refused connection: without a heartbeat for SILENT_HEARTBEATS periods it is a crash."""
        if (
            self.heartbeat is None
            or self.gone
            or now - self.heartbeat_at < SILENT_HEARTBEATS * self.heartbeat_ms
        ):
            return []
        self.gone = True  # it may yet send a heartbeat: the version stays below the final one
        self.version = self._next_version(self.heartbeat)
        return [InstanceUpdate(self.heartbeat.instance, self.version, None)]

    def shut_down(self, now: float) -> list[InstanceUpdate]:
        """Starts the shutdown of this sidecar."""
        self.leaving = True
        if self.drain_started_at is None:
            self.drain_started_at = now
        return self._publish() if self.heartbeat is not None and not self.gone else []

    def republish(self, above: int) -> list[InstanceUpdate]:
        """Publishes the current state above version ``above``, with which another process wrote the item."""
        if self.heartbeat is None or self.gone:
            return []
        self.version, self._published = max(self.version, above), None
        return self._publish()

    def _end(self) -> list[InstanceUpdate]:
        self.gone = True
        assert self.heartbeat is not None
        self._note_ended(self.heartbeat.instance)
        return [InstanceUpdate(self.heartbeat.instance, FINAL_VERSION, None)]

    def _note_ended(self, instance: str) -> None:
        self._ended[instance] = None
        while len(self._ended) > MAX_ENDED_INSTANCES:
            del self._ended[next(iter(self._ended))]

    def _next_version(self, heartbeat: Heartbeat) -> int:
        """Above all versions published for this incarnation, and below those of its next heartbeat."""
        return max(self.version + 1, heartbeat.sample_count * VERSIONS_PER_HEARTBEAT)

    def _publish(self) -> list[InstanceUpdate]:
        heartbeat = self.heartbeat
        assert heartbeat is not None
        value: dict[str, Any] = {
            "plant": heartbeat.plant,
            "node": self.node,
            "zone": self.zone,
            "epoch": heartbeat.epoch,
            "capacity": heartbeat.capacity,
            "state": DECAYING if self.leaving else heartbeat.state,
        }
        if self._published is not None and {**self._published, "cold_ms": 0} == {**value, "cold_ms": 0}:
            return []
        value["cold_ms"] = heartbeat.warmup_left_ms
        self._published = value
        self.version = self._next_version(heartbeat)
        return [InstanceUpdate(heartbeat.instance, self.version, value)]
