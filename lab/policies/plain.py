"""The base of the textbook policies: it tracks requests and attempts under the checker's rules.

Subclasses override the choice of a server (``choose``), whether and when a failed call is retried
(``retry_delay_ms``), or whether a call is admitted at all (``admits``).
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Group, ListKind, Outcome, ServerState
from lab.checker import may_follow

DEFAULT_MAX_ATTEMPTS = 2  # per call, where a policy does not override ``retry_delay_ms``


class ServerRecord:
    """What a policy knows of a server."""

    __slots__ = ("entry", "in_flight", "smoothed", "sampled", "failures", "ejected_until", "ejections")

    def __init__(self, entry: api.ServerEntry) -> None:
        self.entry, self.in_flight = entry, 0
        self.smoothed, self.sampled = 0.0, -1.0  # smoothed latency in ms, and when it was last updated
        self.failures, self.ejected_until, self.ejections = 0, -1.0, 0


class PendingRequest:
    """A request without a final answer, or with attempts still in flight."""

    __slots__ = ("request", "klass", "deadline", "attempts", "open", "in_flight", "retry_at")

    def __init__(self, request: str, klass: api.RequestClass, deadline: float) -> None:
        self.request, self.klass, self.deadline = request, klass, deadline
        # Of each attempt: its server, when it was sent, and whether it may have run.
        self.attempts: list[tuple[ServerRecord, float, bool]] = []
        self.open, self.in_flight = True, 0
        self.retry_at = -1.0


class BasePolicy:
    """A policy with the interface of ``hareloom.Balancer``."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rng, self.now = settings, random.Random(seed), 0.0
        self.classes = {item.name: item for item in settings.classes}
        self.servers: dict[str, ServerRecord] = {}
        self.ready_servers: list[ServerRecord] = []
        self.pending: dict[str, PendingRequest] = {}
        self.timers: dict[int, tuple[str, PendingRequest]] = {}
        self.token, self.subscribed, self.in_flight = 0, False, 0
        self.actions: list[api.Action] = []

    # Decisions of a policy

    def choose(self, candidates: Sequence[ServerRecord], pending: PendingRequest) -> ServerRecord | None:
        """The server for an attempt, or None for none now; ``candidates`` is never empty."""
        raise NotImplementedError

    def queues(self, pending: PendingRequest) -> bool:
        """Whether a call that cannot be sent now is queued; otherwise it is finished."""
        return False

    def on_poll(self) -> None:
        """The policy's own timer has fired."""

    def admits(self, pending: PendingRequest) -> bool:
        """Whether a new call is sent at all; otherwise it is refused."""
        return True

    def retry_delay_ms(self, pending: PendingRequest) -> float | None:
        """The delay before a failed call is retried, in ms; None if it is not retried."""
        return 0.0 if len(pending.attempts) < DEFAULT_MAX_ATTEMPTS else None

    def record_outcome(self, server: ServerRecord, outcome: Outcome, latency: float) -> None:
        """Called at the end of each attempt; ``latency`` in ms."""

    def on_request(self, pending: PendingRequest) -> None:
        """Called for each new call, before ``admits``."""

    # Event handling under the rules

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        if isinstance(event, api.Request):
            pending = self.pending[event.request] = PendingRequest(
                event.request, self.classes[event.klass], event.deadline
            )
            self._set_timer(event.deadline - self.settings.tick_ms, "deadline", pending)
            self.on_request(pending)
            if not self.admits(pending) or not (self._send_attempt(pending) or self.queues(pending)):
                self._finish(pending)
        elif isinstance(event, api.AttemptEnded):
            self._attempt_ended(event)
        elif isinstance(event, api.Timer):
            kind, pending = self.timers.pop(event.token, ("", None))  # type: ignore[assignment]
            if kind == "subscribe":
                self.actions.append(api.Subscribe())
            elif kind == "poll":
                self.on_poll()
            elif (
                pending is not None and pending.open and not (kind == "retry" and self._send_attempt(pending))
            ):
                if kind == "deadline" or not pending.in_flight:
                    self._finish(pending)
        elif isinstance(event, api.ServerList):
            self._apply_list(event)
        elif isinstance(event, api.ClientGone) and (abandoned := self.pending.get(event.request)) is not None:
            self._close(abandoned)
        return self.actions

    def _set_timer(self, instant: float, kind: str, pending: PendingRequest | None) -> None:
        self.token += 1
        self.timers[self.token] = (kind, pending)  # type: ignore[assignment]
        self.actions.append(api.SetTimer(max(instant - self.now, 0.0), self.token))

    def _send_attempt(self, pending: PendingRequest) -> bool:
        if self.now >= pending.deadline - self.settings.tick_ms or pending.in_flight:
            return False
        if len(pending.attempts) >= self.settings.limits.max_attempts:
            return False
        candidates = self._eligible_servers(pending)
        server = self.choose(candidates, pending) if candidates else None
        if server is None:
            return False
        server.in_flight += 1
        self.in_flight += 1
        pending.in_flight += 1
        pending.attempts.append((server, self.now, True))
        self.actions.append(api.Send(pending.request, server.entry.server, pending.deadline - self.now))
        return True

    def _eligible_servers(self, pending: PendingRequest) -> list[ServerRecord]:
        """The servers that the rules allow for the next attempt: only untried ones, if there are any."""
        ran = [(s.entry.zone, s.entry.cell, at) for s, at, may_have_run in pending.attempts if may_have_run]
        candidates = self.ready_servers
        if ran:
            # The attempt must still be inside the deduplication window if connecting takes until its timeout.
            at = self.now + self.settings.limits.connect_timeout_ms
            candidates = [
                s for s in candidates if may_follow(pending.klass, ran, s.entry.zone, s.entry.cell, at)
            ]
        if pending.attempts:
            tried = {id(server) for server, _, _ in pending.attempts}
            candidates = [s for s in candidates if id(s) not in tried] or candidates
        return candidates

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        pending = self.pending.get(event.request)
        if pending is None:
            return
        server, at, _ = pending.attempts[event.attempt]
        pending.attempts[event.attempt] = (server, at, event.outcome not in NEVER_RAN)
        pending.in_flight -= 1
        self.in_flight -= 1
        server.in_flight -= 1
        self.record_outcome(server, event.outcome, event.latency_ms)
        if event.closed or not pending.open:
            self._close(pending)
            return
        delay = self.retry_delay_ms(pending)
        if delay is None:
            self._finish(pending)
        elif delay > 0:
            self._set_timer(self.now + delay, "retry", pending)
        elif not (self._send_attempt(pending) or self.queues(pending)):
            self._finish(pending)

    def _finish(self, pending: PendingRequest) -> None:
        klass = pending.klass
        may_have_run = any(executed for _, _, executed in pending.attempts)
        repeatable = klass.effect is Effect.SAFE or klass.effect is Effect.KEYED and klass.group is Group.ALL
        retry_after_ms = min(self.settings.limits.max_retry_after_ms, 0.15 * klass.aim_ms)
        self.actions.append(
            api.Fail(pending.request)
            if may_have_run and not repeatable
            else api.Refuse(pending.request, retry_after_ms)
        )
        self._close(pending)

    def _close(self, pending: PendingRequest) -> None:
        if pending.open and pending.in_flight and self.settings.limits.may_cancel:
            self.actions.append(api.Cancel(pending.request, len(pending.attempts) - 1))
        pending.open = False
        if not pending.in_flight:
            self.pending.pop(pending.request, None)

    def _apply_list(self, event: api.ServerList) -> None:
        if event.kind is ListKind.LOST:
            self._set_timer(self.now + self.rng.uniform(500.0, 1500.0), "subscribe", None)
            return
        if self.settings.asks_for_list and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe())
        if event.kind is not ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            self.servers = {name: known for name, known in self.servers.items() if name in named}
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.server, None)
            elif known is None or known.entry.started_at != entry.started_at:
                self.servers[entry.server] = ServerRecord(entry)
            else:
                known.entry = entry
        self.ready_servers = [s for s in self.servers.values() if s.entry.state is ServerState.READY]
