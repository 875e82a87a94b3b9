"""The upstream beside this sidecar: which life it is in, and what of it the others are to know. No I/O.

Instants are milliseconds of the caller's steady clock. A life is told by its id; within one, `sample_count`
tells a late beat from a new one, and between two which of them is the later. What is published as an item
carries the version ``sample_count`` times `STEP`, so that a sidecar that starts anew and knows nothing goes
on above what it published before, and has room for what it says between two beats.
"""

from __future__ import annotations

import math
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from mesh.membership.instance_commands import DECAYING, SETTLED, Heartbeat

VERSIONS_PER_HEARTBEAT = 1000  # versions that one beat leaves room for
SILENT_HEARTBEATS = (
    2.6  # periods without a beat, and a connection refused as well, tell of an end without a word
)
MAX_ENDED_INSTANCES = 64  # lives that are over and known to be
FINAL_VERSION = 1 << 52  # of an id that never comes back
TAKEOVER_MS = 1000.0  # a life that beats for so long, with no other's beat between, is the one that is here


class InstanceUpdate(Struct, frozen=True):
    """What the others are to be told of one instance; no value: it is gone."""

    instance: str
    version: int
    value: dict[str, Any] | None


class Contender(Struct, frozen=True):
    """A life that beats beside the one that is here, and since when."""

    instance: str
    since: float


