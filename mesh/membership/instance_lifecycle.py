"""The lifecycle of the upstream beside this sidecar: its current incarnation, and what is published about it.
No I/O; times are milliseconds of the caller's monotonic clock.

The instance id identifies an incarnation. `sample_count` tells a late heartbeat of an incarnation from a new
one, and the later of two incarnations from the earlier. A published item has the version ``sample_count``
times `VERSIONS_PER_HEARTBEAT`, so that a sidecar that restarts without state continues above the versions
that it published before, and has versions left for updates between two heartbeats.

An end is final only if the instance has signed off. Any other end is inferred, from silence or from another
incarnation at the same address, and the instance may prove it wrong. Versions are ordered accordingly:
heartbeats, from `FINAL_VERSION` on inferred ends and what was published above them, then the sign-off.

A sidecar keeps no state over a restart. What its earlier incarnations published is in the membership, and
`Upstream.find_published` looks it up there.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from mesh.membership.instance_commands import DECAYING, SETTLED, Heartbeat

VERSIONS_PER_HEARTBEAT = 1000
SILENT_HEARTBEATS = 2.6  # periods without a heartbeat after which a refused connection means a crash
MAX_ENDED_INSTANCES = 64  # signed-off incarnations that are remembered, and replaced ones
FINAL_VERSION = 1 << 52  # of the tombstone of an inferred end
SIGNED_OFF_VERSION = 1 << 60  # of the tombstone of an instance that has signed off; nothing outranks it
TAKEOVER_MS = 1000.0  # an incarnation whose heartbeats alone arrive for this long is the running one
# Periods without a heartbeat before another incarnation may take over: with less, the heartbeats of the
# running one would have no time to arrive in between.
TAKEOVER_HEARTBEATS = 1.2


class InstanceUpdate(Struct, frozen=True):
    """An update of an instance's item; without a value the instance is dropped."""

    instance: str
    version: int
    value: dict[str, Any] | None


class PublishedInstance(Struct, frozen=True):
    """What the membership holds of an instance. ``state`` is "" for a tombstone."""

    version: int
    state: str

    @property
    def signed_off(self) -> bool:
        """Whether the instance has ended by its own word."""
        return not self.state and self.version >= SIGNED_OFF_VERSION

    @property
    def ended(self) -> bool:
        """Whether this machine has published an end of it that is not only a crash."""
        return not self.state and self.version >= FINAL_VERSION

    def is_newer_than(self, heartbeat: Heartbeat) -> bool:
        """Whether it was published for a later heartbeat of the same instance."""
        return self.version % FINAL_VERSION // VERSIONS_PER_HEARTBEAT > heartbeat.sample_count


