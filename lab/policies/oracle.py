"""Policies that see every server's true state: upper bounds for real ones, under the checker's four rules.

A call goes to the server that would finish it first, and only if a worker there is free or about to be. Other
calls wait in their sidecar, ordered by value per unit of work. The policy does not know a call's actual work,
only the mean of its class; it does not know future faults, and it only uses servers that are in the list.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from hareloom import interface as api
from lab.policies.plain import BasePolicy, PendingRequest, ServerRecord
from lab.sight import FleetView, ServerSnapshot

POLL_INTERVAL_MS = 2.0  # how often queued calls look for a free worker
MAX_COLD_LOAD = 0.8  # of the load that makes a warming server fail; above it, nothing more is sent there
# With a delayed view, many sidecars see the same free worker and would all send to it. Above CROWD_SIDECARS,
# polls therefore get rarer with the number of sidecars, choices are randomized, a call may wait longer at a
# server, and only a few sidecars at a time try a warming server.
CROWD_SIDECARS, MAX_POLL_AIM_SHARE, MAX_WAIT_AIM_SHARE, MAX_SPREAD = 5.0, 0.2, 0.15, 0.8
MAX_ERROR_SHARE = 0.5  # a server with more errors than this is skipped


class Oracle(BasePolicy):
    """Sees the current state of all servers, including calls that other sidecars have in flight."""

    delayed_view = False

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.queue: list[PendingRequest] = []
        self.poll_scheduled = False
        self.sent_to: dict[str, tuple[ServerRecord, int]] = {}  # server and its epoch, by request in flight
        self.started_at: dict[str, float] = {}

    def attach_view(self, view: FleetView, sidecar: int, one_way_ms: float) -> None:
        self.view, self.sidecar, self.one_way_ms = view, sidecar, one_way_ms

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            spent = self.classes[event.klass].deadline_ms - (event.deadline - now)
            self.started_at[event.request] = now - spent if event.retry else now
        super().handle(now, event)
        if self.queue:
            self._dispatch_queue()
        if not self.poll_scheduled and (self.queue or self.sent_to):
            self.poll_scheduled = True
            self._set_timer(now + self.poll_interval_ms() * self.rng.uniform(0.8, 1.2), "poll", None)
        return self.actions

    def retry_delay_ms(self, pending: PendingRequest) -> float | None:
        return 0.0

    # Choice of the server

    def choose(self, candidates: Sequence[ServerRecord], pending: PendingRequest) -> ServerRecord | None:
        work, view = self.view.mean_work_ms[pending.klass.name], self.view
        best: ServerRecord | None = None
        earliest, max_wait_ms = math.inf, self.max_wait_ms(pending)
        arrival = self.now + self.one_way_ms
        if not pending.attempts and not self.delayed_view and view.more_valuable_waits(self._value(pending)):
            return None  # a more valuable call waits in some sidecar and takes the first free worker
        for server in candidates:
            state = view.snapshot(server.entry.server)
            if state is None or not state.up or state.error_share > MAX_ERROR_SHARE:
                continue
            if not state.is_warm and not self.accepts_cold(state):
                continue
            begin = self._start_time(server, state, arrival)
            end = begin + work / state.speed
            if begin > arrival + self.one_way_ms + max_wait_ms or end + self.one_way_ms >= pending.deadline:
                continue
            end = self.rank(end)
            if end < earliest:
                best, earliest = server, end
        if best is not None:
            name = best.entry.server
            seen_after = self.view.delay_ms + 1.5 * self.one_way_ms
            self.view.record_sent(name, work, seen_after)
            state = view.snapshot(name)
            assert state is not None
            self.sent_to[pending.request] = (best, state.epoch)
        return best

    def poll_interval_ms(self) -> float:
        return POLL_INTERVAL_MS

    def accepts_cold(self, state: ServerSnapshot) -> bool:
        """Whether a warming server can take another call."""
        return state.load_ratio < MAX_COLD_LOAD * self.settings.rules.fall_multiple

    def max_wait_ms(self, pending: PendingRequest) -> float:
        """How long a call may wait at a server, in ms: one poll interval, as it would wait here."""
        return POLL_INTERVAL_MS

    def rank(self, end: float) -> float:
        """The value by which servers are compared, from the time when the call would end; the lowest wins."""
        return end

    def _start_time(self, server: ServerRecord, state: ServerSnapshot, arrival: float) -> float:
        """When a call that arrives at ``arrival`` would start to run at this server."""
        work_in_flight = self.view.work_in_flight(server.entry.server)
        if not work_in_flight and not state.queued_work:
            return max(state.worker_free_at[0], arrival)
        free = [max(at, arrival) for at in state.worker_free_at]
        queue_ms = state.queued_work / (state.speed * len(free))
        for work in work_in_flight:
            free[0] += work / state.speed
            free.sort()
        return free[0] + queue_ms

    def _value(self, pending: PendingRequest) -> float:
        """The call's worth per ms of work if it were sent now, which is less once its aim cannot be met."""
        klass = pending.klass
        work = self.view.mean_work_ms[klass.name]
        late = (
            self.now + work + self.one_way_ms > self.started_at.get(pending.request, self.now) + klass.aim_ms
        )
        return klass.worth * (klass.late_worth if late else 1.0) / work

    # Queued calls

    def queues(self, pending: PendingRequest) -> bool:
        if len(pending.attempts) >= self.settings.limits.max_attempts or not self._eligible_servers(pending):
            return False
        self.queue.append(pending)
        return True

    def _dispatch_queue(self) -> None:
        """Sends queued calls, the most valuable first; among equals, the one with the latest deadline."""
        waiting = [pending for pending in self.queue if pending.open]
        waiting.sort(key=lambda pending: (-self._value(pending), -pending.deadline))
        self.queue, blocked = [], False
        self.view.announce_waiting(self.sidecar, 0.0, self.now)
        for pending in waiting:
            if pending.attempts or not blocked:
                if self._send_attempt(pending):
                    continue
                blocked = blocked or not pending.attempts
            self.queue.append(pending)
        first = next((pending for pending in self.queue if not pending.attempts), None)
        if first is not None:
            self.view.announce_waiting(self.sidecar, self._value(first), self.now + 2.0 * POLL_INTERVAL_MS)

    def on_poll(self) -> None:
        """Cancels calls that are in flight to a server that has ended, so that they can be retried."""
        self.poll_scheduled = False
        for request, (server, epoch) in list(self.sent_to.items()):
            pending = self.pending.get(request)
            if pending is None or not pending.in_flight or pending.attempts[-1][0] is not server:
                del self.sent_to[request]
                continue
            state = self.view.snapshot(server.entry.server)
            if state is not None and (not state.up or state.epoch != epoch):
                del self.sent_to[request]
                if self.settings.limits.may_cancel and pending.open and self._may_retry(pending):
                    self.actions.append(api.Cancel(request, len(pending.attempts) - 1))

    def _may_retry(self, pending: PendingRequest) -> bool:
        attempts_left = len(pending.attempts) < self.settings.limits.max_attempts
        return attempts_left and pending.klass.effect is not api.Effect.UNSAFE

    def _close(self, pending: PendingRequest) -> None:
        super()._close(pending)
        self.started_at.pop(pending.request, None)