class Upstream:
    """The one upstream of this machine, as its beats and its connections show it."""

    def __init__(self, node: str, zone: str, beat_ms: float, drain_ms: float) -> None:
        self.node, self.zone, self.heartbeat_ms, self.drain_ms = node, zone, beat_ms, drain_ms
        self.heartbeat: Heartbeat | None = None
        self.heartbeat_at = 0.0  # when the last beat came
        self.drain_started_at: float | None = (
            None  # when its draining, or this sidecar's, was first acknowledged
        )
        self.published_decaying: frozenset[str] = (
            frozenset()
        )  # instances here, as others have it; until a beat comes
        self.leaving = False  # this sidecar ends: nothing new can reach its upstream
        self.gone = False
        self.version = 0
        self._published: dict[str, Any] | None = None
        self._ended: dict[str, None] = {}  # lives that are over here, the oldest first
        self._former: dict[str, None] = {}  # that were here, and are over once the next has beaten on
        self._contender: Contender | None = None
        self._current_since = 0.0  # when the life that is here took its place

    @property
    def instance(self) -> str:
        return self.heartbeat.instance if self.heartbeat is not None else ""

    def on_heartbeat(self, now: float, beat: Heartbeat, over: bool = False) -> list[InstanceUpdate]:
        """A beat. A late one of the same life, and any of a life that has ended here, changes nothing; one of
        another life may have to prove itself (`unproven`). ``over``: this machine has said before that this
        life is over."""
        if beat.instance in self._ended:
            return []
        if self.heartbeat is not None and self.heartbeat.instance == beat.instance:
            return self._on_current_heartbeat(now, beat)
        if not self._may_replace(now, beat, over):
            return []
        return self._replace_current(now, beat)

    def _on_current_heartbeat(self, now: float, beat: Heartbeat) -> list[InstanceUpdate]:
        known = self.heartbeat
        assert known is not None
        self.heartbeat_at, self._contender = now, None
        published = self._end_former() if now - self._current_since >= TAKEOVER_MS else []
        if beat.sample_count <= known.sample_count:
            return published
        if known.state == DECAYING and beat.state == SETTLED:  # no way leads back in one life
            beat = replace(beat, state=DECAYING)
        self.heartbeat = beat
        if self.gone:  # it was only silent
            self.gone, self._published = False, None
        if beat.state == DECAYING and self.drain_started_at is None:
            self.drain_started_at = now
        return published + self._publish()

    def _may_replace(self, now: float, beat: Heartbeat, over: bool) -> bool:
        """Whether a life that is not the one here may take its place. Beats may be read in another order than
        they were sent in, as by a process that wakes or starts: one that may be late takes nobody's place
        before it is followed by another."""
        known = self.heartbeat
        if not over and beat.instance not in self._former:
            present = known is not None and not self.gone and now - self.heartbeat_at < self.heartbeat_ms
            # Lives count from their own start: the next one has counted no further than the one before.
            if not present or known is None or beat.sample_count <= known.sample_count:
                return True
        if self._contender is None or self._contender.instance != beat.instance:
            self._contender = Contender(beat.instance, now)
        return now - self._contender.since >= TAKEOVER_MS

    def _replace_current(self, now: float, beat: Heartbeat) -> list[InstanceUpdate]:
        known, published = self.heartbeat, list[InstanceUpdate]()
        if known is not None and known.instance not in self._ended:
            self._former[known.instance] = None
            if not self.gone:
                published.append(InstanceUpdate(known.instance, self._next_version(known), None))
        self._former.pop(beat.instance, None)
        self.heartbeat, self.heartbeat_at, self._current_since, self._contender = beat, now, now, None
        self.gone, self._published, self.version, self.drain_started_at = False, None, 0, None
        if beat.state == DECAYING:  # an earlier life of this sidecar may have acknowledged that long ago
            self.drain_started_at = -math.inf if beat.instance in self.published_decaying else now
        return published + self._publish()

    def _end_former(self) -> list[InstanceUpdate]:
        """The life that is here has beaten on, with no beat of a former one between: those are over."""
        former = list(self._former)
        self._former.clear()
        for instance in former:
            self._note_ended(instance)
        return [InstanceUpdate(instance, FINAL_VERSION, None) for instance in former]

    @property
    def contender(self) -> str:
        """The life whose beat came here, and that is not taken for the one that is here; "" where none is."""
        return self._contender.instance if self._contender is not None else ""

    def leave(self, instance: str) -> list[InstanceUpdate]:
        """The upstream has signed off."""
        if self.heartbeat is None or self.heartbeat.instance != instance or self.gone:
            return []
        return self._end()

    def on_connection_refused(self, now: float) -> list[InstanceUpdate]:
        """A connection to it was refused: with no beat for a while, it has ended without a word."""
        if (
            self.heartbeat is None
            or self.gone
            or now - self.heartbeat_at < SILENT_HEARTBEATS * self.heartbeat_ms
        ):
            return []
        self.gone = True  # it may still come back in this life: the item's version stays below the last
        self.version = self._next_version(self.heartbeat)
        return [InstanceUpdate(self.heartbeat.instance, self.version, None)]

    def shut_down(self, now: float) -> list[InstanceUpdate]:
        """This sidecar was told to end."""
        self.leaving = True
        if self.drain_started_at is None:
            self.drain_started_at = now
        return self._publish() if self.heartbeat is not None and not self.gone else []

    def republish(self, above: int) -> list[InstanceUpdate]:
        """Somebody else has spoken for it, with that version; what holds is said again, above it."""
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

    def _next_version(self, beat: Heartbeat) -> int:
        """Above all that was said of this life so far, with room below what its next beat brings."""
        return max(self.version + 1, beat.sample_count * VERSIONS_PER_HEARTBEAT)

    def _publish(self) -> list[InstanceUpdate]:
        beat = self.heartbeat
        assert beat is not None
        value: dict[str, Any] = {
            "plant": beat.plant,
            "node": self.node,
            "zone": self.zone,
            "epoch": beat.epoch,
            "capacity": beat.capacity,
            "state": DECAYING if self.leaving else beat.state,
        }
        if self._published is not None and {**self._published, "cold_ms": 0} == {**value, "cold_ms": 0}:
            return []
        value["cold_ms"] = beat.warmup_left_ms
        self._published = value
        self.version = self._next_version(beat)
        return [InstanceUpdate(beat.instance, self.version, value)]
