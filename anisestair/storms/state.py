"""Detection of retry storms: a state machine with hysteresis over traffic statistics. No I/O, no clock.

The owner calls ``StormDetector.update`` a few times a second. A storm forms if there is evidence of a fault
(unresponsive servers, failed connects, errors), or if retries amplify the load while the rate of original
requests is normal. A burst of original requests alone is an overload, which the balancer's limit handles.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from anisestair.storms.figures import TrafficSnapshot


class State(Enum):
    """The states of a storm, in their order."""

    CALM = "calm"
    FORMING = "forming"
    STORM = "storm"
    RECOVERING = "recovering"


# Evidence of a fault: shares of unresponsive servers, and of attempts without a connection or with an error.
UNRESPONSIVE_SHARE, CONNECT_FAILURE_SHARE, ERROR_SHARE = 0.08, 0.1, 0.25
# Requests for each original one at which a storm forms, has formed, and is over. They are far apart: near a
# single threshold the state, and with it the retry delays, would change with each window.
FORMING_AMPLIFICATION, STORM_AMPLIFICATION, CALM_AMPLIFICATION = 1.15, 1.5, 1.08
# Shares of refused or failed requests at which a storm has formed, and is over.
STORM_UNSERVED_SHARE, CALM_UNSERVED_SHARE = 0.2, 0.03
BURST_FACTOR = 1.3  # more original requests than this multiple of the baseline are a burst
# How long a condition must hold before a change to forming or storm, from forming back to calm, to
# recovering, and from recovering to calm. A false alarm ends soon, and a pause does not end a storm.
ENTER_MS, FALSE_ALARM_MS, RECOVER_MS, CALM_MS = 500.0, 2000.0, 1000.0, 3000.0
EVIDENCE_LIFETIME_MS = 10_000.0  # how long evidence of a fault counts: retries follow their cause


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the state."""

    before: State
    after: State
    at: float
    reason: str


class StormDetector:
    """The current state, its reason, and the pending change."""

    def __init__(self) -> None:
        self.state, self.since = State.CALM, 0.0
        self.reason = "no change since the start"
        self._fault_seen_at = float("-inf")
        self._pending: tuple[State, float] | None = None  # the state to change to, and since when

    def update(self, now: float, snapshot: TrafficSnapshot) -> Change | None:
        """Return the change of state that the statistics cause, if any. It leads to the next state in their
        order or, from forming or recovering, back to the previous one."""
        if has_fault_evidence(snapshot):
            self._fault_seen_at = now
        next_state, reason, required_ms = self._next_state(now, snapshot)
        if next_state is self.state:
            self._pending = None
            return None
        if self._pending is None or self._pending[0] is not next_state:
            self._pending = (next_state, now)
        if now - self._pending[1] < required_ms:
            return None
        change = Change(self.state, next_state, now, reason)
        self.state, self.since, self.reason, self._pending = next_state, now, reason, None
        return change

    def _next_state(self, now: float, snapshot: TrafficSnapshot) -> tuple[State, str, float]:
        """Return the state that the statistics call for, the reason, and how long they must do so."""
        recent_fault = now - self._fault_seen_at <= EVIDENCE_LIFETIME_MS
        burst = snapshot.baseline_rate > 0 and snapshot.original_rate > BURST_FACTOR * snapshot.baseline_rate
        description = describe(snapshot)
        amplified = snapshot.amplification >= FORMING_AMPLIFICATION and (recent_fault or not burst)
        if self.state is State.CALM:
            if has_fault_evidence(snapshot) or amplified:
                return State.FORMING, description, ENTER_MS
        elif self.state is State.FORMING:
            if amplified and (
                snapshot.amplification >= STORM_AMPLIFICATION
                or snapshot.unserved_share >= STORM_UNSERVED_SHARE
            ):
                return State.STORM, description, ENTER_MS
            if not has_fault_evidence(snapshot) and not amplified:
                return State.CALM, f"false alarm: {description}", FALSE_ALARM_MS
        elif self.state is State.STORM:
            if (
                snapshot.amplification < STORM_AMPLIFICATION
                and snapshot.unserved_share < STORM_UNSERVED_SHARE
                and snapshot.unresponsive_share < UNRESPONSIVE_SHARE
            ):
                return State.RECOVERING, description, RECOVER_MS
        elif amplified and (
            snapshot.amplification >= STORM_AMPLIFICATION or snapshot.unserved_share >= STORM_UNSERVED_SHARE
        ):
            return State.STORM, f"again: {description}", ENTER_MS
        elif (
            snapshot.amplification < CALM_AMPLIFICATION
            and snapshot.unserved_share < CALM_UNSERVED_SHARE
            and not has_fault_evidence(snapshot)
        ):
            return State.CALM, description, CALM_MS
        return self.state, description, 0.0


def has_fault_evidence(snapshot: TrafficSnapshot) -> bool:
    """Return whether the statistics show a fault, as opposed to an overload by original requests."""
    return (
        snapshot.unresponsive_share >= UNRESPONSIVE_SHARE
        or snapshot.connect_failure_share >= CONNECT_FAILURE_SHARE
        or snapshot.error_share >= ERROR_SHARE
    )


def describe(snapshot: TrafficSnapshot) -> str:
    """Return the relevant statistics as one line for logs."""
    return (
        f"{snapshot.request_rate:.0f} requests/s, {snapshot.original_rate:.0f} without retries"
        f" (baseline {snapshot.baseline_rate:.0f}),"
        f" {snapshot.unserved_share:.0%} refused or failed,"
        f" {snapshot.unresponsive_share:.0%} of {snapshot.servers} servers unresponsive,"
        f" {snapshot.connect_failure_share:.0%} of attempts without a connection,"
        f" {snapshot.warming_servers} servers warming up"
        f" at {snapshot.warming_rate_share:.0%} of their earlier rate"
    )
