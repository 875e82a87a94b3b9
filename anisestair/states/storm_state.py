"""The state of storms as a model: the real judge, and figures of every kind in every order.

A step is a look at the figures, a quarter of a second after the last. Ages are counted in looks and capped
where they make no difference any more, so that the states are finite and all of them are met.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from dataclasses import replace
from typing import Any

from anisestair.storms import state as storm
from anisestair.storms.figures import SLOT_MS, Figures
from anisestair.storms.state import Judge
from statecheck import Violation
from statecheck.model import Model, State

NAME = "storm-state"
QUIET = Figures(100.0, 100.0, 100.0, 0.0, 0.0, 0.0, 0.0, 0.0, 100.0, 10, 0.0, 0, 1.0, 0.0)
KINDS: dict[str, Figures] = {
    "quiet": QUIET,
    "silence": replace(QUIET, silent_share=0.2),
    "storm": replace(QUIET, offered=220.0, repeat_share=0.5, turned_share=0.5, silent_share=0.2),
    "feeding": replace(QUIET, offered=200.0, repeat_share=0.5, turned_share=0.5),
    "burst": replace(QUIET, offered=300.0, first=180.0, repeat_share=0.4, turned_share=0.5),
    "easing": replace(QUIET, offered=120.0, repeat_share=0.2, turned_share=0.1),
}
ORDER = {
    storm.State.CALM: {storm.State.FORMING},
    storm.State.FORMING: {storm.State.CALM, storm.State.STORM},
    storm.State.STORM: {storm.State.RECOVERING},
    storm.State.RECOVERING: {storm.State.STORM, storm.State.CALM},
}
LONGEST = int(max(storm.ENTER_MS, storm.LAPSE_MS, storm.RECOVER_MS, storm.CALM_MS) / SLOT_MS) + 1
FORGOTTEN = int(storm.MEMORY_MS / SLOT_MS) + 1
LEAST_MS = 500.0  # what the properties hold the judge to, whatever its own constants say

IN_ORDER = Violation("in order", "the state goes to a neighbour along calm, forming, storm, recovering, calm")
LASTING = Violation("a lasting reason", "no state changes for a reason that has stood for less than its time")
NO_ALARM = Violation("no false alarm", "a burst of first tries alone never leads out of calm")
ENDS = "quiet leads to calm"


class StormState(Model):
    """Parts of a state: the judge's; where it points and for how many looks; looks since evidence; whether
    anything but quiet and bursts was ever seen."""

    name = NAME

    def initial(self) -> Iterable[State]:
        return [(storm.State.CALM, None, 0, FORGOTTEN, False)]

    def events(self, state: State) -> Sequence[str]:
        return list(KINDS)

    def step(self, state: State, event: str) -> State:
        at, toward, pointed, since, troubled = state
        now = 1e9
        judge = Judge()
        judge.state = at
        judge._toward = None if toward is None else (toward, now - (pointed + 1) * SLOT_MS)
        judge._evidence_at = now - (since + 1) * SLOT_MS if since < FORGOTTEN else float("-inf")
        judge.step(now, KINDS[event])
        points = judge._toward
        return (
            judge.state,
            points[0] if points is not None else None,
            round(min((now - points[1]) / SLOT_MS, LONGEST)) if points is not None else 0,
            round(min((now - judge._evidence_at) / SLOT_MS, FORGOTTEN)),
            troubled or event not in ("quiet", "burst"),
        )

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        if before is None or before[0] is after[0]:
            return
        if after[0] not in ORDER[before[0]]:
            yield IN_ORDER
        if before[1] is not after[0] or (before[2] + 1) * SLOT_MS < LEAST_MS:
            yield LASTING
        if not after[4]:
            yield NO_ALARM

    def obligations(self, state: State) -> Iterable[Hashable]:
        return () if state[0] is storm.State.CALM else (ENDS,)

    def fairness_label(self, event: Any) -> Hashable | None:
        return None

    def describe(self, state: State) -> str:
        return f"{state[0].value}, toward {state[1].value if state[1] else 'nothing'} for {state[2]} looks"


class Calming(StormState):
    """The same from any state on with quiet figures alone, for liveness: the state comes back to calm."""

    def initial(self) -> Iterable[State]:
        return [(at, None, 0, since, True) for at in storm.State for since in (0, FORGOTTEN // 2, FORGOTTEN)]

    def events(self, state: State) -> Sequence[str]:
        return ["quiet"]

    def fairness_label(self, event: Any) -> Hashable | None:
        return "looks go on"