class LateOracle(Oracle):
    """Sees servers as they were one round trip ago, and in addition only the calls that it sent itself."""

    delayed_view = True

    def poll_interval_ms(self) -> float:
        shortest_aim = min(klass.aim_ms for klass in self.classes.values())
        return min(
            POLL_INTERVAL_MS * max(self.settings.peers / CROWD_SIDECARS, 1.0),
            MAX_POLL_AIM_SHARE * shortest_aim,
        )

    def accepts_cold(self, state: ServerSnapshot) -> bool:
        return super().accepts_cold(state) and self.rng.random() < CROWD_SIDECARS / max(
            self.settings.peers, CROWD_SIDECARS
        )

    def max_wait_ms(self, pending: PendingRequest) -> float:
        """Longer than with a current view: other sidecars take a free worker before this one sees it, so a
        worker that will be free soon is as good."""
        return min(
            POLL_INTERVAL_MS * max(self.settings.peers / CROWD_SIDECARS, 1.0),
            MAX_WAIT_AIM_SHARE * pending.klass.aim_ms,
        )

    def rank(self, end: float) -> float:
        """Randomized; otherwise all sidecars that see the same idle server would send there at once."""
        spread = MAX_SPREAD * (1.0 - CROWD_SIDECARS / max(self.settings.peers, CROWD_SIDECARS))
        return self.now + (end - self.now) * self.rng.uniform(1.0 - spread, 1.0 + spread)
