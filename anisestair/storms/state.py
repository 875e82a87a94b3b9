"""Calm, forming, storm, recovering: a named state from figures, with hysteresis. No I/O, no clock.

``Judge.step`` is called a few times a second and gives a change where there is one, with its reason. Entering
takes evidence of a trouble (silent servers, connections that fail, servers that return) or tries that feed on
themselves while first tries are as usual. A burst of first tries alone is none: it is an overload, and the
module's limit is for that.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from anisestair.storms.figures import Figures


class State(Enum):
    CALM = "calm"
    FORMING = "forming"
    STORM = "storm"
    RECOVERING = "recovering"


# Evidence of a trouble: shares of the servers silent, of the attempts unconnected or in error.
SILENT, UNCONNECTED, ERRORS = 0.08, 0.1, 0.25
# Tries for each first one: from here on a storm forms, is one, and is over. Wide apart: near one value the
# state would change with each window, and advice with it.
AMPLIFIED, STORMY, OVER = 1.15, 1.5, 1.08
TURNED, FEW_TURNED = 0.2, 0.03  # share of the tries refused or failed: of a storm, and of what is over
BURST = 1.3  # first tries beyond so many times the usual are a burst, and amplification is its own
# How long a reason must last. Forming is soon left again where nothing follows; a storm that pauses is not
# over.
ENTER_MS, LAPSE_MS, RECOVER_MS, CALM_MS = 500.0, 2000.0, 1000.0, 3000.0
MEMORY_MS = 10_000.0  # so long evidence of a trouble counts after it was seen: repeats come later than causes


@dataclass(frozen=True, slots=True)
class Change:
    before: State
    after: State
    at: float
    reason: str


class Judge:
    def __init__(self) -> None:
        self.state, self.since = State.CALM, 0.0
        self.reason = "nothing seen"
        self._evidence_at = float("-inf")
        self._toward: tuple[State, float] | None = None  # where the figures point, and since when

    def step(self, now: float, seen: Figures) -> Change | None:
        """At most one step along calm, forming, storm, recovering, calm (and back from the middle ones)."""
        if evidence(seen):
            self._evidence_at = now
        wanted, reason, after = self._wanted(now, seen)
        if wanted is self.state:
            self._toward = None
            return None
        if self._toward is None or self._toward[0] is not wanted:
            self._toward = (wanted, now)
        if now - self._toward[1] < after:
            return None
        change = Change(self.state, wanted, now, reason)
        self.state, self.since, self.reason, self._toward = wanted, now, reason, None
        return change

    def _wanted(self, now: float, seen: Figures) -> tuple[State, str, float]:
        troubled = now - self._evidence_at <= MEMORY_MS
        burst = seen.usual > 0 and seen.first > BURST * seen.usual
        why = words(seen)
        feeds = seen.amplification >= AMPLIFIED and (troubled or not burst)
        if self.state is State.CALM:
            if evidence(seen) or feeds:
                return State.FORMING, why, ENTER_MS
        elif self.state is State.FORMING:
            if feeds and (seen.amplification >= STORMY or seen.turned_share >= TURNED):
                return State.STORM, why, ENTER_MS
            if not evidence(seen) and not feeds:
                return State.CALM, f"nothing followed: {why}", LAPSE_MS
        elif self.state is State.STORM:
            if seen.amplification < STORMY and seen.turned_share < TURNED and seen.silent_share < SILENT:
                return State.RECOVERING, why, RECOVER_MS
        elif feeds and (seen.amplification >= STORMY or seen.turned_share >= TURNED):
            return State.STORM, f"again: {why}", ENTER_MS
        elif seen.amplification < OVER and seen.turned_share < FEW_TURNED and not evidence(seen):
            return State.CALM, why, CALM_MS
        return self.state, why, 0.0


def evidence(seen: Figures) -> bool:
    """Something other than load: what a burst of first tries does not show."""
    return seen.silent_share >= SILENT or seen.unconnected_share >= UNCONNECTED or seen.error_share >= ERRORS


def words(seen: Figures) -> str:
    """The figures that count, for one line of a log."""
    return (
        f"{seen.offered:.0f} tries/s for {seen.first:.0f} first (usually {seen.usual:.0f}),"
        f" {seen.turned_share:.0%} turned away, {seen.silent_share:.0%} of {seen.servers} servers silent,"
        f" {seen.unconnected_share:.0%} of attempts unconnected, {seen.returning} returning at"
        f" {seen.back_share:.0%} of before"
    )
