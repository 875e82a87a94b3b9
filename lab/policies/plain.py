"""What the plain policies have in common: requests and attempts kept by the rules, one choice left open.

A policy is this with another choice of server (``pick``), of whether a failed call is tried again
(``again``), or of whether a call is taken at all (``admits``).
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Group, ListKind, Outcome, ServerState
from lab.checker import may_follow

TRIES = 2  # attempts a call, where nothing else is said: once more


class Known:
    """A server as a policy knows it."""

    __slots__ = ("entry", "out", "smoothed", "sampled", "failures", "ejected_until", "ejections")

    def __init__(self, entry: api.ServerEntry) -> None:
        self.entry, self.out = entry, 0
        self.smoothed, self.sampled = 0.0, -1.0  # latency in ms, and when it was last moved
        self.failures, self.ejected_until, self.ejections = 0, -1.0, 0


class Held:
    __slots__ = ("request", "klass", "until", "sent", "open", "out", "at")

    def __init__(self, request: str, klass: api.RequestClass, until: float) -> None:
        self.request, self.klass, self.until = request, klass, until
        # Each attempt's server, instant, and whether it may have run.
        self.sent: list[tuple[Known, float, bool]] = []
        self.open, self.out = True, 0
        self.at = -1.0  # when it is to be tried again, where that waits


class Plain:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.chance, self.now = settings, random.Random(seed), 0.0
        self.classes = {item.name: item for item in settings.classes}
        self.servers: dict[str, Known] = {}
        self.ready: list[Known] = []
        self.held: dict[str, Held] = {}
        self.timers: dict[int, tuple[str, Held]] = {}
        self.token, self.asked, self.out = 0, False, 0
        self.actions: list[api.Action] = []

    # What a policy decides

    def pick(self, among: Sequence[Known], held: Held) -> Known | None:
        """The server for an attempt, None for none now; ``among`` is never empty."""
        raise NotImplementedError

    def holds(self, held: Held) -> bool:
        """Whether a call without a place waits for one; else it is finished."""
        return False

    def looked(self) -> None:
        """A timer of the policy's own has come."""

    def admits(self, held: Held) -> bool:
        return True

    def again(self, held: Held) -> float | None:
        """The wait in ms before a failed call is tried again; None: it is not."""
        return 0.0 if len(held.sent) < TRIES else None

    def learnt(self, server: Known, outcome: Outcome, latency: float) -> None:
        """What an attempt's end says."""

    def taken(self, held: Held) -> None:
        """A call was taken."""

    # What the rules make of it

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        if isinstance(event, api.Request):
            held = self.held[event.request] = Held(event.request, self.classes[event.klass], event.deadline)
            self._timer(event.deadline - self.settings.tick_ms, "end", held)
            self.taken(held)
            if not self.admits(held) or not (self._send(held) or self.holds(held)):
                self._finish(held)
        elif isinstance(event, api.AttemptEnded):
            self._ended(event)
        elif isinstance(event, api.Timer):
            what, held = self.timers.pop(event.token, ("", None))  # type: ignore[assignment]
            if what == "ask":
                self.actions.append(api.Subscribe())
            elif what == "look":
                self.looked()
            elif held is not None and held.open and not (what == "again" and self._send(held)):
                if what == "end" or not held.out:
                    self._finish(held)
        elif isinstance(event, api.ServerList):
            self._list(event)
        elif isinstance(event, api.ClientGone) and (gone := self.held.get(event.request)) is not None:
            self._close(gone)
        return self.actions

    def _timer(self, instant: float, what: str, held: Held | None) -> None:
        self.token += 1
        self.timers[self.token] = (what, held)  # type: ignore[assignment]
        self.actions.append(api.SetTimer(max(instant - self.now, 0.0), self.token))

    def _send(self, held: Held) -> bool:
        if self.now >= held.until - self.settings.tick_ms or held.out:
            return False
        if len(held.sent) >= self.settings.limits.max_attempts:
            return False
        among = self._able(held)
        server = self.pick(among, held) if among else None
        if server is None:
            return False
        server.out += 1
        self.out += 1
        held.out += 1
        held.sent.append((server, self.now, True))
        self.actions.append(api.Send(held.request, server.entry.server, held.until - self.now))
        return True

    def _able(self, held: Held) -> list[Known]:
        """The servers that it may go to by the rules, those that it has not been at before the others."""
        ran = [(s.entry.zone, s.entry.cell, at) for s, at, may in held.sent if may]
        among = self.ready
        if ran:
            # A connection may take its time: what is written must still be inside the window.
            at = self.now + self.settings.limits.connect_timeout_ms
            among = [s for s in among if may_follow(held.klass, ran, s.entry.zone, s.entry.cell, at)]
        if held.sent:
            tried = {id(server) for server, _, _ in held.sent}
            among = [s for s in among if id(s) not in tried] or among
        return among

    def _ended(self, event: api.AttemptEnded) -> None:
        held = self.held.get(event.request)
        if held is None:
            return
        server, at, _ = held.sent[event.attempt]
        held.sent[event.attempt] = (server, at, event.outcome not in NEVER_RAN)
        held.out -= 1
        self.out -= 1
        server.out -= 1
        self.learnt(server, event.outcome, event.latency_ms)
        if event.closed or not held.open:
            self._close(held)
            return
        wait = self.again(held)
        if wait is None:
            self._finish(held)
        elif wait > 0:
            self._timer(self.now + wait, "again", held)
        elif not (self._send(held) or self.holds(held)):
            self._finish(held)

    def _finish(self, held: Held) -> None:
        klass = held.klass
        ran = any(may for _, _, may in held.sent)
        free = klass.effect is Effect.SAFE or klass.effect is Effect.KEYED and klass.group is Group.ALL
        advice = min(self.settings.limits.max_retry_after_ms, 0.15 * klass.aim_ms)
        self.actions.append(api.Fail(held.request) if ran and not free else api.Refuse(held.request, advice))
        self._close(held)

    def _close(self, held: Held) -> None:
        if held.open and held.out and self.settings.limits.may_cancel:
            self.actions.append(api.Cancel(held.request, len(held.sent) - 1))
        held.open = False
        if not held.out:
            self.held.pop(held.request, None)

    def _list(self, event: api.ServerList) -> None:
        if event.kind is ListKind.LOST:
            self._timer(self.now + self.chance.uniform(500.0, 1500.0), "ask", None)
            return
        if self.settings.asks_for_list and not self.asked:
            self.asked = True
            self.actions.append(api.Subscribe())
        if event.kind is not ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            self.servers = {name: known for name, known in self.servers.items() if name in named}
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.server, None)
            elif known is None or known.entry.started_at != entry.started_at:
                self.servers[entry.server] = Known(entry)
            else:
                known.entry = entry
        self.ready = [s for s in self.servers.values() if s.entry.state is ServerState.READY]
