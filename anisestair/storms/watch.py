"""Storm detection for a host of the balancer: the sidecar, or the simulated fleet of `lab`. No I/O."""

from __future__ import annotations

from anisestair.storms.advice import RetryDelay
from anisestair.storms.figures import TrafficMonitor, TrafficSnapshot
from anisestair.storms.state import Change, State, StormDetector
from hareloom import interface as api

UPDATE_INTERVAL_MS = 250.0
MAX_CHANGES = 32  # the most recent changes, kept for the table


class Watch:
    """Observes the events and actions of the balancer in their order, and adjusts the retry delays.

    It needs no timer: the state is updated when an event arrives, and without events there is no storm.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.monitor = TrafficMonitor(settings.rules.cold_ms)
        self.detector = StormDetector()
        self.retry_delay = RetryDelay(settings.limits.max_retry_after_ms, seed)
        self.snapshot: TrafficSnapshot | None = None
        self.changes: list[Change] = []
        self._updated_at = float("-inf")

    @property
    def state(self) -> State:
        """The current state of the storm detection."""
        return self.detector.state

    def observe_event(self, now: float, event: api.Event) -> Change | None:
        """Observe an event of the balancer. Return the change of state at that instant, if any."""
        self.monitor.observe_event(now, event)
        if now - self._updated_at < UPDATE_INTERVAL_MS:
            return None
        self._updated_at = now
        self.snapshot = self.monitor.snapshot(now)
        change = self.detector.update(now, self.snapshot)
        self.monitor.learns_baseline = self.state is State.CALM
        if change is not None:
            self.changes = [*self.changes[1 - MAX_CHANGES :], change]
        return change

    def adjust_action(self, now: float, action: api.Action) -> api.Action:
        """Return the action to perform: a refusal with the retry delay of the state, others unchanged."""
        if isinstance(action, api.Refuse):
            action = api.Refuse(action.request, self.retry_delay.delay_ms(self.state, action.retry_after_ms))
        self.monitor.observe_action(now, action)
        return action

    def observe_connect(self, now: float) -> None:
        """Observe that a connection to a server is being opened."""
        self.monitor.observe_connect(now)

    # The lab also runs older revisions of this class, so its name and these method names must stay.
    told = observe_event
    said = adjust_action
    opened = observe_connect
