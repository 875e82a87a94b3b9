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

from mesh.membership.instance_commands import DECAYING, SETTLED, Beat

STEP = 1000  # versions that one beat leaves room for
SILENT_BEATS = 2.6  # periods without a beat, and a connection refused as well, tell of an end without a word
ENDED = 64  # lives that are over and known to be
GONE_VERSION = 1 << 52  # of an id that never comes back
STEADY_MS = 1000.0  # a life that beats for so long, with no other's beat between, is the one that is here


class Publish(Struct, frozen=True):
    """What the others are to be told of one instance; no value: it is gone."""

    instance: str
    version: int
    value: dict[str, Any] | None


class Unproven(Struct, frozen=True):
    """A life that beats beside the one that is here, and since when."""

    instance: str
    since: float


class Upstream:
    """The one upstream of this machine, as its beats and its connections show it."""

    def __init__(self, node: str, zone: str, beat_ms: float, drain_ms: float) -> None:
        self.node, self.zone, self.beat_ms, self.drain_ms = node, zone, beat_ms, drain_ms
        self.beat: Beat | None = None
        self.heard = 0.0  # when the last beat came
        self.drains_since: float | None = None  # when its draining, or this sidecar's, was first acknowledged
        self.said_decaying: frozenset[str] = (
            frozenset()
        )  # instances here, as others have it; until a beat comes
        self.leaving = False  # this sidecar ends: nothing new can reach its upstream
        self.gone = False
        self.version = 0
        self._said: dict[str, Any] | None = None
        self._ended: dict[str, None] = {}  # lives that are over here, the oldest first
        self._former: dict[str, None] = {}  # that were here, and are over once the next has beaten on
        self._unproven: Unproven | None = None
        self._placed_at = 0.0  # when the life that is here took its place

    @property
    def instance(self) -> str:
        return self.beat.instance if self.beat is not None else ""

    def take(self, now: float, beat: Beat, over: bool = False) -> list[Publish]:
        """A beat. A late one of the same life, and any of a life that has ended here, changes nothing; one of
        another life may have to prove itself (`unproven`). ``over``: this machine has said before that this
        life is over."""
        if beat.instance in self._ended:
            return []
        if self.beat is not None and self.beat.instance == beat.instance:
            return self._beats_on(now, beat)
        if not self._proven(now, beat, over):
            return []
        return self._take_place(now, beat)

    def _beats_on(self, now: float, beat: Beat) -> list[Publish]:
        known = self.beat
        assert known is not None
        self.heard, self._unproven = now, None
        published = self._end_former() if now - self._placed_at >= STEADY_MS else []
        if beat.sample_count <= known.sample_count:
            return published
        if known.state == DECAYING and beat.state == SETTLED:  # no way leads back in one life
            beat = replace(beat, state=DECAYING)
        self.beat = beat
        if self.gone:  # it was only silent
            self.gone, self._said = False, None
        if beat.state == DECAYING and self.drains_since is None:
            self.drains_since = now
        return published + self._publish()

    def _proven(self, now: float, beat: Beat, over: bool) -> bool:
        """Whether a life that is not the one here may take its place. Beats may be read in another order than
        they were sent in, as by a process that wakes or starts: one that may be late takes nobody's place
        before it is followed by another."""
        known = self.beat
        if not over and beat.instance not in self._former:
            present = known is not None and not self.gone and now - self.heard < self.beat_ms
            # Lives count from their own start: the next one has counted no further than the one before.
            if not present or known is None or beat.sample_count <= known.sample_count:
                return True
        if self._unproven is None or self._unproven.instance != beat.instance:
            self._unproven = Unproven(beat.instance, now)
        return now - self._unproven.since >= STEADY_MS

    def _take_place(self, now: float, beat: Beat) -> list[Publish]:
        known, published = self.beat, list[Publish]()
        if known is not None and known.instance not in self._ended:
            self._former[known.instance] = None
            if not self.gone:
                published.append(Publish(known.instance, self._next_version(known), None))
        self._former.pop(beat.instance, None)
        self.beat, self.heard, self._placed_at, self._unproven = beat, now, now, None
        self.gone, self._said, self.version, self.drains_since = False, None, 0, None
        if beat.state == DECAYING:  # an earlier life of this sidecar may have acknowledged that long ago
            self.drains_since = -math.inf if beat.instance in self.said_decaying else now
        return published + self._publish()

    def _end_former(self) -> list[Publish]:
        """The life that is here has beaten on, with no beat of a former one between: those are over."""
        former = list(self._former)
        self._former.clear()
        for instance in former:
            self._note_ended(instance)
        return [Publish(instance, GONE_VERSION, None) for instance in former]

    @property
    def unproven(self) -> str:
        """The life whose beat came here, and that is not taken for the one that is here; "" where none is."""
        return self._unproven.instance if self._unproven is not None else ""

    def leave(self, instance: str) -> list[Publish]:
        """The upstream has signed off."""
        if self.beat is None or self.beat.instance != instance or self.gone:
            return []
        return self._end()

    def refused(self, now: float) -> list[Publish]:
        """A connection to it was refused: with no beat for a while, it has ended without a word."""
        if self.beat is None or self.gone or now - self.heard < SILENT_BEATS * self.beat_ms:
            return []
        self.gone = True  # it may still come back in this life: the item's version stays below the last
        self.version = self._next_version(self.beat)
        return [Publish(self.beat.instance, self.version, None)]

    def end(self, now: float) -> list[Publish]:
        """This sidecar was told to end."""
        self.leaving = True
        if self.drains_since is None:
            self.drains_since = now
        return self._publish() if self.beat is not None and not self.gone else []

    def republish(self, above: int) -> list[Publish]:
        """Somebody else has spoken for it, with that version; what holds is said again, above it."""
        if self.beat is None or self.gone:
            return []
        self.version, self._said = max(self.version, above), None
        return self._publish()

    def _end(self) -> list[Publish]:
        self.gone = True
        assert self.beat is not None
        self._note_ended(self.beat.instance)
        return [Publish(self.beat.instance, GONE_VERSION, None)]

    def _note_ended(self, instance: str) -> None:
        self._ended[instance] = None
        while len(self._ended) > ENDED:
            del self._ended[next(iter(self._ended))]

    def _next_version(self, beat: Beat) -> int:
        """Above all that was said of this life so far, with room below what its next beat brings."""
        return max(self.version + 1, beat.sample_count * STEP)

    def _publish(self) -> list[Publish]:
        beat = self.beat
        assert beat is not None
        value: dict[str, Any] = {
            "plant": beat.plant,
            "node": self.node,
            "zone": self.zone,
            "epoch": beat.epoch,
            "capacity": beat.capacity,
            "state": DECAYING if self.leaving else beat.state,
        }
        if self._said is not None and {**self._said, "cold_ms": 0} == {**value, "cold_ms": 0}:
            return []
        value["cold_ms"] = beat.warmup_left_ms
        self._said = value
        self.version = self._next_version(beat)
        return [Publish(beat.instance, self.version, value)]