def sign_off(instance: str) -> InstanceUpdate:
    """The update that publishes the end of an instance that has signed off."""
    return InstanceUpdate(instance, SIGNED_OFF_VERSION, None)


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
        # Looks an instance up in the membership; None if it is unknown there.
        self.find_published: Callable[[str], PublishedInstance | None] = lambda _: None
        self.leaving = False  # this sidecar shuts down: no new call can reach its upstream
        self.gone = False
        self.version = 0
        self._published: dict[str, Any] | None = None
        self._signed_off: dict[str, None] = {}  # the oldest first
        # Replaced ones, the oldest first, and whether their end has been published.
        self._former: dict[str, bool] = {}
        self._contender: Contender | None = None
        self._current_since = 0.0  # when the current incarnation became current

    @property
    def instance(self) -> str:
        """The id of the current incarnation; "" before the first heartbeat."""
        return self.heartbeat.instance if self.heartbeat is not None else ""

    def has_signed_off(self, instance: str) -> bool:
        """Whether the instance has signed off, in this incarnation of the sidecar or an earlier one."""
        if instance in self._signed_off:
            return True
        published = self.find_published(instance)
        return published is not None and published.signed_off

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[InstanceUpdate]:
        """Handles a heartbeat. One of an instance that has signed off changes nothing, nor does a late one;
        another incarnation may have to be confirmed first (`contender`)."""
        if self.has_signed_off(heartbeat.instance):
            self._on_signed_off(heartbeat.instance)
            return []
        if self.heartbeat is not None and self.heartbeat.instance == heartbeat.instance:
            return self._on_current_heartbeat(now, heartbeat)
        published = self.find_published(heartbeat.instance)
        if published is not None and published.is_newer_than(heartbeat):
            return []
        if not self._may_replace(now, heartbeat, published is not None and published.ended):
            return []
        return self._replace_current(now, heartbeat)

    def _on_current_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[InstanceUpdate]:
        current = self.heartbeat
        assert current is not None
        if heartbeat.sample_count <= current.sample_count:
            return []
        self.heartbeat_at, self._contender = now, None
        published = self._end_former() if now - self._current_since >= TAKEOVER_MS else []
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
        heartbeats out of order, so one that may be late replaces nothing until others follow it, without one
        of the current incarnation in between."""
        current, silent_ms = self.heartbeat, now - self.heartbeat_at
        present = current is not None and not self.gone
        if not known_ended and heartbeat.instance not in self._former:
            # Each incarnation counts from its own start, so a successor cannot have the higher count.
            if (
                current is None
                or not present
                or silent_ms >= self.heartbeat_ms
                or heartbeat.sample_count <= current.sample_count
            ):
                return True
        if self._contender is None or self._contender.instance != heartbeat.instance:
            self._contender = Contender(heartbeat.instance, now)
        if present and silent_ms < TAKEOVER_HEARTBEATS * self.heartbeat_ms:
            return False
        return now - self._contender.since >= TAKEOVER_MS

    def _replace_current(self, now: float, heartbeat: Heartbeat) -> list[InstanceUpdate]:
        current, published = self.heartbeat, list[InstanceUpdate]()
        if current is not None and current.instance not in self._signed_off:
            self._note_former(current.instance)
            if not self.gone:
                published.append(InstanceUpdate(current.instance, self._next_version(current), None))
        end_published = self._former.pop(heartbeat.instance, False)
        self.heartbeat, self.heartbeat_at, self._current_since, self._contender = heartbeat, now, now, None
        self.gone, self._published, self.drain_started_at = False, None, None
        self.version = FINAL_VERSION if end_published else 0
        if heartbeat.state == DECAYING:  # may have been acknowledged before this sidecar restarted
            drained_before = self._published_state(heartbeat.instance) == DECAYING
            self.drain_started_at = -math.inf if drained_before else now
        return published + self._publish()

    def _published_state(self, instance: str) -> str:
        published = self.find_published(instance)
        return published.state if published is not None else ""

    def _note_former(self, instance: str) -> None:
        self._former[instance] = False
        while len(self._former) > MAX_ENDED_INSTANCES:
            del self._former[next(iter(self._former))]

    def _end_former(self) -> list[InstanceUpdate]:
        """Publishes the end of the replaced incarnations: the current one has sent heartbeats for
        TAKEOVER_MS. That is inferred, so one of them may still return as a contender."""
        ended = [instance for instance, end_published in self._former.items() if not end_published]
        self._former.update(dict.fromkeys(ended, True))
        return [InstanceUpdate(instance, FINAL_VERSION, None) for instance in ended]

    @property
    def contender(self) -> str:
        """The incarnation that sends heartbeats but is not accepted as current yet; "" if there is none."""
        return self._contender.instance if self._contender is not None else ""

    def leave(self, instance: str) -> list[InstanceUpdate]:
        """Handles the sign-off of an instance, also of one that has sent no heartbeat to this incarnation of
        the sidecar. A repeated one has no update."""
        if instance in self._signed_off:
            return []
        self._on_signed_off(instance)
        return [sign_off(instance)]

    def _on_signed_off(self, instance: str) -> None:
        self._former.pop(instance, None)
        if self.instance == instance:
            self.gone = True
        self._signed_off[instance] = None
        while len(self._signed_off) > MAX_ENDED_INSTANCES:
            del self._signed_off[next(iter(self._signed_off))]

    def on_published(self) -> list[InstanceUpdate]:
        """Compares the current instance with what the membership holds of it, which an earlier incarnation of
        this sidecar or another process may have written. Returns the update that corrects it, if any."""
        published = self.find_published(self.instance) if self.heartbeat is not None else None
        if self.heartbeat is None or published is None:
            return []
        if published.signed_off:
            self._on_signed_off(self.instance)
            return []
        if published.version <= self.version:
            return []
        if not published.is_newer_than(self.heartbeat):
            return self.republish(published.version)
        # The heartbeats here were late ones: an earlier incarnation of this sidecar has handled newer ones.
        if published.state == DECAYING:
            self.heartbeat = replace(self.heartbeat, state=DECAYING)
            self.drain_started_at = -math.inf
        return []

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

    def _next_version(self, heartbeat: Heartbeat) -> int:
        """Above all versions published for this incarnation, and below those of its next heartbeat."""
        base = FINAL_VERSION if self.version >= FINAL_VERSION else 0  # above an inferred end
        return max(self.version + 1, base + heartbeat.sample_count * VERSIONS_PER_HEARTBEAT)

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
