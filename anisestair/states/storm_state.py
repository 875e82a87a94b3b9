"""A model of the storm detection: the real `StormDetector`, with every kind of traffic in every order.

An event is an update with the traffic of one slot of time. Ages are counted in updates and capped where they
no longer matter, so that the number of states is finite.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from dataclasses import replace
from typing import Any

from anisestair.storms import state as storm_rules
from anisestair.storms.figures import SLOT_MS, TrafficSnapshot
from anisestair.storms.state import StormDetector
from statecheck import Violation
from statecheck.model import Model, State

NAME = "storm-state"
QUIET_TRAFFIC = TrafficSnapshot(100.0, 100.0, 100.0, 0.0, 0.0, 0.0, 0.0, 0.0, 100.0, 10, 0.0, 0, 1.0, 0.0)
# By the labels of events in saved traces.
TRAFFIC_KINDS: dict[str, TrafficSnapshot] = {
    "quiet": QUIET_TRAFFIC,
    "silence": replace(QUIET_TRAFFIC, unresponsive_share=0.2),
    "storm": replace(
        QUIET_TRAFFIC, request_rate=220.0, retry_share=0.5, unserved_share=0.5, unresponsive_share=0.2
    ),
    "feeding": replace(QUIET_TRAFFIC, request_rate=200.0, retry_share=0.5, unserved_share=0.5),
    "burst": replace(
        QUIET_TRAFFIC, request_rate=300.0, original_rate=180.0, retry_share=0.4, unserved_share=0.5
    ),
    "easing": replace(QUIET_TRAFFIC, request_rate=120.0, retry_share=0.2, unserved_share=0.1),
}
NEIGHBOUR_STATES = {
    storm_rules.State.CALM: {storm_rules.State.FORMING},
    storm_rules.State.FORMING: {storm_rules.State.CALM, storm_rules.State.STORM},
    storm_rules.State.STORM: {storm_rules.State.RECOVERING},
    storm_rules.State.RECOVERING: {storm_rules.State.STORM, storm_rules.State.CALM},
}
MAX_PENDING_UPDATES = (
    int(
        max(storm_rules.ENTER_MS, storm_rules.FALSE_ALARM_MS, storm_rules.RECOVER_MS, storm_rules.CALM_MS)
        / SLOT_MS
    )
    + 1
)
EVIDENCE_EXPIRED_UPDATES = int(storm_rules.EVIDENCE_LIFETIME_MS / SLOT_MS) + 1
MIN_PENDING_MS = 500.0  # required by the properties, independently of the constants of the detector

IN_ORDER = Violation(
    "in order", "the state changes only to a neighbour in the order calm, forming, storm, recovering, calm"
)
REASON_LASTED = Violation(
    "a lasting reason", "no state changes for a reason that has lasted for too short a time"
)
NO_FALSE_ALARM = Violation(
    "no false alarm", "a burst of original requests alone never leads out of the calm state"
)
RETURNS_TO_CALM = "quiet leads to calm"


class StormDetectorModel(Model):
    """The parts of a state: the state of the detector, its pending state and since how many updates, the
    number of updates since evidence of a fault, and whether any traffic other than quiet and bursts occurred.
    """

    name = NAME

    def initial(self) -> Iterable[State]:
        return [(storm_rules.State.CALM, None, 0, EVIDENCE_EXPIRED_UPDATES, False)]

    def events(self, state: State) -> Sequence[str]:
        return list(TRAFFIC_KINDS)

    def step(self, state: State, event: str) -> State:
        storm_state, pending, pending_updates, evidence_updates, saw_trouble = state
        now = 1e9
        detector = StormDetector()
        detector.state = storm_state
        detector._pending = None if pending is None else (pending, now - (pending_updates + 1) * SLOT_MS)
        detector._fault_seen_at = (
            now - (evidence_updates + 1) * SLOT_MS
            if evidence_updates < EVIDENCE_EXPIRED_UPDATES
            else float("-inf")
        )
        detector.update(now, TRAFFIC_KINDS[event])
        next_pending = detector._pending
        return (
            detector.state,
            next_pending[0] if next_pending is not None else None,
            round(min((now - next_pending[1]) / SLOT_MS, MAX_PENDING_UPDATES))
            if next_pending is not None
            else 0,
            round(min((now - detector._fault_seen_at) / SLOT_MS, EVIDENCE_EXPIRED_UPDATES)),
            saw_trouble or event not in ("quiet", "burst"),
        )

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        if before is None or before[0] is after[0]:
            return
        if after[0] not in NEIGHBOUR_STATES[before[0]]:
            yield IN_ORDER
        if before[1] is not after[0] or (before[2] + 1) * SLOT_MS < MIN_PENDING_MS:
            yield REASON_LASTED
        if not after[4]:
            yield NO_FALSE_ALARM

    def obligations(self, state: State) -> Iterable[Hashable]:
        return () if state[0] is storm_rules.State.CALM else (RETURNS_TO_CALM,)

    def fairness_label(self, event: Any) -> Hashable | None:
        return None

    def describe(self, state: State) -> str:
        return f"{state[0].value}, pending {state[1].value if state[1] else 'nothing'} for {state[2]} updates"


class CalmingModel(StormDetectorModel):
    """The same from any state with only quiet traffic, for the liveness check: the state returns to calm."""

    def initial(self) -> Iterable[State]:
        return [
            (storm_state, None, 0, evidence_updates, True)
            for storm_state in storm_rules.State
            for evidence_updates in (0, EVIDENCE_EXPIRED_UPDATES // 2, EVIDENCE_EXPIRED_UPDATES)
        ]

    def events(self, state: State) -> Sequence[str]:
        return ["quiet"]

    def fairness_label(self, event: Any) -> Hashable | None:
        return "updates continue"
