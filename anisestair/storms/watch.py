"""Sight, state and advice as one, for whoever hosts the module: a sidecar, or the fleet in virtual time. No
I/O."""

from __future__ import annotations

from anisestair.storms.advice import Advice
from anisestair.storms.figures import Figures, Sight
from anisestair.storms.state import Change, Judge, State
from hareloom import interface as api

STEP_MS = 250.0  # between two looks at the figures
KEPT_CHANGES = 32  # the last ones, for the table


class Watch:
    """``told`` and ``said`` in the order in which the module hears and speaks; no timer is needed: the state
    is looked at with what happens, and a sidecar to which nothing happens has no storm."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.sight = Sight(settings.rules.cold_ms)
        self.judge = Judge()
        self.advice = Advice(settings.limits.max_retry_after_ms, seed)
        self.seen: Figures | None = None
        self.changes: list[Change] = []
        self._looked = float("-inf")

    @property
    def state(self) -> State:
        return self.judge.state

    def told(self, now: float, event: api.Event) -> Change | None:
        """A change of the state, where this event's instant brings one."""
        self.sight.told(now, event)
        if now - self._looked < STEP_MS:
            return None
        self._looked = now
        self.seen = self.sight.figures(now)
        change = self.judge.step(now, self.seen)
        self.sight.calm = self.state is State.CALM
        if change is not None:
            self.changes = [*self.changes[1 - KEPT_CHANGES :], change]
        return change

    def said(self, now: float, action: api.Action) -> api.Action:
        """The action as it goes on: a refusal with the advice of the state, all others as they are."""
        if isinstance(action, api.Refuse):
            action = api.Refuse(action.request, self.advice.after(self.state, action.retry_after_ms))
        self.sight.said(now, action)
        return action

    def opened(self, now: float) -> None:
        self.sight.opened(now)
