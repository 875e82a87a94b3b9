"""What could be had by one who sees every server's true state: a ceiling, under the four rules.

A call goes where it would be done first, and only where a worker is free or about to be; the others wait in
their sidecar, the most worth for its work first. Nothing is known of the call's own work but its class's
mean, nothing of what will befall a server, and nobody may be reached that the list does not name.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from hareloom import interface as api
from lab.policies.plain import Held, Known, Plain
from lab.sight import FleetView, ServerSnapshot

LOOK_MS = 2.0  # how often a call that waits looks for a place
FULL_SHARE = 0.8  # of what makes a starting server fall: no more is sent there
# Seen late, by all of a crowd alike: looks grow rarer with the fleet and choices are spread, a call may wait
# longer at a server, and a starting server is tried by few at a time; else all go where one place is free.
CROWD, LONGEST, PATIENT, SPREAD = 5.0, 0.2, 0.15, 0.8
BROKEN = 0.5  # a server that errs more often than this is left out


class Oracle(Plain):
    """Sees the present, also what all others send."""

    delayed_view = False

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.line: list[Held] = []
        self.looking = False
        self.epochs: dict[str, tuple[Known, int]] = {}  # of requests that are out, where to
        self.begun: dict[str, float] = {}

    def attach_view(self, view: FleetView, sidecar: int, one_way_ms: float) -> None:
        self.view, self.number, self.one_way = view, sidecar, one_way_ms

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            spent = self.classes[event.klass].deadline_ms - (event.deadline - now)
            self.begun[event.request] = now - spent if event.retry else now
        super().handle(now, event)
        if self.line:
            self._serve()
        if not self.looking and (self.line or self.epochs):
            self.looking = True
            self._timer(now + self.look_ms() * self.chance.uniform(0.8, 1.2), "look", None)
        return self.actions

    def again(self, held: Held) -> float | None:
        return 0.0

    # Where to

    def pick(self, among: Sequence[Known], held: Held) -> Known | None:
        work, view = self.view.mean_work_ms[held.klass.name], self.view
        best: Known | None = None
        least, patience = math.inf, self.patience(held)
        soon = self.now + self.one_way
        if not held.sent and not self.delayed_view and view.more_valuable_waits(self._value(held)):
            return None  # what is worth more is waiting somewhere, and has the first free place
        for server in among:
            state = view.snapshot(server.entry.server)
            if state is None or not state.up or state.error_share > BROKEN:
                continue
            if not state.is_warm and not self.dares(state):
                continue
            begin = self._begin(server, state, soon)
            end = begin + work / state.speed
            if begin > soon + self.one_way + patience or end + self.one_way >= held.until:
                continue
            end = self.standing(end)
            if end < least:
                best, least = server, end
        if best is not None:
            name = best.entry.server
            seen = self.view.delay_ms + 1.5 * self.one_way
            self.view.record_sent(name, work, seen)
            state = view.snapshot(name)
            assert state is not None
            self.epochs[held.request] = (best, state.epoch)
        return best

    def look_ms(self) -> float:
        return LOOK_MS

    def dares(self, state: ServerSnapshot) -> bool:
        """Whether a starting server can take one more."""
        return state.load_ratio < FULL_SHARE * self.settings.rules.fall_multiple

    def patience(self, held: Held) -> float:
        """How long in ms a call may wait at a server: as long as one that waits here does not look."""
        return LOOK_MS

    def standing(self, end: float) -> float:
        """By what servers are told apart, the least first."""
        return end

    def _begin(self, server: Known, state: ServerSnapshot, soon: float) -> float:
        """When a call that comes at ``soon`` would begin there."""
        coming = self.view.work_in_flight(server.entry.server)
        if not coming and not state.queued_work:
            return max(state.worker_free_at[0], soon)
        free = [max(at, soon) for at in state.worker_free_at]
        ahead = state.queued_work / (state.speed * len(free))
        for work in coming:
            free[0] += work / state.speed
            free.sort()
        return free[0] + ahead

    def _value(self, held: Held) -> float:
        """Worth for its work, as an answer would come now."""
        klass = held.klass
        work = self.view.mean_work_ms[klass.name]
        late = self.now + work + self.one_way > self.begun.get(held.request, self.now) + klass.aim_ms
        return klass.worth * (klass.late_worth if late else 1.0) / work

    # Those that wait

    def holds(self, held: Held) -> bool:
        if len(held.sent) >= self.settings.limits.max_attempts or not self._able(held):
            return False
        self.line.append(held)
        return True

    def _serve(self) -> None:
        """Those of the most worth first, of these the last that came."""
        line = [held for held in self.line if held.open]
        line.sort(key=lambda held: (-self._value(held), -held.until))
        self.line, blocked = [], False
        self.view.announce_waiting(self.number, 0.0, self.now)
        for held in line:
            if held.sent or not blocked:
                if self._send(held):
                    continue
                blocked = blocked or not held.sent
            self.line.append(held)
        first = next((held for held in self.line if not held.sent), None)
        if first is not None:
            self.view.announce_waiting(self.number, self._value(first), self.now + 2.0 * LOOK_MS)

    def looked(self) -> None:
        """A look round: calls out at a server that is no more are taken back, and go again if they may."""
        self.looking = False
        for request, (server, epoch) in list(self.epochs.items()):
            held = self.held.get(request)
            if held is None or not held.out or held.sent[-1][0] is not server:
                del self.epochs[request]
                continue
            state = self.view.snapshot(server.entry.server)
            if state is not None and (not state.up or state.epoch != epoch):
                del self.epochs[request]
                if self.settings.limits.may_cancel and held.open and self._again_somewhere(held):
                    self.actions.append(api.Cancel(request, len(held.sent) - 1))

    def _again_somewhere(self, held: Held) -> bool:
        spare = len(held.sent) < self.settings.limits.max_attempts
        return spare and held.klass.effect is not api.Effect.UNSAFE

    def _close(self, held: Held) -> None:
        super()._close(held)
        self.begun.pop(held.request, None)


class LateOracle(Oracle):
    """Sees servers as they were a round trip ago, and beyond that only what it sent itself."""

    delayed_view = True

    def look_ms(self) -> float:
        least = min(klass.aim_ms for klass in self.classes.values())
        return min(LOOK_MS * max(self.settings.peers / CROWD, 1.0), LONGEST * least)

    def dares(self, state: ServerSnapshot) -> bool:
        return super().dares(state) and self.chance.random() < CROWD / max(self.settings.peers, CROWD)

    def patience(self, held: Held) -> float:
        """Others take what is free before it is seen: a place that is free soon is as good."""
        return min(LOOK_MS * max(self.settings.peers / CROWD, 1.0), PATIENT * held.klass.aim_ms)

    def standing(self, end: float) -> float:
        """Spread, or all that see one server idle send there at once."""
        spread = SPREAD * (1.0 - CROWD / max(self.settings.peers, CROWD))
        return self.now + (end - self.now) * self.chance.uniform(1.0 - spread, 1.0 + spread)
